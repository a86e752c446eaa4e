#include "tests/serving_fakes.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace oleander::serving::fakes {
namespace {

constexpr absl::Duration kStoreDelay = absl::Milliseconds(4);
constexpr absl::Duration kReplyTimeout = absl::Milliseconds(1200);
constexpr absl::Duration kLinkDelay = absl::Milliseconds(1);
constexpr absl::Duration kLoadTime = absl::Milliseconds(900);

std::string PartitionOf(const RowKey& id) { return id.table + "/" + id.partition; }

}  // namespace

// ---- Time

TimerId FakeLoop::After(absl::Duration delay, std::function<void()> fn) {
  const TimerId id = next_++;
  const absl::Time at = now_ + std::max(delay, absl::ZeroDuration());
  timers_[{at, id}] = std::move(fn);
  due_[id] = at;
  return id;
}

void FakeLoop::Cancel(TimerId id) {
  const auto it = due_.find(id);
  if (it == due_.end()) return;
  timers_.erase({it->second, id});
  due_.erase(it);
}

void FakeLoop::RunFor(absl::Duration duration) {
  const absl::Time end = now_ + duration;
  while (!timers_.empty() && timers_.begin()->first.first <= end) {
    const auto first = timers_.begin();
    now_ = std::max(now_, first->first.first);
    std::function<void()> fn = std::move(first->second);
    due_.erase(first->first.second);
    timers_.erase(first);
    fn();
  }
  now_ = end;
}

// ---- Store

std::int64_t FakeStore::VersionOf(const RowKey& id) const {
  const auto partition = rows.find(PartitionOf(id));
  if (partition == rows.end()) return 0;
  const auto row = partition->second.find(id.key);
  return row == partition->second.end() ? 0 : row->second.version;
}

StoreReply FakeStore::Apply(const Transaction& transaction) {
  StoreReply reply;
  reply.store_time = loop.Now() - absl::UnixEpoch() - absl::Hours(1);
  for (const RowCondition& it : transaction.conditions) {
    if (VersionOf(it.id) != it.version) reply.outcome = StoreOutcome::kConflict;
  }
  if (reply.outcome == StoreOutcome::kConflict) {
    for (const RowCondition& it : transaction.conditions) {
      if (VersionOf(it.id) != 0) reply.rows.push_back(rows[PartitionOf(it.id)][it.id.key]);
    }
    reply.version = version;
    return reply;
  }
  ++version;
  ++commits;
  for (const RowWrite& it : transaction.writes)
    rows[PartitionOf(it.id)][it.id.key] = {it.id, it.value, version, false};
  for (const RowKey& it : transaction.removals) {
    if (rows[PartitionOf(it)].erase(it.key) > 0) removed.push_back({it, "", version, true});
  }
  reply.outcome = StoreOutcome::kOk;
  reply.version = version;
  return reply;
}

StoreReply FakeStore::Range(const RowRange& range) const {
  StoreReply reply;
  reply.outcome = StoreOutcome::kOk;
  reply.version = version;
  reply.store_time = loop.Now() - absl::UnixEpoch() - absl::Hours(1);
  const auto partition = rows.find(range.table + "/" + range.partition);
  if (partition == rows.end()) return reply;
  std::size_t bytes = 0;
  for (auto it = partition->second.lower_bound(range.from); it != partition->second.end(); ++it) {
    if (!range.to.empty() && it->first >= range.to) break;
    const int max_rows = range.limit > 0 ? std::min(range.limit, max_reply_rows) : max_reply_rows;
    bytes += it->second.value.size();
    if (static_cast<int>(reply.rows.size()) >= max_rows || (bytes > max_reply_bytes && !reply.rows.empty())) {
      reply.has_more = true;
      break;
    }
    reply.rows.push_back(it->second);
  }
  return reply;
}

void StorePort::Answer(absl::Duration delay, std::function<StoreReply()> make, StoreCallback done) {
  if (disconnected) {
    store_.loop.After(kReplyTimeout, [this, done] {
      if (!dead) done(StoreReply());
    });
    return;
  }
  store_.loop.After(delay + extra_delay,
                    [this, make = std::move(make), done = std::move(done)] { Transfer(make(), done); });
}

