// The state of one entry host and the functions shared between its source files.
//
// Locking:
//   control_mutex           membership, configuration, weights, load reports. Held for computation only,
//   never
//                           across I/O. The control thread and the handlers of peer messages take it.
//   JobEntry::mutex         one job's runner. Held during the runner's own table and object calls.
//   EngineSlotQueue::mutex  one engine's queue.
//   All other state is atomic, immutable after start, or read through the routing snapshot.
#ifndef OLEANDER_HOSTS_HOST_STATE_H_
#define OLEANDER_HOSTS_HOST_STATE_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "hosts/task_pool.h"
#include "oleander/calls.h"
#include "oleander/config.h"
#include "oleander/errors.h"
#include "oleander/jobs.h"
#include "oleander/lease.h"
#include "oleander/log_events.h"
#include "oleander/membership.h"
#include "oleander/metrics.h"
#include "oleander/peer_link.h"
#include "oleander/platform.h"
#include "oleander/routing.h"
#include "oleander/server.h"
#include "oleander/settings.h"
#include "oleander/types.h"
#include "oleander/upstream.h"
#include "oleander/weights.h"
#include "oleander/zones.h"

namespace oleander {

class HttpServer;

// ---- Queue of one engine, kept by the host that is responsible for the engine ----

struct EngineWaiter {
  absl::CondVar started_changed;  //
  bool started = false;           // guarded by the queue's mutex
};

struct EngineSlotQueue {
  absl::Mutex mutex;
  EngineQueue queue ABSL_GUARDED_BY(mutex);
  std::map<std::uint64_t, EngineWaiter*> waiters ABSL_GUARDED_BY(mutex);
  std::uint64_t next_id ABSL_GUARDED_BY(mutex) = 1;
  std::atomic<int> queued{0};    // copy of the queue length for the routing view
  std::atomic<int> assigned{0};  // running plus queued, for the routing view
};

// The queue state of an engine that another host is responsible for, as reported in the last part of a
// `generate` answer.
struct EngineHint {
  std::atomic<int> queued{0};
  std::atomic<int> assigned{0};
  std::atomic<Version> version{0};  // highest weight version seen in a chunk, also for own engines
};

// Per-upstream state that is kept when the routing view is rebuilt.
struct UpstreamEntry {
  std::shared_ptr<UpstreamStats> stats = std::make_shared<UpstreamStats>();
  std::shared_ptr<EngineSlotQueue> slots;  // engines only
  std::shared_ptr<EngineHint> hint;        // engines only
  EngineLoad load;                         // last load report
  bool load_in_flight = false;             // a load request is running
  absl::Time next_load = absl::InfinitePast();
  std::optional<absl::Time> leaving_since;
  UpstreamHealth health = UpstreamHealth::kHealthy;  // last state that was logged
  Policy policy;                                     // effective policy at policy_version
  std::int64_t policy_version = -1;                  // configuration version that `policy` was computed from
  std::string policy_scope;                          // "pool/zone" that `policy` was computed for
};

// Retry and hedge budgets and latencies of one pool. The control thread creates the entry while it builds the
// first view that contains the pool, and never removes it, so the request path can look it up without a lock.
struct PoolStats {
  Budget hedges;
  Budget retries;
  std::shared_ptr<LatencyWindow> latencies;  // kept when the budget ratios change
};
using PoolStatsMap = std::map<PoolId, std::shared_ptr<PoolStats>>;

// ---- Job ----

struct JobEntry {
  absl::Mutex mutex;
  absl::CondVar changed;   // after each tick and each finished attempt
  absl::CondVar tick_now;  // wakes the job's thread before its next regular tick
  JobRunner runner ABSL_GUARDED_BY(mutex);
  LeaseRow holder ABSL_GUARDED_BY(mutex);  // last lease row read by any thread of this host
  absl::Time holder_read_at ABSL_GUARDED_BY(mutex) = absl::InfinitePast();
  std::atomic<bool> held{false};         // this host holds the lease; copy of the runner's lease state
  std::atomic<bool> stop{false};         // ends the job's thread
  std::atomic<int> attempts_running{0};  // generations and scorings in flight
  std::atomic<std::uint64_t> epoch{0};   // incremented when the lease is lost; attempts of older epochs stop
  JobCounters exported;                  // counter values already added to the metrics; guarded by mutex
  std::thread thread;
};

// ---- The host ----

struct Host {
  Settings settings;
  std::int64_t incarnation = 0;  // start time in ms
  absl::Time started;

  // Ports. The table port is wrapped so that each successful call updates table_answer_ns.
  TablePort table;
  ObjectPort objects;
  ListPort list;
  EnginePort engines;
  ServicePort services;
  OncePorts once;
  TicketRegistry tickets;

