#include "oleander/log_events.h"

#include <fcntl.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

#include "absl/time/time.h"

namespace oleander {
namespace {

struct EventName {
  LogEvent event;
  std::string_view name;
};
constexpr std::array<EventName, 85> kEventNames = {{
    {LogEvent::kHostStarted, "host_started"},
    {LogEvent::kHostReady, "host_ready"},
    {LogEvent::kHostDraining, "host_draining"},
    {LogEvent::kHostStopped, "host_stopped"},
    {LogEvent::kSettingsRejected, "settings_rejected"},
    {LogEvent::kMemberSuspected, "member_suspected"},
    {LogEvent::kMemberDead, "member_dead"},
    {LogEvent::kMemberJoined, "member_joined"},
    {LogEvent::kMemberLeaving, "member_leaving"},
    {LogEvent::kUpstreamLeaving, "upstream_leaving"},
    {LogEvent::kUpstreamSlow, "upstream_slow"},
    {LogEvent::kUpstreamRecovered, "upstream_recovered"},
    {LogEvent::kConfigAccepted, "config_accepted"},
    {LogEvent::kConfigInForce, "config_in_force"},
    {LogEvent::kConfigLowerRefused, "config_lower_refused"},
    {LogEvent::kConfigForked, "config_forked"},
    {LogEvent::kConfigUnconfirmed, "config_unconfirmed"},
    {LogEvent::kStoreDown, "store_down"},
    {LogEvent::kStoreBack, "store_back"},
    {LogEvent::kZoneCutOff, "zone_cut_off"},
    {LogEvent::kZoneReunited, "zone_reunited"},
    {LogEvent::kLeaseTaken, "lease_taken"},
    {LogEvent::kLeaseLost, "lease_lost"},
    {LogEvent::kLeaseReleased, "lease_released"},
    {LogEvent::kBatchCommitted, "batch_committed"},
    {LogEvent::kBatchProvisional, "batch_provisional"},
    {LogEvent::kBatchExpired, "batch_expired"},
    {LogEvent::kSampleDropped, "sample_dropped"},
    {LogEvent::kWeightsAnnounced, "weights_announced"},
    {LogEvent::kWeightsActive, "weights_active"},
    {LogEvent::kWeightsOrderFailed, "weights_order_failed"},
    {LogEvent::kWeightsRegressed, "weights_regressed"},
    {LogEvent::kClaimUnknown, "claim_unknown"},
    {LogEvent::kPeerProtocolError, "peer_protocol_error"},
    {LogEvent::kSettingsReloaded, "settings_reloaded"},
    {LogEvent::kUpstreamListed, "upstream_listed"},
    {LogEvent::kUpstreamRemoved, "upstream_removed"},
    {LogEvent::kEntryUnreadable, "entry_unreadable"},
    {LogEvent::kAnswerTooLarge, "answer_too_large"},
    {LogEvent::kUpstreamLimit, "upstream_limit"},
    {LogEvent::kUpstreamRate, "upstream_rate"},
    {LogEvent::kPermitsGranted, "permits_granted"},
    {LogEvent::kCallUnanswered, "call_unanswered"},
    {LogEvent::kIdleConnectionsClosed, "idle_connections_closed"},
    {LogEvent::kForeignAnswer, "foreign_answer"},
    {LogEvent::kUpstreamStatesLeaving, "upstream_states_leaving"},
    {LogEvent::kUpstreamDeparture, "upstream_departure"},
    {LogEvent::kAnswerMalformed, "answer_malformed"},
    {LogEvent::kFeedRestarted, "feed_restarted"},
    {LogEvent::kStoreAnswerUnexpected, "store_answer_unexpected"},
    {LogEvent::kRecordUnreadable, "record_unreadable"},
    {LogEvent::kBatchAccepted, "batch_accepted"},
    {LogEvent::kBatchOwned, "batch_owned"},
    {LogEvent::kBatchTakeover, "batch_takeover"},
    {LogEvent::kBatchReleased, "batch_released"},
    {LogEvent::kBatchEnded, "batch_ended"},
    {LogEvent::kItemRequeued, "item_requeued"},
    {LogEvent::kItemListed, "item_listed"},
    {LogEvent::kCheckpointFailed, "checkpoint_failed"},
    {LogEvent::kAssignmentFailed, "assignment_failed"},
    {LogEvent::kItemMoved, "item_moved"},
    {LogEvent::kItemScored, "item_scored"},
    {LogEvent::kScoringAttemptFailed, "scoring_attempt_failed"},
    {LogEvent::kItemStarted, "item_started"},
    {LogEvent::kItemResumed, "item_resumed"},
    {LogEvent::kTextDiscarded, "text_discarded"},
    {LogEvent::kBatchLoaded, "batch_loaded"},
    {LogEvent::kBatchUnreadable, "batch_unreadable"},
    {LogEvent::kUsageLost, "usage_lost"},
    {LogEvent::kUsageGathered, "usage_gathered"},
    {LogEvent::kUsageReported, "usage_reported"},
    {LogEvent::kCapacityOrdered, "capacity_ordered"},
    {LogEvent::kCapacityRefused, "capacity_refused"},
    {LogEvent::kBatchRefused, "batch_refused"},
    {LogEvent::kBatchRemoved, "batch_removed"},
    {LogEvent::kWeightsOrdered, "weights_ordered"},
    {LogEvent::kStreamRecordFailed, "stream_record_failed"},
    {LogEvent::kStreamResumed, "stream_resumed"},
    {LogEvent::kRequestAnswered, "request_answered"},
    {LogEvent::kRequestRefused, "request_refused"},
    {LogEvent::kAttemptFailed, "attempt_failed"},
    {LogEvent::kCallerLeft, "caller_left"},
    {LogEvent::kRequestMalformed, "request_malformed"},
    {LogEvent::kRequestUnread, "request_unread"},
    {LogEvent::kAnswerUnread, "answer_unread"},
}};

spdlog::level::level_enum SpdlogLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

constexpr int kMaxLinesPerSecond = 60;  // of one event

// Lines of one event in the second that began at `since`.
struct LineBudget {
  std::int64_t since = 0;  // Unix time in seconds
  int written = 0;
  std::int64_t suppressed = 0;  // since the last line written
};

// Writes to standard output without blocking, and drops the oldest lines when the reader does not keep up.
class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  NonBlockingSink() { fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK); }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    pending_.append(line.data(), line.size());
    if (pending_.size() > kMaxPendingBytes) {
      // Drops whole lines only, so that the reader never gets a truncated one.
      const std::size_t cut = pending_.find('\n', pending_.size() - kMaxPendingBytes);
      pending_.erase(first_line_partial_ ? pending_.find('\n') + 1 : 0,
                     cut + 1 - (first_line_partial_ ? pending_.find('\n') + 1 : 0));
    }
    flush_();
  }
  void flush_() override {
    while (!pending_.empty()) {
      const ssize_t n = write(STDOUT_FILENO, pending_.data(), pending_.size());
      if (n <= 0) return;
      first_line_partial_ = pending_[static_cast<std::size_t>(n) - 1] != '\n';
      pending_.erase(0, static_cast<std::size_t>(n));
    }
  }

 private:
  static constexpr std::size_t kMaxPendingBytes = 256 << 10;
  std::string pending_;
  bool first_line_partial_ = false;  // the first line of `pending_` has been written in part
};

