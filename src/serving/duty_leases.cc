#include "serving/duty_leases.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "oleander/log_events.h"
#include "serving/decisions.h"

namespace oleander::serving {
namespace {

constexpr std::string_view kLeaseTable = "lease";
constexpr std::string_view kPartition = "duty";
constexpr std::string_view kReleasedValue = "released";
constexpr absl::Duration kTransitMargin =
    absl::Milliseconds(300);  // for the transit of an act and delayed timers
constexpr absl::Duration kStoreRetryDelay = absl::Milliseconds(300);

RowKey LeaseRow(const std::string& duty) { return {std::string(kLeaseTable), std::string(kPartition), duty}; }

}  // namespace

DutyLeases::DutyLeases(Loop& loop, Store& store, DutyLeaseSettings settings)
    : loop_(loop), store_(store), settings_(std::move(settings)) {}

void DutyLeases::Want(const std::string& duty, absl::Duration delay) {
  const std::pair<std::map<std::string, Lease, std::less<>>::iterator, bool> added =
      leases_.try_emplace(duty);
  if (!added.second) return;
  const double unit =
      static_cast<double>(HashText(absl::StrCat(settings_.incarnation, "/", duty)) % 1000) / 1000;
  added.first->second.delay = delay + settings_.takeover_spread * unit;
}

bool DutyLeases::Holds(std::string_view duty) const {
  const auto it = leases_.find(duty);
  return it != leases_.end() && it->second.holder;
}

bool DutyLeases::MayAct(std::string_view duty) const {
  const auto it = leases_.find(duty);
  return it != leases_.end() && it->second.holder && loop_.Now() < it->second.may_act_until;
}

std::int64_t DutyLeases::Fence(std::string_view duty) const {
  const auto it = leases_.find(duty);
  return it == leases_.end() || !it->second.holder ? 0 : it->second.fence;
}

void DutyLeases::Tick() {
  if (released_ || leases_.empty()) return;
  const absl::Time now = loop_.Now();
  for (std::pair<const std::string, Lease>& it : leases_) {
    if (it.second.holder && !it.second.commit_pending && now >= it.second.next_renewal)
      Renew(it.first, it.second);
  }
  if (!poll_pending_ && now >= next_poll_) Poll();
}

void DutyLeases::Poll() {
  poll_pending_ = true;
  next_poll_ = loop_.Now() + settings_.poll_interval;
  store_.Get({std::string(kLeaseTable), std::string(kPartition), "", "", 0}, [this](const StoreReply& reply) {
    poll_pending_ = false;
    if (reply.outcome != StoreOutcome::kOk || released_) return;
    std::map<std::string_view, const Row*> rows;
    for (const Row& it : reply.rows) rows[it.id.key] = &it;
    for (std::pair<const std::string, Lease>& it : leases_) {
      if (it.second.holder || it.second.commit_pending) continue;
      const auto row = rows.find(it.first);
      TakeIfExpired(it.first, it.second, row == rows.end() ? nullptr : row->second);
    }
  });
}

// Takes the lease if its row has not changed for so long that its holder must have stopped acting at least
// `hand_over_gap` ago.
void DutyLeases::TakeIfExpired(const std::string& duty, Lease& lease, const Row* row) {
  const absl::Time now = loop_.Now();
  const std::int64_t version = row == nullptr ? 0 : row->version;
  if (version != lease.seen_version) {
    lease.seen_version = version;
    lease.seen_version_since = now;
    lease.seen_released = row != nullptr && row->value == kReleasedValue;
  }
  absl::Duration required_silence = settings_.act_window + settings_.hand_over_gap + kTransitMargin;
  if (version == 0) required_silence = absl::ZeroDuration();  // the lease has never been held
  if (lease.seen_released) required_silence = settings_.hand_over_gap + kTransitMargin;
  if (now - lease.seen_version_since >= required_silence + lease.delay) Take(duty, lease, version);
}

void DutyLeases::Take(const std::string& duty, Lease& lease, std::int64_t version) {
  lease.commit_pending = true;
  const absl::Time sent = loop_.Now();
  Transaction transaction;
  transaction.conditions = {{LeaseRow(duty), version}};
  transaction.writes = {{LeaseRow(duty), settings_.incarnation}};
  store_.Commit(transaction, [this, duty, sent](const StoreReply& reply) {
    Lease& found = leases_[duty];
    found.commit_pending = false;
    found.seen_version = -1;
    if (reply.outcome != StoreOutcome::kOk || released_) return;
    found.holder = true;
    found.version = reply.version;
    found.fence = reply.version;
    found.may_act_until = sent + settings_.act_window;
    found.next_renewal = sent + settings_.renew_interval;
    LogEventLine(LogLevel::kInfo, LogEvent::kLeaseTaken, {{"lease", duty}, {"fence", found.fence}});
  });
}

void DutyLeases::Renew(const std::string& duty, Lease& lease) {
  lease.commit_pending = true;
  const absl::Time sent = loop_.Now();
  lease.next_renewal = sent + settings_.renew_interval;
  Transaction transaction;
  transaction.conditions = {{LeaseRow(duty), lease.version}};
  transaction.writes = {{LeaseRow(duty), settings_.incarnation}};
  store_.Commit(transaction, [this, duty, sent](const StoreReply& reply) {
    Lease& found = leases_[duty];
    found.commit_pending = false;
    if (!found.holder) return;
    if (reply.outcome == StoreOutcome::kOk) {
      found.version = reply.version;
      found.may_act_until = sent + settings_.act_window;
      return;
    }
    if (reply.outcome == StoreOutcome::kConflict) {
      for (const Row& it : reply.rows) {
        if (it.value != settings_.incarnation) continue;
        // An earlier renewal was committed but its reply was lost. Only a new renewal extends the window.
        found.version = it.version;
        found.next_renewal = loop_.Now();
        return;
      }
      Lose(duty, found, "taken_by_another");
      return;
    }
    found.next_renewal = loop_.Now() + kStoreRetryDelay;
  });
}

void DutyLeases::Lose(const std::string& duty, Lease& lease, std::string_view reason) {
  LogEventLine(LogLevel::kWarning, LogEvent::kLeaseLost, {{"lease", duty}, {"reason", reason}});
  lease.holder = false;
  lease.may_act_until = absl::InfinitePast();
}

void DutyLeases::Release() {
  released_ = true;
  for (std::pair<const std::string, Lease>& it : leases_) {
    if (!it.second.holder) continue;
    Transaction transaction;
    transaction.conditions = {{LeaseRow(it.first), it.second.version}};
    transaction.writes = {{LeaseRow(it.first), std::string(kReleasedValue)}};
    store_.Commit(transaction, [](const StoreReply&) {});  // if the commit fails, the lease expires
    Lose(it.first, it.second, "released");
  }
}

}  // namespace oleander::serving
