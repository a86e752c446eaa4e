#include <gtest/gtest.h>

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "tests/matrix/matrix.h"

namespace oleander::matrix {
namespace {

// Each seed runs only every 16th cell, to limit the time under sanitizers. The program fault_matrix runs all.
constexpr std::uint64_t kSeeds = 3;
constexpr std::size_t kStride = 16;

std::string Describe(const CellResult& result, std::uint64_t seed) {
  std::string text =
      absl::StrCat(NameOf(result.cell), " with seed ", seed, ": ", result.run.fired, " faults fired");
  for (const Violation& it : result.run.violations)
    absl::StrAppend(&text, "; invariant ", it.invariant, ": ", it.text);
  return text;
}

// Counts the violations of `invariant` in the first cell of `scenario` that has any, among cells with only
// `faults`.
int CountViolations(const std::string& scenario, const std::vector<Fault>& faults, const Switches& switches,
                    int invariant) {
  int n = 0;
  std::map<std::string, std::string> skipped;
  for (const Cell& cell : MakeCells(1, skipped)) {
    if (n > 0) break;
    bool chosen = cell.scenario == scenario;
    for (const Injection& it : cell.injections)
      chosen = chosen && std::find(faults.begin(), faults.end(), it.fault) != faults.end();
    if (!chosen) continue;
    for (const Violation& it : RunCell(cell, 1, switches).run.violations) n += it.invariant == invariant;
  }
  return n;
}

// Guards against violated invariants under any fault, and against cells whose fault never fires.
TEST(FaultMatrix, InvariantsHoldInEvery16thCell) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::map<std::string, std::string> skipped;
    const std::vector<Cell> cells = MakeCells(seed, skipped);
    EXPECT_GT(cells.size(), 500U);
    for (std::size_t it = seed % kStride; it < cells.size(); it += kStride) {
      const CellResult result = RunCell(cells[it], seed, {});
      EXPECT_FALSE(result.failed) << Describe(result, seed);
    }
  }
}

// Guards against a matrix that cannot detect violations: each test below disables one mechanism, and the
// matrix must report the invariant that it protects.
TEST(FaultMatrix, FindsAMissingLeaseCompare) {
  Switches switches;
  switches.lease_compare = false;
  EXPECT_GT(CountViolations("training", {Fault::kHostPauses}, switches, 3), 0);
}

TEST(FaultMatrix, FindsAMissingLabelCheck) {
  Switches switches;
  switches.label = false;
  EXPECT_GT(CountViolations("training", {Fault::kChunkUnlabelled}, switches, 1), 0);
}

TEST(FaultMatrix, FindsAMissingStalenessCheck) {
  Switches switches;
  switches.staleness = false;
  EXPECT_GT(CountViolations("training",
                            {Fault::kOldOrderLate, Fault::kEngineCrashes, Fault::kHostPauses,
                             Fault::kStoreDown, Fault::kZoneAlone},
                            switches, 2),
            0);
}

TEST(FaultMatrix, FindsAMissingSequenceCheck) {
  Switches switches;
  switches.sequence = false;
  EXPECT_GT(CountViolations("training", {Fault::kAnswerLost, Fault::kBalancerRepeats}, switches, 3), 0);
}

TEST(FaultMatrix, FindsAMissingClaimCompare) {
  Switches switches;
  switches.claim = false;
  EXPECT_GT(CountViolations("calls", {Fault::kHostPauses, Fault::kBalancerRepeats}, switches, 6), 0);
}

TEST(FaultMatrix, FindsAMissingComparisonOfConfigurationVersions) {
  Switches switches;
  switches.config_version = false;
  EXPECT_GT(CountViolations("hosts", {Fault::kStoreRestored}, switches, 9), 0);
}

// Guards against a cell that passes although its fault never fired.
TEST(FaultMatrix, CellWhoseFaultNeverFiresFails) {
  EXPECT_TRUE(RunCell({"calls", {{Fault::kSwapFails, 1}}}, 1, {}).failed);
  EXPECT_TRUE(RunCell({"no such scenario", {{Fault::kHostDies, 1}}}, 1, {}).failed);
}

// Guards against printed names of failed cells that --cell cannot run again.
TEST(FaultMatrix, ParsesTheNamesOfCells) {
  const Cell cell{"training", {{Fault::kHostDies, 7}, {Fault::kStoreDown, 30}}};
  const std::optional<Cell> same = ParseCell(NameOf(cell));
  ASSERT_TRUE(same.has_value());
  EXPECT_EQ(NameOf(*same), "host_dies+store_down/training:7:30");
  EXPECT_FALSE(ParseCell("host_dies/training").has_value());
  EXPECT_FALSE(ParseCell("unknown/training:7").has_value());
}

}  // namespace
}  // namespace oleander::matrix
