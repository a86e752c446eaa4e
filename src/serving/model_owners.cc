#include "serving/model_owners.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "oleander/log_events.h"
#include "serving/batch_records.h"
#include "serving/decisions.h"

namespace oleander::serving {
namespace {

constexpr std::string_view kOwnerTable = "owner";        // one row per model
constexpr std::string_view kOwnerPartition = "jobs";     //
constexpr std::string_view kAssignedTable = "assigned";  // one partition per model, one row per job
constexpr absl::Duration kRetryPause = absl::Milliseconds(150);

}  // namespace

ModelOwners::ModelOwners(Loop& loop, Store& store, Directory& directory, ModelOwnerSettings settings)
    : loop_(loop), store_(store), directory_(directory), settings_(std::move(settings)) {}

bool ModelOwners::Owns(const std::string& model) const {
  const auto it = models_.find(model);
  return it != models_.end() && it->second.owned;
}

int ModelOwners::OwnedModels() const {
  return static_cast<int>(
      std::count_if(models_.begin(), models_.end(),
                    [](const std::pair<const std::string, Model>& it) { return it.second.owned; }));
}

RowWrite ModelOwners::OwnerRow(const std::string& model, const std::string& owner) const {
  BatchLease lease;
  lease.owner = owner;
  lease.valid_until = StoreTimeAt(clock_, loop_.Now()) + settings_.lease;
  lease.total = count_items ? count_items() : 0;
  return {{std::string(kOwnerTable), std::string(kOwnerPartition), model}, EncodeLease(lease)};
}

void ModelOwners::Tick() {
  if (released_) return;
  const absl::Time now = loop_.Now();
  for (std::pair<const std::string, Model>& it : models_) {
    if (it.second.owned && !it.second.write_in_flight && now >= it.second.next_renewal) Renew(it.first);
  }
  if (!scanning_ && now >= next_scan_) ScanOwners();
}

// ---- Ownership of models ----------------------------------------------------------------------------------

void ModelOwners::ScanOwners() {
  scanning_ = true;
  // Jitter, so that hosts that start at the same time do not scan at the same time.
  const double unit = static_cast<double>(HashText(settings_.incarnation) % 1000) / 1000;
  next_scan_ = loop_.Now() + settings_.scan_interval * (0.75 + 0.5 * unit);
  store_.Get({std::string(kOwnerTable), std::string(kOwnerPartition), "", "", 0},
             [this](const StoreReply& reply) {
               scanning_ = false;
               UpdateStoreClock(clock_, reply, loop_.Now());
               if (reply.outcome != StoreOutcome::kOk) store_failed_at_ = loop_.Now();
               if (reply.outcome != StoreOutcome::kOk || released_) return;
               std::map<std::string, std::int64_t> owned_versions;  // models whose lease has not expired
               std::map<std::string, std::int64_t> versions;        // of all rows
               for (const Row& it : reply.rows) {
                 const std::optional<BatchLease> lease = DecodeLease(it.value);
                 versions[it.id.key] = it.version;
                 if (lease && !lease->owner.empty() && reply.store_time <= lease->valid_until)
                   owned_versions[it.id.key] = it.version;
               }
               // The order differs from host to host, so that hosts that scan at the same time claim
               // different models.
               std::vector<std::pair<std::uint64_t, std::string>> vacant;
               for (const ServiceSpec& spec : directory_.PolicyInForce().services) {
                 for (const std::string& model : spec.models) {
                   Model& known = models_[model];
                   if (owned_versions.contains(model) || known.owned) {
                     known.vacant_since = absl::InfiniteFuture();
                   } else {
                     known.vacant_since = std::min(known.vacant_since, loop_.Now());
                     vacant.push_back({HashText(absl::StrCat(settings_.incarnation, "/", model)), model});
                   }
                 }
               }
               // After an outage of the store all leases have expired. The owners get time to renew them
               // first.
               if (loop_.Now() - store_failed_at_ < settings_.min_store_uptime) {
                 next_scan_ = std::min(next_scan_, store_failed_at_ + settings_.min_store_uptime);
                 return;
               }
               std::sort(vacant.begin(), vacant.end());
               const absl::Duration claim_delay =
                   settings_.claim_delay * (OwnedModels() + (settings_.has_enough_cpu ? 0 : 1));
               for (const std::pair<std::uint64_t, std::string>& it : vacant) {
                 const Model& known = models_[it.second];
                 if (known.write_in_flight || loop_.Now() - known.vacant_since < claim_delay) continue;
                 Claim(it.second, versions.contains(it.second) ? versions[it.second] : 0);
                 return;  // one claim per scan
               }
             });
}

void ModelOwners::Claim(const std::string& model, std::int64_t version) {
  models_[model].write_in_flight = true;
  Transaction transaction;
  transaction.writes = {OwnerRow(model, settings_.incarnation)};
  transaction.conditions = {{transaction.writes[0].id, version}};
  const absl::Time sent = loop_.Now();
  store_.Commit(transaction, [this, model, sent](const StoreReply& reply) {
    Model& known = models_[model];
    UpdateStoreClock(clock_, reply, loop_.Now());
    known.write_in_flight = false;
    if (reply.outcome != StoreOutcome::kOk || released_) return;
    known.owned = true;
    known.version = reply.version;
    known.next_renewal = sent + settings_.renew_every;
    LogEventLine(LogLevel::kInfo, LogEvent::kLeaseTaken,
                 {{"lease", "model"}, {"model", model}, {"version", known.version}});
    ReadAssigned(model);
  });
}

void ModelOwners::Renew(const std::string& model) {
  Model& owned = models_[model];
  owned.write_in_flight = true;
  owned.next_renewal = loop_.Now() + settings_.renew_every;
  Transaction transaction;
  transaction.writes = {OwnerRow(model, settings_.incarnation)};
  transaction.conditions = {{transaction.writes[0].id, owned.version}};
  store_.Commit(transaction, [this, model](const StoreReply& reply) {
    Model& known = models_[model];
    UpdateStoreClock(clock_, reply, loop_.Now());
    known.write_in_flight = false;
    if (!known.owned) return;
    if (reply.outcome == StoreOutcome::kOk) {
      known.version = reply.version;
      return;
    }
    if (reply.outcome != StoreOutcome::kConflict) return;  // retried at the next renewal
    for (const Row& it : reply.rows) {
      const std::optional<BatchLease> lease = DecodeLease(it.value);
      if (!lease || lease->owner != settings_.incarnation) continue;
      known.version = it.version;  // an earlier renewal was applied but its answer was lost
      return;
    }
    known.owned = false;
    LogEventLine(LogLevel::kWarning, LogEvent::kLeaseLost,
                 {{"lease", "model"}, {"model", model}, {"reason", "taken_by_another"}});
  });
}

void ModelOwners::Release() {
  released_ = true;
  for (std::pair<const std::string, Model>& it : models_) {
    if (!it.second.owned) continue;
    it.second.owned = false;
    Transaction transaction;
    transaction.writes = {OwnerRow(it.first, "")};
    transaction.conditions = {{transaction.writes[0].id, it.second.version}};
    store_.Commit(transaction, [](const StoreReply&) {});  // on failure the lease expires
    LogEventLine(LogLevel::kInfo, LogEvent::kLeaseLost,
                 {{"lease", "model"}, {"model", it.first}, {"reason", "released"}});
  }
}

// ---- Assignment of jobs -----------------------------------------------------------------------------------

void ModelOwners::Find(const std::string& model, std::function<void(const std::string&)> done) {
  if (Owns(model)) {
    done(settings_.incarnation);
    return;
  }
  const std::shared_ptr<std::function<void(const std::string&)>> once =
      std::make_shared<std::function<void(const std::string&)>>(std::move(done));
  const std::function<void(const std::string&)> finish = [once](const std::string& owner) {
    const std::function<void(const std::string&)> waiting = std::exchange(*once, nullptr);
    if (waiting) waiting(owner);
  };
  const TimerId timer = loop_.After(settings_.find_timeout, [finish] { finish(""); });
  store_.Get({std::string(kOwnerTable), std::string(kOwnerPartition), model, model + std::string(1, '\0'), 1},
             [this, finish, timer](const StoreReply& reply) {
               loop_.Cancel(timer);
               const std::optional<BatchLease> lease =
                   reply.rows.empty() ? std::nullopt : DecodeLease(reply.rows[0].value);
               const bool live =
                   reply.outcome == StoreOutcome::kOk && lease && reply.store_time <= lease->valid_until;
               finish(live && lease->total < settings_.max_items ? lease->owner : "");
             });
}

void ModelOwners::Assign(const std::string& model, const std::string& job) {
  Transaction transaction;
  transaction.writes = {{{std::string(kAssignedTable), model, job}, "1"}};
  store_.Commit(transaction, [job](const StoreReply& reply) {
    if (reply.outcome == StoreOutcome::kOk) return;
    // A host that serves a reader takes over the job when its lease has expired.
    LogEventLine(LogLevel::kWarning, LogEvent::kAssignmentFailed,
                 {{"job", job}, {"store", NameOf(reply.outcome)}});
  });
}

void ModelOwners::ReadAssigned(const std::string& model) {
  store_.Get({std::string(kAssignedTable), model, "", "", 0}, [this, model](const StoreReply& reply) {
    if (released_ || !Owns(model)) return;
    if (reply.outcome != StoreOutcome::kOk) {
      loop_.After(kRetryPause, [this, model] { ReadAssigned(model); });
      return;
    }
    for (const Row& it : reply.rows) HandleAssignment(it);
    watched_ = watched_ == 0 ? reply.version : std::min(watched_, reply.version);
    if (!watching_) Watch();
  });
}

void ModelOwners::Watch() {
  watching_ = true;
  store_.Watch(std::string(kAssignedTable), watched_, settings_.watch_wait, [this](const StoreReply& reply) {
    if (released_ || OwnedModels() == 0) {
      watching_ = false;
      watched_ = 0;
      return;
    }
    if (reply.outcome == StoreOutcome::kOk) {
      for (const Row& it : reply.rows) HandleAssignment(it);
      watched_ = std::max(watched_, reply.version);
      Watch();
      return;
    }
    // The change feed cannot be continued or the store does not answer: reads the assignment
    // rows instead.
    watching_ = false;
    watched_ = 0;
    for (const std::pair<const std::string, Model>& it : models_) {
      if (it.second.owned) loop_.After(kRetryPause, [this, model = it.first] { ReadAssigned(model); });
    }
  });
}

void ModelOwners::HandleAssignment(const Row& row) {
  if (row.removed || !Owns(row.id.partition)) return;
  if (on_assigned) on_assigned(row.id.key);
  Transaction transaction;
  transaction.removals = {row.id};
  store_.Commit(transaction, [](const StoreReply&) {});  // a row that is left is handled again, harmlessly
}

}  // namespace oleander::serving
