// The event-driven serving core: one event loop a host, no thread a request.
//
//   Loop           time and timers
//   Store          rows with versions, conditional transactions, a change feed and objects
//   UpstreamLink   calls to upstreams, with the answer's head translated into typed fields
//   Directory      the routes, services and upstreams that are known at this moment
//   Frontend       idempotent and non-idempotent requests, answered by one upstream
//   BatchService   batch jobs: accepted durably, run by one owner, readable at every host
//   ScoringCalls   calls that rate the texts of items, beside the lookups of the same service
//   WeightsControl moves engines to the versions that trainers name, from one holder
//
// The ports (Loop, Store, UpstreamLink) are interfaces, so that tests run the core on a manual clock with
// fakes, and so that the platform's words stay in platform/. Everything runs on one thread; callbacks are
// never invoked from inside the call that registers them, unless a comment says so.
#ifndef OLEANDER_SERVING_H_
#define OLEANDER_SERVING_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace oleander::serving {

// ---- Time -------------------------------------------------------------------------------------------------

using TimerId = std::uint64_t;  // 0 is no timer

class Loop {
 public:
  virtual ~Loop() = default;
  // Time since boot. Counts the time in which the machine is suspended, so that a lease is not extended by
  // it.
  virtual absl::Time Now() const = 0;
  virtual TimerId After(absl::Duration delay, std::function<void()> fn) = 0;
  virtual void Cancel(TimerId id) = 0;
};

// ---- HTTP messages ----------------------------------------------------------------------------------------

struct HeaderField {
  std::string name;   // as sent; compared without case
  std::string value;  //
};
using Headers = std::vector<HeaderField>;

// The value of the first field with this name, or "".
std::string_view FindHeader(const Headers& headers, std::string_view name);
void RemoveHeader(Headers& headers, std::string_view name);
// True for fields that concern one connection only (RFC 9110, 7.6.1), and for the length, which the sender
// sets.
bool IsConnectionHeader(std::string_view name);

struct HttpRequest {
  std::string method;  //
  std::string target;  // path and query
  Headers headers;     //
  std::string body;    // decoded from chunks
};
struct HttpResponse {
  int status = 0;      //
  std::string reason;  // empty: the usual phrase
  Headers headers;     //
  std::string body;    //
};
using Responder = std::function<void(HttpResponse)>;

// ---- Store ------------------------------------------------------------------------------------------------

enum class StoreOutcome {
  kOk,
  kConflict,     // a condition does not hold; nothing was done
  kRefused,      // nothing was done: overload or outage
  kUnknown,      // no answer: it may have been done, or may be done seconds later if its condition holds
  kHistoryGone,  // a feed cannot be continued from this version
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
  std::int64_t version = 0;  // from one counter of the store; 0: no such row
  bool removed = false;      // in feeds only
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
  std::vector<RowCondition> conditions;  // of one partition, as the writes and removals
  std::vector<RowWrite> writes;          //
  std::vector<RowKey> removals;          //
};
struct RowRange {
  std::string table;      //
  std::string partition;  //
  std::string from;       // first key; empty: from the start
  std::string to;         // first key that is left out; empty: to the end
  int limit = 0;          // rows; 0: as many as one answer holds
};
struct StoreReply {
  StoreOutcome outcome = StoreOutcome::kUnknown;  //
  std::vector<Row> rows;      // read or changed rows; on kConflict the rows of the conditions as they are
  std::int64_t version = 0;   // newest version of the store
  absl::Duration store_time;  // steady clock of the store
  bool has_more = false;      // a range has further rows
};
using StoreCallback = std::function<void(const StoreReply&)>;

class Store {
 public:
  virtual ~Store() = default;
  virtual void Get(const RowRange& range, StoreCallback done) = 0;
  virtual void Commit(const Transaction& transaction, StoreCallback done) = 0;
  // Answers as soon as a row of `table` has a version above `after`, or after `wait` without rows.
  virtual void Watch(const std::string& table, std::int64_t after, absl::Duration wait,
                     StoreCallback done) = 0;
  // Writes an object once: kConflict if it exists.
  virtual void PutObject(const std::string& name, std::string bytes, StoreCallback done) = 0;
  // The bytes are the value of the only row; no row: no such object.
  virtual void GetObject(const std::string& name, StoreCallback done) = 0;
  virtual void RemoveObject(const std::string& name, StoreCallback done) = 0;
  // Rows that name the partitions of a table after `after`, in order; has_more: call again with the last one.
  virtual void ListPartitions(const std::string& table, const std::string& after, StoreCallback done) = 0;
};

