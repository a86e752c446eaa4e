// Fakes of the serving core's ports on a manual clock: time, the platform's store, and engines that generate
// a known text. Each fake records the calls that it gets, so that tests can check them.
#ifndef OLEANDER_TESTS_SERVING_FAKES_H_
#define OLEANDER_TESTS_SERVING_FAKES_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "oleander/serving.h"
#include "serving/directory.h"

namespace oleander::serving::fakes {

// Runs timers in order of their due time when a test advances the clock.
class FakeLoop : public Loop {
 public:
  absl::Time Now() const override { return now_; }
  absl::Time WallNow() const override { return now_; }
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
  kRefuse,      // not applied; the caller gets kRefused
  kLoseAnswer,  // applied; the reply is lost
  kSilent,      // not applied; there is no reply
};

// The store that all hosts share. Each host uses its own StorePort, so that a test can disconnect one host.
struct FakeStore {
  explicit FakeStore(FakeLoop& the_loop) : loop(the_loop) {}
  StoreReply Apply(const Transaction& transaction);
  StoreReply Range(const RowRange& range) const;
  std::int64_t VersionOf(const RowKey& id) const;

  FakeLoop& loop;
  std::map<std::string, std::map<std::string, Row>> rows;  // by "table/partition", then key
  std::vector<Row> removed;                                // removed rows, as change feeds report them
  std::map<std::string, std::string> objects;
  std::int64_t version = 0;
  std::int64_t commits = 0;
  int max_reply_rows = 500;               // of one range read
  std::size_t max_reply_bytes = 1 << 20;  // of the rows of one range read
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
  bool disconnected = false;                                   // calls do not arrive and get no reply
  absl::Duration extra_delay;                                  // of each reply
  std::function<bool(const RowRange&)> loses_read;             // true: the read gets no reply; empty: none
  // Of the host's link from the store; 0: unlimited. Replies queue for the link, each with the bytes of its
  // rows' values.
  double bytes_per_second = 0;
  std::int64_t bytes_received = 0;  // of rows' values, over all replies
  bool history_gone = false;        // Watch replies kHistoryTrimmed
  bool dead = false;                // the host has crashed: replies are dropped

 private:
  void Answer(absl::Duration delay, std::function<StoreReply()> make, StoreCallback done);
  void Transfer(StoreReply reply, const StoreCallback& done);
  FakeStore& store_;
  absl::Time link_free_at_ = absl::InfinitePast();
};

struct FakeEngine {
  UpstreamEntry entry;
  absl::Duration event_interval = absl::Milliseconds(40);
  double slowdown = 1;  // factor on event_interval, as caused by other load on the machine
  std::map<std::string, std::int64_t> weights;
  std::int64_t orders_accepted = 0;
  absl::Time loading_until = absl::InfinitePast();
  std::string loading_model;
  int running = 0;
  std::optional<double> request_limit;      // requests/s that its answers state; it does not enforce them
  bool leaving = false;                     // its answers and reports state that it leaves
  std::optional<absl::Duration> leaves_in;  // stated by its reports
  bool silent = false;                      // sends no response heads and no events
  bool sends_comments = false;              // sends stream comments instead of events
  bool delays_orders = false;               // orders get no reply and go to FakeEngines::delayed_orders
  int fail_next = 0;                        // number of next requests to answer with 500
  int break_after_events = 0;               // breaks the next run after this many events; 0: never
  std::deque<AnswerHead> extra_answers;  // sent in place of the next answers, such as one to another request
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
  bool new_connection = false;  // the host did not allow an idle connection
};

// Engines send "REQUEST:N" as the data of event N of a request.
class FakeEngines {
 public:
  explicit FakeEngines(FakeLoop& loop) : loop_(loop) {}
  FakeEngine& Add(const std::string& id, const std::string& service, const std::string& zone, int slots);
  // Applies the engines' registrations to `directory`, as the feed does.
  void ApplyRegistrations(Directory& directory) const;

  std::map<std::string, FakeEngine> engines;
  std::map<std::string, int> event_counts;  // by request id; 10 if absent
  std::set<std::string> unprocessable;      // requests answered with 422
  std::set<std::string> failing;            // requests answered with 500
  // Weights version that generated each event, by request id and event number.
  std::map<std::string, std::map<int, std::int64_t>> event_versions;
  // Software version of the engine that generated each event, by request id and event number.
  std::map<std::string, std::map<int, std::string>> event_software;
  int mixed_resumes =
      0;  // runs that continued a text at another software version than that of its last event
  std::vector<OrderRecord> orders;
  std::vector<RunRecord> runs;
  std::vector<RunRecord> arrivals;  // all requests that reached an engine, refused ones included
  std::map<std::string, std::string> workspaces;  // by request id, as named by the last run
  int load_requests = 0;
  std::function<void()> on_refusal;  // called when a full or loading engine refuses a request; may be empty
  std::vector<std::pair<std::string, WeightsOrder>> delayed_orders;  // by engine id

  // Handles an order as the engine does when it arrives.
  OrderOutcome ApplyOrder(const std::string& engine, const WeightsOrder& order);

 private:
  friend class EnginePort;
  FakeLoop& loop_;
};

// One host's connections to the engines.
class EnginePort : public UpstreamLink {
 public:
  EnginePort(FakeLoop& loop, FakeEngines& engines) : loop_(loop), engines_(engines) {}
  ~EnginePort() override;
  CallId Start(UpstreamCall call, CallHandlers handlers) override;
  void Cancel(CallId id) override;
  void FetchReport(const UpstreamEntry& upstream, std::function<void(const EngineReport&)> done) override;
  void FetchLoad(const UpstreamEntry& upstream, const std::string& health_path,
                 std::function<void(const std::optional<AnswerHead>&)> done) override;
  void SendOrder(const UpstreamEntry& upstream, const WeightsOrder& order,
                 std::function<void(OrderOutcome)> done) override;
  // Simulates a crash of the host: closes its connections and drops all callbacks.
  void Kill();
  int OpenCalls() const { return static_cast<int>(calls_.size()); }

 private:
  struct Call {
    std::string engine;
    UpstreamCall request;
    CallHandlers handlers;
    std::int64_t next_event = 1;
    std::int64_t version = 0;
    int events_sent = 0;
    int break_after = 0;
  };
  void ScheduleNextEvent(CallId id);
  void End(CallId id, CallEnd end);
  void SendHead(CallId id, AnswerHead head);

  FakeLoop& loop_;
  FakeEngines& engines_;
  CallId next_ = 1;
  std::map<CallId, Call> calls_;
};

// Upstreams whose answers are scripted by the test, one by one.
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
                 std::function<void(const std::optional<AnswerHead>&)>) override {}
  void SendOrder(const UpstreamEntry&, const WeightsOrder&, std::function<void(OrderOutcome)>) override {}

  static Script Success() {
    Script script;
    script.head.status = 200;
    script.head.signature = "signed";
    return script;
  }
  std::map<std::string, std::deque<Script>> scripts;  // by upstream; Success() once the queue is empty
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
// The output of a request that generates `events` events.
std::string ExpectedOutput(const std::string& request, int events);

}  // namespace oleander::serving::fakes

#endif  // OLEANDER_TESTS_SERVING_FAKES_H_
