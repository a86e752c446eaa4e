// Generations: choosing an engine, forwarding to the responsible host, queueing for the engine, running
// slices.
#include <algorithm>
#include <cassert>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "contracts/strict_json.h"
#include "hosts/host_state.h"

namespace oleander {
namespace {

// Longest time that a slice of a training generation waits in an engine's queue; the requester then chooses
// an engine again. This limits how long a requester waits for a responsible host that is paused.
constexpr absl::Duration kTrainingQueueDeadline = absl::Seconds(20);
// Time for the tokens of one slice, in addition to the time in the queue.
constexpr absl::Duration kSliceDeadline = absl::Minutes(2);
// Used if the generation is not sliced. The idle timeout of the engine client ends a stalled stream, so this
// only bounds the peer call.
constexpr absl::Duration kUnslicedDeadline = absl::Minutes(30);
// Interval at which a queued request checks whether its requester still waits.
constexpr absl::Duration kWantedPollInterval = absl::Milliseconds(500);
// Attempts of one generation with retries, also limited by the retry budget.
constexpr int kMaxAttempts = 4;

// The chosen engine.
struct EngineTarget {
  Upstream upstream;
  std::shared_ptr<UpstreamStats> stats;
  std::optional<Member> responsible_host;  // set if it is another host
  int slice_tokens = 0;
  absl::Duration queue_deadline;
};

leaf::result<EngineTarget> ChooseEngine(Host& host, const GenerateRequest& request,
                                        const std::vector<UpstreamId>& exclude) {
  RequestShape shape;
  shape.model = request.model;
  shape.prefix_hash = PrefixHash(request.prompt);
  shape.expected_tokens = request.expected_tokens;
  shape.work_class = request.work_class;
  shape.exclude = exclude;
  const ReadView view(*host.routing);
  BOOST_LEAF_AUTO(index, PickEngine(*view, shape, absl::Now(), ThreadRandom()));
  const UpstreamView& chosen = view->upstreams[index];
  EngineTarget target;
  target.upstream = chosen.upstream;
  target.stats = chosen.stats;
  target.slice_tokens = chosen.policy.slice_tokens;
  target.queue_deadline = absl::Milliseconds(chosen.policy.queue_deadline_ms);
  if (chosen.responsible_host.empty() || chosen.responsible_host == host.settings.host.id) return target;
  for (const Member& it : view->members) {
    if (it.id == chosen.responsible_host) target.responsible_host = it;
  }
  return target;
}

Json RequestToJson(const UpstreamId& engine, const GenerateRequest& request) {
  return {{"engine", engine},
          {"request_id", request.request_id},
          {"model", request.model},
          {"prompt", request.prompt},
          {"resume_tokens", request.resume_tokens},
          {"max_tokens", request.max_tokens},
          {"slice_tokens", request.slice_tokens},
          {"seed", request.seed},
          {"class", static_cast<int>(request.work_class)},
          {"job", request.job},
          {"step", request.step},
          {"expected_tokens", request.expected_tokens},
          {"queue_deadline_ms", absl::ToInt64Milliseconds(request.queue_deadline)}};
}

leaf::result<std::pair<UpstreamId, GenerateRequest>> RequestFromBytes(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseMessagePack(body, ErrorKind::kPeerProtocol));
  try {
    GenerateRequest request;
    request.request_id = json.at("request_id").get<std::string>();
    request.model = json.at("model").get<std::string>();
    request.prompt = json.at("prompt").get<std::string>();
    request.resume_tokens = json.at("resume_tokens").get<std::vector<std::int32_t>>();
    request.max_tokens = json.at("max_tokens").get<int>();
    request.slice_tokens = json.at("slice_tokens").get<int>();
    request.seed = json.at("seed").get<std::uint64_t>();
    const int work_class = json.at("class").get<int>();
    if (work_class < 0 || work_class > static_cast<int>(WorkClass::kRollout))
      return Fail(ErrorKind::kPeerProtocol, absl::StrCat("generate: unknown work class ", work_class));
    request.work_class = static_cast<WorkClass>(work_class);
    request.job = json.at("job").get<std::string>();
    request.step = json.at("step").get<std::int64_t>();
    request.expected_tokens = json.at("expected_tokens").get<int>();
    request.queue_deadline = absl::Milliseconds(json.at("queue_deadline_ms").get<std::int64_t>());
    return std::pair<UpstreamId, GenerateRequest>(json.at("engine").get<std::string>(), std::move(request));
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kPeerProtocol, absl::StrCat("generate: ", ex.what()));
  }
}

