// State of a batch job at its owner. Private to the batch service.
#ifndef OLEANDER_SRC_SERVING_BATCH_JOB_H_
#define OLEANDER_SRC_SERVING_BATCH_JOB_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "serving/batch_service.h"

namespace oleander::serving {

inline constexpr std::size_t kMaxRowsInCommit =
    95;  // the store accepts 100; the rest is for the lease and a result split into several rows

inline constexpr absl::Duration kRetryPause = absl::Milliseconds(80);  // after a failed call to the store

struct BatchService::Item {
  BatchItem spec;
  std::size_t index = 0;
  std::size_t rank = 0;  // position in the order in which items are started
  Phase phase = Phase::kWaiting;
  // Text generated so far, kept across runs.
  std::string output;
  std::int64_t events = 0;
  std::int64_t last_event = 0;
  std::set<std::int64_t> versions;
  std::optional<std::string>
      software;  // version of the engine software that began the text; nullopt: no text, or unknown
  std::set<std::string> sources;  // ids of the upstreams that generated parts of the text
  std::int64_t checkpointed_events = 0;
  bool checkpointed_complete = false;
  bool has_partial_row = false;
  int failures = 0;  // runs for which the engine reported a failure
  absl::Time not_before = absl::InfinitePast();
  std::string avoided;     // upstream of the last failure
  bool reconnect = false;  // the last run fell silent, so the next one does not use an idle connection
  // The run in progress.
  std::uint64_t run = 0;
  CallId call = 0;
  std::string upstream;
  std::string run_software;                  // software version of `upstream` when the run was started
  std::int64_t run_upstream_started_ms = 0;  // identifies the start of `upstream` that the run was sent to
  absl::Time first_started = absl::InfiniteFuture();  // start of the first run at this host
  int runs = 0;                                       // at this host
  absl::Time stopped_at = absl::InfinitePast();       // end of the last run; or when its stored text was read
  absl::Time started;
  absl::Time last_progress;
  int events_in_run = 0;
  absl::Time next_load_query = absl::InfinitePast();  // earliest time of the next load queries for this run
  AnswerHead head;
  absl::Time head_at;        // start of the run until the head arrives
  std::int64_t version = 0;  // current weight version of the run
  EventStreamReader reader;
  int unframed_ends = 0;  // answers without a length that ended in order
  // Once the text is complete.
  ScoringId scoring = 0;  // call in progress
  absl::Time text_completed_at = absl::InfiniteFuture();
  std::string score;  // signature of the scoring answer
};

// The engines of one service that a job uses.
struct BatchService::EngineSet {
  std::vector<UpstreamState*> engines;
  std::uint64_t generation = 0;  // of the directory, when it was computed
  absl::Time valid_until = absl::InfinitePast();
};

// What one pass over the items of a job knows of the engines of one service.
struct BatchService::ServicePass {
  std::vector<UpstreamState*> engines;  //
  std::optional<PlacementCosts> costs;  // for items of any software version; computed when first needed
  double median_pace_ms = 0;            //
  bool loads_reported = false;          // by any of the engines
  bool can_run = false;                 // see ServiceRoom; for items of any software version
  bool full = false;                    // no free slot for items of any software version
  int slots = 0;                        //
  int taken = 0;                        // of the slots
};

struct BatchService::PendingResult {
  std::size_t item = 0;  // its index
  ItemResult result;
};

struct BatchService::Job {
  BatchSubmission submission;  // only its id while `loading`
  HeldCharge charge;           // for its items
  bool loading = true;     // the lease is this host's, but the items have not been read from the store yet
  std::uint64_t load = 0;  // the load in progress
  BatchLease lease;        // as last written to the store
  std::int64_t lease_version = 0;
  std::vector<Item> items;
  std::vector<std::size_t> order;  // item by rank
  std::set<std::size_t> waiting;   // ranks
  int running = 0;
  int texts_resumed = 0;         // stored texts that its items continue
  int load_queries_pending = 0;  // unanswered load queries; the first items are placed after them
  absl::Time load_queries_until = absl::InfinitePast();  // placement waits for them no longer than this
  bool frozen = false;                                   // no run is started
  bool handing_over = false;
  absl::Time ready_at = absl::InfinitePast();  // when its items could first be placed; not yet: infinite past
  std::map<std::string, EngineSet> engines;    // by service
  std::map<std::string, std::vector<std::string>> group_services;  // by group, as RankServices returns them
  std::int64_t group_services_policy = 0;                          // version of the policy that they rest on
  std::map<std::string, std::string> group_upstream;  // by group, the upstream that has processed its prompt
  std::deque<PendingResult> pending;                  // results that are not committed yet
  std::optional<Transaction> attempt;  // write in progress; retried unchanged until its outcome is known
  BatchLease attempt_lease;
  std::size_t attempt_results = 0;
  bool commit_in_flight = false;
  absl::Time retry_at = absl::InfinitePast();
  absl::Time last_commit;
  absl::Time attempt_first_sent;
  absl::Time attempt_sent;  // when it was last sent
  absl::Time confirmed_at;  // when the last write that the store has confirmed was sent
  int confirmed_writes = 0;
  absl::Time owned_since;
  absl::Time last_checkpoint;
  bool checkpoint_in_flight = false;
  std::size_t checkpoint_from = 0;              // index of the item at which the next checkpoint begins
  std::vector<std::string> partials_to_remove;  // item ids
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_BATCH_JOB_H_
