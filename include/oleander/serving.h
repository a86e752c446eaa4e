// The event-driven serving core: one event loop per host, no thread per request.
//
//   Loop           time and timers
//   Store          rows with versions, conditional transactions, a change feed and objects
//   UpstreamLink   calls to upstreams, with the head of the response parsed into typed fields
//   Directory      the currently known routes, services and upstreams
//   Frontend       idempotent and non-idempotent requests, each answered by one upstream
//   BatchService   batch jobs: accepted durably, run by one owner host, readable from every host
//   ScoringCalls   calls that score the generated texts of items; they share upstreams with callers' lookups
//   DutyPlatform   calls to the platform that one host at a time makes for all
//   WeightsControl loads the weight versions that trainers announce into the engines, from one lease holder
//
// Loop, Store, UpstreamLink and DutyPlatform are interfaces, so that tests can run the core on a manual clock
// with fakes, and so that the platform's protocol details stay in platform/. Everything runs on one thread;
// callbacks are never invoked from inside the call that registers them, unless a comment says so.
#ifndef OLEANDER_SERVING_H_
#define OLEANDER_SERVING_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace oleander::serving {

// ---- Time -------------------------------------------------------------------------------------------------

using TimerId = std::uint64_t;  // 0: no timer

class Loop {
 public:
  virtual ~Loop() = default;
  // Time since boot, including time in which the machine is suspended, so that suspension does not extend a
  // lease.
  virtual absl::Time Now() const = 0;
  // The host's time of day, which may be wrong by seconds and may jump. Only the usage windows use it.
  virtual absl::Time WallNow() const = 0;
  virtual TimerId After(absl::Duration delay, std::function<void()> fn) = 0;
  virtual void Cancel(TimerId id) = 0;
};

// ---- HTTP messages ----------------------------------------------------------------------------------------

struct HeaderField {
  std::string name;   // as sent; compared case-insensitively
  std::string value;  //
};
using Headers = std::vector<HeaderField>;

// The value of the first field with this name, or "".
std::string_view FindHeader(const Headers& headers, std::string_view name);
void RemoveHeader(Headers& headers, std::string_view name);
// True for hop-by-hop fields (RFC 9110, 7.6.1), and for Content-Length, which each sender sets itself.
bool IsConnectionHeader(std::string_view name);
// True if the text is a token (RFC 9110, 5.6.2), as names of fields are.
bool IsToken(std::string_view text);
// True if the text has a control character other than a tab.
bool HasControlCharacter(std::string_view text);
// True if the field can be sent: its name is a token, its value has no control character, and both together
// have at most kMaxFieldBytes.
bool IsSendableField(std::string_view name, std::string_view value);
inline constexpr std::size_t kMaxFieldBytes = 60000;  // Boost.Beast throws on fields of 64 KB
// True if a request with this target can be sent: it begins with a slash and has no space or control
// character, which would end the request line.
bool IsSendableTarget(std::string_view target);

// The announced length of a body, at most `most`; 0: none announced. For reserving memory.
std::size_t AnnouncedLength(const Headers& headers, std::size_t most);

// True for the status codes that an answer may have (RFC 9110, 15).
constexpr bool IsHttpStatus(int status) { return status >= 100 && status <= 599; }

struct HttpRequest {
  std::string method;  //
  std::string target;  // path and query
  Headers headers;     //
  std::string body;    // without chunked encoding
  // What the message takes on the account of held bytes, as long as a copy of this exists.
  std::shared_ptr<void> held = nullptr;
};
struct HttpResponse {
  int status = 0;      //
  std::string reason;  // empty: the standard phrase of the status
  Headers headers;     //
  std::string body;    //
  // What the message takes on the account of held bytes, as long as a copy of this exists.
  std::shared_ptr<void> held = nullptr;
};
using Responder = std::function<void(HttpResponse)>;

// ---- Store ------------------------------------------------------------------------------------------------

