// Estimates the store's clock from the times in its replies.
#ifndef OLEANDER_SRC_SERVING_STORE_CLOCK_H_
#define OLEANDER_SRC_SERVING_STORE_CLOCK_H_

#include "absl/time/time.h"
#include "oleander/serving.h"

namespace oleander::serving {

struct StoreClock {
  bool known = false;     // false: no reply has stated the time yet
  absl::Duration offset;  // store time minus host time
};
// Updates the estimate from a reply received at `now`.
void UpdateStoreClock(StoreClock& clock, const StoreReply& reply, absl::Time now);
absl::Duration StoreTimeAt(const StoreClock& clock, absl::Time now);

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_STORE_CLOCK_H_