// ---- What is served ---------------------------------------------------------------------------------------

enum class RouteKind { kIdempotent, kNonIdempotent, kStreaming, kRollout };
std::string_view NameOf(RouteKind kind);

struct WeightedService {
  std::string service;  //
  double weight = 1;    // share of the requests, relative to the others
};
struct Route {
  std::string name;                             //
  std::string host;                             // value of the Host header
  std::string prefix;                           // begins and ends with a slash
  RouteKind kind = RouteKind::kIdempotent;      //
  absl::Duration timeout = absl::Seconds(10);   // longest time that a caller is kept waiting
  absl::Duration objective = absl::Seconds(1);  // an answer within it has its full worth
  int max_attempts = 1;                         // upstreams that may run one request
  int priority = 0;                             // 0 is the highest
  std::vector<WeightedService> services;        //
  bool resumable = false;                       // streams may be continued at another upstream
  absl::Duration step_objective;                // rollout: all results are due this long after submission
  absl::Duration keep = absl::Seconds(40);      // rollout: an item may be given up this long after submission
  bool single_version = false;                  // rollout: one weight version for each sample
};
struct ServiceSpec {
  std::string name;                 //
  int max_connections = 64;         // connections to one upstream, over all hosts
  std::string health_path;          // answered at once, with the upstream's load; empty: none
  std::vector<std::string> models;  // empty: not a model engine
};
struct CallerLimits {
  std::int64_t max_header_bytes = 16384;             //
  std::int64_t max_body_bytes = 32 << 20;            //
  absl::Duration header_timeout = absl::Seconds(3);  // from the first byte to the end of the head
  absl::Duration idle_timeout = absl::Seconds(15);   // a kept connection without a request
};
struct Policy {
  std::int64_t version = 0;           // 0: none is known yet
  std::vector<Route> routes;          //
  std::vector<ServiceSpec> services;  //
  CallerLimits limits;                //
};
struct UpstreamEntry {
  std::string id;                               // names one incarnation, together with `started_ms`
  std::string service;                          //
  std::string address;                          // "ip:port"
  std::string zone;                             //
  int slots = 1;                                // requests it runs at once
  bool draining = false;                        //
  std::int64_t started_ms = 0;                  // time of its start
  std::map<std::string, std::int64_t> weights;  // version by model
};

// ---- Upstreams --------------------------------------------------------------------------------------------

using CallId = std::uint64_t;

struct ReportedLoad {
  int running = 0;      //
  int waiting = 0;      //
  int slots = 0;        //
  double slowdown = 1;  // how long work takes there at this moment; 1 is usual
};
// The head of an upstream's answer.
struct AnswerHead {
  int status = 0;                       //
  Headers headers;                      // as sent, for the caller
  std::string reason;                   //
  std::string request_id;               // echoed; empty if absent
  bool not_run = false;                 // the upstream states that it did not run the request
  std::string signature;                // of the upstream; empty: the answer is unsigned
  bool framed = true;                   // false: the answer ends with its connection
  std::optional<std::int64_t> weights;  // version of the weights that run it
  std::optional<ReportedLoad> load;     //
};
enum class CallEnd {
  kComplete,  // the whole answer is here
  kNotSent,   // no byte of the request left this host
  kBroken,    // the connection ended or the answer was not in the protocol; it may have run
  kTimedOut,  // it may have run
  kTooLarge,  // the answer went over a limit and the connection was closed; it may have run
};
std::string_view NameOf(CallEnd end);

struct UpstreamCall {
  std::string address;                       //
  std::string expected_id;                   // another upstream at this address must not run it; empty: any
  std::string host;                          // value of the Host header; empty: as in `headers`
  std::string request_id;                    //
  std::string method;                        //
  std::string target;                        //
  Headers headers;                           // without those that the call sets
  std::string body;                          //
  std::optional<absl::Duration> deadline;    // time left to the caller
  std::optional<std::int64_t> resume_after;  // last event that is already here
  absl::Duration timeout = absl::InfiniteDuration();          // for the whole call
  absl::Duration silence_timeout = absl::InfiniteDuration();  // without a byte from the upstream
  bool fresh_connection = false;          // do not reuse one: the request must not be sent twice
  std::size_t max_body_bytes = 32 << 20;  // of the answer; more ends the call as kTooLarge
};
struct CallHandlers {
  std::function<void(const AnswerHead&)> on_head;  //
  std::function<void(std::string_view)> on_body;   // pieces, in order
  std::function<void(CallEnd)> on_end;             // exactly once, unless cancelled
};

