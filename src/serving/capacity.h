// Decisions about ordered capacity: how many upstreams of a service its demand needs, of which kind, and in
// which zones. Pure functions; capacity_control.h does the work. Design: docs/design/capacity.md.
#ifndef OLEANDER_SRC_SERVING_CAPACITY_H_
#define OLEANDER_SRC_SERVING_CAPACITY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "oleander/serving.h"

namespace oleander::serving {

// Work of one host, or of all, for a service.
struct ServiceDemand {
  int running = 0;  // requests and items
  int waiting = 0;  //
};
// Row of a host in table "demand", partition = service.
struct DemandRow {
  absl::Duration at;  // by the store's clock
  ServiceDemand demand;
};
inline constexpr std::string_view kDemandTable = "demand";
std::string EncodeDemandRow(const DemandRow& row);
std::optional<DemandRow> DecodeDemandRow(std::string_view value);

// Demand of all hosts over the last seconds.
struct DemandHistory {
  struct Sample {
    absl::Time at;
    ServiceDemand demand;
  };
  std::deque<Sample> samples;  // oldest first
};
inline constexpr absl::Duration kDemandWindow = absl::Minutes(1);  // longer than trainers pause between steps
inline constexpr absl::Duration kMeanWindow = absl::Seconds(15);   // several steps of a trainer
void AddSample(DemandHistory& history, const ServiceDemand& demand, absl::Time now);
// Slots that the service needs in all.
struct SlotNeed {
  double total = 0;  // for the items in progress at the peak of the last minute
  double steady =
      0;  // for what ran on average in its busiest 15 s; its loss would cost steps. 0: not known yet
  bool settled = false;  // the history covers a minute, so that a lower need than before is known to be one
};
// Load pattern: the items of a step arrive at once and must all run soon, since any may be a long one;
// between two steps there are few, and trainers pause. A rising load is followed at once, a falling one after
// a minute.
SlotNeed NeedOf(const DemandHistory& history);

enum class UpstreamKind { kOrdinary, kReclaimable };
struct KindState {
  int present = 0;                               // listed and not leaving
  int ordered = 0;                               // as last accepted by the platform; at first what is present
  absl::Time changed_at = absl::InfinitePast();  // of the last accepted order
  absl::Time unavailable_until = absl::InfinitePast();  // the platform has said that it has none left
  int refusals = 0;                                     // in a row, for the length of that pause
  int most_needed = 0;                                  // since `surplus_since`
  absl::Time surplus_since = absl::InfiniteFuture();    // fewer than there are have been needed since then
};
struct ZoneState {
  double price = 1;
  KindState ordinary;
  KindState reclaimable;
};
struct CapacityPlan {
  int ordinary = 0;
  int reclaimable = 0;
};
// Updates the state from the list of upstreams. What is there without an order of this host counts as
// ordered, so that it is not taken away by an order of what is needed now.
void ObservePresent(KindState& state, int present, absl::Duration startup, absl::Time now);
// Returns the upstreams that each zone should have now, without regard to what it has. Zones without the kind
// are left out. Load pattern: a rising load, a burst of one step, a reclaim of all reclaimable upstreams of a
// zone at once, a zone without capacity left.
std::map<std::string, CapacityPlan> PlanCapacity(const ScalingSpec& scaling,
                                                 const std::map<std::string, ZoneState>& zones,
                                                 const SlotNeed& need, int slots_per_upstream,
                                                 absl::Time now);
// Returns the number to order now, or nullopt to leave it as it is. What is there without an order of this
// host counts like what it has ordered. More is ordered at once; fewer only once a plan for fewer has stood
// for several steps, and not within a start-up time of the last change. Load pattern: demand that flaps with
// each step, or comes back after a pause of the trainers.
std::optional<int> NumberToOrder(KindState& state, int planned, absl::Duration startup, absl::Time now);
// Records the platform's answer to an order of `number`.
void ObserveOrder(KindState& state, int number, DutyOutcome outcome, absl::Time now);

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_CAPACITY_H_
