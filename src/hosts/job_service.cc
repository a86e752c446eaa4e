// Rollout jobs on one host: the thread of each job, acquisition of leases, batches for trainers.
#include <algorithm>
#include <cassert>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "contracts/strict_json.h"
#include "hosts/host_state.h"

namespace oleander {
namespace {

// Interval between ticks of a held job while attempts are running, and while none is because the trainer has
// all samples that it may have.
constexpr absl::Duration kBusyTickInterval = absl::Milliseconds(20);
constexpr absl::Duration kIdleTickInterval = absl::Milliseconds(100);
// Interval between ticks on a host that does not hold the lease. TickLease reads the lease row less often.
constexpr absl::Duration kFollowerTickInterval = absl::Milliseconds(100);
// Number of hosts that compete for one lease. If all 370 hosts watched 10 leases every 3 s, the table would
// get 1,200 reads/s.
constexpr int kMaxLeaseCompetitors = 3;
// Interval between two listings of the job rows. It grows with the number of hosts, so that all hosts
// together do at most 100 listings/s.
constexpr absl::Duration kMinJobListInterval = absl::Seconds(2);
constexpr int kMaxJobListsPerSecond = 100;
// Before a batch request is forwarded, a cached lease holder older than this is read again.
constexpr absl::Duration kMaxHolderAge = absl::Seconds(1);
constexpr absl::Duration kHolderRetryInterval = absl::Milliseconds(100);
// Added to the deadline of the peer call that carries a long poll.
constexpr absl::Duration kPeerCallMargin = absl::Seconds(2);
constexpr int kMaxOutcomesPerRound = 100;

Lease NewLease(const Host& host, const JobId& job) {
  Lease lease;
  lease.key = absl::StrCat("leases/", job);
  lease.limits.lifetime = absl::Milliseconds(host.settings.lease_lifetime_ms);
  // The default lifetime of 10 s is renewed every 3 s.
  lease.limits.renew_every = lease.limits.lifetime * 0.3;
  lease.self = host.settings.host.id;
  lease.incarnation = host.incarnation;
  return lease;
}

// Rank of this host among the live hosts for acquiring the job's lease; 0 is first. Rendezvous hashing
// spreads the jobs over the hosts.
int LeaseRank(const Host& host, const JobId& job) {
  const ReadView view(*host.routing);
  const auto score = [&job](const HostId& id) {
    // FNV-1a with a final mix. Every host must compute the same value; absl::Hash is seeded per process.
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char it : absl::StrCat(id, "/", job)) {
      hash = (hash ^ static_cast<unsigned char>(it)) * 1099511628211ULL;
    }
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33);
  };
  const std::uint64_t mine = score(host.settings.host.id);
  int rank = 0;
  for (const Member& it : view->members) {
    if (it.id != host.settings.host.id && score(it.id) > mine) ++rank;
  }
  return rank;
}

// Newest known weight version of the model. If the estimate is too high, samples are generated that are
// dropped at hand-out. If it is too low, work would never be started, so the weight target is included as
// well.
Version EstimateVersion(Host& host, const PoolId& model) {
  const absl::MutexLock lock(&host.control_mutex);
  Version version = 0;
  const auto target = host.membership.weights.find(model);
  if (target != host.membership.weights.end()) version = target->second;
  for (const auto& [id, entry] : host.upstreams) {
    const auto it = host.membership.upstreams.find(id);
    if (it == host.membership.upstreams.end() || it->second.pool != model) continue;
    version = std::max(version, entry.load.version);
    if (entry.hint) version = std::max(version, entry.hint->version.load(std::memory_order_relaxed));
  }
  return version;
}

Policy JobPolicy(const Host& host, const JobSpec& spec) {
  const ReadView view(*host.routing);
  return EffectivePolicy(view->policy, view->exceptions, {spec.id, spec.model, view->zone, ""});
}