  // Network servers and clients.
  PeerServerPtr peer_server;
  PeerClientPtr peers;
  std::unique_ptr<HttpServer> http;
  std::thread http_thread;
  int caller_port = 0;

  // Soft state: rebuilt from gossip, the table and the platform list after a restart.
  absl::Mutex control_mutex;
  Membership membership ABSL_GUARDED_BY(control_mutex);
  ConfigState config ABSL_GUARDED_BY(control_mutex);
  WeightsState weights ABSL_GUARDED_BY(control_mutex);
  std::map<UpstreamId, UpstreamEntry> upstreams ABSL_GUARDED_BY(control_mutex);
  std::map<HostId, MemberState> logged_members ABSL_GUARDED_BY(control_mutex);
  std::map<HostId, absl::Time> config_pushed ABSL_GUARDED_BY(control_mutex);
  std::set<PoolId> weights_to_read ABSL_GUARDED_BY(control_mutex);
  std::mt19937_64 random ABSL_GUARDED_BY(control_mutex);
  const RoutingView* view ABSL_GUARDED_BY(control_mutex) = nullptr;  // the published view
  bool view_dirty ABSL_GUARDED_BY(control_mutex) = true;
  absl::Time view_built ABSL_GUARDED_BY(control_mutex) = absl::InfinitePast();
  bool table_polled ABSL_GUARDED_BY(control_mutex) = false;    // the table has answered a configuration poll
  bool list_received ABSL_GUARDED_BY(control_mutex) = false;   // the platform list was fetched
  bool peer_contacted ABSL_GUARDED_BY(control_mutex) = false;  // a gossip message was received
  Isolation isolation ABSL_GUARDED_BY(control_mutex);

  // Read by every request.
  RoutingSnapshotPtr routing;
  std::atomic<bool> ready{false};
  std::atomic<bool> draining{false};
  std::atomic<bool> cut_off{false};  // the drain deadline has passed: requests in flight stop waiting
  std::atomic<bool> stopping{false};
  std::atomic<bool> config_unconfirmed{true};
  std::atomic<bool> store_down{false};
  std::atomic<bool> zone_cut_off{false};
  std::atomic<std::int64_t> table_answer_ns{0};  // Unix time of the last successful table call; 0: none yet
  std::atomic<std::uint64_t> next_request{1};
  std::atomic<int> in_flight{0};         // requests of callers and peers
  std::atomic<int> peer_generations{0};  // `generate` requests of peers in progress
  std::atomic<int> streams{0};           // streamed generations for callers of this host

  // Budgets by pool. The control thread replaces the whole map. Requests may still use an old map, so old
  // maps are kept for an hour. The last element is the current map.
  std::atomic<const PoolStatsMap*> pool_stats{nullptr};
  std::deque<std::pair<absl::Time, std::unique_ptr<const PoolStatsMap>>> pool_stats_history
      ABSL_GUARDED_BY(control_mutex);

  // Jobs.
  absl::Mutex jobs_mutex;
  std::map<JobId, std::shared_ptr<JobEntry>> jobs ABSL_GUARDED_BY(jobs_mutex);
  std::atomic<int> jobs_held{0};