void StorePort::Transfer(StoreReply reply, const StoreCallback& done) {
  std::size_t bytes = 0;
  for (const Row& it : reply.rows) bytes += it.value.size();
  bytes_received += static_cast<std::int64_t>(bytes);
  if (bytes_per_second <= 0) {
    if (!dead) done(reply);
    return;
  }
  link_free_at_ = std::max(link_free_at_, store_.loop.Now()) +
                  absl::Seconds(static_cast<double>(bytes) / bytes_per_second);
  store_.loop.After(link_free_at_ - store_.loop.Now(), [this, reply = std::move(reply), done] {
    if (!dead) done(reply);
  });
}

void StorePort::Get(const RowRange& range, StoreCallback done) {
  if (loses_read && loses_read(range)) {
    store_.loop.After(kReplyTimeout, [this, done] {
      if (!dead) done(StoreReply());
    });
    return;
  }
  Answer(
      kStoreDelay, [this, range] { return store_.Range(range); }, std::move(done));
}

void StorePort::Commit(const Transaction& transaction, StoreCallback done) {
  const StoreFault fault = commit_fault && !disconnected ? commit_fault(transaction) : StoreFault::kNone;
  if (fault == StoreFault::kRefuse) {
    StoreReply refused;
    refused.outcome = StoreOutcome::kRefused;
    Answer(
        kStoreDelay, [refused] { return refused; }, std::move(done));
    return;
  }
  if (fault == StoreFault::kLoseAnswer) store_.Apply(transaction);
  if (fault != StoreFault::kNone) {
    store_.loop.After(kReplyTimeout, [this, done] {
      if (!dead) done(StoreReply());
    });
    return;
  }
  Answer(
      kStoreDelay, [this, transaction] { return store_.Apply(transaction); }, std::move(done));
}

// Checks for changes once per store delay, so that a change is reported as soon as it is made.
void StorePort::Watch(const std::string& table, std::int64_t after, absl::Duration wait, StoreCallback done) {
  if (history_gone) {
    StoreReply no_history;
    no_history.outcome = StoreOutcome::kHistoryTrimmed;
    Answer(
        wait, [no_history] { return no_history; }, std::move(done));
    return;
  }
  const std::function<StoreReply()> find_changes = [this, table, after] {
    StoreReply reply;
    reply.outcome = StoreOutcome::kOk;
    reply.version = store_.version;
    for (const std::pair<const std::string, std::map<std::string, Row>>& it : store_.rows) {
      if (!it.first.starts_with(table + "/")) continue;
      for (const std::pair<const std::string, Row>& row : it.second) {
        if (row.second.version > after) reply.rows.push_back(row.second);
      }
    }
    for (const Row& it : store_.removed) {
      if (it.id.table == table && it.version > after) reply.rows.push_back(it);
    }
    std::stable_sort(reply.rows.begin(), reply.rows.end(),
                     [](const Row& a, const Row& b) { return a.version < b.version; });
    return reply;
  };
  Answer(kStoreDelay, find_changes,
         [this, table, after, wait, done = std::move(done)](const StoreReply& reply) {
           if (reply.outcome != StoreOutcome::kOk || !reply.rows.empty() || wait <= kStoreDelay) {
             done(reply);
           } else {
             Watch(table, after, wait - kStoreDelay, done);
           }
         });
}

void StorePort::PutObject(const std::string& name, std::string bytes, StoreCallback done) {
  Answer(
      kStoreDelay,
      [this, name, bytes = std::move(bytes)] {
        StoreReply reply;
        reply.outcome =
            store_.objects.try_emplace(name, bytes).second ? StoreOutcome::kOk : StoreOutcome::kConflict;
        return reply;
      },
      std::move(done));
}

