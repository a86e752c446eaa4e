// Builds the indexes of a RoutingView, which make the cost of a decision independent of the number of
// upstreams.
#include <algorithm>
#include <array>
#include <cassert>

#include "oleander/routing.h"
#include "routing/internal.h"

namespace oleander {
namespace {

constexpr std::array<int, 6> kTableSizes = {251, 1021, 4093, 16381, 65521, 262139};  // primes
constexpr int kEntriesPerEngine = 16;  // keeps the engines' shares within a few percent of each other

int TableSize(int engines) {
  for (const int it : kTableSizes) {
    if (it >= engines * kEntriesPerEngine) return it;
  }
  return kTableSizes.back();
}

std::shared_ptr<const PrefixTable> MakePrefixTable(std::vector<UpstreamId> engines) {
  const int n = static_cast<int>(engines.size());
  assert(n > 0 && n < 65536);
  const std::uint64_t size = TableSize(n);
  std::vector<std::uint64_t> next(n);
  std::vector<std::uint64_t> skip(n);
  for (int it = 0; it < n; ++it) {
    const std::uint64_t hash = HashBytes(engines[it].data(), engines[it].size());
    next[it] = MixHash(hash) % size;
    skip[it] = MixHash(hash ^ 1) % (size - 1) + 1;
  }
  std::shared_ptr<PrefixTable> table = std::make_shared<PrefixTable>();
  std::vector<bool> taken(size, false);
  table->positions.resize(size);
  std::uint64_t filled = 0;
  while (filled < size) {
    for (int it = 0; it < n && filled < size; ++it) {
      while (taken[next[it]]) next[it] = (next[it] + skip[it]) % size;
      taken[next[it]] = true;
      table->positions[next[it]] = static_cast<std::uint16_t>(it);
      ++filled;
    }
  }
  table->engines = std::move(engines);
  return table;
}

void AddPrefixTable(const RoutingView& view, const RoutingView* previous, const PoolId& id, PoolIndex& pool) {
  if (pool.usable.empty()) return;
  pool.prefix_engines = pool.usable;
  std::sort(pool.prefix_engines.begin(), pool.prefix_engines.end(),
            [&](int a, int b) { return view.upstreams[a].upstream.id < view.upstreams[b].upstream.id; });
  std::vector<UpstreamId> engines;
  engines.reserve(pool.prefix_engines.size());
  for (const int it : pool.prefix_engines) engines.push_back(view.upstreams[it].upstream.id);
  if (previous != nullptr) {
    const auto old = previous->pools.find(id);
    if (old != previous->pools.end() && old->second.prefixes && old->second.prefixes->engines == engines) {
      pool.prefixes = old->second.prefixes;
      return;
    }
  }
  pool.prefixes = MakePrefixTable(std::move(engines));
}

bool IsLive(const UpstreamView& upstream) {
  return upstream.upstream.state == UpstreamState::kLive && !upstream.leaving_since;
}

void AddUsable(const RoutingView& view, const std::vector<int>& indexes, PoolIndex& pool) {
  int live = 0;
  for (const int it : indexes) {
    const UpstreamView& upstream = view.upstreams[it];
    if (!IsLive(upstream)) continue;
    ++live;
    const bool local = upstream.upstream.zone == view.zone;
    if (view.zone_cut_off && !local) continue;
    pool.usable.push_back(it);
    if (local) pool.local.push_back(it);
  }
  pool.all_cut_off = live > 0 && pool.usable.empty();
}

double MeanLoad(const RoutingView& view, const std::vector<int>& indexes) {
  double sum = 0;
  for (const int it : indexes) sum += LoadOf(view.upstreams[it]);
  return indexes.empty() ? 0 : sum / static_cast<double>(indexes.size());
}

std::int64_t LowerMedian(std::int64_t* begin, int n) {
  if (n == 0) return 0;
  // The lower of two middle values, so that in a pool of two a slow upstream counts as slow.
  std::nth_element(begin, begin + (n - 1) / 2, begin + n);
  return begin[(n - 1) / 2];
}

}  // namespace

std::uint64_t HashBytes(const char* data, std::size_t n) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (std::size_t it = 0; it < n; ++it) {
    hash ^= static_cast<unsigned char>(data[it]);
    hash *= 0x100000001b3ULL;
  }
  return hash;
}

std::int64_t ComputeMedianLatency(const RoutingView& view, const std::vector<int>& indexes) {
  std::vector<std::int64_t> known;
  known.reserve(indexes.size());
  for (const int it : indexes) {
    const std::int64_t latency = view.upstreams[it].stats->latency_ns.load(std::memory_order_relaxed);
    if (latency > 0) known.push_back(latency);
  }
  return LowerMedian(known.data(), static_cast<int>(known.size()));
}

std::int64_t PoolMedianLatency(const RoutingView& view, const PoolIndex& pool) {
  if (static_cast<int>(pool.usable.size()) > kLivePoolSize) return pool.median_ns;
  std::array<std::int64_t, kLivePoolSize> known;
  int n = 0;
  for (const int it : pool.usable) {
    const std::int64_t latency = view.upstreams[it].stats->latency_ns.load(std::memory_order_relaxed);
    if (latency > 0) known[n++] = latency;
  }
  return LowerMedian(known.data(), n);
}

double PoolMeanLoad(const RoutingView& view, const PoolIndex& pool) {
  if (static_cast<int>(pool.usable.size()) > kLivePoolSize) return pool.mean_load;
  return MeanLoad(view, pool.usable);
}

std::int64_t MedianLatency(const RoutingView& view, const PoolId& pool) {
  const auto it = view.pools.find(pool);
  return it == view.pools.end() ? 0 : PoolMedianLatency(view, it->second);
}

void BuildViewIndexes(RoutingView& view, const RoutingView* previous) {
  view.by_id.clear();
  view.by_pool.clear();
  view.pools.clear();
  for (int it = 0; it < static_cast<int>(view.upstreams.size()); ++it) {
    UpstreamView& upstream = view.upstreams[it];
    if (!upstream.stats) upstream.stats = std::make_shared<UpstreamStats>();
    const int own = upstream.stats->in_flight.load(std::memory_order_relaxed);
    const int reported = std::max(upstream.assigned, upstream.load.running + upstream.load.waiting);
    upstream.other_load = std::max(0, reported - own);
    view.by_id[upstream.upstream.id] = it;
    view.by_pool[upstream.upstream.pool].push_back(it);
  }
  for (const auto& [id, indexes] : view.by_pool) {
    PoolIndex& pool = view.pools[id];
    AddUsable(view, indexes, pool);
    pool.median_ns = ComputeMedianLatency(view, pool.usable);
    pool.mean_load = MeanLoad(view, pool.usable);
    if (view.upstreams[indexes.front()].upstream.kind == UpstreamKind::kEngine)
      AddPrefixTable(view, previous, id, pool);
  }
}

}  // namespace oleander
