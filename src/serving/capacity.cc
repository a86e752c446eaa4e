#include "serving/capacity.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace oleander::serving {
namespace {

using Json = nlohmann::json;

constexpr double kPeakShare = 0.85;    // of the items at the peak; the others end while these start
constexpr double kMeanHeadroom = 1.6;  // over what runs on average: engines differ in speed and some fail
constexpr double kSteadyHeadroom = 1.25;
constexpr double kStartupFactor =
    2;  // upstreams that are not listed after this many start-up times are missing
constexpr absl::Duration kMaxSampleInterval = absl::Seconds(2);
constexpr absl::Duration kSurplusTime = kMeanWindow;
constexpr absl::Duration kFirstRefusalPause = absl::Seconds(5);
constexpr absl::Duration kMaxRefusalPause = absl::Seconds(30);
constexpr int kMaxPauseDoublings = 4;

// Deals `count` upstreams of a kind evenly to the zones, the remainder to the cheapest, none beyond `room`.
// Returns how many found no room.
int Deal(int count, const std::vector<std::string>& zones, std::map<std::string, int>& room,
         std::map<std::string, int>& dealt) {
  while (count > 0) {
    bool any = false;
    for (const std::string& it : zones) {
      if (count == 0) break;
      if (room[it] <= 0) continue;
      --room[it];
      ++dealt[it];
      --count;
      any = true;
    }
    if (!any) break;
  }
  return count;
}

// Upstreams that are there, or will be within a start-up time.
int CountComing(const KindState& state, absl::Duration startup, absl::Time now) {
  const bool starting = now - state.changed_at < startup * kStartupFactor;
  return starting ? std::max(state.present, state.ordered) : state.present;
}

}  // namespace

std::string EncodeDemandRow(const DemandRow& row) {
  std::string bytes;
  Json::to_msgpack(Json::array({absl::ToInt64Milliseconds(row.at), row.demand.running, row.demand.waiting}),
                   bytes);
  return bytes;
}

