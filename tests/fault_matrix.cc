// Runs all cells of the fault matrix and prints totals and failed cells, or runs one cell with --cell.
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>

#include "tests/matrix/matrix.h"

namespace {

using namespace oleander;          // NOLINT(google-build-using-namespace)
using namespace oleander::matrix;  // NOLINT(google-build-using-namespace)

constexpr int kMaxPrintedFailures = 20;

struct Totals {
  int cells = 0;
  int failed = 0;
  int not_fired = 0;
  std::int64_t served = 0;
  double slowest = 0;             // longest recovery, in lease lifetimes
  std::map<int, int> violations;  // by invariant
  std::map<std::string, int> cells_by_operation;
  std::map<std::string, int> cells_by_fault;
};

void Print(const CellResult& result, std::uint64_t seed) {
  std::cout << "failed: " << NameOf(result.cell) << " (" << result.run.fired << " of "
            << result.cell.injections.size() << " faults fired, " << result.run.served << " served)\n";
  for (const Violation& it : result.run.violations)
    std::cout << "  invariant " << it.invariant << ": " << it.text << "\n";
  std::cout << "  repeat: fault_matrix --seed " << seed << " --cell " << NameOf(result.cell) << "\n";
}

void Add(Totals& totals, const CellResult& result) {
  totals.cells += 1;
  totals.failed += result.failed;
  totals.not_fired += result.run.fired != static_cast<int>(result.cell.injections.size());
  totals.served += result.run.served;
  totals.slowest = std::max(totals.slowest, result.run.lease_lifetimes);
  for (const Violation& it : result.run.violations) totals.violations[it.invariant] += 1;
  for (const Injection& it : result.cell.injections)
    totals.cells_by_fault[std::string(NameOf(it.fault))] += 1;
  const int step = result.cell.injections.front().step;
  if (step >= 1 && step <= static_cast<int>(result.run.trace.size()))
    totals.cells_by_operation[OperationOf(result.run.trace[step - 1])] += 1;
}

Json ToJson(const Totals& totals, std::uint64_t seed) {
  Json violations = Json::object();
  for (int it = 0; it <= 9; ++it) {
    const auto found = totals.violations.find(it);
    violations[it == 0 ? "liveness" : std::to_string(it)] =
        found == totals.violations.end() ? 0 : found->second;
  }
  return {{"seed", seed},
          {"cells", totals.cells},
          {"runs", totals.cells},
          {"failed", totals.failed},
          {"not_fired", totals.not_fired},
          {"served", totals.served},
          {"slowest_recovery_lease_lifetimes", totals.slowest},
          {"violations", violations},
          {"cells_by_operation", totals.cells_by_operation},
          {"cells_by_fault", totals.cells_by_fault}};
}

int RunOne(const std::string& name, std::uint64_t seed) {
  const std::optional<Cell> cell = ParseCell(name);
  if (!cell.has_value()) {
    std::cerr << "--cell: expected FAULT/SCENARIO:STEP, got " << name << "\n";
    return 2;
  }
  const CellResult result = RunCell(*cell, seed, {});
  if (result.failed) Print(result, seed);
  for (const Injection& it : cell->injections) {
    if (it.step < 1 || it.step > static_cast<int>(result.run.trace.size())) continue;
    const Call& call = result.run.trace[it.step - 1];
    std::cout << "step " << it.step << ": " << call.host << " " << call.port << " " << call.target << " ("
              << OperationOf(call) << ")\n";
  }
  std::cout << (result.failed ? "failed" : "passed") << ", " << result.run.served << " served, "
            << result.run.lease_lifetimes << " lease lifetimes after the last fault\n";
  return result.failed ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Injects every fault at every step of the simulated operations");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the scenarios and cells", false, 1, "N", line);
    TCLAP::ValueArg<std::string> cell("", "cell", "runs only this cell", false, "", "FAULT/SCENARIO:STEP",
                                      line);
    TCLAP::ValueArg<std::string> json("", "json", "also writes the totals to this file", false, "", "FILE",
                                      line);
    TCLAP::SwitchArg list("", "skipped", "prints the combinations that cannot occur, with reasons", line);
    line.parse(argc, argv);
    if (cell.isSet()) return RunOne(cell.getValue(), seed.getValue());
    Totals totals;
    std::map<std::string, std::string> skipped;
    for (const Cell& it : MakeCells(seed.getValue(), skipped)) {
      const CellResult result = RunCell(it, seed.getValue(), {});
      Add(totals, result);
      if (result.failed && totals.failed <= kMaxPrintedFailures) Print(result, seed.getValue());
    }
    if (list.getValue()) {
      for (const auto& [name, reason] : skipped) std::cout << "skipped: " << name << ": " << reason << "\n";
    }
    Json report = ToJson(totals, seed.getValue());
    report["skipped"] = skipped.size();
    std::cout << report.dump(2) << "\n";
    if (json.isSet()) std::ofstream(json.getValue()) << report.dump(2) << "\n";
    return totals.failed == 0 ? 0 : 1;
  } catch (const TCLAP::ArgException& ex) {
    std::cerr << ex.argId() << ": " << ex.error() << "\n";
    return 2;
  }
}
