// Implements the client library over HTTP.
#include "oleander/client.h"

#include <algorithm>
#include <atomic>
#include <optional>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/strings/strip.h"
#include "absl/time/clock.h"
#include "links/http_client.h"

namespace oleander {
namespace {

// Pause after the first round in which all hosts have failed; it doubles with each further round. With a
// constant pause, a load of 8 receipts/s on 9 hosts caused 5,392 refused requests during a 4 s outage of the
// table.
constexpr absl::Duration kRoundPause = absl::Milliseconds(50);
constexpr absl::Duration kMaxRoundPause = absl::Seconds(1);
// Deadline of one attempt of a batch request. Limited so that the client leaves a host that hangs and asks
// another.
constexpr absl::Duration kBatchAttemptDeadline = absl::Seconds(4);
constexpr absl::Duration kBatchAttemptMargin = absl::Seconds(2);

HttpPool& SharedPool() {
  static HttpPool* const pool = new HttpPool();  // never freed, because threads may outlive main
  return *pool;
}

// Spreads the load: consecutive calls start at different hosts.
std::size_t NextStart() {
  static std::atomic<std::size_t> next{0};
  return next.fetch_add(1, std::memory_order_relaxed);
}

// State of the attempts of one call.
struct AttemptState {
  const ClientOptions* options = nullptr;
  absl::Time deadline;
  std::size_t next = 0;
  std::size_t made = 0;
  absl::Duration pause = kRoundPause;  // after the current round of hosts
  bool may_have_run = false;
  std::optional<Error> last;
};

AttemptState StartAttempts(const ClientOptions& options, absl::Duration time) {
  AttemptState tries;
  tries.options = &options;
  tries.deadline = absl::Now() + time;
  tries.next = NextStart();
  return tries;
}

void RecordFailure(AttemptState& tries, const Error& error, bool may_have_run) {
  tries.last = error;
  tries.may_have_run = tries.may_have_run || may_have_run;
  if (tries.options->on_refusal) tries.options->on_refusal(error);
}

// Returns false if the deadline has passed or there are no hosts. Pauses after each round of hosts.
bool MayTryAgain(AttemptState& tries) {
  if (tries.options->hosts.empty()) return false;
  if (tries.made > 0 && tries.made % tries.options->hosts.size() == 0) {
    absl::SleepFor(std::min(tries.pause, std::max(tries.deadline - absl::Now(), absl::ZeroDuration())));
    tries.pause = std::min(tries.pause * 2, kMaxRoundPause);
  }
  return absl::Now() < tries.deadline;
}

leaf::error_id FailAttempts(const AttemptState& tries) {
  if (!tries.last)
    return Fail(ErrorKind::kInvalidRequest,
                "no hosts configured, or the deadline passed before the first attempt");
  if (tries.may_have_run && DescribeError(tries.last->kind).not_run) {
    return Fail(ErrorKind::kOutcomeUnknown,
                absl::StrCat("an earlier attempt may have run; last error: ", tries.last->detail));
  }
  return Fail(*tries.last);
}

// Returns the refusal of a host, or nullopt for any other answer, for example an error of the service itself.
std::optional<Error> ParseRefusal(const HttpAnswer& answer) {
  if (answer.status < 400) return std::nullopt;
  const Json json = Json::parse(answer.body, nullptr, false);
  if (!json.is_object() || !json.contains("error") || !json["error"].is_object()) return std::nullopt;
  const Json& body = json["error"];
  if (!body.contains("not_run") || !body.contains("kind") || !body["kind"].is_string()) return std::nullopt;
  const std::optional<ErrorKind> kind = FindErrorKind(body["kind"].get<std::string>());
  const Json detail = body.value("detail", Json());
  return Error{kind.value_or(ErrorKind::kInternal), detail.is_string() ? detail.get<std::string>() : ""};
}

// How one attempt ended.
enum class AttemptEnd {
  kAnswered,  // with an answer that is not a host's refusal
  kRefused,   // by the host; the kind of the error tells whether the call ran
  kNotSent,   // no connection
  kLost,      // the connection was lost after the request was sent
};
struct AttemptResult {
  AttemptEnd end = AttemptEnd::kAnswered;
  HttpAnswer answer;
  Error error;
};

AttemptResult TryNextHost(AttemptState& tries, HttpCall call) {
  const Endpoint& host = tries.options->hosts[tries.next++ % tries.options->hosts.size()];
  ++tries.made;
  call.headers.push_back({"Authorization", absl::StrCat("Bearer ", tries.options->token)});
  call.deadline = std::min(call.deadline, std::max(tries.deadline - absl::Now(), absl::Milliseconds(1)));
  Outcome<HttpAnswer> outcome = Capture<HttpAnswer>([&] { return SendHttp(SharedPool(), host, call); });
  AttemptResult result;
  if (Ok(outcome)) {
    result.answer = std::move(Value(outcome));
    const std::optional<Error> refusal = ParseRefusal(result.answer);
    result.end = refusal ? AttemptEnd::kRefused : AttemptEnd::kAnswered;
    if (refusal) result.error = *refusal;
  } else if (ErrorOf(outcome).kind == ErrorKind::kUpstreamRefused) {
    result.end = AttemptEnd::kNotSent;
    result.error = Error{ErrorKind::kPeerUnreachable, ErrorOf(outcome).detail};
  } else {
    result.end = AttemptEnd::kLost;
    result.error = Error{ErrorKind::kOutcomeUnknown, ErrorOf(outcome).detail};
  }
  if (result.end != AttemptEnd::kAnswered) {
    RecordFailure(tries, result.error,
                  result.end == AttemptEnd::kLost || !DescribeError(result.error.kind).not_run);
  }
  return result;
}

HttpCall PostCall(const ClientOptions& options, const std::string& path, std::string body) {
  HttpCall call;
  call.method = "POST";
  call.path = path;
  call.body = std::move(body);
  call.deadline = options.deadline;
  return call;
}

std::string ServicePath(const PoolId& service, const std::string& path) {
  return absl::StrCat("/v1/services/", service, absl::StartsWith(path, "/") ? "" : "/", path);
}

ServiceAnswer ToServiceAnswer(HttpAnswer answer) {
  return {answer.status, std::move(answer.body), HeaderValue(answer.headers, "Content-Type")};
}

bool IsRetryable(const Error& error) {
  const ErrorAnswer& row = DescribeError(error.kind);
  return row.not_run && row.retry;
}

// Returns true if the same key or ticket may be sent again: either nothing ran, or the claim on the key
// records the outcome.
bool MayRepeatClaimedCall(const AttemptResult& result) {
  if (result.end != AttemptEnd::kRefused) return true;
  return IsRetryable(result.error) || result.error.kind == ErrorKind::kClaimUnavailable ||
         result.error.kind == ErrorKind::kInProgress;
}

leaf::result<ServiceAnswer> CallClaimed(const ClientOptions& options, HttpCall call) {
  AttemptState tries = StartAttempts(options, options.deadline);
  const std::size_t attempt_header = call.headers.size();
  int attempt = 1;
  call.headers.push_back({"Oleander-Attempt", "1"});
  while (MayTryAgain(tries)) {
    call.headers[attempt_header].second = absl::StrCat(attempt);
    AttemptResult result = TryNextHost(tries, call);
    if (result.end == AttemptEnd::kAnswered) return ToServiceAnswer(std::move(result.answer));
    if (!MayRepeatClaimedCall(result)) return Fail(result.error);
    // Hosts record a "not run" refusal under its attempt number; only a higher number can claim the key
    // again.
    if (result.end == AttemptEnd::kRefused && DescribeError(result.error.kind).not_run) ++attempt;
    if (result.error.kind == ErrorKind::kInProgress) absl::SleepFor(kRoundPause);
  }
  return FailAttempts(tries);
}

leaf::result<Json> ParseAnswer(const HttpAnswer& answer) {
  Json json = Json::parse(answer.body, nullptr, false);
  if (answer.status >= 400 || json.is_discarded()) {
    return Fail(ErrorKind::kUpstreamProtocol,
                absl::StrCat("answer with status ", answer.status, " is not the expected JSON"));
  }
  return json;
}

// Makes a call that any host can answer. It is repeated after a retryable refusal, and also after a lost
// connection if `repeat_if_lost`.
leaf::result<Json> CallAnyHost(const ClientOptions& options, const HttpCall& call, bool repeat_if_lost) {
  AttemptState tries = StartAttempts(options, options.deadline);
  while (MayTryAgain(tries)) {
    const AttemptResult result = TryNextHost(tries, call);
    if (result.end == AttemptEnd::kAnswered) return ParseAnswer(result.answer);
    if (result.end == AttemptEnd::kRefused && !IsRetryable(result.error)) return Fail(result.error);
    if (result.end == AttemptEnd::kLost && !repeat_if_lost) return Fail(result.error);
  }
  return FailAttempts(tries);
}

// ---- Server-sent events

struct CompletionStream {
  Completion completion;
  std::string buf;  // bytes after the last complete line
  absl::Time start;
  bool done = false;
  std::optional<Error> failure;
};

FinishReason FinishFrom(const Json& choice) {
  const Json reason = choice.value("finish_reason", Json());
  if (!reason.is_string()) return FinishReason::kNone;
  return reason == "stop" ? FinishReason::kStop : FinishReason::kLength;
}

void HandleEvent(CompletionStream& stream, const Json& event) {
  if (event.contains("error")) {
    const std::optional<ErrorKind> kind = FindErrorKind(event["error"].value("kind", ""));
    stream.failure = Error{kind.value_or(ErrorKind::kInternal), event["error"].value("detail", "")};
    return;
  }
  if (!event.contains("choices") || event["choices"].empty()) return;
  const Json& choice = event["choices"][0];
  const std::vector<std::int32_t> tokens = choice.at("token_ids").get<std::vector<std::int32_t>>();
  Completion& completion = stream.completion;
  if (completion.tokens.empty() && !tokens.empty()) completion.first_token = absl::Now() - stream.start;
  completion.tokens.insert(completion.tokens.end(), tokens.begin(), tokens.end());
  AppendSpan(completion.spans, event.value("weight_version", Version{0}), static_cast<int>(tokens.size()));
  const FinishReason finish = FinishFrom(choice);
  if (finish != FinishReason::kNone) completion.finish = finish;
}

bool HandleBytes(CompletionStream& stream, const char* data, std::size_t n) {
  stream.buf.append(data, n);
  std::size_t begin = 0;
  for (std::size_t end = stream.buf.find('\n'); end != std::string::npos;
       end = stream.buf.find('\n', begin)) {
    absl::string_view line(stream.buf.data() + begin, end - begin);
    begin = end + 1;
    if (!absl::ConsumePrefix(&line, "data: ")) continue;
    if (line == "[DONE]") {
      stream.done = true;
      continue;
    }
    try {
      HandleEvent(stream, Json::parse(line.begin(), line.end()));
    } catch (const Json::exception& ex) {
      stream.failure = Error{ErrorKind::kUpstreamProtocol, ex.what()};
      return false;
    }
  }
  stream.buf.erase(0, begin);
  return true;
}

}  // namespace

leaf::result<ServiceAnswer> CallService(const ClientOptions& options, const PoolId& service,
                                        const std::string& path, const std::string& body) {
  const HttpCall call = PostCall(options, ServicePath(service, path), body);
  AttemptState tries = StartAttempts(options, options.deadline);
  while (MayTryAgain(tries)) {
    AttemptResult result = TryNextHost(tries, call);
    if (result.end == AttemptEnd::kAnswered) return ToServiceAnswer(std::move(result.answer));
    if (result.end == AttemptEnd::kRefused && !IsRetryable(result.error)) return Fail(result.error);
  }
  return FailAttempts(tries);
}

leaf::result<ServiceAnswer> CallServiceOnce(const ClientOptions& options, const PoolId& service,
                                            const std::string& path, const std::string& body,
                                            const std::string& idempotency_key) {
  HttpCall call = PostCall(options, ServicePath(service, path), body);
  call.headers = {{"Idempotency-Key", idempotency_key}, {"Oleander-Non-Idempotent", "true"}};
  return CallClaimed(options, std::move(call));
}

leaf::result<std::vector<std::string>> FetchTickets(const ClientOptions& options, const PoolId& service,
                                                    int count) {
  const Json body = {{"service", service}, {"count", count}};
  BOOST_LEAF_AUTO(json, CallAnyHost(options, PostCall(options, "/v1/tickets", body.dump()), true));
  try {
    return json.at("tickets").get<std::vector<std::string>>();
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kUpstreamProtocol, absl::StrCat("tickets: ", ex.what()));
  }
}