std::optional<DemandRow> DecodeDemandRow(std::string_view value) {
  const Json json = Json::from_msgpack(value.begin(), value.end(), true, false);
  try {
    return DemandRow{absl::Milliseconds(json.at(0).get<std::int64_t>()),
                     {json.at(1).get<int>(), json.at(2).get<int>()}};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

void AddSample(DemandHistory& history, const ServiceDemand& demand, absl::Time now) {
  history.samples.push_back({now, demand});
  while (now - history.samples.front().at > kDemandWindow) history.samples.pop_front();
}

SlotNeed NeedOf(const DemandHistory& history) {
  double peak = 0;
  double busiest = 0;
  double sum = 0;  // of running items, over the samples from `first` on
  std::size_t first = 0;
  for (std::size_t it = 0; it < history.samples.size(); ++it) {
    const DemandHistory::Sample& sample = history.samples[it];
    peak = std::max<double>(peak, sample.demand.running + sample.demand.waiting);
    sum += sample.demand.running;
    while (sample.at - history.samples[first].at > kMeanWindow)
      sum -= history.samples[first++].demand.running;
    // The mean of a shorter time may be that of a single step.
    if (first > 0) busiest = std::max(busiest, sum / static_cast<double>(it - first + 1));
  }
  const bool settled = !history.samples.empty() && history.samples.back().at - history.samples.front().at >=
                                                       kDemandWindow - kMaxSampleInterval;
  return {std::max(kPeakShare * peak, kMeanHeadroom * busiest), kSteadyHeadroom * busiest, settled};
}

std::map<std::string, CapacityPlan> PlanCapacity(const ScalingSpec& scaling,
                                                 const std::map<std::string, ZoneState>& zones,
                                                 const SlotNeed& need, int slots_per_upstream,
                                                 absl::Time now) {
  std::map<std::string, CapacityPlan> plan;
  std::map<std::string, int> room;
  std::vector<std::string> by_price;
  for (const std::pair<const std::string, ZoneState>& it : zones) {
    plan[it.first].ordinary = scaling.min;
    room[it.first] = std::max(0, scaling.max - scaling.min);
    by_price.push_back(it.first);
  }
  std::stable_sort(by_price.begin(), by_price.end(), [&zones](const std::string& a, const std::string& b) {
    return zones.at(a).price < zones.at(b).price;
  });
  const int zone_count = static_cast<int>(zones.size());
  const auto upstreams = [slots_per_upstream](double slots) {
    return static_cast<int>(std::ceil(slots / std::max(1, slots_per_upstream)));
  };
  const bool cheaper = scaling.reclaimable_price.value_or(1) < 1;
  const int total = upstreams(need.total);
  const int steady = cheaper ? std::min(total, upstreams(need.steady)) : total;
  // Zones that have said that they have none left keep what they have, and get no more.
  std::vector<std::string> with_ordinary;
  std::vector<std::string> with_reclaimable;
  for (const std::string& it : by_price) {
    if (now >= zones.at(it).ordinary.unavailable_until) with_ordinary.push_back(it);
    if (now >= zones.at(it).reclaimable.unavailable_until) with_reclaimable.push_back(it);
  }
  // What is there already counts before anything is ordered on top of it, and takes up room: it is given back
  // only after a while.
  int ordinary_present = 0;
  std::map<std::string, int> room_for_reclaimable;
  for (const std::pair<const std::string, ZoneState>& it : zones) {
    const int present = std::max(CountComing(it.second.ordinary, scaling.startup, now), scaling.min);
    ordinary_present += present;
    room_for_reclaimable[it.first] = std::max(0, scaling.max - present);
    room[it.first] -= std::min(room[it.first], CountComing(it.second.reclaimable, scaling.startup, now));
  }
  std::map<std::string, int> ordinary;
  std::map<std::string, int> reclaimable;
  // What is there stays as long as it is needed: it is not exchanged for the other kind.
  const int wanted_ordinary = std::max(steady, std::min(total, ordinary_present));
  const int wanted_reclaimable = cheaper ? total - wanted_ordinary : 0;
  const int left = Deal(wanted_reclaimable, with_reclaimable, room_for_reclaimable, reclaimable);
  for (const std::pair<const std::string, int>& it : reclaimable)
    room[it.first] = std::min(room[it.first], scaling.max - scaling.min - it.second);
  Deal(std::max(0, wanted_ordinary - scaling.min * zone_count) + left, with_ordinary, room, ordinary);
  for (std::pair<const std::string, CapacityPlan>& it : plan) {
    it.second.ordinary += ordinary[it.first];
    it.second.reclaimable = reclaimable[it.first];
    if (need.settled) continue;
    it.second.ordinary = std::max(it.second.ordinary, zones.at(it.first).ordinary.present);
    it.second.reclaimable = std::max(it.second.reclaimable, zones.at(it.first).reclaimable.present);
  }
  return plan;
}

std::optional<int> NumberToOrder(KindState& state, int planned, absl::Duration startup, absl::Time now) {
  const int current = std::max(state.ordered, state.present);
  if (planned >= current) {
    state.surplus_since = absl::InfiniteFuture();
    state.most_needed = 0;
    if (now < state.unavailable_until) return std::nullopt;
    // Ordered again if upstreams that were ordered are missing: the platform may replace those it has lost.
    const bool missing = CountComing(state, startup, now) < state.ordered;
    if (planned == current && (!missing || now - state.changed_at < startup * kStartupFactor))
      return std::nullopt;
    return planned;
  }
  if (state.surplus_since == absl::InfiniteFuture()) state.surplus_since = now;
  state.most_needed = std::max(state.most_needed, planned);
  if (now - state.surplus_since < kSurplusTime || now - state.changed_at < startup) return std::nullopt;
  const int number = state.most_needed;
  state.surplus_since = absl::InfiniteFuture();
  state.most_needed = 0;
  return number;
}

void ObserveOrder(KindState& state, int number, DutyOutcome outcome, absl::Time now) {
  if (outcome == DutyOutcome::kAccepted) {
    state.changed_at = now;
    state.ordered = number;
    state.refusals = 0;
  } else if (outcome == DutyOutcome::kUnavailable) {
    const int doublings = std::min(state.refusals, kMaxPauseDoublings);
    ++state.refusals;
    state.unavailable_until = now + std::min(kMaxRefusalPause, kFirstRefusalPause * (1 << doublings));
  }
}

}  // namespace oleander::serving
