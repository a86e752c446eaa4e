// HTTP API for callers and trainers: plain services, tickets, interactive generation, batches, weights.
#include <algorithm>
#include <deque>
#include <limits>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "contracts/strict_json.h"
#include "links/http_answers.h"
#include "links/http_server.h"

namespace oleander {
namespace {

constexpr std::size_t kMaxPathBytes = 1024;
constexpr std::size_t kMaxIdBytes = 64;
constexpr int kMaxWaitMs = 60000;    // maximum wait_ms of one batch request
constexpr int kMaxTickets = 1000;    // in one request
constexpr int kMaxTokens = 1000000;  // of one interactive answer
constexpr int kMaxAnnounceAttempts = 5;
// Interval at which a stream without new tokens checks whether its caller is still connected.
constexpr absl::Duration kDisconnectCheckInterval = absl::Milliseconds(200);

// ---- Requests and routes ----

bool IsPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](char it) { return it > ' ' && it < 0x7f; });
}

// Returns the caller's own id if it is valid, so that the caller's logs and the host's logs use the same id.
std::string RequestId(Host& host, const httplib::Request& request) {
  const std::string given = request.get_header_value("Oleander-Request-Id");
  if (!given.empty() && given.size() <= kMaxIdBytes && IsPrintable(given)) return given;
  return NewId(host, "r");
}

// Returns true for a service call with an idempotency key or ticket. A refusal of such a call must not say
// "not run", because the call may have run at another host under the same key or ticket.
bool IsClaimedCall(const Exchange& exchange) {
  return exchange.request.method == "POST" && exchange.path.size() >= 3 && exchange.path[1] == "services" &&
         (exchange.request.has_header("Idempotency-Key") || exchange.request.has_header("Oleander-Ticket"));
}

// Refuses a call before its key or ticket was claimed. For a call with a key or ticket, a "not run" error
// becomes kClaimUnavailable.
void RefuseUnclaimed(Exchange& exchange, const Error& error) {
  const ErrorAnswer& row = DescribeError(error.kind);
  if (!IsClaimedCall(exchange) || !row.not_run) return Refuse(exchange, error);
  Refuse(exchange, {ErrorKind::kClaimUnavailable, absl::StrCat(std::string(row.name), ": ", error.detail)});
}

leaf::result<void> CheckReady(Host& host) {
  if (host.draining.load(std::memory_order_acquire))
    return Fail(ErrorKind::kShuttingDown, absl::StrCat("host ", host.settings.host.id, " is leaving"));
  if (!host.ready.load(std::memory_order_acquire))
    return Fail(ErrorKind::kNotReady,
                absl::StrCat("host ", host.settings.host.id, " has no configuration or no peers yet"));
  return {};
}

// Reads the body up to the limit. On an error the rest of the body is left unread.
std::optional<Error> ReadBody(Exchange& exchange, const httplib::ContentReader& reader) {
  const std::size_t limit = static_cast<std::size_t>(exchange.host.settings.max_body_bytes);
  const Error too_large{ErrorKind::kBodyTooLarge, absl::StrCat("body: expected at most ", limit, " bytes")};
  // httplib would pass a form to its own multipart parser.
  if (exchange.request.is_multipart_form_data())
    return Error{ErrorKind::kInvalidRequest, "multipart/form-data is not supported"};
  std::uint64_t announced = 0;
  if (absl::SimpleAtoi(exchange.request.get_header_value("Content-Length"), &announced) && announced > limit)
    return too_large;
  bool exceeded = false;
  const bool complete = reader([&](const char* data, std::size_t n) {
    exceeded = exchange.body.size() + n > limit;
    if (!exceeded) exchange.body.append(data, n);
    return !exceeded;
  });
  if (exceeded) return too_large;
  if (!complete)
    return Error{ErrorKind::kInvalidRequest, "the body ended early or did not arrive before the deadline"};
  return std::nullopt;
}

// ---- Plain services ----

