// Delivery of batches: manifests, hand-out, and recovery by a new lease holder.
#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "contracts/job_state.h"
#include "oleander/jobs.h"

namespace oleander {
namespace {

constexpr char kCommitted[] = "committed";
constexpr char kVoided[] = "voided";
constexpr char kAcknowledged[] = "acknowledged";  // acknowledged before the commit; has no group objects

std::string ProgressKey(const JobId& job) { return absl::StrCat("progress/", job); }
std::string BatchKey(const JobId& job, std::int64_t seq) { return absl::StrCat("batches/", job, "/", seq); }
std::string GroupPrefix(const JobId& job, std::int64_t step) {
  return absl::StrCat("groups/", job, "/", step, "/");
}

std::string NewWriteId(JobRunner& runner) {
  const Lease& lease = runner.lease;
  return absl::StrCat(lease.self, ".", lease.incarnation, ".", lease.row.fence, ".w",
                      ++runner.writes_started);
}

// JSON array of the group's samples.
std::string GroupBytes(const JobRunner& runner, const StepProgress& step, int group) {
  std::vector<std::string> samples;
  const std::size_t first = static_cast<std::size_t>(group) * runner.spec.group_size;
  for (int it = 0; it < runner.spec.group_size; ++it)
    samples.push_back(ToJson(step.slots[first + it].sample).dump());
  return absl::StrCat("[", absl::StrJoin(samples, ","), "]");
}

// Concatenates the stored JSON text of the groups, so that every host builds the same bytes from the same
// objects.
std::string BatchBytes(const JobId& job, std::int64_t seq, Version trainer_version,
                       const std::vector<std::string>& groups) {
  std::string bytes = absl::StrCat("{\"job\":", Json(job).dump(), ",\"samples\":[");
  for (const std::string& it : groups) {
    if (&it != &groups.front()) bytes += ",";
    bytes.append(it, 1, it.size() - 2);
  }
  absl::StrAppend(&bytes, "],\"seq\":", seq, ",\"trainer_version\":", trainer_version, "}");
  return bytes;
}

BatchAnswer AnswerFromMemory(const JobRunner& runner, std::int64_t seq, const Json& manifest,
                             bool provisional) {
  const StepProgress& step = runner.steps.at(seq);
  std::vector<std::string> groups;
  for (int it = 0; it < GroupCount(runner.spec); ++it) groups.push_back(GroupBytes(runner, step, it));
  return {seq, provisional,
          BatchBytes(runner.spec.id, seq, manifest.at("trainer_version").get<Version>(), groups)};
}

Version OldestOf(const StepProgress& step) {
  Version oldest = std::numeric_limits<Version>::max();
  for (const SlotProgress& it : step.slots) oldest = std::min(oldest, OldestVersion(it.sample.spans));
  return oldest;
}

Json NewManifest(JobRunner& runner, std::int64_t seq, Version trainer_version) {
  return {{"job", runner.spec.id},
          {"seq", seq},
          {"state", kCommitted},
          {"slots", runner.spec.samples_per_step},
          {"groups", Json::array()},
          {"trainer_version", trainer_version},
          {"oldest_version", OldestOf(runner.steps.at(seq))},
          {"fence", runner.lease.row.fence},
          {"replaces", runner.batch_revision},
          {"write_id", NewWriteId(runner)}};
}

Json ProgressRow(const JobRunner& runner, std::int64_t next) {
  return {{"next", next},
          {"acknowledged", runner.next_seq - 1},
          {"trainer_version", runner.trainer_version},
          {"fence", runner.lease.row.fence}};
}

bool TooOld(const JobRunner& runner, const Policy& policy, const Json& manifest, Version trainer_version) {
  if (!runner.checks.staleness) return false;
  return trainer_version - manifest.at("oldest_version").get<Version>() > policy.staleness_bound;
}

leaf::error_id LeaseLost(JobRunner& runner) {
  DiscardProgress(runner);
  return Fail(ErrorKind::kLeaseLost, absl::StrCat("job ", runner.spec.id, " is held by another host"));
}

leaf::error_id NotReady(const JobRunner& runner, std::int64_t seq) {
  return Fail(ErrorKind::kBatchNotReady, absl::StrCat("batch ", seq, " of job ", runner.spec.id));
}

// Renews or reads the lease now, even if its next action is not due.
leaf::result<LeaseState> CheckLeaseNow(JobRunner& runner, const TablePort& table, absl::Time now) {
  runner.lease.next_action = absl::InfinitePast();
  return TickLease(runner.lease, table, false, now);
}

enum class CommitResult { kDone, kRowsChanged };

// Writes the manifest and the progress row in one transaction if the lease, progress and batch rows are
// unchanged. Otherwise returns kRowsChanged with the present rows in `current`. Errors: kStoreUnavailable,
// kLeaseLost.
leaf::result<CommitResult> CommitManifest(JobRunner& runner, const TablePort& table, const Json& manifest,
                                          std::vector<TableRow>& current, absl::Time now) {
  const std::int64_t seq = manifest.at("seq").get<std::int64_t>();
  const std::string write_id = manifest.at("write_id").get<std::string>();
  const std::string batch_key = BatchKey(runner.spec.id, seq);
  const std::string progress_key = ProgressKey(runner.spec.id);
  const std::int64_t next = std::max(seq + 1, runner.next_seq);
  // Retries once, because a renewal whose response was lost changes the revision of a lease that is still
  // held.
  for (int it = 0; it < 2; ++it) {
    TableTxn txn;
    txn.compares = {LeaseCompare(runner.lease),
                    {progress_key, runner.progress_revision},
                    {batch_key, manifest.at("replaces").get<std::int64_t>()}};
    txn.writes = {{batch_key, manifest.dump()},
                  {progress_key, RowValue(ProgressRow(runner, next), write_id)}};
    BOOST_LEAF_AUTO(outcome, CommitWithReadBack(table, txn));
    if (outcome.committed) {
      runner.progress_revision = outcome.revision;
      if (seq == runner.next_seq) runner.batch_revision = outcome.revision;
      return CommitResult::kDone;
    }
    current = outcome.current;
    if (current.at(0).revision == runner.lease.revision) break;
    BOOST_LEAF_AUTO(state, CheckLeaseNow(runner, table, now));
    if (state != LeaseState::kHeld) return LeaseLost(runner);
  }
  return CommitResult::kRowsChanged;
}

// Called when the table holds rows that this host has not read; they must be read before the next hand-out.
void StartRecovery(JobRunner& runner) {
  runner.recovered = false;
  runner.groups_listed = false;
  runner.unread_groups.clear();
}

leaf::result<void> WriteMissingGroups(JobRunner& runner, const RunnerPorts& ports, std::int64_t seq,
                                      Json& manifest) {
  StepProgress& step = runner.steps.at(seq);
  for (int group = 0; group < GroupCount(runner.spec); ++group) {
    if (step.group_objects[group].empty()) BOOST_LEAF_CHECK(WriteGroup(runner, ports, seq, group));
  }
  manifest["groups"] = step.group_objects;
  return {};
}

// Writes the groups that are not stored yet and commits the manifest. After kRowsChanged, recovery is
// started.
leaf::result<CommitResult> CommitStep(JobRunner& runner, const RunnerPorts& ports, Json& manifest,
                                      absl::Time now) {
  if (!LeaseSafe(runner.lease, now))
    return Fail(ErrorKind::kStoreUnavailable, "lease renewal is overdue; the batch was not committed");
  const std::int64_t seq = manifest.at("seq").get<std::int64_t>();
  BOOST_LEAF_CHECK(WriteMissingGroups(runner, ports, seq, manifest));
  std::vector<TableRow> current;
  BOOST_LEAF_AUTO(result, CommitManifest(runner, ports.table, manifest, current, now));
  if (result == CommitResult::kRowsChanged) {
    StartRecovery(runner);
    return result;
  }
  runner.committed = manifest;
  runner.provisional.erase(seq);
  runner.counters.batches_committed += 1;
  return result;
}

// Commits a batch that the trainer acknowledged before it could be committed.
leaf::result<void> CommitAcknowledged(JobRunner& runner, const TablePort& table, std::int64_t seq,
                                      Json& manifest, absl::Time now) {
  if (manifest.at("state") != kAcknowledged) {
    manifest["state"] = kAcknowledged;
    manifest["groups"] = Json::array();
    manifest["write_id"] = NewWriteId(runner);
  }
  std::vector<TableRow> current;
  BOOST_LEAF_AUTO(result, CommitManifest(runner, table, manifest, current, now));
  if (result == CommitResult::kRowsChanged) {
    runner.progress_revision = current.at(1).revision;
    // An earlier commit of this batch took effect. Its content no longer matters, because the trainer has
    // acknowledged the batch.
    if (current.at(2).revision != manifest.at("replaces").get<std::int64_t>()) runner.provisional.erase(seq);
    return {};
  }
  runner.counters.batches_committed += 1;
  runner.provisional.erase(seq);
  return {};
}

// Voids the committed batch, which is too old for the version of the trainer that requests it again.
leaf::error_id VoidBatch(JobRunner& runner, const RunnerPorts& ports, const Policy& policy,
                         const BatchRequest& request, absl::Time now) {
  Json manifest = *runner.committed;
  manifest["state"] = kVoided;
  manifest["replaces"] = runner.batch_revision;
  manifest["write_id"] = NewWriteId(runner);
  std::vector<TableRow> current;
  const Outcome<CommitResult> result =
      Capture<CommitResult>([&] { return CommitManifest(runner, ports.table, manifest, current, now); });
  if (!Ok(result)) {
    const bool from_memory =
        ErrorOf(result).kind == ErrorKind::kStoreUnavailable && policy.deliver_without_store;
    if (!from_memory) return Fail(ErrorOf(result));
    // The old manifest stays in the table until a new one replaces it with the same compare. Until then other
    // hosts serve it only to requests for which it is not stale.
  } else if (Value(result) == CommitResult::kRowsChanged) {
    StartRecovery(runner);
    return NotReady(runner, request.seq);
  }
  runner.committed.reset();
  DropUndeliverable(runner, request.seq, policy, request.trainer_version, DropReason::kVoided);
  return Fail(ErrorKind::kBatchExpired,
              absl::StrCat("batch ", request.seq, " is too old for trainer version ", request.trainer_version,
                           "; it is being generated again under the same number"));
}

// Hands out the batch from memory, uncommitted, if `error` is a store failure and the policy allows it.
leaf::result<BatchAnswer> AnswerProvisional(JobRunner& runner, const Policy& policy, std::int64_t seq,
                                            Json manifest, const Error& error) {
  if (error.kind != ErrorKind::kStoreUnavailable || !policy.deliver_without_store) return Fail(error);
  const BatchAnswer answer = AnswerFromMemory(runner, seq, manifest, true);
  const bool repeated = !runner.provisional.insert_or_assign(seq, std::move(manifest)).second;
  runner.counters.batches_repeated += repeated;
  runner.counters.batches_provisional += !repeated;
  runner.counters.samples_handed_out += repeated ? 0 : runner.spec.samples_per_step;
  return answer;
}

// Commits the complete step `request.seq` and hands it out; provisionally if the store is unavailable.
leaf::result<BatchAnswer> CommitAndAnswer(JobRunner& runner, const RunnerPorts& ports, const Policy& policy,
                                          const BatchRequest& request, absl::Time now) {
  const std::int64_t seq = request.seq;
  const auto known = runner.provisional.find(seq);
  const bool repeated = known != runner.provisional.end();
  Json manifest = repeated ? known->second : NewManifest(runner, seq, request.trainer_version);
  const Outcome<CommitResult> result =
      Capture<CommitResult>([&] { return CommitStep(runner, ports, manifest, now); });
  if (!Ok(result)) return AnswerProvisional(runner, policy, seq, std::move(manifest), ErrorOf(result));
  if (Value(result) == CommitResult::kRowsChanged) return NotReady(runner, seq);
  runner.counters.batches_repeated += repeated;
  runner.counters.samples_handed_out += repeated ? 0 : runner.spec.samples_per_step;
  return AnswerFromMemory(runner, seq, *runner.committed, false);
}

leaf::result<BatchAnswer> HandOutStep(JobRunner& runner, const RunnerPorts& ports, const Policy& policy,
                                      const BatchRequest& request, absl::Time now) {
  if (runner.committed.has_value()) {
    if (TooOld(runner, policy, *runner.committed, request.trainer_version))
      return VoidBatch(runner, ports, policy, request, now);
    runner.counters.batches_repeated += 1;
    return AnswerFromMemory(runner, request.seq, *runner.committed, false);
  }
  const auto provisional = runner.provisional.find(request.seq);
  if (provisional != runner.provisional.end() &&
      TooOld(runner, policy, provisional->second, request.trainer_version))
    runner.provisional.erase(provisional);
  if (!runner.provisional.contains(request.seq))
    DropUndeliverable(runner, request.seq, policy, request.trainer_version, DropReason::kStale);
  const auto step = runner.steps.find(request.seq);
  if (step == runner.steps.end() || !IsComplete(step->second)) return NotReady(runner, request.seq);
  return CommitAndAnswer(runner, ports, policy, request, now);
}

// ---- Recovery

// Loads a group object into `step`. Returns false if its content is invalid or belongs to another group.
bool LoadGroup(const JobRunner& runner, StepProgress& step, std::int64_t seq, int group,
               const std::string& attempt, const std::string& bytes) {
  const Json json = Json::parse(bytes, nullptr, false);
  if (!json.is_array() || static_cast<int>(json.size()) != runner.spec.group_size) return false;
  std::vector<Sample> samples;
  for (int it = 0; it < runner.spec.group_size; ++it) {
    Outcome<Sample> sample = Capture<Sample>([&] { return SampleFromJson(json[it]); });
    if (!Ok(sample)) return false;
    if (Value(sample).slot != SlotKey{runner.spec.id, seq, group, it}) return false;
    if (OldestVersion(Value(sample).spans) == 0) return false;
    samples.push_back(std::move(Value(sample)));
  }
  for (int it = 0; it < runner.spec.group_size; ++it) {
    SlotProgress& slot = step.slots[static_cast<std::size_t>(group) * runner.spec.group_size + it];
    slot = {};
    slot.state = SlotState::kDone;
    slot.sample = std::move(samples[it]);
  }
  step.group_objects[group] = attempt;
  return true;
}

// True if a slot of the group has progress in memory, which a stored object must not overwrite.
bool HasProgress(const JobRunner& runner, const StepProgress& step, int group) {
  const std::size_t first = static_cast<std::size_t>(group) * runner.spec.group_size;
  for (int it = 0; it < runner.spec.group_size; ++it) {
    const SlotProgress& slot = step.slots[first + it];
    if (slot.state != SlotState::kPlanned || !slot.sample.tokens.empty()) return true;
  }
  return false;
}

leaf::result<void> ReadProgress(JobRunner& runner, const TablePort& table) {
  BOOST_LEAF_AUTO(row, table.read(ProgressKey(runner.spec.id)));
  runner.progress_revision = row.revision;
  if (row.revision == 0) return {};
  const Json json = Json::parse(row.value, nullptr, false);
  if (!json.is_object())
    return Fail(ErrorKind::kInternal, absl::StrCat(row.key, ": the row is not a JSON object"));
  // An acknowledgement that this host received stays valid even if a restored table shows a lower one.
  const std::int64_t next = json.value("acknowledged", std::int64_t{0}) + 1;
  if (next > runner.next_seq) Acknowledge(runner, next);
  runner.trainer_version = std::max(runner.trainer_version, json.value("trainer_version", Version{0}));
  return {};
}

leaf::result<void> ReadManifest(JobRunner& runner, const TablePort& table) {
  const std::int64_t seq = runner.next_seq;
  BOOST_LEAF_AUTO(row, table.read(BatchKey(runner.spec.id, seq)));
  runner.committed.reset();
  runner.batch_revision = row.revision;
  const auto provisional = runner.provisional.find(seq);
  const Json json = row.revision == 0 ? Json() : Json::parse(row.value, nullptr, false);
  if (!json.is_object() || json.value("state", "") != kCommitted) {
    if (provisional != runner.provisional.end()) provisional->second["replaces"] = row.revision;
    return {};
  }
  runner.committed = json;
  runner.steps.insert_or_assign(seq, NewStep(runner.spec));
  if (provisional != runner.provisional.end()) runner.provisional.erase(provisional);
  const Json& groups = json.at("groups");
  for (int group = 0; group < static_cast<int>(groups.size()); ++group) {
    runner.unread_groups.push_back(
        GroupObjectName(runner.spec.id, seq, group, groups[group].get<std::string>()));
  }
  return {};
}

leaf::result<void> ListGroups(JobRunner& runner, const RunnerPorts& ports, const Policy& policy) {
  for (std::int64_t seq = runner.next_seq; seq <= runner.next_seq + policy.steps_ahead; ++seq) {
    if (seq == runner.next_seq && runner.committed.has_value()) continue;
    BOOST_LEAF_AUTO(names, ports.objects.list(GroupPrefix(runner.spec.id, seq)));
    runner.unread_groups.insert(runner.unread_groups.end(), names.begin(), names.end());
  }
  return {};
}

leaf::result<void> ReadGroupObject(JobRunner& runner, const ObjectPort& objects, const Policy& policy,
                                   const std::string& name) {
  const std::vector<std::string> parts = absl::StrSplit(name, '/');
  std::int64_t seq = 0;
  int group = 0;
  if (parts.size() != 5 || !absl::SimpleAtoi(parts[2], &seq) || !absl::SimpleAtoi(parts[3], &group))
    return {};
  if (group < 0 || group >= GroupCount(runner.spec) || seq < runner.next_seq) return {};
  if (runner.provisional.contains(seq)) return {};
  StepProgress& step = runner.steps.try_emplace(seq, NewStep(runner.spec)).first->second;
  if (HasProgress(runner, step, group)) return {};
  Outcome<std::string> bytes = Capture<std::string>([&] { return objects.get(name); });
  if (!Ok(bytes)) {
    if (ErrorOf(bytes).kind == ErrorKind::kNotFound) return {};
    return Fail(ErrorOf(bytes));
  }
  LoadGroup(runner, step, seq, group, parts[4], Value(bytes));
  if (!runner.committed.has_value() || seq != runner.next_seq)
    DropUndeliverable(runner, seq, policy, runner.trainer_version, DropReason::kStale);
  return {};
}

}  // namespace

// ---- Shared with jobs.cc

std::string GroupObjectName(const JobId& job, std::int64_t step, int group, const std::string& attempt) {
  return absl::StrCat(GroupPrefix(job, step), group, "/", attempt);
}

leaf::result<void> WriteGroup(JobRunner& runner, const RunnerPorts& ports, std::int64_t step, int group) {
  StepProgress& progress = runner.steps.at(step);
  // Each try uses a new name: if the response to an earlier write was lost, its object may hold samples that
  // were dropped since.
  const std::string attempt = NewAttempt(runner);
  BOOST_LEAF_CHECK(ports.objects.put(GroupObjectName(runner.spec.id, step, group, attempt),
                                     GroupBytes(runner, progress, group)));
  progress.group_objects[group] = attempt;
  return {};
}

leaf::result<void> Recover(JobRunner& runner, const RunnerPorts& ports, const Policy& policy) {
  if (!runner.groups_listed) {
    runner.unread_groups.clear();
    BOOST_LEAF_CHECK(ReadProgress(runner, ports.table));
    BOOST_LEAF_CHECK(ReadManifest(runner, ports.table));
    BOOST_LEAF_CHECK(ListGroups(runner, ports, policy));
    runner.groups_listed = true;
  }
  for (int n = 0; n < kObjectsPerTick && !runner.unread_groups.empty(); ++n) {
    BOOST_LEAF_CHECK(ReadGroupObject(runner, ports.objects, policy, runner.unread_groups.back()));
    runner.unread_groups.pop_back();
  }
  if (!runner.unread_groups.empty()) return {};
  // A manifest with missing or invalid group objects cannot be served; the next commit replaces it.
  const auto step = runner.steps.find(runner.next_seq);
  if (runner.committed.has_value() && (step == runner.steps.end() || !IsComplete(step->second)))
    runner.committed.reset();
  runner.recovered = true;
  return {};
}

leaf::result<void> CommitProvisional(JobRunner& runner, const RunnerPorts& ports, absl::Time now) {
  if (!LeaseSafe(runner.lease, now)) return {};
  while (!runner.provisional.empty() && runner.recovered) {
    const std::int64_t seq = runner.provisional.begin()->first;
    Json& manifest = runner.provisional.begin()->second;
    if (seq < runner.next_seq) {
      const std::size_t before = runner.provisional.size();
      BOOST_LEAF_CHECK(CommitAcknowledged(runner, ports.table, seq, manifest, now));
      if (runner.provisional.size() == before) return {};
    } else {
      Json copy = manifest;
      BOOST_LEAF_CHECK(CommitStep(runner, ports, copy, now));
    }
  }
  return {};
}

void Acknowledge(JobRunner& runner, std::int64_t seq) {
  runner.next_seq = seq;
  runner.steps.erase(runner.steps.begin(), runner.steps.lower_bound(seq));
  runner.committed.reset();
  runner.batch_revision = 0;
}

void DiscardProgress(JobRunner& runner) {
  StartRecovery(runner);
  runner.steps.clear();
  runner.provisional.clear();
  runner.committed.reset();
  runner.batch_revision = 0;
  runner.progress_revision = 0;
}

// ---- Delivery

leaf::result<BatchRequest> BatchRequestFromJson(const Json& json) {
  if (!json.is_object()) return Fail(ErrorKind::kInvalidRequest, "batch request: must be a JSON object");
  BatchRequest request;
  try {
    request.job = json.value("job", "");
    request.trainer = json.value("trainer", "");
    request.seq = json.at("seq").get<std::int64_t>();
    request.trainer_version = json.at("trainer_version").get<Version>();
    request.request_id = json.value("request_id", "");
    if (json.contains("ack") && json.at("ack").get<std::int64_t>() != request.seq - 1)
      return Fail(ErrorKind::kInvalidRequest, "batch request: ack must be seq - 1");
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kInvalidRequest, absl::StrCat("batch request: ", ex.what()));
  }
  if (request.seq < 1) return Fail(ErrorKind::kInvalidRequest, "batch request: seq must be at least 1");
  if (request.trainer_version < 0)
    return Fail(ErrorKind::kInvalidRequest, "batch request: trainer_version must not be negative");
  return request;
}

