// What this host knows of routes, services and upstreams: the policy in force, the list of upstreams, and its
// own observations of each. Soft state: it may be late, and then costs speed, never a promise.
#ifndef OLEANDER_SRC_SERVING_DIRECTORY_H_
#define OLEANDER_SRC_SERVING_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "oleander/serving.h"

namespace oleander::serving {

struct UpstreamState {
  UpstreamEntry entry;  //
  bool listed = true;   // false: removed from the list; kept while calls are in progress
  absl::Time removal_due = absl::InfiniteFuture();  // a removal that is not believed yet takes effect then
  int in_flight = 0;                                // calls of this host
  int waiting_here = 0;                             // of `in_flight`, calls without a head yet
  int failures_in_row = 0;                          //
  absl::Time avoid_until = absl::InfinitePast();    // after failures or refusals
  ReportedLoad load;                                // newest report
  absl::Time load_at = absl::InfinitePast();
  int in_flight_at_load = 0;                        // of this host, when the report was made
  absl::Time load_asked_at = absl::InfinitePast();  // last question for its load
  bool load_asked = false;                          // that question has no answer yet
  double latency_ms = 0;                            // moving average of unary calls; 0: none yet
  absl::Time latency_at = absl::InfinitePast();
  double gap_ms = 0;  // moving average of the time between events of a stream; 0: none yet
  absl::Time gap_at = absl::InfinitePast();
  double pace_ms = 0;     // long average of the same; engines of one service differ; 0: none yet
  bool pace_own = false;  // measured here, not learned from another host
  std::map<std::string, std::int64_t> observed_weights;  // version by model, from answers
  std::map<std::string, absl::Time> loading_until;       // by model: refused while an order is carried out
};

class Directory {
 public:
  // Returns false if the version is not newer than the one in force; nothing is changed then.
  bool ApplyPolicy(Policy policy);
  const Policy& PolicyInForce() const { return policy_; }
  // The route with the longest prefix that begins the path of `target`; nullptr: none.
  const Route* FindRoute(std::string_view host, std::string_view target) const;
  const ServiceSpec* FindService(std::string_view name) const;

  // Adds or changes one upstream.
  void ApplyUpstream(const UpstreamEntry& entry);
  // Takes an upstream off the list, at once or at `due`.
  void RemoveUpstream(const std::string& id, absl::Time now, absl::Time due);
  // Carries out removals that are due and forgets unused upstreams. Call it a few times a second.
  void Expire(absl::Time now);

  UpstreamState* Find(const std::string& id);
  // Upstreams of a service that may get new work, in the order of their ids. Valid until Generation()
  // changes.
  const std::vector<UpstreamState*>& Usable(std::string_view service);
  // Grows with each change of what Usable returns.
  std::uint64_t Generation() const { return generation_; }

  // Newest version that each trainer has named.
  void NameVersion(const std::string& model, std::int64_t version);
  const std::map<std::string, std::int64_t>& NamedVersions() const { return named_versions_; }

 private:
  void ListChanged();

  Policy policy_;
  std::map<std::string, UpstreamState> upstreams_;
  std::map<std::string, std::int64_t> named_versions_;
  std::uint64_t generation_ = 1;
  std::map<std::string, std::vector<UpstreamState*>, std::less<>> usable_;  // made when asked for
};

// Version of the model's weights that the upstream is believed to hold; 0: not known.
std::int64_t WeightsOf(const UpstreamState& upstream, const std::string& model);

// ---- Observations -----------------------------------------------------------------------------------------

void ObserveHead(UpstreamState& upstream, const AnswerHead& head, const std::string& model, absl::Time now);
void ObserveLoad(UpstreamState& upstream, const ReportedLoad& load, absl::Time now);
void ObserveLatency(UpstreamState& upstream, absl::Duration latency, absl::Time now);
void ObserveEventGap(UpstreamState& upstream, absl::Duration gap, absl::Time now);
// Learns an engine's pace from another host, unless this host has measured it.
void LearnPace(UpstreamState& upstream, double pace_ms);
// A call failed or was refused: avoid the upstream for a time that grows with each failure in a row.
void ObserveFailure(UpstreamState& upstream, absl::Time now);
// The upstream said that it did not run a request: it is full for a moment.
void ObserveRefusal(UpstreamState& upstream, absl::Time now);
// A call ended without an answer that can be used.
void ObserveNoAnswer(UpstreamState& upstream, CallEnd end, absl::Time now);
void ObserveSuccess(UpstreamState& upstream);

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_DIRECTORY_H_
