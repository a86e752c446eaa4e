#include "load/load_plan.h"

#include <fstream>
#include <iterator>

#include "absl/strings/str_cat.h"

namespace oleander::load {
namespace {

// Offsets from the base port.
enum PortOffset {
  kControl = 0,
  kTable = 1,
  kObjects = 2,
  kList = 3,
  kWeights = 4,
  kServices = 10,
  kEngines = 20,
  kHosts = 200
};

constexpr int kReceiptServices = 1;
constexpr int kScoringServices = 2;

std::string UrlOf(const LoadPlan& plan, int offset) {
  return absl::StrCat("http://", plan.address, ":", plan.base_port + offset);
}

std::string ZoneAt(int index) { return std::string(1, static_cast<char>('a' + index % 3)); }

Json ServiceRow(const LoadPlan& plan, int number, const std::string& role, const PoolId& pool) {
  return {{"id", absl::StrCat(pool, "-", number)},
          {"role", role},
          {"pool", pool},
          {"zone", ZoneAt(number)},
          {"port", plan.base_port + kServices + number}};
}

int ServiceCount(const LoadPlan& plan) { return plan.lookup_upstreams + kReceiptServices + kScoringServices; }

Json ServicesOf(const LoadPlan& plan) {
  Json services = Json::array();
  int number = 0;
  for (int it = 0; it < plan.lookup_upstreams; ++it)
    services.push_back(ServiceRow(plan, number++, "lookup", plan.lookup_pool));
  for (int it = 0; it < kReceiptServices; ++it) {
    services.push_back(ServiceRow(plan, number++, "receipt", plan.receipt_pool));
  }
  for (int it = 0; it < kScoringServices; ++it) {
    services.push_back(ServiceRow(plan, number++, "scoring", plan.scoring_pool));
  }
  return services;
}

leaf::result<void> WriteFile(const std::string& path, const Json& json) {
  std::ofstream out(path);
  out << json.dump(2) << "\n";
  out.close();
  if (!out) return Fail(ErrorKind::kInternal, absl::StrCat(path, ": cannot be written"));
  return {};
}

Json HostJson(const PlannedHost& host) {
  return {
      {"id", host.id}, {"zone", host.zone}, {"caller_port", host.caller_port}, {"peer_port", host.peer_port}};
}

Json TrainerJson(const PlannedTrainer& trainer) {
  return {
      {"name", trainer.name}, {"token", trainer.token}, {"job", trainer.job}, {"train_ms", trainer.train_ms}};
}

}  // namespace

void AddStandardDeployment(LoadPlan& plan) {
  constexpr int host_count = 9;
  for (int it = 0; it < host_count; ++it) {
    const std::string zone(1, static_cast<char>('a' + it / 3));
    const int port = plan.base_port + kHosts + 2 * it;
    plan.hosts.push_back({absl::StrCat(zone, it % 3 + 1), zone, port, port + 1});
  }
  const std::string salt = absl::StrCat(plan.seed);
  plan.trainers.push_back({"clue-trainer", absl::StrCat("clue-token-", salt), "clue-writing", 2000});
  plan.trainers.push_back({"validity-trainer", absl::StrCat("validity-token-", salt), "word-validity", 2400});
  plan.caller_token = absl::StrCat("crossword-token-", salt);
  plan.operator_token = absl::StrCat("operator-token-", salt);
  plan.host_secret = absl::StrCat("host-secret-", salt);
}

Json ToJson(const LoadPlan& plan) {
  Json hosts = Json::array();
  Json trainers = Json::array();
  for (const PlannedHost& it : plan.hosts) hosts.push_back(HostJson(it));
  for (const PlannedTrainer& it : plan.trainers) trainers.push_back(TrainerJson(it));
  return {{"seed", plan.seed},
          {"steps", plan.steps},
          {"base_port", plan.base_port},
          {"address", plan.address},
          {"hosts", std::move(hosts)},
          {"trainers", std::move(trainers)},
          {"caller_token", plan.caller_token},
          {"operator_token", plan.operator_token},
          {"host_secret", plan.host_secret},
          {"model", plan.model},
          {"lookup", plan.lookup_pool},
          {"receipts", plan.receipt_pool},
          {"scoring", plan.scoring_pool},
          {"engines", plan.engines},
          {"lookups", plan.lookup_upstreams},
          {"prompts", plan.prompts},
          {"samples_per_step", plan.samples_per_step},
          {"group_size", plan.group_size},
          {"max_tokens", plan.max_tokens},
          {"staleness_bound", plan.staleness_bound},
          {"lookup_rate", plan.lookup_rate},
          {"receipt_rate", plan.receipt_rate},
          {"completion_rate", plan.completion_rate},
          {"weight_bytes", plan.weight_bytes},
          {"lease_lifetime_ms", plan.lease_lifetime_ms}};
}

leaf::result<LoadPlan> LoadPlanFromJson(const Json& json) {
  try {
    LoadPlan plan;
    plan.seed = json.at("seed").get<std::uint64_t>();
    plan.steps = json.at("steps").get<int>();
    plan.base_port = json.at("base_port").get<int>();
    plan.address = json.at("address").get<std::string>();
    for (const Json& it : json.at("hosts")) {
      plan.hosts.push_back({it.at("id").get<std::string>(), it.at("zone").get<std::string>(),
                            it.at("caller_port").get<int>(), it.at("peer_port").get<int>()});
    }
    for (const Json& it : json.at("trainers")) {
      plan.trainers.push_back({it.at("name").get<std::string>(), it.at("token").get<std::string>(),
                               it.at("job").get<std::string>(), it.at("train_ms").get<int>()});
    }
    plan.caller_token = json.at("caller_token").get<std::string>();
    plan.operator_token = json.at("operator_token").get<std::string>();
    plan.host_secret = json.at("host_secret").get<std::string>();
    plan.model = json.value("model", plan.model);
    plan.lookup_pool = json.value("lookup", plan.lookup_pool);
    plan.receipt_pool = json.value("receipts", plan.receipt_pool);
    plan.scoring_pool = json.value("scoring", plan.scoring_pool);
    plan.engines = json.value("engines", plan.engines);
    plan.lookup_upstreams = json.value("lookups", plan.lookup_upstreams);
    plan.prompts = json.value("prompts", plan.prompts);
    plan.samples_per_step = json.value("samples_per_step", plan.samples_per_step);
    plan.group_size = json.value("group_size", plan.group_size);
    plan.max_tokens = json.value("max_tokens", plan.max_tokens);
    plan.staleness_bound = json.value("staleness_bound", plan.staleness_bound);
    plan.lookup_rate = json.value("lookup_rate", plan.lookup_rate);
    plan.receipt_rate = json.value("receipt_rate", plan.receipt_rate);
    plan.completion_rate = json.value("completion_rate", plan.completion_rate);
    plan.weight_bytes = json.value("weight_bytes", plan.weight_bytes);
    plan.lease_lifetime_ms = json.value("lease_lifetime_ms", plan.lease_lifetime_ms);
    return plan;
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kInvalidRequest, absl::StrCat("plan: ", ex.what()));
  }
}

