// Weight rollouts: the table holds a target version for each model; each host brings the engines that it is
// responsible for to that version.
#ifndef OLEANDER_WEIGHTS_H_
#define OLEANDER_WEIGHTS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "oleander/platform.h"
#include "oleander/policy.h"
#include "oleander/upstream.h"

namespace oleander {

struct WeightTarget {
  PoolId model;            //
  Version version = 0;     //
  std::int64_t fence = 0;  // fencing token of the orders; increases with each announcement
  absl::Time read_at;      // when this host read it from the table or received it from a peer
};

// Raises the target to `version`. If the target is already as high or higher, returns it unchanged, so that
// the call can be repeated. Errors: kStoreUnavailable, kConflict (concurrent announcements; retry).
leaf::result<WeightTarget> AnnounceWeights(const TablePort& table, const PoolId& model, Version version,
                                           const std::string& write_id);
leaf::result<WeightTarget> ReadWeightTarget(const TablePort& table, const PoolId& model);  // version 0: none

// True if `shown`, read from the table, has a lower fence or version than `known`, which happens after the
// table was restored from a backup. The caller should then call RestoreTarget.
bool TargetRegressed(const WeightTarget& shown, const WeightTarget& known);
// Writes `known` back with a higher fence. Returns the table's target if that is not lower than `known`.
// Errors: kStoreUnavailable, kConflict (the row changed concurrently; retry).
leaf::result<WeightTarget> RestoreTarget(const TablePort& table, const WeightTarget& known,
                                         const std::string& write_id);

enum class EnginePhase { kIdle, kLoading, kActivating };
struct EngineWeights {
  PoolId pool;                                    //
  Version reported = 0;                           // active version, as the engine reported it or activated it
  Version loaded = 0;                             // last version loaded by an order; 0: unknown
  std::int64_t fence_sent = 0;                    // highest fence sent to the engine
  EnginePhase phase = EnginePhase::kIdle;         // an order is in flight unless kIdle
  int failures = 0;                               // consecutive failed orders
  absl::Time next_try = absl::InfinitePast();     // earliest time of the next order
  absl::Time phase_since = absl::InfinitePast();  // time of the last phase change
};

struct WeightsState {
  std::map<PoolId, WeightTarget> targets;
  std::map<UpstreamId, EngineWeights> engines;  // engines that this host is responsible for
  std::int64_t regressions = 0;                 // reports of a lower version than before
  std::int64_t orders_failed = 0;
};

// Updates the known target if `target` has a higher fence or version; neither value is ever lowered. An equal
// target only updates `read_at`. Returns true if the known target changed.
bool UpdateTarget(WeightsState& state, const WeightTarget& target);

struct PlannedOrder {
  UpstreamId engine;
  EngineOrder order;
};
// Returns the orders that are due for the engines in `responsible` and marks them as in flight.
// At most max_loading_fraction of this host's engines of a pool and zone load at a time, but at least one
// may. An engine that does not check fences (engines_check_fence is false) gets an order only if the target
// was read within the last 2 s. After an engine refused an order because of its old fence, the model's
// engines get no order until the target was read again. In both cases the model is appended to `needs_read`.
// If that read fails, the caller may set `read_at` itself to continue with the last known target. Does not
// touch engines of pools that are absent from `responsible`, so it can be called for one pool at a time.
std::vector<PlannedOrder> PlanOrders(WeightsState& state, const std::vector<Upstream>& responsible,
                                     const Policy& policy, absl::Time now, std::mt19937_64& random,
                                     std::vector<PoolId>& needs_read);
// The same with the effective policy of each engine.
using EnginePolicy = std::function<Policy(const Upstream& engine)>;
std::vector<PlannedOrder> PlanOrders(WeightsState& state, const std::vector<Upstream>& responsible,
                                     const EnginePolicy& policy_of, absl::Time now, std::mt19937_64& random,
                                     std::vector<PoolId>& needs_read);
void FinishOrder(WeightsState& state, const PlannedOrder& order, const Outcome<std::monostate>& outcome,
                 absl::Time now, std::mt19937_64& random);
// Handles an engine's report of its active version. A version lower than the last one counts as a regression
// and makes a new order due.
void ReportVersion(WeightsState& state, const UpstreamId& engine, Version version, absl::Time now);

}  // namespace oleander

#endif  // OLEANDER_WEIGHTS_H_
