#include "serving/frontend.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "oleander/log_events.h"
#include "oleander/metrics.h"
#include "serving/decisions.h"
#include "serving/request_limits.h"

namespace oleander::serving {
namespace {

// Longest wait for a permit of an upstream that limits its requests; drawing one takes two calls to the
// store.
constexpr absl::Duration kPermitWait = absl::Milliseconds(60);

}  // namespace

struct Frontend::Attempt {
  std::string upstream;                  // id
  std::int64_t upstream_started_ms = 0;  // identifies its start
  absl::Time started;                    //
  AnswerHead head;                       //
  std::string body;                      //
  std::string software;                  // version of the upstream when the attempt started
  std::string service;                   // of the upstream
};

struct Frontend::Exchange {
  FrontendRequestId id = 0;
  CallerRequest request;                    // without the body
  std::shared_ptr<const std::string> body;  // shared with the attempts
  Route route;
  std::string service;
  Responder respond;
  absl::Time started;
  absl::Time expires_at;               // the caller's deadline or the route's timeout, if earlier
  std::map<CallId, Attempt> attempts;  // in progress
  std::vector<std::string> tried;      // ids of upstreams
  int may_have_run = 0;                // attempts sent, without those that the upstream reported as not run
  std::optional<HttpResponse> last_failure;  // from an upstream that ran the request
  TimerId timeout_timer = 0;
  TimerId hedge_timer = 0;
  std::optional<std::string> software;  // the only version that may run it; nullopt: any
  bool permit_requested = false;        // once for each exchange
  bool began = false;                   // `on_began` has been called
  TimerId permit_timer = 0;             // set while the exchange waits for a permit
};

HttpResponse MakeErrorResponse(ErrorKind kind, std::optional<double> retry_after_seconds) {
  const ErrorAnswer& error = DescribeError(kind);
  HttpResponse response;
  response.status = error.http_status;
  response.headers.push_back({"Content-Type", "application/json"});
  if (retry_after_seconds) {
    response.headers.push_back({"Retry-After", absl::StrFormat("%.3f", *retry_after_seconds)});
  }
  response.body = absl::StrCat("{\"error\":\"", std::string(error.name),
                               "\",\"not_run\":", error.not_run ? "true" : "false", "}");
  return response;
}

Frontend::Frontend(Loop& loop, UpstreamLink& link, Directory& directory, std::string zone)
    : loop_(loop), link_(link), directory_(directory), zone_(std::move(zone)) {}
Frontend::~Frontend() = default;

FrontendRequestId Frontend::Handle(CallerRequest request, const Route& route, Responder respond) {
  const FrontendRequestId id = next_id_++;
  std::unique_ptr<Exchange> owned = std::make_unique<Exchange>();
  Exchange& exchange = *owned;
  exchanges_[id] = std::move(owned);
  exchange.id = id;
  exchange.body = std::make_shared<const std::string>(std::move(request.http.body));
  exchange.request = std::move(request);
  exchange.route = route;
  exchange.respond = std::move(respond);
  exchange.started = loop_.Now();
  exchange.expires_at = exchange.started +
                        std::min(route.timeout, exchange.request.deadline.value_or(absl::InfiniteDuration()));
  exchange.timeout_timer = loop_.After(exchange.expires_at - exchange.started, [this, id] { OnTimeout(id); });
  if (route.kind == RouteKind::kIdempotent && route.max_attempts > 1) {
    exchange.hedge_timer = loop_.After(DelayBeforeHedge(route.objective), [this, id] { OnHedge(id); });
  }
  if (exchange.request.resumes && route.kind == RouteKind::kStreaming) {
    ResumeStream(exchange);
  } else {
    StartAttempt(exchange);
  }
  return id;
}

// Looks up the service and the software version that began the stream, then sends the request to an upstream
// of both only. Without a record it is refused as not run: the events that the caller has may not fit to
// those of any upstream. The same holds if the upstream that began it has other software now: it may have
// restarted before the stream began, and its registration may have reached that host too late.
void Frontend::ResumeStream(Exchange& exchange) {
  if (stream_versions_ == nullptr || exchange.request.resumed_stream.empty()) {
    Refuse(exchange, ErrorKind::kNoUpstream);
    return;
  }
  stream_versions_->Find(
      exchange.request.resumed_stream, [this, id = exchange.id](const std::optional<StreamOrigin>& origin) {
        const auto it = exchanges_.find(id);
        if (it == exchanges_.end()) return;
        Exchange& found = *it->second;
        const UpstreamState* const first = origin ? directory_.Find(origin->upstream) : nullptr;
        const bool certain = first == nullptr || first->entry.software == origin->software;
        const bool routed = origin && std::any_of(found.route.services.begin(), found.route.services.end(),
                                                  [&origin](const WeightedService& service) {
                                                    return service.service == origin->service;
                                                  });
        LogEventLine(LogLevel::kInfo, LogEvent::kStreamResumed,
                     {{"request", found.request.id},
                      {"stream", found.request.resumed_stream},
                      {"software", origin ? Json(origin->software) : Json()},
                      {"service", origin ? Json(origin->service) : Json()},
                      {"certain", certain},
                      {"routed", routed},
                      {"ms", absl::ToInt64Milliseconds(loop_.Now() - found.started)}});
        if (!routed || !certain) {
          Refuse(found, ErrorKind::kNoUpstream);
          return;
        }
        found.service = origin->service;
        found.software = origin->software;
        StartAttempt(found);
      });
}

void Frontend::CancelRequest(FrontendRequestId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  Exchange& exchange = *it->second;
  LogEventLine(LogLevel::kInfo, LogEvent::kCallerLeft,
               {{"request", exchange.request.id},
                {"ms", absl::ToInt64Milliseconds(loop_.Now() - exchange.started)},
                {"attempts", exchange.tried.size()}});
  exchange.respond = nullptr;
  Close(exchange, {});
}

UnaryChoice Frontend::MakeUnaryChoice(const Exchange& exchange) const {
  UnaryChoice choice;
  choice.zone_isolated = zone_isolated_;
  choice.zone = zone_;
  choice.tried = exchange.tried;
  choice.software = exchange.software;
  choice.now = loop_.Now();
  return choice;
}

// Keeps to one service as long as it has an untried upstream that answers. A stream that is taken up again
// stays at the service that began it.
void Frontend::UpdateService(Exchange& exchange) {
  if (exchange.software) return;
  exchange.service =
      ChooseService(directory_, exchange.route, exchange.request.id, exchange.tried, loop_.Now());
}

void Frontend::StartAttempt(Exchange& exchange) {
  const absl::Time now = loop_.Now();
  UpdateService(exchange);
  UpstreamState* upstream = PickUnary(directory_.Usable(exchange.service), MakeUnaryChoice(exchange));
  if (upstream == nullptr) {
    if (exchange.attempts.empty()) RetryOrFail(exchange, ErrorKind::kNoUpstream);
    return;
  }
  // Upstreams without a limit are full, so later requests need those with one.
  if (EstimateRunning(*upstream, now) >= std::max(1, upstream->entry.slots)) {
    WantPermitOfAny(directory_, exchange.service, MakeUnaryChoice(exchange), 1);
  }
  UpstreamCall call;
  call.address = upstream->entry.address;
  call.expected_id = upstream->entry.id;
  call.workspace = exchange.request.workspace;
  call.request_id = exchange.request.id;
  call.method = exchange.request.http.method;
  call.target = exchange.request.http.target;
  call.headers = exchange.request.http.headers;
  call.body = exchange.body;
  call.deadline = exchange.expires_at - now;
  call.timeout = exchange.expires_at - now;
  call.fresh_connection = exchange.route.kind != RouteKind::kIdempotent;
  exchange.tried.push_back(upstream->entry.id);
  RecordStart(*upstream);

  const FrontendRequestId id = exchange.id;
  const std::shared_ptr<CallId> self = std::make_shared<CallId>(0);
  CallHandlers handlers;
  handlers.on_head = [this, id, self](const AnswerHead& head) {
    const auto it = exchanges_.find(id);
    if (it == exchanges_.end()) return;
    Attempt& attempt = it->second->attempts[*self];
    attempt.head = head;
    attempt.body.reserve(AnnouncedLength(head.headers, UpstreamCall().max_body_bytes));
    const AttemptVerdict verdict = ClassifyAttempt(CallEnd::kComplete, head, it->second->request.id);
    if (verdict == AttemptVerdict::kAnswered || verdict == AttemptVerdict::kFailed)
      RecordBegin(*it->second, attempt.started);
    // Only the own and signed answer of an upstream says something about it.
    if (verdict != AttemptVerdict::kNoAnswer)
      directory_.ObserveAnswer(attempt.upstream, attempt.upstream_started_ms, head, "", attempt.started,
                               loop_.Now());
    // Recorded as the stream begins, so that the caller can resume it even if this host crashes.
    const Exchange& exchange = *it->second;
    const bool begins = exchange.route.kind == RouteKind::kStreaming && exchange.route.resumable &&
                        !exchange.request.resumes && head.status == 200;
    if (begins && stream_versions_ != nullptr)
      stream_versions_->Record(exchange.request.id, {attempt.service, attempt.upstream, attempt.software});
  };
  handlers.on_body = [this, id, self](std::string_view piece) {
    const auto it = exchanges_.find(id);
    if (it != exchanges_.end()) it->second->attempts[*self].body.append(piece);
  };
  handlers.on_end = [this, id, self](CallEnd end) { OnAttemptEnd(id, *self, end); };
  *self = link_.Start(std::move(call), std::move(handlers));
  exchange.attempts[*self] = {
      upstream->entry.id, upstream->entry.started_ms, now, {}, {}, upstream->entry.software,
      exchange.service};
}

std::map<std::string, int> Frontend::RunningByService() const {
  std::map<std::string, int> running;
  for (const std::pair<const FrontendRequestId, std::unique_ptr<Exchange>>& it : exchanges_) {
    for (const std::pair<const CallId, Attempt>& attempt : it.second->attempts)
      ++running[attempt.second.service];
  }
  return running;
}

void Frontend::RecordBegin(Exchange& exchange, absl::Time sent) {
  if (exchange.began || !exchange.request.workspace || exchange.request.workspace->empty()) return;
  exchange.began = true;
  if (on_began) on_began(*exchange.request.workspace, sent);
}

void Frontend::OnAttemptEnd(FrontendRequestId id, CallId call, CallEnd end) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  Exchange& exchange = *it->second;
  const auto node = exchange.attempts.find(call);
  if (node == exchange.attempts.end()) return;
  Attempt attempt = std::move(node->second);
  exchange.attempts.erase(node);
  const absl::Time now = loop_.Now();
  UpstreamState* upstream = directory_.Find(attempt.upstream);
  if (upstream != nullptr) --upstream->in_flight;

