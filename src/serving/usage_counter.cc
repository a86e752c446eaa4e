#include "serving/usage_counter.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "oleander/log_events.h"
#include "oleander/metrics.h"
#include "serving/decisions.h"

namespace oleander::serving {
namespace {

constexpr absl::Duration kRetryDelay = absl::Milliseconds(300);  // after a failed call to the store
// Hosts close a window at different moments, so that they do not all write at once.
constexpr absl::Duration kClosingSpread = absl::Milliseconds(400);

std::int64_t Total(const UsageCounts& counts) {
  return std::accumulate(
      counts.begin(), counts.end(), std::int64_t{0},
      [](std::int64_t sum, const std::pair<const std::string, std::int64_t>& it) { return sum + it.second; });
}

}  // namespace

UsageCounter::UsageCounter(Loop& loop, Store& store, UsageSettings settings)
    : loop_(loop), store_(store), settings_(std::move(settings)) {
  const double unit = static_cast<double>(HashText(settings_.incarnation) % 1000) / 1000;
  settings_.closing_delay += kClosingSpread * unit;
}

absl::Time UsageCounter::TrueNow() const {
  return TrueTimeAt(clock_, loop_.Now(), loop_.Now(), loop_.WallNow());
}

void UsageCounter::Record(const std::string& workspace, absl::Time began) {
  const absl::Time at = TrueTimeAt(clock_, began, loop_.Now(), loop_.WallNow());
  Window& window = windows_[UsageWindowAt(at, settings_.window)];
  ++window.counts[workspace];
  window.unsaved = true;
}

void UsageCounter::Tick() {
  if (!read_in_flight_ && loop_.Now() >= next_read_) ReadFleetRow();
  if (!clock_.store.known) return;
  const absl::Time now = TrueNow();
  windows_.try_emplace(UsageWindowAt(now, settings_.window));  // a row shows that this host counts
  for (auto it = windows_.begin(); it != windows_.end();) {
    Window& window = it->second;
    const absl::Duration since_end = now - UsageWindowEnd(it->first, settings_.window);
    if (since_end >= settings_.due) {
      // The window has been reported.
      if (window.unsaved) {
        AddCounter(GlobalMetrics(), "usage_requests", "lost", Total(window.counts));
        LogEventLine(LogLevel::kWarning, LogEvent::kUsageLost,
                     {{"window", it->first}, {"requests", Total(window.counts)}});
      }
      it = windows_.erase(it);
      continue;
    }
    const bool closing = since_end >= settings_.closing_delay;
    // Before the fleet has agreed on an offset, this host's is needed at once.
    const bool states_offset = !clock_.offset && window.version == 0;
    if (!window.write_in_flight && loop_.Now() >= window.next_write &&
        (window.unsaved || states_offset || (closing && !window.closed)))
      Write(it->first, window, closing);
    ++it;
  }
}

bool UsageCounter::Saved() const {
  return std::none_of(windows_.begin(), windows_.end(),
                      [](const std::pair<const std::int64_t, Window>& it) { return it.second.unsaved; });
}

void UsageCounter::ReadFleetRow() {
  read_in_flight_ = true;
  store_.Get(
      {std::string(kUsageReportTable), std::string(kUsageReportPartition), std::string(kFleetKey), "", 1},
      [this](const StoreReply& reply) {
        read_in_flight_ = false;
        UpdateStoreClock(clock_.store, reply, loop_.Now());
        next_read_ = loop_.Now() + kRetryDelay;
        if (reply.outcome != StoreOutcome::kOk) return;
        next_read_ = loop_.Now() + settings_.window;
        const std::optional<FleetRow> row =
            reply.rows.empty() ? std::nullopt : DecodeFleetRow(reply.rows.front().value);
        if (!row) return;
        clock_.offset = row->offset;
        hosts_ = row->hosts;
      });
}

void UsageCounter::Write(std::int64_t number, Window& window, bool closing) {
  UsageRow row;
  row.window = number;
  row.incarnation = settings_.incarnation;
  row.closed = closing;
  row.wall_offset = (loop_.WallNow() - absl::UnixEpoch()) - StoreTimeAt(clock_.store, loop_.Now());
  row.counts = window.counts;
  window.unsaved = false;
  window.write_in_flight = true;
  window.next_write = loop_.Now() + std::max(settings_.flush_interval, settings_.flush_per_host * hosts_);
  Transaction transaction;
  transaction.writes = {EncodeUsageRow(row, settings_.zone)};
  transaction.conditions = {{transaction.writes[0].id, window.version}};
  store_.Commit(transaction, [this, number, closing](const StoreReply& reply) {
    UpdateStoreClock(clock_.store, reply, loop_.Now());
    const auto it = windows_.find(number);
    if (it == windows_.end()) return;
    it->second.write_in_flight = false;
    if (reply.outcome == StoreOutcome::kOk) {
      it->second.version = reply.version;
      it->second.closed = it->second.closed || closing;
      return;
    }
    it->second.unsaved = true;
    if (reply.outcome == StoreOutcome::kConflict) {
      // An earlier write was applied although its answer was lost.
      it->second.version = reply.rows.empty() ? 0 : reply.rows.front().version;
      it->second.next_write = loop_.Now();
      return;
    }
    it->second.next_write = loop_.Now() + kRetryDelay;
  });
}

}  // namespace oleander::serving