enum class StoreOutcome {
  kOk,
  kConflict,  // a condition does not hold; nothing was written
  kRefused,   // overload or outage; nothing was written
  kUnknown,   // no answer: the write may have been applied, or may be seconds later if its conditions hold
  kHistoryTrimmed,  // the change feed no longer reaches back to the requested version
};
std::string_view NameOf(StoreOutcome outcome);

struct RowKey {
  std::string table;      //
  std::string partition;  // the unit of ordering and of transactions
  std::string key;        //
};
struct Row {
  RowKey id;                 //
  std::string value;         // bytes
  std::int64_t version = 0;  // from one store-wide counter; 0: no such row
  bool removed = false;      // the row was deleted; set in the change feed only
};
struct RowCondition {
  RowKey id;                 //
  std::int64_t version = 0;  // the version the row must have; 0: it must not exist
};
struct RowWrite {
  RowKey id;          //
  std::string value;  // bytes
};
struct Transaction {
  std::vector<RowCondition> conditions;  // conditions, writes and removals all lie in one partition
  std::vector<RowWrite> writes;          //
  std::vector<RowKey> removals;          //
};
struct RowRange {
  std::string table;        //
  std::string partition;    //
  std::string from;         // first key, inclusive; empty: from the start
  std::string to;           // end key, exclusive; empty: to the end
  int limit = 0;            // rows; 0: as many as fit in one answer
  bool for_caller = false;  // the answer is passed on, so that it waits for room on the account of held bytes
};
struct StoreReply {
  StoreOutcome outcome = StoreOutcome::kUnknown;  //
  std::vector<Row> rows;      // read or changed rows; on kConflict the current rows of the conditions
  std::int64_t version = 0;   // newest version of the store
  absl::Duration store_time;  // steady clock of the store
  bool has_more = false;      // the range has rows that this answer does not hold
};
using StoreCallback = std::function<void(const StoreReply&)>;

class Store {
 public:
  virtual ~Store() = default;
  virtual void Get(const RowRange& range, StoreCallback done) = 0;
  virtual void Commit(const Transaction& transaction, StoreCallback done) = 0;
  // Change feed: answers as soon as a row of `table` has a version above `after`, or without rows once `wait`
  // has passed.
  virtual void Watch(const std::string& table, std::int64_t after, absl::Duration wait,
                     StoreCallback done) = 0;
  // Creates an object; kConflict if it exists already.
  virtual void PutObject(const std::string& name, std::string bytes, StoreCallback done) = 0;
  // The reply has one row with the bytes as its value, or no row if the object does not exist.
  virtual void GetObject(const std::string& name, StoreCallback done) = 0;
  virtual void RemoveObject(const std::string& name, StoreCallback done) = 0;
  // Returns a row for each partition of the table that sorts after `after`, in order. If `has_more` is set,
  // call it again with the last partition returned.
  virtual void ListPartitions(const std::string& table, const std::string& after, StoreCallback done) = 0;
};

// ---- Routes, services and upstreams -----------------------------------------------------------------------

enum class RouteKind { kIdempotent, kNonIdempotent, kStreaming, kRollout };
std::string_view NameOf(RouteKind kind);