std::string ChunkToBytes(const GenerateChunk& chunk) {
  return ToMessagePack({{"t", chunk.tokens}, {"v", chunk.version}, {"f", static_cast<int>(chunk.finish)}});
}

leaf::result<GenerateChunk> ChunkFromBytes(const std::string& part) {
  BOOST_LEAF_AUTO(json, ParseMessagePack(part, ErrorKind::kPeerProtocol));
  try {
    GenerateChunk chunk;
    chunk.tokens = json.at("t").get<std::vector<std::int32_t>>();
    chunk.version = json.at("v").get<Version>();
    const int finish = json.at("f").get<int>();
    if (finish < 0 || finish > static_cast<int>(FinishReason::kLength))
      return Fail(ErrorKind::kPeerProtocol, "generate: unknown finish reason");
    chunk.finish = static_cast<FinishReason>(finish);
    return chunk;
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kPeerProtocol, absl::StrCat("generate: ", ex.what()));
  }
}

void StoreMax(std::atomic<Version>& target, Version value) {
  Version seen = target.load(std::memory_order_relaxed);
  while (seen < value && !target.compare_exchange_weak(seen, value, std::memory_order_relaxed)) {
  }
}

// The parts of an engine's entry that are kept when the view is rebuilt. Null if the engine is unknown.
struct EngineState {
  std::shared_ptr<EngineSlotQueue> slots;
  std::shared_ptr<EngineHint> hint;
};
EngineState FindEngine(Host& host, const UpstreamId& id) {
  const absl::MutexLock lock(&host.control_mutex);
  const auto it = host.upstreams.find(id);
  if (it == host.upstreams.end()) return {};
  return {it->second.slots, it->second.hint};
}

// Classifies the end of a slice for the engine's statistics. An error of a host, such as a refusal or a
// failed connection, says nothing about the engine.
template <class T>
CallOutcome CallOutcomeOf(const Outcome<T>& outcome, bool cancelled) {
  if (cancelled) return CallOutcome::kUnknown;
  if (Ok(outcome)) return CallOutcome::kOk;
  switch (ErrorOf(outcome).kind) {
    case ErrorKind::kUpstreamRefused:
    case ErrorKind::kUpstreamFailed:
    case ErrorKind::kUpstreamTimeout:
    case ErrorKind::kUpstreamProtocol:
      return CallOutcome::kFailed;
    default:
      return CallOutcome::kUnknown;
  }
}

// Runs one slice through the responsible host.
leaf::result<void> GenerateViaPeer(Host& host, const EngineTarget& target, const GenerateRequest& request,
                                   const ChunkSink& sink) {
  const absl::Duration run_deadline = request.slice_tokens > 0 ? kSliceDeadline : kUnslicedDeadline;
  const EngineState engine = FindEngine(host, target.upstream.id);
  std::optional<Error> malformed;
  const absl::Time start = absl::Now();
  InFlightCall in_flight_call = StartCall(*target.stats, start);
  bool cancelled = false;
  const Outcome<std::string> last = Capture<std::string>([&] {
    return CallPeer(*host.peers, target.responsible_host->peer, "generate",
                    ToMessagePack(RequestToJson(target.upstream.id, request)),
                    request.queue_deadline + run_deadline, [&](const std::string& part) {
                      const Outcome<GenerateChunk> chunk =
                          Capture<GenerateChunk>([&] { return ChunkFromBytes(part); });
                      if (!Ok(chunk)) {
                        malformed = ErrorOf(chunk);
                        return false;
                      }
                      const int tokens = static_cast<int>(Value(chunk).tokens.size());
                      if (tokens > 0) RecordProgress(*target.stats, in_flight_call, tokens, absl::Now());
                      if (engine.hint) StoreMax(engine.hint->version, Value(chunk).version);
                      cancelled = !sink(Value(chunk));
                      return !cancelled;
                    });
  });
  FinishCall(*target.stats, in_flight_call, UpstreamKind::kEngine, CallOutcomeOf(last, cancelled),
             absl::Now());
  CountLatency(GlobalMetrics(), LatencyKind::kPeerCall, absl::Now() - start);
  if (malformed) return Fail(*malformed);
  if (!Ok(last)) return Fail(ErrorOf(last));
  const Outcome<Json> parsed =
      Capture<Json>([&] { return ParseMessagePack(Value(last), ErrorKind::kPeerProtocol); });
  const Json json = Ok(parsed) ? Value(parsed) : Json();
  if (engine.hint && json.is_object() && json.value("queued", Json()).is_number_integer() &&
      json.value("assigned", Json()).is_number_integer()) {
    engine.hint->queued.store(json["queued"].get<int>(), std::memory_order_relaxed);
    engine.hint->assigned.store(json["assigned"].get<int>(), std::memory_order_relaxed);
  }
  return {};
}