  // Threads.
  std::unique_ptr<TaskPool> call_pool;        // attempts of service calls that may be hedged
  std::unique_ptr<TaskPool> stream_pool;      // interactive generations
  std::unique_ptr<TaskPool> generation_pool;  // generations of jobs held by this host
  std::unique_ptr<TaskPool> scoring_pool;     // scoring calls of jobs held by this host
  std::unique_ptr<TaskPool> background_pool;  // load reports and weight orders
  std::thread control_thread;   // gossip, routing view, planning of weight orders; no blocking I/O
  std::thread platform_thread;  // platform list, configuration poll, weight targets
  std::thread jobs_thread;      // job list, recording of claim and ticket outcomes
  bool stopped = false;         // StopHost has run
};

// ---- Helpers (host.cc) ----

// The calling thread's random number generator.
std::mt19937_64& ThreadRandom();
std::string NewId(Host& host, std::string_view prefix);  // unique across hosts and incarnations
// True if the member is not dead and runs as this incarnation.
bool KnownAlive(Host& host, const HostId& id, std::int64_t incarnation);
// The member, unless it is unknown or dead.
std::optional<Member> FindMember(Host& host, const HostId& id);

// ---- Retries (service_calls.cc) ----

// Budgets of a pool; null if no routing view has contained the pool yet.
PoolStats* FindPool(Host& host, const PoolId& pool);
// True for errors of a single upstream or host after which another one may be tried.
bool IsRetryableElsewhere(ErrorKind kind);
RetryReason RetryReasonFor(ErrorKind kind);

// ---- Control (control.cc) ----

void RunControl(Host& host);
void RunPlatform(Host& host);
// Merges a received configuration document; if it is newer, logs it and pushes it to peers.
ConfigUpdate ReceiveConfig(Host& host, const ConfigDocument& document, bool from_table);
void ReceiveWeightTarget(Host& host, const WeightTarget& target);
std::string EncodeTarget(const WeightTarget& target);
// Sends the message to 3 random peers.
void PushToPeers(Host& host, const std::string& kind, const std::string& body);
Isolation CurrentIsolation(Host& host);
ConfigDocument CurrentConfig(Host& host);
// Sends the outgoing gossip messages. The ack addressed to `answer_to`, if any, is returned instead of sent.
std::string SendGossip(Host& host, const std::vector<Outgoing>& messages, const HostId& answer_to);
// Handles the reply to a ping. Runs on the peer client's thread.
void HandlePingReply(Host& host, const std::string& bytes);
void HandleGossip(Host& host, const GossipMessage& message, std::vector<Outgoing>& out)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(host.control_mutex);
void RebuildView(Host& host, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(host.control_mutex);
// Marks an upstream as leaving after it refused a call for that reason.
void MarkUpstreamLeaving(Host& host, const UpstreamId& id);

// ---- Peer messages (peer_messages.cc) ----

// Encodes the body of a peer message as MessagePack.
std::string ToMessagePack(const Json& json);
leaf::result<std::string> HandlePeerMessage(Host& host, const std::string& kind, const std::string& body,
                                            const PeerSink& sink);

// ---- Generation (generation.cc) ----

// Runs a generation to its end, slice by slice, on any engine of the model. Chunks are passed to `sink` in
// order; `sink` returns false to cancel. `wanted` returns false once the requester no longer waits for the
// result. With `retry`, a failed slice is repeated on another engine within the retry budget; otherwise its
// error ends the call. Errors: those of routing.h and upstream.h, kQueueDeadline,
// kShuttingDown, kPeerUnreachable, kOutcomeUnknown (peer).
leaf::result<void> Generate(Host& host, GenerateRequest request, bool retry, const ChunkSink& sink,
                            const std::function<bool()>& wanted);
// Runs one slice on an engine that this host is responsible for.
leaf::result<void> GenerateLocally(Host& host, const UpstreamId& engine, const GenerateRequest& request,
                                   const ChunkSink& sink, const std::function<bool()>& wanted);
leaf::result<std::string> HandleGenerate(Host& host, const std::string& body, const PeerSink& sink);

// ---- Calls to services (service_calls.cc) ----

// Hedges and retries within the budgets. The error says "not run" only if no attempt ran.
leaf::result<ServiceAnswer> CallIdempotent(Host& host, const PoolId& service, const ServiceRequest& request);
// Sends the request to at most one upstream: another one is tried only if the first refused before any byte
// was sent. Used for calls with a claim or a ticket.
leaf::result<ServiceAnswer> CallUpstreamOnce(Host& host, const PoolId& service,
                                             const ServiceRequest& request);
bool IsNonIdempotent(const RoutingView& view, const PoolId& service);
absl::Duration CallDeadline(const RoutingView& view, const PoolId& service);
// Scores one sample. Errors: those of CallIdempotent, kUpstreamProtocol (no finite score).
leaf::result<double> ScoreSample(Host& host, const PoolId& scoring, const Sample& sample);
// Non-idempotent calls by a caller of this host, with an idempotency key or a ticket.
leaf::result<ServiceAnswer> CallWithKey(Host& host, const OnceCall& call);
leaf::result<ServiceAnswer> CallTicket(Host& host, const std::string& ticket, const OnceCall& call);
leaf::result<std::string> HandleTicketCall(Host& host, const std::string& body);

// ---- Jobs (job_service.cc) ----

void RunJobs(Host& host);
// Creates the job and its thread, or updates the spec of a known job.
void ReceiveJobSpec(Host& host, const JobSpec& spec);
std::shared_ptr<JobEntry> FindJob(Host& host, const JobId& id);
// Waits up to `wait` for the batch, on this host if it holds the lease, otherwise through the lease holder.
leaf::result<BatchAnswer> FetchBatch(Host& host, const BatchRequest& request, absl::Duration wait);
leaf::result<std::string> HandleBatch(Host& host, const std::string& body);
// Stops all job threads and releases the leases that this host holds.
void StopJobs(Host& host);

// ---- HTTP (src/links/caller_server.cc, src/links/admin_server.cc) ----

void AddCallerRoutes(Host& host);

}  // namespace oleander

#endif  // OLEANDER_HOSTS_HOST_STATE_H_
