#include "oleander/weights.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"

namespace oleander {
namespace {

// Max age of the target for orders to engines that do not check fences (docs/design.md, 9.6).
constexpr absl::Duration kTargetMaxAge = absl::Seconds(2);
// A report that arrives within this time after an activation may have been made before it.
constexpr absl::Duration kReportLag = absl::Seconds(1);
// All engines must reach a new target within 16 s; the longest backoff of 4 s leaves time for several tries.
constexpr absl::Duration kFirstBackoff = absl::Milliseconds(500);
constexpr int kMaxBackoffDoublings = 3;
constexpr int kMaxAnnounceTries = 3;

std::string TargetKey(const PoolId& model) { return absl::StrCat("weights/", model); }

WeightTarget TargetFromRow(const PoolId& model, const TableRow& row) {
  WeightTarget target;
  target.model = model;
  const Json json = row.revision == 0 ? Json() : Json::parse(row.value, nullptr, false);
  if (!json.is_object()) return target;
  target.version = json.value("version", Version{0});
  target.fence = json.value("fence", std::int64_t{0});
  return target;
}

leaf::result<TxnOutcome> WriteTarget(const TablePort& table, const WeightTarget& target,
                                     std::int64_t revision, const std::string& write_id) {
  const Json value = {{"model", target.model}, {"version", target.version}, {"fence", target.fence}};
  const std::string key = TargetKey(target.model);
  return CommitWithReadBack(table, {{{key, revision}}, {{key, RowValue(value, write_id)}}});
}

absl::Duration Backoff(int failures, std::mt19937_64& random) {
  const int doublings = std::min(failures - 1, kMaxBackoffDoublings);
  const double jitter = std::uniform_real_distribution<double>(0.5, 1.0)(random);
  return kFirstBackoff * (1 << doublings) * jitter;
}

using PoolAndZone = std::pair<PoolId, ZoneId>;

struct LoadingCount {
  int engines = 0;
  int loading = 0;
};

std::map<PoolAndZone, LoadingCount> CountLoading(const WeightsState& state,
                                                 const std::vector<Upstream>& responsible) {
  std::map<PoolAndZone, LoadingCount> counts;
  for (const Upstream& it : responsible) {
    LoadingCount& count = counts[{it.pool, it.zone}];
    count.engines += 1;
    const auto engine = state.engines.find(it.id);
    count.loading += engine != state.engines.end() && engine->second.phase == EnginePhase::kLoading;
  }
  return counts;
}

// Forgets engines that this host is no longer responsible for, except those with an order in flight.
void ForgetOtherEngines(WeightsState& state, const std::vector<Upstream>& responsible) {
  std::set<UpstreamId> ids;
  std::set<PoolId> pools;
  for (const Upstream& it : responsible) {
    ids.insert(it.id);
    pools.insert(it.pool);
  }
  std::erase_if(state.engines, [&](const auto& it) {
    return !ids.contains(it.first) && pools.contains(it.second.pool) && it.second.phase == EnginePhase::kIdle;
  });
}

// An engine above the target got its version from a host that knows a newer target, so it gets no order.
bool IsDue(const EngineWeights& engine, const WeightTarget& target, absl::Time now) {
  return engine.phase == EnginePhase::kIdle && engine.reported < target.version && now >= engine.next_try;
}

}  // namespace

leaf::result<WeightTarget> ReadWeightTarget(const TablePort& table, const PoolId& model) {
  BOOST_LEAF_AUTO(row, table.read(TargetKey(model)));
  return TargetFromRow(model, row);
}

leaf::result<WeightTarget> AnnounceWeights(const TablePort& table, const PoolId& model, Version version,
                                           const std::string& write_id) {
  assert(!model.empty() && version > 0);
  BOOST_LEAF_AUTO(row, table.read(TargetKey(model)));
  for (int it = 0; it < kMaxAnnounceTries; ++it) {
    const WeightTarget known = TargetFromRow(model, row);
    if (version <= known.version) return known;
    WeightTarget next = known;
    next.version = version;
    next.fence += 1;
    BOOST_LEAF_AUTO(outcome, WriteTarget(table, next, row.revision, write_id));
    if (outcome.committed) return next;
    row = outcome.current.front();
  }
  return Fail(ErrorKind::kConflict,
              absl::StrCat("concurrent announcements of weights for model ", model, "; try again"));
}

bool TargetRegressed(const WeightTarget& shown, const WeightTarget& known) {
  return shown.fence < known.fence || shown.version < known.version;
}

leaf::result<WeightTarget> RestoreTarget(const TablePort& table, const WeightTarget& known,
                                         const std::string& write_id) {
  BOOST_LEAF_AUTO(row, table.read(TargetKey(known.model)));
  const WeightTarget shown = TargetFromRow(known.model, row);
  if (!TargetRegressed(shown, known)) return shown;
  // The new fence is above both, because hosts and engines may have seen either with another version.
  WeightTarget next = known;
  next.version = std::max(known.version, shown.version);
  next.fence = std::max(known.fence, shown.fence) + 1;
  BOOST_LEAF_AUTO(outcome, WriteTarget(table, next, row.revision, write_id));
  if (!outcome.committed)
    return Fail(ErrorKind::kConflict, absl::StrCat("the weight target of model ", known.model,
                                                   " was changed concurrently; try again"));
  return next;
}

bool UpdateTarget(WeightsState& state, const WeightTarget& target) {
  WeightTarget& known = state.targets[target.model];
  // After the table was restored, a higher version may come with a fence that is not higher.
  if (target.fence > known.fence || target.version > known.version) {
    known.model = target.model;
    known.version = std::max(known.version, target.version);
    known.fence = std::max(known.fence, target.fence);
    known.read_at = target.read_at;
    return true;
  }
  if (target.fence == known.fence && target.version == known.version)
    known.read_at = std::max(known.read_at, target.read_at);
  return false;
}

std::vector<PlannedOrder> PlanOrders(WeightsState& state, const std::vector<Upstream>& responsible,
                                     const Policy& policy, absl::Time now, std::mt19937_64& random,
                                     std::vector<PoolId>& needs_read) {
  return PlanOrders(
      state, responsible, [&policy](const Upstream&) { return policy; }, now, random, needs_read);
}

std::vector<PlannedOrder> PlanOrders(WeightsState& state, const std::vector<Upstream>& responsible,
                                     const EnginePolicy& policy_of, absl::Time now, std::mt19937_64& random,
                                     std::vector<PoolId>& needs_read) {
  ForgetOtherEngines(state, responsible);
  std::map<PoolAndZone, LoadingCount> counts = CountLoading(state, responsible);
  // Shuffled, so that the engines that load last differ between rollouts.
  std::vector<Upstream> engines = responsible;
  std::shuffle(engines.begin(), engines.end(), random);
  std::vector<PlannedOrder> orders;
  for (const Upstream& it : engines) {
    EngineWeights& engine = state.engines[it.id];
    engine.pool = it.pool;
    const auto target = state.targets.find(it.pool);
    if (target == state.targets.end() || target->second.version == 0) continue;
    if (it.state == UpstreamState::kRemoved || !IsDue(engine, target->second, now)) continue;
    const Policy policy = policy_of(it);
    const absl::Time read_at = target->second.read_at;
    const bool must_read =
        read_at == absl::InfinitePast() || (!policy.engines_check_fence && now - read_at > kTargetMaxAge);
    if (must_read) {
      if (std::find(needs_read.begin(), needs_read.end(), it.pool) == needs_read.end())
        needs_read.push_back(it.pool);
      continue;
    }
    const Version version = target->second.version;
    if (engine.loaded != version) {
      LoadingCount& count = counts[{it.pool, it.zone}];
      const int limit = std::max(1, static_cast<int>(policy.max_loading_fraction * count.engines));
      if (count.loading >= limit) continue;
      count.loading += 1;
      engine.phase = EnginePhase::kLoading;
    } else {
      engine.phase = EnginePhase::kActivating;
    }
    engine.phase_since = now;
    engine.fence_sent = std::max(engine.fence_sent, target->second.fence);
    const OrderKind kind = engine.phase == EnginePhase::kLoading ? OrderKind::kLoad : OrderKind::kActivate;
    orders.push_back({it.id, {kind, it.pool, version, target->second.fence}});
  }
  return orders;
}

void FinishOrder(WeightsState& state, const PlannedOrder& order, const Outcome<std::monostate>& outcome,
                 absl::Time now, std::mt19937_64& random) {
  const auto it = state.engines.find(order.engine);
  if (it == state.engines.end() || it->second.phase == EnginePhase::kIdle) return;
  EngineWeights& engine = it->second;
  engine.phase = EnginePhase::kIdle;
  engine.phase_since = now;
  if (Ok(outcome)) {
    engine.failures = 0;
    engine.next_try = now;
    if (order.order.kind == OrderKind::kLoad) engine.loaded = order.order.version;
    if (order.order.kind == OrderKind::kActivate) engine.reported = order.order.version;
    return;
  }
  state.orders_failed += 1;
  engine.failures += 1;
  engine.next_try = now + Backoff(engine.failures, random);
  // A failed activation may have discarded the loaded weights. If they are still there, loading again has no
  // effect.
  if (ErrorOf(outcome).kind != ErrorKind::kOverloaded) engine.loaded = 0;
  // A conflict means that the engine has seen a higher fence: this host's target is outdated.
  const auto target = state.targets.find(order.order.model);
  if (ErrorOf(outcome).kind == ErrorKind::kConflict && target != state.targets.end())
    target->second.read_at = absl::InfinitePast();
}

void ReportVersion(WeightsState& state, const UpstreamId& engine_id, Version version, absl::Time now) {
  if (version <= 0) return;
  // Creates an entry for an unknown engine, so that an engine that is already up to date gets no order.
  EngineWeights& engine = state.engines[engine_id];
  if (engine.phase != EnginePhase::kIdle || version == engine.reported) return;
  if (version < engine.reported) {
    if (now - engine.phase_since < kReportLag) return;
    state.regressions += 1;
    // The engine may have restarted and lost the loaded weights.
    engine.loaded = 0;
    engine.next_try = now;
  }
  engine.reported = version;
}

}  // namespace oleander
