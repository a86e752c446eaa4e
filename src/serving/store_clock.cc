#include "serving/store_clock.h"

namespace oleander::serving {
namespace {

// A larger step back of the offset means that the store restarted its clock.
constexpr absl::Duration kClockResetThreshold = absl::Seconds(10);

}  // namespace

// A reply's time lags by the transit time of the reply, so the largest offset seen is the most accurate one.
void UpdateStoreClock(StoreClock& clock, const StoreReply& reply, absl::Time now) {
  if (reply.outcome != StoreOutcome::kOk && reply.outcome != StoreOutcome::kConflict) return;
  if (reply.store_time <= absl::ZeroDuration()) return;
  const absl::Duration offset = reply.store_time - (now - absl::UnixEpoch());
  if (!clock.known || offset > clock.offset || offset < clock.offset - kClockResetThreshold)
    clock.offset = offset;
  clock.known = true;
}

absl::Duration StoreTimeAt(const StoreClock& clock, absl::Time now) {
  return now - absl::UnixEpoch() + clock.offset;
}

}  // namespace oleander::serving
