// Decides which operations a host may perform while it cannot reach other zones or the platform's table. The
// rules are listed in docs/design.md, section 9.11.
#ifndef OLEANDER_ZONES_H_
#define OLEANDER_ZONES_H_

#include "absl/time/time.h"
#include "oleander/errors.h"
#include "oleander/membership.h"

namespace oleander {

struct Isolation {
  bool other_zones_unreachable = false;  // the list has hosts of other zones; this host considers all dead
  bool table_unreachable = false;        // the last successful call to the table is more than 4 s ago
};

enum class WorkKind {
  kLookup,
  kInteractiveGeneration,
  kRollout,        // generation for a job whose lease this host holds
  kJobTakeover,    //
  kKeyedCall,      // non-idempotent call with Idempotency-Key
  kTicketCall,     // non-idempotent call with a ticket whose issuer can be reached
  kConfigChange,   //
  kWeightRollout,  //
};

Isolation DetectIsolation(const Membership& membership, absl::Time last_table_answer, absl::Time now);

// Errors (nothing was sent): kStoreUnavailable, and kClaimUnavailable for kKeyedCall, which does not mean
// that the call has not run: an earlier attempt with the same key may have run.
leaf::result<void> CheckAllowed(const Isolation& isolation, WorkKind kind);

}  // namespace oleander

#endif  // OLEANDER_ZONES_H_
