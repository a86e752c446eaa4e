// The time of the store, estimated from its answers.
#ifndef OLEANDER_SRC_SERVING_STORE_CLOCK_H_
#define OLEANDER_SRC_SERVING_STORE_CLOCK_H_

#include "absl/time/time.h"
#include "oleander/serving.h"

namespace oleander::serving {

struct StoreClock {
  bool known = false;     // false: no answer has told the time yet
  absl::Duration offset;  // time of the store less time of this host
};
// Learns from an answer that came at `now`.
void NoteStoreTime(StoreClock& clock, const StoreReply& reply, absl::Time now);
absl::Duration StoreTimeAt(const StoreClock& clock, absl::Time now);

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_STORE_CLOCK_H_
