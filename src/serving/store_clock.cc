#include "serving/store_clock.h"

namespace oleander::serving {
namespace {

constexpr absl::Duration kWorstClockStep = absl::Seconds(10);  // a store that restarted its clock

}  // namespace

// An answer is as old as its way back, so the largest difference seen is the nearest to the truth.
void NoteStoreTime(StoreClock& clock, const StoreReply& reply, absl::Time now) {
  if (reply.outcome != StoreOutcome::kOk && reply.outcome != StoreOutcome::kConflict) return;
  if (reply.store_time <= absl::ZeroDuration()) return;
  const absl::Duration offset = reply.store_time - (now - absl::UnixEpoch());
  if (!clock.known || offset > clock.offset || offset < clock.offset - kWorstClockStep) clock.offset = offset;
  clock.known = true;
}

absl::Duration StoreTimeAt(const StoreClock& clock, absl::Time now) {
  return now - absl::UnixEpoch() + clock.offset;
}

}  // namespace oleander::serving
