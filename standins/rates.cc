#include "standins/rates.h"

#include <algorithm>

namespace oleander::standins {

void CountEvent(RateCounter& counter, absl::Time now) {
  ++counter.total;
  const std::int64_t n = ++counter.counts_by_second[absl::ToUnixSeconds(now)];
  counter.max_per_second = std::max(counter.max_per_second, n);
  if (counter.counts_by_second.size() > kRateWindowSeconds)
    counter.counts_by_second.erase(counter.counts_by_second.begin());
}

Json ToJson(const RateCounter& counter) {
  return {{"total", counter.total}, {"highest_per_second", counter.max_per_second}};
}

}  // namespace oleander::standins