int ControlPort(const LoadPlan& plan) { return plan.base_port + kControl; }
int WeightsPort(const LoadPlan& plan) { return plan.base_port + kWeights; }

std::vector<int> PortsOf(const LoadPlan& plan) {
  std::vector<int> ports;
  for (const int it : {kControl, kTable, kObjects, kList, kWeights}) ports.push_back(plan.base_port + it);
  for (int it = 0; it < ServiceCount(plan); ++it) ports.push_back(plan.base_port + kServices + it);
  for (int it = 0; it < plan.engines; ++it) ports.push_back(plan.base_port + kEngines + it);
  for (const PlannedHost& it : plan.hosts) {
    ports.push_back(it.caller_port);
    ports.push_back(it.peer_port);
  }
  return ports;
}

Json TopologyOf(const LoadPlan& plan) {
  Json hosts = Json::array();
  for (const PlannedHost& it : plan.hosts) {
    hosts.push_back({{"id", it.id},
                     {"zone", it.zone},
                     {"address", plan.address},
                     {"port", it.peer_port},
                     {"leaving", false}});
  }
  Json engines = Json::array();
  for (int it = 0; it < plan.engines; ++it) {
    engines.push_back({{"id", absl::StrCat("engine-", it < 9 ? "0" : "", it + 1)},
                       {"model", plan.model},
                       {"zone", ZoneAt(it)},
                       {"port", plan.base_port + kEngines + it}});
  }
  // The rate limit of the weight store is below the number of engines, so that engines that load a new
  // version at the same time get 429.
  return {{"address", plan.address},
          {"seed", plan.seed},
          {"control_port", plan.base_port + kControl},
          {"table", {{"port", plan.base_port + kTable}}},
          {"objects", {{"port", plan.base_port + kObjects}}},
          {"list", {{"port", plan.base_port + kList}, {"lag_ms", 2000}, {"hosts", std::move(hosts)}}},
          {"weights", {{"port", plan.base_port + kWeights}, {"per_second", 8}}},
          {"engines", std::move(engines)},
          {"services", ServicesOf(plan)}};
}