  const AnswerHead& head = attempt.head;
  const AttemptVerdict verdict = ClassifyAttempt(end, head, exchange.request.id);
  if (verdict == AttemptVerdict::kAnswered || verdict == AttemptVerdict::kFailed) {
    if (upstream != nullptr) ObserveLatency(*upstream, now - attempt.started, now);
    if (head.status < 500) {
      if (upstream != nullptr) ObserveSuccess(*upstream);
      DeliverResponse(exchange, attempt);
      return;
    }
    ++exchange.may_have_run;
    if (upstream != nullptr) ObserveFailure(*upstream, now);
    exchange.last_failure =
        HttpResponse{head.status, head.reason, head.headers, std::move(attempt.body), head.held};
    RetryOrFail(exchange, ErrorKind::kUpstreamFailed);
    return;
  }
  LogEventLine(LogLevel::kInfo, LogEvent::kAttemptFailed,
               {{"request", exchange.request.id},
                {"upstream", attempt.upstream},
                {"end", NameOf(end)},
                {"status", head.status},
                {"not_run", head.not_run},
                {"verdict", NameOf(verdict)},
                {"ms", absl::ToInt64Milliseconds(now - attempt.started)}});
  if (verdict == AttemptVerdict::kNotRun) {
    CountRetry(GlobalMetrics(), RetryReason::kUpstreamRefused);
    if (upstream != nullptr) ObserveRefusal(*upstream, now);
    RetryOrFail(exchange, ErrorKind::kUpstreamRefused);
    return;
  }
  if (upstream != nullptr && end != CallEnd::kNoRoom) ObserveNoAnswer(*upstream, end, now);
  if (end != CallEnd::kNotSent) {
    ++exchange.may_have_run;
    RecordBegin(exchange, attempt.started);
  }
  if (end == CallEnd::kNoRoom) {
    // Another attempt would find no room either, so that a caller gets its answer sooner elsewhere.
    if (exchange.attempts.empty()) Refuse(exchange, ErrorKind::kUpstreamFailed);
    return;
  }
  RetryOrFail(exchange, end == CallEnd::kTimedOut ? ErrorKind::kUpstreamTimeout : ErrorKind::kUpstreamFailed);
}