leaf::result<ServiceAnswer> CallService(Exchange& exchange) {
  Host& host = exchange.host;
  const PoolId& service = exchange.path[2];
  ServiceRequest request;
  request.request_id = exchange.request_id;
  request.path = absl::StrCat("/", absl::StrJoin(exchange.path.begin() + 3, exchange.path.end(), "/"));
  const std::size_t query = exchange.request.target.find('?');
  if (query != std::string::npos) request.path += exchange.request.target.substr(query);
  request.body = std::move(exchange.body);
  if (exchange.request.has_header("Content-Type"))
    request.content_type = exchange.request.get_header_value("Content-Type");
  bool once = absl::EqualsIgnoreCase(exchange.request.get_header_value("Oleander-Non-Idempotent"), "true");
  {
    const ReadView view(*host.routing);
    once = once || IsNonIdempotent(*view, service);
    request.deadline = CallDeadline(*view, service);
  }
  const absl::Time start = absl::Now();
  const std::string key = exchange.request.get_header_value("Idempotency-Key");
  const std::string ticket = exchange.request.get_header_value("Oleander-Ticket");
  if (!once && ticket.empty()) {
    BOOST_LEAF_CHECK(CheckReady(host));
    request.idempotency_key = key;
    BOOST_LEAF_AUTO(answer, CallIdempotent(host, service, request));
    CountLatency(GlobalMetrics(), LatencyKind::kLookup, absl::Now() - start);
    return answer;
  }
  if (key.empty() && ticket.empty())
    return Fail(ErrorKind::kInvalidRequest, absl::StrCat("service ", service,
                                                         " is not idempotent: expected Idempotency-Key or "
                                                         "Oleander-Ticket"));
  OnceCall call;
  call.caller = exchange.name;
  call.key = key.empty() ? ticket : key;
  call.service = service;
  call.request = std::move(request);
  call.request.idempotency_key = call.key;
  if (exchange.request.has_header("Oleander-Attempt")) {
    BOOST_LEAF_AUTO(attempt,
                    ParseInteger("Oleander-Attempt", exchange.request.get_header_value("Oleander-Attempt"), 1,
                                 std::numeric_limits<int>::max()));
    call.attempt = static_cast<int>(attempt);
  }
  BOOST_LEAF_AUTO(answer, ticket.empty() ? CallWithKey(host, call) : CallTicket(host, ticket, call));
  CountLatency(GlobalMetrics(), LatencyKind::kReceipt, absl::Now() - start);
  return answer;
}

void ServeService(Exchange& exchange) {
  Outcome<ServiceAnswer> outcome = Capture<ServiceAnswer>([&] { return CallService(exchange); });
  if (!Ok(outcome)) {
    const Error& error = ErrorOf(outcome);
    // For a call with a key or ticket, CallWithKey and CallTicket have already chosen any other error by the
    // state of the claim.
    const bool before_claim = error.kind == ErrorKind::kInvalidRequest ||
                              error.kind == ErrorKind::kShuttingDown || error.kind == ErrorKind::kNotReady;
    return before_claim ? RefuseUnclaimed(exchange, error) : Refuse(exchange, error);
  }
  ServiceAnswer& answer = Value(outcome);
  exchange.response.status = answer.status;
  exchange.response.set_content(
      std::move(answer.body), answer.content_type.empty() ? "application/octet-stream" : answer.content_type);
}

// ---- Tickets ----

leaf::result<Json> PostTickets(Exchange& exchange) {
  BOOST_LEAF_CHECK(CheckReady(exchange.host));
  BOOST_LEAF_AUTO(json, ParseObject(exchange.body));
  std::vector<std::string> problems;
  std::string service;
  int count = 1;
  ObjectReader reader(json, "", problems);
  reader.Read("service", service, 1, kMaxIdBytes, Presence::kRequired);
  reader.Read("count", count, 1, kMaxTickets, Presence::kRequired);
  reader.Finish();
  if (!problems.empty()) return Fail(ErrorKind::kInvalidRequest, absl::StrJoin(problems, "\n"));
  BOOST_LEAF_AUTO(tickets,
                  IssueTickets(exchange.host.tickets, exchange.name, count, absl::Now(), ThreadRandom()));
  return Json{{"service", service}, {"tickets", tickets}};
}