struct WeightedService {
  std::string service;  //
  double weight = 1;    // share of the requests, relative to the others
};
struct Route {
  std::string name;                                 //
  std::string host;                                 // value of the Host header
  std::string prefix;                               // path prefix; begins and ends with a slash
  RouteKind kind = RouteKind::kIdempotent;          //
  absl::Duration timeout = absl::Seconds(10);       // a caller gets its answer or an error within this time
  absl::Duration objective = absl::Seconds(1);      // latency objective; a later answer is worth less
  int max_attempts = 1;                             // number of upstreams that may run one request
  int priority = 0;                                 // 0 is the highest
  std::vector<WeightedService> services;            //
  bool resumable = false;                           // streams may be resumed at another upstream
  bool public_access = false;                       // requests need no key
  absl::Duration step_objective;                    // rollout: all results are due this long after submission
  absl::Duration max_item_age = absl::Seconds(40);  // rollout: items are abandoned this long after submission
  bool single_version = false;  // rollout: one weight version must produce the whole sample
};
// How many upstreams of a service may be ordered from the platform.
struct ScalingSpec {
  int min = 0;                                // upstreams in each zone, of both kinds together
  int max = 0;                                //
  absl::Duration startup = absl::Seconds(4);  // from an order until the upstream serves
  // Price of a reclaimable upstream relative to an ordinary one; nullopt: there are none.
  std::optional<double> reclaimable_price;
  std::map<std::string, double> zone_prices;  // of an ordinary upstream, by zone; the zones it may run in
};
struct ServiceSpec {
  std::string name;                    //
  int max_connections = 64;            // connections to one upstream, summed over all hosts
  std::string health_path;             // answers immediately with the upstream's load; empty: none
  std::vector<std::string> models;     // models that its engines serve; empty: not a model engine
  std::optional<ScalingSpec> scaling;  // nullopt: the number of upstreams is not this system's to choose
};
struct CallerLimits {
  std::int64_t max_header_bytes = 16384;             //
  std::int64_t max_body_bytes = 32 << 20;            //
  absl::Duration header_timeout = absl::Seconds(3);  // from the first byte to the end of the headers
  absl::Duration idle_timeout = absl::Seconds(15);   // of a keep-alive connection between requests
};
// Digest of an API key; see DigestOfKey in workspaces.h.
struct KeyDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  bool operator==(const KeyDigest& other) const = default;
};
struct Workspace {
  std::string name;             // sent to upstreams with each request of the workspace
  std::optional<int> priority;  // goes before the priority of the route; nullopt: none of its own
  std::vector<KeyDigest> keys;  //
};
struct Policy {
  std::int64_t version = 0;           // 0: no policy has been received yet
  std::vector<Route> routes;          //
  std::vector<ServiceSpec> services;  //
  CallerLimits limits;                //
  bool has_workspaces = false;        // requests need a key of a workspace, but for public routes
  std::vector<Workspace> workspaces;  //
};
struct UpstreamEntry {
  std::string id;                               // with `started_ms`, identifies one start of the process
  std::string service;                          //
  std::string address;                          // "ip:port"
  std::string zone;                             //
  int slots = 1;                                // requests that it runs concurrently
  bool draining = false;                        //
  bool reclaimable = false;                     // the platform may take it away at short notice
  std::int64_t started_ms = 0;                  // time at which the process started
  std::string software;                         // version of its software, not of its weights; any text
  std::map<std::string, std::int64_t> weights;  // version by model
};

// ---- Upstreams --------------------------------------------------------------------------------------------

using CallId = std::uint64_t;

struct ReportedLoad {
  int running = 0;      // requests
  int waiting = 0;      // requests in the upstream's queue
  int slots = 0;        //
  double slowdown = 1;  // current duration of work relative to the upstream's normal duration
};
// Status and headers of an upstream's answer.
struct AnswerHead {
  int status = 0;                       //
  Headers headers;                      // as sent by the upstream, to be passed on to the caller
  std::string reason;                   //
  std::string request_id;               // echoed from the request; empty if absent
  bool not_run = false;                 // the upstream states that it did not run the request
  std::string signature;                // of the upstream; empty: the answer is unsigned
  bool framed = true;                   // false: the body has no length and ends when the connection closes
  std::optional<std::int64_t> weights;  // version of the weights that run the request
  std::optional<ReportedLoad> load;     //
  std::optional<double>
      request_limit;     // requests/s that the upstream accepts from all hosts; nullopt: no limit
  bool leaving = false;  // the upstream states that it is about to leave
  // What the answer takes on the account of held bytes, as long as a copy of this exists.
  std::shared_ptr<void> held = nullptr;
};
enum class CallEnd {
  kComplete,  // the answer was received completely
  kNotSent,   // no byte of the request left this host
  kBroken,    // the connection closed early or the answer was malformed; the request may have run
  kTimedOut,  // the request may have run
  kTooLarge,  // the answer exceeded a size limit, so the connection was closed; the request may have run
  kNoRoom,    // this host had no room for the answer, so the connection was closed; the request may have run
};
std::string_view NameOf(CallEnd end);