// Starts another attempt if the request's kind, its attempt limit and its deadline allow it and an untried
// upstream is left. Otherwise fails the request once no attempt is in progress.
void Frontend::RetryOrFail(Exchange& exchange, ErrorKind reason) {
  const bool repeatable = exchange.route.kind == RouteKind::kIdempotent || exchange.may_have_run == 0;
  const int counted = exchange.may_have_run + static_cast<int>(exchange.attempts.size());
  UpdateService(exchange);
  const bool upstream_left =
      PickUnary(directory_.Usable(exchange.service), MakeUnaryChoice(exchange)) != nullptr;
  const bool may_retry =
      repeatable && counted < std::max(1, exchange.route.max_attempts) && loop_.Now() < exchange.expires_at;
  if (may_retry && upstream_left) {
    StartAttempt(exchange);
    return;
  }
  if (!exchange.attempts.empty()) return;
  if (may_retry && AwaitPermit(exchange)) return;
  if (exchange.permit_requested) reason = ErrorKind::kUpstreamRefused;
  if (exchange.last_failure) {
    Close(exchange, std::move(*exchange.last_failure));
    return;
  }
  if (exchange.may_have_run > 0) {
    Refuse(exchange, reason == ErrorKind::kUpstreamTimeout ? reason : ErrorKind::kUpstreamFailed);
  } else {
    Refuse(exchange, reason == ErrorKind::kUpstreamRefused ? ErrorKind::kOverloaded : ErrorKind::kNoUpstream);
  }
}