leaf::result<BatchAnswer> HandOutBatch(JobRunner& runner, const RunnerPorts& ports, const Policy& policy,
                                       const BatchRequest& request, absl::Time now) {
  if (request.trainer != runner.spec.trainer)
    return Fail(ErrorKind::kForbidden, absl::StrCat("job ", runner.spec.id, " belongs to another trainer"));
  if (request.seq < 1) return Fail(ErrorKind::kInvalidRequest, "seq must be at least 1");
  if (runner.spec.state == JobState::kEnded)
    return Fail(ErrorKind::kNotFound, absl::StrCat("job ", runner.spec.id, " has ended"));
  if (runner.lease.state == LeaseState::kHeld && !LeaseSafe(runner.lease, now)) {
    // A failure is ignored: while the table does not respond, the holder hands out provisionally.
    static_cast<void>(Capture<LeaseState>([&] { return CheckLeaseNow(runner, ports.table, now); }));
  }
  if (runner.lease.state != LeaseState::kHeld) return LeaseLost(runner);
  if (!runner.recovered) return NotReady(runner, request.seq);
  BatchRequest effective = request;
  if (!runner.checks.sequence) effective.seq = runner.next_seq;
  if (effective.seq < runner.next_seq)
    return Fail(
        ErrorKind::kInvalidRequest,
        absl::StrCat("batch ", request.seq, " is already acknowledged; the next one is ", runner.next_seq));
  if (effective.seq > runner.next_seq) Acknowledge(runner, effective.seq);
  runner.trainer_version = std::max(runner.trainer_version, request.trainer_version);
  BOOST_LEAF_AUTO(answer, HandOutStep(runner, ports, policy, effective, now));
  if (!runner.checks.sequence) Acknowledge(runner, runner.next_seq + 1);
  return answer;
}

