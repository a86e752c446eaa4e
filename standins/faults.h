// Faults of a stand-in, set with POST /fault {"kind","value","count","duration_ms","off"}.
#ifndef OLEANDER_STANDINS_FAULTS_H_
#define OLEANDER_STANDINS_FAULTS_H_

#include <map>
#include <optional>
#include <string_view>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "oleander/errors.h"
#include "oleander/types.h"

namespace oleander::standins {

enum class FaultKind {
  kDown,            // closes the connection of each request without handling it
  kSlowMs,          // waits `value` ms before handling each request
  kLoseAnswer,      // handles the request, then closes the connection without an answer
  kStaleRead,       // table: a read returns the row as it was before its last write
  kCrash,           // refuses connections, closes open ones and drops volatile state
  kSlowFactor,      // multiplies service time and batch step duration by `value`
  kTruncate,        // the answer ends early
  kTooLong,         // the answer is longer than announced
  kWrongId,         // the answer has a wrong request id
  kCloseMidAnswer,  // closes the connection in the middle of the answer
  kSwapFails,       // engine: load and activate orders answer 500
  kNoVersion,       // engine: events carry no weight version
  kLeaving,         // answers 503 with Oleander-Leaving: true
};
inline constexpr int kFaultKindCount = 13;
std::string_view NameOf(FaultKind kind);

struct Fault {
  double value = 1;                           // meaning depends on the kind
  int count = 0;                              // requests that it still applies to; 0: no limit
  absl::Time until = absl::InfiniteFuture();  // end of the fault
};

struct Faults {
  absl::Mutex mutex;
  std::map<FaultKind, Fault> active ABSL_GUARDED_BY(mutex);
};

struct FaultCommand {
  FaultKind kind = FaultKind::kDown;
  Fault fault;
  bool off = false;  // ends the fault instead of starting it
};
// Errors: kInvalidRequest (unknown kind, wrong type).
leaf::result<FaultCommand> FaultCommandFromJson(const Json& json, absl::Time now);

void ApplyFault(Faults& faults, const FaultCommand& command);
// The value of the fault if it is active; counts one request against its `count`.
std::optional<double> ConsumeFault(Faults& faults, FaultKind kind, absl::Time now);
// Like ConsumeFault, but leaves the count unchanged.
std::optional<double> PeekFault(Faults& faults, FaultKind kind, absl::Time now);
// End of the fault; InfinitePast if it is not active.
absl::Time FaultEnd(Faults& faults, FaultKind kind);

}  // namespace oleander::standins

#endif  // OLEANDER_STANDINS_FAULTS_H_