struct UpstreamCall {
  std::string address;      //
  std::string expected_id;  // only the upstream with this id may run it; empty: any
  std::string host;         // value of the Host header; empty: the one in `headers`
  // Name of the workspace to send; empty: none. nullopt: no workspaces in force, headers pass as they are.
  std::optional<std::string> workspace;
  std::string request_id;                             //
  std::string method;                                 //
  std::string target;                                 //
  Headers headers;                                    // in addition to those that the call sets itself
  std::shared_ptr<const std::string> body;            // shared by the attempts of a request; null: none
  std::optional<absl::Duration> deadline;             // remaining time of the caller, sent to the upstream
  std::optional<std::int64_t> resume_after;           // id of the last event already received
  absl::Duration timeout = absl::InfiniteDuration();  // for the whole call
  absl::Duration silence_timeout = absl::InfiniteDuration();  // longest time without a byte from the upstream
  bool fresh_connection = false;  // do not reuse a connection, so that the request cannot be sent twice
  std::size_t max_body_bytes = 32 << 20;  // of the answer; a larger one ends the call with kTooLarge
};
struct CallHandlers {
  std::function<void(const AnswerHead&)> on_head;  //
  std::function<void(std::string_view)> on_body;   // pieces of the body, in order
  std::function<void(CallEnd)> on_end;             // exactly once, unless cancelled
};

// State that an engine reports about itself. A few hundred ms old.
struct EngineReport {
  bool known = false;                           // false: no answer, or an unreadable one
  bool leaving = false;                         // the engine states that it is about to leave
  std::optional<absl::Duration> leaves_in;      // how long it stays, if it leaves and knows
  bool busy = false;                            // a weights order is in progress
  std::int64_t orders_accepted = 0;             // weights orders that the engine has accepted so far
  int running = 0;                              //
  std::map<std::string, std::int64_t> weights;  // version by model
};
// An order to an engine to load a version of a model's weights.
struct WeightsOrder {
  std::string model;                 //
  std::int64_t version = 0;          //
  std::string holder;                // host that holds the weights lease
  std::int64_t fence = 0;            // fencing token; grows with each change of the holder
  std::int64_t orders_accepted = 0;  // the engine refuses the order unless its own count equals this one
};
enum class OrderOutcome {
  kAccepted,          // the engine is loading the weights
  kAlreadyHolds,      // the engine has this version already
  kBusyOrStaleCount,  // another order is in progress, or the counts of accepted orders differ
  kRefused,           // the engine will never carry it out
  kUnknown,           // no answer; the engine may still carry it out
};
std::string_view NameOf(OrderOutcome outcome);

class UpstreamLink {
 public:
  virtual ~UpstreamLink() = default;
  virtual CallId Start(UpstreamCall call, CallHandlers handlers) = 0;
  // Closes the call's connection. No handler of the call is invoked afterwards.
  virtual void Cancel(CallId id) = 0;
  virtual void FetchReport(const UpstreamEntry& upstream, std::function<void(const EngineReport&)> done) = 0;
  // Fetches the head of the answer to a GET of the service's health path, which states the current load;
  // nullopt: no answer, or one of another upstream at this address.
  virtual void FetchLoad(const UpstreamEntry& upstream, const std::string& health_path,
                         std::function<void(const std::optional<AnswerHead>&)> done) = 0;
  virtual void SendOrder(const UpstreamEntry& upstream, const WeightsOrder& order,
                         std::function<void(OrderOutcome)> done) = 0;
};

