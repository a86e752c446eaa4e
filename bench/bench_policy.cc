// Measures the routing functions against baselines on a manual clock.
//   bench_policy [--scenario S] [--seed N] [--json FILE]
// Figures are counts and times of the manual clock, so they depend only on the seed. The exit status is 0
// even if a target is missed; policy_bench_test checks the targets that are met.
#include <tclap/CmdLine.h>

#include <cstdio>
#include <fstream>
#include <iostream>

#include "policy_scenarios.h"

namespace oleander::bench {
namespace {

const char* VerdictOf(const Figure& figure) {
  if (!HasTarget(figure)) return "";
  return IsMet(figure) ? "met" : "MISSED";
}

void Print(const Figure& figure) {
  std::printf("%-16s %-30s %-15s %10.4f", figure.scenario.c_str(), figure.name.c_str(), figure.router.c_str(),
              figure.value);
  if (HasTarget(figure))
    std::printf("  %s %8.4f  %s", figure.at_most ? "<=" : ">=", figure.target, VerdictOf(figure));
  std::printf("\n");
}

Json ToJson(const Figure& figure) {
  Json json = {{"scenario", figure.scenario},
               {"name", figure.name},
               {"router", figure.router},
               {"value", figure.value}};
  if (!HasTarget(figure)) return json;
  json["target"] = figure.target;
  json["at_most"] = figure.at_most;
  json["met"] = IsMet(figure);
  return json;
}

int Run(const std::string& name, std::uint64_t seed, const std::string& json_path) {
  Json json = Json::array();
  int missed = 0;
  bool found = false;
  for (const Scenario& scenario : AllScenarios()) {
    if (!name.empty() && name != scenario.name) continue;
    found = true;
    for (const Figure& figure : scenario.run(seed)) {
      Print(figure);
      json.push_back(ToJson(figure));
      missed += HasTarget(figure) && !IsMet(figure);
    }
    std::fflush(stdout);
  }
  if (!found) {
    std::fprintf(stderr, "--scenario: unknown scenario %s\n", name.c_str());
    return 2;
  }
  std::printf("seed %llu: %d targets missed\n", static_cast<unsigned long long>(seed), missed);
  if (!json_path.empty()) std::ofstream(json_path) << json.dump(1) << "\n";
  return 0;
}

}  // namespace
}  // namespace oleander::bench

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Measures the routing functions against baselines on a manual clock.");
    TCLAP::ValueArg<std::string> scenario("", "scenario", "Runs only this scenario", false, "", "NAME", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of arrivals and decisions", false, 1, "N", line);
    TCLAP::ValueArg<std::string> json("", "json", "Also writes the figures to this file", false, "", "FILE",
                                      line);
    line.parse(argc, argv);
    return oleander::bench::Run(scenario.getValue(), seed.getValue(), json.getValue());
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << " " << error.argId() << "\n";
    return 2;
  }
}
