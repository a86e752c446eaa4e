// Batch jobs. A job is accepted with one durable write, run by the host that holds its lease, and read from
// the store by any host.
//
//   Submit    accepts a job: one conditional write of the complete job and its lease
//   Read      returns results from a position on; takes over the job if its lease has expired
//   ItemBody  returns the request body of an item
//   End       marks the job as ended; its owner stops it within a renewal interval
//   Tick      places items, renews leases, writes results; call it every few milliseconds while Busy()
//   Sweep     removes jobs whose retention time is over; call it about once a minute
//   HandOver  writes the texts of running items to the store and gives up all leases
//
// Owners do not communicate with each other. Each write is conditional on the lease row: if another host has
// changed it, the write fails and the owner drops the job.
#ifndef OLEANDER_SRC_SERVING_BATCH_SERVICE_H_
#define OLEANDER_SRC_SERVING_BATCH_SERVICE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "oleander/serving.h"
#include "serving/batch_records.h"
#include "serving/capacity.h"
#include "serving/decisions.h"
#include "serving/directory.h"
#include "serving/event_stream.h"
#include "serving/held_bytes.h"
#include "serving/model_owners.h"
#include "serving/scoring.h"
#include "serving/store_clock.h"

namespace oleander::serving {

struct BatchSettings {
  std::string incarnation;                                     // of this host; differs after each start
  std::string zone;                                            //
  absl::Duration lease = absl::Milliseconds(1200);             // from a renewal until another host takes over
  absl::Duration min_store_uptime = absl::Milliseconds(1500);  // no takeover sooner after a failed read
  absl::Duration renew_every = absl::Milliseconds(300);        // also the delay of noticing an ended job
  // A job whose last confirmed write is older than this starts no runs while the store answers other calls,
  // because the job may have been ended. Callers are promised that no item starts later than 3 s after the
  // end of its job.
  absl::Duration max_unconfirmed = absl::Milliseconds(2500);
  absl::Duration commit_every = absl::Milliseconds(40);                // results are batched for this long
  absl::Duration checkpoint_every = absl::Milliseconds(1000);          // for texts of unfinished items
  absl::Duration checkpoint_unscored_after = absl::Milliseconds(100);  // for complete texts without a score
  absl::Duration poll_every = absl::Milliseconds(60);        // between store reads for a waiting reader
  absl::Duration silence_limit = absl::Milliseconds(2500);   // a run without data for this long is cancelled
  absl::Duration accept_timeout = absl::Milliseconds(1500);  // retries of a submission while the store fails
  // A new owner that reads nothing of its job for this long gives it up, so that another host can try.
  absl::Duration max_load_stall = absl::Seconds(5);
  absl::Duration retention = absl::Minutes(5);    // of an ended or finished job, from its acceptance
  absl::Duration max_retention = absl::Hours(1);  // of a job that was neither ended nor finished
  absl::Duration sweep_every = absl::Minutes(1);  // one sweep for all hosts
  std::size_t max_row_bytes = 60000;              // of a row's value
  std::size_t max_commit_bytes = 500000;          // of all values in one transaction
  std::size_t max_object_bytes = 4 << 20;         //
  std::size_t max_page_bytes = 900000;            // of the results in one answer to a reader
};

class BatchService {
 public:
  using Done = std::function<void(BatchOutcome)>;
  using PageDone = std::function<void(BatchOutcome, const BatchPage&)>;
  using BodyDone = std::function<void(BatchOutcome, std::string)>;

  BatchService(Loop& loop, Store& store, UpstreamLink& link, Directory& directory, BatchSettings settings);
  ~BatchService();

