// Estimates the load of a deployment from the per-unit costs listed in docs/CAPACITY.md. A pure function.
#ifndef OLEANDER_CAPACITY_H_
#define OLEANDER_CAPACITY_H_

#include <string>
#include <vector>

#include "oleander/types.h"

namespace oleander {

struct CapacityInput {
  int hosts = 12;                         //
  int engines = 12;                       //
  int trainers = 2;                       //
  double requests_per_s = 100;            // from all callers
  int samples_per_step = 4096;            // per trainer
  double step_s = 240;                    // s per training step
  double receipts_per_s = 0;              // non-idempotent calls with an Idempotency-Key
  double config_changes_per_day = 15000;  //
};

struct CapacityLine {
  std::string role;      //
  std::string quantity;  // what is estimated, with its unit
  double value = 0;      //
  double limit = 0;      // 0: none
  std::string basis;     // "measured" or "arithmetic"
};
std::vector<CapacityLine> EstimateCapacity(const CapacityInput& input);
Json ToJson(const std::vector<CapacityLine>& lines);

}  // namespace oleander

#endif  // OLEANDER_CAPACITY_H_
