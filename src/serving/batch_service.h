// Batch jobs. A job is accepted by one durable write, run by the host that holds its lease, and read at any
// host from the store.
//
//   Submit    accepts a job: one conditional write of the whole job with the lease of the model's owner
//   Read      returns results from a position on; finds a lease that has run out and takes the job over
//   ItemBody  returns the body of an item
//   End       marks the job as ended; its owner stops within a renewal interval
//   Tick      places items, renews leases, writes results; call it every few milliseconds while Busy() holds
//   Sweep     removes jobs whose retention time is over; call it about once a minute
//   HandOver  writes the texts of running items and gives all leases up
//
// Owners never coordinate with each other: a write whose lease row has changed fails, and the owner drops the
// job.
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
#include "serving/decisions.h"
#include "serving/directory.h"
#include "serving/event_stream.h"
#include "serving/model_owners.h"
#include "serving/scoring.h"
#include "serving/store_clock.h"

namespace oleander::serving {

struct BatchSettings {
  std::string incarnation;                               // of this host; differs after each start
  std::string zone;                                      //
  absl::Duration lease = absl::Milliseconds(1200);       // without renewal, another host takes over
  absl::Duration calm_store = absl::Milliseconds(1500);  // of answered reads, before a host takes over
  absl::Duration renew_every = absl::Milliseconds(300);  // also bounds how late an end is noticed
  // Without a confirmed write for so long, a job that the store could confirm starts nothing new: it may have
  // been ended. Callers are promised 3 s from the end of a job to the last start of an item.
  absl::Duration unconfirmed_limit = absl::Milliseconds(2500);
  absl::Duration commit_every = absl::Milliseconds(40);        // results gather for so long
  absl::Duration checkpoint_every = absl::Milliseconds(1000);  // texts of running items
  absl::Duration keep_whole_after = absl::Milliseconds(100);   // whole texts that wait for their score
  absl::Duration poll_every = absl::Milliseconds(60);          // store reads of a waiting reader
  absl::Duration silence_limit = absl::Milliseconds(2500);     // a run without a byte is broken off
  absl::Duration accept_patience = absl::Milliseconds(1500);   // of a submission while the store refuses
  absl::Duration retention = absl::Minutes(5);        // of an ended or finished job, from its acceptance
  absl::Duration longest_retention = absl::Hours(1);  // of a job that nobody ended
  absl::Duration sweep_every = absl::Minutes(1);      // over all hosts
  std::size_t max_row_bytes = 60000;                  // of a row's value
  std::size_t max_commit_bytes = 500000;              // of all values in one transaction
  std::size_t max_object_bytes = 4 << 20;             //
  std::size_t max_page_bytes = 900000;                // results of one answer to a reader
};

class BatchService {
 public:
  using Done = std::function<void(BatchOutcome)>;
  using PageDone = std::function<void(BatchOutcome, const BatchPage&)>;
  using BodyDone = std::function<void(BatchOutcome, std::string)>;

  BatchService(Loop& loop, Store& store, UpstreamLink& link, Directory& directory, BatchSettings settings);
  ~BatchService();

  // Jobs are accepted for the owner of their model from now on; without this, each host runs what it accepts.
  void UseOwners(ModelOwners& owners) { owners_ = &owners; }
  void Submit(BatchSubmission submission, Done done);
  // Runs a job that another host has accepted for this one.
  void TakeAssigned(const std::string& job);
  void Read(const std::string& job, std::int64_t after, absl::Duration wait, PageDone done);
  void ItemBody(const std::string& job, const std::string& item, BodyDone done);
  void End(const std::string& job, Done done);
  void Tick();
  // The store does not answer this host; call it again and again while that holds. Leases that have run out
  // are not taken over until the store has answered for a while, so that living owners renew them first.
  void NoteStoreAway() { read_failed_at_ = store_away_at_ = loop_.Now(); }
  void Sweep();
  // While this host does not reach the store, scoring calls go to upstreams of its own zone first.
  void SetZoneAlone(bool alone) { scoring_.SetZoneAlone(alone); }
  bool Busy() const { return !jobs_.empty(); }
  // Accepts nothing and takes nothing over from now on.
  void StopAccepting() { accepting_ = false; }
  void HandOver(std::function<void()> done);