// Replaced only by StartLogging, before other threads log.
struct LogState {
  bool bounded = false;
  std::map<LogEvent, LineBudget> budgets;  // only bounded logging uses it, from one thread
  HostId host;
  std::shared_ptr<spdlog::logger> logger = spdlog::stderr_logger_mt("oleander");
};
LogState& State() {
  static LogState* const state = new LogState;
  return *state;
}

}  // namespace

namespace {

// Reads the system clock on each call. absl::Now extrapolates from the CPU's cycle counter between its own
// readings, which gave times up to 13 s off where the time of day does not follow the machine's clock.
absl::Time WallTime() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return absl::TimeFromTimespec(now);
}

// Returns the number of lines of this event suppressed before this one, or -1 if this one is over the limit
// too.
std::int64_t ConsumeLineBudget(LogState& state, LogEvent event) {
  LineBudget& budget = state.budgets[event];
  const std::int64_t second = absl::ToUnixSeconds(WallTime());
  if (budget.since != second) {
    budget.since = second;
    budget.written = 0;
  }
  if (++budget.written > kMaxLinesPerSecond) {
    ++budget.suppressed;
    return -1;
  }
  return std::exchange(budget.suppressed, 0);
}

}  // namespace

std::string_view NameOf(LogEvent event) {
  const auto it = std::find_if(kEventNames.begin(), kEventNames.end(),
                               [event](const EventName& row) { return row.event == event; });
  assert(it != kEventNames.end());
  return it->name;
}

void LogEventLine(LogLevel level, LogEvent event, const Json& fields) {
  LogState& state = State();
  if (!state.logger->should_log(SpdlogLevel(level))) return;
  std::int64_t suppressed = 0;
  if (state.bounded) {
    suppressed = ConsumeLineBudget(state, event);
    if (suppressed < 0) return;
  }
  Json line = {{"time", absl::FormatTime(absl::RFC3339_full, WallTime(), absl::UTCTimeZone())},
               {"level", std::string(spdlog::level::to_string_view(SpdlogLevel(level)).data())},
               {"event", static_cast<int>(event)},
               {"name", NameOf(event)},
               {"host", state.host}};
  line.update(fields);
  if (suppressed > 0) line["left_out_before"] = suppressed;
  // Fields may hold bytes from a caller that are not valid UTF-8; they are replaced.
  state.logger->log(SpdlogLevel(level), line.dump(-1, ' ', false, Json::error_handler_t::replace));
}

void StartLogging(const HostId& host, std::string_view level) {
  LogState& state = State();
  state.host = host;
  state.logger->set_pattern("%v");
  state.logger->set_level(spdlog::level::from_str(std::string(level)));
  state.logger->flush_on(spdlog::level::info);
}

void StartBoundedLogging(const HostId& host, std::string_view level) {
  LogState& state = State();
  state.logger = std::make_shared<spdlog::logger>("oleander", std::make_shared<NonBlockingSink>());
  StartLogging(host, level);
  state.bounded = true;
}

}  // namespace oleander
