// The decisions of the serving core: pure functions over plain structs. Each names the load it answers.
#ifndef OLEANDER_SRC_SERVING_DECISIONS_H_
#define OLEANDER_SRC_SERVING_DECISIONS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "serving/directory.h"

namespace oleander::serving {

// ---- Answers ----------------------------------------------------------------------------------------------

enum class AttemptVerdict {
  kAnswered,  // the upstream's own whole answer, below status 500
  kFailed,    // it ran the request and says that it failed
  kNotRun,    // it states that it did not run the request
  kNoAnswer,  // nothing that can be used: broken, late, of another request, or a success without signature
};
std::string_view NameOf(AttemptVerdict verdict);
AttemptVerdict JudgeAttempt(CallEnd end, const AnswerHead& head, std::string_view request_id);

// The service of a split route, chosen by the request's id, so that a repeated choice is the same; "": none.
std::string ChooseService(const Route& route, std::string_view id);

// ---- Unary calls ------------------------------------------------------------------------------------------

struct UnaryChoice {
  bool zone_alone = false;         // this host does not reach the store: other zones are probably cut off too
  std::string zone;                // of this host
  std::vector<std::string> tried;  // upstreams that already had this request
  absl::Time now;                  //
};
// The upstream with the lowest expected answer time, or nullptr. Load answered: one of a few upstreams that
// is slow for seconds while its load report is late; its own latency average moves work away, and returns to
// the mean of the others within seconds, so that it is tried again.
UpstreamState* PickUnary(const std::vector<UpstreamState*>& usable, const UnaryChoice& choice);

// When a second upstream gets an idempotent request that is still unanswered: at this share of its objective.
// Load answered: a lost answer or a stalled upstream; the healthy tail is shorter, so few requests are
// hedged.
absl::Duration HedgeAfter(absl::Duration objective);

// What a refused caller is told to wait, in seconds. Spread by the request's id, so that callers that were
// refused together do not return together.
double RetryAfterSeconds(absl::Duration time_left, std::string_view spread);
// A hash that all hosts compute alike.
std::uint64_t HashText(std::string_view text);

// ---- Scoring calls ----------------------------------------------------------------------------------------

struct ScoringChoice {
  bool zone_alone = false;  // this host does not reach the store: other zones are probably cut off too
  std::string zone;         // of this host
  std::string avoided;      // upstream of the last attempt; empty: none
  std::string excluded;     // upstream that has the call now; empty: none
  absl::Time now;           //
};
// The upstream with the lowest expected answer time that has a slot left for calls nobody waits for, or
// nullptr: the call waits here. Load answered: the texts of a step end together while callers' lookups use
// the same few slots; a third of each upstream's slots stays free for lookups, so that a burst of calls
// queues at the owner and not in front of a caller.
UpstreamState* PickForScoring(const std::vector<UpstreamState*>& usable, const ScoringChoice& choice);

// How many scoring calls one host keeps in progress: grows by one for each round of answers in good time,
// shrinks by a third when upstreams refuse, fall silent or become slow.
struct ScoringLimit {
  double most = 8;                           // calls; the usual need of one model's step
  absl::Time cut_at = absl::InfinitePast();  // the last time it shrank
  double usual_ms = 0;                       // slow average of the answer times; 0: none yet
};
enum class ScoringSign { kAnswered, kRefused, kSilent };
// Load answered: several owners whose calls meet at the same upstreams, or an upstream service that turns
// slow: each owner backs off by what it sees, without asking the others. One cut for each round of calls.
void LearnScoringLimit(ScoringLimit& limit, ScoringSign sign, absl::Duration took, absl::Time now);

// The wait before a scoring call is sent again: longer with each attempt, up to a second.
absl::Duration ScoringPause(ScoringSign sign, int attempts);

// ---- Items of batch jobs ----------------------------------------------------------------------------------

struct ItemChoice {
  std::string model;                  //
  std::int64_t min_version = 0;       // oldest weights that may run it
  std::int64_t exact_version = 0;     // 0: any from min_version on
  std::string zone;                   // of this host
  std::string avoided;                // upstream that just failed it; empty: none
  std::vector<std::string> excluded;  // upstreams that are not wanted at all
  std::string preferred;              // upstream that has read the group's prompt; empty: none
  absl::Time now;                     //
};
// An upstream with a free slot that holds usable weights, or nullptr: the item waits here, where it can still
// be placed on whichever upstream is free first. Load answered: a step's items that come all at once, several
// times the slots.
UpstreamState* PickForItem(const std::vector<UpstreamState*>& usable, const ItemChoice& choice);

// The same for many items of one job: what a placement costs on each upstream is worked out once, and again
// only for the upstream that got an item. `exact_version` is that of `choice` in all calls.
struct PlacementCosts {
  std::vector<UpstreamState*> upstreams;  //
  std::vector<double> costs;              // infinite: cannot run it or has no room
  double usual_gap_ms = 1;                // median pace
};
PlacementCosts CostsForItems(const std::vector<UpstreamState*>& usable, const ItemChoice& choice);
UpstreamState* PickByCost(const PlacementCosts& costs, const ItemChoice& choice);
// `upstream` got or lost an item.
void UpdateCost(PlacementCosts& costs, const UpstreamState& upstream, const ItemChoice& choice);

// The engines that an owner uses for `items` items: the first ones by a rank that all steps of the model
// share, until they have three slots for each item; all engines where that is more than there are. Load
// answered: a fleet with ten times the engines that a step can fill, where asking each for its load,
// connecting to it and weighing it for each item costs the owner more than its items do.
std::vector<UpstreamState*> EngineShare(const std::vector<UpstreamState*>& usable, const std::string& model,
                                        std::int64_t min_version, int items);

// Requests that an upstream has now, as far as this host can tell: its own, and those of others by a recent
// report.
int EstimateRunning(const UpstreamState& upstream, absl::Time now);

// Expected time between events of a run that is placed there now.
double ExpectedGap(const UpstreamState& upstream, double usual_gap_ms, absl::Time now);

struct RunProgress {
  absl::Duration since_last_event;  // or since the start
  absl::Duration since_start;       // of this run
  int events_here = 0;              // of this run
  bool decisive = false;            // likely to be among the last of its step
  double gap_ms = 0;                // expected at the upstream at this moment
  double pace_ms = 0;               // of the upstream on the long average
  bool load_fresh = false;          // `gap_ms` and `queued` rest on a load that was asked for just now
  bool mute = false;                // the upstream left a question for its load unanswered
  bool queued = false;              // requests wait at the upstream
  double other_gap_ms = 0;          // of the best other upstream with room; 0: none has room
  double other_pace_ms = 0;         //
  bool other_load_fresh = false;    //
};
enum class RunVerdict {
  kStay,
  kAskLoads,  // worth a question to both upstreams, which costs a tenth of a new connection
  kMove,      // break the run off and continue it elsewhere from its last event
};
// Load answered: a step's last items on engines that turn slow for half a second because of their neighbours,
// go silent, are slower than others at all times, or have a queue. A move costs the event in progress, a
// prompt that is read again and mostly a new connection, so short items move only from engines that stay
// slow.
RunVerdict JudgeRun(const RunProgress& run);

// True for a load that was reported so short a time ago that a run may be moved on its word.
bool LoadIsFresh(const UpstreamState& upstream, absl::Time now);
// True for an upstream that has left a question for its load unanswered for longer than any link takes.
bool IsMute(const UpstreamState& upstream, absl::Time now);

// Median of the known paces; 0: none is known.
double MedianPace(const std::vector<UpstreamState*>& usable);

// ---- Weights ----------------------------------------------------------------------------------------------

struct EngineWeights {
  std::string id;                                   //
  std::map<std::string, std::int64_t> held;         // version by model
  bool loading = false;                             // an order is in progress
  absl::Time blocked_until = absl::InfinitePast();  // do not order before
  bool mine = false;                                // this host may order it
};
struct LoadChoice {
  std::string engine;  // empty: nothing to load now
  std::string model;   //
  std::int64_t version = 0;
};
// The next load that this host should order, unless `most_at_once` of its engines are loading. Steps accept
// the version before the named one, so half of a model's engines load each version, in turn: an engine that
// holds the one before goes on serving. Engines that are too old for the step come first. All hosts rank the
// engines alike, so that the holders of different zones choose the same ones.
LoadChoice PickLoad(const std::vector<EngineWeights>& engines,
                    const std::map<std::string, std::int64_t>& named,
                    const std::map<std::string, std::vector<std::string>>& assigned, int most_at_once,
                    absl::Time now);

// Loads of weights slow each other beyond one engine in five.
int MostLoadsAtOnce(int engines);

// The engines that hold each model, `copies` of the engines' count shared among the models: 1 assigns each
// engine to one model. Sorted by id, as PickLoad expects. Stable: an engine keeps its models when others come
// or go, as far as the shares allow.
std::map<std::string, std::vector<std::string>> AssignModels(const std::vector<std::string>& engines,
                                                             const std::vector<std::string>& models,
                                                             double copies);

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_DECISIONS_H_
