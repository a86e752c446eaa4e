#include "serving/request_limits.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "oleander/log_events.h"
#include "oleander/metrics.h"

namespace oleander::serving {
namespace {

constexpr std::string_view kBudgetTable = "request_budget";
constexpr std::string_view kBudgetKey = "budget";
constexpr absl::Duration kDrawInterval = absl::Milliseconds(200);  // of one upstream; bounds the store calls
constexpr int kMaxConflicts = 3;  // in a row, then the host waits for kDrawInterval
// Without a useful answer of the store for this long, the host uses OutageRate.
constexpr absl::Duration kOutageThreshold = absl::Seconds(1);
// A host that the store does not answer sends one request to an upstream whose limit it has not heard of for
// longer.
constexpr absl::Duration kOldLimitAge = absl::Seconds(20);
constexpr absl::Duration kBudgetRetention = absl::Minutes(10);  // of an upstream that is not listed

RowKey BudgetRow(const std::string& upstream) {
  return {std::string(kBudgetTable), upstream, std::string(kBudgetKey)};
}

}  // namespace

bool WantPermitOfAny(Directory& directory, std::string_view service, UnaryChoice choice, int calls) {
  while (UpstreamState* const limited = PickWithoutPermit(directory.Usable(service), choice)) {
    if (directory.WantPermits(*limited, calls)) return true;
    choice.tried.push_back(limited->entry.id);
  }
  return false;
}

RequestLimits::RequestLimits(Loop& loop, Store& store, Directory& directory, std::string incarnation)
    : loop_(loop), store_(store), directory_(directory), incarnation_(std::move(incarnation)) {
  directory_.on_permits_wanted = [this](UpstreamState& upstream) { return Draw(upstream); };
}

bool RequestLimits::Draw(UpstreamState& upstream) {
  const absl::Time now = loop_.Now();
  const std::string& id = upstream.entry.id;
  Account& account = accounts_[id];
  if (account.unanswered_since == absl::InfiniteFuture() || now - account.wanted_at >= kOutageThreshold)
    account.unanswered_since = now;
  account.wanted_at = now;
  if (now - account.unanswered_since >= kOutageThreshold) GrantDuringOutage(account, upstream);
  if (HasPermit(upstream, now) || account.call_pending) return true;
  if (now < account.next_draw) return false;
  if (account.must_read || !clock_.known) {
    ReadBudget(id);
    return true;
  }
  RequestBudget budget = *account.budget;
  BudgetDraw draw;
  draw.host = incarnation_;
  draw.limit = *upstream.request_limit;
  draw.stated_at = StoreTimeAt(clock_, upstream.limit_stated_at);
  draw.wanted = upstream.permits_wanted;
  draw.now = StoreTimeAt(clock_, now);
  const int drawn = DrawTokens(budget, draw);
  account.next_draw = now + kDrawInterval;
  if (drawn == 0) {
    // Other hosts can only have drawn more than this host knows of, so the budget is empty.
    account.unanswered_since = absl::InfiniteFuture();
    account.next_draw = now + std::max(kDrawInterval, TimeToNextToken(budget));
    AddCounter(GlobalMetrics(), "request_permits", "none_left");
    return false;
  }
  account.call_pending = true;
  Transaction transaction;
  transaction.conditions = {{BudgetRow(id), account.version}};
  transaction.writes = {{BudgetRow(id), EncodeBudget(budget)}};
  store_.Commit(transaction, [this, id, budget, drawn, now](const StoreReply& reply) {
    OnDrawn(id, budget, drawn, now, reply);
  });
  return true;
}

void RequestLimits::ReadBudget(const std::string& id) {
  Account& account = accounts_[id];
  account.call_pending = true;
  account.next_draw = loop_.Now() + kDrawInterval;
  const RowKey row = BudgetRow(id);
  store_.Get({row.table, row.partition, row.key, "", 1}, [this, id](const StoreReply& reply) {
    Account& found = accounts_[id];
    found.call_pending = false;
    if (reply.outcome != StoreOutcome::kOk) return;
    UpdateStoreClock(clock_, reply, loop_.Now());
    AdoptRow(found, reply);
    found.next_draw = absl::InfinitePast();
    UpstreamState* const upstream = directory_.Find(id);
    if (upstream != nullptr && upstream->permits_wanted > 0 && upstream->request_limit) Draw(*upstream);
  });
}

// A budget that does not exist begins empty, at the time of the reply.
void RequestLimits::AdoptRow(Account& account, const StoreReply& reply) {
  const std::optional<RequestBudget> read =
      reply.rows.empty() ? std::nullopt : DecodeBudget(reply.rows.front().value);
  account.version = reply.rows.empty() ? 0 : reply.rows.front().version;
  RequestBudget empty;
  empty.refilled_at = reply.store_time;
  account.budget = read.value_or(empty);
  account.must_read = false;
}

void RequestLimits::OnDrawn(const std::string& id, const RequestBudget& written, int drawn, absl::Time sent,
                            const StoreReply& reply) {
  Account& account = accounts_[id];
  account.call_pending = false;
  UpdateStoreClock(clock_, reply, loop_.Now());
  UpstreamState* const upstream = directory_.Find(id);
  if (reply.outcome == StoreOutcome::kConflict) {
    AdoptRow(account, reply);
    if (++account.conflicts > kMaxConflicts) {
      account.conflicts = 0;
    } else if (upstream != nullptr && upstream->request_limit) {
      account.next_draw = absl::InfinitePast();
      Draw(*upstream);
    }
    return;
  }
  if (reply.outcome != StoreOutcome::kOk) {
    // The tokens may have been drawn. They are not used, and the row is read again.
    account.must_read = true;
    AddCounter(GlobalMetrics(), "request_permits", "no_answer");
    return;
  }
  account.conflicts = 0;
  account.budget = written;
  account.version = reply.version;
  const absl::Time until = sent + kTokenLifetime;
  if (until <= loop_.Now()) return;  // an answer as late as this counts as none
  account.unanswered_since = absl::InfiniteFuture();
  if (upstream == nullptr || !upstream->request_limit) return;
  Grant(*upstream, drawn, until, "store");
  if (on_granted) on_granted();
}

void RequestLimits::GrantDuringOutage(Account& account, UpstreamState& upstream) {
  const absl::Time now = loop_.Now();
  if (HasPermit(upstream, now)) return;
  const ServiceSpec* const spec = directory_.FindService(upstream.entry.service);
  const int models = spec == nullptr ? 0 : static_cast<int>(spec->models.size());
  const double rate = OutageRate(account.budget, incarnation_, *upstream.request_limit, models);
  const absl::Duration interval = rate > 0 ? absl::Seconds(1 / rate) : absl::InfiniteDuration();
  const bool due = now - std::max(account.outage_refilled_at, account.unanswered_since) >= interval;
  // A limit that was stated long ago may have been lifted since, and only an answer can show that.
  const bool probe_due =
      now - upstream.limit_stated_at >= kOldLimitAge && now - account.outage_refilled_at >= kOldLimitAge;
  if (!due && !probe_due) return;
  account.outage_refilled_at = now;
  Grant(upstream, 1, now + kTokenLifetime, "outage");
}

void RequestLimits::Grant(UpstreamState& upstream, int permits, absl::Time until, std::string_view source) {
  upstream.permits = (loop_.Now() < upstream.permits_until ? upstream.permits : 0) + permits;
  upstream.permits_until = until;
  AddCounter(GlobalMetrics(), "request_permits", source, permits);
  LogEventLine(LogLevel::kInfo, LogEvent::kPermitsGranted,
               {{"upstream", upstream.entry.id},
                {"limit", *upstream.request_limit},
                {"wanted", upstream.permits_wanted},
                {"granted", permits},
                {"source", source}});
  upstream.permits_wanted = 0;
}

void RequestLimits::Sweep() {
  if (accounts_.empty()) return;  // left to the hosts that draw
  std::erase_if(accounts_, [this](const std::pair<const std::string, Account>& it) {
    return !it.second.call_pending && directory_.Find(it.first) == nullptr;
  });
  SweepFrom("");
}

void RequestLimits::SweepFrom(const std::string& after) {
  store_.ListPartitions(std::string(kBudgetTable), after, [this](const StoreReply& reply) {
    if (reply.outcome != StoreOutcome::kOk) return;
    for (const Row& it : reply.rows) {
      if (directory_.Find(it.id.partition) == nullptr) RemoveIfUnused(it.id.partition);
    }
    if (reply.has_more && !reply.rows.empty()) SweepFrom(reply.rows.back().id.partition);
  });
}

void RequestLimits::RemoveIfUnused(const std::string& id) {
  const RowKey row = BudgetRow(id);
  store_.Get({row.table, row.partition, row.key, "", 1}, [this, row](const StoreReply& reply) {
    UpdateStoreClock(clock_, reply, loop_.Now());
    if (reply.outcome != StoreOutcome::kOk || reply.rows.empty() || !clock_.known) return;
    const std::optional<RequestBudget> budget = DecodeBudget(reply.rows.front().value);
    if (budget && StoreTimeAt(clock_, loop_.Now()) - budget->refilled_at < kBudgetRetention) return;
    Transaction transaction;
    transaction.conditions = {{row, reply.rows.front().version}};
    transaction.removals = {row};
    store_.Commit(transaction, [](const StoreReply&) {});  // if it fails, the next sweep tries again
  });
}

}  // namespace oleander::serving
