// Client of model engines: OpenAI completions protocol with server-sent events.
#include <algorithm>
#include <array>
#include <memory>
#include <optional>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "links/http_client.h"
#include "oleander/upstream.h"

namespace oleander {
namespace {

constexpr std::array<std::string_view, 3> kOrderNames = {"load", "activate", "role"};
constexpr std::size_t kMaxEventBytes = 1 << 20;
constexpr absl::Duration kControlDeadline = absl::Seconds(2);
// Long, because the order to load weights takes longer than any other.
constexpr absl::Duration kOrderDeadline = absl::Seconds(60);

struct EngineClient {
  HttpPool pool;
  absl::Duration idle_deadline;  // between two events of a stream
  LeavingSink leaving;           // may be null
};

// State of one stream of server-sent events.
struct EventStream {
  const GenerateRequest* request = nullptr;  //
  const ChunkSink* sink = nullptr;           //
  std::string buf;                           // bytes after the last complete line
  int new_tokens = 0;                        //
  int reported_tokens = -1;                  // usage.completion_tokens; -1: not reported yet
  bool finished = false;                     // a finish reason was received
  bool done = false;                         // "[DONE]" was received
  bool cancelled = false;                    // by the sink
  std::string problem;                       // why the stream is invalid; empty if it is valid
};

FinishReason FinishFrom(const Json& choice) {
  if (!choice.contains("finish_reason") || choice.at("finish_reason").is_null()) return FinishReason::kNone;
  return choice.at("finish_reason").get<std::string>() == "stop" ? FinishReason::kStop
                                                                 : FinishReason::kLength;
}

// Returns true if the answer has max_tokens tokens. Only then does the finish reason "length" end the answer;
// at the end of a slice it does not.
bool ReachedMaxTokens(const EventStream& stream) {
  return static_cast<int>(stream.request->resume_tokens.size()) + stream.new_tokens >=
         stream.request->max_tokens;
}

bool HandleChunk(EventStream& stream, const Json& event) {
  const Json& choice = event.at("choices").at(0);
  GenerateChunk chunk;
  chunk.tokens = choice.at("token_ids").get<std::vector<std::int32_t>>();
  chunk.version = event.value("weight_version", static_cast<Version>(0));
  chunk.finish = FinishFrom(choice);
  if (stream.finished && !chunk.tokens.empty()) {
    stream.problem = "tokens after the finish reason";
    return false;
  }
  stream.finished = stream.finished || chunk.finish != FinishReason::kNone;
  stream.new_tokens += static_cast<int>(chunk.tokens.size());
  if (static_cast<int>(stream.request->resume_tokens.size()) + stream.new_tokens >
      stream.request->max_tokens) {
    stream.problem = absl::StrCat("more than ", stream.request->max_tokens, " tokens");
    return false;
  }
  if (chunk.finish == FinishReason::kLength && !ReachedMaxTokens(stream)) chunk.finish = FinishReason::kNone;
  stream.cancelled = !(*stream.sink)(chunk);
  return !stream.cancelled;
}

bool HandleEvent(EventStream& stream, absl::string_view data) {
  if (data == "[DONE]") {
    stream.done = true;
    return true;
  }
  try {
    const Json event = Json::parse(data.begin(), data.end());
    const std::string id = event.at("id").get<std::string>();
    if (id != stream.request->request_id) {
      stream.problem = absl::StrCat("event for another request: ", id);
      return false;
    }
    if (event.contains("usage") && !event.at("usage").is_null()) {
      stream.reported_tokens = event.at("usage").at("completion_tokens").get<int>();
    }
    if (!event.contains("choices") || event.at("choices").empty()) return true;
    return HandleChunk(stream, event);
  } catch (const Json::exception& ex) {
    stream.problem = ex.what();
    return false;
  }
}

bool HandleBytes(EventStream& stream, const char* data, std::size_t n) {
  stream.buf.append(data, n);
  std::size_t begin = 0;
  for (std::size_t end = stream.buf.find('\n'); end != std::string::npos;
       end = stream.buf.find('\n', begin)) {
    absl::string_view line(stream.buf.data() + begin, end - begin);
    begin = end + 1;
    if (absl::EndsWith(line, "\r")) line.remove_suffix(1);
    if (!absl::StartsWith(line, "data: ")) continue;
    line.remove_prefix(6);
    if (!HandleEvent(stream, line)) return false;
  }
  stream.buf.erase(0, begin);
  if (stream.buf.size() > kMaxEventBytes) {
    stream.problem = absl::StrCat("event exceeds ", kMaxEventBytes, " bytes");
    return false;
  }
  return true;
}

HttpCall GenerateCall(const EngineClient& client, const GenerateRequest& request, EventStream& stream) {
  const int left = request.max_tokens - static_cast<int>(request.resume_tokens.size());
  const int slice = request.slice_tokens > 0 ? std::min(left, request.slice_tokens) : left;
  const Json body = {{"request_id", request.request_id},
                     {"model", request.model},
                     {"prompt", request.prompt},
                     {"max_tokens", slice},
                     {"seed", request.seed},
                     {"stream", true},
                     {"resume_tokens", request.resume_tokens}};
  HttpCall call;
  call.method = "POST";
  call.path = "/v1/completions";
  call.body = body.dump();
  call.deadline = client.idle_deadline;
  call.on_data = [&stream](const char* data, std::size_t n) { return HandleBytes(stream, data, n); };
  return call;
}

leaf::error_id FailStatus(const Upstream& engine, const HttpAnswer& answer) {
  const std::string detail = absl::StrCat(engine.id, ": HTTP status ", answer.status);
  const bool refused = absl::EqualsIgnoreCase(HeaderValue(answer.headers, "Oleander-Not-Run"), "true") ||
                       absl::EqualsIgnoreCase(HeaderValue(answer.headers, "Oleander-Leaving"), "true");
  if (answer.status == 503 && refused) return Fail(ErrorKind::kUpstreamRefused, detail);
  return Fail(ErrorKind::kUpstreamFailed, detail);
}

leaf::result<void> Generate(EngineClient& client, const Upstream& engine, const GenerateRequest& request,
                            const ChunkSink& sink) {
  EventStream stream;
  stream.request = &request;
  stream.sink = &sink;
  BOOST_LEAF_AUTO(answer, SendHttp(client.pool, engine.endpoint, GenerateCall(client, request, stream)));
  if (stream.cancelled) return {};
  if (!stream.problem.empty()) {
    return Fail(ErrorKind::kUpstreamProtocol,
                absl::StrCat(engine.id, ", ", request.request_id, ": ", stream.problem));
  }
  if (client.leaving && SaysLeaving(answer)) client.leaving(engine);
  if (answer.status != 200) return FailStatus(engine, answer);
  if (!stream.done) {
    return Fail(ErrorKind::kUpstreamProtocol,
                absl::StrCat(engine.id, ", ", request.request_id, ": the stream ended before [DONE]"));
  }
  if (stream.reported_tokens >= 0 && stream.reported_tokens != stream.new_tokens) {
    return Fail(ErrorKind::kUpstreamProtocol,
                absl::StrCat(engine.id, ", ", request.request_id, ": ", stream.new_tokens,
                             " tokens received, ", stream.reported_tokens, " announced"));
  }
  return {};
}

leaf::result<HttpAnswer> Control(EngineClient& client, const Upstream& engine, const std::string& method,
                                 const std::string& path, const std::string& body, absl::Duration deadline) {
  HttpCall call;
  call.method = method;
  call.path = path;
  call.body = body;
  call.deadline = deadline;
  return SendHttp(client.pool, engine.endpoint, call);
}

leaf::result<void> Order(EngineClient& client, const Upstream& engine, const EngineOrder& order) {
  const Json body = {{"order", NameOf(order.kind)},
                     {"model", order.model},
                     {"version", order.version},
                     {"fence", order.fence}};
  BOOST_LEAF_AUTO(answer, Control(client, engine, "POST", "/orders", body.dump(), kOrderDeadline));
  const std::string detail = absl::StrCat(engine.id, ": order ", std::string(NameOf(order.kind)), " ",
                                          order.version, ", HTTP status ", answer.status);
  switch (answer.status) {
    case 200:
      return {};
    case 409:
      return Fail(ErrorKind::kConflict, detail);
    case 429:
      return Fail(ErrorKind::kOverloaded, detail);
    default:
      return Fail(ErrorKind::kUpstreamFailed, detail);
  }
}

leaf::result<EngineLoad> Load(EngineClient& client, const Upstream& engine) {
  BOOST_LEAF_AUTO(answer, Control(client, engine, "GET", "/load", "", kControlDeadline));
  if (answer.status != 200) return FailStatus(engine, answer);
  try {
    const Json json = Json::parse(answer.body);
    EngineLoad load;
    load.running = json.at("running").get<int>();
    load.waiting = json.at("waiting").get<int>();
    load.version = json.at("version").get<Version>();
    load.as_of = absl::FromUnixMillis(json.at("as_of_ms").get<std::int64_t>());
    return load;
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kUpstreamProtocol, absl::StrCat(engine.id, ": load report: ", ex.what()));
  }
}

}  // namespace

std::string_view NameOf(OrderKind kind) { return kOrderNames[static_cast<int>(kind)]; }

EnginePort MakeEngineClient(absl::Duration connect_deadline, absl::Duration idle_deadline,
                            LeavingSink leaving) {
  const std::shared_ptr<EngineClient> client = std::make_shared<EngineClient>();
  client->pool.connect_deadline = connect_deadline;
  client->idle_deadline = idle_deadline;
  client->leaving = std::move(leaving);
  EnginePort port;
  port.generate = [client](const Upstream& engine, const GenerateRequest& request, const ChunkSink& sink) {
    return Generate(*client, engine, request, sink);
  };
  port.cancel = [client](const Upstream& engine, const std::string& request_id) -> leaf::result<void> {
    BOOST_LEAF_CHECK(Control(*client, engine, "POST", absl::StrCat("/v1/requests/", request_id, "/cancel"),
                             "{}", kControlDeadline));
    return {};
  };
  port.order = [client](const Upstream& engine, const EngineOrder& order) {
    return Order(*client, engine, order);
  };
  port.load = [client](const Upstream& engine) { return Load(*client, engine); };
  return port;
}

}  // namespace oleander
