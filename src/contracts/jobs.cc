#include "oleander/jobs.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <utility>

#include "absl/hash/hash.h"
#include "absl/strings/str_cat.h"
#include "contracts/job_state.h"

namespace oleander {
namespace {

constexpr std::array<std::string_view, 3> kJobStateNames = {"running", "paused", "ended"};
constexpr std::array<std::string_view, 5> kSlotStateNames = {"planned", "dispatched", "generated", "scoring",
                                                             "done"};
constexpr std::array<std::string_view, kDropReasonCount> kDropReasonNames = {
    "stale", "unlabelled", "upstream", "protocol", "scoring", "voided"};

constexpr int kMaxPrompts = 10000;
constexpr int kMaxSamplesPerStep = 65536;
constexpr int kMaxGroupSize = 1024;
constexpr int kMaxTokens = 1000000;
constexpr int kMaxIdLength = 64;
// Max compare-and-set tries of SetJobState; each retry means that another change was committed in between.
constexpr int kMaxSetStateTries = 3;
constexpr int kMaxJobs = 1000;  // returned by ListJobs
constexpr absl::Duration kFirstBackoff = absl::Milliseconds(100);
constexpr int kMaxBackoffDoublings = 5;

std::string JobKey(const JobId& job) { return absl::StrCat("jobs/", job); }

leaf::result<void> Expect(bool holds, const char* message) {
  if (!holds) return Fail(ErrorKind::kInvalidRequest, absl::StrCat("job: ", message));
  return {};
}

leaf::result<JobSpec> SpecFromRow(const TableRow& row) {
  Json json = Json::parse(row.value, nullptr, false);
  if (!json.is_object())
    return Fail(ErrorKind::kInvalidRequest, absl::StrCat(row.key, ": the row is not a JSON object"));
  json.erase("write_id");
  return JobSpecFromJson(json);
}

// The jitter spreads retries. It is a hash of the attempt id, which is unique, so no random engine is needed.
absl::Duration Backoff(int failures, const std::string& attempt) {
  const int doublings = std::min(std::max(failures - 1, 0), kMaxBackoffDoublings);
  const double jitter = 0.5 + 0.5 * static_cast<double>(absl::HashOf(attempt) % 1024) / 1024;
  return kFirstBackoff * (1 << doublings) * jitter;
}

SlotProgress* FindSlot(JobRunner& runner, const SlotKey& slot) {
  const auto it = runner.steps.find(slot.step);
  if (slot.job != runner.spec.id || it == runner.steps.end()) return nullptr;
  if (slot.group < 0 || slot.group >= GroupCount(runner.spec)) return nullptr;
  if (slot.index < 0 || slot.index >= runner.spec.group_size) return nullptr;
  return &it->second.slots[static_cast<std::size_t>(slot.group) * runner.spec.group_size + slot.index];
}

void CountDrop(JobRunner& runner, DropReason reason, std::int64_t tokens) {
  runner.counters.dropped[static_cast<int>(reason)] += 1;
  runner.counters.tokens_dropped += tokens;
}

// The seed depends on the slot and on the number of starts, not on the host.
std::uint64_t SeedOf(const JobSpec& spec, const SlotKey& slot, int starts) {
  std::uint64_t seed = spec.seed;
  for (const std::uint64_t it :
       {static_cast<std::uint64_t>(slot.step), static_cast<std::uint64_t>(slot.group),
        static_cast<std::uint64_t>(slot.index), static_cast<std::uint64_t>(starts)})
    seed = (seed ^ it) * 0x9E3779B97F4A7C15ULL + 1;
  return seed;
}

void Dispatch(JobRunner& runner, const RunnerPorts& ports, const Policy& policy, const SlotKey& slot,
              SlotProgress& progress) {
  Sample& sample = progress.sample;
  // A resumed sample keeps its seed. A sample that starts over gets a new one, so that it does not repeat the
  // dropped tokens.
  if (sample.tokens.empty()) progress.starts += 1;
  progress.state = SlotState::kDispatched;
  progress.attempts += 1;
  sample.slot = slot;
  sample.attempt = NewAttempt(runner);
  const std::size_t prompt = (static_cast<std::size_t>(slot.step) * GroupCount(runner.spec) + slot.group) %
                             runner.spec.prompts.size();
  sample.prompt = runner.spec.prompts[prompt];
  GenerateRequest request;
  request.request_id = sample.attempt;
  request.model = runner.spec.model;
  request.prompt = sample.prompt;
  request.resume_tokens = sample.tokens;
  request.max_tokens = runner.spec.max_tokens;
  request.slice_tokens = policy.slice_tokens;
  request.seed = SeedOf(runner.spec, slot, progress.starts);
  request.work_class = WorkClass::kRollout;
  request.job = slot.job;
  request.step = slot.step;
  request.expected_tokens = runner.spec.max_tokens - static_cast<int>(sample.tokens.size());
  ports.generate(slot, sample.attempt, request);
}

// The trainer's version is assumed to increase by 1 with each step, so a later step needs samples that are
// still within the staleness bound at its hand-out.
bool FreshAtHandOut(const JobRunner& runner, const Policy& policy, std::int64_t step, Version version) {
  const Version trainer = runner.trainer_version + (step - runner.next_seq);
  return trainer - version <= policy.staleness_bound;
}

int CountDispatched(const JobRunner& runner) {
  int n = 0;
  for (const auto& [seq, step] : runner.steps) {
    for (const SlotProgress& it : step.slots) n += it.state == SlotState::kDispatched;
  }
  return n;
}

void PlanSteps(JobRunner& runner, const Policy& policy) {
  const std::int64_t last = runner.next_seq + policy.steps_ahead;
  for (std::int64_t seq = runner.next_seq; seq <= last; ++seq) {
    if (!runner.steps.contains(seq)) runner.steps.emplace(seq, NewStep(runner.spec));
  }
  runner.steps.erase(runner.steps.begin(), runner.steps.lower_bound(runner.next_seq));
  runner.steps.erase(runner.steps.upper_bound(last), runner.steps.end());
}

// True if a committed or provisional manifest fixes the samples of `seq`, because the trainer may request
// that batch again.
bool HasManifest(const JobRunner& runner, std::int64_t seq) {
  return (seq == runner.next_seq && runner.committed.has_value()) || runner.provisional.contains(seq);
}

void DispatchPlanned(JobRunner& runner, const RunnerPorts& ports, const Policy& policy,
                     Version engine_version, int max_dispatched, absl::Time now) {
  int available = max_dispatched - CountDispatched(runner);
  for (auto& [seq, step] : runner.steps) {
    if (HasManifest(runner, seq)) continue;
    // While the engines' version is unknown, samples may turn out stale, so only the trainer's next step is
    // started.
    const bool useful =
        engine_version == 0 ? seq == runner.next_seq : FreshAtHandOut(runner, policy, seq, engine_version);
    if (!useful) continue;
    for (int it = 0; it < runner.spec.samples_per_step && available > 0; ++it) {
      SlotProgress& slot = step.slots[it];
      if (slot.state != SlotState::kPlanned || now < slot.not_before) continue;
      const Version oldest = OldestVersion(slot.sample.spans);
      if (!slot.sample.tokens.empty() && !FreshAtHandOut(runner, policy, seq, oldest))
        DropSample(runner, seq, it, DropReason::kStale);
      Dispatch(runner, ports, policy, SlotOf(runner.spec, seq, it), slot);
      --available;
    }
  }
}

void StartScoring(JobRunner& runner, const RunnerPorts& ports, absl::Time now) {
  for (auto& [seq, step] : runner.steps) {
    for (SlotProgress& it : step.slots) {
      if (it.state != SlotState::kGenerated || now < it.not_before) continue;
      it.state = runner.spec.scoring.empty() ? SlotState::kDone : SlotState::kScoring;
      if (it.state == SlotState::kScoring) ports.score(it.sample);
    }
  }
}

leaf::result<void> WriteGroups(JobRunner& runner, const RunnerPorts& ports) {
  int n = 0;
  for (auto& [seq, step] : runner.steps) {
    for (int group = 0; group < GroupCount(runner.spec) && n < kObjectsPerTick; ++group) {
      if (!step.group_objects[group].empty() || !IsGroupDone(runner, step, group)) continue;
      BOOST_LEAF_CHECK(WriteGroup(runner, ports, seq, group));
      ++n;
    }
  }
  return {};
}

// Writes finished groups and commits provisional batches. Pauses after a failure, so that a store outage does
// not block every tick.
leaf::result<void> WriteInBackground(JobRunner& runner, const RunnerPorts& ports, absl::Time now) {
  if (now < runner.store_retry_at) return {};
  Outcome<std::monostate> outcome = Capture<std::monostate>([&]() -> leaf::result<void> {
    BOOST_LEAF_CHECK(WriteGroups(runner, ports));
    return CommitProvisional(runner, ports, now);
  });
  if (Ok(outcome)) return {};
  if (ErrorOf(outcome).kind == ErrorKind::kStoreUnavailable) runner.store_retry_at = now + kStoreRetryAfter;
  return Fail(ErrorOf(outcome));
}

// Appends the attempt's chunks to `sample`. If they violate the protocol, returns the reason; the caller must
// then discard `sample`.
std::optional<DropReason> AppendChunks(Sample& sample, const std::vector<GenerateChunk>& chunks,
                                       int max_tokens, bool check_labels) {
  for (const GenerateChunk& it : chunks) {
    if (sample.finish != FinishReason::kNone) return DropReason::kProtocol;
    if (!it.tokens.empty() && it.version <= 0 && check_labels) return DropReason::kUnlabelled;
    sample.tokens.insert(sample.tokens.end(), it.tokens.begin(), it.tokens.end());
    AppendSpan(sample.spans, it.version, static_cast<int>(it.tokens.size()));
    sample.finish = it.finish;
    if (static_cast<int>(sample.tokens.size()) > max_tokens) return DropReason::kProtocol;
  }
  return std::nullopt;
}

}  // namespace

std::string_view NameOf(JobState state) { return kJobStateNames[static_cast<int>(state)]; }
std::string_view NameOf(SlotState state) { return kSlotStateNames[static_cast<int>(state)]; }
std::string_view NameOf(DropReason reason) { return kDropReasonNames[static_cast<int>(reason)]; }

// ---- Specification

leaf::result<void> CheckJobSpec(const JobSpec& spec) {
  bool id_ok = !spec.id.empty() && spec.id.size() <= kMaxIdLength;
  for (const char c : spec.id) id_ok &= (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  BOOST_LEAF_CHECK(Expect(id_ok, "id must be 1 to 64 characters of a-z, 0-9 and -"));
  BOOST_LEAF_CHECK(Expect(!spec.trainer.empty(), "trainer must not be empty"));
  BOOST_LEAF_CHECK(Expect(!spec.model.empty(), "model must not be empty"));
  BOOST_LEAF_CHECK(Expect(!spec.prompts.empty() && spec.prompts.size() <= kMaxPrompts,
                          "prompts must have 1 to 10000 entries"));
  BOOST_LEAF_CHECK(
      Expect(spec.group_size >= 1 && spec.group_size <= kMaxGroupSize, "group_size must be 1 to 1024"));
  BOOST_LEAF_CHECK(Expect(spec.samples_per_step >= 1 && spec.samples_per_step <= kMaxSamplesPerStep,
                          "samples_per_step must be 1 to 65536"));
  BOOST_LEAF_CHECK(Expect(spec.samples_per_step % spec.group_size == 0,
                          "samples_per_step must be a multiple of group_size"));
  return Expect(spec.max_tokens >= 1 && spec.max_tokens <= kMaxTokens, "max_tokens must be 1 to 1000000");
}

Json ToJson(const JobSpec& spec) {
  return {{"id", spec.id},
          {"trainer", spec.trainer},
          {"model", spec.model},
          {"scoring", spec.scoring},
          {"prompts", spec.prompts},
          {"samples_per_step", spec.samples_per_step},
          {"group_size", spec.group_size},
          {"max_tokens", spec.max_tokens},
          {"seed", spec.seed},
          {"state", NameOf(spec.state)}};
}

leaf::result<JobSpec> JobSpecFromJson(const Json& json) {
  if (!json.is_object()) return Fail(ErrorKind::kInvalidRequest, "job: must be a JSON object");
  JobSpec spec;
  const Json known = ToJson(spec);
  for (const auto& it : json.items()) {
    if (!known.contains(it.key()))
      return Fail(ErrorKind::kInvalidRequest, absl::StrCat("job: unknown key ", it.key()));
  }
  try {
    spec.id = json.at("id").get<std::string>();
    spec.trainer = json.at("trainer").get<std::string>();
    spec.model = json.at("model").get<std::string>();
    spec.scoring = json.value("scoring", spec.scoring);
    spec.prompts = json.at("prompts").get<std::vector<std::string>>();
    spec.samples_per_step = json.value("samples_per_step", spec.samples_per_step);
    spec.group_size = json.value("group_size", spec.group_size);
    spec.max_tokens = json.value("max_tokens", spec.max_tokens);
    spec.seed = json.value("seed", spec.seed);
    const std::string state = json.value("state", std::string(NameOf(spec.state)));
    const auto it = std::find(kJobStateNames.begin(), kJobStateNames.end(), state);
    if (it == kJobStateNames.end())
      return Fail(ErrorKind::kInvalidRequest, absl::StrCat("job: state: unknown value ", state));
    spec.state = static_cast<JobState>(it - kJobStateNames.begin());
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kInvalidRequest, absl::StrCat("job: ", ex.what()));
  }
  BOOST_LEAF_CHECK(CheckJobSpec(spec));
  return spec;
}

leaf::result<void> CreateJob(const TablePort& table, const JobSpec& spec, const std::string& write_id) {
  BOOST_LEAF_CHECK(CheckJobSpec(spec));
  const std::string key = JobKey(spec.id);
  BOOST_LEAF_AUTO(outcome,
                  CommitWithReadBack(table, {{{key, 0}}, {{key, RowValue(ToJson(spec), write_id)}}}));
  if (outcome.committed) return {};
  BOOST_LEAF_AUTO(existing, SpecFromRow(outcome.current.front()));
  existing.state = spec.state;
  if (ToJson(existing) == ToJson(spec)) return {};
  return Fail(ErrorKind::kConflict,
              absl::StrCat("job ", spec.id, " already exists with another specification"));
}

leaf::result<JobSpec> SetJobState(const TablePort& table, const JobId& job, JobState state,
                                  const std::string& write_id) {
  const std::string key = JobKey(job);
  for (int it = 0; it < kMaxSetStateTries; ++it) {
    BOOST_LEAF_AUTO(row, table.read(key));
    if (row.revision == 0) return Fail(ErrorKind::kUnknownJob, absl::StrCat("job ", job));
    BOOST_LEAF_AUTO(spec, SpecFromRow(row));
    if (spec.state == state) return spec;
    if (spec.state == JobState::kEnded)
      return Fail(ErrorKind::kConflict, absl::StrCat("job ", job, " has ended and cannot be changed"));
    spec.state = state;
    const TableTxn txn = {{{key, row.revision}}, {{key, RowValue(ToJson(spec), write_id)}}};
    BOOST_LEAF_AUTO(outcome, CommitWithReadBack(table, txn));
    if (outcome.committed) return spec;
  }
  return Fail(ErrorKind::kConflict, absl::StrCat("job ", job, " was changed concurrently; try again"));
}

leaf::result<JobSpec> ReadJob(const TablePort& table, const JobId& job) {
  BOOST_LEAF_AUTO(row, table.read(JobKey(job)));
  if (row.revision == 0) return Fail(ErrorKind::kUnknownJob, absl::StrCat("job ", job));
  return SpecFromRow(row);
}

leaf::result<std::vector<JobSpec>> ListJobs(const TablePort& table) {
  BOOST_LEAF_AUTO(rows, table.list("jobs/", kMaxJobs));
  std::vector<JobSpec> specs;
  for (const TableRow& row : rows) {
    BOOST_LEAF_AUTO(spec, SpecFromRow(row));
    specs.push_back(std::move(spec));
  }
  return specs;
}

// ---- Shared with delivery.cc

int GroupCount(const JobSpec& spec) { return spec.samples_per_step / spec.group_size; }

SlotKey SlotOf(const JobSpec& spec, std::int64_t step, int position) {
  return {spec.id, step, position / spec.group_size, position % spec.group_size};
}

std::string NewAttempt(JobRunner& runner) {
  const Lease& lease = runner.lease;
  return absl::StrCat(lease.self, ".", lease.incarnation, ".", lease.row.fence, ".",
                      ++runner.attempts_started);
}

StepProgress NewStep(const JobSpec& spec) {
  StepProgress step;
  step.slots.resize(spec.samples_per_step);
  step.group_objects.resize(GroupCount(spec));
  return step;
}

bool IsComplete(const StepProgress& step) {
  return std::all_of(step.slots.begin(), step.slots.end(),
                     [](const SlotProgress& it) { return it.state == SlotState::kDone; });
}

bool IsGroupDone(const JobRunner& runner, const StepProgress& step, int group) {
  const auto first = step.slots.begin() + static_cast<std::ptrdiff_t>(group) * runner.spec.group_size;
  return std::all_of(first, first + runner.spec.group_size,
                     [](const SlotProgress& it) { return it.state == SlotState::kDone; });
}

void DropSample(JobRunner& runner, std::int64_t step, int position, DropReason reason) {
  StepProgress& progress = runner.steps.at(step);
  SlotProgress& slot = progress.slots[position];
  CountDrop(runner, reason, static_cast<std::int64_t>(slot.sample.tokens.size()));
  slot.state = SlotState::kPlanned;
  slot.sample = {};
  slot.failures = 0;
  progress.group_objects[position / runner.spec.group_size].clear();
}

int DropUndeliverable(JobRunner& runner, std::int64_t step, const Policy& policy, Version trainer_version,
                      DropReason reason) {
  const auto it = runner.steps.find(step);
  if (it == runner.steps.end()) return 0;
  int n = 0;
  for (int position = 0; position < runner.spec.samples_per_step; ++position) {
    const SlotProgress& slot = it->second.slots[position];
    const bool finished = slot.state == SlotState::kGenerated || slot.state == SlotState::kScoring ||
                          slot.state == SlotState::kDone;
    if (!finished) continue;
    const Version oldest = OldestVersion(slot.sample.spans);
    if (runner.checks.labels && oldest == 0) {
      DropSample(runner, step, position, DropReason::kUnlabelled);
      ++n;
    } else if (runner.checks.staleness && trainer_version - oldest > policy.staleness_bound) {
      DropSample(runner, step, position, reason);
      ++n;
    }
  }
  return n;
}

// ---- Running

leaf::result<void> TickJob(JobRunner& runner, const RunnerPorts& ports, const Policy& policy,
                           Version engine_version, int max_dispatched, absl::Time now) {
  if (runner.spec.state == JobState::kEnded) {
    DiscardProgress(runner);
    return ReleaseLease(runner.lease, ports.table);
  }
  const bool held_before = runner.lease.state == LeaseState::kHeld;
  if (!held_before && !runner.may_acquire) return {};
  const Outcome<LeaseState> state =
      Capture<LeaseState>([&] { return TickLease(runner.lease, ports.table, runner.may_acquire, now); });
  if (runner.lease.state != LeaseState::kHeld) {
    if (held_before) {
      DiscardProgress(runner);
      return Fail(ErrorKind::kLeaseLost, absl::StrCat("job ", runner.spec.id, " is held by another host"));
    }
    if (!Ok(state)) return Fail(ErrorOf(state));
    return {};
  }
  if (!held_before) DiscardProgress(runner);
  if (!runner.recovered) {
    if (!Ok(state)) return Fail(ErrorOf(state));
    BOOST_LEAF_CHECK(Recover(runner, ports, policy));
    if (!runner.recovered) return {};
  }
  PlanSteps(runner, policy);
  for (const auto& [seq, step] : runner.steps) {
    if (!HasManifest(runner, seq))
      DropUndeliverable(runner, seq, policy, runner.trainer_version, DropReason::kStale);
  }
  if (runner.spec.state == JobState::kRunning) {
    DispatchPlanned(runner, ports, policy, engine_version, max_dispatched, now);
    StartScoring(runner, ports, now);
  }
  if (!Ok(state)) return Fail(ErrorOf(state));
  return WriteInBackground(runner, ports, now);
}

void FinishGeneration(JobRunner& runner, const GenerationEnd& end, absl::Time now) {
  std::int64_t received = 0;
  for (const GenerateChunk& it : end.chunks) received += static_cast<std::int64_t>(it.tokens.size());
  SlotProgress* slot = FindSlot(runner, end.slot);
  if (slot == nullptr || slot->state != SlotState::kDispatched || slot->sample.attempt != end.attempt) {
    CountDrop(runner, DropReason::kProtocol, received);
    return;
  }
  Sample sample = slot->sample;
  std::optional<DropReason> reason =
      AppendChunks(sample, end.chunks, runner.spec.max_tokens, runner.checks.labels);
  // A stream that fails after a chunk with a finish reason contradicts that chunk.
  if (!reason.has_value() && end.failure.has_value() && sample.finish != FinishReason::kNone)
    reason = DropReason::kProtocol;
  slot->state = SlotState::kPlanned;
  if (reason.has_value()) {
    // Tokens of an unknown version: the whole sample is dropped, including the tokens of earlier attempts.
    // Other protocol violations discard only this attempt's tokens.
    CountDrop(runner, *reason, received);
    if (*reason == DropReason::kUnlabelled) {
      runner.counters.tokens_dropped += static_cast<std::int64_t>(slot->sample.tokens.size());
      slot->sample = {};
    }
    slot->failures += 1;
    slot->not_before = now + Backoff(slot->failures, end.attempt);
    return;
  }
  runner.counters.tokens_generated += received;
  // "length" below max_tokens marks the end of a slice. Without a new token it ends the sample, because the
  // engine cannot extend it.
  const bool sliced = sample.finish == FinishReason::kLength && received > 0 &&
                      static_cast<int>(sample.tokens.size()) < runner.spec.max_tokens;
  if (sliced) sample.finish = FinishReason::kNone;
  const bool full = static_cast<int>(sample.tokens.size()) == runner.spec.max_tokens;
  if (full && sample.finish == FinishReason::kNone) sample.finish = FinishReason::kLength;
  slot->sample = std::move(sample);
  if (slot->sample.finish != FinishReason::kNone) {
    if (runner.checks.labels && OldestVersion(slot->sample.spans) == 0) {
      CountDrop(runner, DropReason::kUnlabelled, 0);
      slot->sample = {};
      slot->failures += 1;
      slot->not_before = now + Backoff(slot->failures, end.attempt);
      return;
    }
    slot->state = SlotState::kGenerated;
    slot->failures = 0;
    slot->not_before = absl::InfinitePast();
    return;
  }
  if (end.failure.has_value() || received == 0) {
    CountDrop(runner, DropReason::kUpstream, 0);
    slot->failures += 1;
    slot->not_before = now + Backoff(slot->failures, end.attempt);
    return;
  }
  slot->failures = 0;
  slot->not_before = absl::InfinitePast();
}

void FinishScoring(JobRunner& runner, const SlotKey& slot, const std::string& attempt,
                   const Outcome<double>& score, absl::Time now) {
  SlotProgress* progress = FindSlot(runner, slot);
  if (progress == nullptr || progress->state != SlotState::kScoring || progress->sample.attempt != attempt) {
    CountDrop(runner, DropReason::kProtocol, 0);
    return;
  }
  if (!Ok(score) || !std::isfinite(Value(score))) {
    CountDrop(runner, DropReason::kScoring, 0);
    progress->failures += 1;
    progress->not_before = now + Backoff(progress->failures, attempt);
    progress->state = SlotState::kGenerated;
    return;
  }
  progress->sample.score = Value(score);
  progress->sample.scored = true;
  progress->failures = 0;
  progress->not_before = absl::InfinitePast();
  progress->state = SlotState::kDone;
}

}  // namespace oleander
