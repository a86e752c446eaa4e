// Counts events per second of wall-clock time, to measure the load on the stand-ins of the platform.
#ifndef OLEANDER_STANDINS_RATES_H_
#define OLEANDER_STANDINS_RATES_H_

#include <cstdint>
#include <map>

#include "absl/time/time.h"
#include "oleander/types.h"

namespace oleander::standins {

struct RateCounter {
  std::int64_t total = 0;
  std::map<std::int64_t, std::int64_t>
      counts_by_second;             // by Unix second; the newest kRateWindowSeconds entries
  std::int64_t max_per_second = 0;  // highest count of one second
};
inline constexpr int kRateWindowSeconds = 3600;

void CountEvent(RateCounter& counter, absl::Time now);
// {"total","highest_per_second"}
Json ToJson(const RateCounter& counter);

}  // namespace oleander::standins

#endif  // OLEANDER_STANDINS_RATES_H_