// Adds the runner's counts since the last call to the process-wide metrics.
void ExportCounters(JobEntry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(entry.mutex) {
  const JobCounters& now = entry.runner.counters;
  JobCounters& old = entry.exported;
  Metrics& metrics = GlobalMetrics();
  const auto add = [&metrics](std::string_view name, std::string_view label, std::int64_t now_n,
                              std::int64_t& old_n) {
    if (now_n > old_n) AddCounter(metrics, name, label, now_n - old_n);
    old_n = now_n;
  };
  for (int it = 0; it < kDropReasonCount; ++it) {
    const DropReason reason = static_cast<DropReason>(it);
    const std::int64_t dropped = now.dropped[it] - old.dropped[it];
    if (dropped > 0) {
      LogEventLine(LogLevel::kInfo, LogEvent::kSampleDropped,
                   {{"job", entry.runner.spec.id}, {"reason", NameOf(reason)}, {"samples", dropped}});
      const RetryReason retry = reason == DropReason::kStale        ? RetryReason::kStaleSample
                                : reason == DropReason::kUnlabelled ? RetryReason::kUnlabelledSample
                                : reason == DropReason::kScoring    ? RetryReason::kScoringFailed
                                : reason == DropReason::kProtocol   ? RetryReason::kUpstreamProtocol
                                                                    : RetryReason::kUpstreamFailed;
      for (std::int64_t n = 0; n < dropped; ++n) CountRetry(metrics, retry);
    }
    add("samples_dropped", NameOf(reason), now.dropped[it], old.dropped[it]);
  }
  if (now.batches_committed > old.batches_committed) {
    LogEventLine(LogLevel::kInfo, LogEvent::kBatchCommitted,
                 {{"job", entry.runner.spec.id}, {"next_seq", entry.runner.next_seq}});
  }
  if (now.batches_provisional > old.batches_provisional) {
    LogEventLine(LogLevel::kWarning, LogEvent::kBatchProvisional,
                 {{"job", entry.runner.spec.id}, {"next_seq", entry.runner.next_seq}});
  }
  add("batches", "committed", now.batches_committed, old.batches_committed);
  add("batches", "provisional", now.batches_provisional, old.batches_provisional);
  add("batches", "repeated", now.batches_repeated, old.batches_repeated);
  add("samples", "handed_out", now.samples_handed_out, old.samples_handed_out);
  add("tokens", "generated", now.tokens_generated, old.tokens_generated);
  add("tokens", "dropped", now.tokens_dropped, old.tokens_dropped);
}

// A generation requested by the runner. The runner must not be called back from its ports, so requests are
// collected and submitted after the runner's function has returned.
struct GenerationTask {
  SlotKey slot;
  std::string attempt;
  GenerateRequest request;
};

void RunGenerationTask(Host& host, const std::shared_ptr<JobEntry>& entry, std::uint64_t epoch,
                       GenerationTask task) {
  GenerationEnd end;
  end.slot = task.slot;
  end.attempt = task.attempt;
  const std::function<bool()> wanted = [&] {
    return !entry->stop.load(std::memory_order_acquire) &&
           entry->epoch.load(std::memory_order_acquire) == epoch;
  };
  if (wanted()) {
    const Outcome<std::monostate> outcome = Capture<std::monostate>([&]() -> leaf::result<void> {
      return Generate(
          host, std::move(task.request), false,
          [&end](const GenerateChunk& chunk) {
            end.chunks.push_back(chunk);
            return true;
          },
          wanted);
    });
    if (!Ok(outcome)) end.failure = ErrorOf(outcome);
  } else {
    end.failure =
        Error{ErrorKind::kLeaseLost, "the lease was lost or released before the generation started"};
  }
  {
    const absl::MutexLock lock(&entry->mutex);
    if (entry->epoch.load(std::memory_order_acquire) == epoch)
      FinishGeneration(entry->runner, end, absl::Now());
    entry->changed.SignalAll();
  }
  entry->attempts_running.fetch_sub(1, std::memory_order_release);
}

void RunScoring(Host& host, const std::shared_ptr<JobEntry>& entry, std::uint64_t epoch, const PoolId& pool,
                const Sample& sample) {
  const Outcome<double> score = Capture<double>([&] { return ScoreSample(host, pool, sample); });
  {
    const absl::MutexLock lock(&entry->mutex);
    if (entry->epoch.load(std::memory_order_acquire) == epoch)
      FinishScoring(entry->runner, sample.slot, sample.attempt, score, absl::Now());
    entry->changed.SignalAll();
  }
  entry->attempts_running.fetch_sub(1, std::memory_order_release);
}

// Work that the runner requested during one call.
struct StartedWork {
  std::vector<GenerationTask> generations;
  std::vector<Sample> scorings;
};

RunnerPorts MakeRunnerPorts(Host& host, StartedWork& started) {
  RunnerPorts ports;
  ports.table = host.table;
  ports.objects = host.objects;
  ports.generate = [&started](const SlotKey& slot, const std::string& attempt,
                              const GenerateRequest& request) {
    started.generations.push_back({slot, attempt, request});
  };
  ports.score = [&started](const Sample& sample) { started.scorings.push_back(sample); };
  return ports;
}

// Submits the collected work to the thread pools. Work that a full pool rejects fails at once and is planned
// again.
void SubmitWork(Host& host, const std::shared_ptr<JobEntry>& entry, StartedWork& started)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(entry->mutex) {
  Host* const owner = &host;
  const std::uint64_t epoch = entry->epoch.load(std::memory_order_acquire);
  for (GenerationTask& it : started.generations) {
    const SlotKey slot = it.slot;
    const std::string attempt = it.attempt;
    entry->attempts_running.fetch_add(1, std::memory_order_relaxed);
    const bool submitted =
        host.generation_pool->Submit([owner, entry, epoch, task = std::move(it)]() mutable {
          RunGenerationTask(*owner, entry, epoch, std::move(task));
        });
    if (submitted) continue;
    entry->attempts_running.fetch_sub(1, std::memory_order_relaxed);
    FinishGeneration(
        entry->runner,
        {slot, attempt, {}, Error{ErrorKind::kOverloaded, "the queue of the generation threads is full"}},
        absl::Now());
  }
  const PoolId pool = entry->runner.spec.scoring;
  for (Sample& it : started.scorings) {
    const SlotKey slot = it.slot;
    const std::string attempt = it.attempt;
    entry->attempts_running.fetch_add(1, std::memory_order_relaxed);
    const bool submitted = host.scoring_pool->Submit([owner, entry, epoch, pool, sample = std::move(it)] {
      RunScoring(*owner, entry, epoch, pool, sample);
    });
    if (submitted) continue;
    entry->attempts_running.fetch_sub(1, std::memory_order_relaxed);
    FinishScoring(entry->runner, slot, attempt,
                  Error{ErrorKind::kOverloaded, "the queue of the scoring threads is full"}, absl::Now());
  }
  started = {};
}

// Updates `held` and `holder` from the runner's lease, and logs a lease that was acquired or lost.
void RecordLeaseChange(Host& host, JobEntry& entry) ABSL_EXCLUSIVE_LOCKS_REQUIRED(entry.mutex) {
  const bool held = entry.runner.lease.state == LeaseState::kHeld;
  const bool before = entry.held.exchange(held, std::memory_order_acq_rel);
  if (!held && entry.runner.lease.revision != 0) {
    entry.holder = entry.runner.lease.row;
  }
  if (held == before) return;
  const Json fields = {{"job", entry.runner.spec.id}, {"fence", entry.runner.lease.row.fence}};
  if (held) {
    host.jobs_held.fetch_add(1, std::memory_order_relaxed);
    LogEventLine(LogLevel::kInfo, LogEvent::kLeaseTaken, fields);
    return;
  }
  host.jobs_held.fetch_sub(1, std::memory_order_relaxed);
  LogEventLine(LogLevel::kWarning, LogEvent::kLeaseLost, fields);
  // The runner has dropped its work, so attempts that are still running are cancelled.
  entry.epoch.fetch_add(1, std::memory_order_acq_rel);
}

// Decides whether this host may acquire the lease if it is free or expired. Rank 0 may at once; a host of
// rank n waits until the lease row is unchanged for 1 + n lifetimes.
bool MayAcquireLease(Host& host, JobEntry& entry, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(entry.mutex) {
  Lease& lease = entry.runner.lease;
  if (!host.ready.load(std::memory_order_acquire) || entry.stop.load(std::memory_order_acquire)) return false;
  if (entry.runner.spec.state == JobState::kEnded) return false;
  if (!Ok(Capture<std::monostate>([&]() -> leaf::result<void> {
        return CheckAllowed(CurrentIsolation(host), WorkKind::kJobTakeover);
      })))
    return false;
  const int rank = LeaseRank(host, entry.runner.spec.id);
  if (rank == 0) return true;
  if (rank >= kMaxLeaseCompetitors) return false;
  (void)Capture<LeaseState>([&] { return TickLease(lease, host.table, false, now); });
  return lease.unchanged_since < now - lease.limits.lifetime * (1 + rank);
}

// Runs one tick. Returns the time until the next one.
absl::Duration TickOnce(Host& host, const std::shared_ptr<JobEntry>& entry)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(entry->mutex) {
  JobRunner& runner = entry->runner;
  runner.may_acquire = runner.lease.state == LeaseState::kHeld || MayAcquireLease(host, *entry, absl::Now());
  const Policy policy = JobPolicy(host, runner.spec);
  const Version version = EstimateVersion(host, runner.spec.model);
  const int share = std::max(
      1, host.settings.generation_threads / std::max(1, host.jobs_held.load(std::memory_order_relaxed)));
  StartedWork started;
  const RunnerPorts ports = MakeRunnerPorts(host, started);
  // Errors are ignored: the control thread detects an unreachable table, and the runner continues from
  // memory.
  (void)Capture<std::monostate>(
      [&]() -> leaf::result<void> { return TickJob(runner, ports, policy, version, share, absl::Now()); });
  RecordLeaseChange(host, *entry);
  SubmitWork(host, entry, started);
  ExportCounters(*entry);
  entry->changed.SignalAll();
  if (!entry->held.load(std::memory_order_relaxed)) return kFollowerTickInterval;
  return entry->attempts_running.load(std::memory_order_relaxed) > 0 ? kBusyTickInterval : kIdleTickInterval;
}

void RunJob(Host& host, const std::shared_ptr<JobEntry>& entry) {
  const absl::MutexLock lock(&entry->mutex);
  while (!entry->stop.load(std::memory_order_acquire)) {
    const absl::Duration pause = TickOnce(host, entry);
    entry->tick_now.WaitWithTimeout(&entry->mutex, pause);
  }
  if (entry->runner.lease.state != LeaseState::kHeld) return;
  const Outcome<std::monostate> released = Capture<std::monostate>(
      [&]() -> leaf::result<void> { return ReleaseLease(entry->runner.lease, host.table); });
  LogEventLine(LogLevel::kInfo, LogEvent::kLeaseReleased,
               {{"job", entry->runner.spec.id}, {"stored", Ok(released)}});
  if (entry->held.exchange(false, std::memory_order_acq_rel))
    host.jobs_held.fetch_sub(1, std::memory_order_relaxed);
  entry->changed.SignalAll();
}

// On the lease holder: waits until the batch is ready.
leaf::result<BatchAnswer> HandOutLocally(Host& host, const std::shared_ptr<JobEntry>& entry,
                                         const BatchRequest& request, absl::Time deadline) {
  const absl::MutexLock lock(&entry->mutex);
  while (true) {
    if (entry->runner.lease.state != LeaseState::kHeld)
      return Fail(ErrorKind::kLeaseLost,
                  absl::StrCat("job ", request.job, " is no longer held by this host"));
    const Policy policy = JobPolicy(host, entry->runner.spec);
    StartedWork started;
    const RunnerPorts ports = MakeRunnerPorts(host, started);
    Outcome<BatchAnswer> outcome = Capture<BatchAnswer>(
        [&] { return HandOutBatch(entry->runner, ports, policy, request, absl::Now()); });
    SubmitWork(host, entry, started);
    ExportCounters(*entry);
    entry->tick_now.Signal();
    if (Ok(outcome)) return std::move(Value(outcome));
    const Error& error = ErrorOf(outcome);
    if (error.kind == ErrorKind::kBatchExpired) {
      LogEventLine(
          LogLevel::kWarning, LogEvent::kBatchExpired,
          {{"job", request.job}, {"seq", request.seq}, {"trainer_version", request.trainer_version}});
    }
    if (error.kind == ErrorKind::kLeaseLost) {
      RecordLeaseChange(host, *entry);
      return Fail(error);
    }
    const bool wait = error.kind == ErrorKind::kBatchNotReady || error.kind == ErrorKind::kStoreUnavailable;
    if (!wait || absl::Now() >= deadline || host.cut_off.load(std::memory_order_acquire)) return Fail(error);
    entry->changed.WaitWithDeadline(&entry->mutex, std::min(deadline, absl::Now() + kIdleTickInterval));
  }
}

// The lease row that names the holder. It was read at most kMaxHolderAge ago if the table answers, otherwise
// it is the last known row.
LeaseRow FindHolder(Host& host, JobEntry& entry) {
  JobId job;
  {
    const absl::MutexLock lock(&entry.mutex);
    if (absl::Now() - entry.holder_read_at < kMaxHolderAge) return entry.holder;
    job = entry.runner.spec.id;
  }
  Lease probe = NewLease(host, job);
  const Outcome<LeaseState> read =
      Capture<LeaseState>([&] { return TickLease(probe, host.table, false, absl::Now()); });
  const absl::MutexLock lock(&entry.mutex);
  if (Ok(read)) {
    entry.holder = probe.row;
    entry.holder_read_at = absl::Now();
  }
  return entry.holder;
}

Json RequestToJson(const BatchRequest& request, absl::Duration wait) {
  return {{"job", request.job},
          {"trainer", request.trainer},
          {"seq", request.seq},
          {"trainer_version", request.trainer_version},
          {"request_id", request.request_id},
          {"wait_ms", absl::ToInt64Milliseconds(wait)}};
}

leaf::result<BatchAnswer> DecodeBatch(const std::string& bytes) {
  BOOST_LEAF_AUTO(json, ParseMessagePack(bytes, ErrorKind::kPeerProtocol));
  try {
    BatchAnswer answer;
    answer.seq = json.at("seq").get<std::int64_t>();
    answer.provisional = json.at("provisional").get<bool>();
    answer.bytes = std::move(json.at("bytes").get_ref<std::string&>());
    return answer;
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kPeerProtocol, absl::StrCat("batch: ", ex.what()));
  }
}

// Errors after which FetchBatch reads the lease row again and retries until its deadline.
bool HolderMayHaveChanged(ErrorKind kind) {
  return kind == ErrorKind::kLeaseLost || kind == ErrorKind::kPeerUnreachable ||
         kind == ErrorKind::kPeerProtocol || kind == ErrorKind::kOutcomeUnknown ||
         kind == ErrorKind::kShuttingDown || kind == ErrorKind::kUnknownJob;
}

// Fetches the batch from the lease holder. Errors: those of HandOutBatch, kLeaseLost (no other host holds the
// lease), kPeerUnreachable and the others of HolderMayHaveChanged.
leaf::result<BatchAnswer> FetchFromHolder(Host& host, JobEntry& entry, const BatchRequest& request,
                                          absl::Time deadline) {
  const LeaseRow row = FindHolder(host, entry);
  if (row.holder.empty() || row.holder == host.settings.host.id)
    return Fail(ErrorKind::kLeaseLost, "no other host holds the lease");
  const std::optional<Member> holder = FindMember(host, row.holder);
  if (!holder || holder->incarnation != row.incarnation)
    return Fail(ErrorKind::kPeerUnreachable,
                absl::StrCat("holder ", row.holder, " is dead, unknown or restarted"));
  const absl::Duration left = std::max(deadline - absl::Now(), absl::ZeroDuration());
  BOOST_LEAF_AUTO(bytes, CallPeer(*host.peers, holder->peer, "batch",
                                  ToMessagePack(RequestToJson(request, left)), left + kPeerCallMargin));
  return DecodeBatch(bytes);
}

// Finds the job in memory, otherwise reads its spec from the table.
leaf::result<std::shared_ptr<JobEntry>> FindOrReadJob(Host& host, const JobId& job) {
  std::shared_ptr<JobEntry> entry = FindJob(host, job);
  if (entry) return entry;
  BOOST_LEAF_AUTO(spec, ReadJob(host.table, job));
  ReceiveJobSpec(host, spec);
  entry = FindJob(host, job);
  if (!entry) return Fail(ErrorKind::kShuttingDown, "the host is shutting down");
  return entry;
}

}  // namespace