void StorePort::GetObject(const std::string& name, StoreCallback done) {
  Answer(
      kStoreDelay,
      [this, name] {
        StoreReply reply;
        reply.outcome = StoreOutcome::kOk;
        const auto it = store_.objects.find(name);
        if (it != store_.objects.end()) reply.rows.push_back({{}, it->second, 1, false});
        return reply;
      },
      std::move(done));
}

void StorePort::RemoveObject(const std::string& name, StoreCallback done) {
  Answer(
      kStoreDelay,
      [this, name] {
        StoreReply reply;
        reply.outcome = StoreOutcome::kOk;
        store_.objects.erase(name);
        return reply;
      },
      std::move(done));
}

void StorePort::ListPartitions(const std::string& table, const std::string& after, StoreCallback done) {
  Answer(
      kStoreDelay,
      [this, table, after] {
        StoreReply reply;
        reply.outcome = StoreOutcome::kOk;
        for (const std::pair<const std::string, std::map<std::string, Row>>& it : store_.rows) {
          if (!it.first.starts_with(table + "/") || it.second.empty()) continue;
          Row row;
          row.id.partition = it.first.substr(table.size() + 1);
          if (row.id.partition > after) reply.rows.push_back(row);
        }
        return reply;
      },
      std::move(done));
}

// ---- Engines

FakeEngine& FakeEngines::Add(const std::string& id, const std::string& service, const std::string& zone,
                             int slots) {
  FakeEngine& engine = engines[id];
  engine.entry.id = id;
  engine.entry.service = service;
  engine.entry.address = "10.0.0.1:1";
  engine.entry.zone = zone;
  engine.entry.slots = slots;
  engine.entry.started_ms = 1;
  return engine;
}

void FakeEngines::ApplyRegistrations(Directory& directory) const {
  for (const std::pair<const std::string, FakeEngine>& it : engines) {
    UpstreamEntry entry = it.second.entry;
    entry.weights = it.second.weights;
    directory.ApplyUpstream(entry);
  }
}

OrderOutcome FakeEngines::ApplyOrder(const std::string& id, const WeightsOrder& order) {
  FakeEngine& engine = engines.at(id);
  if (engine.weights[order.model] == order.version) return OrderOutcome::kAlreadyHolds;
  if (loop_.Now() < engine.loading_until || engine.orders_accepted != order.orders_accepted) {
    return OrderOutcome::kBusyOrStaleCount;
  }
  ++engine.orders_accepted;
  engine.loading_until = loop_.Now() + kLoadTime;
  engine.loading_model = order.model;
  loop_.After(kLoadTime, [this, id, order] { engines.at(id).weights[order.model] = order.version; });
  return OrderOutcome::kAccepted;
}

EnginePort::~EnginePort() = default;

