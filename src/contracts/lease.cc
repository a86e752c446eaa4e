#include "oleander/lease.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "absl/strings/str_cat.h"

namespace oleander {
namespace {

Json ToJson(const LeaseRow& row) {
  return {{"holder", row.holder},
          {"incarnation", row.incarnation},
          {"fence", row.fence},
          {"renewals", row.renewals}};
}

// An absent or unreadable row counts as released.
LeaseRow LeaseRowFromTable(const TableRow& row) {
  LeaseRow lease_row;
  if (row.revision == 0) return lease_row;
  const Json json = Json::parse(row.value, nullptr, false);
  if (!json.is_object()) return lease_row;
  lease_row.holder = json.value("holder", "");
  lease_row.incarnation = json.value("incarnation", std::int64_t{0});
  lease_row.fence = json.value("fence", std::int64_t{0});
  lease_row.renewals = json.value("renewals", std::int64_t{0});
  return lease_row;
}

bool IsOwn(const Lease& lease, const LeaseRow& row) {
  return row.holder == lease.self && row.incarnation == lease.incarnation;
}

// Stores the row as read. A contender's wait starts again if the row changed.
void Observe(Lease& lease, const TableRow& row, absl::Time now) {
  const bool changed = row.revision != lease.revision || lease.unchanged_since == absl::InfiniteFuture();
  lease.row = LeaseRowFromTable(row);
  lease.revision = row.revision;
  lease.highest_fence = std::max(lease.highest_fence, lease.row.fence);
  if (changed) lease.unchanged_since = now;
}

// Replaces the row by `next` if the row is still at the last known revision.
leaf::result<TxnOutcome> Replace(const Lease& lease, const TablePort& table, const LeaseRow& next) {
  // A repeated write of the same transition has the same write id, since it does not matter which try took
  // effect.
  const std::string write_id = absl::StrCat(lease.self, ".", lease.incarnation, ".", next.fence, ".",
                                            next.renewals, next.holder.empty() ? ".released" : ".held");
  return CommitWithReadBack(table, {{LeaseCompare(lease)}, {{lease.key, RowValue(ToJson(next), write_id)}}});
}

void Confirm(Lease& lease, const LeaseRow& row, std::int64_t revision, absl::Time started) {
  lease.state = LeaseState::kHeld;
  lease.row = row;
  lease.revision = revision;
  lease.highest_fence = std::max(lease.highest_fence, row.fence);
  lease.confirmed_at = started;
  lease.unchanged_since = started;
  lease.next_action = started + lease.limits.renew_every;
}

// A third of the renewal interval leaves time for several tries before LeaseSafe becomes false.
absl::Duration RetryAfter(const Lease& lease) { return lease.limits.renew_every / 3; }

leaf::result<LeaseState> Renew(Lease& lease, const TablePort& table, absl::Time now) {
  // Retries once if the row still shows this holder but another revision: an earlier renewal whose response
  // was lost, or a restored table.
  for (int it = 0; it < 2; ++it) {
    LeaseRow next = lease.row;
    next.renewals += 1;
    Outcome<TxnOutcome> outcome = Capture<TxnOutcome>([&] { return Replace(lease, table, next); });
    if (!Ok(outcome)) {
      lease.next_action = now + RetryAfter(lease);
      return Fail(ErrorOf(outcome));
    }
    if (Value(outcome).committed) {
      Confirm(lease, next, Value(outcome).revision, now);
      return LeaseState::kHeld;
    }
    const std::int64_t fence = lease.row.fence;
    Observe(lease, Value(outcome).current.front(), now);
    if (!IsOwn(lease, lease.row) || lease.row.fence != fence) {
      lease.state = LeaseState::kNotHeld;
      lease.unchanged_since = now;
      lease.next_action = now;
      return LeaseState::kNotHeld;
    }
  }
  lease.next_action = now;
  return LeaseState::kHeld;
}

leaf::result<LeaseState> Acquire(Lease& lease, const TablePort& table, absl::Time now) {
  const LeaseRow next{lease.self, lease.incarnation, lease.highest_fence + 1, lease.row.renewals + 1};
  Outcome<TxnOutcome> outcome = Capture<TxnOutcome>([&] { return Replace(lease, table, next); });
  if (!Ok(outcome)) {
    lease.unchanged_since = absl::InfiniteFuture();
    lease.next_action = now + RetryAfter(lease);
    return Fail(ErrorOf(outcome));
  }
  if (Value(outcome).committed) {
    Confirm(lease, next, Value(outcome).revision, now);
    return LeaseState::kHeld;
  }
  Observe(lease, Value(outcome).current.front(), now);
  lease.next_action = now + lease.limits.renew_every;
  return LeaseState::kNotHeld;
}

leaf::result<LeaseState> Watch(Lease& lease, const TablePort& table, bool may_acquire, absl::Time now) {
  Outcome<TableRow> row = Capture<TableRow>([&] { return table.read(lease.key); });
  if (!Ok(row)) {
    // The holder may not have been able to renew either, so its full lifetime starts again when the table
    // responds.
    lease.unchanged_since = absl::InfiniteFuture();
    lease.next_action = now + RetryAfter(lease);
    return Fail(ErrorOf(row));
  }
  Observe(lease, Value(row), now);
  if (IsOwn(lease, lease.row)) {
    // A restored table shows an older lease of this host. Acquire it anew, so that the fence never decreases.
    if (lease.row.fence < lease.highest_fence) return Acquire(lease, table, now);
    // An earlier acquisition of this host took effect but its response was lost. The lease is safe only after
    // a confirmed renewal.
    lease.state = LeaseState::kHeld;
    lease.confirmed_at = absl::InfinitePast();
    return Renew(lease, table, now);
  }
  const absl::Time expires = lease.row.holder.empty() ? now : lease.unchanged_since + lease.limits.lifetime;
  if (may_acquire && now >= expires) return Acquire(lease, table, now);
  lease.next_action = now + lease.limits.renew_every;
  if (may_acquire && expires > now) lease.next_action = std::min(lease.next_action, expires);
  return LeaseState::kNotHeld;
}

}  // namespace

leaf::result<LeaseState> TickLease(Lease& lease, const TablePort& table, bool may_acquire, absl::Time now) {
  assert(!lease.key.empty() && !lease.self.empty());
  if (now < lease.next_action) return lease.state;
  if (lease.state == LeaseState::kHeld) return Renew(lease, table, now);
  return Watch(lease, table, may_acquire, now);
}

bool LeaseSafe(const Lease& lease, absl::Time now) {
  return lease.state == LeaseState::kHeld &&
         now - lease.confirmed_at < lease.limits.lifetime * lease.limits.safe_fraction;
}

TableCompare LeaseCompare(const Lease& lease) { return {lease.key, lease.revision}; }

leaf::result<void> ReleaseLease(Lease& lease, const TablePort& table) {
  if (lease.state != LeaseState::kHeld) return {};
  lease.state = LeaseState::kNotHeld;
  lease.unchanged_since = absl::InfiniteFuture();
  LeaseRow next = lease.row;
  next.holder.clear();
  next.renewals += 1;
  BOOST_LEAF_AUTO(outcome, Replace(lease, table, next));
  if (!outcome.committed) return {};
  lease.row = next;
  lease.revision = outcome.revision;
  return {};
}

}  // namespace oleander
