// oleander_standins ROLE --port N ...: stand-ins of the platform, engines and services, for tests, load runs
// and the demo. Roles: table, objects, list, engine, service, weights, and "all" with --topology FILE.
#include <tclap/CmdLine.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "standins/topology.h"

namespace oleander::standins {
namespace {

constexpr int kExitUsage = 2;
constexpr int kExitStart = 3;

struct Arguments {
  std::string role;
  std::string topology;
  std::string address;
  int port = 0;
  std::string id;
  std::string pool;
  std::string service_role;
  std::string weights_url;
  double per_second = 0;
  int lag_ms = 0;
  std::uint64_t seed = 1;
  bool ignores_fence = false;
};

Arguments ParseArguments(int argc, char** argv) {
  TCLAP::CmdLine cmd("Stand-ins of the platform, the engines and the services", ' ', "1");
  TCLAP::UnlabeledValueArg<std::string> role("role", "table, objects, list, engine, service, weights or all",
                                             true, "", "ROLE", cmd);
  TCLAP::ValueArg<std::string> topology("", "topology", "topology file of the role all", false, "", "FILE",
                                        cmd);
  TCLAP::ValueArg<std::string> address("", "address", "IP address to listen on", false, "127.0.0.1", "IP",
                                       cmd);
  TCLAP::ValueArg<int> port("", "port", "port to listen on, 0: any free port", false, 0, "N", cmd);
  TCLAP::ValueArg<std::string> id("", "id", "id of the engine or service", false, "standin", "ID", cmd);
  TCLAP::ValueArg<std::string> pool("", "pool", "model of the engine or pool of the service", false, "words",
                                    "NAME", cmd);
  TCLAP::ValueArg<std::string> service_role("", "service-role", "lookup, receipt or scoring", false, "lookup",
                                            "ROLE", cmd);
  TCLAP::ValueArg<std::string> weights_url("", "weights-url", "URL of the weight store of an engine", false,
                                           "", "URL", cmd);
  TCLAP::ValueArg<double> per_second("", "per-second", "rate limit of the weight store, requests/s, 0: none",
                                     false, 0, "N", cmd);
  TCLAP::ValueArg<int> lag_ms("", "lag-ms", "lag of the list, ms", false, 1000, "MS", cmd);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of all generated data", false, 1, "N", cmd);
  TCLAP::SwitchArg ignores_fence("", "ignores-fence", "the engine accepts outdated fencing tokens", cmd);
  cmd.parse(argc, argv);
  return {role.getValue(),       topology.getValue(), address.getValue(),      port.getValue(),
          id.getValue(),         pool.getValue(),     service_role.getValue(), weights_url.getValue(),
          per_second.getValue(), lag_ms.getValue(),   seed.getValue(),         ignores_fence.getValue()};
}

leaf::result<Json> ReadTopology(const std::string& path) {
  std::ifstream in(path);
  if (!in) return Fail(ErrorKind::kInvalidRequest, absl::StrCat("--topology ", path, ": cannot be read"));
  const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return Fail(ErrorKind::kInvalidRequest, absl::StrCat("--topology ", path, ": not a JSON object"));
  }
  return json;
}

// Topology of the single stand-in given by the arguments, or the file of the role "all".
leaf::result<Json> TopologyOf(const Arguments& args) {
  if (args.role == "all") return ReadTopology(args.topology);
  Json json = {{"address", args.address}, {"seed", args.seed}};
  if (args.role == "table" || args.role == "objects") {
    json[args.role] = {{"port", args.port}};
  } else if (args.role == "list") {
    json["list"] = {{"port", args.port}, {"lag_ms", args.lag_ms}};
  } else if (args.role == "weights") {
    json["weights"] = {{"port", args.port}, {"per_second", args.per_second}};
  } else if (args.role == "engine") {
    json["engines"] = {{{"id", args.id},
                        {"model", args.pool},
                        {"port", args.port},
                        {"weights_url", args.weights_url},
                        {"checks_fence", !args.ignores_fence}}};
  } else if (args.role == "service") {
    json["services"] = {
        {{"id", args.id}, {"role", args.service_role}, {"pool", args.pool}, {"port", args.port}}};
  } else {
    return Fail(ErrorKind::kInvalidRequest, absl::StrCat("unknown role ", args.role));
  }
  return json;
}

void WaitForSignal() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  int signal = 0;
  sigwait(&set, &signal);
}

void BlockSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

leaf::result<std::unique_ptr<Topology>> Start(const Arguments& args) {
  BOOST_LEAF_AUTO(json, TopologyOf(args));
  return StartTopology(json);
}

int Run(int argc, char** argv) {
  const Arguments args = ParseArguments(argc, argv);
  BlockSignals();
  Outcome<std::unique_ptr<Topology>> started =
      Capture<std::unique_ptr<Topology>>([&] { return Start(args); });
  if (!Ok(started)) {
    std::cerr << "oleander_standins: " << ErrorOf(started).detail << "\n";
    return ErrorOf(started).kind == ErrorKind::kInvalidRequest ? kExitUsage : kExitStart;
  }
  for (const auto& it : Value(started)->ports) {
    std::cout << it.first << " " << it.second->endpoint.address << ":" << it.second->endpoint.port << "\n";
  }
  std::cout << "ready" << std::endl;
  WaitForSignal();
  return 0;
}

}  // namespace
}  // namespace oleander::standins

int main(int argc, char** argv) { return oleander::standins::Run(argc, argv); }