// Lets the exchange wait for a permit if all upstreams that are left limit their requests. Returns false if
// there is no such upstream, or the exchange has waited before.
bool Frontend::AwaitPermit(Exchange& exchange) {
  if (exchange.permit_requested) return false;
  const UnaryChoice choice = MakeUnaryChoice(exchange);
  if (PickWithoutPermit(directory_.Usable(exchange.service), choice) == nullptr) return false;
  exchange.permit_requested = true;
  const int waiting = static_cast<int>(waiting_for_permit_.size()) + 1;
  if (!WantPermitOfAny(directory_, exchange.service, choice, waiting)) return false;
  waiting_for_permit_.insert(exchange.id);
  exchange.permit_timer = loop_.After(kPermitWait, [this, id = exchange.id] {
    const auto it = exchanges_.find(id);
    if (it == exchanges_.end()) return;
    StopWaiting(*it->second);
    RetryOrFail(*it->second, ErrorKind::kUpstreamRefused);
  });
  return true;
}

void Frontend::StopWaiting(Exchange& exchange) {
  loop_.Cancel(std::exchange(exchange.permit_timer, 0));
  waiting_for_permit_.erase(exchange.id);
}

void Frontend::OnPermitsGranted() {
  const std::set<FrontendRequestId> waiting = waiting_for_permit_;
  for (const FrontendRequestId id : waiting) {
    const auto it = exchanges_.find(id);
    if (it == exchanges_.end()) continue;
    Exchange& exchange = *it->second;
    if (PickUnary(directory_.Usable(exchange.service), MakeUnaryChoice(exchange)) == nullptr) continue;
    StopWaiting(exchange);
    StartAttempt(exchange);
  }
}

