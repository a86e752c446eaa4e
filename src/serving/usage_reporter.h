// Reports the usage windows of all hosts to the platform while this host holds the usage duty. What a report
// says is decided once, by a conditional write to the store, and sent until the platform has accepted it.
#ifndef OLEANDER_SRC_SERVING_USAGE_REPORTER_H_
#define OLEANDER_SRC_SERVING_USAGE_REPORTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "oleander/serving.h"
#include "serving/call_pacer.h"
#include "serving/duty_leases.h"
#include "serving/usage.h"

namespace oleander::serving {

inline constexpr std::string_view kUsageDuty = "usage";

class UsageReporter {
 public:
  UsageReporter(Loop& loop, Store& store, DutyLeases& leases, DutyPlatform& platform, CallPacer& pacer,
                UsageSettings settings);
  // Call it a few times a second, after the leases' own Tick.
  void Tick();

 private:
  struct Window {
    std::optional<UsageReport> report;  // as stored
    std::int64_t version = 0;           // of the stored report
    bool done = false;                  // accepted by the platform, or given up
    bool busy = false;                  // a call for the window is in progress
    int attempts = 0;                   // to send the report
    absl::Time next_try = absl::InfinitePast();
  };
  // Reading of all counts: the zones are read one after the other.
  struct Gathering {
    std::vector<std::string> zones;
    std::vector<Row> rows;
  };

  void BeginTerm(std::int64_t fence);
  void ReadReports();
  void GatherIfDue();
  void ReadZone(const std::shared_ptr<Gathering>& gathering, std::size_t zone, const std::string& from);
  void OnGathered(const std::vector<Row>& rows);
  void UpdateFleetRow(const std::vector<UsageRow>& rows, int hosts);
  void StoreReport(std::int64_t number, const GatheredUsage& gathered);
  void SendIfDue(std::int64_t number, Window& window);
  void MarkSent(std::int64_t number);
  void Remove(const std::vector<RowKey>& keys);
  // The window, or nullptr if this host has lost the duty since `fence`.
  Window* FindWindow(std::int64_t number, std::int64_t fence);
  bool IsDue(std::int64_t number, const Window& window) const;
  absl::Duration SinceEnd(std::int64_t number) const;
  absl::Time TrueNow() const;

  Loop& loop_;
  Store& store_;
  DutyLeases& leases_;
  DutyPlatform& platform_;
  CallPacer& pacer_;
  UsageSettings settings_;
  TrueClock clock_;
  std::int64_t fence_ = 0;  // of the duty; replies to calls of an earlier holder of this host are ignored
  bool reports_read_ = false;
  bool reading_ = false;  // the reports, or the counts
  absl::Time next_read_ = absl::InfinitePast();
  std::optional<FleetRow> fleet_;           // as stored
  std::int64_t fleet_version_ = 0;          // of that row
  std::map<std::int64_t, Window> windows_;  // that ended within the retention time, by number
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_USAGE_REPORTER_H_