std::shared_ptr<JobEntry> FindJob(Host& host, const JobId& id) {
  const absl::MutexLock lock(&host.jobs_mutex);
  const auto it = host.jobs.find(id);
  return it == host.jobs.end() ? nullptr : it->second;
}

void ReceiveJobSpec(Host& host, const JobSpec& spec) {
  std::shared_ptr<JobEntry> entry;
  {
    const absl::MutexLock lock(&host.jobs_mutex);
    if (host.draining.load(std::memory_order_acquire)) return;
    std::shared_ptr<JobEntry>& known = host.jobs[spec.id];
    if (!known) {
      known = std::make_shared<JobEntry>();
      {
        const absl::MutexLock inner(&known->mutex);
        known->runner.spec = spec;
        known->runner.lease = NewLease(host, spec.id);
      }
      Host* const owner = &host;
      known->thread = std::thread([owner, started = known] { RunJob(*owner, started); });
      return;
    }
    entry = known;
  }
  const absl::MutexLock lock(&entry->mutex);
  entry->runner.spec = spec;
}

void RunJobs(Host& host) {
  absl::Time next_list = absl::InfinitePast();
  absl::Time next_record = absl::InfinitePast();
  while (!host.stopping.load(std::memory_order_acquire)) {
    const absl::Time now = absl::Now();
    if (now >= next_list && !host.draining.load(std::memory_order_acquire)) {
      const Outcome<std::vector<JobSpec>> specs =
          Capture<std::vector<JobSpec>>([&] { return ListJobs(host.table); });
      if (Ok(specs)) {
        for (const JobSpec& it : Value(specs)) ReceiveJobSpec(host, it);
      }
      int hosts = 1;
      {
        const ReadView view(*host.routing);
        hosts = static_cast<int>(view->members.size());
      }
      next_list = now + std::max(kMinJobListInterval,
                                 absl::Seconds(1) * (static_cast<double>(hosts) / kMaxJobListsPerSecond));
    }
    if (now >= next_record && !host.store_down.load(std::memory_order_relaxed)) {
      (void)Capture<int>([&] { return RecordClaimOutcomes(host.once, kMaxOutcomesPerRound); });
      (void)Capture<int>(
          [&] { return RecordTicketOutcomes(host.tickets, host.table, kMaxOutcomesPerRound); });
      next_record = now + absl::Seconds(1);
    }
    absl::SleepFor(absl::Milliseconds(50));
  }
}

