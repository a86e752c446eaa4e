// Fakes of the serving core's ports on a manual clock: time, the platform's store, and engines that generate
// a known text. Each keeps its own books, from which tests check the promises.
#ifndef OLEANDER_TESTS_SERVING_FAKES_H_
#define OLEANDER_TESTS_SERVING_FAKES_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "oleander/serving.h"
#include "serving/directory.h"

namespace oleander::serving::fakes {

// Timers run in order of time when a test advances the clock.
class FakeLoop : public Loop {
 public:
  absl::Time Now() const override { return now_; }
  TimerId After(absl::Duration delay, std::function<void()> fn) override;
  void Cancel(TimerId id) override;
  void RunFor(absl::Duration duration);

 private:
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(24);
  TimerId next_ = 1;
  std::map<std::pair<absl::Time, TimerId>, std::function<void()>> timers_;
  std::map<TimerId, absl::Time> due_;
};

enum class StoreFault {
  kNone,
  kRefuse,      // nothing is done
  kLoseAnswer,  // done, and not answered
  kSilent,      // not done, and not answered
};

// One store, seen by each host through a StorePort of its own, so that one host can be cut off.
struct FakeStore {
  explicit FakeStore(FakeLoop& the_loop) : loop(the_loop) {}
  StoreReply Apply(const Transaction& transaction);
  StoreReply Range(const RowRange& range) const;
  std::int64_t VersionOf(const RowKey& id) const;

  FakeLoop& loop;
  std::map<std::string, std::map<std::string, Row>> rows;  // by "table/partition", then key
  std::vector<Row> removed;                                // what feeds tell of rows that are gone
  std::map<std::string, std::string> objects;
  std::int64_t version = 0;
  std::int64_t commits = 0;
  int most_rows = 500;  // of one answer
};

class StorePort : public Store {
 public:
  explicit StorePort(FakeStore& store) : store_(store) {}
  void Get(const RowRange& range, StoreCallback done) override;
  void Commit(const Transaction& transaction, StoreCallback done) override;
  void Watch(const std::string& table, std::int64_t after, absl::Duration wait, StoreCallback done) override;
  void PutObject(const std::string& name, std::string bytes, StoreCallback done) override;
  void GetObject(const std::string& name, StoreCallback done) override;
  void RemoveObject(const std::string& name, StoreCallback done) override;
  void ListPartitions(const std::string& table, const std::string& after, StoreCallback done) override;

  std::function<StoreFault(const Transaction&)> commit_fault;  // empty: none
  bool cut = false;                                            // no call arrives, none is answered
  bool history_gone = false;                                   // feeds cannot be continued
  bool dead = false;                                           // the host is gone: answers reach nobody

 private:
  void Answer(absl::Duration delay, std::function<StoreReply()> make, StoreCallback done);
  FakeStore& store_;
};

struct FakeEngine {
  UpstreamEntry entry;
  absl::Duration gap = absl::Milliseconds(40);  // between events
  double slowdown = 1;                          // of the gap, by its neighbours
  std::map<std::string, std::int64_t> weights;
  std::int64_t orders_accepted = 0;
  absl::Time loading_until = absl::InfinitePast();
  std::string loading_model;
  int running = 0;
  bool silent = false;          // heads and events stop
  bool noise = false;           // bytes that are no events take the place of events
  bool ignores_orders = false;  // unanswered, and carried out when told
  int fail_next = 0;            // requests answered with 500
  int break_after_events = 0;   // of the next run; 0: never
};

struct OrderRecord {
  absl::Time at;
  std::string engine;
  WeightsOrder order;
};
struct RunRecord {
  absl::Time at;
  std::string engine;
  std::string request;
  std::int64_t resume_after = 0;
};

// Engines generate "item:N" as the data of event N. `lengths` holds the events of each request.
class FakeEngines {
 public:
  explicit FakeEngines(FakeLoop& loop) : loop_(loop) {}
  FakeEngine& Add(const std::string& id, const std::string& service, const std::string& zone, int slots);
  // What a registration feed would tell.
  void List(Directory& directory) const;

  std::map<std::string, FakeEngine> engines;
  std::map<std::string, int> lengths;                             // events by request id; default 10
  std::set<std::string> impossible;                               // answered with 422
  std::set<std::string> failing;                                  // answered with 500
  std::map<std::string, std::map<int, std::int64_t>> made_under;  // request, event: version
  std::vector<OrderRecord> orders;
  std::vector<RunRecord> runs;
  int load_questions = 0;
  std::function<void()> on_refusal;  // of a request at a full or loading engine; empty: none
  std::vector<std::pair<std::string, WeightsOrder>> unanswered;  // orders of engines that ignore them