// ---- Interactive generation ----

// Queue of chunks from the generating thread to the connection's thread.
struct TokenStream {
  absl::Mutex mutex;
  std::deque<GenerateChunk> chunks ABSL_GUARDED_BY(mutex);
  bool ended ABSL_GUARDED_BY(mutex) = false;
  std::optional<Error> failure ABSL_GUARDED_BY(mutex);
  Semaphore changed;
  std::atomic<bool> cancelled{false};
};

struct StreamUpdate {
  std::deque<GenerateChunk> chunks;
  bool ended = false;
  std::optional<Error> failure;
};

// Removes and returns everything that has arrived since the last call.
StreamUpdate TakeUpdate(TokenStream& stream) {
  StreamUpdate step;
  const absl::MutexLock lock(&stream.mutex);
  step.chunks.swap(stream.chunks);
  step.ended = stream.ended;
  step.failure = stream.failure;
  return step;
}

void RunStream(Host& host, const std::shared_ptr<TokenStream>& stream, GenerateRequest request) {
  host.streams.fetch_add(1, std::memory_order_relaxed);
  const Outcome<std::monostate> outcome = Capture<std::monostate>([&]() -> leaf::result<void> {
    return Generate(
        host, std::move(request), true,
        [&](const GenerateChunk& chunk) {
          {
            const absl::MutexLock lock(&stream->mutex);
            stream->chunks.push_back(chunk);
          }
          stream->changed.Post();
          return !stream->cancelled.load(std::memory_order_acquire);
        },
        [&] {
          return !stream->cancelled.load(std::memory_order_acquire) &&
                 !host.cut_off.load(std::memory_order_acquire);
        });
  });
  host.streams.fetch_sub(1, std::memory_order_relaxed);
  {
    const absl::MutexLock lock(&stream->mutex);
    stream->ended = true;
    if (!Ok(outcome)) stream->failure = ErrorOf(outcome);
  }
  stream->changed.Post();
}

Json FinishJson(FinishReason reason) { return reason == FinishReason::kNone ? Json() : Json(NameOf(reason)); }

std::string EventOf(const std::string& id, const GenerateChunk& chunk) {
  const Json event = {
      {"id", id},
      {"choices", {{{"token_ids", chunk.tokens}, {"finish_reason", FinishJson(chunk.finish)}}}},
      {"weight_version", chunk.version}};
  return absl::StrCat("data: ", event.dump(), "\n\n");
}

std::string EventOf(const Error& error) {
  const ErrorAnswer& row = DescribeError(error.kind);
  const Json event = {
      {"error",
       {{"kind", row.name}, {"detail", error.detail}, {"not_run", row.not_run}, {"retry", row.retry}}}};
  return absl::StrCat("data: ", event.dump(-1, ' ', false, Json::error_handler_t::replace), "\n\n");
}

leaf::result<GenerateRequest> CompletionFromJson(const Json& json, bool& streamed) {
  std::vector<std::string> problems;
  GenerateRequest request;
  std::int64_t seed = 0;
  ObjectReader reader(json, "", problems);
  reader.Read("model", request.model, 1, kMaxIdBytes, Presence::kRequired);
  reader.Read("prompt", request.prompt, 0, std::numeric_limits<std::size_t>::max(), Presence::kRequired);
  reader.Read("max_tokens", request.max_tokens, 1, kMaxTokens);
  reader.Read("seed", seed, 0, std::numeric_limits<std::int64_t>::max());
  reader.Read("stream", streamed);
  reader.Finish();
  if (!problems.empty()) return Fail(ErrorKind::kInvalidRequest, absl::StrJoin(problems, "\n"));
  request.seed = static_cast<std::uint64_t>(seed);
  request.work_class = WorkClass::kInteractive;
  request.expected_tokens = request.max_tokens;
  return request;
}

