#include "oleander/capacity.h"

#include <algorithm>
#include <cassert>

#include "absl/time/time.h"
#include "oleander/config.h"

namespace oleander {
namespace {

// Per-unit costs from bench_control, seed 1; docs/CAPACITY.md has the commands and figures.
constexpr double kBodyBytesAtRest = 789;          // sent per host and s, with 370 hosts
constexpr double kWireBytesAtRest = 204;          // protocol overhead, over network links between 24 hosts
constexpr double kProcessorPercentLinks = 0.097;  // of a core, over network links between 24 hosts
constexpr double kProcessorPercentPerHost = 0.000156;  // of a core, in addition for each host in the fleet
constexpr double kStateKibPerHost = 0.78;              // of control state per known host
constexpr double kStateKibPerUpstream = 0.155;         // of control state per known upstream
constexpr double kBytesPerChange = 1310;               // sent per host and configuration change
// Table writes, from docs/design.md, section 8.
constexpr double kLeaseWritesPerTrainer = 1.0 / 3;  // per s
constexpr double kWritesPerReceipt = 2;
constexpr int kSamplesPerGroup = 8;
// Limits, from the targets in docs/design.md, section 5.
constexpr double kMaxBytes = 28000;           // sent per host and s
constexpr double kMaxProcessorPercent = 1.3;  // of a core per host
constexpr double kMaxStateKib = 32 * 1024;    // per host
constexpr double kMaxTableReads = 1000;       // per s
constexpr double kMaxTableWrites = 300;       // per s

}  // namespace

std::vector<CapacityLine> EstimateCapacity(const CapacityInput& input) {
  assert(input.hosts > 0 && input.step_s > 0);
  const double hosts = input.hosts;
  const double changes = input.config_changes_per_day / 86400;
  const double bytes = kBodyBytesAtRest + kWireBytesAtRest + changes * kBytesPerChange;
  const double steps = input.trainers / input.step_s;
  const double writes = input.trainers * kLeaseWritesPerTrainer + 2 * steps + changes +
                        input.receipts_per_s * kWritesPerReceipt;
  const double poll_reads = hosts / absl::ToDoubleSeconds(ConfigPollInterval(input.hosts));
  return {
      {"control", "bytes sent per host and s", bytes, kMaxBytes, "measured"},
      {"control", "percent of a core per host", kProcessorPercentLinks + kProcessorPercentPerHost * hosts,
       kMaxProcessorPercent, "measured"},
      {"control", "KiB of state per host", kStateKibPerHost * hosts + kStateKibPerUpstream * input.engines,
       kMaxStateKib, "measured"},
      {"table", "writes per s", writes, kMaxTableWrites, "arithmetic"},
      {"table", "configuration reads per s", poll_reads, kMaxTableReads, "measured"},
      {"object store", "writes per s", steps * input.samples_per_step / kSamplesPerGroup, 0, "arithmetic"},
      {"engine responsibility", "engines per host", input.engines / hosts, 0, "arithmetic"},
      {"caller front", "requests per host and s", input.requests_per_s / hosts, 0, "arithmetic"},
      {"job holder", "jobs per host", input.trainers / hosts, 0, "arithmetic"},
  };
}

Json ToJson(const std::vector<CapacityLine>& lines) {
  Json json = Json::array();
  for (const CapacityLine& it : lines)
    json.push_back({{"role", it.role},
                    {"quantity", it.quantity},
                    {"value", it.value},
                    {"limit", it.limit},
                    {"basis", it.basis}});
  return json;
}

}  // namespace oleander
