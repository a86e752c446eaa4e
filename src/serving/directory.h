// Routes, services and upstreams known to this host: the policy in force, the list of upstreams, and what
// this host has observed of each upstream. Soft state: outdated data slows requests down but breaks no
// guarantee.
#ifndef OLEANDER_SRC_SERVING_DIRECTORY_H_
#define OLEANDER_SRC_SERVING_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "oleander/serving.h"
#include "serving/workspaces.h"

namespace oleander::serving {

struct UpstreamState {
  UpstreamEntry entry;     //
  bool registered = true;  // in the list of upstreams; false: removed, kept while calls are in progress
  absl::Time removal_due = absl::InfiniteFuture();  // when a removal that is not confirmed yet takes effect
  bool states_leaving = false;  // an answer of this start of the upstream has stated that it leaves
  absl::Time leaves_at = absl::InfiniteFuture();      // when it will be gone, as far as it has said
  bool departure_asked = false;                       // it has been asked when
  int in_flight = 0;                                  // calls from this host
  int sent_since_log = 0;                             // calls started since the last line about the rate
  int waiting_here = 0;                               // calls among `in_flight` without a response head yet
  int failures_in_row = 0;                            // consecutive failures
  absl::Time avoid_until = absl::InfinitePast();      // set after failures and refusals
  ReportedLoad load;                                  // newest reported load
  absl::Time load_at = absl::InfinitePast();          // time of that report
  int in_flight_at_load = 0;                          // `in_flight` at the time of that report
  absl::Time load_queried_at = absl::InfinitePast();  // time of the last load query
  bool load_query_pending = false;                    // that query has not been answered yet
  double latency_ms = 0;                              // moving average for unary calls; 0: no sample yet
  absl::Time latency_at = absl::InfinitePast();       // time of the newest sample
  double gap_ms = 0;  // moving average of the time between stream events; 0: no sample yet
  absl::Time gap_at = absl::InfinitePast();  // time of the newest sample
  double pace_ms = 0;  // long-term average of the same, which differs between engines; 0: unknown
  bool pace_measured_here = false;      // `pace_ms` was measured by this host, not received from another one
  std::optional<double> request_limit;  // requests/s from all hosts, as last stated; nullopt: no limit
  absl::Time limit_stated_at = absl::InfinitePast();     // time of the newest answer with a limit
  int permits = 0;                                       // calls that this host may start despite the limit
  absl::Time permits_until = absl::InfinitePast();       // the permits are invalid from then on
  int permits_wanted = 0;                                // calls that wait for a permit, as last requested
  std::map<std::string, std::int64_t> observed_weights;  // version by model, as last seen
  std::map<std::string, absl::Time> unavailable_until;   // by model; no new items until then: full or loading
};

class Directory {
 public:
  // Returns false, and changes nothing, if `policy` is not newer than the one in force.
  bool ApplyPolicy(Policy policy);
  const Policy& PolicyInForce() const { return policy_; }
  // Index of the policy's workspaces. The policy itself does not keep their keys.
  const WorkspaceIndex& Workspaces() const { return workspaces_; }
  // Returns the route of `host` with the longest prefix of the path in `target`, or nullptr.
  const Route* FindRoute(std::string_view host, std::string_view target) const;
  const ServiceSpec* FindService(std::string_view name) const;

  // Adds or updates an upstream.
  void ApplyUpstream(const UpstreamEntry& entry);
  // Removes an upstream from the list at `due`, or at once if `due` has passed.
  void RemoveUpstream(const std::string& id, absl::Time now, absl::Time due);
  // Applies due removals and deletes removed upstreams without calls. Call it a few times a second.
  void Expire(absl::Time now);
  // Requests permits for `calls` calls that this host would start at an upstream with a request limit.
  // Permits are granted later, if at all. Returns false if it is known that none will be granted soon.
  bool WantPermits(UpstreamState& upstream, int calls);
  // Called by WantPermits, with the same result; empty: no permit is ever granted.
  std::function<bool(UpstreamState&)> on_permits_wanted;
  // Logs how many calls this host has started at each upstream with a request limit since the last call. The
  // sum over the lines of all hosts is what the upstream got.
  void LogRates();

