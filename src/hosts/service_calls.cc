// Calls to services: hedges and retries of idempotent calls, claims and tickets for non-idempotent calls.
#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "contracts/strict_json.h"
#include "hosts/host_state.h"

namespace oleander {
namespace {

// Attempts of one call: the first, one hedge, two retries.
constexpr int kMaxAttempts = 4;
// A hedge starts after the latency within which this fraction of recent calls was answered.
constexpr double kHedgePercentile = 0.95;
// Below this delay, hedges would be triggered by scheduling jitter.
constexpr absl::Duration kMinHedgeDelay = absl::Milliseconds(1);
// Added to the call's own deadline for the peer call that carries a ticket call.
constexpr absl::Duration kPeerCallMargin = absl::Milliseconds(500);

struct CallAttempt {
  UpstreamId upstream;
  Outcome<ServiceAnswer> outcome;
  std::atomic<bool> done{false};  // `outcome` is set
  bool collected = false;         // the requester has processed the outcome
};

// Shared by the requester and the threads of its attempts. An attempt that lost can end after the request.
struct Race {
  ServiceRequest request;
  std::array<CallAttempt, kMaxAttempts> attempts;
  Semaphore finished;
};

struct Choice {
  Upstream upstream;
  std::shared_ptr<UpstreamStats> stats;
};

leaf::result<Choice> ChooseService(Host& host, const PoolId& service,
                                   const std::vector<UpstreamId>& exclude) {
  const ReadView view(*host.routing);
  BOOST_LEAF_AUTO(index, PickService(*view, service, exclude, absl::Now(), ThreadRandom()));
  return Choice{view->upstreams[index].upstream, view->upstreams[index].stats};
}

// Calls one upstream and records the call in its statistics.
Outcome<ServiceAnswer> CallUpstream(Host& host, const Choice& choice, const ServiceRequest& request) {
  const InFlightCall in_flight_call = StartCall(*choice.stats, absl::Now());
  Outcome<ServiceAnswer> outcome =
      Capture<ServiceAnswer>([&] { return host.services.call(choice.upstream, request); });
  FinishCall(*choice.stats, in_flight_call, UpstreamKind::kService,
             Ok(outcome) ? CallOutcome::kOk : CallOutcome::kFailed, absl::Now());
  return outcome;
}

void RunAttempt(Host& host, const std::shared_ptr<Race>& race, int index, const Choice& choice,
                absl::Time deadline) {
  ServiceRequest request = race->request;
  request.request_id = absl::StrCat(race->request.request_id, "-", index);
  request.deadline = std::max(deadline - absl::Now(), absl::Milliseconds(1));
  CallAttempt& self = race->attempts[index];
  self.outcome = CallUpstream(host, choice, request);
  self.done.store(true, std::memory_order_release);
  race->finished.Post();
}

// Results of the attempts so far.
struct AttemptSummary {
  int running = 0;
  std::optional<ServiceAnswer> answer;
  std::optional<Error> last;          // latest failure
  std::optional<Error> may_have_run;  // first failure of an attempt that may have run
};

void CollectFinished(Race& race, int started, AttemptSummary& summary) {
  for (int it = 0; it < started; ++it) {
    CallAttempt& attempt = race.attempts[it];
    if (attempt.collected || !attempt.done.load(std::memory_order_acquire)) continue;
    attempt.collected = true;
    --summary.running;
    if (Ok(attempt.outcome)) {
      if (!summary.answer) summary.answer = std::move(Value(attempt.outcome));
      continue;
    }
    summary.last = ErrorOf(attempt.outcome);
    if (!DescribeError(summary.last->kind).not_run && !summary.may_have_run)
      summary.may_have_run = summary.last;
  }
}

// Converts a refusal that came before the claim was acquired. It must not say "not run": a load balancer may
// have repeated the request after another host ran it.
Error AsClaimUnavailable(const Error& error) {
  if (!DescribeError(error.kind).not_run) return error;
  return Error{ErrorKind::kClaimUnavailable,
               absl::StrCat(std::string(DescribeError(error.kind).name), ": ", error.detail)};
}

leaf::result<ServiceAnswer> RunTicketLocally(Host& host, const Ticket& ticket, const OnceCall& call) {
  return CallWithTicket(host.tickets, host.once, ticket, call, absl::Now());
}

Json CallToJson(const std::string& ticket, const OnceCall& call) {
  return {{"ticket", ticket},
          {"caller", call.caller},
          {"service", call.service},
          {"request_id", call.request.request_id},
          {"method", call.request.method},
          {"path", call.request.path},
          {"body", call.request.body},
          {"content_type", call.request.content_type},
          {"attempt", call.attempt},
          {"deadline_ms", absl::ToInt64Milliseconds(call.request.deadline)}};
}

leaf::result<ServiceAnswer> AnswerFromBytes(const std::string& bytes) {
  BOOST_LEAF_AUTO(json, ParseMessagePack(bytes, ErrorKind::kOutcomeUnknown));
  try {
    ServiceAnswer answer;
    answer.status = json.at("status").get<int>();
    answer.body = json.at("body").get<std::string>();
    answer.content_type = json.at("content_type").get<std::string>();
    return answer;
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kOutcomeUnknown, absl::StrCat("ticket-call: ", ex.what()));
  }
}

// Reads the ticket's outcome from the table, for a ticket whose issuer is dead, restarted or unreachable.
leaf::result<ServiceAnswer> ReadTicketOutcome(Host& host, const Ticket& ticket, const OnceCall& call) {
  Outcome<ServiceAnswer> outcome =
      Capture<ServiceAnswer>([&] { return FindTicketOutcome(host.table, ticket, call); });
  if (Ok(outcome)) return std::move(Value(outcome));
  return Fail(ErrorOf(outcome));
}

}  // namespace

