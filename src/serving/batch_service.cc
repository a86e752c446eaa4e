#include "serving/batch_service.h"

#include <algorithm>
#include <utility>

#include "oleander/log_events.h"
#include "oleander/metrics.h"
#include "serving/batch_job.h"

namespace oleander::serving {
namespace {

constexpr absl::Duration kReadRetryTimeout =
    absl::Milliseconds(900);  // retries of a read while the store fails
constexpr absl::Duration kHandOverTimeout = absl::Milliseconds(1500);
constexpr int kMaxEndTries = 6;
constexpr std::size_t kCopiesWhileStored = 2;  // of a job in memory: its items, and its record

// The parts of an item that become parts of requests come from the body of a submission, so no HTTP parser
// has checked them.
bool IsSendable(const BatchItem& item) {
  const auto sendable = [](std::string_view id, std::string_view target) {
    return IsSendableField("id", id) && IsSendableTarget(target);
  };
  return sendable(item.id, item.target) &&
         (!item.scoring || sendable(item.scoring->id, item.scoring->target)) &&
         std::all_of(item.headers.begin(), item.headers.end(),
                     [](const HeaderField& it) { return IsSendableField(it.name, it.value); });
}

}  // namespace

struct BatchService::SubmitOp {
  BatchSubmission submission;
  std::string bytes;
  HeldCharge charge;  // for the submission and its bytes
  BatchLease lease;
  Transaction transaction;
  absl::Time deadline;
  bool uncertain = false;  // a write without an answer may still be applied
  Done done;
};

struct BatchService::ReadOp {
  std::string job;
  std::int64_t after = 0;
  absl::Time wait_until;  // for the first result
  absl::Time deadline;    // of retries while the store fails
  PageDone done;
};

BatchService::BatchService(Loop& loop, Store& store, UpstreamLink& link, Directory& directory,
                           BatchSettings settings)
    : loop_(loop),
      store_(store),
      link_(link),
      directory_(directory),
      settings_(std::move(settings)),
      scoring_(loop, link, directory, settings_.zone) {}
BatchService::~BatchService() = default;

int BatchService::RunningItems() const {
  int n = 0;
  for (const std::pair<const std::string, std::unique_ptr<Job>>& it : jobs_) n += it.second->running;
  return n;
}

int BatchService::WaitingItems() const {
  int n = 0;
  for (const std::pair<const std::string, std::unique_ptr<Job>>& it : jobs_)
    n += static_cast<int>(it.second->waiting.size());
  return n;
}

std::map<std::string, ServiceDemand> BatchService::DemandByService() const {
  std::map<std::string, ServiceDemand> demand;
  for (const std::pair<const std::string, std::unique_ptr<Job>>& it : jobs_) {
    Job& job = *it.second;
    const Route* const route = directory_.FindRoute(job.submission.host, job.submission.path);
    if (route == nullptr || route->services.empty()) continue;
    for (const Item& item : job.items) {
      if (item.phase != Phase::kWaiting && item.phase != Phase::kRunning) continue;
      const UpstreamState* const upstream =
          item.phase == Phase::kRunning ? directory_.Find(item.upstream) : nullptr;
      ServiceDemand& service =
          demand[upstream != nullptr ? upstream->entry.service : ServicesFor(job, item, *route).front()];
      ++(item.phase == Phase::kRunning ? service.running : service.waiting);
    }
  }
  return demand;
}

BatchService::Job* BatchService::FindJob(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

void BatchService::UpdateStoreClock(const StoreReply& reply) {
  serving::UpdateStoreClock(store_clock_, reply, loop_.Now());
}

absl::Duration BatchService::StoreNow() const { return StoreTimeAt(store_clock_, loop_.Now()); }

// ---- Acceptance -------------------------------------------------------------------------------------------

void BatchService::Submit(BatchSubmission submission, Done done) {
  const Route* route = directory_.FindRoute(submission.host, submission.path);
  if (route == nullptr || route->kind != RouteKind::kRollout) {
    done(directory_.PolicyInForce().version == 0 ? BatchOutcome::kNotRun : BatchOutcome::kNoRoute);
    return;
  }
  std::set<std::string> ids;
  for (const BatchItem& it : submission.items) ids.insert(it.id);
  if (submission.id.empty() || submission.items.empty() || ids.size() != submission.items.size() ||
      !std::all_of(submission.items.begin(), submission.items.end(), IsSendable)) {
    done(BatchOutcome::kInvalid);
    return;
  }
  if (FindJob(submission.id) != nullptr) {
    done(BatchOutcome::kAccepted);
    return;
  }
  if (!accepting_) {
    done(BatchOutcome::kNotRun);
    return;
  }
  const std::shared_ptr<SubmitOp> submit_op = std::make_shared<SubmitOp>();
  submit_op->charge = HeldCharge(account_, HeldKind::kJobs);
  const std::size_t memory = MemoryOf(submission);
  if (!submit_op->charge.TryResize(kCopiesWhileStored * memory)) {
    done(BatchOutcome::kNoRoom);
    return;
  }
  submit_op->bytes = EncodeSubmission(submission);
  submit_op->submission = std::move(submission);
  submit_op->done = std::move(done);
  submit_op->deadline = loop_.Now() + settings_.accept_timeout;
  const std::function<void(const std::string&)> write = [this, submit_op](const std::string& owner) {
    submit_op->lease.owner = owner.empty() ? settings_.incarnation : owner;
    if (store_clock_.known) {
      WriteObjects(submit_op, 0);
      return;
    }
    // The lease holds times of the store's clock, which no answer has stated yet.
    store_.Get({std::string(kBatchTable), submit_op->submission.id, std::string(kLeaseKey), "", 1},
               [this, submit_op](const StoreReply& reply) {
                 UpdateStoreClock(reply);
                 if (!store_clock_.known) {
                   submit_op->done(BatchOutcome::kNotRun);
                   return;
                 }
                 WriteObjects(submit_op, 0);
               });
  };
  if (owners_ == nullptr) {
    write("");
  } else {
    owners_->Find(submit_op->submission.model, write);
  }
}

// A job that does not fit in one transaction is stored in objects, which are written before the rows that
// refer to them.
void BatchService::WriteObjects(const std::shared_ptr<SubmitOp>& submit_op, int piece) {
  const std::string& id = submit_op->submission.id;
  const std::size_t at = static_cast<std::size_t>(piece) * settings_.max_object_bytes;
  if (submit_op->bytes.size() <= settings_.max_commit_bytes || at >= submit_op->bytes.size()) {
    submit_op->lease.accepted_at = StoreNow();
    submit_op->lease.valid_until = StoreNow() + settings_.lease;
    submit_op->lease.total = static_cast<std::int64_t>(submit_op->submission.items.size());
    Transaction& transaction = submit_op->transaction;
    transaction.conditions = {{{std::string(kBatchTable), id, std::string(kLeaseKey)}, 0}};
    // A job in objects has a one-byte submission row instead of the text: the number of objects.
    const std::string text = piece == 0 ? submit_op->bytes : std::string();
    transaction.writes = SplitIntoRows(kBatchTable, id, SubmissionKey(), text, settings_.max_row_bytes);
    if (piece > 0) transaction.writes[0].value.push_back(static_cast<char>(piece));
    transaction.writes.push_back(
        {{std::string(kBatchTable), id, std::string(kLeaseKey)}, EncodeLease(submit_op->lease)});
    WriteSubmission(submit_op);
    return;
  }
  store_.PutObject(ObjectName(id, piece), submit_op->bytes.substr(at, settings_.max_object_bytes),
                   [this, submit_op, piece](const StoreReply& reply) {
                     if (reply.outcome == StoreOutcome::kOk || reply.outcome == StoreOutcome::kConflict) {
                       WriteObjects(submit_op, piece + 1);
                     } else if (loop_.Now() < submit_op->deadline) {
                       loop_.After(kRetryPause, [this, submit_op, piece] { WriteObjects(submit_op, piece); });
                     } else {
                       submit_op->done(BatchOutcome::kNotRun);
                     }
                   });
}

void BatchService::WriteSubmission(const std::shared_ptr<SubmitOp>& submit_op) {
  store_.Commit(submit_op->transaction,
                [this, submit_op](const StoreReply& reply) { OnSubmissionWritten(submit_op, reply); });
}

void BatchService::OnSubmissionWritten(const std::shared_ptr<SubmitOp>& submit_op, const StoreReply& reply) {
  UpdateStoreClock(reply);
  const std::string id = submit_op->submission.id;
  if (reply.outcome == StoreOutcome::kOk) {
    LogEventLine(LogLevel::kInfo, LogEvent::kBatchAccepted,
                 {{"job", id},
                  {"step", submit_op->submission.step},
                  {"model", submit_op->submission.model},
                  {"min_version", submit_op->submission.min_version},
                  {"items", submit_op->submission.items.size()},
                  {"bytes", submit_op->bytes.size()},
                  {"owner", submit_op->lease.owner}});
    if (submit_op->lease.owner != settings_.incarnation) {
      owners_->Assign(submit_op->submission.model, id);
    } else if (FindJob(id) == nullptr) {
      submit_op->charge.Resize(0);
      SetItems(AddOwnedJob(id, submit_op->lease, reply.version), std::move(submit_op->submission), {});
    }
    submit_op->done(BatchOutcome::kAccepted);
    return;
  }
  if (reply.outcome == StoreOutcome::kConflict) {
    // The job was accepted before, by this host (the answer was lost) or by another one. Assigning it again
    // is harmless, because an owner that has the job ignores it. If no host runs the job, a read takes it
    // over when the lease has expired.
    if (submit_op->lease.owner != settings_.incarnation) owners_->Assign(submit_op->submission.model, id);
    submit_op->done(BatchOutcome::kAccepted);
    return;
  }
  if (reply.outcome == StoreOutcome::kUnknown) submit_op->uncertain = true;
  if (loop_.Now() < submit_op->deadline) {
    loop_.After(kRetryPause, [this, submit_op] { WriteSubmission(submit_op); });
    return;
  }
  submit_op->done(submit_op->uncertain ? BatchOutcome::kOutcomeUnknown : BatchOutcome::kNotRun);
}

BatchService::Job& BatchService::AddOwnedJob(const std::string& id, const BatchLease& lease,
                                             std::int64_t lease_version) {
  std::unique_ptr<Job> owned = std::make_unique<Job>();
  Job& job = *owned;
  job.submission.id = id;
  job.lease = lease;
  job.lease_version = lease_version;
  job.confirmed_at = job.owned_since = job.last_checkpoint = loop_.Now();
  // The lease may have been written some time ago, and is renewed as if this host had written it then.
  const absl::Duration lease_left =
      std::clamp(lease.valid_until - StoreNow(), absl::ZeroDuration(), settings_.lease);
  job.last_commit = loop_.Now() - (settings_.lease - lease_left);
  jobs_[id] = std::move(owned);
  return job;
}

// ---- Records ----------------------------------------------------------------------------------------------

void BatchService::FetchRange(RowRange range, std::vector<Row> rows,
                              std::function<void(StoreOutcome, std::vector<Row>)> done) {
  store_.Get(range,
             [this, range, rows = std::move(rows), done = std::move(done)](const StoreReply& reply) mutable {
               UpdateStoreClock(reply);
               if (reply.outcome != StoreOutcome::kOk) {
                 done(reply.outcome, {});
                 return;
               }
               rows.insert(rows.end(), reply.rows.begin(), reply.rows.end());
               if (!reply.has_more || reply.rows.empty()) {
                 done(StoreOutcome::kOk, std::move(rows));
                 return;
               }
               RowRange rest = range;
               rest.from = rows.back().id.key + std::string(1, '\0');
               FetchRange(std::move(rest), std::move(rows), std::move(done));
             });
}

void BatchService::FetchSubmission(const std::string& id, std::vector<Row> rows, SubmissionDone done) {
  std::size_t at = 0;
  if (rows.empty() || rows[0].id.key != SubmissionKey()) {
    done(StoreOutcome::kOk, nullptr);
    return;
  }
  const std::optional<std::string> bytes = JoinRows(rows, at);
  if (bytes && bytes->size() == 1) {
    FetchObjects(id, static_cast<unsigned char>((*bytes)[0]), std::move(done));
    return;
  }
  const std::optional<BatchSubmission> submission = bytes ? DecodeSubmission(*bytes) : std::nullopt;
  done(StoreOutcome::kOk, submission ? &*submission : nullptr);
}

void BatchService::FetchObjects(const std::string& id, int count, SubmissionDone done) {
  for (ObjectFetch& it : object_fetches_) {
    if (it.job != id) continue;
    it.done.push_back(std::move(done));
    return;
  }
  object_fetches_.push_back({id, count, loop_.Now() + kReadRetryTimeout, {std::move(done)}});
  StartObjectFetch();
}

void BatchService::StartObjectFetch() {
  if (fetching_objects_ || object_fetches_.empty()) return;
  fetching_objects_ = true;
  if (loop_.Now() >= object_fetches_.front().deadline) {
    EndObjectFetch(StoreOutcome::kUnknown, {});
  } else {
    FetchObject(0, {});
  }
}

void BatchService::FetchObject(int piece, std::string bytes) {
  if (piece >= object_fetches_.front().count) {
    EndObjectFetch(StoreOutcome::kOk, bytes);
    return;
  }
  store_.GetObject(ObjectName(object_fetches_.front().job, piece), [this, piece, bytes = std::move(bytes)](
                                                                       const StoreReply& reply) mutable {
    if (reply.outcome != StoreOutcome::kOk || reply.rows.empty() || reply.rows[0].value.empty()) {
      EndObjectFetch(StoreOutcome::kUnknown, {});
      return;
    }
    bytes += reply.rows[0].value;
    FetchObject(piece + 1, std::move(bytes));
  });
}

void BatchService::EndObjectFetch(StoreOutcome outcome, std::string_view bytes) {
  const ObjectFetch fetch = std::move(object_fetches_.front());
  const std::optional<BatchSubmission> submission =
      outcome == StoreOutcome::kOk ? DecodeSubmission(bytes) : std::nullopt;
  for (const SubmissionDone& it : fetch.done) it(outcome, submission ? &*submission : nullptr);
  object_fetches_.pop_front();
  fetching_objects_ = false;
  // Not from here: many that have waited too long would end inside each other.
  loop_.After(absl::ZeroDuration(), [this] { StartObjectFetch(); });
}

// ---- Readers ----------------------------------------------------------------------------------------------

void BatchService::Read(const std::string& job, std::int64_t after, absl::Duration wait, PageDone done) {
  const std::shared_ptr<ReadOp> read_op = std::make_shared<ReadOp>();
  read_op->job = job;
  read_op->after = std::max<std::int64_t>(0, after);
  read_op->wait_until = loop_.Now() + wait;
  read_op->deadline = loop_.Now() + kReadRetryTimeout;
  read_op->done = std::move(done);
  ReadOnce(read_op);
}

void BatchService::ReadOnce(const std::shared_ptr<ReadOp>& read_op) {
  const RowRange range = {
      std::string(kBatchTable), read_op->job, ResultKey(read_op->after), std::string(kAllKeysEnd), 0, true};
  store_.Get(range, [this, read_op](const StoreReply& reply) {
    UpdateStoreClock(reply);
    if (reply.outcome != StoreOutcome::kOk) {
      read_failed_at_ = loop_.Now();
      if (loop_.Now() >= read_op->deadline) {
        read_op->done(BatchOutcome::kStoreUnreachable, {});
      } else {
        loop_.After(kRetryPause, [this, read_op] { ReadOnce(read_op); });
      }
      return;
    }
    BatchPage page;
    page.next = read_op->after;
    std::size_t bytes = 0;
    for (std::size_t at = 0; at < reply.rows.size();) {
      if (ResultPosition(reply.rows[at].id.key) != page.next || bytes >= settings_.max_page_bytes) {
        ++at;
        continue;
      }
      const std::optional<std::string> value = JoinRows(reply.rows, at);
      std::optional<ItemResult> result = value ? DecodeResult(*value) : std::nullopt;
      if (!result) break;  // its last rows did not fit in this answer of the store
      if (!page.results.empty() && bytes + value->size() > settings_.max_page_bytes) break;
      bytes += value->size();
      page.results.push_back(std::move(*result));
      ++page.next;
    }
    const JobState state = FindJobState(reply.rows);
    if (!state.lease && reply.has_more) {
      // The answer was full before the lease row, which holds the total of the job's items.
      store_.Get(
          {std::string(kBatchTable), read_op->job, std::string(kEndedKey), std::string(kAllKeysEnd), 0},
          [this, read_op, page](const StoreReply& rest) mutable {
            UpdateStoreClock(rest);
            const JobState found = FindJobState(rest.rows);
            if (found.lease) {
              page.total = found.lease->total;
              TakeOverIfExpired(read_op->job, found, rest.store_time);
            }
            read_op->done(found.lease ? BatchOutcome::kOk : BatchOutcome::kStoreUnreachable, page);
          });
      return;
    }
    if (!state.lease) {
      read_op->done(BatchOutcome::kNotFound, {});
      return;
    }
    page.total = state.lease->total;
    TakeOverIfExpired(read_op->job, state, reply.store_time);
    const bool no_more_results =
        state.ended || (state.lease->finished && page.next >= state.lease->committed);
    if (!page.results.empty() || no_more_results || loop_.Now() >= read_op->wait_until) {
      read_op->done(BatchOutcome::kOk, page);
      return;
    }
    read_op->deadline = std::max(read_op->deadline, loop_.Now() + kReadRetryTimeout);
    loop_.After(std::min(settings_.poll_every, read_op->wait_until - loop_.Now()),
                [this, read_op] { ReadOnce(read_op); });
  });
}

void BatchService::ItemBody(const std::string& job, const std::string& item, BodyDone done) {
  const Job* owned = FindJob(job);
  if (owned != nullptr && !owned->loading) {
    for (const Item& it : owned->items) {
      if (it.spec.id != item) continue;
      done(BatchOutcome::kOk, it.spec.body);
      return;
    }
    done(BatchOutcome::kNotFound, "");
    return;
  }
  FetchRange({std::string(kBatchTable), job, SubmissionKey(), std::string(kSubmissionEnd), 0, true}, {},
             [this, job, item, done](StoreOutcome outcome, std::vector<Row> rows) {
               if (outcome != StoreOutcome::kOk) {
                 done(BatchOutcome::kStoreUnreachable, "");
                 return;
               }
               FetchSubmission(job, std::move(rows),
                               [item, done](StoreOutcome fetched, const BatchSubmission* submission) {
                                 if (fetched != StoreOutcome::kOk) {
                                   done(BatchOutcome::kStoreUnreachable, "");
                                   return;
                                 }
                                 if (submission != nullptr) {
                                   for (const BatchItem& it : submission->items) {
                                     if (it.id != item) continue;
                                     done(BatchOutcome::kOk, it.body);
                                     return;
                                   }
                                 }
                                 done(BatchOutcome::kNotFound, "");
                               });
             });
}

void BatchService::End(const std::string& job, Done done) {
  struct EndOp {
    int tries = 0;
    bool exists = false;
    std::function<void()> step;
  };
  const std::shared_ptr<EndOp> end_op = std::make_shared<EndOp>();
  end_op->exists = FindJob(job) != nullptr;
  const std::function<void(BatchOutcome)> finish = [end_op, done](BatchOutcome outcome) {
    done(outcome);
    end_op->step = nullptr;  // breaks the reference cycle
  };
  const std::function<void()> again = [this, end_op, finish] {
    if (++end_op->tries >= kMaxEndTries) {
      finish(BatchOutcome::kStoreUnreachable);
      return;
    }
    loop_.After(kRetryPause, [end_op] {
      if (end_op->step) end_op->step();
    });
  };
  end_op->step = [this, job, end_op, finish, again] {
    if (!end_op->exists) {
      store_.Get({std::string(kBatchTable), job, std::string(kLeaseKey), std::string(kAllKeysEnd), 1},
                 [this, end_op, finish, again](const StoreReply& reply) {
                   UpdateStoreClock(reply);
                   if (reply.outcome != StoreOutcome::kOk) {
                     again();
                   } else if (reply.rows.empty()) {
                     finish(BatchOutcome::kNotFound);
                   } else {
                     end_op->exists = true;
                     end_op->step();
                   }
                 });
      return;
    }
    Transaction transaction;
    transaction.writes = {{{std::string(kBatchTable), job, std::string(kEndedKey)}, "1"}};
    store_.Commit(transaction, [this, job, finish, again](const StoreReply& reply) {
      UpdateStoreClock(reply);
      if (reply.outcome != StoreOutcome::kOk) {
        again();
        return;
      }
      LogEventLine(LogLevel::kInfo, LogEvent::kBatchEnded,
                   {{"job", job}, {"owned", FindJob(job) != nullptr}});
      Job* owned = FindJob(job);
      if (owned != nullptr) Finish(*owned);
      finish(BatchOutcome::kOk);
    });
  };
  end_op->step();
}

// ---- Results ----------------------------------------------------------------------------------------------

// Bitmap of the items whose results are stored.
std::string BatchService::ListedItems(const Job& job) {
  if (job.loading) return job.lease.listed_items;
  std::string pending;
  for (const PendingResult& it : job.pending) AddItem(pending, it.item);
  std::string listed;
  for (const Item& it : job.items) {
    if (it.phase == Phase::kFinished && !HasItem(pending, it.index)) AddItem(listed, it.index);
  }
  return listed;
}

void BatchService::CommitResults(Job& job) {
  if (job.commit_in_flight) return;
  const std::string& id = job.submission.id;
  if (!job.attempt) {
    BatchLease lease = job.lease;
    lease.valid_until = StoreNow() + settings_.lease;
    Transaction transaction;
    transaction.conditions = {{{std::string(kBatchTable), id, std::string(kLeaseKey)}, job.lease_version},
                              {{std::string(kBatchTable), id, std::string(kEndedKey)}, 0}};
    std::size_t bytes = 0;
    std::size_t count = 0;
    lease.listed_items = ListedItems(job);
    for (const PendingResult& it : job.pending) {
      std::vector<RowWrite> rows =
          SplitIntoRows(kBatchTable, id, ResultKey(lease.committed + static_cast<std::int64_t>(count)),
                        EncodeResult(it.result), settings_.max_row_bytes);
      std::size_t size = 0;
      for (const RowWrite& row : rows) size += row.value.size();
      if (count > 0 && (bytes + size > settings_.max_commit_bytes ||
                        transaction.writes.size() + rows.size() > kMaxRowsInCommit)) {
        break;
      }
      bytes += size;
      ++count;
      AddItem(lease.listed_items, it.item);
      for (RowWrite& row : rows) transaction.writes.push_back(std::move(row));
    }
    lease.committed += static_cast<std::int64_t>(count);
    lease.finished = lease.committed >= lease.total;
    if (job.handing_over && count == job.pending.size()) {
      lease.owner.clear();
      lease.valid_until = absl::ZeroDuration();
    }
    transaction.writes.push_back(
        {{std::string(kBatchTable), id, std::string(kLeaseKey)}, EncodeLease(lease)});
    job.attempt = std::move(transaction);
    job.attempt_lease = lease;
    job.attempt_results = count;
    job.attempt_first_sent = loop_.Now();
  }
  job.commit_in_flight = true;
  job.attempt_sent = loop_.Now();
  store_.Commit(*job.attempt, [this, id](const StoreReply& reply) { OnResultsCommitted(id, reply); });
}

void BatchService::OnResultsCommitted(const std::string& id, const StoreReply& reply) {
  UpdateStoreClock(reply);
  Job* const found = FindJob(id);
  if (found == nullptr || !found->commit_in_flight) return;
  Job& job = *found;
  job.commit_in_flight = false;
  absl::Time confirmed_at = job.attempt_sent;
  std::int64_t committed_version = reply.outcome == StoreOutcome::kOk ? reply.version : 0;
  if (reply.outcome == StoreOutcome::kConflict) {
    for (const Row& it : reply.rows) {
      if (it.id.key == kEndedKey && it.version != 0) {
        Finish(job);
        return;
      }
    }
    for (const Row& it : reply.rows) {
      if (it.id.key != kLeaseKey || it.version == 0) continue;
      if (it.value == EncodeLease(job.attempt_lease)) {
        committed_version = it.version;  // the write was applied but its answer was lost
        confirmed_at = job.attempt_first_sent;
      } else if (it.value == EncodeLease(job.lease)) {
        job.lease_version = it.version;
        job.last_commit = loop_.Now();
        job.confirmed_at = job.attempt_sent;
        return;
      }
    }
    if (committed_version == 0) {
      Drop(id, "lease_lost");
      return;
    }
  }
  if (committed_version == 0) {
    // Refused or unknown: the retry writes the same bytes, so that this write is recognized if it is applied
    // late.
    job.retry_at = loop_.Now() + kRetryPause;
    return;
  }
  job.lease = job.attempt_lease;
  job.lease_version = committed_version;
  job.attempt.reset();
  job.pending.erase(job.pending.begin(),
                    job.pending.begin() + static_cast<std::ptrdiff_t>(job.attempt_results));
  job.last_commit = loop_.Now();
  job.confirmed_at = confirmed_at;
  ++job.confirmed_writes;
  if (job.lease.finished) {
    Drop(id, "finished");
  } else if (job.lease.owner.empty()) {
    Drop(id, "handed_over");
  }
}

// Stops a job that was ended. Its partial texts are written to the store for a later job with the same items.
void BatchService::Finish(Job& job) {
  const std::string id = job.submission.id;
  Checkpoint(job, true, [] {});
  Drop(id, "ended");
}

void BatchService::Drop(const std::string& id, std::string_view reason) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job& job = *it->second;
  StopWork(job);
  LogEventLine(LogLevel::kInfo, LogEvent::kBatchReleased,
               {{"job", id},
                {"reason", reason},
                {"listed", job.lease.committed},
                {"total", job.lease.total},
                {"owned_ms", absl::ToInt64Milliseconds(loop_.Now() - job.owned_since)},
                {"writes", job.confirmed_writes},
                {"unconfirmed_ms", absl::ToInt64Milliseconds(loop_.Now() - job.confirmed_at)}});
  jobs_.erase(it);
}

void BatchService::HandOver(std::function<void()> done) {
  accepting_ = false;
  const absl::Time deadline = loop_.Now() + kHandOverTimeout;
  for (const std::pair<const std::string, std::unique_ptr<Job>>& it : jobs_) {
    Job& job = *it.second;
    const std::string id = it.first;
    job.frozen = true;
    Checkpoint(job, true, [this, id] {
      Job* const handed = FindJob(id);
      if (handed != nullptr) handed->handing_over = true;
    });
  }
  const std::shared_ptr<std::function<void()>> wait = std::make_shared<std::function<void()>>();
  *wait = [this, wait, done = std::move(done), deadline] {
    Tick();
    if (jobs_.empty() || loop_.Now() >= deadline) {
      done();
      loop_.After(absl::ZeroDuration(), [wait] { *wait = nullptr; });
      return;
    }
    loop_.After(absl::Milliseconds(10), [wait] {
      if (*wait) (*wait)();
    });
  };
  (*wait)();
}

}  // namespace oleander::serving