  // Carries out an order as it arrives at the engine.
  OrderOutcome Carry(const std::string& engine, const WeightsOrder& order);

 private:
  friend class EnginePort;
  FakeLoop& loop_;
};

// The engines as one host reaches them.
class EnginePort : public UpstreamLink {
 public:
  EnginePort(FakeLoop& loop, FakeEngines& engines) : loop_(loop), engines_(engines) {}
  ~EnginePort() override;
  CallId Start(UpstreamCall call, CallHandlers handlers) override;
  void Cancel(CallId id) override;
  void FetchReport(const UpstreamEntry& upstream, std::function<void(const EngineReport&)> done) override;
  void FetchLoad(const UpstreamEntry& upstream, const std::string& health_path,
                 std::function<void(const std::optional<ReportedLoad>&)> done) override;
  void SendOrder(const UpstreamEntry& upstream, const WeightsOrder& order,
                 std::function<void(OrderOutcome)> done) override;
  // The host dies: its connections close and nothing is delivered any more.
  void Kill();
  int OpenCalls() const { return static_cast<int>(calls_.size()); }

 private:
  struct Call {
    std::string engine;
    UpstreamCall request;
    CallHandlers handlers;
    std::int64_t next_event = 1;
    std::int64_t version = 0;
    int made = 0;
    int break_after = 0;
  };
  void Step(CallId id);
  void End(CallId id, CallEnd end);
  void SendHead(CallId id, AnswerHead head);

  FakeLoop& loop_;
  FakeEngines& engines_;
  CallId next_ = 1;
  std::map<CallId, Call> calls_;
};

// Upstreams whose answers the test scripts one by one.
class ScriptedLink : public UpstreamLink {
 public:
  struct Script {
    absl::Duration delay = absl::Milliseconds(20);
    CallEnd end = CallEnd::kComplete;
    AnswerHead head;
    std::string body = "whole";
    std::string echoed;  // request id in the answer; empty: the caller's
  };
  struct Sent {
    UpstreamCall call;
    bool cancelled = false;
  };

  explicit ScriptedLink(FakeLoop& loop) : loop_(loop) {}
  CallId Start(UpstreamCall call, CallHandlers handlers) override {
    const CallId id = next_++;
    Script script = Next(call.expected_id);
    if (script.head.request_id.empty()) script.head.request_id = call.request_id;
    const absl::Duration delay = std::min(script.delay, call.timeout);
    if (script.delay > call.timeout) script.end = CallEnd::kTimedOut;
    sent[id] = {std::move(call), false};
    loop_.After(delay, [this, id, script, handlers] {
      if (sent[id].cancelled) return;
      if (script.end == CallEnd::kComplete || !script.body.empty()) {
        if (script.end != CallEnd::kNotSent && script.end != CallEnd::kTimedOut)
          handlers.on_head(script.head);
        if (script.end != CallEnd::kNotSent && script.end != CallEnd::kTimedOut)
          if (handlers.on_body) handlers.on_body(script.body);
      }
      if (sent[id].cancelled) return;
      handlers.on_end(script.end);
    });
    return id;
  }
  void Cancel(CallId id) override { sent[id].cancelled = true; }
  void FetchReport(const UpstreamEntry&, std::function<void(const EngineReport&)>) override {}
  void FetchLoad(const UpstreamEntry&, const std::string&,
                 std::function<void(const std::optional<ReportedLoad>&)>) override {}
  void SendOrder(const UpstreamEntry&, const WeightsOrder&, std::function<void(OrderOutcome)>) override {}

  static Script Success() {
    Script script;
    script.head.status = 200;
    script.head.signature = "signed";
    return script;
  }
  std::map<std::string, std::deque<Script>> scripts;  // by upstream; none left: a success
  std::map<CallId, Sent> sent;

 private:
  Script Next(const std::string& upstream) {
    std::deque<Script>& queue = scripts[upstream];
    if (queue.empty()) return Success();
    Script script = queue.front();
    queue.pop_front();
    return script;
  }
  FakeLoop& loop_;
  CallId next_ = 1;
};

// A policy with one rollout route ("train.example", "/r/") and one lookup route ("app.example", "/l/").
Policy MakePolicy();
// The whole text of a request with so many events.
std::string WholeText(const std::string& request, int events);

}  // namespace oleander::serving::fakes

#endif  // OLEANDER_TESTS_SERVING_FAKES_H_