PoolStats* FindPool(Host& host, const PoolId& pool) {
  const PoolStatsMap* const pools = host.pool_stats.load(std::memory_order_acquire);
  if (pools == nullptr) return nullptr;
  const auto it = pools->find(pool);
  return it == pools->end() ? nullptr : it->second.get();
}

bool IsRetryableElsewhere(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kUpstreamRefused:
    case ErrorKind::kUpstreamFailed:
    case ErrorKind::kUpstreamTimeout:
    case ErrorKind::kUpstreamProtocol:
    case ErrorKind::kPeerUnreachable:
    case ErrorKind::kPeerProtocol:
    case ErrorKind::kOutcomeUnknown:
    case ErrorKind::kShuttingDown:
      return true;
    default:
      return false;
  }
}

RetryReason RetryReasonFor(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kUpstreamRefused:
      return RetryReason::kUpstreamRefused;
    case ErrorKind::kUpstreamTimeout:
      return RetryReason::kUpstreamTimeout;
    case ErrorKind::kUpstreamProtocol:
      return RetryReason::kUpstreamProtocol;
    case ErrorKind::kUpstreamFailed:
      return RetryReason::kUpstreamFailed;
    default:
      return RetryReason::kPeerUnreachable;
  }
}

bool IsNonIdempotent(const RoutingView& view, const PoolId& service) {
  const auto it = view.by_pool.find(service);
  if (it == view.by_pool.end())
    return EffectivePolicy(view.policy, view.exceptions, {"", service, "", ""}).non_idempotent;
  // An exception may apply to a single upstream or zone. The call may be routed there, so the whole service
  // is treated as non-idempotent.
  return std::any_of(it->second.begin(), it->second.end(),
                     [&](int index) { return view.upstreams[index].policy.non_idempotent; });
}

absl::Duration CallDeadline(const RoutingView& view, const PoolId& service) {
  const auto it = view.by_pool.find(service);
  if (it == view.by_pool.end() || it->second.empty()) return absl::Milliseconds(view.policy.call_deadline_ms);
  return absl::Milliseconds(view.upstreams[it->second.front()].policy.call_deadline_ms);
}

