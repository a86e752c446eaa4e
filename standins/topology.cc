#include "standins/topology.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace oleander::standins {
namespace {

struct SharedOptions {
  std::string address = "127.0.0.1";
  std::uint64_t seed = 1;
};

Json ListEntry(const Json& json, const char* kind, const std::string& pool, const Endpoint& endpoint) {
  return {{"id", json.at("id")},
          {"kind", kind},
          {"pool", pool},
          {"zone", json.value("zone", "a")},
          {"address", endpoint.address},
          {"port", endpoint.port},
          {"state", "live"}};
}

EngineOptions EngineOptionsFrom(const Json& json, const SharedOptions& shared,
                                const std::string& weights_url) {
  EngineOptions options;
  options.id = json.at("id").get<std::string>();
  options.model = json.at("model").get<std::string>();
  options.seed = shared.seed;
  options.weights_url = json.value("weights_url", weights_url);
  options.lengths.median = json.value("median_tokens", options.lengths.median);
  options.lengths.sigma = json.value("sigma", options.lengths.sigma);
  options.step_base_ms = json.value("step_base_ms", options.step_base_ms);
  options.step_per_running_ms = json.value("step_per_running_ms", options.step_per_running_ms);
  options.prefill_tokens_per_step = json.value("prefill_tokens_per_step", options.prefill_tokens_per_step);
  options.tokens_per_event = json.value("tokens_per_event", options.tokens_per_event);
  options.cache_entries = json.value("cache_entries", options.cache_entries);
  options.kv_entries = json.value("kv_entries", options.kv_entries);
  options.load_lag_ms = json.value("load_lag_ms", options.load_lag_ms);
  options.cache_event_lag_ms = json.value("cache_event_lag_ms", options.cache_event_lag_ms);
  options.cache_event_gap = json.value("cache_event_gap", options.cache_event_gap);
  options.checks_fence = json.value("checks_fence", options.checks_fence);
  options.initial_version = json.value("initial_version", options.initial_version);
  options.load_ms = json.value("load_ms", options.load_ms);
  options.activate_ms = json.value("activate_ms", options.activate_ms);
  return options;
}

leaf::result<void> StartPlatform(Topology& topology, const Json& json, const SharedOptions& shared) {
  if (json.contains("table")) {
    BOOST_LEAF_ASSIGN(topology.table, StartTable({shared.address, json["table"].at("port").get<int>()}));
    topology.ports["table"] = &topology.table->port;
  }
  if (json.contains("objects")) {
    BOOST_LEAF_ASSIGN(topology.objects,
                      StartObjects({shared.address, json["objects"].at("port").get<int>()}));
    topology.ports["objects"] = &topology.objects->port;
  }
  if (json.contains("weights")) {
    const Json& weights = json["weights"];
    BOOST_LEAF_ASSIGN(topology.weights, StartWeightStore({shared.address, weights.at("port").get<int>()},
                                                         weights.value("per_second", 0.0)));
    topology.ports["weights"] = &topology.weights->port;
  }
  return {};
}

std::string WeightsUrl(const Topology& topology) {
  if (!topology.weights) return "";
  const Endpoint& endpoint = topology.weights->port.endpoint;
  return absl::StrCat("http://", endpoint.address, ":", endpoint.port);
}

leaf::result<void> StartEngines(Topology& topology, const Json& json, const SharedOptions& shared,
                                Json& upstreams) {
  for (const Json& it : json.value("engines", Json::array())) {
    const EngineOptions options = EngineOptionsFrom(it, shared, WeightsUrl(topology));
    BOOST_LEAF_AUTO(engine, StartEngine({shared.address, it.at("port").get<int>()}, options));
    upstreams.push_back(ListEntry(it, "engine", options.model, engine->port.endpoint));
    topology.ports[options.id] = &engine->port;
    topology.engines.push_back(std::move(engine));
  }
  return {};
}

leaf::result<void> StartServices(Topology& topology, const Json& json, const SharedOptions& shared,
                                 Json& upstreams) {
  for (const Json& it : json.value("services", Json::array())) {
    ServiceOptions options;
    options.id = it.at("id").get<std::string>();
    options.seed = shared.seed;
    options.median_ms = it.value("median_ms", options.median_ms);
    BOOST_LEAF_ASSIGN(options.role, ServiceRoleFromName(it.at("role").get<std::string>()));
    BOOST_LEAF_AUTO(service, StartService({shared.address, it.at("port").get<int>()}, options));
    const std::string pool = it.value("pool", std::string(NameOf(options.role)));
    upstreams.push_back(ListEntry(it, "service", pool, service->port.endpoint));
    topology.ports[options.id] = &service->port;
    topology.services.push_back(std::move(service));
  }
  return {};
}

leaf::result<void> StartList(Topology& topology, const Json& json, const SharedOptions& shared,
                             Json upstreams) {
  if (!json.contains("list")) return {};
  const Json& section = json["list"];
  Json list = {{"hosts", section.value("hosts", Json::array())}, {"upstreams", std::move(upstreams)}};
  BOOST_LEAF_ASSIGN(topology.list,
                    StartHostList({shared.address, section.at("port").get<int>()}, std::move(list),
                                  absl::Milliseconds(section.value("lag_ms", 1000))));
  topology.ports["list"] = &topology.list->port;
  return {};
}

void HandleControlFault(Topology& topology, const httplib::Request& req, httplib::Response& res) {
  const Json body = Json::parse(req.body, nullptr, false);
  const std::string target = body.is_object() ? body.value("target", "") : "";
  const auto it = topology.ports.find(target);
  if (it == topology.ports.end()) {
    AnswerJson(res, 404, {{"error", absl::StrCat("target: no stand-in ", target)}});
    return;
  }
  const Outcome<std::monostate> outcome =
      Capture<std::monostate>([&] { return HandleFault(*it->second, body, 0); });
  if (Ok(outcome)) {
    AnswerJson(res, 200, {{"ok", true}});
  } else {
    AnswerJson(res, 400, {{"error", ErrorOf(outcome).detail}});
  }
}

leaf::result<void> StartControl(Topology& topology, const Json& json, const SharedOptions& shared) {
  if (!json.contains("control_port")) return {};
  Topology* self = &topology;
  topology.control.endpoint = {shared.address, json["control_port"].get<int>()};
  topology.control.role.name = "control";
  topology.control.role.id = "control";
  topology.control.role.audit_log = [self] {
    Json audit_logs = Json::object();
    for (const auto& it : self->ports) audit_logs[it.first] = it.second->role.audit_log();
    return audit_logs;
  };
  topology.control.role.routes = [self](httplib::Server& server) {
    server.Post("/control/fault", [self](const httplib::Request& req, httplib::Response& res) {
      HandleControlFault(*self, req, res);
    });
  };
  return OpenPort(topology.control);
}

leaf::result<void> StartAll(Topology& topology, const Json& json) {
  SharedOptions shared;
  shared.address = json.value("address", shared.address);
  shared.seed = json.value("seed", shared.seed);
  Json upstreams = Json::array();
  BOOST_LEAF_CHECK(StartPlatform(topology, json, shared));
  BOOST_LEAF_CHECK(StartEngines(topology, json, shared, upstreams));
  BOOST_LEAF_CHECK(StartServices(topology, json, shared, upstreams));
  BOOST_LEAF_CHECK(StartList(topology, json, shared, std::move(upstreams)));
  return StartControl(topology, json, shared);
}

}  // namespace

// Closes the control port first, because its handlers use all the other stand-ins.
Topology::~Topology() { ClosePort(control); }

leaf::result<std::unique_ptr<Topology>> StartTopology(const Json& json) {
  auto topology = std::make_unique<Topology>();
  try {
    BOOST_LEAF_CHECK(StartAll(*topology, json));
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kInvalidRequest, absl::StrCat("topology: ", ex.what()));
  }
  return topology;
}

}  // namespace oleander::standins
