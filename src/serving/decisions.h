// The decisions of the serving core: pure functions over plain structs. A comment that begins with "Load
// pattern" describes the load that the decision is designed for.
#ifndef OLEANDER_SRC_SERVING_DECISIONS_H_
#define OLEANDER_SRC_SERVING_DECISIONS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "serving/directory.h"

namespace oleander::serving {

// ---- Answers ----------------------------------------------------------------------------------------------

enum class AttemptVerdict {
  kAnswered,  // a complete answer of the upstream itself, with a status below 500
  kFailed,    // the upstream ran the request and reports a failure
  kNotRun,    // the upstream states that it did not run the request
  kNoAnswer,  // no usable answer: broken, timed out, for another request, or a success without signature
};
std::string_view NameOf(AttemptVerdict verdict);
// True if the answer is to the request with this id. Upstreams echo the id, and an extra answer to another
// request may arrive in place of the expected one. Only a statement that nothing was run may come without id.
bool IsAnswerTo(const AnswerHead& head, std::string_view request_id);
AttemptVerdict ClassifyAttempt(CallEnd end, const AnswerHead& head, std::string_view request_id);

// ---- Services of a route
// ------------------------------------------------------------------------------------

// Returns the route's services in the order in which they are tried for a request, or for a group of items,
// that is identified by `key`. The first one is a random choice by the weights that depends on the key only,
// so that all hosts agree, retries go to the same service, and the items of a group share their processed
// prompt. Load pattern: a service loses all its upstreams, and gets them back. Its part goes to the next
// service of each key, in proportion to the weights of the others, and only its part moves. Services of
// weight 0 get nothing, unless no service has a weight.
std::vector<std::string> RankServices(const Route& route, std::string_view key);

// The service for one call: the first one with an upstream that is not in `tried` and not avoided; else with
// one that is not in `tried`; else the first. "" if the route has no services. Load pattern: as above, for
// lookups and scoring calls. Their upstreams queue requests, so a full service keeps its part.
std::string ChooseService(Directory& directory, const Route& route, std::string_view key,
                          const std::vector<std::string>& tried, absl::Time now);

// What a service of the route can do for one item.
struct ServiceRoom {
  bool can_run = false;     // it has an upstream that could run the item, which may be full
  bool has_free = false;    // such an upstream has a free slot
  bool under_half = false;  // less than half of its slots are taken
};
// Returns the index of the service that runs the item now, or nullopt: the item waits. `services` are in the
// order of RankServices, `waited` is the time since the item became ready. Load pattern: a route is split,
// and the engines of one service are lost, or are too few for its part of a step. An item waits for the
// service of its group, so that the weights hold; but not at once if that service cannot run it, and not for
// long while the engines of another one are mostly idle.
std::optional<std::size_t> PickService(const std::vector<ServiceRoom>& services, absl::Duration waited);

// ---- Unary calls ------------------------------------------------------------------------------------------

struct UnaryChoice {
  bool zone_isolated = false;      // this host does not reach the store, so probably no other zone either
  std::string zone;                // of this host
  std::vector<std::string> tried;  // upstreams that this request was already sent to
  absl::Time now;                  //
  std::optional<std::string> software = std::nullopt;  // the only software version that may run it
};
// Returns the upstream with the lowest expected latency, or nullptr. Load pattern: one of a few upstreams is
// slow for seconds while its load report is late. Its latency average moves requests away from it, and decays
// to the mean of the others within seconds, so that it is tried again.
UpstreamState* PickUnary(const std::vector<UpstreamState*>& usable, const UnaryChoice& choice);

// The delay after which an unanswered idempotent request is hedged at a second upstream, as a fraction of its
// objective. Load pattern: a lost answer or a stalled upstream. Healthy upstreams answer sooner even at high
// percentiles, so few requests are hedged.
absl::Duration DelayBeforeHedge(absl::Duration objective);

// The Retry-After of a refused request, in seconds. `spread` is the request's id and seeds the jitter, so
// that callers that were refused together do not retry together.
double RetryAfterSeconds(absl::Duration time_left, std::string_view spread);
// A hash that is the same on all hosts.
std::uint64_t HashText(std::string_view text);

// Returns the upstream with a request limit at which a call should wait for a permit, or nullptr: the one
// with the fewest requests for its limit.
UpstreamState* PickWithoutPermit(const std::vector<UpstreamState*>& usable, const UnaryChoice& choice);

// ---- Scoring calls ----------------------------------------------------------------------------------------

struct ScoringChoice {
  bool zone_isolated = false;  // this host does not reach the store, so probably no other zone either
  std::string zone;            // of this host
  std::string avoided;   // upstream of the last attempt, picked only if others are costlier; empty: none
  std::string excluded;  // upstream that is running the call now; empty: none
  absl::Time now;        //
};
// Returns the upstream with the lowest expected latency that has a slot free for scoring calls, or nullptr:
// the call then waits at this host. Load pattern: many texts of a step are completed at once while callers'
// lookups use the same few slots. A third of each upstream's slots is reserved for lookups, so that a burst
// of scoring calls queues at the job's owner and does not delay lookups.
UpstreamState* PickForScoring(const std::vector<UpstreamState*>& usable, const ScoringChoice& choice);

// Limit of the scoring calls that one host keeps in progress, with additive increase and multiplicative
// decrease: it grows by one per round of timely answers, and shrinks by a third when upstreams refuse, do not
// answer or become slow.
struct ScoringLimit {
  double max_calls = 8;                            // starts at what a step of one model usually needs
  absl::Time decreased_at = absl::InfinitePast();  // time of the last decrease
  double average_ms = 0;                           // slow moving average of the latency; 0: none yet
};
enum class ScoringAttemptOutcome { kAnswered, kRefused, kNoAnswer };
// Updates the limit after an attempt. Load pattern: several owners send calls to the same upstreams, or the
// upstream service becomes slow. Each owner backs off by its own observations, without coordination. The
// limit is decreased at most once per round of calls.
void UpdateScoringLimit(ScoringLimit& limit, ScoringAttemptOutcome outcome, absl::Duration took,
                        absl::Time now);

// The backoff before a scoring call is retried; grows with each attempt, up to 1 s.
absl::Duration ScoringBackoff(ScoringAttemptOutcome outcome, int attempts);

// ---- Items of batch jobs ----------------------------------------------------------------------------------

struct ItemChoice {
  std::string model;                    //
  std::int64_t min_version = 0;         // oldest weight version that may run the item
  std::int64_t exact_version = 0;       // the only weight version that may run it; 0: any from min_version on
  std::optional<std::string> software;  // the only software version that may run it; nullopt: any
  std::string zone;                     // of this host
  std::string avoided;                  // upstream of the item's last failed run; empty: none
  std::vector<std::string> excluded;    // upstreams that must not be picked
  std::string preferred;                // upstream that has processed the group's prompt; empty: none
  absl::Time now;                       //
};
// Returns the best upstream with a free slot and suitable weights, or nullptr: the item then waits at this
// host, and can still be placed on whichever upstream is free first. Load pattern: all items of a step are
// submitted at once, several times as many as there are slots.
UpstreamState* PickForItem(const std::vector<UpstreamState*>& usable, const ItemChoice& choice);

// Permits that a host requests for the items that wait after a placement: for each suitable engine with a
// request limit, as many as fit its free slots. Load pattern: a step needs more requests than the limits of
// all engines allow in its time, so each permit that there is finds an item; a permit that is not used
// lapses.
struct PermitWant {
  UpstreamState* upstream;
  int calls;
};
std::vector<PermitWant> WantsForItems(const std::vector<UpstreamState*>& usable, const ItemChoice& choice,
                                      int items);

// True if the upstream has the weights with which the item may run and is not avoided, whatever its load.
bool CanRun(const UpstreamState& upstream, const ItemChoice& choice);
// True if the upstream has the software and the weights with which the item may run, whatever its load.
bool CanContinue(const UpstreamState& upstream, const ItemChoice& choice);

// Whether an item whose text no engine can continue now waits for one, or its text is discarded and generated
// anew at any engine.
struct ContinuationWait {
  bool possible = false;    // an engine in use has the software and the weights that the text needs
  absl::Duration waited;    // since its last run ended
  std::int64_t events = 0;  // of the text
  double pace_ms = 0;       // time between events; 0: unknown
};
// Load pattern: during a release, the engines that are left of a software version are full for longer than it
// takes to generate a short text again. An item waits as long as that takes, and so loses at most twice the
// shorter of both.
bool ShouldDiscardText(const ContinuationWait& wait);

// The same for many items of one job: the placement cost is computed once for each upstream, and recomputed
// only for an upstream that got or lost an item. `choice.exact_version` must be the same in all calls.
struct PlacementCosts {
  std::vector<UpstreamState*> upstreams;  //
  std::vector<double> costs;              // by index in `upstreams`; infinite: unsuitable or full
  double median_gap_ms = 1;               // median of the known paces
};
PlacementCosts CostsForItems(const std::vector<UpstreamState*>& usable, const ItemChoice& choice);
UpstreamState* PickByCost(const PlacementCosts& costs, const ItemChoice& choice);
// Recomputes the cost of an upstream that got or lost an item.
void UpdateCost(PlacementCosts& costs, const UpstreamState& upstream, const ItemChoice& choice);

// Returns the engines that an owner uses for `items` items: the first engines, in an order that is the same
// for all steps of the model, that together have three slots per item; all engines if there are fewer slots.
// An engine whose last call failed is among them, but its slots do not count: the items of a small step would
// have no other engine.
// Load pattern: a fleet has ten times the engines that a step can fill. Querying the load of each engine,
// connecting to it and computing its cost for each item would cost the owner more than running its items.
std::vector<UpstreamState*> EngineShare(const std::vector<UpstreamState*>& usable, const std::string& model,
                                        std::int64_t min_version, int items);

// Estimate of the requests that the upstream has now: those of this host, plus those of other hosts according
// to a recent load report.
int EstimateRunning(const UpstreamState& upstream, absl::Time now);

// Expected time in ms between the events of a run that is placed on the upstream now.
double ExpectedGap(const UpstreamState& upstream, double median_gap_ms, absl::Time now);

struct RunProgress {
  absl::Duration since_last_event;  // since the start of the run if it has no event yet
  absl::Duration since_start;       // of this run
  int events_here = 0;              // events received by this run
  bool is_tail = false;             // its item is likely to be among the last of its step to finish
  double gap_ms = 0;                // time between events currently expected at the upstream
  double pace_ms = 0;               // long-term average of the time between events at the upstream
  bool load_fresh = false;          // `gap_ms` and `queued` are based on a fresh load report
  bool unresponsive = false;        // the upstream did not answer a load query in time
  bool queued = false;              // requests are queued at the upstream
  double other_gap_ms = 0;          // of the best other upstream with a free slot; 0: no other has one
  double other_pace_ms = 0;         //
  bool other_load_fresh = false;    //
};
enum class MoveDecision {
  kStay,
  kQueryLoads,  // query the load of both upstreams first; a query costs a tenth of a new connection
  kMove,        // cancel the run and resume the item at the other upstream after its last event
};
// Decides whether a run is moved to another engine. Load pattern: the last items of a step run on engines
// that become slow for half a second because of other work on their machine, stop responding, are always
// slower than others, or have a queue. A move loses the event in progress, and costs processing the prompt
// again and usually a new connection, so other items are moved only from engines that stay slow.
MoveDecision DecideMove(const RunProgress& run);

// A run at an engine that leaves.
struct RunBeforeDeparture {
  absl::Duration time_left;    // until the engine is gone
  int events = 0;              // of the text so far
  double expected_events = 0;  // of the whole text; 0: unknown
  double gap_ms = 0;           // expected time between events
};
// True if the run will probably not end before its engine is gone, and so goes on elsewhere now. Load
// pattern: all reclaimable engines of a zone leave with a notice of two seconds, each with a batch of runs.
// The text of a run is kept; a run that is cut off by the departure would lose time until its end is noticed,
// and then compete with all others for the slots that are left.
bool LeavesTooSoon(const RunBeforeDeparture& run);

// True if the last load report is recent enough to base a move of a run on it.
bool LoadIsFresh(const UpstreamState& upstream, absl::Time now);
// True if a load query has been unanswered for longer than the longest round trip of any link.
bool IsUnresponsive(const UpstreamState& upstream, absl::Time now);

// Median of the known paces, in ms between events; 0: none is known.
double MedianPace(const std::vector<UpstreamState*>& usable);

// ---- Weights ----------------------------------------------------------------------------------------------

struct EngineWeights {
  std::string id;                                   //
  std::map<std::string, std::int64_t> held;         // version by model
  bool loading = false;                             // a weights order is in progress
  absl::Time blocked_until = absl::InfinitePast();  // no order may be sent before
  bool may_order = false;                           // this host may send orders to the engine
};
struct LoadChoice {
  std::string engine;  // empty: nothing to load now
  std::string model;   //
  std::int64_t version = 0;
};
// Returns the next weights load that this host should order, or none while `max_loading` engines are
// loading. `announced` has the newest version that trainers announced for each model. Steps also accept the
// version before it, so only half of a model's engines load each version, in turn, while those with the
// version before continue serving. Engines whose version is too old for the step come first. All hosts rank
// the engines identically, so that the lease holders of different zones choose the same ones.
LoadChoice PickLoad(const std::vector<EngineWeights>& engines,
                    const std::map<std::string, std::int64_t>& announced,
                    const std::map<std::string, std::vector<std::string>>& assigned, int max_loading,
                    absl::Time now);

// Maximum of concurrent weights loads: beyond one engine in five, loads slow each other down.
int MaxConcurrentLoads(int engines);

// Assigns engines to models; `copies` is the number of models per engine, so 1 assigns each engine to one
// model. Returns the engine ids of each model, sorted as PickLoad expects. The assignment is stable: an
// engine keeps its models when other engines join or leave, as far as equal shares of the models allow.
std::map<std::string, std::vector<std::string>> AssignModels(const std::vector<std::string>& engines,
                                                             const std::vector<std::string>& models,
                                                             double copies);

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_DECISIONS_H_