// ---- Duties -----------------------------------------------------------------------------------------------

enum class DutyOutcome {
  kAccepted,     //
  kUnavailable,  // the platform cannot do it now, for example it has no capacity left in the zone
  kRefused,      // not done: overload, outage, or no connection
  kUnknown,      // no answer; it may have been done
};
std::string_view NameOf(DutyOutcome outcome);
// Who performs a duty.
struct DutyHolder {
  std::string host;        // name of the machine
  std::int64_t fence = 0;  // fencing token of its lease
};
struct CapacityOrder {
  std::string service;       //
  std::string zone;          //
  int upstreams = 0;         // wanted in the zone, of the kind that `reclaimable` says
  bool reclaimable = false;  // cheaper upstreams, which the platform may take away at short notice
};
class DutyPlatform {
 public:
  virtual ~DutyPlatform() = default;
  // `window`: number of the usage window. `counts`: requests that began to run in it, by workspace.
  virtual void ReportUsage(const DutyHolder& holder, std::int64_t window,
                           const std::map<std::string, std::int64_t>& counts,
                           std::function<void(DutyOutcome)> done) = 0;
  virtual void OrderCapacity(const DutyHolder& holder, const CapacityOrder& order,
                             std::function<void(DutyOutcome)> done) = 0;
};

// ---- Batch jobs -------------------------------------------------------------------------------------------

// Scores the generated text of an item. Sent as a POST through the route of its host and target once the text
// is complete; it may be sent more than once.
struct ScoringRequest {
  std::string id;      // also the request id
  std::string host;    //
  std::string target;  //
  std::string body;    // bytes
};
struct BatchItem {
  std::string id;                         // also the request id of each run
  std::string target;                     //
  Headers headers;                        //
  std::string body;                       // bytes
  std::string group;                      // items of a group share their prompt
  std::int64_t tokens = 0;                // prompt tokens plus the maximum of output tokens
  double length_hint = 0;                 // expected output tokens; 0: none given
  std::optional<ScoringRequest> scoring;  // nullopt: the result is published as soon as the text is complete
};
struct BatchSubmission {
  std::string id;                // of the job
  std::string host;              // of the route
  std::string path;              // request path of the submission
  std::int64_t step = 0;         //
  std::string model;             //
  std::int64_t min_version = 0;  // oldest weight version that may produce a token of the job
  int desired_groups = 0;        // number of complete groups that the trainer waits for
  std::optional<std::string>
      workspace;                 // that submitted it; empty: none, by public access; nullopt: none in force
  std::vector<BatchItem> items;  //
};
enum class ItemState { kCompleted, kAbandoned };
struct ItemResult {
  std::string item;                         //
  ItemState state = ItemState::kCompleted;  //
  std::string output;                       // data of all events, separated by line feeds
  std::vector<std::int64_t> versions;       // weight versions that produced its events, ascending
  std::string score;  // signature of the scoring answer; empty: no scoring was requested
};
enum class BatchOutcome {
  kOk,
  kAccepted,
  kNotFound,          // no such job or item
  kNoRoute,           //
  kInvalid,           // malformed submission, or one without id or items, or with a repeated item id, or
                      // with an item that cannot be sent as a request
  kNotRun,            // refused; no part of the job runs
  kNoRoom,            // refused, since this host has no memory for it; no part of a submitted job runs
  kStoreUnreachable,  // the store does not answer this host; a read may be retried at another host
  kOutcomeUnknown,    // the job may have been accepted
};
std::string_view NameOf(BatchOutcome outcome);
struct BatchPage {
  std::int64_t total = 0;           // items of the job
  std::int64_t next = 0;            // position after the last result of the page
  std::vector<ItemResult> results;  // starting at the requested position
};

}  // namespace oleander::serving

#endif  // OLEANDER_SERVING_H_
