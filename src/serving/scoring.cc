#include "serving/scoring.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "oleander/log_events.h"
#include "oleander/metrics.h"
#include "serving/request_limits.h"

namespace oleander::serving {
namespace {

constexpr absl::Duration kAttemptTimeout =
    absl::Seconds(1);  // four times the longest work; short, so that a lost answer does not delay the step
constexpr double kHedgesPerCall = 0.1;  // hedged attempts, as a fraction of first attempts
constexpr double kMaxSavedHedges = 4;   // enough for the last calls of one group
// The score is a header of the answer; the body is not used.
constexpr std::size_t kMaxAnswerBytes = 4 << 20;

}  // namespace

struct ScoringCalls::Attempt {
  std::string upstream;                  // id
  std::int64_t upstream_started_ms = 0;  // identifies its start
  absl::Time started;                    //
  AnswerHead head;                       //
};

struct ScoringCalls::Call {
  ScoringId id = 0;
  ScoringRequest request;
  int failures = 0;
  int min_attempts = 1;
  std::function<bool()> may_send;
  Done done;
  int sent = 0;     // attempts
  int retries = 0;  // attempts that were refused or unanswered since the last one that ran
  std::string last_upstream;
  absl::Time started;
  absl::Time not_before = absl::InfinitePast();
  std::map<CallId, Attempt> attempts;  // in progress
  TimerId hedge = 0;
};

ScoringCalls::ScoringCalls(Loop& loop, UpstreamLink& link, Directory& directory, std::string zone)
    : loop_(loop), link_(link), directory_(directory), zone_(std::move(zone)) {}
ScoringCalls::~ScoringCalls() = default;

ScoringCalls::Call* ScoringCalls::Find(ScoringId id) {
  const auto it = calls_.find(id);
  return it == calls_.end() ? nullptr : it->second.get();
}

ScoringId ScoringCalls::Start(ScoringRequest request, int failures, int min_attempts,
                              std::function<bool()> may_send, Done done) {
  const ScoringId id = next_++;
  std::unique_ptr<Call> owned = std::make_unique<Call>();
  owned->id = id;
  owned->request = std::move(request);
  owned->failures = failures;
  owned->min_attempts = min_attempts;
  owned->may_send = std::move(may_send);
  owned->done = std::move(done);
  owned->started = loop_.Now();
  calls_[id] = std::move(owned);
  loop_.After(absl::ZeroDuration(), [this] { Dispatch(); });
  return id;
}

void ScoringCalls::Cancel(ScoringId id) {
  Call* const call = Find(id);
  if (call == nullptr) return;
  CancelAttempts(*call);
  calls_.erase(id);
}

int ScoringCalls::Failures(ScoringId id) const {
  const auto it = calls_.find(id);
  return it == calls_.end() ? 0 : it->second->failures;
}

void ScoringCalls::Dispatch() {
  if (dispatching_) return;  // an attempt that fails immediately calls Dispatch again
  dispatching_ = true;
  const absl::Time now = loop_.Now();
  std::vector<ScoringId> waiting;
  for (const std::pair<const ScoringId, std::unique_ptr<Call>>& it : calls_) {
    if (it.second->attempts.empty() && now >= it.second->not_before) waiting.push_back(it.first);
  }
  for (const ScoringId id : waiting) {
    if (in_progress_ >= static_cast<int>(limit_.max_calls)) break;
    Call* const call = Find(id);
    if (call == nullptr || !call->attempts.empty() || !call->may_send()) continue;
    // Each attempt uses the current policy; without a route the call waits until its item is abandoned.
    const Route* route = directory_.FindRoute(call->request.host, call->request.target);
    if (route == nullptr) continue;
    UpstreamState* const upstream = Pick(*call, *route, "");
    if (upstream == nullptr) {
      WantPermit(*call, *route);
      continue;
    }
    hedge_budget_ = std::min(kMaxSavedHedges, hedge_budget_ + kHedgesPerCall);
    ++in_progress_;
    Send(*call, *route, *upstream);
    WatchForHedge(id, route->objective);
  }
  dispatching_ = false;
}

std::string ScoringCalls::ServiceFor(const Call& call, const Route& route) const {
  return ChooseService(directory_, route, call.request.id, {}, loop_.Now());
}

UpstreamState* ScoringCalls::Pick(const Call& call, const Route& route, const std::string& excluded) {
  ScoringChoice choice;
  choice.zone_isolated = zone_isolated_;
  choice.zone = zone_;
  choice.avoided = call.last_upstream;
  choice.excluded = excluded;
  choice.now = loop_.Now();
  return PickForScoring(directory_.Usable(ServiceFor(call, route)), choice);
}

// Requests a permit of an upstream that limits its requests, so that a later Dispatch can send the call.
void ScoringCalls::WantPermit(const Call& call, const Route& route) {
  const int waiting = std::min(Open() - in_progress_, static_cast<int>(limit_.max_calls));
  UnaryChoice choice;
  choice.now = loop_.Now();
  WantPermitOfAny(directory_, ServiceFor(call, route), choice, std::max(1, waiting));
}

void ScoringCalls::Send(Call& call, const Route& route, UpstreamState& upstream) {
  const absl::Time now = loop_.Now();
  const absl::Duration timeout = std::min(kAttemptTimeout, route.timeout);
  UpstreamCall http;
  http.address = upstream.entry.address;
  http.expected_id = upstream.entry.id;
  http.host = call.request.host;
  http.request_id = call.request.id;
  http.method = "POST";
  http.target = call.request.target;
  http.body = std::make_shared<const std::string>(call.request.body);
  http.deadline = timeout;
  http.timeout = timeout;
  http.max_body_bytes = kMaxAnswerBytes;
  RecordStart(upstream);
  ++call.sent;
  call.last_upstream = upstream.entry.id;

  const ScoringId id = call.id;
  const std::shared_ptr<CallId> self = std::make_shared<CallId>(0);
  CallHandlers handlers;
  handlers.on_head = [this, id, self](const AnswerHead& head) {
    Call* const found = Find(id);
    if (found == nullptr) return;
    Attempt& attempt = found->attempts[*self];
    attempt.head = head;
    if (ClassifyAttempt(CallEnd::kComplete, head, found->request.id) != AttemptVerdict::kNoAnswer)
      directory_.ObserveAnswer(attempt.upstream, attempt.upstream_started_ms, head, "", attempt.started,
                               loop_.Now());
  };
  handlers.on_end = [this, id, self](CallEnd end) { OnAttemptEnd(id, *self, end); };
  *self = link_.Start(std::move(http), std::move(handlers));
  call.attempts[*self] = {upstream.entry.id, upstream.entry.started_ms, now, {}};
}

// Hedges a call at a second upstream if it is unanswered after the route's objective and the budget allows
// it.
void ScoringCalls::WatchForHedge(ScoringId id, absl::Duration delay) {
  Call& call = *Find(id);
  call.hedge = loop_.After(delay, [this, id] {
    Call* const found = Find(id);
    if (found == nullptr || found->attempts.size() != 1 || hedge_budget_ < 1 || !found->may_send()) return;
    found->hedge = 0;
    const Route* route = directory_.FindRoute(found->request.host, found->request.target);
    if (route == nullptr) return;
    UpstreamState* const upstream = Pick(*found, *route, found->attempts.begin()->second.upstream);
    if (upstream == nullptr) return;
    --hedge_budget_;
    CountRetry(GlobalMetrics(), RetryReason::kHedge);
    Send(*found, *route, *upstream);
  });
}

void ScoringCalls::OnAttemptEnd(ScoringId id, CallId attempt_id, CallEnd end) {
  Call* const found = Find(id);
  if (found == nullptr) return;
  Call& call = *found;
  const auto node = call.attempts.find(attempt_id);
  if (node == call.attempts.end()) return;
  const Attempt attempt = std::move(node->second);
  call.attempts.erase(node);
  const absl::Time now = loop_.Now();
  const absl::Duration took = now - attempt.started;
  UpstreamState* const upstream = directory_.Find(attempt.upstream);
  if (upstream != nullptr) --upstream->in_flight;

  const AttemptVerdict verdict = ClassifyAttempt(end, attempt.head, call.request.id);
  const bool success = attempt.head.status >= 200 && attempt.head.status < 300;
  ScoringAttemptOutcome attempt_outcome = ScoringAttemptOutcome::kAnswered;
  if (verdict == AttemptVerdict::kAnswered || verdict == AttemptVerdict::kFailed) {
    if (upstream != nullptr) {
      ObserveLatency(*upstream, took, now);
      // A failure is not held against the upstream: a few calls fail at every upstream.
      ObserveSuccess(*upstream);
    }
  } else if (verdict == AttemptVerdict::kNotRun) {
    attempt_outcome = ScoringAttemptOutcome::kRefused;
    if (upstream != nullptr) ObserveRefusal(*upstream, now);
  } else {
    attempt_outcome = ScoringAttemptOutcome::kNoAnswer;
    if (upstream != nullptr && end != CallEnd::kNoRoom) ObserveNoAnswer(*upstream, end, now);
  }
  UpdateScoringLimit(limit_, attempt_outcome, took, now);
  if (verdict == AttemptVerdict::kAnswered && success) {
    CountLatency(GlobalMetrics(), LatencyKind::kScoring, now - call.started);
    Finish(call, attempt.head.signature, attempt.upstream);
    return;
  }
  AddCounter(GlobalMetrics(), "scoring_attempts_failed", NameOf(verdict));
  CountRetry(GlobalMetrics(), RetryReason::kScoringFailed);
  LogEventLine(LogLevel::kInfo, LogEvent::kScoringAttemptFailed,
               {{"request", call.request.id},
                {"upstream", attempt.upstream},
                {"end", NameOf(end)},
                {"status", attempt.head.status},
                {"verdict", NameOf(verdict)},
                {"failures", call.failures + (verdict == AttemptVerdict::kFailed ? 1 : 0)},
                {"limit", static_cast<int>(limit_.max_calls)},
                {"ms", absl::ToInt64Milliseconds(took)}});
  if (verdict == AttemptVerdict::kFailed) {
    ++call.failures;
    call.retries = 0;
    const Route* route = directory_.FindRoute(call.request.host, call.request.target);
    const int max_failures = std::max(call.min_attempts, route == nullptr ? 1 : route->max_attempts);
    if (call.failures >= max_failures) {
      Finish(call, "", attempt.upstream);
      return;
    }
  } else {
    ++call.retries;
  }
  if (!call.attempts.empty()) return;  // the other attempt is still in progress
  loop_.Cancel(call.hedge);
  call.hedge = 0;
  --in_progress_;
  // An answer that is neither a success nor a failure, such as a 404, is unlikely to change soon, so it gets
  // the backoff of a refusal.
  const ScoringAttemptOutcome backoff_outcome =
      verdict == AttemptVerdict::kAnswered ? ScoringAttemptOutcome::kRefused : attempt_outcome;
  const absl::Duration backoff = ScoringBackoff(backoff_outcome, call.retries);
  call.not_before = now + backoff;
  loop_.After(backoff, [this] { Dispatch(); });
}

void ScoringCalls::CancelAttempts(Call& call) {
  if (!call.attempts.empty()) --in_progress_;
  for (const std::pair<const CallId, Attempt>& it : call.attempts) {
    link_.Cancel(it.first);
    UpstreamState* const upstream = directory_.Find(it.second.upstream);
    if (upstream != nullptr) --upstream->in_flight;
  }
  call.attempts.clear();
  loop_.Cancel(call.hedge);
  call.hedge = 0;
}

void ScoringCalls::Finish(Call& call, std::string score, const std::string& upstream) {
  // The ended attempt has been removed from `attempts`. If it was the last one, the call is still included in
  // in_progress_; otherwise CancelAttempts takes it out.
  if (call.attempts.empty()) --in_progress_;
  CancelAttempts(call);
  const ScoringOutcome outcome = {std::move(score), upstream, call.sent, call.failures};
  const Done done = std::move(call.done);
  calls_.erase(call.id);
  done(outcome);
  Dispatch();
}

}  // namespace oleander::serving