// Wakes queued requests while the engine has free slots.
void StartWaiters(EngineSlotQueue& slots) ABSL_EXCLUSIVE_LOCKS_REQUIRED(slots.mutex) {
  while (std::optional<QueuedWork> work = StartNext(slots.queue)) {
    const auto it = slots.waiters.find(work->id);
    assert(it != slots.waiters.end());
    it->second->started = true;
    it->second->started_changed.Signal();
  }
  slots.queued.store(QueueLength(slots.queue), std::memory_order_relaxed);
  slots.assigned.store(
      slots.queue.running_interactive + slots.queue.running_training + QueueLength(slots.queue),
      std::memory_order_relaxed);
}

// True if this host is draining and another host is now responsible for the engine, so queued work should
// move there.
bool HasOtherResponsibleHost(Host& host, const UpstreamId& engine) {
  if (!host.draining.load(std::memory_order_acquire)) return false;
  const ReadView view(*host.routing);
  const auto it = view->by_id.find(engine);
  if (it == view->by_id.end()) return false;
  const HostId& responsible_host = view->upstreams[it->second].responsible_host;
  return !responsible_host.empty() && responsible_host != host.settings.host.id;
}

// Waits for a slot of the engine. On error (kOverloaded, kQueueDeadline, kShuttingDown) nothing was sent to
// the engine.
leaf::result<QueuedWork> AcquireSlot(Host& host, EngineSlotQueue& slots, const Policy& policy, double weight,
                                     const UpstreamId& engine, const GenerateRequest& request,
                                     const std::function<bool()>& wanted) {
  EngineWaiter waiter;
  QueuedWork work;
  work.work_class = request.work_class;
  work.job = request.job;
  work.step = request.step;
  work.expected_tokens = request.expected_tokens;
  work.weight = weight;
  work.slice_tokens = request.slice_tokens;
  work.deadline = absl::Now() + request.queue_deadline;
  const absl::MutexLock lock(&slots.mutex);
  slots.queue.max_in_flight = policy.engine_max_in_flight;
  slots.queue.reserved_interactive = policy.engine_reserved_interactive;
  slots.queue.max_length = policy.engine_queue_length;
  work.id = slots.next_id++;
  slots.waiters[work.id] = &waiter;
  const Outcome<std::monostate> queued =
      Capture<std::monostate>([&]() -> leaf::result<void> { return Enqueue(slots.queue, work); });
  if (!Ok(queued)) {
    slots.waiters.erase(work.id);
    return Fail(ErrorOf(queued));
  }
  StartWaiters(slots);
  std::optional<Error> refused;
  while (!waiter.started && !refused) {
    waiter.started_changed.WaitWithDeadline(&slots.mutex,
                                            std::min(absl::Now() + kWantedPollInterval, work.deadline));
    if (waiter.started) break;
    // Both checks can take long and do not need the queue, so the lock is released for them.
    slots.mutex.Unlock();
    const bool abandoned = !wanted();
    const bool reassigned = HasOtherResponsibleHost(host, engine);
    slots.mutex.Lock();
    if (waiter.started) break;
    if (absl::Now() >= work.deadline) {
      refused = Error{ErrorKind::kQueueDeadline, absl::StrCat("engine ", engine, ": no slot within ",
                                                              absl::FormatDuration(request.queue_deadline))};
    } else if (abandoned) {
      refused = Error{ErrorKind::kQueueDeadline, "the requester stopped waiting for a slot"};
    } else if (reassigned) {
      refused = Error{ErrorKind::kShuttingDown,
                      absl::StrCat("engine ", engine, " is now assigned to another host")};
    }
  }
  slots.waiters.erase(work.id);
  if (refused) {
    RemoveQueued(slots.queue, work.id);
    StartWaiters(slots);
    return Fail(*refused);
  }
  return work;
}