CallId EnginePort::Start(UpstreamCall call, CallHandlers handlers) {
  const CallId id = next_++;
  std::string engine_id = call.expected_id;
  Call& started = calls_[id];
  started.engine = engine_id;
  started.request = std::move(call);
  started.handlers = std::move(handlers);
  const auto found = engines_.engines.find(engine_id);
  if (found == engines_.engines.end()) {
    loop_.After(kLinkDelay, [this, id] { End(id, CallEnd::kNotSent); });
    return id;
  }
  FakeEngine& engine = found->second;
  ++engine.running;
  loop_.After(kLinkDelay, [this, id] {
    const auto it = calls_.find(id);
    if (it == calls_.end()) return;
    Call& call = it->second;
    FakeEngine& engine = engines_.engines.at(call.engine);
    if (engine.silent) return;
    const std::string& request = call.request.request_id;
    std::string model(FindHeader(call.request.headers, "Model"));
    AnswerHead head;
    head.request_id = request;
    head.signature = absl::StrCat("signed:", request);
    head.load = ReportedLoad{engine.running, 0, engine.entry.slots, engine.slowdown};
    head.request_limit = engine.request_limit;
    head.leaving = engine.leaving;
    engines_.arrivals.push_back({loop_.Now(), call.engine, request, call.request.resume_after.value_or(0)});
    if (engine.running > engine.entry.slots ||
        (loop_.Now() < engine.loading_until && engine.loading_model == model)) {
      head.status = 503;
      head.not_run = true;
      if (engines_.on_refusal) engines_.on_refusal();
      SendHead(id, head);
      End(id, CallEnd::kComplete);
      return;
    }
    if (!engine.extra_answers.empty()) {
      const AnswerHead extra = std::move(engine.extra_answers.front());
      engine.extra_answers.pop_front();
      SendHead(id, extra);
      End(id, CallEnd::kComplete);
      return;
    }
    engines_.runs.push_back({loop_.Now(), call.engine, request, call.request.resume_after.value_or(0),
                             call.request.fresh_connection});
    if (call.request.workspace) engines_.workspaces[request] = *call.request.workspace;
    const std::int64_t resumed_after = call.request.resume_after.value_or(0);
    if (resumed_after > 0 &&
        engines_.event_software[request][static_cast<int>(resumed_after)] != engine.entry.software)
      ++engines_.mixed_resumes;
    const bool fails = engines_.failing.contains(request);
    if (engines_.unprocessable.contains(request) || fails || engine.fail_next > 0) {
      head.status = engines_.unprocessable.contains(request) ? 422 : 500;
      if (head.status == 500 && !fails) --engine.fail_next;
      SendHead(id, head);
      End(id, CallEnd::kComplete);
      return;
    }
    head.status = 200;
    call.version = engine.weights[model];
    head.weights = call.version;
    call.next_event = call.request.resume_after.value_or(0) + 1;
    call.break_after = std::exchange(engine.break_after_events, 0);
    SendHead(id, head);
    if (calls_.contains(id)) ScheduleNextEvent(id);
  });
  return id;
}

void EnginePort::SendHead(CallId id, AnswerHead head) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  const std::function<void(const AnswerHead&)> on_head = it->second.handlers.on_head;
  if (on_head) on_head(head);
}

// Sends the next event of the call after the engine's event interval.
void EnginePort::ScheduleNextEvent(CallId id) {
  const Call& call = calls_.at(id);
  const FakeEngine& engine = engines_.engines.at(call.engine);
  const auto count = engines_.event_counts.find(call.request.request_id);
  const int events = count == engines_.event_counts.end() ? 10 : count->second;
  if (call.next_event > events) {
    End(id, CallEnd::kComplete);
    return;
  }
  loop_.After(engine.event_interval * engine.slowdown, [this, id] {
    const auto it = calls_.find(id);
    if (it == calls_.end()) return;
    Call& call = it->second;
    const FakeEngine& engine = engines_.engines.at(call.engine);
    if (engine.silent) return;
    if (engine.sends_comments) {
      const std::function<void(std::string_view)> on_body = call.handlers.on_body;
      if (on_body) on_body(": no event\n");
      if (calls_.contains(id)) ScheduleNextEvent(id);
      return;
    }
    if (call.break_after > 0 && call.events_sent == call.break_after) {
      const std::function<void(std::string_view)> on_body = call.handlers.on_body;
      if (on_body) on_body(absl::StrCat("id: ", call.next_event, "\ndata: cut in the mid"));
      End(id, CallEnd::kBroken);
      return;
    }
    const std::string model(FindHeader(call.request.headers, "Model"));
    const std::int64_t version = engine.weights.contains(model) ? engine.weights.at(model) : 0;
    std::string text;
    if (version != call.version) absl::StrAppend(&text, "weight-versions: ", version, "\n");
    call.version = version;
    engines_.event_versions[call.request.request_id][static_cast<int>(call.next_event)] = version;
    engines_.event_software[call.request.request_id][static_cast<int>(call.next_event)] =
        engine.entry.software;
    absl::StrAppend(&text, "id: ", call.next_event, "\ndata: ", call.request.request_id, ":", call.next_event,
                    "\n\n");
    ++call.next_event;
    ++call.events_sent;
    const std::function<void(std::string_view)> on_body = call.handlers.on_body;
    if (on_body) on_body(text);
    if (calls_.contains(id)) ScheduleNextEvent(id);
  });
}