leaf::result<BatchAnswer> FetchBatch(Host& host, const BatchRequest& request, absl::Duration wait) {
  const absl::Time deadline = absl::Now() + wait;
  while (true) {
    BOOST_LEAF_AUTO(entry, FindOrReadJob(host, request.job));
    Outcome<BatchAnswer> outcome = Error{ErrorKind::kBatchNotReady, ""};
    if (entry->held.load(std::memory_order_acquire)) {
      outcome = Capture<BatchAnswer>([&] { return HandOutLocally(host, entry, request, deadline); });
    } else {
      outcome = Capture<BatchAnswer>([&] { return FetchFromHolder(host, *entry, request, deadline); });
    }
    if (Ok(outcome)) return std::move(Value(outcome));
    if (!HolderMayHaveChanged(ErrorOf(outcome).kind)) return Fail(ErrorOf(outcome));
    // The holder cannot be reached. Any host can read a committed batch from the table and the object store,
    // with the same result.
    const Error holder_error = ErrorOf(outcome);
    JobSpec spec;
    {
      const absl::MutexLock lock(&entry->mutex);
      spec = entry->runner.spec;
    }
    outcome = Capture<BatchAnswer>(
        [&] { return ReadCommittedBatch(host.table, host.objects, spec, JobPolicy(host, spec), request); });
    if (Ok(outcome)) return std::move(Value(outcome));
    const ErrorKind kind = ErrorOf(outcome).kind;
    if (kind == ErrorKind::kForbidden) return Fail(ErrorOf(outcome));
    if (absl::Now() >= deadline || host.cut_off.load(std::memory_order_acquire))
      return Fail(ErrorKind::kBatchNotReady, absl::StrCat("the holder of job ", request.job,
                                                          " cannot be reached: ", holder_error.detail));
    const absl::MutexLock lock(&entry->mutex);
    entry->holder_read_at = absl::InfinitePast();
    entry->changed.WaitWithDeadline(&entry->mutex, std::min(deadline, absl::Now() + kHolderRetryInterval));
  }
}

