#include "serving/decisions.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "absl/strings/str_cat.h"

namespace oleander::serving {
namespace {

constexpr double kDefaultLatencyMs = 20;  // of an upstream without a measured latency
constexpr absl::Duration kLatencyDecay =
    absl::Seconds(1);                      // decay time of an old latency average to the mean of the others
constexpr double kOtherZonePenaltyMs = 2;  // round trip to another zone
constexpr double kIsolatedZonePenaltyMs = 1e3;                         // while other zones may be unreachable
constexpr double kHedgeShare = 0.4;                                    // of the objective
constexpr absl::Duration kMaxLoadReportAge = absl::Milliseconds(800);  // for the requests of other hosts
constexpr double kMinRetryAfterSeconds = 0.1;
constexpr double kRetryAfterJitterSeconds = 0.3;
constexpr double kMaxRetryAfterShare = 0.3;  // Retry-After is at most this fraction of the caller's time left
constexpr absl::Duration kGapDecay = absl::Milliseconds(400);  // other work slows an engine for half a second
constexpr double kLoadCost = 0.5;      // of a full engine; above the true cost, because paces are uncertain
constexpr double kDefaultPaceMs = 20;  // of a service without a measured pace
constexpr int kSlotsPerItem = 3;       // more than one, so that an owner can choose fast and empty engines
constexpr double kSharedPromptSaving = 0.1;  // cost saved on an engine that has processed the group's prompt
constexpr double kOtherZoneCost = 0.03;      // small: items send few bytes between zones
constexpr double kFailedEngineCost = 0.5;    // of the engine that just failed the item
constexpr double kSlowFactor = 1.8;          // times the gap at the other engine
constexpr absl::Duration kMinRunBeforeSlowMove = absl::Seconds(1);  // a burst of other work is over by then
constexpr int kMinEventsForPace = 6;  // events of a run before its pace is compared
constexpr double kLateFactor = 1.4;   // times the pace; prompts of other requests delay an event by less
constexpr absl::Duration kFirstEventTimeout = absl::Milliseconds(120);  // processing a prompt takes 30 ms
constexpr double kTailMoveFactor = 1.4;   // ratio of gaps that repays a move's cost within half a second
constexpr double kTailPaceFactor = 1.15;  // paces of the engines of one service differ by a third
constexpr absl::Duration kMaxFreshLoadAge =
    absl::Milliseconds(100);  // a burst of other work lasts half a second
constexpr absl::Duration kLoadQueryTimeout =
    absl::Milliseconds(150);                  // longest time to connect and get an answer between zones
constexpr double kLookupShare = 1.0 / 3;      // of an upstream's slots, reserved for lookups
constexpr double kLastAttemptPenaltyMs = 50;  // of the upstream of the last attempt
constexpr double kLimitDecreaseFactor = 0.67;
constexpr double kMinLimit = 1;
constexpr double kMaxLimit = 64;         // not reached: the texts of a step do not all end at once
constexpr double kAverageWeight = 0.05;  // of a new latency in the average
constexpr double kSlowAnswerFactor = 4;  // times the average; single answers take three times as long
constexpr absl::Duration kMinDecreaseInterval = absl::Milliseconds(200);  // one round of calls
constexpr absl::Duration kFailedScoringBackoff = absl::Milliseconds(50);
constexpr absl::Duration kInitialScoringBackoff = absl::Milliseconds(30);
constexpr absl::Duration kMaxScoringBackoff = absl::Seconds(1);
constexpr int kMaxBackoffDoublings = 5;
constexpr int kMisdirectedRequest = 421;  // RFC 9110: the request was not run
constexpr absl::Duration kMinStallTimeout =
    absl::Milliseconds(600);         // loading weights pauses a stream for longer than ordinary jitter does
constexpr double kStallFactor = 12;  // times the expected gap at the other engine

constexpr absl::Duration kMaxServiceWait =
    absl::Seconds(2);                 // of an item beside idle engines; callers are promised less than 5 s
constexpr double kMinEventsLeft = 1;  // of a run that has not ended
constexpr absl::Duration kDepartureMargin =
    absl::Milliseconds(200);  // a notice is some 100 ms old when it is read

// Weight of an observation made at `at`: decays exponentially from 1, with `time_constant`.
double Freshness(absl::Time at, absl::Time now, absl::Duration time_constant) {
  return std::exp(-absl::FDivDuration(now - at, time_constant));
}

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

// What two software versions generate does not fit together, so a text goes on only at the version that began
// it.
bool HasSoftware(const UpstreamState& upstream, const std::optional<std::string>& software) {
  return !software || upstream.entry.software == *software;
}

// Expected latency of a call that is sent to the upstream now, in milliseconds.
double ExpectedLatency(const UpstreamState& upstream, double mean_latency_ms, absl::Time now) {
  const double fresh = upstream.latency_ms <= 0 ? 0 : Freshness(upstream.latency_at, now, kLatencyDecay);
  const double latency = mean_latency_ms + (upstream.latency_ms - mean_latency_ms) * fresh;
  const double slots = std::max(1, upstream.entry.slots);
  return std::max(1.0, latency) * (1 + EstimateRunning(upstream, now) / slots);
}

// Mean of the known latencies, in milliseconds.
double MeanLatency(const std::vector<UpstreamState*>& usable) {
  double sum = 0;
  int known = 0;
  for (const UpstreamState* it : usable) {
    if (it->latency_ms <= 0) continue;
    sum += it->latency_ms;
    ++known;
  }
  return known == 0 ? kDefaultLatencyMs : sum / known;
}

}  // namespace

std::uint64_t HashText(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

int EstimateRunning(const UpstreamState& upstream, absl::Time now) {
  int others = 0;
  if (now - upstream.load_at <= kMaxLoadReportAge) {
    others = std::max(0, upstream.load.running + upstream.load.waiting - upstream.in_flight_at_load);
  }
  return upstream.in_flight + others;
}

std::string_view NameOf(AttemptVerdict verdict) {
  switch (verdict) {
    case AttemptVerdict::kAnswered:
      return "answered";
    case AttemptVerdict::kFailed:
      return "failed";
    case AttemptVerdict::kNotRun:
      return "not_run";
    case AttemptVerdict::kNoAnswer:
      return "no_answer";
  }
  return "";
}

bool IsAnswerTo(const AnswerHead& head, std::string_view request_id) {
  return head.request_id.empty() ? head.not_run : head.request_id == request_id;
}

AttemptVerdict ClassifyAttempt(CallEnd end, const AnswerHead& head, std::string_view request_id) {
  const bool success = head.status >= 200 && head.status < 300;
  if (end != CallEnd::kComplete || !IsAnswerTo(head, request_id) || (success && head.signature.empty()))
    return AttemptVerdict::kNoAnswer;
  if (head.not_run || head.status == kMisdirectedRequest) return AttemptVerdict::kNotRun;
  return head.status < 500 ? AttemptVerdict::kAnswered : AttemptVerdict::kFailed;
}

std::vector<std::string> RankServices(const Route& route, std::string_view key) {
  if (route.services.empty()) return {};
  std::map<std::string, double> weights;
  for (const WeightedService& it : route.services) {
    if (it.weight > 0) weights[it.service] += it.weight;
  }
  if (weights.empty()) return {route.services.front().service};
  if (weights.size() == 1) return {weights.begin()->first};
  // Weighted rendezvous hashing: the smallest of exponentially distributed numbers with rates w1, w2, ... is
  // the i-th with probability wi / (w1 + w2 + ...), whichever of the others are left out.
  std::vector<std::pair<double, std::string>> ranked;
  for (const std::pair<const std::string, double>& it : weights) {
    const double unit =
        (static_cast<double>(HashText(absl::StrCat(it.first, "/", std::string(key))) >> 11) + 0.5) /
        static_cast<double>(1ULL << 53);
    ranked.push_back({-std::log(unit) / it.second, it.first});
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> services;
  for (std::pair<double, std::string>& it : ranked) services.push_back(std::move(it.second));
  return services;
}

std::string ChooseService(Directory& directory, const Route& route, std::string_view key,
                          const std::vector<std::string>& tried, absl::Time now) {
  const std::vector<std::string> ranked = RankServices(route, key);
  if (ranked.empty()) return "";
  for (const bool avoided_too : {false, true}) {
    for (const std::string& service : ranked) {
      for (const UpstreamState* it : directory.Usable(service)) {
        if ((avoided_too || now >= it->avoid_until) && !Contains(tried, it->entry.id)) return service;
      }
    }
  }
  return ranked.front();
}

std::optional<std::size_t> PickService(const std::vector<ServiceRoom>& services, absl::Duration waited) {
  bool own = true;  // no service before could run the item
  for (std::size_t it = 0; it < services.size(); ++it) {
    if (!services[it].can_run) continue;
    if (services[it].has_free && (own || (services[it].under_half && waited >= kMaxServiceWait))) return it;
    own = false;
  }
  return std::nullopt;
}

UpstreamState* PickUnary(const std::vector<UpstreamState*>& usable, const UnaryChoice& choice) {
  const double mean_latency_ms = MeanLatency(usable);
  UpstreamState* best = nullptr;
  double best_cost = 0;
  for (UpstreamState* it : usable) {
    if (Contains(choice.tried, it->entry.id) || !HasPermit(*it, choice.now)) continue;
    if (!HasSoftware(*it, choice.software)) continue;
    double cost = ExpectedLatency(*it, mean_latency_ms, choice.now);
    if (it->entry.zone != choice.zone)
      cost += choice.zone_isolated ? kIsolatedZonePenaltyMs : kOtherZonePenaltyMs;
    // An upstream that is being avoided is picked only if no other one is left.
    if (choice.now < it->avoid_until) cost += 1e6 + absl::ToDoubleMilliseconds(it->avoid_until - choice.now);
    if (best == nullptr || cost < best_cost) {
      best = it;
      best_cost = cost;
    }
  }
  return best;
}

UpstreamState* PickForScoring(const std::vector<UpstreamState*>& usable, const ScoringChoice& choice) {
  const double mean_latency_ms = MeanLatency(usable);
  UpstreamState* best = nullptr;
  double best_cost = 0;
  for (UpstreamState* it : usable) {
    if (it->entry.id == choice.excluded || choice.now < it->avoid_until || !HasPermit(*it, choice.now))
      continue;
    const int slots = std::max(1, it->entry.slots);
    const int kept = static_cast<int>(slots * kLookupShare);
    if (EstimateRunning(*it, choice.now) >= std::max(1, slots - kept)) continue;
    double cost = ExpectedLatency(*it, mean_latency_ms, choice.now);
    if (it->entry.zone != choice.zone)
      cost += choice.zone_isolated ? kIsolatedZonePenaltyMs : kOtherZonePenaltyMs;
    if (it->entry.id == choice.avoided) cost += kLastAttemptPenaltyMs;
    if (best == nullptr || cost < best_cost) {
      best = it;
      best_cost = cost;
    }
  }
  return best;
}

void UpdateScoringLimit(ScoringLimit& limit, ScoringAttemptOutcome outcome, absl::Duration took,
                        absl::Time now) {
  const double ms = absl::ToDoubleMilliseconds(took);
  const bool slow = limit.average_ms > 0 && ms > kSlowAnswerFactor * limit.average_ms;
  if (outcome == ScoringAttemptOutcome::kAnswered) {
    limit.average_ms =
        limit.average_ms == 0 ? ms : limit.average_ms + kAverageWeight * (ms - limit.average_ms);
    if (!slow) {
      limit.max_calls = std::min(kMaxLimit, limit.max_calls + 1 / limit.max_calls);
      return;
    }
  }
  if (now - limit.decreased_at < kMinDecreaseInterval) return;
  limit.max_calls = std::max(kMinLimit, limit.max_calls * kLimitDecreaseFactor);
  limit.decreased_at = now;
}

absl::Duration ScoringBackoff(ScoringAttemptOutcome outcome, int attempts) {
  if (outcome == ScoringAttemptOutcome::kAnswered)
    return kFailedScoringBackoff;  // it ran and failed; another may succeed
  if (outcome == ScoringAttemptOutcome::kNoAnswer && attempts <= 1) return absl::ZeroDuration();
  return std::min(kMaxScoringBackoff,
                  kInitialScoringBackoff * (1 << std::min(std::max(0, attempts - 1), kMaxBackoffDoublings)));
}

absl::Duration DelayBeforeHedge(absl::Duration objective) { return objective * kHedgeShare; }

double RetryAfterSeconds(absl::Duration time_left, std::string_view spread) {
  const double unit = static_cast<double>(HashText(spread) >> 11) / static_cast<double>(1ULL << 53);
  const double max_seconds = absl::ToDoubleSeconds(time_left) * kMaxRetryAfterShare;
  return std::min(kMinRetryAfterSeconds + kRetryAfterJitterSeconds * unit, std::max(0.0, max_seconds));
}

namespace {

bool HasWeights(const UpstreamState& upstream, const ItemChoice& choice) {
  const std::int64_t held = KnownWeightsVersion(upstream, choice.model);
  return held >= choice.min_version && (choice.exact_version == 0 || held == choice.exact_version);
}

// True if the upstream could run the item now, but for its request limit.
bool IsSuitable(const UpstreamState& upstream, const ItemChoice& choice) {
  if (!CanRun(upstream, choice)) return false;
  const auto unavailable = upstream.unavailable_until.find(choice.model);
  if (unavailable != upstream.unavailable_until.end() && choice.now < unavailable->second) return false;
  return EstimateRunning(upstream, choice.now) < std::max(1, upstream.entry.slots);
}

double CostForItem(const UpstreamState& upstream, const ItemChoice& choice, double median_gap_ms) {
  if (!IsSuitable(upstream, choice) || !HasPermit(upstream, choice.now))
    return std::numeric_limits<double>::infinity();
  const int slots = std::max(1, upstream.entry.slots);
  const int running = EstimateRunning(upstream, choice.now);
  const double cost =
      ExpectedGap(upstream, median_gap_ms, choice.now) / median_gap_ms * (1 + kLoadCost * running / slots);
  return cost + (upstream.entry.zone == choice.zone ? 0 : kOtherZoneCost);
}

}  // namespace

PlacementCosts CostsForItems(const std::vector<UpstreamState*>& usable, const ItemChoice& choice) {
  PlacementCosts costs;
  const double known = MedianPace(usable);
  if (known > 0) costs.median_gap_ms = known;  // otherwise any value will do, as only ratios matter
  costs.upstreams = usable;
  costs.costs.reserve(usable.size());
  for (const UpstreamState* it : usable) costs.costs.push_back(CostForItem(*it, choice, costs.median_gap_ms));
  return costs;
}

UpstreamState* PickByCost(const PlacementCosts& costs, const ItemChoice& choice) {
  UpstreamState* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (std::size_t it = 0; it < costs.upstreams.size(); ++it) {
    // The item itself lowers the cost by at most kSharedPromptSaving, so most upstreams are skipped after one
    // comparison.
    if (costs.costs[it] - kSharedPromptSaving >= best_cost) continue;
    if (!HasSoftware(*costs.upstreams[it], choice.software)) continue;
    const std::string& id = costs.upstreams[it]->entry.id;
    double cost = costs.costs[it];
    if (id == choice.preferred) cost -= kSharedPromptSaving;
    if (id == choice.avoided) cost += kFailedEngineCost;
    if (cost >= best_cost || Contains(choice.excluded, id)) continue;
    best = costs.upstreams[it];
    best_cost = cost;
  }
  return best;
}

void UpdateCost(PlacementCosts& costs, const UpstreamState& upstream, const ItemChoice& choice) {
  for (std::size_t it = 0; it < costs.upstreams.size(); ++it) {
    if (costs.upstreams[it] == &upstream)
      costs.costs[it] = CostForItem(upstream, choice, costs.median_gap_ms);
  }
}

UpstreamState* PickForItem(const std::vector<UpstreamState*>& usable, const ItemChoice& choice) {
  return PickByCost(CostsForItems(usable, choice), choice);
}

std::vector<PermitWant> WantsForItems(const std::vector<UpstreamState*>& usable, const ItemChoice& choice,
                                      int items) {
  std::vector<PermitWant> wants;
  for (UpstreamState* it : usable) {
    if (HasPermit(*it, choice.now) || !IsSuitable(*it, choice) || !HasSoftware(*it, choice.software))
      continue;
    const int free = std::max(1, it->entry.slots) - EstimateRunning(*it, choice.now);
    wants.push_back({it, std::min(items, free)});
  }
  return wants;
}

UpstreamState* PickWithoutPermit(const std::vector<UpstreamState*>& usable, const UnaryChoice& choice) {
  UpstreamState* best = nullptr;
  double best_load = 0;
  for (UpstreamState* it : usable) {
    if (HasPermit(*it, choice.now) || Contains(choice.tried, it->entry.id) || choice.now < it->avoid_until)
      continue;
    if (!HasSoftware(*it, choice.software)) continue;
    const double load = EstimateRunning(*it, choice.now) / std::max(0.1, *it->request_limit);
    if (best != nullptr && load >= best_load) continue;
    best = it;
    best_load = load;
  }
  return best;
}

bool CanRun(const UpstreamState& upstream, const ItemChoice& choice) {
  return HasWeights(upstream, choice) && choice.now >= upstream.avoid_until;
}

bool CanContinue(const UpstreamState& upstream, const ItemChoice& choice) {
  return HasSoftware(upstream, choice.software) && HasWeights(upstream, choice);
}

bool ShouldDiscardText(const ContinuationWait& wait) {
  const double pace_ms = wait.pace_ms > 0 ? wait.pace_ms : kDefaultPaceMs;
  return !wait.possible || wait.waited >= absl::Milliseconds(pace_ms * static_cast<double>(wait.events));
}

std::vector<UpstreamState*> EngineShare(const std::vector<UpstreamState*>& usable, const std::string& model,
                                        std::int64_t min_version, int items) {
  const int wanted = items * kSlotsPerItem;
  int slots = 0;
  for (const UpstreamState* it : usable) slots += std::max(1, it->entry.slots);
  if (slots <= wanted) return usable;
  std::vector<std::pair<std::uint64_t, UpstreamState*>> ranked;
  for (UpstreamState* it : usable) {
    if (KnownWeightsVersion(*it, model) < min_version) continue;
    ranked.push_back({HashText(absl::StrCat(model, "/", it->entry.id)), it});
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<UpstreamState*> share;
  slots = 0;
  for (const std::pair<std::uint64_t, UpstreamState*>& it : ranked) {
    if (slots >= wanted) break;
    share.push_back(it.second);
    if (it.second->failures_in_row == 0) slots += std::max(1, it.second->entry.slots);
  }
  return share;
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

double ExpectedGap(const UpstreamState& upstream, double median_gap_ms, absl::Time now) {
  const double pace = upstream.pace_ms > 0 ? upstream.pace_ms : median_gap_ms;
  // Uses the newer of its load report and the gaps observed here.
  if (upstream.load_at >= upstream.gap_at)
    return pace * (1 + (upstream.load.slowdown - 1) * Freshness(upstream.load_at, now, kGapDecay));
  if (upstream.gap_ms <= pace) return pace;
  return pace + (upstream.gap_ms - pace) * Freshness(upstream.gap_at, now, kGapDecay);
}

bool LeavesTooSoon(const RunBeforeDeparture& run) {
  // A text that is longer than expected, or of unknown length, is expected to have as much again before it as
  // behind it: lengths are heavy-tailed.
  const double left = std::max<double>({run.expected_events - run.events, kMinEventsLeft,
                                        run.expected_events > run.events ? 0.0 : run.events * 1.0});
  return run.time_left < absl::Milliseconds(left * run.gap_ms) + kDepartureMargin;
}

bool LoadIsFresh(const UpstreamState& upstream, absl::Time now) {
  return now - upstream.load_at <= kMaxFreshLoadAge;
}

bool IsUnresponsive(const UpstreamState& upstream, absl::Time now) {
  return upstream.load_query_pending && now - upstream.load_queried_at >= kLoadQueryTimeout;
}

MoveDecision DecideMove(const RunProgress& run) {
  if (run.other_gap_ms <= 0) return MoveDecision::kStay;
  if (run.since_last_event >= std::max(kMinStallTimeout, absl::Milliseconds(run.other_gap_ms * kStallFactor)))
    return MoveDecision::kMove;
  if (!run.is_tail) {
    const bool measured = run.since_start >= kMinRunBeforeSlowMove && run.events_here >= kMinEventsForPace;
    return measured && run.gap_ms >= kSlowFactor * run.other_gap_ms ? MoveDecision::kMove
                                                                    : MoveDecision::kStay;
  }
  const bool waits = run.events_here == 0
                         ? run.since_last_event >= kFirstEventTimeout
                         : run.since_last_event >= absl::Milliseconds(kLateFactor * run.pace_ms);
  // A slowdown shown by a load report lasts for a few events.
  const bool late = waits || (run.load_fresh && run.gap_ms >= kLateFactor * run.pace_ms);
  const bool always_slower = run.events_here >= kMinEventsForPace && run.other_pace_ms > 0 &&
                             run.pace_ms >= kTailPaceFactor * run.other_pace_ms;
  if (!late && !always_slower) return MoveDecision::kStay;
  if (!run.other_load_fresh || !(run.load_fresh || run.unresponsive)) return MoveDecision::kQueryLoads;
  if (run.unresponsive && late) return MoveDecision::kMove;
  if (run.events_here == 0 && run.queued) return MoveDecision::kMove;
  const double factor = always_slower ? kTailPaceFactor : kTailMoveFactor;
  return run.gap_ms >= factor * run.other_gap_ms ? MoveDecision::kMove : MoveDecision::kStay;
}

int MaxConcurrentLoads(int engines) { return std::max(1, static_cast<int>(std::lround(engines / 5.0))); }

LoadChoice PickLoad(const std::vector<EngineWeights>& engines,
                    const std::map<std::string, std::int64_t>& announced,
                    const std::map<std::string, std::vector<std::string>>& assigned, int max_loading,
                    absl::Time now) {
  int loading = 0;
  for (const EngineWeights& it : engines) loading += it.loading ? 1 : 0;
  if (loading >= max_loading) return {};

  struct Candidate {
    const EngineWeights* engine;
    std::int64_t behind;  // versions
    std::uint64_t rank;
  };
  LoadChoice best;
  std::pair<bool, double> best_order;  // lower goes first
  for (const std::pair<const std::string, std::int64_t>& target : announced) {
    const auto holders = assigned.find(target.first);
    if (holders == assigned.end()) continue;
    std::vector<Candidate> candidates;
    int newest = 0;
    int too_old = 0;
    for (const EngineWeights& it : engines) {
      if (!std::binary_search(holders->second.begin(), holders->second.end(), it.id)) continue;
      const auto held = it.held.find(target.first);
      const std::int64_t behind = target.second - (held == it.held.end() ? 0 : held->second);
      if (behind <= 0) {
        ++newest;
        continue;
      }
      too_old += behind > 1 ? 1 : 0;
      candidates.push_back({&it, behind, 0});
    }
    const int half = (static_cast<int>(holders->second.size()) + 1) / 2;
    const int wanted = std::max(too_old, half - newest);
    if (wanted <= 0) continue;  // the usual case between two versions; skips hashing, the costliest part
    for (Candidate& it : candidates)
      it.rank = HashText(absl::StrCat(target.first, "/", target.second, "/", it.engine->id));
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
      return std::pair(-a.behind, a.rank) < std::pair(-b.behind, b.rank);
    });
    for (int it = 0; it < wanted && it < static_cast<int>(candidates.size()); ++it) {
      const Candidate& candidate = candidates[it];
      if (!candidate.engine->may_order || candidate.engine->loading || now < candidate.engine->blocked_until)
        continue;
      // Engines that are too old go first, then the model with the smallest share of up-to-date engines, so
      // that each trainer gets some engines soon after an outage.
      const std::pair<bool, double> order = {
          candidate.behind <= 1, static_cast<double>(newest) / static_cast<double>(holders->second.size())};
      if (best.engine.empty() || order < best_order) {
        best = {candidate.engine->id, target.first, target.second};
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
    std::sort(assigned[model].begin(), assigned[model].end());
  }
  return assigned;
}

}  // namespace oleander::serving