// Sends the complete answer as one JSON document.
void AnswerUnstreamed(Exchange& exchange, TokenStream& stream) {
  std::vector<std::int32_t> tokens;
  std::vector<VersionSpan> spans;
  FinishReason finish = FinishReason::kNone;
  while (true) {
    StreamUpdate step = TakeUpdate(stream);
    for (const GenerateChunk& it : step.chunks) {
      tokens.insert(tokens.end(), it.tokens.begin(), it.tokens.end());
      AppendSpan(spans, it.version, static_cast<int>(it.tokens.size()));
      if (it.finish != FinishReason::kNone) finish = it.finish;
    }
    if (step.failure) return Refuse(exchange, *step.failure);
    if (step.ended) break;
    stream.changed.Wait();
  }
  Json versions = Json::array();
  for (const VersionSpan& it : spans) versions.push_back({{"version", it.version}, {"tokens", it.tokens}});
  AnswerJson(exchange, {{"id", exchange.request_id},
                        {"choices", {{{"token_ids", tokens}, {"finish_reason", FinishJson(finish)}}}},
                        {"weight_versions", versions},
                        {"usage", {{"completion_tokens", tokens.size()}}}});
}

// Sends server-sent events, starting with the chunks in `first`.
void AnswerStreamed(Exchange& exchange, const std::shared_ptr<TokenStream>& stream, StreamUpdate first) {
  struct Sent {
    StreamUpdate step;
    std::int64_t tokens = 0;
  };
  const std::shared_ptr<Sent> sent = std::make_shared<Sent>();
  sent->step = std::move(first);
  const std::string id = exchange.request_id;
  exchange.response.status = 200;
  exchange.response.set_chunked_content_provider(
      "text/event-stream",
      [stream, sent, id](std::size_t, httplib::DataSink& sink) {
        std::string out;
        for (const GenerateChunk& it : sent->step.chunks) {
          out += EventOf(id, it);
          sent->tokens += static_cast<std::int64_t>(it.tokens.size());
        }
        if (sent->step.ended && sent->step.failure) {
          CountRefusal(GlobalMetrics(), sent->step.failure->kind);
          out += EventOf(*sent->step.failure);
        } else if (sent->step.ended) {
          out += absl::StrCat(
              "data: ", Json{{"id", id}, {"usage", {{"completion_tokens", sent->tokens}}}}.dump(),
              "\n\ndata: [DONE]\n\n");
        }
        if (!out.empty() && !sink.write(out.data(), out.size())) return false;
        if (sent->step.ended) {
          sink.done();
          return true;
        }
        stream->changed.WaitUntil(absl::Now() + kDisconnectCheckInterval);
        sent->step = TakeUpdate(*stream);
        return sink.is_writable();
      },
      [stream](bool) { stream->cancelled.store(true, std::memory_order_release); });
}

void ServeCompletion(Exchange& exchange) {
  Host& host = exchange.host;
  bool streamed = true;
  Outcome<GenerateRequest> request = Capture<GenerateRequest>([&]() -> leaf::result<GenerateRequest> {
    BOOST_LEAF_CHECK(CheckReady(host));
    BOOST_LEAF_AUTO(json, ParseObject(exchange.body));
    return CompletionFromJson(json, streamed);
  });
  if (!Ok(request)) return Refuse(exchange, ErrorOf(request));
  // A new id, because a caller may reuse its own and the engine's events are matched by id.
  Value(request).request_id = NewId(host, "g");
  const std::shared_ptr<TokenStream> stream = std::make_shared<TokenStream>();
  Host* const owner = &host;
  const absl::Time start = absl::Now();
  if (!host.stream_pool->Submit([owner, stream, request = std::move(Value(request))]() mutable {
        RunStream(*owner, stream, std::move(request));
      }))
    return Refuse(exchange, {ErrorKind::kOverloaded, "no free thread for another stream"});
  if (!streamed) {
    AnswerUnstreamed(exchange, *stream);
    CountLatency(GlobalMetrics(), LatencyKind::kInteractive, absl::Now() - start);
    return;
  }
  // Waits for the first event before it sends the status line, so that an early refusal gets its own HTTP
  // status.
  StreamUpdate first;
  while (first.chunks.empty() && !first.ended) {
    stream->changed.Wait();
    first = TakeUpdate(*stream);
  }
  CountLatency(GlobalMetrics(), LatencyKind::kInteractive, absl::Now() - start);
  if (first.chunks.empty() && first.failure) return Refuse(exchange, *first.failure);
  AnswerStreamed(exchange, stream, std::move(first));
}

