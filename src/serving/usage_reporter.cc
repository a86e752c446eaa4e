#include "serving/usage_reporter.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "absl/strings/str_cat.h"
#include "oleander/log_events.h"
#include "oleander/metrics.h"
#include "serving/batch_records.h"

namespace oleander::serving {
namespace {

constexpr absl::Duration kReadInterval = absl::Milliseconds(500);
// Smaller changes of the offset are the noise of the hosts' clocks; each change moves all windows.
constexpr absl::Duration kMinOffsetChange = absl::Milliseconds(20);
constexpr std::size_t kMaxRowsInRemoval = 95;  // the store accepts 100

std::vector<UsageRow> DecodeRows(const std::vector<Row>& rows) {
  std::vector<UsageRow> decoded;
  for (const Row& it : rows) {
    std::optional<UsageRow> row = DecodeUsageRow(it);
    if (row) {
      decoded.push_back(std::move(*row));
    } else {
      LogEventLine(LogLevel::kError, LogEvent::kRecordUnreadable,
                   {{"table", it.id.table}, {"key", it.id.key}});
    }
  }
  return decoded;
}

}  // namespace

UsageReporter::UsageReporter(Loop& loop, Store& store, DutyLeases& leases, DutyPlatform& platform,
                             CallPacer& pacer, UsageSettings settings)
    : loop_(loop),
      store_(store),
      leases_(leases),
      platform_(platform),
      pacer_(pacer),
      settings_(std::move(settings)) {
  leases_.Want(std::string(kUsageDuty), absl::ZeroDuration());
}

absl::Time UsageReporter::TrueNow() const {
  return TrueTimeAt(clock_, loop_.Now(), loop_.Now(), loop_.WallNow());
}

absl::Duration UsageReporter::SinceEnd(std::int64_t number) const {
  return TrueNow() - UsageWindowEnd(number, settings_.window);
}

UsageReporter::Window* UsageReporter::FindWindow(std::int64_t number, std::int64_t fence) {
  const auto it = windows_.find(number);
  return fence != fence_ || it == windows_.end() ? nullptr : &it->second;
}

void UsageReporter::Tick() {
  if (!leases_.MayAct(kUsageDuty)) return;
  const std::int64_t fence = leases_.Fence(kUsageDuty);
  if (fence != fence_) BeginTerm(fence);
  if (!reports_read_) {
    if (!reading_ && loop_.Now() >= next_read_) ReadReports();
    return;
  }
  const std::int64_t last = UsageWindowAt(TrueNow(), settings_.window) - 1;
  for (std::int64_t it = UsageWindowAt(TrueNow() - settings_.retention, settings_.window); it <= last; ++it)
    windows_.try_emplace(it);
  for (std::pair<const std::int64_t, Window>& it : windows_) SendIfDue(it.first, it.second);
  std::erase_if(windows_, [this](const std::pair<const std::int64_t, Window>& it) {
    return SinceEnd(it.first) > settings_.retention + settings_.window && !it.second.busy;
  });
  GatherIfDue();
}

// Forgets what an earlier term has read: another host may have reported since.
void UsageReporter::BeginTerm(std::int64_t fence) {
  fence_ = fence;
  reports_read_ = false;
  reading_ = false;
  windows_.clear();
  fleet_.reset();
  fleet_version_ = 0;
}

void UsageReporter::ReadReports() {
  reading_ = true;
  next_read_ = loop_.Now() + kReadInterval;
  store_.Get({std::string(kUsageReportTable), std::string(kUsageReportPartition), "", "", 0},
             [this, fence = fence_](const StoreReply& reply) {
               if (fence != fence_) return;
               reading_ = false;
               UpdateStoreClock(clock_.store, reply, loop_.Now());
               if (reply.outcome != StoreOutcome::kOk) return;
               std::vector<RowKey> old;
               for (const Row& it : reply.rows) {
                 if (it.id.key == kFleetKey) {
                   fleet_ = DecodeFleetRow(it.value);
                   fleet_version_ = it.version;
                   if (fleet_) clock_.offset = fleet_->offset;
                 }
               }
               for (const Row& it : reply.rows) {
                 const std::optional<std::int64_t> number = UsageReportWindow(it.id.key);
                 std::optional<UsageReport> report = DecodeUsageReport(it.value);
                 if (!number || !report) continue;
                 if (SinceEnd(*number) > settings_.retention) {
                   old.push_back(it.id);
                   continue;
                 }
                 Window& window = windows_[*number];
                 window.done = report->sent;
                 window.report = std::move(report);
                 window.version = it.version;
               }
               Remove(old);
               reports_read_ = true;
             });
}

// ---- Counts -----------------------------------------------------------------------------------------------

bool UsageReporter::IsDue(std::int64_t number, const Window& window) const {
  return !window.done && !window.report && !window.busy && SinceEnd(number) >= settings_.gathering_delay;
}

void UsageReporter::GatherIfDue() {
  const bool due = std::any_of(
      windows_.begin(), windows_.end(),
      [this](const std::pair<const std::int64_t, Window>& it) { return IsDue(it.first, it.second); });
  // Without an agreed offset each host uses its own time of day, so it is agreed on before the first report.
  if ((!due && fleet_) || reading_ || loop_.Now() < next_read_) return;
  reading_ = true;
  next_read_ = loop_.Now() + kReadInterval;
  store_.ListPartitions(std::string(kUsageTable), "", [this, fence = fence_](const StoreReply& reply) {
    if (fence != fence_) return;
    if (reply.outcome != StoreOutcome::kOk) {
      reading_ = false;
      return;
    }
    const std::shared_ptr<Gathering> gathering = std::make_shared<Gathering>();
    for (const Row& it : reply.rows) gathering->zones.push_back(it.id.partition);
    ReadZone(gathering, 0, "");
  });
}

void UsageReporter::ReadZone(const std::shared_ptr<Gathering>& gathering, std::size_t zone,
                             const std::string& from) {
  if (zone >= gathering->zones.size()) {
    reading_ = false;
    OnGathered(gathering->rows);
    return;
  }
  store_.Get({std::string(kUsageTable), gathering->zones[zone], from, "", 0},
             [this, gathering, zone, fence = fence_](const StoreReply& reply) {
               if (fence != fence_) return;
               UpdateStoreClock(clock_.store, reply, loop_.Now());
               if (reply.outcome != StoreOutcome::kOk) {
                 reading_ = false;  // a report from some of the zones would be wrong
                 return;
               }
               gathering->rows.insert(gathering->rows.end(), reply.rows.begin(), reply.rows.end());
               if (reply.has_more && !reply.rows.empty()) {
                 ReadZone(gathering, zone, reply.rows.back().id.key + std::string(1, '\0'));
               } else {
                 ReadZone(gathering, zone + 1, "");
               }
             });
}

void UsageReporter::OnGathered(const std::vector<Row>& stored) {
  const std::vector<UsageRow> rows = DecodeRows(stored);
  if (!fleet_) UpdateFleetRow(rows, static_cast<int>(rows.size()));
  std::int64_t oldest = UsageWindowAt(TrueNow(), settings_.window);  // that is not reported yet
  for (std::pair<const std::int64_t, Window>& it : windows_) {
    if (!IsDue(it.first, it.second)) continue;
    const GatheredUsage gathered = GatherUsage(rows, it.first);
    if (!ShouldReportNow(gathered, SinceEnd(it.first), settings_)) {
      oldest = std::min(oldest, it.first);
    } else if (gathered.hosts == 0) {
      it.second.done = true;  // no host ran then
    } else {
      oldest = std::min(oldest, it.first);
      UpdateFleetRow(rows, gathered.hosts);
      StoreReport(it.first, gathered);
    }
  }
  // The rows of the window before the oldest one are still needed: they tell which hosts counted.
  std::vector<RowKey> old;
  for (const Row& it : stored) {
    const std::optional<UsageRow> row = DecodeUsageRow(it);
    if (!row || row->window < oldest - 1) old.push_back(it.id);
  }
  Remove(old);
}

void UsageReporter::UpdateFleetRow(const std::vector<UsageRow>& rows, int hosts) {
  std::map<std::string, absl::Duration> offsets;  // the newest of each host; the rows are in order of windows
  for (const UsageRow& it : rows) offsets[it.incarnation] = it.wall_offset;
  std::vector<absl::Duration> measured;
  for (const std::pair<const std::string, absl::Duration>& it : offsets) measured.push_back(it.second);
  const std::optional<absl::Duration> agreed = AgreeOnOffset(std::move(measured));
  if (!agreed) return;
  FleetRow row{*agreed, hosts};
  if (fleet_) {
    if (absl::AbsDuration(row.offset - fleet_->offset) < kMinOffsetChange) row.offset = fleet_->offset;
    if (row.offset == fleet_->offset && row.hosts == fleet_->hosts) return;
  }
  Transaction transaction;
  const RowKey key = {std::string(kUsageReportTable), std::string(kUsageReportPartition),
                      std::string(kFleetKey)};
  transaction.conditions = {{key, fleet_version_}};
  transaction.writes = {{key, EncodeFleetRow(row)}};
  store_.Commit(transaction, [this, row, fence = fence_](const StoreReply& reply) {
    if (fence != fence_) return;
    if (reply.outcome == StoreOutcome::kConflict && !reply.rows.empty())
      fleet_version_ = reply.rows.front().version;  // an earlier write came late; the next report tries again
    if (reply.outcome != StoreOutcome::kOk) return;
    fleet_ = row;
    fleet_version_ = reply.version;
    clock_.offset = row.offset;
  });
}

void UsageReporter::Remove(const std::vector<RowKey>& keys) {
  std::map<std::string, Transaction> removals;  // by partition
  for (const RowKey& it : keys) {
    Transaction& transaction = removals[it.partition];
    transaction.removals.push_back(it);
    if (transaction.removals.size() < kMaxRowsInRemoval) continue;
    store_.Commit(std::exchange(transaction, {}), [](const StoreReply&) {});  // rows that are left go later
  }
  for (const std::pair<const std::string, Transaction>& it : removals) {
    if (!it.second.removals.empty()) store_.Commit(it.second, [](const StoreReply&) {});
  }
}

// ---- Reports ----------------------------------------------------------------------------------------------

void UsageReporter::StoreReport(std::int64_t number, const GatheredUsage& gathered) {
  Window& window = windows_[number];
  window.busy = true;
  UsageReport report;
  report.counts = gathered.counts;
  Transaction transaction;
  transaction.conditions = {{UsageReportKey(number), 0}};
  transaction.writes = {{UsageReportKey(number), EncodeUsageReport(report)}};
  LogEventLine(LogLevel::kInfo, LogEvent::kUsageGathered,
               {{"window", number},
                {"workspaces", gathered.counts.size()},
                {"hosts", gathered.hosts},
                {"missing", gathered.missing.size()},
                {"since_end_ms", absl::ToInt64Milliseconds(SinceEnd(number))}});
  store_.Commit(transaction, [this, number, report, fence = fence_](const StoreReply& reply) {
    Window* const found = FindWindow(number, fence);
    if (found == nullptr) return;
    found->busy = false;
    if (reply.outcome == StoreOutcome::kOk) {
      found->report = report;
      found->version = reply.version;
    } else if (reply.outcome == StoreOutcome::kConflict && !reply.rows.empty()) {
      // Written before, by another holder or by this one without an answer. What is stored is what counts.
      found->report = DecodeUsageReport(reply.rows.front().value);
      found->version = reply.rows.front().version;
      found->done = found->report && found->report->sent;
    }  // else gathered again
    if (found->report && leases_.MayAct(kUsageDuty)) SendIfDue(number, *found);
  });
}

void UsageReporter::SendIfDue(std::int64_t number, Window& window) {
  const absl::Time now = loop_.Now();
  if (!window.report || window.done || window.busy || now < window.next_try || !TakeTurn(pacer_, now)) return;
  if (SinceEnd(number) > settings_.retention) {
    LogEventLine(LogLevel::kError, LogEvent::kUsageReported,
                 {{"window", number}, {"outcome", "given_up"}, {"attempts", window.attempts}});
    window.done = true;
    return;
  }
  window.busy = true;
  ++window.attempts;
  platform_.ReportUsage({settings_.host, fence_}, number, window.report->counts,
                        [this, number, fence = fence_, sent = now](DutyOutcome outcome) {
                          AddCounter(GlobalMetrics(), "usage_reports", NameOf(outcome));
                          Window* const found = FindWindow(number, fence);
                          if (found == nullptr) return;
                          found->busy = false;
                          LogEventLine(LogLevel::kInfo, LogEvent::kUsageReported,
                                       {{"window", number},
                                        {"outcome", NameOf(outcome)},
                                        {"attempts", found->attempts},
                                        {"ms", absl::ToInt64Milliseconds(loop_.Now() - sent)},
                                        {"since_end_ms", absl::ToInt64Milliseconds(SinceEnd(number))}});
                          if (outcome == DutyOutcome::kAccepted) {
                            MarkSent(number);
                          } else {
                            found->next_try = loop_.Now() + DutyBackoff(found->attempts,
                                                                        absl::StrCat(number, settings_.host));
                          }
                        });
}

void UsageReporter::MarkSent(std::int64_t number) {
  Window& window = windows_[number];
  window.done = true;
  window.report->sent = true;
  Transaction transaction;
  transaction.conditions = {{UsageReportKey(number), window.version}};
  transaction.writes = {{UsageReportKey(number), EncodeUsageReport(*window.report)}};
  store_.Commit(transaction, [](const StoreReply&) {});  // if it fails, the next holder sends it once more
}

}  // namespace oleander::serving