  int OwnedJobs() const { return static_cast<int>(jobs_.size()); }
  int RunningItems() const;
  int WaitingItems() const;

 private:
  enum class Phase { kWaiting, kRunning, kScoring, kListed };
  struct Item;
  struct Job;
  struct Accepting;
  struct Reading;

  void WriteSubmission(const std::shared_ptr<Accepting>& accepting);
  void WriteObjects(const std::shared_ptr<Accepting>& accepting, int piece);
  void OnSubmissionWritten(const std::shared_ptr<Accepting>& accepting, const StoreReply& reply);
  void Own(BatchSubmission submission, const BatchLease& lease, std::int64_t lease_version);
  void TakeOver(const std::string& job, const BatchLease& expired, std::int64_t lease_version);
  void LoadJob(const std::string& job, const BatchLease& lease, std::int64_t lease_version);
  void OnJobRows(const std::string& job, const BatchLease& lease, std::int64_t lease_version,
                 std::vector<Row> rows);
  void FetchRange(RowRange range, std::vector<Row> rows,
                  std::function<void(StoreOutcome, std::vector<Row>)> done);
  void FetchSubmission(const std::string& job, std::vector<Row> rows,
                       std::function<void(StoreOutcome, std::optional<BatchSubmission>)> done);
  void FetchObjects(const std::string& job, int count, std::string bytes,
                    std::function<void(StoreOutcome, std::optional<BatchSubmission>)> done);
  void LoadPartials(Job& job);
  void SharePaces(Job& job);
  void LearnPaces(const std::string& service);
  void ReadOnce(const std::shared_ptr<Reading>& reading);
  void SweepPage(const std::string& after);
  void SweepJobs(std::deque<std::string> jobs, std::function<void()> done);
  void RemoveJob(const std::string& job, std::int64_t lease_version, std::function<void()> done);

  void Dispatch();
  ItemChoice MakeChoice(const Job& job, const Item& item, const Route& route) const;
  const std::vector<UpstreamState*>& Share(Job& job, const std::string& service);
  void PlaceItems(Job& job);
  UpstreamState* PickExact(Item& item, const std::vector<UpstreamState*>& share, ItemChoice choice,
                           bool& wait);
  void StartRun(Job& job, Item& item, UpstreamState& upstream);
  void OnRunHead(const std::string& job, std::size_t item, std::uint64_t run, const AnswerHead& head);
  void OnRunBytes(const std::string& job, std::size_t item, std::uint64_t run, std::string_view bytes);
  void OnRunEnd(const std::string& job, std::size_t item, std::uint64_t run, CallEnd end);
  void StopRun(Job& job, Item& item);
  void FinishText(Job& job, Item& item, int scoring_failures);
  void OnScored(const std::string& job, std::size_t item, const ScoringOutcome& outcome);
  void StopWork(Job& job);
  bool MayStart(const Job& job) const;
  bool WholeTextsToKeep(const Job& job) const;
  void Requeue(Job& job, Item& item, absl::Duration pause, std::string_view reason);
  void ListItem(Job& job, Item& item, ItemState state);
  void DropText(Item& item);
  bool AskLoad(const ServiceSpec& spec, UpstreamState& upstream, std::function<void()> done);
  void AskLoads(Job& job);
  static bool IsDecisive(const Job& job, const Item& item);
  void MoveSlowRuns(Job& job);
  void GiveUpLate(Job& job);
  void CommitResults(Job& job);
  void OnResultsCommitted(const std::string& id, const StoreReply& reply);
  void Checkpoint(Job& job, bool all, std::function<void()> done);
  std::vector<Transaction> MakeCheckpoint(Job& job, bool all);
  void Drop(const std::string& id, std::string_view reason);
  absl::Duration StoreNow() const;
  void NoteStoreTime(const StoreReply& reply);
  void Finish(Job& job);
  static Job MakeJob(BatchSubmission submission);
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
  StoreClock store_clock_;
  ModelOwners* owners_ = nullptr;
  absl::Time store_away_at_ = absl::InfinitePast();   // the last time the whole store was away
  absl::Time read_failed_at_ = absl::InfinitePast();  // the last time the store did not answer
  std::map<std::string, std::unique_ptr<Job>> jobs_;
  std::set<std::string> taking_over_;
  ScoringCalls scoring_;
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_BATCH_SERVICE_H_