Json SettingsOf(const LoadPlan& plan, const PlannedHost& host) {
  Json callers = Json::array({{{"name", "crossword"}, {"token", plan.caller_token}}});
  for (const PlannedTrainer& it : plan.trainers) callers.push_back({{"name", it.name}, {"token", it.token}});
  return {{"host",
           {{"id", host.id},
            {"zone", host.zone},
            {"address", plan.address},
            {"caller_port", host.caller_port},
            {"peer_port", host.peer_port}}},
          {"platform",
           {{"table_url", UrlOf(plan, kTable)},
            {"object_url", UrlOf(plan, kObjects)},
            {"list_url", UrlOf(plan, kList)}}},
          {"credentials",
           {{"callers", std::move(callers)},
            {"operators", Json::array({{{"name", "operator"}, {"token", plan.operator_token}}})},
            {"host_secret", plan.host_secret}}},
          {"timing", {{"lease_lifetime_ms", plan.lease_lifetime_ms}}},
          {"log", {{"level", "info"}}}};
}

std::vector<std::string> PromptsOf(const LoadPlan& plan, const JobId& job) {
  std::vector<std::string> prompts;
  for (int it = 0; it < plan.prompts; ++it) {
    prompts.push_back(absl::StrCat("job ", job, ", seed ", plan.seed, ": entry ", it, " of the word list"));
  }
  return prompts;
}

Json JobSpecOf(const LoadPlan& plan, const PlannedTrainer& trainer) {
  return {{"id", trainer.job},
          {"trainer", trainer.name},
          {"model", plan.model},
          {"scoring", plan.scoring_pool},
          {"prompts", PromptsOf(plan, trainer.job)},
          {"samples_per_step", plan.samples_per_step},
          {"group_size", plan.group_size},
          {"max_tokens", plan.max_tokens},
          {"seed", plan.seed}};
}

leaf::result<void> WritePlan(const LoadPlan& plan, const std::string& directory) {
  BOOST_LEAF_CHECK(WriteFile(directory + "/plan.json", ToJson(plan)));
  BOOST_LEAF_CHECK(WriteFile(directory + "/topology.json", TopologyOf(plan)));
  for (const PlannedHost& it : plan.hosts) {
    BOOST_LEAF_CHECK(WriteFile(absl::StrCat(directory, "/host-", it.id, ".json"), SettingsOf(plan, it)));
  }
  return {};
}

leaf::result<LoadPlan> ReadPlan(const std::string& path) {
  std::ifstream in(path);
  if (!in) return Fail(ErrorKind::kInvalidRequest, absl::StrCat(path, ": cannot be read"));
  const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  const Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return Fail(ErrorKind::kInvalidRequest, absl::StrCat(path, ": not a JSON object"));
  return LoadPlanFromJson(json);
}

}  // namespace oleander::load
