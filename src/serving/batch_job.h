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
    95;  // the store takes 100; the lease and a split result need some

struct BatchService::Item {
  BatchItem spec;
  std::size_t index = 0;
  std::size_t rank = 0;  // place in the order of starting
  Phase phase = Phase::kWaiting;
  // Text so far, kept over runs.
  std::string output;
  std::int64_t events = 0;
  std::int64_t last_event = 0;
  std::set<std::int64_t> versions;
  std::int64_t checkpointed_events = 0;
  bool checkpointed_whole = false;
  bool has_partial_row = false;
  int failures = 0;  // answers that say that the attempt failed
  absl::Time not_before = absl::InfinitePast();
  std::string avoided;  // upstream of the last failure
  // Of the run in progress.
  std::uint64_t run = 0;
  CallId call = 0;
  std::string upstream;
  absl::Time first_started = absl::InfiniteFuture();  // of all runs here
  int runs = 0;
  absl::Time started;
  absl::Time last_progress;
  int events_in_run = 0;
  absl::Time next_question = absl::InfinitePast();  // for the loads of its upstream and of another
  AnswerHead head;
  absl::Time head_at;        // or the start of the run
  std::int64_t version = 0;  // of the weights at this moment
  EventStreamReader reader;
  int unframed_ends = 0;  // answers without a length that ended in good order
  // From the end of the text on.
  ScoringId scoring = 0;  // call in progress
  absl::Time text_whole = absl::InfiniteFuture();
  std::string score;  // signature of the scoring answer
};

struct BatchService::Job {
  BatchSubmission submission;
  BatchLease lease;  // as last written
  std::int64_t lease_version = 0;
  std::vector<Item> items;
  std::vector<std::size_t> order;  // item by rank
  std::set<std::size_t> waiting;   // ranks
  int running = 0;
  bool ready = false;     // stored texts have been looked for
  int loads_pending = 0;  // questions to upstreams before the first items are placed
  absl::Time loads_until = absl::InfinitePast();
  bool frozen = false;  // nothing new is started
  bool handing_over = false;
  std::vector<UpstreamState*> share;  // engines that it uses; of the list's generation `share_of`
  std::uint64_t share_of = 0;
  absl::Time share_until = absl::InfinitePast();
  std::map<std::string, std::string> group_upstream;  // that has read the group's prompt
  std::deque<ItemResult> pending;                     // results without a position
  std::optional<Transaction> attempt;  // write in progress; repeated as it is until its outcome is known
  BatchLease attempt_lease;
  std::size_t attempt_results = 0;
  bool commit_in_flight = false;
  absl::Time retry_at = absl::InfinitePast();
  absl::Time last_commit;
  absl::Time attempt_first_sent;
  absl::Time attempt_sent;  // last sending
  absl::Time confirmed_at;  // sending of the last write that the store has confirmed
  absl::Time last_checkpoint;
  bool checkpoint_in_flight = false;
  std::size_t checkpoint_from = 0;              // item with which the next round begins
  std::vector<std::string> partials_to_remove;  // item ids
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_BATCH_JOB_H_