// ---- Trainers ----

leaf::result<BatchAnswer> NextBatch(Exchange& exchange) {
  // Only new requests are refused while the host drains; a request that already waits continues at the new
  // lease holder of the job.
  BOOST_LEAF_CHECK(CheckReady(exchange.host));
  BOOST_LEAF_AUTO(json, ParseObject(exchange.body));
  std::vector<std::string> problems;
  BatchRequest request;
  request.job = exchange.path[2];
  request.trainer = exchange.name;
  std::int64_t ack = -1;
  int wait_ms = 0;
  ObjectReader reader(json, "", problems);
  std::string trainer = exchange.name;
  reader.Read("trainer", trainer);
  reader.Read("seq", request.seq, 1, std::numeric_limits<std::int64_t>::max(), Presence::kRequired);
  reader.Read("ack", ack, 0, std::numeric_limits<std::int64_t>::max());
  reader.Read("trainer_version", request.trainer_version, 0, std::numeric_limits<std::int64_t>::max(),
              Presence::kRequired);
  reader.Read("wait_ms", wait_ms, 0, kMaxWaitMs);
  reader.Read("request_id", request.request_id, 0, kMaxIdBytes);
  reader.Finish();
  if (!problems.empty()) return Fail(ErrorKind::kInvalidRequest, absl::StrJoin(problems, "\n"));
  if (trainer != exchange.name)
    return Fail(ErrorKind::kForbidden,
                absl::StrCat("trainer: found \"", trainer, "\", the credential is of ", exchange.name));
  if (ack >= 0 && ack != request.seq - 1)
    return Fail(ErrorKind::kInvalidRequest,
                absl::StrCat("ack: found ", ack, ", expected seq - 1 = ", request.seq - 1));
  if (request.request_id.empty()) request.request_id = exchange.request_id;
  const absl::Time start = absl::Now();
  BOOST_LEAF_AUTO(answer, FetchBatch(exchange.host, request, absl::Milliseconds(wait_ms)));
  CountLatency(GlobalMetrics(), LatencyKind::kBatchWait, absl::Now() - start);
  return answer;
}

void ServeBatch(Exchange& exchange) {
  Outcome<BatchAnswer> outcome = Capture<BatchAnswer>([&] { return NextBatch(exchange); });
  if (!Ok(outcome)) return Refuse(exchange, ErrorOf(outcome));
  exchange.response.status = 200;
  exchange.response.set_header("Oleander-Batch", Value(outcome).provisional ? "provisional" : "committed");
  exchange.response.set_content(std::move(Value(outcome).bytes), "application/json");
}

leaf::result<Json> PostWeights(Exchange& exchange) {
  Host& host = exchange.host;
  BOOST_LEAF_CHECK(CheckReady(host));
  BOOST_LEAF_AUTO(json, ParseObject(exchange.body));
  std::vector<std::string> problems;
  Version version = 0;
  ObjectReader reader(json, "", problems);
  reader.Read("version", version, 1, std::numeric_limits<Version>::max(), Presence::kRequired);
  reader.Finish();
  if (!problems.empty()) return Fail(ErrorKind::kInvalidRequest, absl::StrJoin(problems, "\n"));
  const PoolId& model = exchange.path[2];
  const std::string write_id = NewId(host, "weights");
  Outcome<WeightTarget> target = Error{ErrorKind::kConflict, "raced"};
  for (int it = 0; it < kMaxAnnounceAttempts; ++it) {
    target = Capture<WeightTarget>([&] { return AnnounceWeights(host.table, model, version, write_id); });
    if (Ok(target) || ErrorOf(target).kind != ErrorKind::kConflict) break;
  }
  if (!Ok(target)) return Fail(ErrorOf(target));
  LogEventLine(LogLevel::kInfo, LogEvent::kWeightsAnnounced,
               {{"model", model}, {"version", version}, {"target", Value(target).version}});
  ReceiveWeightTarget(host, Value(target));
  return Json{{"model", model}, {"target", Value(target).version}, {"fence", Value(target).fence}};
}

