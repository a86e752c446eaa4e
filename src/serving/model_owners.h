// Which host runs the batch jobs of a model. Jobs of one model use the same engines; at one host their
// connections to the engines are kept from step to step, and their items never meet unseen.
//
//   Tick      renews what this host owns, and claims a model that nobody owns
//   Find      the owner of a model, asked of the store
//   Assign    tells the owner of a job that another host has accepted for it
//   Release   gives all models up
//
// The owner of a model is a hint: a job belongs to the host that its own lease names, and any reader takes
// over a job whose lease runs out. An owner that is dead, frozen or cut off costs the time of one lease.
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
  bool strong = true;                                    // has the processor time for all jobs of a model
  absl::Duration lease = absl::Milliseconds(1500);       // of a model, from its last renewal
  absl::Duration renew_every = absl::Milliseconds(400);  //
  absl::Duration look_every = absl::Seconds(2);          // reads of the models' owners
  absl::Duration patience = absl::Seconds(3);            // a vacancy is left so long to better hosts
  absl::Duration calm_store = absl::Milliseconds(1500);  // of answered reads, before a model is claimed
  int most_items = 500;  // in an owner's hands; an item takes 3 ms of processor time, 500 in 8 s 0.2 cores
  absl::Duration find_timeout = absl::Milliseconds(40);  // a slow store is not waited for
  absl::Duration watch_wait = absl::Milliseconds(600);   // of the feed; short, so that silence shows soon
};

class ModelOwners {
 public:
  ModelOwners(Loop& loop, Store& store, Directory& directory, ModelOwnerSettings settings);
  // Called for each job that is assigned to this host.
  std::function<void(const std::string& job)> on_assigned;
  // Items of the jobs that this host runs; told to the others with each renewal.
  std::function<int()> items_in_hand;

  // Call it a few times a second.
  void Tick();
  // As BatchService::NoteStoreAway.
  void NoteStoreAway() { away_at_ = loop_.Now(); }
  // `done` gets the owner's incarnation, or "" if there is none, it has its hands full, or the store does not
  // answer in time: the host that asks then runs the job itself.
  void Find(const std::string& model, std::function<void(const std::string&)> done);
  void Assign(const std::string& model, const std::string& job);
  void Release();
  bool Owns(const std::string& model) const;

 private:
  struct Model {
    bool owned = false;
    bool calling = false;
    std::int64_t version = 0;  // of the row, while owned
    absl::Time next_renewal = absl::InfinitePast();
    absl::Time vacant_since = absl::InfiniteFuture();
  };

  void Look();
  void Claim(const std::string& model, std::int64_t version);
  void Renew(const std::string& model);
  void ReadAssigned(const std::string& model);
  void Watch();
  void TakeAssigned(const Row& row);
  RowWrite OwnerRow(const std::string& model, const std::string& owner) const;
  int Owned() const;

  Loop& loop_;
  Store& store_;
  Directory& directory_;
  ModelOwnerSettings settings_;
  StoreClock clock_;
  bool released_ = false;
  bool looking_ = false;
  bool watching_ = false;
  std::int64_t watched_ = 0;  // version of the store up to which assignments are known
  absl::Time next_look_ = absl::InfinitePast();
  absl::Time away_at_ = absl::InfinitePast();  // the last time the store did not answer
  std::map<std::string, Model> models_;
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_MODEL_OWNERS_H_
