// Scoring calls: each rates the text of one item at a plain service that callers' lookups use as well.
//
// A call waits here until an upstream has a slot that lookups do not need and the host is below its limit
// (PickForScoring, ScoringLimit). It is sent again after a refusal, a broken answer or silence; answers that
// say that it failed are counted, and end it when its route's attempts are used up.
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

using ScoringId = std::uint64_t;  // 0 is no call

struct ScoringOutcome {
  std::string score;  // signature of the answer; empty: the route's attempts have failed
  std::string upstream;
  int attempts = 0;  // sent to an upstream
  int failures = 0;  // answers that say that it failed
};

class ScoringCalls {
 public:
  using Done = std::function<void(const ScoringOutcome&)>;

  ScoringCalls(Loop& loop, UpstreamLink& link, Directory& directory, std::string zone);
  ~ScoringCalls();
  // `failures`: answers that an earlier owner of the item had; `least_attempts`: failures that are borne at
  // any rate, whatever the scoring route says. `may_send`: asked before each attempt. `done` runs once, never
  // from inside this call.
  ScoringId Start(ScoringRequest request, int failures, int least_attempts, std::function<bool()> may_send,
                  Done done);
  // Upstreams stop working for it; `done` is not called.
  void Cancel(ScoringId id);
  // Answers that said that it failed, so far; 0 if there is no such call.
  int Failures(ScoringId id) const;
  // Sends what may be sent now. Called by itself when a call ends; call it every few milliseconds as well.
  void Dispatch();
  // While this host does not reach the store, upstreams of its own zone come first.
  void SetZoneAlone(bool alone) { zone_alone_ = alone; }
  int Open() const { return static_cast<int>(calls_.size()); }

 private:
  struct Attempt;
  struct Call;

  Call* Find(ScoringId id);
  UpstreamState* Pick(const Call& call, const Route& route, const std::string& excluded);
  void Send(Call& call, const Route& route, UpstreamState& upstream);
  void WatchForHedge(ScoringId id, absl::Duration delay);
  void OnAttemptEnd(ScoringId id, CallId attempt, CallEnd end);
  void CancelAttempts(Call& call);
  void Finish(Call& call, std::string score, const std::string& upstream);

  Loop& loop_;
  UpstreamLink& link_;
  Directory& directory_;
  std::string zone_;
  bool zone_alone_ = false;
  bool dispatching_ = false;
  ScoringLimit limit_;
  double hedges_left_ = 0;  // budget of second attempts; each first attempt adds a part of one
  int in_progress_ = 0;     // calls with an attempt
  ScoringId next_ = 1;
  std::map<ScoringId, std::unique_ptr<Call>> calls_;  // in the order of their start
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_SCORING_H_
