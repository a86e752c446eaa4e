// How a host becomes the owner of a job that it has not accepted itself: it takes the lease first, and reads
// the job's items while it renews the lease.
#include <algorithm>
#include <memory>
#include <utility>

#include "oleander/log_events.h"
#include "serving/batch_job.h"

namespace oleander::serving {
namespace {

constexpr absl::Duration kTakeOverMargin =
    absl::Milliseconds(150);  // allows for the error of the owner's estimate of the store's time

// False for a lease that a host without bitmaps has written.
bool RecordsListedItems(const BatchLease& lease) { return CountItems(lease.listed_items) == lease.committed; }

}  // namespace

// Reads the items of an owned job.
struct BatchService::LoadOp {
  std::string job;           //
  std::uint64_t id = 0;      // Job::load
  absl::Time started;        //
  absl::Time last_progress;  // last answer of the store
  std::vector<Row> rows;     // read so far
  std::string submission;    // bytes of its objects, read so far
};

// Takes a job over that a read has shown, if no host runs it.
void BatchService::TakeOverIfExpired(const std::string& job, const JobState& state,
                                     absl::Duration store_time) {
  // After an outage of the store all leases have expired. The owners get time to renew them first.
  const bool store_settled = loop_.Now() - read_failed_at_ >= settings_.min_store_uptime;
  if (!state.ended && !state.lease->finished && store_settled &&
      store_time > state.lease->valid_until + kTakeOverMargin)
    TakeOver(job, *state.lease, state.lease_version);
}

void BatchService::TakeOver(const std::string& id, const BatchLease& expired, std::int64_t lease_version) {
  if (!accepting_ || !store_clock_.known || FindJob(id) != nullptr) return;
  std::erase_if(given_up_, [this](const std::pair<const std::string, absl::Time>& it) {
    return loop_.Now() >= it.second + settings_.max_load_stall;
  });
  if (given_up_.contains(id) || !taking_over_.insert(id).second) return;
  BatchLease lease = expired;
  lease.owner = settings_.incarnation;
  lease.valid_until = StoreNow() + settings_.lease;
  Transaction transaction;
  transaction.conditions = {{{std::string(kBatchTable), id, std::string(kLeaseKey)}, lease_version},
                            {{std::string(kBatchTable), id, std::string(kEndedKey)}, 0}};
  transaction.writes = {{{std::string(kBatchTable), id, std::string(kLeaseKey)}, EncodeLease(lease)}};
  LogEventLine(LogLevel::kInfo, LogEvent::kBatchTakeover,
               {{"job", id},
                {"former_owner", expired.owner},
                {"listed", expired.committed},
                {"total", expired.total}});
  store_.Commit(transaction, [this, id, lease](const StoreReply& reply) {
    UpdateStoreClock(reply);
    taking_over_.erase(id);
    if (reply.outcome != StoreOutcome::kOk || !accepting_ || FindJob(id) != nullptr) return;
    LoadJob(AddOwnedJob(id, lease, reply.version));
  });
}

void BatchService::StartAssignedJob(const std::string& id) {
  if (!accepting_ || FindJob(id) != nullptr || !taking_over_.insert(id).second) return;
  store_.Get({std::string(kBatchTable), id, std::string(kEndedKey), std::string(kAllKeysEnd), 0},
             [this, id](const StoreReply& reply) {
               UpdateStoreClock(reply);
               taking_over_.erase(id);
               const JobState state = FindJobState(reply.rows);
               // The read failed, or the job is over or has another owner by now. If no host runs it, a read
               // takes it over when the lease has expired.
               if (reply.outcome != StoreOutcome::kOk || state.ended || !state.lease ||
                   state.lease->finished || state.lease->owner != settings_.incarnation || !accepting_ ||
                   FindJob(id) != nullptr)
                 return;
               LoadJob(AddOwnedJob(id, *state.lease, state.lease_version));
             });
}

void BatchService::LoadJob(Job& job) {
  const std::shared_ptr<LoadOp> load_op = std::make_shared<LoadOp>();
  load_op->job = job.submission.id;
  load_op->id = job.load = next_load_++;
  load_op->started = load_op->last_progress = loop_.Now();
  // The results have the texts of all finished items, many times the size of the submission.
  const std::string_view end = RecordsListedItems(job.lease) ? kSubmissionEnd : kEndedKey;
  LoadRows(load_op, {std::string(kBatchTable), load_op->job, SubmissionKey(), std::string(end), 0});
}

// Returns the job if this host still owns it and has not read it anew since.
BatchService::Job* BatchService::FindLoading(const LoadOp& load_op) {
  Job* const job = FindJob(load_op.job);
  return job != nullptr && job->loading && job->load == load_op.id ? job : nullptr;
}

void BatchService::LoadRows(const std::shared_ptr<LoadOp>& load_op, RowRange range) {
  store_.Get(range, [this, load_op, range](const StoreReply& reply) {
    UpdateStoreClock(reply);
    if (FindLoading(*load_op) == nullptr) return;
    if (reply.outcome != StoreOutcome::kOk) {
      RetryLoad(load_op, [this, load_op, range] { LoadRows(load_op, range); });
      return;
    }
    load_op->last_progress = loop_.Now();
    load_op->rows.insert(load_op->rows.end(), reply.rows.begin(), reply.rows.end());
    if (!reply.has_more || reply.rows.empty()) {
      OnRowsLoaded(load_op);
      return;
    }
    RowRange rest = range;
    rest.from = reply.rows.back().id.key + std::string(1, '\0');
    LoadRows(load_op, std::move(rest));
  });
}

// Repeats a step after a failed read.
void BatchService::RetryLoad(const std::shared_ptr<LoadOp>& load_op, std::function<void()> step) {
  Job& job = *FindLoading(*load_op);
  if (loop_.Now() - load_op->last_progress >= settings_.max_load_stall) {
    job.handing_over = true;
    given_up_[load_op->job] = loop_.Now();
    LogEventLine(LogLevel::kWarning, LogEvent::kBatchUnreadable,
                 {{"job", load_op->job},
                  {"rows", load_op->rows.size()},
                  {"bytes", load_op->submission.size()},
                  {"ms", absl::ToInt64Milliseconds(loop_.Now() - load_op->started)}});
    return;
  }
  loop_.After(kRetryPause, [this, load_op, step = std::move(step)] {
    if (FindLoading(*load_op) != nullptr) step();
  });
}

void BatchService::OnRowsLoaded(const std::shared_ptr<LoadOp>& load_op) {
  std::size_t at = 0;
  const bool found = !load_op->rows.empty() && load_op->rows[0].id.key == SubmissionKey();
  const std::optional<std::string> bytes = found ? JoinRows(load_op->rows, at) : std::nullopt;
  if (!bytes) {
    OnRecordUnreadable(load_op->job, SubmissionKey());
  } else if (bytes->size() == 1) {
    LoadObject(load_op, 0, static_cast<unsigned char>((*bytes)[0]));
  } else {
    OnJobLoaded(*load_op, *bytes);
  }
}

void BatchService::LoadObject(const std::shared_ptr<LoadOp>& load_op, int piece, int count) {
  if (piece >= count) {
    OnJobLoaded(*load_op, load_op->submission);
    return;
  }
  store_.GetObject(ObjectName(load_op->job, piece), [this, load_op, piece, count](const StoreReply& reply) {
    if (FindLoading(*load_op) == nullptr) return;
    if (reply.outcome != StoreOutcome::kOk || reply.rows.empty() || reply.rows[0].value.empty()) {
      RetryLoad(load_op, [this, load_op, piece, count] { LoadObject(load_op, piece, count); });
      return;
    }
    load_op->last_progress = loop_.Now();
    load_op->submission += reply.rows[0].value;
    LoadObject(load_op, piece + 1, count);
  });
}

void BatchService::OnJobLoaded(const LoadOp& load_op, std::string_view bytes) {
  Job& job = *FindLoading(load_op);
  std::optional<BatchSubmission> submission = DecodeSubmission(bytes);
  if (!submission) {
    OnRecordUnreadable(load_op.job, SubmissionKey());
    return;
  }
  std::string listed_items;
  if (RecordsListedItems(job.lease)) {
    listed_items = job.lease.listed_items;
  } else {
    const std::optional<std::string> found = FindListedItems(load_op, *submission);
    if (!found) return;
    listed_items = *found;
  }
  std::size_t bytes_read = load_op.submission.size();
  for (const Row& it : load_op.rows) bytes_read += it.value.size();
  LogEventLine(LogLevel::kInfo, LogEvent::kBatchLoaded,
               {{"job", load_op.job},
                {"rows", load_op.rows.size()},
                {"bytes", bytes_read},
                {"listed", CountItems(listed_items)},
                {"ms", absl::ToInt64Milliseconds(loop_.Now() - load_op.started)},
                {"lease_left_ms", absl::ToInt64Milliseconds(job.lease.valid_until - StoreNow())}});
  SetItems(job, std::move(*submission), listed_items);
}

// Bitmap of the items whose results were read; nullopt: one of them is unreadable, and the job is given up.
std::optional<std::string> BatchService::FindListedItems(const LoadOp& load_op,
                                                         const BatchSubmission& submission) {
  std::set<std::string> ids;
  for (std::size_t at = 0; at < load_op.rows.size();) {
    const std::string& key = load_op.rows[at].id.key;
    if (!ResultPosition(key)) {
      ++at;
      continue;
    }
    const std::optional<std::string> value = JoinRows(load_op.rows, at);
    const std::optional<ItemResult> result = value ? DecodeResult(*value) : std::nullopt;
    if (!result) {
      OnRecordUnreadable(load_op.job, key);
      return std::nullopt;
    }
    ids.insert(result->item);
  }
  std::string listed;
  for (std::size_t it = 0; it < submission.items.size(); ++it) {
    if (ids.contains(submission.items[it].id)) AddItem(listed, it);
  }
  return listed;
}

// Gives up a job that this host cannot decode. Its lease expires, so that a host with other software may try.
void BatchService::OnRecordUnreadable(const std::string& id, std::string_view key) {
  LogEventLine(LogLevel::kError, LogEvent::kRecordUnreadable, {{"job", id}, {"key", key}});
  Drop(id, "unreadable");
}

}  // namespace oleander::serving
