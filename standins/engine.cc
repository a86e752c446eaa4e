#include "standins/engine.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace oleander::standins {
namespace {

// ---- Batch thread

void RunBatchLoop(Engine& engine) {
  absl::MutexLock lock(&engine.mutex);
  while (!engine.stopping) {
    if (engine.batch.running.empty()) {
      engine.changed.WaitWithTimeout(&engine.mutex, absl::Milliseconds(100));
      if (engine.batch.running.empty()) continue;
    }
    const double factor = PeekFault(engine.port.faults, FaultKind::kSlowFactor, absl::Now()).value_or(1);
    const absl::Time step_end =
        std::max(absl::Now(), engine.paused_until) + StepDuration(engine.batch, factor);
    while (!engine.stopping && absl::Now() < step_end) {
      engine.mutex.Unlock();
      absl::SleepFor(std::min(step_end - absl::Now(), absl::Milliseconds(50)));
      engine.mutex.Lock();
    }
    StepBatch(engine.batch, absl::Now());
    engine.changed.SignalAll();
  }
}

// ---- Streams

// Faults of one stream, consumed when it starts.
struct StreamFaults {
  bool wrong_id = false;
  bool no_version = false;
  bool truncate = false;          // ends without [DONE]
  bool too_long = false;          // reports fewer tokens in "usage" than it sent
  bool close_mid_answer = false;  // closes the connection after the second event
};

struct Stream {
  Engine* engine = nullptr;
  std::string request_id;
  std::shared_ptr<RunningRequest> request;
  StreamFaults faults;
  int events = 0;
  ~Stream();
};

// Runs when the response ends. Cancels the request if the caller has disconnected.
Stream::~Stream() {
  absl::MutexLock lock(&engine->mutex);
  CancelRequest(engine->batch, request);
  const auto it = engine->streams.find(request_id);
  if (it != engine->streams.end() && it->second == request) engine->streams.erase(it);
}

struct StreamEvent {
  Json choice;          // entry of the event's choices
  Version version = 0;  // that produced the tokens of this event
  bool done = false;    // the request has ended and all of its tokens are sent
  bool cancelled = false;
  int total_tokens = 0;   // tokens that the request has produced so far, without resume_tokens
  int cached_tokens = 0;  // prompt and resume tokens found in a cache
};

// The version that produced the token at `index`, and the number of tokens from there to the end of its span.
std::pair<Version, int> SpanAt(const TokenRecord& record, int index) {
  for (const VersionSpan& it : record.spans) {
    if (index < it.tokens) return {it.version, it.tokens - index};
    index -= it.tokens;
  }
  return {0, 0};
}

StreamEvent BuildNextEvent(Engine& engine, RunningRequest& request)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(engine.mutex) {
  const TokenRecord& record = engine.batch.records[request.record];
  StreamEvent event;
  event.total_tokens = static_cast<int>(record.tokens.size());
  event.cached_tokens = request.cached_tokens;
  const auto [version, remaining] = SpanAt(record, request.sent_tokens);
  const int n = std::min(remaining, event.total_tokens - request.sent_tokens);
  const auto begin = record.tokens.begin() + request.sent_tokens;
  request.sent_tokens += n;
  event.version = version > 0 ? version : engine.batch.active_version;
  event.done = request.done && request.sent_tokens == event.total_tokens;
  event.cancelled = request.cancelled;
  event.choice = {{"token_ids", std::vector<std::int32_t>(begin, begin + n)}, {"finish_reason", nullptr}};
  if (event.done && !event.cancelled) event.choice["finish_reason"] = NameOf(record.finish);
  return event;
}

// Waits for enough tokens for an event, or the end of the request.
StreamEvent WaitForEvent(Engine& engine, RunningRequest& request) {
  absl::MutexLock lock(&engine.mutex);
  const int per_event = std::max(1, engine.batch.options.tokens_per_event);
  while (!engine.stopping && !request.done) {
    const int ready =
        static_cast<int>(engine.batch.records[request.record].tokens.size()) - request.sent_tokens;
    // Sends the first token at once, so that batching into events does not add to the time to first token.
    if (ready >= (request.sent_tokens == 0 ? 1 : per_event)) break;
    engine.changed.WaitWithTimeout(&engine.mutex, absl::Milliseconds(200));
  }
  return BuildNextEvent(engine, request);
}

bool WriteEvent(httplib::DataSink& sink, const Json& event) {
  const std::string text = absl::StrCat("data: ", event.dump(), "\n\n");
  return sink.write(text.data(), text.size());
}

bool EndStream(Stream& stream, const StreamEvent& event, const std::string& id, httplib::DataSink& sink) {
  if (event.cancelled || stream.faults.truncate) {
    sink.done();
    return true;
  }
  const int announced = stream.faults.too_long ? std::max(0, event.total_tokens - 1) : event.total_tokens;
  const Json usage = {{"id", id},
                      {"usage", {{"completion_tokens", announced}, {"cached_tokens", event.cached_tokens}}}};
  const std::string end = "data: [DONE]\n\n";
  if (!WriteEvent(sink, usage) || !sink.write(end.data(), end.size())) return false;
  sink.done();
  return true;
}

// Writes the next event of the stream; false closes the connection.
bool WriteNextEvent(Stream& stream, httplib::DataSink& sink) {
  const StreamEvent event = WaitForEvent(*stream.engine, *stream.request);
  const std::string id =
      stream.faults.wrong_id ? absl::StrCat(stream.request_id, "-other") : stream.request_id;
  Json json = {{"id", id}, {"choices", Json::array({event.choice})}};
  if (!stream.faults.no_version) json["weight_version"] = event.version;
  if (!WriteEvent(sink, json)) return false;
  if (stream.faults.close_mid_answer && ++stream.events >= 2) return false;
  return event.done ? EndStream(stream, event, id, sink) : true;
}

CompletionRequest ParseCompletion(const Json& json) {
  CompletionRequest request;
  request.request_id = json.at("request_id").get<std::string>();
  request.prompt = json.at("prompt").get<std::string>();
  request.seed = json.value("seed", std::uint64_t{0});
  request.max_tokens = json.value("max_tokens", 256);
  request.resume_tokens = json.value("resume_tokens", std::vector<std::int32_t>());
  return request;
}

StreamFaults ConsumeStreamFaults(Engine& engine) {
  const absl::Time now = absl::Now();
  Faults& faults = engine.port.faults;
  StreamFaults stream_faults;
  stream_faults.wrong_id = ConsumeFault(faults, FaultKind::kWrongId, now).has_value();
  stream_faults.no_version = ConsumeFault(faults, FaultKind::kNoVersion, now).has_value();
  stream_faults.truncate = ConsumeFault(faults, FaultKind::kTruncate, now).has_value();
  stream_faults.too_long = ConsumeFault(faults, FaultKind::kTooLong, now).has_value();
  stream_faults.close_mid_answer = ConsumeFault(faults, FaultKind::kCloseMidAnswer, now).has_value();
  return stream_faults;
}

// Engines do not schedule by work class; a caller may name it for the audit log.
std::string WorkClassOf(const httplib::Request& req) {
  const std::string name = req.get_header_value("Oleander-Work-Class");
  return name.empty() ? "unnamed" : name;
}

void StartStream(Engine& engine, const httplib::Request& req, httplib::Response& res) {
  CompletionRequest request;
  try {
    request = ParseCompletion(Json::parse(req.body));
  } catch (const Json::exception& ex) {
    AnswerJson(res, 400, {{"error", ex.what()}});
    return;
  }
  auto stream = std::make_shared<Stream>();
  stream->engine = &engine;
  stream->request_id = request.request_id;
  stream->faults = ConsumeStreamFaults(engine);
  {
    absl::MutexLock lock(&engine.mutex);
    stream->request = AdmitRequest(engine.batch, request, absl::Now());
    engine.streams[request.request_id] = stream->request;
    ++engine.requests_by_class[WorkClassOf(req)];
    engine.changed.SignalAll();
  }
  res.set_chunked_content_provider("text/event-stream", [stream](std::size_t, httplib::DataSink& sink) {
    return WriteNextEvent(*stream, sink);
  });
}

// ---- Orders

int FetchWeights(const EngineOptions& options, Version version) {
  if (options.weights_url.empty()) return 200;
  httplib::Client client(options.weights_url);
  client.set_tcp_nodelay(true);
  const auto result = client.Get(absl::StrCat("/weights/", options.model, "/", version));
  return result ? result->status : 503;
}

int ExecuteLoad(Engine& engine, Version version) {
  EngineOptions options;
  {
    absl::MutexLock lock(&engine.mutex);
    options = engine.batch.options;
  }
  const int status = FetchWeights(options, version);
  if (status == 429) {
    absl::MutexLock lock(&engine.mutex);
    ++engine.weight_refusals;
    return 429;
  }
  if (status != 200) return 500;
  absl::SleepFor(absl::Milliseconds(options.load_ms));
  absl::MutexLock lock(&engine.mutex);
  FinishLoad(engine.batch, version);
  return 200;
}

int ExecuteActivate(Engine& engine, Version version) {
  absl::MutexLock lock(&engine.mutex);
  if (ActivateVersion(engine.batch, version) != OrderResult::kDone) return 500;
  engine.paused_until = absl::Now() + absl::Milliseconds(engine.batch.options.activate_ms);
  return 200;
}

int ExecuteOrder(Engine& engine, const std::string& order, Version version, std::int64_t fence) {
  {
    absl::MutexLock lock(&engine.mutex);
    if (CheckFence(engine.batch, fence) != OrderResult::kDone) return 409;
  }
  if (order == "role") return 200;
  if (ConsumeFault(engine.port.faults, FaultKind::kSwapFails, absl::Now())) return 500;
  return order == "load" ? ExecuteLoad(engine, version) : ExecuteActivate(engine, version);
}

void HandleOrder(Engine& engine, const httplib::Request& req, httplib::Response& res) {
  const Json json = Json::parse(req.body, nullptr, false);
  const std::string order = json.is_object() ? json.value("order", "") : "";
  if (order != "load" && order != "activate" && order != "role") {
    AnswerJson(res, 400, {{"error", "order: expected load, activate or role"}});
    return;
  }
  const Version version = json.value("version", Version{0});
  const std::int64_t fence = json.value("fence", std::int64_t{0});
  const int status = ExecuteOrder(engine, order, version, fence);
  absl::MutexLock lock(&engine.mutex);
  engine.orders.push_back({order, version, fence, status});
  AnswerJson(res, status, {{"version", engine.batch.active_version}, {"fence", engine.batch.max_fence}});
}

// ---- Load report, cancel, KV cache

void HandleLoad(Engine& engine, httplib::Response& res) {
  absl::MutexLock lock(&engine.mutex);
  const LoadSnapshot load = DelayedLoad(engine.batch, absl::Now());
  // The version is current; only the counts are delayed.
  AnswerJson(res, 200,
             {{"running", load.running},
              {"waiting", load.waiting},
              {"version", engine.batch.active_version},
              {"as_of_ms", absl::ToUnixMillis(load.at)}});
}

void HandleCancel(Engine& engine, const std::string& id, httplib::Response& res) {
  absl::MutexLock lock(&engine.mutex);
  const auto it = engine.streams.find(id);
  if (it == engine.streams.end()) {
    AnswerJson(res, 404, {{"error", "no such request"}});
    return;
  }
  CancelRequest(engine.batch, it->second);
  engine.changed.SignalAll();
  AnswerJson(res, 200, {{"ok", true}});
}

void ExportKv(Engine& engine, const std::string& id, httplib::Response& res) {
  absl::MutexLock lock(&engine.mutex);
  const auto it = engine.batch.kv_cache.find(id);
  if (it == engine.batch.kv_cache.end()) {
    AnswerJson(res, 404, {{"error", "no KV cache of this request"}});
    return;
  }
  AnswerJson(res, 200, {{"request_id", id}, {"tokens", it->second}});
}

void ImportKv(Engine& engine, const std::string& id, const httplib::Request& req, httplib::Response& res) {
  const Json json = Json::parse(req.body, nullptr, false);
  if (!json.is_object() || !json.contains("tokens") || !json["tokens"].is_number_integer()) {
    AnswerJson(res, 400, {{"error", "tokens: expected an integer"}});
    return;
  }
  absl::MutexLock lock(&engine.mutex);
  engine.batch.kv_cache[id] = json["tokens"].get<int>();
  AnswerJson(res, 200, {{"ok", true}});
}

void AddRoutes(Engine& engine, httplib::Server& server) {
  server.Post("/v1/completions", [&engine](const httplib::Request& req, httplib::Response& res) {
    StartStream(engine, req, res);
  });
  server.Post(R"(/v1/requests/(.+)/cancel)", [&engine](const httplib::Request& req, httplib::Response& res) {
    HandleCancel(engine, req.matches[1].str(), res);
  });
  server.Get("/load",
             [&engine](const httplib::Request&, httplib::Response& res) { HandleLoad(engine, res); });
  server.Get("/v1/cache_events", [&engine](const httplib::Request& req, httplib::Response& res) {
    const std::int64_t after = std::strtoll(req.get_param_value("after").c_str(), nullptr, 10);
    absl::MutexLock lock(&engine.mutex);
    AnswerJson(res, 200, CacheEventsAfter(engine.batch, after, absl::Now()));
  });
  server.Post("/orders", [&engine](const httplib::Request& req, httplib::Response& res) {
    HandleOrder(engine, req, res);
  });
  server.Get(R"(/v1/kv/(.+))", [&engine](const httplib::Request& req, httplib::Response& res) {
    ExportKv(engine, req.matches[1].str(), res);
  });
  server.Put(R"(/v1/kv/(.+))", [&engine](const httplib::Request& req, httplib::Response& res) {
    ImportKv(engine, req.matches[1].str(), req, res);
  });
}

Json AuditLogJson(Engine& engine) {
  absl::MutexLock lock(&engine.mutex);
  Json orders = Json::array();
  for (const OrderRecord& it : engine.orders) {
    orders.push_back(
        {{"order", it.order}, {"version", it.version}, {"fence", it.fence}, {"status", it.status}});
  }
  return {{"role", "engine"},
          {"version", engine.batch.active_version},
          {"steps", engine.batch.steps},
          {"highest_running", engine.batch.max_running},
          {"requests_by_class", engine.requests_by_class},
          {"weight_refusals", engine.weight_refusals},
          {"orders", std::move(orders)},
          {"records", RecordsJson(engine.batch)}};
}

void StopEngine(Engine& engine) {
  absl::MutexLock lock(&engine.mutex);
  engine.stopping = true;
  engine.changed.SignalAll();
}

void CrashEngine(Engine& engine) {
  absl::MutexLock lock(&engine.mutex);
  ResetBatch(engine.batch);
  engine.changed.SignalAll();
}

}  // namespace

Engine::~Engine() {
  StopEngine(*this);
  ClosePort(port);
  if (batch_thread.joinable()) batch_thread.join();
}

leaf::result<std::unique_ptr<Engine>> StartEngine(const Endpoint& endpoint, const EngineOptions& options) {
  auto engine = std::make_unique<Engine>();
  Engine* self = engine.get();
  {
    absl::MutexLock lock(&engine->mutex);
    engine->batch.options = options;
    engine->batch.active_version = options.initial_version;
    engine->batch.loaded_versions = {options.initial_version};
  }
  engine->port.endpoint = endpoint;
  engine->port.role.name = "engine";
  engine->port.role.id = options.id;
  engine->port.role.routes = [self](httplib::Server& server) { AddRoutes(*self, server); };
  engine->port.role.audit_log = [self] { return AuditLogJson(*self); };
  engine->port.role.on_crash = [self] { CrashEngine(*self); };
  engine->port.role.on_stop = [self] { StopEngine(*self); };
  BOOST_LEAF_CHECK(OpenPort(engine->port));
  engine->batch_thread = std::thread([self] { RunBatchLoop(*self); });
  return engine;
}

}  // namespace oleander::standins