void ReleaseSlot(EngineSlotQueue& slots, const QueuedWork& work, int tokens) {
  const absl::MutexLock lock(&slots.mutex);
  FinishWork(slots.queue, work, tokens);
  StartWaiters(slots);
}

}  // namespace

leaf::result<void> GenerateLocally(Host& host, const UpstreamId& engine, const GenerateRequest& request,
                                   const ChunkSink& sink, const std::function<bool()>& wanted) {
  Upstream upstream;
  Policy policy;
  double weight = 1;
  std::shared_ptr<UpstreamStats> stats;
  {
    const ReadView view(*host.routing);
    const auto it = view->by_id.find(engine);
    if (it == view->by_id.end())
      return Fail(ErrorKind::kNoUpstream, absl::StrCat("engine ", engine, " is not in the routing view"));
    const UpstreamView& entry = view->upstreams[it->second];
    upstream = entry.upstream;
    policy = entry.policy;
    stats = entry.stats;
    if (!request.job.empty()) {
      weight = EffectivePolicy(view->policy, view->exceptions, {request.job, "", "", ""}).trainer_weight;
    }
  }
  const EngineState state = FindEngine(host, engine);
  if (!state.slots)
    return Fail(ErrorKind::kNoUpstream, absl::StrCat("engine ", engine, " is unknown or was removed"));
  BOOST_LEAF_AUTO(work, AcquireSlot(host, *state.slots, policy, weight, engine, request, wanted));

  const absl::Time start = absl::Now();
  int tokens = 0;
  bool cancelled = false;
  InFlightCall in_flight_call = StartCall(*stats, start);
  const Outcome<std::monostate> outcome = Capture<std::monostate>([&]() -> leaf::result<void> {
    return host.engines.generate(upstream, request, [&](const GenerateChunk& chunk) {
      if (!chunk.tokens.empty()) {
        const absl::Time now = absl::Now();
        if (tokens == 0) CountLatency(GlobalMetrics(), LatencyKind::kFirstToken, now - start);
        RecordProgress(*stats, in_flight_call, static_cast<int>(chunk.tokens.size()), now);
        tokens += static_cast<int>(chunk.tokens.size());
      }
      StoreMax(state.hint->version, chunk.version);
      cancelled = !sink(chunk);
      return !cancelled;
    });
  });
  FinishCall(*stats, in_flight_call, UpstreamKind::kEngine, CallOutcomeOf(outcome, cancelled), absl::Now());
  ReleaseSlot(*state.slots, work, tokens);
  if (cancelled) {
    // Without the cancellation the engine would continue generating. If it is lost, only load is wasted.
    (void)Capture<std::monostate>(
        [&]() -> leaf::result<void> { return host.engines.cancel(upstream, request.request_id); });
    return Fail(ErrorKind::kUpstreamFailed, "the requester stopped waiting for the generation");
  }
  if (!Ok(outcome)) return Fail(ErrorOf(outcome));
  return {};
}

