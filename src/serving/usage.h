// Decisions and records of usage reports: how many requests of each workspace began to run in each window of
// true time. Pure functions; usage_counter.h and usage_reporter.h do the work. Design: docs/design/duties.md.
#ifndef OLEANDER_SRC_SERVING_USAGE_H_
#define OLEANDER_SRC_SERVING_USAGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "oleander/serving.h"
#include "serving/store_clock.h"

namespace oleander::serving {

struct UsageSettings {
  std::string host;                                           // name of the machine
  std::string incarnation;                                    // of this host
  std::string zone;                                           // of this host
  absl::Duration window = absl::Seconds(5);                   // length, in true time
  absl::Duration due = absl::Seconds(10);                     // of a report, after the end of its window
  absl::Duration flush_interval = absl::Milliseconds(250);    // between writes of changed counts
  absl::Duration flush_per_host = absl::Milliseconds(4);      // minimum of flush_interval, times the hosts
  absl::Duration closing_delay = absl::Milliseconds(500);     // from a window's end to its last write
  absl::Duration gathering_delay = absl::Milliseconds(1600);  // from a window's end to its report
  // Time that is left for sending a report, and for another host to take over. A report does not wait longer
  // for the counts of hosts that have fallen silent.
  absl::Duration sending_reserve = absl::Seconds(4);
  absl::Duration retention = absl::Minutes(1);  // reports that are not accepted are given up after it
};

using UsageCounts = std::map<std::string, std::int64_t>;  // requests by workspace

// Number of the window that a true time lies in: window k begins k lengths after the start of 1970.
std::int64_t UsageWindowAt(absl::Time true_time, absl::Duration length);
absl::Time UsageWindowEnd(std::int64_t window, absl::Duration length);

// Estimates true time: the store's steady clock plus an offset that all hosts share.
struct TrueClock {
  StoreClock store;
  std::optional<absl::Duration>
      offset;  // true time since 1970 minus the store's time; nullopt: not agreed yet
};
// `wall`: the host's time of day now, used until the fleet has agreed on an offset.
absl::Time TrueTimeAt(const TrueClock& clock, absl::Time at, absl::Time now, absl::Time wall);
// Median of the offsets that the hosts measure. Load pattern: the time of day of a third of all hosts jumps
// by seconds and back; the windows must stay where they are. nullopt: no offsets.
std::optional<absl::Duration> AgreeOnOffset(std::vector<absl::Duration> offsets);

// ---- Records ----------------------------------------------------------------------------------------------

// Counts of one host for one window, in table "usage", partition = zone.
struct UsageRow {
  std::int64_t window = 0;     //
  std::string incarnation;     // of the host
  bool closed = false;         // the host has written its last counts, but for late ones
  absl::Duration wall_offset;  // the host's time of day since 1970 minus the store's time
  UsageCounts counts;          //
};
inline constexpr std::string_view kUsageTable = "usage";
RowWrite EncodeUsageRow(const UsageRow& row, const std::string& zone);
std::optional<UsageRow> DecodeUsageRow(const Row& row);
// The key range of the windows from `first` to `last` in one zone's partition.
RowRange UsageRows(const std::string& zone, std::int64_t first, std::int64_t last);

// The report of a window, in table "usage_report". Written once; only `sent` changes later.
struct UsageReport {
  bool sent = false;   // the platform has accepted it
  UsageCounts counts;  //
};
// What all hosts need to know of the fleet, in the same table.
struct FleetRow {
  absl::Duration offset;  // as TrueClock::offset
  int hosts = 0;          // that wrote counts lately
};
inline constexpr std::string_view kUsageReportTable = "usage_report";
inline constexpr std::string_view kUsageReportPartition = "all";
inline constexpr std::string_view kFleetKey = "fleet";
RowKey UsageReportKey(std::int64_t window);
std::optional<std::int64_t> UsageReportWindow(std::string_view key);
std::string EncodeUsageReport(const UsageReport& report);
std::optional<UsageReport> DecodeUsageReport(std::string_view value);
std::string EncodeFleetRow(const FleetRow& row);
std::optional<FleetRow> DecodeFleetRow(std::string_view value);

// ---- Reports ----------------------------------------------------------------------------------------------

// Counts of a window that its reporter has read.
struct GatheredUsage {
  UsageCounts counts;             // sum over the hosts
  std::set<std::string> missing;  // hosts that counted in the window before and have not closed this one
  int hosts = 0;                  // with counts in this window
};
GatheredUsage GatherUsage(const std::vector<UsageRow>& rows, std::int64_t window);
// Whether the window is reported now; otherwise its rows are read again later. Load pattern: hosts are
// killed, or cut off from the store for seconds, at the end of a window. Those that come back in time are
// counted; the report is not late for those that do not.
bool ShouldReportNow(const GatheredUsage& gathered, absl::Duration since_end, const UsageSettings& settings);

// Backoff before a refused or unanswered call of a duty is repeated: 0.2 s, doubled up to 2 s, with up to
// half of it as jitter from `spread`.
absl::Duration DutyBackoff(int attempts, std::string_view spread);

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_USAGE_H_
