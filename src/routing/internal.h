// Declarations shared by the source files of the routing module.
#ifndef OLEANDER_ROUTING_INTERNAL_H_
#define OLEANDER_ROUTING_INTERNAL_H_

#include <cstdint>

#include "oleander/routing.h"

namespace oleander {

// For pools of up to this many upstreams, each decision computes the median and the mean; for larger pools it
// uses those stored by BuildViewIndexes.
inline constexpr int kLivePoolSize = 16;

UpstreamHealth HealthOfStats(const UpstreamStats& stats, UpstreamKind kind, std::int64_t median_ns,
                             std::int64_t now_ns);
std::int64_t PoolMedianLatency(const RoutingView& view, const PoolIndex& pool);
std::int64_t ComputeMedianLatency(const RoutingView& view, const std::vector<int>& indexes);
double PoolMeanLoad(const RoutingView& view, const PoolIndex& pool);

// Engines: requests of this host and of other hosts.
inline int LoadOf(const UpstreamView& upstream) {
  return upstream.other_load + upstream.stats->in_flight.load(std::memory_order_relaxed);
}

// Finalizer of splitmix64.
inline std::uint64_t MixHash(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}
// FNV-1a, because absl::Hash is seeded per process and all hosts must compute the same hash.
std::uint64_t HashBytes(const char* data, std::size_t n);

}  // namespace oleander

#endif  // OLEANDER_ROUTING_INTERNAL_H_
