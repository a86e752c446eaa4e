// The scenarios of the fault matrix.
#ifndef OLEANDER_TESTS_MATRIX_SCENARIOS_H_
#define OLEANDER_TESTS_MATRIX_SCENARIOS_H_

#include <string_view>

#include "tests/matrix/matrix.h"

namespace oleander::matrix {

// A job from creation to end: samples, scoring, delivery, weight rollouts, leases.
RunResult RunTraining(const RunSpec& spec);
// Non-idempotent calls by key and by ticket.
RunResult RunCalls(const RunSpec& spec);
// Configuration changes, membership, start and shutdown of a host, lookups.
RunResult RunHosts(const RunSpec& spec);

struct Scenario {
  std::string_view name;
  RunResult (*run)(const RunSpec&);
};
inline constexpr Scenario kScenarios[] = {
    {"training", &RunTraining},
    {"calls", &RunCalls},
    {"hosts", &RunHosts},
};

}  // namespace oleander::matrix

#endif  // OLEANDER_TESTS_MATRIX_SCENARIOS_H_
