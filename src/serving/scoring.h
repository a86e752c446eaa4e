// Scoring calls. Each sends the text of one item to a service that also answers callers' lookups.
//
// A call waits at this host until an upstream has a slot that is not reserved for lookups and the host is
// below its limit (PickForScoring, ScoringLimit). It is retried after a refusal, a broken answer or a
// timeout. Answers that report a failure are counted, and end the call once the route's max_attempts is
// reached.
#ifndef OLEANDER_SRC_SERVING_SCORING_H_
#define OLEANDER_SRC_SERVING_SCORING_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "oleander/serving.h"
#include "serving/decisions.h"
#include "serving/directory.h"

namespace oleander::serving {

using ScoringId = std::uint64_t;  // 0: no call

struct ScoringOutcome {
  std::string score;  // signature of the answer; empty: all attempts of the route have failed
  std::string upstream;
  int attempts = 0;  // sent to an upstream
  int failures = 0;  // answers that report a failure
};

class ScoringCalls {
 public:
  using Done = std::function<void(const ScoringOutcome&)>;

  ScoringCalls(Loop& loop, UpstreamLink& link, Directory& directory, std::string zone);
  ~ScoringCalls();
  // `failures`: failures that an earlier owner of the item has counted. `min_attempts`: lower bound for the
  // number of failures that end the call, whatever max_attempts of the scoring route is. `may_send` is called
  // before each attempt. `done` is called once, never from inside Start.
  ScoringId Start(ScoringRequest request, int failures, int min_attempts, std::function<bool()> may_send,
                  Done done);
  // Cancels the call at its upstreams; `done` is not called.
  void Cancel(ScoringId id);
  // Answers so far that report a failure; 0 if there is no such call.
  int Failures(ScoringId id) const;
  // Sends the calls that may be sent now. Runs whenever a call ends; call it every few milliseconds as well.
  void Dispatch();
  // While this host does not reach the store, upstreams of its own zone are preferred.
  void SetZoneIsolated(bool isolated) { zone_isolated_ = isolated; }
  int Open() const { return static_cast<int>(calls_.size()); }

 private:
  struct Attempt;
  struct Call;

  Call* Find(ScoringId id);
  std::string ServiceFor(const Call& call, const Route& route) const;
  UpstreamState* Pick(const Call& call, const Route& route, const std::string& excluded);
  void WantPermit(const Call& call, const Route& route);
  void Send(Call& call, const Route& route, UpstreamState& upstream);
  void WatchForHedge(ScoringId id, absl::Duration delay);
  void OnAttemptEnd(ScoringId id, CallId attempt, CallEnd end);
  void CancelAttempts(Call& call);
  void Finish(Call& call, std::string score, const std::string& upstream);

  Loop& loop_;
  UpstreamLink& link_;
  Directory& directory_;
  std::string zone_;
  bool zone_isolated_ = false;
  bool dispatching_ = false;
  ScoringLimit limit_;
  double hedge_budget_ = 0;  // hedged attempts; each first attempt adds kHedgesPerCall
  int in_progress_ = 0;      // calls with an attempt in progress
  ScoringId next_ = 1;
  std::map<ScoringId, std::unique_ptr<Call>> calls_;  // in the order in which they were started
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_SCORING_H_