void ServeJson(Exchange& exchange, leaf::result<Json> (*fn)(Exchange&)) {
  const Outcome<Json> outcome = Capture<Json>([&] { return fn(exchange); });
  if (!Ok(outcome)) return Refuse(exchange, ErrorOf(outcome));
  AnswerJson(exchange, Value(outcome));
}

void RefuseUnknownPath(Exchange& exchange) {
  RefuseUnclaimed(exchange, {ErrorKind::kNotFound, absl::StrCat(exchange.request.method, " ",
                                                                exchange.request.path, " is not a call")});
}

// ---- Health ----

void ServeReady(Exchange& exchange) {
  const Outcome<std::monostate> ready =
      Capture<std::monostate>([&]() -> leaf::result<void> { return CheckReady(exchange.host); });
  if (!Ok(ready)) return Refuse(exchange, ErrorOf(ready));
  AnswerJson(exchange, {{"ready", true}});
}

void ServeGet(Exchange& exchange) {
  const std::string& path = exchange.request.path;
  if (path == "/healthz") return AnswerJson(exchange, {{"alive", true}});
  if (path == "/readyz") return ServeReady(exchange);
  if (path == "/metrics") {
    exchange.response.status = 200;
    return exchange.response.set_content(ExposeText(GlobalMetrics()), "text/plain; version=0.0.4");
  }
  RefuseUnknownPath(exchange);
}

void Serve(Exchange& exchange) {
  const std::vector<std::string>& path = exchange.path;
  const bool admin = path.size() >= 2 && path[0] == "v1" && path[1] == "admin";
  const bool open = exchange.request.method == "GET" && !admin;
  if (open) return ServeGet(exchange);
  if (path.empty() || path[0] != "v1") return RefuseUnknownPath(exchange);
  const Outcome<std::monostate> known = Capture<std::monostate>([&]() -> leaf::result<void> {
    return Authenticate(exchange, admin ? Role::kOperator : Role::kCaller);
  });
  if (!Ok(known)) return RefuseUnclaimed(exchange, ErrorOf(known));
  if (admin) return ServeAdmin(exchange);
  ServeCaller(exchange);
}

// Handles one request: reads its body, dispatches it and fills the response.
void Handle(Host& host, const httplib::Request& request, httplib::Response& response,
            const httplib::ContentReader* reader) {
  Exchange exchange{host, request, response, "", RequestId(host, request), {}, ""};
  AddHeaders(host, exchange.request_id, response);
  host.in_flight.fetch_add(1, std::memory_order_acq_rel);
  const std::string path = request.path.empty() ? "" : request.path.substr(1);
  exchange.path = absl::StrSplit(path, '/');
  std::optional<Error> refused;
  if (reader != nullptr) refused = ReadBody(exchange, *reader);
  if (refused) {
    HttpServer::CloseAfterAnswer();
    RefuseUnclaimed(exchange, *refused);
  } else {
    Serve(exchange);
  }
  host.in_flight.fetch_sub(1, std::memory_order_acq_rel);
}

}  // namespace