void Frontend::OnHedge(FrontendRequestId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  Exchange& exchange = *it->second;
  exchange.hedge_timer = 0;
  if (exchange.attempts.size() != 1) return;
  if (exchange.may_have_run + 1 >= exchange.route.max_attempts) return;
  CountRetry(GlobalMetrics(), RetryReason::kHedge);
  // The latency of the first upstream is at least the time elapsed so far.
  UpstreamState* first = directory_.Find(exchange.attempts.begin()->second.upstream);
  if (first != nullptr) ObserveLatency(*first, loop_.Now() - exchange.started, loop_.Now());
  StartAttempt(exchange);
}

void Frontend::OnTimeout(FrontendRequestId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  Exchange& exchange = *it->second;
  exchange.timeout_timer = 0;
  const bool sent = !exchange.attempts.empty() || exchange.may_have_run > 0;
  Refuse(exchange, sent ? ErrorKind::kUpstreamTimeout : ErrorKind::kQueueDeadline);
}

void Frontend::DeliverResponse(Exchange& exchange, Attempt& attempt) {
  LogEventLine(LogLevel::kInfo, LogEvent::kRequestAnswered,
               {{"request", exchange.request.id},
                {"route", exchange.route.name},
                {"upstream", attempt.upstream},
                {"status", attempt.head.status},
                {"attempts", exchange.tried.size()},
                {"ms", absl::ToInt64Milliseconds(loop_.Now() - exchange.started)}});
  CountLatency(GlobalMetrics(),
               exchange.route.kind == RouteKind::kIdempotent ? LatencyKind::kLookup : LatencyKind::kReceipt,
               loop_.Now() - exchange.started);
  Close(exchange, {attempt.head.status, attempt.head.reason, attempt.head.headers, std::move(attempt.body),
                   attempt.head.held});
}

void Frontend::Refuse(Exchange& exchange, ErrorKind kind) {
  const ErrorAnswer& error = DescribeError(kind);
  CountRefusal(GlobalMetrics(), kind);
  LogEventLine(LogLevel::kWarning, LogEvent::kRequestRefused,
               {{"request", exchange.request.id},
                {"route", exchange.route.name},
                {"error", error.name},
                {"status", error.http_status},
                {"attempts", exchange.tried.size()},
                {"may_have_run", exchange.may_have_run},
                {"usable", directory_.Usable(exchange.service).size()},
                {"policy", directory_.PolicyInForce().version},
                {"ms", absl::ToInt64Milliseconds(loop_.Now() - exchange.started)}});
  std::optional<double> retry_after;
  if (error.not_run) retry_after = RetryAfterSeconds(exchange.expires_at - loop_.Now(), exchange.request.id);
  Close(exchange, MakeErrorResponse(kind, retry_after));
}

void Frontend::Close(Exchange& exchange, HttpResponse response) {
  loop_.Cancel(exchange.timeout_timer);
  loop_.Cancel(exchange.hedge_timer);
  StopWaiting(exchange);
  for (const std::pair<const CallId, Attempt>& it : exchange.attempts) {
    RecordBegin(exchange, it.second.started);
    link_.Cancel(it.first);
    UpstreamState* upstream = directory_.Find(it.second.upstream);
    if (upstream == nullptr) continue;
    --upstream->in_flight;
    // An attempt without a response head after the hedge delay counts as a failure: the upstream is
    // unreachable, stalled, or slow this once.
    const bool stalled = it.second.head.status == 0 &&
                         loop_.Now() - it.second.started >= DelayBeforeHedge(exchange.route.objective);
    if (stalled) ObserveFailure(*upstream, loop_.Now());
  }
  Responder respond = std::move(exchange.respond);
  exchanges_.erase(exchange.id);
  if (respond) respond(std::move(response));
}

}  // namespace oleander::serving