leaf::result<ServiceAnswer> CallServiceWithTicket(const ClientOptions& options, const PoolId& service,
                                                  const std::string& path, const std::string& body,
                                                  const std::string& ticket) {
  HttpCall call = PostCall(options, ServicePath(service, path), body);
  call.headers = {{"Oleander-Ticket", ticket}, {"Oleander-Non-Idempotent", "true"}};
  return CallClaimed(options, std::move(call));
}

leaf::result<Completion> Complete(const ClientOptions& options, const CompletionCall& call) {
  const Json body = {{"model", call.model},
                     {"prompt", call.prompt},
                     {"max_tokens", call.max_tokens},
                     {"seed", call.seed},
                     {"stream", true}};
  AttemptState tries = StartAttempts(options, options.deadline);
  while (MayTryAgain(tries)) {
    CompletionStream stream;
    stream.start = absl::Now();
    HttpCall http = PostCall(options, "/v1/completions", body.dump());
    http.on_data = [&stream](const char* data, std::size_t n) { return HandleBytes(stream, data, n); };
    const AttemptResult result = TryNextHost(tries, http);
    if (result.end == AttemptEnd::kAnswered && stream.done) return std::move(stream.completion);
    if (result.end == AttemptEnd::kAnswered) {
      if (!stream.failure)
        stream.failure = Error{ErrorKind::kUpstreamProtocol, "the stream ended before [DONE]"};
      RecordFailure(tries, *stream.failure, true);
      return Fail(*stream.failure);
    }
    if (result.end == AttemptEnd::kLost) {
      return Fail(
          stream.completion.tokens.empty() ? ErrorKind::kOutcomeUnknown : ErrorKind::kUpstreamProtocol,
          result.error.detail);
    }
    if (!(result.end == AttemptEnd::kNotSent || IsRetryable(result.error))) return Fail(result.error);
  }
  return FailAttempts(tries);
}