void ServeCaller(Exchange& exchange) {
  const std::vector<std::string>& path = exchange.path;
  const std::size_t n = path.size();
  if (exchange.request.method != "POST") return RefuseUnknownPath(exchange);
  if (n >= 4 && path[1] == "services" && !path[2].empty()) return ServeService(exchange);
  if (n == 2 && path[1] == "tickets") return ServeJson(exchange, PostTickets);
  if (n == 2 && path[1] == "completions") return ServeCompletion(exchange);
  if (n == 5 && path[1] == "jobs" && path[3] == "batches" && path[4] == "next") return ServeBatch(exchange);
  if (n == 4 && path[1] == "models" && path[3] == "weights" && !path[2].empty())
    return ServeJson(exchange, PostWeights);
  RefuseUnknownPath(exchange);
}

void AddCallerRoutes(Host& host) {
  HttpServer& server = *host.http;
  Host* const owner = &host;
  // Disables httplib's limit, which still reads an oversized body to its end. ReadBody stops at its own
  // limit.
  server.set_payload_max_length(std::numeric_limits<std::size_t>::max());
  // httplib reports this count in the Keep-Alive header; HttpServer does not close connections after it.
  server.set_keep_alive_max_count(1000000);
  const int threads = host.settings.caller_threads;
  server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
  const auto plain = [owner](const httplib::Request& request, httplib::Response& response) {
    Handle(*owner, request, response, nullptr);
  };
  const auto with_body = [owner](const httplib::Request& request, httplib::Response& response,
                                 const httplib::ContentReader& reader) {
    Handle(*owner, request, response, &reader);
  };
  // std::regex recurses once per character, so long paths are refused before they are matched.
  server.set_pre_routing_handler([owner](const httplib::Request& request, httplib::Response& response) {
    if (request.path.size() <= kMaxPathBytes) return httplib::Server::HandlerResponse::Unhandled;
    Exchange exchange{*owner, request, response, "", RequestId(*owner, request), {}, ""};
    exchange.path = {"v1", "services",
                     ""};  // so that a call with a key or ticket is not refused as "not run"
    AddHeaders(*owner, exchange.request_id, response);
    HttpServer::CloseAfterAnswer();
    RefuseUnclaimed(exchange,
                    {ErrorKind::kInvalidRequest, absl::StrCat("path: found ", request.path.size(),
                                                              " bytes, expected at most ", kMaxPathBytes)});
    return httplib::Server::HandlerResponse::Handled;
  });
  const std::string any = R"([\s\S]*)";
  server.Get(any, plain);
  server.Post(any, with_body);
  server.Put(any, with_body);
  server.Delete(any, with_body);
  server.Patch(any, with_body);
  server.Options(any, plain);
  // Adds the JSON error to refusals by httplib itself: malformed request line or headers, unknown method.
  const httplib::Server::HandlerWithResponse httplib_refusal = [owner](const httplib::Request& request,
                                                                       httplib::Response& response) {
    // Already answered by Handle, possibly with the error status and empty body of an upstream.
    if (response.has_header("Oleander-Request-Id")) return httplib::Server::HandlerResponse::Unhandled;
    Exchange exchange{*owner, request, response, "", RequestId(*owner, request), {}, ""};
    AddHeaders(*owner, exchange.request_id, response);
    HttpServer::CloseAfterAnswer();
    const bool unknown = response.status == 404;
    const bool internal = response.status >= 500;
    RefuseUnclaimed(exchange, {internal  ? ErrorKind::kInternal
                               : unknown ? ErrorKind::kNotFound
                                         : ErrorKind::kInvalidRequest,
                               absl::StrCat("HTTP request refused with status ", response.status)});
    return httplib::Server::HandlerResponse::Handled;
  };
  server.set_error_handler(httplib_refusal);
  server.set_exception_handler(
      [owner](const httplib::Request& request, httplib::Response& response, std::exception_ptr) {
        Exchange exchange{*owner, request, response, "", RequestId(*owner, request), {}, ""};
        AddHeaders(*owner, exchange.request_id, response);
        HttpServer::CloseAfterAnswer();
        Refuse(exchange, {ErrorKind::kInternal, "the request handler threw an exception"});
      });
}

}  // namespace oleander