  // From now on, accepted jobs are assigned to the owner of their model. Without this, each host runs the
  // jobs that it accepts.
  void UseOwners(ModelOwners& owners) { owners_ = &owners; }
  // From now on, jobs are on the account as long as this host stores or runs them, and a submission without
  // room is refused. Jobs that were accepted elsewhere are run in any case.
  void UseHeldBytes(HeldBytes& account) { account_ = &account; }
  void Submit(BatchSubmission submission, Done done);
  // True if there is room for `bytes` of a submission that is being decoded.
  bool HasRoomFor(std::size_t bytes) const {
    return account_ == nullptr || account_->MayHold(HeldKind::kJobs, 0, bytes);
  }
  // Starts a job that another host has accepted and assigned to this one.
  void StartAssignedJob(const std::string& job);
  void Read(const std::string& job, std::int64_t after, absl::Duration wait, PageDone done);
  void ItemBody(const std::string& job, const std::string& item, BodyDone done);
  void End(const std::string& job, Done done);
  void Tick();
  // Call it after upstreams have granted permits (request_limits.h).
  void OnPermitsGranted() {
    Dispatch();
    scoring_.Dispatch();
  }
  // Reports that the store does not answer this host; call it repeatedly as long as that is so. Expired
  // leases are not taken over until the store has answered for `min_store_uptime`, so that live owners can
  // renew them first.
  void NoteStoreUnreachable() { read_failed_at_ = store_unreachable_at_ = loop_.Now(); }
  void Sweep();
  // While this host does not reach the store, scoring calls prefer upstreams of its own zone.
  void SetZoneIsolated(bool isolated) { scoring_.SetZoneIsolated(isolated); }
  bool Busy() const { return !jobs_.empty(); }
  // From now on, accepts no submissions and takes over no jobs.
  void StopAccepting() { accepting_ = false; }
  void HandOver(std::function<void()> done);

  // Items of this host's jobs, by the service that runs them.
  std::map<std::string, ServiceDemand> DemandByService() const;
  int OwnedJobs() const { return static_cast<int>(jobs_.size()); }
  int RunningItems() const;
  int WaitingItems() const;

 private:
  enum class Phase { kWaiting, kRunning, kScoring, kFinished };
  struct Item;
  struct EngineSet;
  struct ServicePass;
  using ServicePasses = std::map<std::string, ServicePass>;
  struct PendingResult;
  struct Job;
  struct SubmitOp;
  struct ReadOp;
  struct LoadOp;
  // Gets the submission of a job, or nullptr if there is none or it cannot be read.
  using SubmissionDone = std::function<void(StoreOutcome, const BatchSubmission*)>;
  struct ObjectFetch {
    std::string job;
    int count = 0;        // objects
    absl::Time deadline;  // to begin
    std::vector<SubmissionDone> done;
  };

  void WriteSubmission(const std::shared_ptr<SubmitOp>& submit_op);
  void WriteObjects(const std::shared_ptr<SubmitOp>& submit_op, int piece);
  void OnSubmissionWritten(const std::shared_ptr<SubmitOp>& submit_op, const StoreReply& reply);
  // Adds a job whose lease this host holds. The host renews the lease from now on, also while it reads the
  // job's items, which may take longer than a lease.
  Job& AddOwnedJob(const std::string& id, const BatchLease& lease, std::int64_t lease_version);
  void TakeOverIfExpired(const std::string& job, const JobState& state, absl::Duration store_time);
  void TakeOver(const std::string& job, const BatchLease& expired, std::int64_t lease_version);
  void LoadJob(Job& job);
  void LoadRows(const std::shared_ptr<LoadOp>& load_op, RowRange range);
  void LoadObject(const std::shared_ptr<LoadOp>& load_op, int piece, int count);
  Job* FindLoading(const LoadOp& load_op);
  void RetryLoad(const std::shared_ptr<LoadOp>& load_op, std::function<void()> step);
  void OnRowsLoaded(const std::shared_ptr<LoadOp>& load_op);
  void OnJobLoaded(const LoadOp& load_op, std::string_view submission);
  std::optional<std::string> FindListedItems(const LoadOp& load_op, const BatchSubmission& submission);
  void OnRecordUnreadable(const std::string& job, std::string_view key);
  void SetItems(Job& job, BatchSubmission submission, std::string_view listed_items);
  static std::string ListedItems(const Job& job);
  void FetchRange(RowRange range, std::vector<Row> rows,
                  std::function<void(StoreOutcome, std::vector<Row>)> done);
  void FetchSubmission(const std::string& job, std::vector<Row> rows, SubmissionDone done);
  void FetchObjects(const std::string& job, int count, SubmissionDone done);
  void StartObjectFetch();
  void FetchObject(int piece, std::string bytes);
  void EndObjectFetch(StoreOutcome outcome, std::string_view bytes);
  void LoadPartials(Job& job);
  void ReadTexts(const std::string& job, const RowRange& range, std::vector<Row> rows, absl::Time started);
  std::size_t AdoptTexts(Job& job, const std::vector<Row>& rows);
  void StartItems(Job& job, std::string_view texts);
  void WritePaces(Job& job);
  void ReadPaces(const std::string& service);
  void ReadOnce(const std::shared_ptr<ReadOp>& read_op);
  void SweepPage(const std::string& after);
  void SweepJobs(std::deque<std::string> jobs, std::function<void()> done);
  void RemoveJob(const std::string& job, std::int64_t lease_version, std::function<void()> done);