  UpstreamState* Find(const std::string& id);
  // Records what the head of an answer says about the upstream. Ignores answers of another start of it than
  // the one listed: `started_ms` is that of the entry when the request was sent, at `sent_at`. `model`: the
  // one that the request was for; empty: none.
  void ObserveAnswer(const std::string& id, std::int64_t started_ms, const AnswerHead& head,
                     const std::string& model, absl::Time sent_at, absl::Time now);
  // Records that this start of the upstream has stated that it leaves. `source`: "answer" or "report".
  void ObserveLeaving(const std::string& id, std::int64_t started_ms, std::string_view source,
                      absl::Time sent_at, absl::Time now);
  // Upstreams of a service that accept new work, sorted by id: those that do not leave. The pointers are
  // valid until Generation() changes.
  const std::vector<UpstreamState*>& Usable(std::string_view service);
  // Increases whenever the result of Usable changes for any service.
  std::uint64_t Generation() const { return generation_; }

  // Records that a trainer announced `version` of a model; a version older than the recorded one is ignored.
  void RecordAnnouncedVersion(const std::string& model, std::int64_t version);
  const std::map<std::string, std::int64_t>& AnnouncedVersions() const { return announced_versions_; }

 private:
  void OnListChanged();

  Policy policy_;
  WorkspaceIndex workspaces_;
  std::map<std::string, UpstreamState> upstreams_;
  std::map<std::string, std::int64_t> announced_versions_;
  std::uint64_t generation_ = 1;
  std::map<std::string, std::vector<UpstreamState*>, std::less<>> usable_;  // by service; computed on demand
};

// False if the upstream limits its requests and this host has no valid permit for another one.
bool HasPermit(const UpstreamState& upstream, absl::Time now);
// Records a call that this host starts at the upstream, and uses up a permit if the upstream limits its
// requests. Everything that sends requests of callers or items to an upstream checks HasPermit and calls
// this.
void RecordStart(UpstreamState& upstream);

// Version of the model's weights that the upstream was last seen with; 0: unknown.
std::int64_t KnownWeightsVersion(const UpstreamState& upstream, const std::string& model);

// ---- Observations -----------------------------------------------------------------------------------------

// True if the upstream's registration or one of its answers says that it leaves.
bool IsLeaving(const UpstreamState& upstream);
// `sent_at`: when the answered request was sent.
void ObserveHead(UpstreamState& upstream, const AnswerHead& head, const std::string& model,
                 absl::Time sent_at, absl::Time now);
// Records the request limit that an answer states. A success without a limit lifts it, but only if its
// request was sent after the limit was last stated: answers on different connections can overtake each other.
void ObserveRequestLimit(UpstreamState& upstream, const AnswerHead& head, absl::Time sent_at, absl::Time now);
void ObserveLoad(UpstreamState& upstream, const ReportedLoad& load, absl::Time now);
void ObserveLatency(UpstreamState& upstream, absl::Duration latency, absl::Time now);
void ObserveEventGap(UpstreamState& upstream, absl::Duration gap, absl::Time now);
// Takes over the pace that another host measured, unless this host has measured it itself.
void AdoptPace(UpstreamState& upstream, double pace_ms);
// Records a failed call: the upstream is avoided for a time that doubles with each consecutive failure, up to
// a limit.
void ObserveFailure(UpstreamState& upstream, absl::Time now);
// Records that the upstream refused a request without running it: it is avoided briefly, as it is full.
void ObserveRefusal(UpstreamState& upstream, absl::Time now);
// Records a call that ended without a usable response.
void ObserveNoAnswer(UpstreamState& upstream, CallEnd end, absl::Time now);
void ObserveSuccess(UpstreamState& upstream);

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_DIRECTORY_H_