leaf::result<ServiceAnswer> CallIdempotent(Host& host, const PoolId& service, const ServiceRequest& request) {
  const absl::Time begin = absl::Now();
  const absl::Time deadline = begin + request.deadline;
  PoolStats* const pool = FindPool(host, service);
  const std::shared_ptr<Race> race = std::make_shared<Race>();
  race->request = request;
  std::vector<UpstreamId> tried;
  AttemptSummary summary;
  int started = 0;
  absl::Time hedge_at = absl::InfiniteFuture();
  if (pool != nullptr) {
    EarnBudget(pool->hedges, begin);
    EarnBudget(pool->retries, begin);
    const absl::Duration delay = LatencyPercentile(*pool->latencies, kHedgePercentile);
    hedge_at = begin + std::max(delay, kMinHedgeDelay);
  }
  // Starts an attempt, normally on a pool thread. With `may_block` it runs on this thread instead if no pool
  // thread is idle, or if no other attempt is running and no hedge is scheduled. Returns false if it was not
  // started.
  const auto start = [&](const Choice& choice, bool may_block) {
    const int index = started;
    race->attempts[index].upstream = choice.upstream.id;
    tried.push_back(choice.upstream.id);
    Host* const owner = &host;
    const bool alone = hedge_at == absl::InfiniteFuture() && summary.running == 0;
    const auto run = [owner, race, index, choice, deadline] {
      RunAttempt(*owner, race, index, choice, deadline);
    };
    if ((alone && may_block) || !host.call_pool->SubmitIfIdle(run)) {
      if (!may_block) {
        tried.pop_back();
        return false;
      }
      hedge_at = absl::InfiniteFuture();
      ++started;
      ++summary.running;
      run();
      return true;
    }
    ++started;
    ++summary.running;
    return true;
  };

  {
    BOOST_LEAF_AUTO(first, ChooseService(host, service, tried));
    start(first, true);
  }
  while (true) {
    CollectFinished(*race, started, summary);
    if (summary.answer) {
      if (pool != nullptr) RecordLatency(*pool->latencies, absl::Now() - begin);
      return std::move(*summary.answer);
    }
    const absl::Time now = absl::Now();
    if (now >= deadline) break;
    if (summary.running == 0) {
      // Every attempt so far has failed.
      if (started >= kMaxAttempts || !IsRetryableElsewhere(summary.last->kind)) break;
      if (pool == nullptr || !SpendBudget(pool->retries, now)) {
        CountRetry(GlobalMetrics(), RetryReason::kBudgetExhausted);
        break;
      }
      Outcome<Choice> next =
          Capture<Choice>([&]() -> leaf::result<Choice> { return ChooseService(host, service, tried); });
      if (!Ok(next)) {
        // All upstreams have been tried. A call to a healthy upstream can fail because the upstream closed a
        // reused connection, so the same upstream may be tried again.
        tried.clear();
        next = Capture<Choice>([&]() -> leaf::result<Choice> { return ChooseService(host, service, tried); });
      }
      if (!Ok(next)) break;
      CountRetry(GlobalMetrics(), RetryReasonFor(summary.last->kind));
      start(Value(next), true);
      continue;
    }
    if (now >= hedge_at) {
      hedge_at = absl::InfiniteFuture();
      if (started >= kMaxAttempts || pool == nullptr) continue;
      const Outcome<Choice> next =
          Capture<Choice>([&]() -> leaf::result<Choice> { return ChooseService(host, service, tried); });
      if (!Ok(next)) continue;
      if (!SpendBudget(pool->hedges, now)) {
        CountRetry(GlobalMetrics(), RetryReason::kBudgetExhausted);
        continue;
      }
      if (start(Value(next), false)) CountRetry(GlobalMetrics(), RetryReason::kHedge);
      continue;
    }
    race->finished.WaitUntil(std::min(hedge_at, deadline));
  }
  if (summary.may_have_run) return Fail(*summary.may_have_run);
  if (summary.running > 0)
    return Fail(ErrorKind::kUpstreamTimeout, absl::StrCat("service ", service, ": no answer within ",
                                                          absl::FormatDuration(request.deadline)));
  return Fail(*summary.last);
}

leaf::result<ServiceAnswer> CallUpstreamOnce(Host& host, const PoolId& service,
                                             const ServiceRequest& request) {
  std::vector<UpstreamId> tried;
  PoolStats* const pool = FindPool(host, service);
  if (pool != nullptr) EarnBudget(pool->retries, absl::Now());
  std::optional<Error> refused;
  while (true) {
    const Outcome<Choice> choice =
        Capture<Choice>([&]() -> leaf::result<Choice> { return ChooseService(host, service, tried); });
    if (!Ok(choice)) return Fail(refused ? *refused : ErrorOf(choice));
    Outcome<ServiceAnswer> outcome = CallUpstream(host, Value(choice), request);
    if (Ok(outcome)) return std::move(Value(outcome));
    refused = ErrorOf(outcome);
    // Another upstream may be tried only if this one refused before the first byte was sent.
    if (refused->kind != ErrorKind::kUpstreamRefused) return Fail(*refused);
    tried.push_back(Value(choice).upstream.id);
    if (static_cast<int>(tried.size()) >= kMaxAttempts) return Fail(*refused);
    if (pool == nullptr || !SpendBudget(pool->retries, absl::Now())) {
      CountRetry(GlobalMetrics(), RetryReason::kBudgetExhausted);
      return Fail(*refused);
    }
    CountRetry(GlobalMetrics(), RetryReason::kUpstreamRefused);
  }
}