leaf::result<BatchAnswer> ReadCommittedBatch(const TablePort& table, const ObjectPort& objects,
                                             const JobSpec& spec, const Policy& policy,
                                             const BatchRequest& request) {
  if (request.trainer != spec.trainer)
    return Fail(ErrorKind::kForbidden, absl::StrCat("job ", spec.id, " belongs to another trainer"));
  BOOST_LEAF_AUTO(row, table.read(BatchKey(spec.id, request.seq)));
  const Json manifest = row.revision == 0 ? Json() : Json::parse(row.value, nullptr, false);
  if (!manifest.is_object() || manifest.value("state", "") != kCommitted)
    return Fail(ErrorKind::kBatchNotReady,
                absl::StrCat("not committed: batch ", request.seq, " of job ", spec.id));
  if (request.trainer_version - manifest.value("oldest_version", Version{0}) > policy.staleness_bound)
    return Fail(
        ErrorKind::kBatchExpired,
        absl::StrCat("batch ", request.seq, " is too old for trainer version ", request.trainer_version));
  std::vector<std::string> groups;
  for (const Json& it : manifest.at("groups")) {
    const std::string name =
        GroupObjectName(spec.id, request.seq, static_cast<int>(groups.size()), it.get<std::string>());
    BOOST_LEAF_AUTO(bytes, objects.get(name));
    if (bytes.size() < 2)
      return Fail(ErrorKind::kInternal, absl::StrCat("object ", name, " is not a JSON array"));
    groups.push_back(std::move(bytes));
  }
  return BatchAnswer{request.seq, false,
                     BatchBytes(spec.id, request.seq, manifest.value("trainer_version", Version{0}), groups)};
}

}  // namespace oleander
