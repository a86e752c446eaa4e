// Leases on models: the owner of a model runs the batch jobs of that model. All jobs of a model use the same
// engines. With one owner, connections to the engines are reused from step to step, and the placement of an
// item accounts for the items of all other jobs of the model.
//
//   Tick      renews the leases of the models that this host owns, and claims models without an owner
//   Find      looks up the owner of a model in the store
//   Assign    notifies the owner of a job that this host has accepted for it
//   Release   gives up all models
//
// Ownership of a model is only a hint: a job belongs to the host named in the job's own lease, and any host
// that serves a reader takes over a job whose lease has expired. An owner that is dead, frozen or partitioned
// delays its jobs by the duration of one lease.
#ifndef OLEANDER_SRC_SERVING_MODEL_OWNERS_H_
#define OLEANDER_SRC_SERVING_MODEL_OWNERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "absl/time/time.h"
#include "oleander/serving.h"
#include "serving/directory.h"
#include "serving/store_clock.h"

namespace oleander::serving {

struct ModelOwnerSettings {
  std::string incarnation;                               // of this host
  bool has_enough_cpu = true;                            // to run all jobs of a model
  absl::Duration lease = absl::Milliseconds(1500);       // duration of a model's lease after a renewal
  absl::Duration renew_every = absl::Milliseconds(400);  //
  absl::Duration scan_interval = absl::Seconds(2);       // interval between reads of the owner table
  // A host delays its claim of a vacant model by this for each model that it owns, and once more unless
  // `has_enough_cpu`, so that less loaded hosts with more CPU claim the model first.
  absl::Duration claim_delay = absl::Seconds(3);
  absl::Duration min_store_uptime = absl::Milliseconds(1500);  // no claim for this long after a failed read
  int max_items = 500;  // no new jobs from here on; 500 items in 8 s, at 3 ms of CPU each, use 0.2 cores
  absl::Duration find_timeout = absl::Milliseconds(40);  // of Find, so that a slow store does not delay a job
  absl::Duration watch_wait = absl::Milliseconds(600);   // of the feed; short, to detect a store outage soon
};

class ModelOwners {
 public:
  ModelOwners(Loop& loop, Store& store, Directory& directory, ModelOwnerSettings settings);
  // Called for each job that is assigned to this host.
  std::function<void(const std::string& job)> on_assigned;
  // Returns the number of items of the jobs that this host runs; published to other hosts with each renewal.
  std::function<int()> count_items;

  // Call it a few times a second.
  void Tick();
  // See BatchService::NoteStoreUnreachable.
  void NoteStoreUnreachable() { store_failed_at_ = loop_.Now(); }
  // Calls `done` with the owner's incarnation, or with "" if there is no owner, it has `max_items` items or
  // more, or the store does not answer within `find_timeout`; the calling host then runs the job itself.
  void Find(const std::string& model, std::function<void(const std::string&)> done);
  void Assign(const std::string& model, const std::string& job);
  void Release();
  bool Owns(const std::string& model) const;

 private:
  struct Model {
    bool owned = false;
    bool write_in_flight = false;
    std::int64_t version = 0;  // of the owner row, while owned
    absl::Time next_renewal = absl::InfinitePast();
    absl::Time vacant_since = absl::InfiniteFuture();
  };

  void ScanOwners();
  void Claim(const std::string& model, std::int64_t version);
  void Renew(const std::string& model);
  void ReadAssigned(const std::string& model);
  void Watch();
  void HandleAssignment(const Row& row);
  RowWrite OwnerRow(const std::string& model, const std::string& owner) const;
  int OwnedModels() const;

  Loop& loop_;
  Store& store_;
  Directory& directory_;
  ModelOwnerSettings settings_;
  StoreClock clock_;
  bool released_ = false;
  bool scanning_ = false;
  bool watching_ = false;
  std::int64_t watched_ = 0;  // store version up to which assignments have been read
  absl::Time next_scan_ = absl::InfinitePast();
  absl::Time store_failed_at_ = absl::InfinitePast();  // the last time the store did not answer
  std::map<std::string, Model> models_;
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_MODEL_OWNERS_H_
