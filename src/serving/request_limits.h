// Keeps the limits of upstreams that state how many requests per second they accept from all hosts together.
//
// A sender asks with Directory::WantPermits when it has work for such an upstream. This class draws tokens
// from the upstream's budget in the store (request_budget.h) and turns them into permits of this host; no
// call starts without one (HasPermit, RecordStart). The budget is one row per upstream, in a partition of its
// own, written under the condition that no other host has drawn in the meantime, so the sum over all hosts
// holds whatever their number. A host that the store does not answer uses OutageRate.
#ifndef OLEANDER_SRC_SERVING_REQUEST_LIMITS_H_
#define OLEANDER_SRC_SERVING_REQUEST_LIMITS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "oleander/serving.h"
#include "serving/decisions.h"
#include "serving/directory.h"
#include "serving/request_budget.h"
#include "serving/store_clock.h"

namespace oleander::serving {

// Requests permits for `calls` calls of a service from one of its upstreams that limit their requests, other
// than those that `choice` excludes. Returns false if none of them will grant one soon.
bool WantPermitOfAny(Directory& directory, std::string_view service, UnaryChoice choice, int calls);

class RequestLimits {
 public:
  // `incarnation`: of this host. From now on, answers the directory's wants.
  RequestLimits(Loop& loop, Store& store, Directory& directory, std::string incarnation);
  // Called after permits have been granted, never from inside WantPermits.
  std::function<void()> on_granted;
  // Removes the budgets of upstreams that are gone. Call it about once a minute.
  void Sweep();

 private:
  // What this host knows of an upstream's budget.
  struct Account {
    bool call_pending = false;
    bool must_read = true;                // `budget` or `version` may be wrong
    std::optional<RequestBudget> budget;  // as last read or written; nullopt: not read yet
    std::int64_t version = 0;             // of that row; 0: it does not exist
    int conflicts = 0;                    // in a row
    absl::Time next_draw = absl::InfinitePast();
    absl::Time wanted_at = absl::InfinitePast();           // last want of a sender
    absl::Time unanswered_since = absl::InfiniteFuture();  // wanted without a useful answer since then
    absl::Time outage_refilled_at = absl::InfinitePast();
  };

  bool Draw(UpstreamState& upstream);
  void ReadBudget(const std::string& id);
  void OnDrawn(const std::string& id, const RequestBudget& written, int drawn, absl::Time sent,
               const StoreReply& reply);
  void AdoptRow(Account& account, const StoreReply& reply);
  void GrantDuringOutage(Account& account, UpstreamState& upstream);
  void Grant(UpstreamState& upstream, int permits, absl::Time until, std::string_view source);
  void SweepFrom(const std::string& after);
  void RemoveIfUnused(const std::string& id);

  Loop& loop_;
  Store& store_;
  Directory& directory_;
  std::string incarnation_;
  StoreClock clock_;
  std::map<std::string, Account> accounts_;  // by upstream id
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_REQUEST_LIMITS_H_
