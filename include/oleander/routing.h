// Upstream selection, scheduling of the requests queued at an engine, budgets for hedges and retries.
//
// Decisions are functions of an immutable RoutingView, which read-copy-update replaces as a whole.
// Counters that change with each request are atomics in UpstreamStats, which outlive the views. The request
// path takes no lock.
#ifndef OLEANDER_ROUTING_H_
#define OLEANDER_ROUTING_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "oleander/errors.h"
#include "oleander/membership.h"
#include "oleander/policy.h"
#include "oleander/types.h"
#include "oleander/upstream.h"

namespace oleander {

// ---- Per-upstream statistics of this host

// Maximum number of calls in flight per upstream whose start time is stored. Further calls are only counted.
inline constexpr int kMaxTimedCalls = 16;

// Written by request threads without locks. Times are nanoseconds since the Unix epoch.
struct UpstreamStats {
  std::atomic<int> in_flight{0};                 // requests sent by this host
  std::atomic<std::int64_t> latency_ns{0};       // moving average; services: per call, engines: per token
  std::atomic<std::int64_t> progress_at_ns{0};   // time of the last byte received or the last call finished
  std::atomic<std::int64_t> oldest_start_ns{0};  // start of the oldest call in flight; 0: none
  std::atomic<int> failures_in_row{0};           //
  std::atomic<std::int64_t> probe_at_ns{0};      // earliest time of the next probe while slow or failing
  // Doubles up to 8 s while probes find no recovery; starts at 1 s for services and at 4 s for engines.
  std::atomic<std::int64_t> probe_interval_ns{0};
  std::atomic<bool> probe_pending{false};    // the next call to start is a probe
  std::atomic<std::int64_t> baseline_ns{0};  // services: baseline latency; 0: unknown
  // Services: adaptive limit of calls in flight, in 1/16 calls; 0: no limit.
  std::atomic<std::int32_t> limit_x16{0};
  std::atomic<std::int64_t> limit_lowered_at_ns{0};  // services: last time the limit was lowered
  std::array<std::atomic<std::int64_t>, kMaxTimedCalls> starts{};  // of calls in flight; 0: free slot
};

// One call in flight. Held by the calling code from StartCall to FinishCall.
struct InFlightCall {
  std::int64_t start_ns = 0;     //
  std::int64_t progress_ns = 0;  // time of the last progress; 0: none yet
  int timed_index = -1;          // index in UpstreamStats::starts; -1: not timed
  bool probe = false;            //
};
// kUnknown: cancelled, or ended for a reason unrelated to the upstream's health (for example the slower call
// of a hedged pair, or a caller that disconnected).
// kStalled: cancelled after StallLimit without progress and retried elsewhere; marks the upstream as slow.
enum class CallOutcome { kOk, kFailed, kStalled, kUnknown };

// These functions update UpstreamStats and may be called from any thread. Call StartCall directly after the
// upstream is selected and before the request is sent, so that concurrent selections count the call.
InFlightCall StartCall(UpstreamStats& stats, absl::Time now);
// Records that bytes arrived. Engines: the time since the last progress, divided by the number of new tokens
// `tokens`, is a sample of the latency per token. The time to the first token is not a sample, because it
// includes queueing and prompt processing.
void RecordProgress(UpstreamStats& stats, InFlightCall& call, int tokens, absl::Time now);
// Services: adds the call's latency to the average and adjusts the limit of calls in flight: lowers it by a
// tenth while the average is above 1.5 times the baseline latency, else raises it by one per `limit` calls.
// Engines: only RecordProgress records latency.
void FinishCall(UpstreamStats& stats, const InFlightCall& call, UpstreamKind kind, CallOutcome outcome,
                absl::Time now);

struct UpstreamView {
  Upstream upstream;                        //
  Policy policy;                            // the effective policy of this upstream
  std::shared_ptr<UpstreamStats> stats;     // shared with older and newer views
  HostId responsible_host;                  // engines: host that queues for it; empty: none in its zone
  EngineLoad load;                          // engines: last load report; lags behind
  int queued = 0;                           // engines: queued at the responsible host; lags behind
  int assigned = 0;                         // engines: queued or running at the responsible host; lags behind
  std::optional<absl::Time> leaving_since;  // set while the upstream is leaving
  int other_load = 0;                       // engines: requests of other hosts; set by BuildViewIndexes
};

// Maps each prefix hash to an engine in constant time; most prefixes keep their engine when the set changes
// (Maglev hashing). All hosts with the same set of live engines compute the same table.
struct PrefixTable {
  std::vector<UpstreamId> engines;       // the set that the table was computed for, sorted
  std::vector<std::uint16_t> positions;  // indexes in `engines`; size is a prime
};

// Indexes of one pool, computed by BuildViewIndexes from RoutingView::upstreams.
struct PoolIndex {
  std::vector<int> usable;                      // live upstreams; only those of this zone while it is cut off
  std::vector<int> local;                       // the part of `usable` in this host's zone
  bool all_cut_off = false;                     // the live upstreams are all in zones that cannot be reached
  std::int64_t median_ns = 0;                   // latency when BuildViewIndexes ran; 0: unknown
  double mean_load = 0;                         // engines: other_load + in_flight when BuildViewIndexes ran
  std::shared_ptr<const PrefixTable> prefixes;  // engines only; nullptr if `usable` is empty
  std::vector<int> prefix_engines;              // index in upstreams of each of PrefixTable::engines
};

// Immutable once published.
struct RoutingView {
  std::vector<UpstreamView> upstreams;                    //
  absl::flat_hash_map<UpstreamId, int> by_id;             // index in `upstreams`
  absl::flat_hash_map<PoolId, std::vector<int>> by_pool;  // indexes in `upstreams`, any state
  std::vector<Member> members;                            // live hosts
  ZoneId zone;                                            // of this host
  bool zone_cut_off = false;                              // the other zones cannot be reached
  std::int64_t config_version = 0;                        //
  Policy policy;                                          // fleet-wide default
  std::vector<PolicyException> exceptions;                //
  absl::flat_hash_map<PoolId, PoolIndex> pools;           // set by BuildViewIndexes
};
// Sets by_id, by_pool, pools and UpstreamView::other_load from `upstreams`. Creates the stats of upstreams
// that have none. Reuses the prefix tables of `previous` (may be nullptr) for pools whose set of live engines
// is unchanged. For pools of more than 16 upstreams, decisions use the median and mean computed here, so
// publish a new view at least once a second.
void BuildViewIndexes(RoutingView& view, const RoutingView* previous);

// Health of an upstream according to this host's own calls.
enum class UpstreamHealth { kHealthy, kSlow, kFailing };
// Slow: latency above 3 times the pool's median, or no progress for longer than 3 times the median (at least
// 50 ms). For a service, no progress means that its oldest call in flight has that age; for an engine whose
// streams have begun, that no token arrived for that long. Failing: 3 consecutive failed calls. While the
// median is unknown (0), no upstream counts as slow.
UpstreamHealth HealthOf(const UpstreamView& upstream, std::int64_t pool_median_ns, absl::Time now);
// Lower median, in ns, of the known latencies of the pool's usable upstreams; 0: unknown. Computed on each
// call for pools of up to 16 upstreams, else the value of the last BuildViewIndexes.
std::int64_t MedianLatency(const RoutingView& view, const PoolId& pool);

// ---- Selection

// Returns the index of the cheaper of two random live upstreams of the pool; cost is calls in flight times
// latency, and the host's own zone wins ties. Skips leaving, failing and `exclude`d upstreams, except that a
// slow or failing one gets a probe when one is due and `exclude` is empty. Never blocks. Errors (nothing was
// sent): kNoUpstream, kOverloaded (all at their limit, either the policy's or the adaptive one),
// kZoneIsolated (all are in other zones, which cannot be reached).
leaf::result<int> PickService(const RoutingView& view, const PoolId& pool,
                              const std::vector<UpstreamId>& exclude, absl::Time now,
                              std::mt19937_64& random);

// Maximum time without a token, once a stream has begun, before the stream is cancelled (FinishCall with
// kStalled) and resumed on another engine, subject to the retry budget. InfiniteDuration while the pool's
// median is unknown.
absl::Duration StallLimit(const RoutingView& view, const PoolId& pool);

struct RequestShape {
  PoolId model;                   //
  std::uint64_t prefix_hash = 0;  // hash of the prompt's prefix; 0: no affinity
  int expected_tokens = 0;        // 0: unknown
  WorkClass work_class = WorkClass::kRollout;
  std::vector<UpstreamId> exclude;  // upstreams already tried
  Version min_version = 0;          // engines that report an older version are skipped; 0: any
};
// Prefers the engine that the prefix maps to, then up to 3 fixed alternates; an engine is passed over if its
// load exceeds about affinity_load_bound times the mean. Otherwise returns the better of two random engines.
// Load is this host's requests in flight plus the requests of other hosts by the last report. Skips engines
// without a responsible host. Errors as for PickService; kOverloaded: the queues of all engines considered
// are full.
leaf::result<int> PickEngine(const RoutingView& view, const RequestShape& shape, absl::Time now,
                             std::mt19937_64& random);
// Maximum number of generations that each of `jobs` active jobs should have dispatched at a time: its share
// of the usable engines' training slots, plus a few queued per engine. Dispatching more assigns work to
// engines too early: some engines then run out of work while others still have queues.
int DispatchWindow(const RoutingView& view, const PoolId& model, int jobs);
std::uint64_t PrefixHash(const std::string& prompt, int prefix_bytes = 256);

// ---- Budgets

// Allows `ratio` times as many SpendBudget calls as EarnBudget calls over a sliding window of about 10 s. The
// floor allows retries on a host with few requests.
struct Budget {
  double ratio = 0.1;  //
  int floor = 2;       // always allowed per window
  std::atomic<std::int64_t> window_start_ns{0};
  std::atomic<std::int64_t> earned{0};
  std::atomic<std::int64_t> spent{0};
  std::atomic<std::int64_t> previous_earned{0};  // in the previous window
  std::atomic<std::int64_t> previous_spent{0};
};
void EarnBudget(Budget& budget, absl::Time now);
bool SpendBudget(Budget& budget, absl::Time now);

// Histogram of the latencies of recent calls to a pool; each bucket is 1.2 times as wide as the one before.
// Determines the delay after which a call is hedged.
struct LatencyWindow {
  std::array<std::atomic<std::uint32_t>, 128> buckets{};
  std::atomic<std::uint32_t> total{0};
};
void RecordLatency(LatencyWindow& window, absl::Duration latency);
// InfiniteDuration if there are fewer than 20 samples.
absl::Duration LatencyPercentile(const LatencyWindow& window, double fraction);
// Delay after which an idempotent call is hedged: the 95th percentile, or the median for a probe, because a
// probe is likely to be slow.
absl::Duration HedgeDelay(const LatencyWindow& window, const InFlightCall& call);

// ---- Scheduling at one engine

struct QueuedWork {
  std::uint64_t id = 0;                          //
  WorkClass work_class = WorkClass::kRollout;    //
  JobId job;                                     // empty for interactive work
  std::int64_t step = 0;                         //
  int expected_tokens = 0;                       // remaining tokens
  double weight = 1;                             // fair-share weight of the job
  absl::Time deadline = absl::InfiniteFuture();  // refused if it has not started by then
  int slice_tokens = 0;                          // maximum new tokens in this turn; 0: no limit
  int group_unfinished = 0;                      // unfinished samples of its group; lower runs first
  bool resumed = false;                          // a later slice of a generation; runs before new work
};

// Queue of one engine. Interactive work runs first, in order of arrival. Training work is shared among jobs
// by weighted fair queueing over expected tokens. Within a job the order is: oldest step, resumed before new,
// longest, group with the fewest unfinished samples.
// Resumed work precedes new work because lengths are predictions: a generation that exceeds its prediction
// would otherwise wait behind all others and delay its group and its step.
// max_length applies to interactive and to training work separately, so that training cannot make a host
// refuse interactive work. Not thread-safe.
struct EngineQueue {
  int max_in_flight = 16;                                 //
  int reserved_interactive = 2;                           //
  int max_length = 4096;                                  //
  int running_interactive = 0;                            //
  int running_training = 0;                               //
  std::deque<QueuedWork> interactive;                     //
  std::map<JobId, std::vector<QueuedWork>> training;      // one heap per job
  std::map<JobId, double> virtual_time;                   // tokens served / weight, per job
  double virtual_now = 0;                                 //
  int training_length = 0;                                // number of entries in `training`
  absl::Time earliest_deadline = absl::InfiniteFuture();  // lower bound of the deadlines of all queued work
};
// Estimated remaining tokens of a generation with a predicted total of `expected` tokens, of which `received`
// have arrived. Lengths are heavy-tailed: the remaining length of a generation that exceeds its prediction
// grows with the length so far, so it must not count as nearly finished.
int ExpectedRemaining(int expected, int received);
// Errors: kOverloaded (the queue is full).
leaf::result<void> Enqueue(EngineQueue& queue, const QueuedWork& work);
// Removes and returns the next work item, if there is a free slot for its class. The caller starts it and
// calls FinishWork when it ends.
std::optional<QueuedWork> StartNext(EngineQueue& queue);
void FinishWork(EngineQueue& queue, const QueuedWork& work, int tokens_served);
// Removes and returns the work whose deadline has passed.
std::vector<QueuedWork> RemoveExpired(EngineQueue& queue, absl::Time now);
bool RemoveQueued(EngineQueue& queue, std::uint64_t id);
int QueueLength(const EngineQueue& queue);

// ---- Snapshot by read-copy-update

// Holds the current RoutingView. Readers take no lock. Publish waits until all readers of the old view are
// done and frees it. A thread that holds a ReadView must not call Publish.
struct RoutingSnapshot;
struct RoutingSnapshotDeleter {
  void operator()(RoutingSnapshot* snapshot) const;
};
using RoutingSnapshotPtr = std::unique_ptr<RoutingSnapshot, RoutingSnapshotDeleter>;
RoutingSnapshotPtr MakeRoutingSnapshot(std::unique_ptr<const RoutingView> view);
void Publish(RoutingSnapshot& snapshot, std::unique_ptr<const RoutingView> view);

// Keeps the current view alive during one decision on one thread. The first ReadView of a thread registers
// the thread with liburcu.
class ReadView {
 public:
  explicit ReadView(const RoutingSnapshot& snapshot);
  ~ReadView();
  ReadView(const ReadView&) = delete;
  ReadView& operator=(const ReadView&) = delete;
  const RoutingView& operator*() const { return *view_; }
  const RoutingView* operator->() const { return view_; }

 private:
  const RoutingView* view_;
};

}  // namespace oleander

#endif  // OLEANDER_ROUTING_H_