leaf::result<Json> FetchBatch(const ClientOptions& options, const BatchRequest& request,
                              absl::Duration wait) {
  const absl::Time wait_end = absl::Now() + wait;
  AttemptState tries = StartAttempts(options, wait + kBatchAttemptMargin);
  while (MayTryAgain(tries) && (tries.made == 0 || absl::Now() < wait_end)) {
    const absl::Duration held =
        std::clamp(wait_end - absl::Now(), absl::ZeroDuration(), kBatchAttemptDeadline);
    const Json body = {{"trainer", request.trainer},
                       {"seq", request.seq},
                       {"ack", request.seq - 1},
                       {"trainer_version", request.trainer_version},
                       {"wait_ms", absl::ToInt64Milliseconds(held)},
                       {"request_id", request.request_id}};
    HttpCall call = PostCall(options, absl::StrCat("/v1/jobs/", request.job, "/batches/next"), body.dump());
    call.deadline = held + kBatchAttemptMargin;
    const AttemptResult result = TryNextHost(tries, call);
    if (result.end == AttemptEnd::kAnswered) return ParseAnswer(result.answer);
    if (result.end == AttemptEnd::kRefused && !DescribeError(result.error.kind).retry)
      return Fail(result.error);
  }
  return FailAttempts(tries);
}

leaf::result<void> AnnounceVersion(const ClientOptions& options, const PoolId& model, Version version) {
  const Json body = {{"version", version}};
  // Idempotent: a repeated announcement has no further effect.
  BOOST_LEAF_CHECK(CallAnyHost(
      options, PostCall(options, absl::StrCat("/v1/models/", model, "/weights"), body.dump()), true));
  return {};
}

leaf::result<Json> CallAdmin(const ClientOptions& options, const std::string& method, const std::string& path,
                             const Json& body, const std::string& if_match) {
  HttpCall call = PostCall(options, path, body.is_null() ? "" : body.dump());
  call.method = method;
  if (!if_match.empty()) call.headers.push_back({"If-Match", if_match});
  return CallAnyHost(options, call, method == "GET");
}

}  // namespace oleander