// State that an engine tells about itself; some hundred ms old.
struct EngineReport {
  bool known = false;                           // false: no answer that can be read
  bool busy = false;                            // an order is being carried out
  std::int64_t orders_accepted = 0;             //
  int running = 0;                              //
  std::map<std::string, std::int64_t> weights;  // version by model
};
struct WeightsOrder {
  std::string model;                 //
  std::int64_t version = 0;          //
  std::string holder;                //
  std::int64_t fence = 0;            // grows with each holder
  std::int64_t orders_accepted = 0;  // refused by the engine unless it has accepted just so many
};
enum class OrderOutcome {
  kAccepted,      // the engine is loading
  kAlreadyHolds,  //
  kBusyOrMoved,   // another order is in progress, or the count differs
  kRefused,       // it will never be carried out
  kUnknown,       // no answer; it may be carried out later
};
std::string_view NameOf(OrderOutcome outcome);

class UpstreamLink {
 public:
  virtual ~UpstreamLink() = default;
  virtual CallId Start(UpstreamCall call, CallHandlers handlers) = 0;
  // Closes the call's connection. No handler of the call is invoked afterwards.
  virtual void Cancel(CallId id) = 0;
  virtual void FetchReport(const UpstreamEntry& upstream, std::function<void(const EngineReport&)> done) = 0;
  // The load at this moment, by a GET of the service's health path; nullopt: no answer that states it.
  virtual void FetchLoad(const UpstreamEntry& upstream, const std::string& health_path,
                         std::function<void(const std::optional<ReportedLoad>&)> done) = 0;
  virtual void SendOrder(const UpstreamEntry& upstream, const WeightsOrder& order,
                         std::function<void(OrderOutcome)> done) = 0;
};

// ---- Batch jobs -------------------------------------------------------------------------------------------

// Rates the text of an item. Sent as a POST through the route of its host and target once the text is whole;
// may be repeated.
struct ScoringRequest {
  std::string id;      // also the request id
  std::string host;    //
  std::string target;  //
  std::string body;    // bytes
};
struct BatchItem {
  std::string id;                         // also the request id of its runs
  std::string target;                     //
  Headers headers;                        //
  std::string body;                       // bytes
  std::string group;                      // items of a group share their prompt
  std::int64_t tokens = 0;                // prompt and largest output
  double length_hint = 0;                 // expected output tokens; 0: none given
  std::optional<ScoringRequest> scoring;  // none: the item is listed as soon as its text is whole
};
struct BatchSubmission {
  std::string id;                // of the job
  std::string host;              // of the route
  std::string path;              // on which it was submitted
  std::int64_t step = 0;         //
  std::string model;             //
  std::int64_t min_version = 0;  // oldest weights that may produce a token of it
  int desired_groups = 0;        // the trainer waits for so many whole groups
  std::vector<BatchItem> items;  //
};
enum class ItemState { kCompleted, kAbandoned };
struct ItemResult {
  std::string item;                         //
  ItemState state = ItemState::kCompleted;  //
  std::string output;                       // data of all events, separated by line feeds
  std::vector<std::int64_t> versions;       // that produced an event of it, ascending
  std::string score;  // signature of the scoring answer; empty: no scoring was asked for
};
enum class BatchOutcome {
  kOk,
  kAccepted,
  kNotFound,        // no such job or item
  kNoRoute,         //
  kInvalid,         // the submission contradicts itself
  kNotRun,          // refused; no part of it runs
  kUnsure,          // this host cannot tell at the moment; a read may be repeated elsewhere
  kOutcomeUnknown,  // it may have been accepted
};
std::string_view NameOf(BatchOutcome outcome);
struct BatchPage {
  std::int64_t total = 0;           // items of the job
  std::int64_t next = 0;            // position after the last result of the page
  std::vector<ItemResult> results;  // from the position asked for
};

}  // namespace oleander::serving

#endif  // OLEANDER_SERVING_H_