leaf::result<std::string> HandleBatch(Host& host, const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseMessagePack(body, ErrorKind::kPeerProtocol));
  BatchRequest request;
  absl::Duration wait;
  try {
    request.job = json.at("job").get<std::string>();
    request.trainer = json.at("trainer").get<std::string>();
    request.seq = json.at("seq").get<std::int64_t>();
    request.trainer_version = json.at("trainer_version").get<Version>();
    request.request_id = json.at("request_id").get<std::string>();
    wait = absl::Milliseconds(json.at("wait_ms").get<std::int64_t>());
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kPeerProtocol, absl::StrCat("batch: ", ex.what()));
  }
  const std::shared_ptr<JobEntry> entry = FindJob(host, request.job);
  if (!entry || !entry->held.load(std::memory_order_acquire))
    return Fail(ErrorKind::kLeaseLost,
                absl::StrCat("host ", host.settings.host.id, " does not hold job ", request.job));
  BOOST_LEAF_AUTO(answer, HandOutLocally(host, entry, request, absl::Now() + wait));
  return ToMessagePack({{"seq", answer.seq}, {"provisional", answer.provisional}, {"bytes", answer.bytes}});
}

void StopJobs(Host& host) {
  std::vector<std::shared_ptr<JobEntry>> entries;
  {
    const absl::MutexLock lock(&host.jobs_mutex);
    for (const auto& [id, entry] : host.jobs) entries.push_back(entry);
  }
  for (const std::shared_ptr<JobEntry>& it : entries) {
    it->stop.store(true, std::memory_order_release);
    const absl::MutexLock lock(&it->mutex);
    it->tick_now.SignalAll();
  }
  for (const std::shared_ptr<JobEntry>& it : entries) {
    if (it->thread.joinable()) it->thread.join();
  }
}

}  // namespace oleander