void EnginePort::End(CallId id, CallEnd end) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  const std::function<void(CallEnd)> on_end = std::move(it->second.handlers.on_end);
  const auto engine = engines_.engines.find(it->second.engine);
  if (engine != engines_.engines.end()) --engine->second.running;
  calls_.erase(it);
  if (on_end) on_end(end);
}

void EnginePort::Cancel(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  const auto engine = engines_.engines.find(it->second.engine);
  if (engine != engines_.engines.end()) --engine->second.running;
  calls_.erase(it);
}

void EnginePort::Kill() {
  while (!calls_.empty()) Cancel(calls_.begin()->first);
}

void EnginePort::FetchReport(const UpstreamEntry& upstream, std::function<void(const EngineReport&)> done) {
  loop_.After(kLinkDelay, [this, id = upstream.id, done = std::move(done)] {
    EngineReport report;
    const auto it = engines_.engines.find(id);
    if (it != engines_.engines.end() && !it->second.silent) {
      report.known = true;
      report.leaving = it->second.leaving || it->second.leaves_in;
      report.leaves_in = it->second.leaves_in;
      report.busy = loop_.Now() < it->second.loading_until;
      report.orders_accepted = it->second.orders_accepted;
      report.running = it->second.running;
      report.weights = it->second.weights;
    }
    done(report);
  });
}

void EnginePort::FetchLoad(const UpstreamEntry& upstream, const std::string&,
                           std::function<void(const std::optional<AnswerHead>&)> done) {
  ++engines_.load_requests;
  loop_.After(kLinkDelay, [this, id = upstream.id, done = std::move(done)] {
    const auto it = engines_.engines.find(id);
    if (it == engines_.engines.end() || it->second.silent) {
      loop_.After(kReplyTimeout, [done] { done(std::nullopt); });
      return;
    }
    AnswerHead head;
    head.status = 200;
    head.request_limit = it->second.request_limit;
    head.load = ReportedLoad{it->second.running, 0, it->second.entry.slots, it->second.slowdown};
    done(head);
  });
}

void EnginePort::SendOrder(const UpstreamEntry& upstream, const WeightsOrder& order,
                           std::function<void(OrderOutcome)> done) {
  engines_.orders.push_back({loop_.Now(), upstream.id, order});
  loop_.After(kLinkDelay, [this, id = upstream.id, order, done = std::move(done)] {
    const auto it = engines_.engines.find(id);
    if (it == engines_.engines.end() || it->second.silent) {
      done(OrderOutcome::kUnknown);
      return;
    }
    if (it->second.delays_orders) {
      engines_.delayed_orders.push_back({id, order});
      done(OrderOutcome::kUnknown);
      return;
    }
    done(engines_.ApplyOrder(id, order));
  });
}

Policy MakePolicy() {
  Policy policy;
  policy.version = 1;
  Route rollout;
  rollout.name = "rollout";
  rollout.host = "train.example";
  rollout.prefix = "/r/";
  rollout.kind = RouteKind::kRollout;
  rollout.max_attempts = 3;
  rollout.services = {{"engines", 1}};
  rollout.max_item_age = absl::Seconds(40);
  Route lookup;
  lookup.name = "lookup";
  lookup.host = "app.example";
  lookup.prefix = "/l/";
  lookup.kind = RouteKind::kIdempotent;
  lookup.timeout = absl::Milliseconds(1500);
  lookup.objective = absl::Milliseconds(150);
  lookup.max_attempts = 2;
  lookup.services = {{"lookups", 1}};
  policy.routes = {rollout, lookup};
  ServiceSpec engines;
  engines.name = "engines";
  engines.models = {"words"};
  engines.health_path = "/health";
  ServiceSpec lookups;
  lookups.name = "lookups";
  policy.services = {engines, lookups};
  return policy;
}

std::string ExpectedOutput(const std::string& request, int events) {
  std::string text;
  for (int it = 1; it <= events; ++it) absl::StrAppend(&text, it == 1 ? "" : "\n", request, ":", it);
  return text;
}

}  // namespace oleander::serving::fakes
