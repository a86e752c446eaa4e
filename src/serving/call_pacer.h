// Spaces the calls that this host makes to a platform that bounds the calls of all hosts together.
#ifndef OLEANDER_SRC_SERVING_CALL_PACER_H_
#define OLEANDER_SRC_SERVING_CALL_PACER_H_

#include "absl/time/time.h"

namespace oleander::serving {

struct CallPacer {
  absl::Duration interval;                      // between two calls of this host
  absl::Time next_call = absl::InfinitePast();  //
};
// A pacer for one of `holders` hosts that share the limit. Each duty has at most one holder.
inline CallPacer MakeCallPacer(double max_calls_per_s, int holders) {
  return {absl::Seconds(holders / max_calls_per_s), absl::InfinitePast()};
}
// True if a call may be made now, which it then uses up.
inline bool TakeTurn(CallPacer& pacer, absl::Time now) {
  if (now < pacer.next_call) return false;
  pacer.next_call = now + pacer.interval;
  return true;
}

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_CALL_PACER_H_
