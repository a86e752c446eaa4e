// A lease row in the table with a fencing token (`fence`). Needs no synchronized clocks: unless the lease
// was released, a contender waits until the row has stayed unchanged for a full lifetime on its own clock.
#ifndef OLEANDER_LEASE_H_
#define OLEANDER_LEASE_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "oleander/platform.h"

namespace oleander {

struct LeaseLimits {
  absl::Duration lifetime = absl::Seconds(10);    // time without renewal after which others may acquire it
  absl::Duration renew_every = absl::Seconds(3);  //
  double safe_fraction = 0.6;                     // of lifetime; the holder stops committing after it
};

struct LeaseRow {
  HostId holder;                 // empty: released
  std::int64_t incarnation = 0;  // of the holder's process
  std::int64_t fence = 0;        // fencing token; increases with each new holder
  std::int64_t renewals = 0;     // increases with each write of the row
};

enum class LeaseState { kNotHeld, kHeld };

struct Lease {
  std::string key;                                      // "leases/JOB"
  LeaseLimits limits;                                   //
  HostId self;                                          //
  std::int64_t incarnation = 0;                         // of self
  LeaseState state = LeaseState::kNotHeld;              //
  LeaseRow row;                                         // as last read or written
  std::int64_t revision = 0;                            // table revision of `row`
  absl::Time unchanged_since = absl::InfiniteFuture();  // first read of this revision
  absl::Time confirmed_at = absl::InfinitePast();       // when the last successful write was started
  absl::Time next_action = absl::InfinitePast();        //
  std::int64_t highest_fence = 0;  // highest ever read; a restored table does not lower it
};

// Renews the lease if it is held. Otherwise reads it and, if `may_acquire`, acquires it once it is free or
// expired. Errors: kStoreUnavailable; the state is then unchanged, except that it becomes kNotHeld if the row
// showed another holder.
leaf::result<LeaseState> TickLease(Lease& lease, const TablePort& table, bool may_acquire, absl::Time now);
// True while the holder may attempt commits. The compare with the row's revision (LeaseCompare) still decides
// whether a commit succeeds.
bool LeaseSafe(const Lease& lease, absl::Time now);
// Compare that every transaction of the holder must include.
TableCompare LeaseCompare(const Lease& lease);
// Marks the lease as free, so that the next holder does not wait for it to expire. The state becomes kNotHeld
// even after an error; the lease then expires after its lifetime.
leaf::result<void> ReleaseLease(Lease& lease, const TablePort& table);

}  // namespace oleander

#endif  // OLEANDER_LEASE_H_
