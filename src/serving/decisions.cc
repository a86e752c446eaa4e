#include "serving/decisions.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "absl/strings/str_cat.h"

namespace oleander::serving {
namespace {

constexpr double kDefaultLatencyMs = 20;  // of an upstream not yet measured
constexpr absl::Duration kLatencyMemory =
    absl::Seconds(1);                  // an old average returns to the mean of the others
constexpr double kOtherZoneMs = 2;     // round trip to another zone
constexpr double kCutOffZoneMs = 1e3;  // an upstream of this zone is tried first, unless it is avoided
constexpr double kHedgeShare = 0.4;    // of the objective
constexpr absl::Duration kLoadMemory =
    absl::Milliseconds(800);                   // a report of others' work older than this is ignored
constexpr double kLeastRetryAfter = 0.1;       // seconds
constexpr double kRetryAfterSpread = 0.3;      // seconds
constexpr double kRetryShareOfTimeLeft = 0.3;  // callers wait at most a third of it
constexpr absl::Duration kGapMemory = absl::Milliseconds(400);  // neighbours slow an engine for half a second
constexpr double kLoadCost = 0.5;        // of a full engine; above the true cost, since paces are uncertain
constexpr double kGroupShare = 0.1;      // worth of an engine that has read the prompt
constexpr double kOtherZoneCost = 0.03;  // bytes between zones are few
constexpr double kAvoidedCost = 0.5;     // of the engine that just failed the item
constexpr double kSlowFactor = 1.8;      // times the gap elsewhere
constexpr absl::Duration kLeastRunOfShortItem = absl::Seconds(1);  // a neighbour's burst is over by then
constexpr int kEventsToJudge = 6;    // events of a run before its pace is judged
constexpr double kLateFactor = 1.4;  // times the pace: other requests' prompts delay an event by less
constexpr absl::Duration kFirstEventLate = absl::Milliseconds(120);  // a prompt is read in 30 ms
constexpr double kDecisiveFactor = 1.4;       // between a move's gain and its cost over half a second
constexpr double kDecisivePaceFactor = 1.15;  // engines of one service differ by a third
constexpr absl::Duration kFreshLoad = absl::Milliseconds(100);  // a neighbour's burst lasts for half a second
constexpr absl::Duration kMuteAfter =
    absl::Milliseconds(150);  // the longest connect and answer between zones
constexpr absl::Duration kSilenceFloor =
    absl::Milliseconds(600);           // weights loads pause a stream for longer than noise
constexpr double kSilenceFactor = 12;  // times the usual gap

// 1 for a fresh observation, 0 for one that is much older than `memory`.
double Freshness(absl::Time at, absl::Time now, absl::Duration memory) {
  return std::exp(-absl::FDivDuration(now - at, memory));
}

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

std::uint64_t HashText(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

int EstimateRunning(const UpstreamState& upstream, absl::Time now) {
  int others = 0;
  if (now - upstream.load_at <= kLoadMemory) {
    others = std::max(0, upstream.load.running + upstream.load.waiting - upstream.in_flight_at_load);
  }
  return upstream.in_flight + others;
}

UpstreamState* PickUnary(const std::vector<UpstreamState*>& usable, const UnaryChoice& choice) {
  double sum = 0;
  int known = 0;
  for (const UpstreamState* it : usable) {
    if (it->latency_ms <= 0) continue;
    sum += it->latency_ms;
    ++known;
  }
  const double usual = known == 0 ? kDefaultLatencyMs : sum / known;
  UpstreamState* best = nullptr;
  double best_cost = 0;
  for (UpstreamState* it : usable) {
    if (Contains(choice.tried, it->entry.id)) continue;
    const double fresh = it->latency_ms <= 0 ? 0 : Freshness(it->latency_at, choice.now, kLatencyMemory);
    const double latency = usual + (it->latency_ms - usual) * fresh;
    const double slots = std::max(1, it->entry.slots);
    double cost = std::max(1.0, latency) * (1 + EstimateRunning(*it, choice.now) / slots);
    if (it->entry.zone != choice.zone) cost += choice.zone_alone ? kCutOffZoneMs : kOtherZoneMs;
    // An upstream that is being avoided is taken only if no other is left.
    if (choice.now < it->avoid_until) cost += 1e6 + absl::ToDoubleMilliseconds(it->avoid_until - choice.now);
    if (best == nullptr || cost < best_cost) {
      best = it;
      best_cost = cost;
    }
  }
  return best;
}

absl::Duration HedgeAfter(absl::Duration objective) { return objective * kHedgeShare; }

double RetryAfterSeconds(absl::Duration time_left, std::string_view spread) {
  const double unit = static_cast<double>(HashText(spread) >> 11) / static_cast<double>(1ULL << 53);
  const double most = absl::ToDoubleSeconds(time_left) * kRetryShareOfTimeLeft;
  return std::min(kLeastRetryAfter + kRetryAfterSpread * unit, std::max(0.0, most));
}

UpstreamState* PickForItem(const std::vector<UpstreamState*>& usable, const ItemChoice& choice) {
  const double known = MedianPace(usable);
  const double usual = known > 0 ? known : 1;  // only ratios count
  UpstreamState* best = nullptr;
  double best_cost = 0;
  for (UpstreamState* it : usable) {
    const std::int64_t held = WeightsOf(*it, choice.model);
    if (held < choice.min_version || Contains(choice.excluded, it->entry.id)) continue;
    if (choice.exact_version != 0 && held != choice.exact_version) continue;
    if (choice.now < it->avoid_until) continue;
    const auto loading = it->loading_until.find(choice.model);
    if (loading != it->loading_until.end() && choice.now < loading->second) continue;
    const int slots = std::max(1, it->entry.slots);
    const int running = EstimateRunning(*it, choice.now);
    if (running >= slots) continue;
    double cost = ExpectedGap(*it, usual, choice.now) / usual * (1 + kLoadCost * running / slots);
    if (it->entry.id == choice.preferred) cost -= kGroupShare;
    if (it->entry.id == choice.avoided) cost += kAvoidedCost;
    if (it->entry.zone != choice.zone) cost += kOtherZoneCost;
    if (best == nullptr || cost < best_cost) {
      best = it;
      best_cost = cost;
    }
  }
  return best;
}

double MedianPace(const std::vector<UpstreamState*>& usable) {
  std::vector<double> paces;
  for (const UpstreamState* it : usable) {
    if (it->pace_ms > 0) paces.push_back(it->pace_ms);
  }
  if (paces.empty()) return 0;
  const std::size_t middle = paces.size() / 2;
  std::nth_element(paces.begin(), paces.begin() + static_cast<std::ptrdiff_t>(middle), paces.end());
  return paces[middle];
}

double ExpectedGap(const UpstreamState& upstream, double usual_gap_ms, absl::Time now) {
  const double pace = upstream.pace_ms > 0 ? upstream.pace_ms : usual_gap_ms;
  // The newer of what its events and what its own report show.
  if (upstream.load_at >= upstream.gap_at)
    return pace * (1 + (upstream.load.slowdown - 1) * Freshness(upstream.load_at, now, kGapMemory));
  if (upstream.gap_ms <= pace) return pace;
  return pace + (upstream.gap_ms - pace) * Freshness(upstream.gap_at, now, kGapMemory);
}

bool LoadIsFresh(const UpstreamState& upstream, absl::Time now) {
  return now - upstream.load_at <= kFreshLoad;
}

bool IsMute(const UpstreamState& upstream, absl::Time now) {
  return upstream.load_asked && now - upstream.load_asked_at >= kMuteAfter;
}

RunVerdict JudgeRun(const RunProgress& run) {
  if (run.other_gap_ms <= 0) return RunVerdict::kStay;
  if (run.since_last_event >= std::max(kSilenceFloor, absl::Milliseconds(run.other_gap_ms * kSilenceFactor)))
    return RunVerdict::kMove;
  if (!run.decisive) {
    const bool judged = run.since_start >= kLeastRunOfShortItem && run.events_here >= kEventsToJudge;
    return judged && run.gap_ms >= kSlowFactor * run.other_gap_ms ? RunVerdict::kMove : RunVerdict::kStay;
  }
  const bool waits = run.events_here == 0
                         ? run.since_last_event >= kFirstEventLate
                         : run.since_last_event >= absl::Milliseconds(kLateFactor * run.pace_ms);
  // A burst that a load has shown goes on for a few events.
  const bool late = waits || (run.load_fresh && run.gap_ms >= kLateFactor * run.pace_ms);
  const bool always_slower = run.events_here >= kEventsToJudge && run.other_pace_ms > 0 &&
                             run.pace_ms >= kDecisivePaceFactor * run.other_pace_ms;
  if (!late && !always_slower) return RunVerdict::kStay;
  if (!run.other_load_fresh || !(run.load_fresh || run.mute)) return RunVerdict::kAskLoads;
  if (run.mute && late) return RunVerdict::kMove;
  if (run.events_here == 0 && run.queued) return RunVerdict::kMove;
  const double factor = always_slower ? kDecisivePaceFactor : kDecisiveFactor;
  return run.gap_ms >= factor * run.other_gap_ms ? RunVerdict::kMove : RunVerdict::kStay;
}

int MostLoadsAtOnce(int engines) { return std::max(1, static_cast<int>(std::lround(engines / 5.0))); }

LoadChoice PickLoad(const std::vector<EngineWeights>& engines,
                    const std::map<std::string, std::int64_t>& named,
                    const std::map<std::string, std::vector<std::string>>& assigned, int most_at_once,
                    absl::Time now) {
  int loading = 0;
  for (const EngineWeights& it : engines) loading += it.loading ? 1 : 0;
  if (loading >= most_at_once) return {};

  struct Candidate {
    const EngineWeights* engine;
    std::int64_t behind;  // versions
    std::uint64_t rank;
  };
  LoadChoice best;
  std::pair<bool, double> best_order;  // lower goes first
  for (const std::pair<const std::string, std::int64_t>& name : named) {
    const auto holders = assigned.find(name.first);
    if (holders == assigned.end()) continue;
    std::vector<Candidate> candidates;
    int newest = 0;
    int too_old = 0;
    for (const EngineWeights& it : engines) {
      if (!Contains(holders->second, it.id)) continue;
      const auto held = it.held.find(name.first);
      const std::int64_t behind = name.second - (held == it.held.end() ? 0 : held->second);
      if (behind <= 0) {
        ++newest;
        continue;
      }
      too_old += behind > 1 ? 1 : 0;
      candidates.push_back({&it, behind, HashText(absl::StrCat(name.first, "/", name.second, "/", it.id))});
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
      return std::pair(-a.behind, a.rank) < std::pair(-b.behind, b.rank);
    });
    const int half = (static_cast<int>(holders->second.size()) + 1) / 2;
    const int wanted = std::max(too_old, half - newest);
    for (int it = 0; it < wanted && it < static_cast<int>(candidates.size()); ++it) {
      const Candidate& candidate = candidates[it];
      if (!candidate.engine->mine || candidate.engine->loading || now < candidate.engine->blocked_until)
        continue;
      // Engines that are too old, then the model with the fewest current engines: after an outage each
      // trainer gets some engines early.
      const std::pair<bool, double> order = {
          candidate.behind <= 1, static_cast<double>(newest) / static_cast<double>(holders->second.size())};
      if (best.engine.empty() || order < best_order) {
        best = {candidate.engine->id, name.first, name.second};
        best_order = order;
      }
      break;
    }
  }
  return best;
}

std::map<std::string, std::vector<std::string>> AssignModels(const std::vector<std::string>& engines,
                                                             const std::vector<std::string>& models,
                                                             double copies) {
  std::map<std::string, std::vector<std::string>> assigned;
  if (engines.empty() || models.empty()) return assigned;
  const double share = std::min(1.0, copies / static_cast<double>(models.size()));
  const int each =
      std::max(1, static_cast<int>(std::ceil(share * static_cast<double>(engines.size()) - 1e-9)));
  std::map<std::string, int> models_of;
  for (const std::string& model : models) {
    std::vector<std::pair<std::pair<int, std::uint64_t>, std::string>> order;
    for (const std::string& it : engines)
      order.push_back({{models_of[it], HashText(absl::StrCat(model, "/", it))}, it});
    std::sort(order.begin(), order.end());
    for (int it = 0; it < each && it < static_cast<int>(order.size()); ++it) {
      assigned[model].push_back(order[it].second);
      ++models_of[order[it].second];
    }
  }
  return assigned;
}

}  // namespace oleander::serving