leaf::result<void> Generate(Host& host, GenerateRequest request, bool retry, const ChunkSink& sink,
                            const std::function<bool()>& wanted) {
  const std::string base_id = request.request_id;
  const int max_tokens = request.max_tokens;
  const bool interactive = request.work_class == WorkClass::kInteractive;
  std::vector<UpstreamId> failed;
  std::optional<Error> may_have_run;  // first error of an attempt that may have run
  int attempts = 0;
  bool finished = false;
  if (retry) {
    if (PoolStats* pool = FindPool(host, request.model)) EarnBudget(pool->retries, absl::Now());
  }
  for (int slice = 0; !finished; ++slice) {
    Outcome<EngineTarget> target = Capture<EngineTarget>(
        [&]() -> leaf::result<EngineTarget> { return ChooseEngine(host, request, failed); });
    if (!Ok(target) && !failed.empty()) {
      // Every engine has failed once; allow all of them for the next attempt.
      failed.clear();
      target = Capture<EngineTarget>(
          [&]() -> leaf::result<EngineTarget> { return ChooseEngine(host, request, failed); });
    }
    if (!Ok(target)) return Fail(may_have_run ? *may_have_run : ErrorOf(target));
    request.request_id = absl::StrCat(base_id, "-", slice);
    request.slice_tokens = Value(target).slice_tokens;
    request.queue_deadline = interactive ? Value(target).queue_deadline : kTrainingQueueDeadline;
    int received = 0;
    std::optional<Error> protocol_error;
    const ChunkSink on_chunk = [&](const GenerateChunk& chunk) {
      if (chunk.tokens.empty() && chunk.finish == FinishReason::kNone) return wanted();
      if (finished || static_cast<int>(request.resume_tokens.size() + chunk.tokens.size()) > max_tokens) {
        protocol_error = Error{ErrorKind::kUpstreamProtocol,
                               "the engine sent tokens beyond max_tokens or after its finish reason"};
        return false;
      }
      received += static_cast<int>(chunk.tokens.size());
      request.resume_tokens.insert(request.resume_tokens.end(), chunk.tokens.begin(), chunk.tokens.end());
      finished = chunk.finish != FinishReason::kNone;
      return sink(chunk) && wanted();
    };
    // A copy, because `on_chunk` appends to request.resume_tokens while the engine client still counts tokens
    // from the resume_tokens that were sent.
    const GenerateRequest sent = request;
    const Outcome<std::monostate> outcome = Capture<std::monostate>([&]() -> leaf::result<void> {
      if (Value(target).responsible_host) return GenerateViaPeer(host, Value(target), sent, on_chunk);
      return GenerateLocally(host, Value(target).upstream.id, sent, on_chunk, wanted);
    });
    request.expected_tokens = std::max(0, request.expected_tokens - received);
    std::optional<Error> error;
    if (protocol_error) {
      error = protocol_error;
    } else if (!Ok(outcome)) {
      error = ErrorOf(outcome);
    } else if (!finished && received == 0) {
      error = Error{ErrorKind::kUpstreamProtocol, "the engine ended a slice without any token"};
    }
    if (!error) continue;
    if (finished && !protocol_error)
      return {};  // the answer is complete; only the end of the stream was lost
    if (!DescribeError(error->kind).not_run || received > 0) {
      if (!may_have_run)
        may_have_run = DescribeError(error->kind).not_run
                           ? Error{ErrorKind::kUpstreamFailed,
                                   absl::StrCat("failed after tokens were received: ", error->detail)}
                           : *error;
    }
    finished = false;
    if (!wanted()) return Fail(*error);
    const Error final_error = may_have_run ? *may_have_run : *error;
    if (!retry || protocol_error || !IsRetryableElsewhere(error->kind) || ++attempts >= kMaxAttempts)
      return Fail(final_error);
    PoolStats* pool = FindPool(host, request.model);
    if (pool == nullptr || !SpendBudget(pool->retries, absl::Now())) {
      CountRetry(GlobalMetrics(), RetryReason::kBudgetExhausted);
      return Fail(final_error);
    }
    CountRetry(GlobalMetrics(), RetryReasonFor(error->kind));
    failed.push_back(Value(target).upstream.id);
  }
  return {};
}

leaf::result<std::string> HandleGenerate(Host& host, const std::string& body, const PeerSink& sink) {
  BOOST_LEAF_AUTO(decoded, RequestFromBytes(body));
  if (host.draining.load(std::memory_order_acquire))
    return Fail(ErrorKind::kShuttingDown, absl::StrCat("host ", host.settings.host.id, " is shutting down"));
  // The limit keeps handler threads free for other kinds of messages, most importantly pings.
  const int limit = host.settings.generation_threads;
  if (host.peer_generations.fetch_add(1, std::memory_order_relaxed) >= limit) {
    host.peer_generations.fetch_sub(1, std::memory_order_relaxed);
    return Fail(ErrorKind::kOverloaded,
                absl::StrCat("host ", host.settings.host.id, " already serves the maximum of ", limit,
                             " generations for other hosts"));
  }
  // Sending an empty chunk checks whether the requester's stream is still open.
  const std::function<bool()> wanted = [&sink] { return sink(ChunkToBytes({})); };
  const Outcome<std::monostate> outcome = Capture<std::monostate>([&]() -> leaf::result<void> {
    return GenerateLocally(
        host, decoded.first, decoded.second,
        [&sink](const GenerateChunk& chunk) { return sink(ChunkToBytes(chunk)); }, wanted);
  });
  host.peer_generations.fetch_sub(1, std::memory_order_relaxed);
  if (!Ok(outcome)) return Fail(ErrorOf(outcome));
  const EngineState engine = FindEngine(host, decoded.first);
  Json last = Json::object();
  if (engine.slots) {
    last["queued"] = engine.slots->queued.load(std::memory_order_relaxed);
    last["assigned"] = engine.slots->assigned.load(std::memory_order_relaxed);
  }
  return ToMessagePack(last);
}

}  // namespace oleander