  void Dispatch();
  ItemChoice MakeChoice(const Job& job, const Item& item, const Route& route) const;
  const std::vector<std::string>& ServicesFor(Job& job, const Item& item, const Route& route) const;
  const std::vector<UpstreamState*>& EnginesFor(Job& job, const Route& route, const std::string& service);
  ServicePass& PassFor(ServicePasses& passes, Job& job, const Route& route, const std::string& service);
  static UpstreamState* PickInService(ServicePass& pass, const ItemChoice& choice);
  UpstreamState* PickForPlacement(ServicePasses& passes, Job& job, const Item& item, const Route& route,
                                  const ItemChoice& choice);
  void PlaceItems(Job& job);
  ItemChoice MakePlacement(const Job& job, const Item& item, const Route& route) const;
  void WantPermits(const std::vector<UpstreamState*>& engines, const ItemChoice& choice, int items);
  bool DiscardUnlessWaiting(Job& job, Item& item, const Route& route, const ItemChoice& choice);
  void StartRun(Job& job, Item& item, UpstreamState& upstream);
  void OnRunHead(const std::string& job, std::size_t item, std::uint64_t run, const AnswerHead& head);
  void OnRunBytes(const std::string& job, std::size_t item, std::uint64_t run, std::string_view bytes);
  void OnRunEnd(const std::string& job, std::size_t item, std::uint64_t run, CallEnd end);
  void StopRun(Job& job, Item& item);
  void CompleteText(Job& job, Item& item, int scoring_failures);
  void OnScored(const std::string& job, std::size_t item, const ScoringOutcome& outcome);
  void StopWork(Job& job);
  bool MayStart(const Job& job) const;
  bool HasUnscoredTextToCheckpoint(const Job& job) const;
  void Requeue(Job& job, Item& item, absl::Duration pause, std::string_view reason);
  void FinishItem(Job& job, Item& item, ItemState state);
  void DiscardText(Item& item);
  void LogDiscardedText(const Job& job, const Item& item, std::string_view reason) const;
  bool IsSoftwareCertain(const Item& item) const;
  bool QueryLoad(UpstreamState& upstream, std::function<void()> done);
  void QueryLoads(Job& job);
  static bool IsTailItem(const Job& job, const Item& item);
  void MoveSlowRuns(Job& job);
  bool MustLeave(const Item& item, UpstreamState& upstream, double median_pace_ms);
  void AskForDeparture(UpstreamState& upstream);
  void LearnLength(const Item& item);
  void AbandonLateItems(Job& job);
  void CommitResults(Job& job);
  void OnResultsCommitted(const std::string& id, const StoreReply& reply);
  void Checkpoint(Job& job, bool all, std::function<void()> done);
  std::vector<Transaction> MakeCheckpoint(Job& job, bool all);
  void Drop(const std::string& id, std::string_view reason);
  absl::Duration StoreNow() const;
  void UpdateStoreClock(const StoreReply& reply);
  void Finish(Job& job);
  static void RankItems(Job& job);
  Job* FindJob(const std::string& id);
  Item* FindRun(const std::string& job, std::size_t item, std::uint64_t run);
  std::string PartialPartition(const Job& job) const;

  Loop& loop_;
  Store& store_;
  UpstreamLink& link_;
  Directory& directory_;
  BatchSettings settings_;
  bool accepting_ = true;
  bool dispatching_ = false;
  std::uint64_t next_run_ = 1;
  std::uint64_t next_load_ = 1;
  StoreClock store_clock_;
  ModelOwners* owners_ = nullptr;
  HeldBytes* account_ = nullptr;
  absl::Time store_unreachable_at_ = absl::InfinitePast();  // last call of NoteStoreUnreachable
  absl::Time read_failed_at_ = absl::InfinitePast();  // last NoteStoreUnreachable or failed read of results
  std::map<std::string, std::unique_ptr<Job>> jobs_;
  // Submissions in objects that readers wait for. The first one is being read: each may be as large as a
  // request, and those who wait for the same one share it.
  std::deque<ObjectFetch> object_fetches_;
  bool fetching_objects_ = false;
  std::set<std::string> taking_over_;           // jobs whose lease is being read or written
  std::map<std::string, absl::Time> given_up_;  // jobs that this host could not read, and when it gave up
  double events_per_hint_ = 0;  // moving average over complete texts of events / length hint; 0: none yet
  ScoringCalls scoring_;
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_BATCH_SERVICE_H_