leaf::result<double> ScoreSample(Host& host, const PoolId& scoring, const Sample& sample) {
  ServiceRequest request;
  request.request_id = NewId(host, "score");
  request.path = "/score";
  request.body = ToJson(sample).dump();
  {
    const ReadView view(*host.routing);
    request.deadline = CallDeadline(*view, scoring);
  }
  BOOST_LEAF_AUTO(answer, CallIdempotent(host, scoring, request));
  if (answer.status != 200)
    return Fail(ErrorKind::kUpstreamFailed,
                absl::StrCat("the scoring service answered with status ", answer.status));
  const Json json = Json::parse(answer.body, nullptr, false);
  if (!json.is_object() || !json.contains("score") || !json["score"].is_number())
    return Fail(ErrorKind::kUpstreamProtocol, "the scoring service answered without a number in \"score\"");
  const double score = json["score"].get<double>();
  if (!std::isfinite(score))
    return Fail(ErrorKind::kUpstreamProtocol, "the scoring service answered with a score that is not finite");
  return score;
}

leaf::result<ServiceAnswer> CallWithKey(Host& host, const OnceCall& call) {
  const Outcome<std::monostate> allowed = Capture<std::monostate>([&]() -> leaf::result<void> {
    if (host.draining.load(std::memory_order_acquire))
      return Fail(ErrorKind::kShuttingDown,
                  absl::StrCat("host ", host.settings.host.id, " is shutting down"));
    return CheckAllowed(CurrentIsolation(host), WorkKind::kKeyedCall);
  });
  if (!Ok(allowed)) return Fail(AsClaimUnavailable(ErrorOf(allowed)));
  Outcome<ServiceAnswer> outcome =
      Capture<ServiceAnswer>([&] { return CallOnce(host.once, call, NewId(host, "claim")); });
  if (Ok(outcome)) return std::move(Value(outcome));
  const Error& error = ErrorOf(outcome);
  if (error.kind == ErrorKind::kOutcomeUnknown) {
    LogEventLine(LogLevel::kWarning, LogEvent::kClaimUnknown,
                 {{"caller", call.caller}, {"service", call.service}, {"detail", error.detail}});
  }
  // The table is accessed only to acquire the claim and, after the answer is known, to record the outcome. A
  // table error here therefore means that the claim was not acquired.
  if (error.kind == ErrorKind::kStoreUnavailable) return Fail(AsClaimUnavailable(error));
  return Fail(error);
}

leaf::result<ServiceAnswer> CallTicket(Host& host, const std::string& text, const OnceCall& call) {
  const std::optional<Ticket> ticket = ParseTicket(text);
  if (!ticket)
    return Fail(AsClaimUnavailable({ErrorKind::kInvalidRequest,
                                    "Oleander-Ticket: expected a ticket that "
                                    "POST /v1/tickets returned"}));
  if (ticket->host == host.settings.host.id && ticket->incarnation == host.incarnation)
    return RunTicketLocally(host, *ticket, call);
  const std::optional<Member> issuer = FindMember(host, ticket->host);
  if (!issuer || issuer->incarnation != ticket->incarnation) return ReadTicketOutcome(host, *ticket, call);
  const Outcome<std::string> bytes = Capture<std::string>([&] {
    return CallPeer(*host.peers, issuer->peer, "ticket-call", ToMessagePack(CallToJson(text, call)),
                    call.request.deadline + kPeerCallMargin);
  });
  if (Ok(bytes)) return AnswerFromBytes(Value(bytes));
  const Error& error = ErrorOf(bytes);
  if (error.kind == ErrorKind::kPeerUnreachable) return ReadTicketOutcome(host, *ticket, call);
  if (error.kind == ErrorKind::kPeerProtocol) return Fail(ErrorKind::kOutcomeUnknown, error.detail);
  return Fail(error);
}

leaf::result<std::string> HandleTicketCall(Host& host, const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseMessagePack(body, ErrorKind::kPeerProtocol));
  OnceCall call;
  std::string text;
  try {
    text = json.at("ticket").get<std::string>();
    call.caller = json.at("caller").get<std::string>();
    call.key = text;
    call.service = json.at("service").get<std::string>();
    call.request.request_id = json.at("request_id").get<std::string>();
    call.request.method = json.at("method").get<std::string>();
    call.request.path = json.at("path").get<std::string>();
    call.request.body = json.at("body").get<std::string>();
    call.request.content_type = json.at("content_type").get<std::string>();
    call.attempt = json.at("attempt").get<int>();
    call.request.deadline = absl::Milliseconds(json.at("deadline_ms").get<std::int64_t>());
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kPeerProtocol, absl::StrCat("ticket-call: ", ex.what()));
  }
  const std::optional<Ticket> ticket = ParseTicket(text);
  if (!ticket) return Fail(ErrorKind::kPeerProtocol, "ticket-call: malformed ticket");
  BOOST_LEAF_AUTO(answer, RunTicketLocally(host, *ticket, call));
  return ToMessagePack(
      {{"status", answer.status}, {"body", answer.body}, {"content_type", answer.content_type}});
}

}  // namespace oleander
