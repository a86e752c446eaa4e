// Removal of batch jobs whose retention time is over.
#include <algorithm>
#include <utility>

#include "oleander/log_events.h"
#include "serving/batch_job.h"

namespace oleander::serving {
namespace {

constexpr std::string_view kSweepTable = "lease";
constexpr std::string_view kSweepPartition = "sweep";
constexpr std::string_view kSweepKey = "batch";

}  // namespace

// Only one host sweeps at a time: the one whose conditional write of the sweep's lease row succeeds.
void BatchService::Sweep() {
  if (!accepting_) return;
  const RowKey row = {std::string(kSweepTable), std::string(kSweepPartition), std::string(kSweepKey)};
  store_.Get({row.table, row.partition, row.key, "", 1}, [this, row](const StoreReply& reply) {
    UpdateStoreClock(reply);
    if (reply.outcome != StoreOutcome::kOk || !store_clock_.known) return;
    const std::optional<BatchLease> last =
        reply.rows.empty() ? std::nullopt : DecodeLease(reply.rows[0].value);
    if (last && StoreNow() < last->valid_until) return;
    BatchLease next;
    next.owner = settings_.incarnation;
    next.valid_until = StoreNow() + settings_.sweep_every;
    Transaction transaction;
    transaction.conditions = {{row, reply.rows.empty() ? 0 : reply.rows[0].version}};
    transaction.writes = {{row, EncodeLease(next)}};
    store_.Commit(transaction, [this](const StoreReply& written) {
      UpdateStoreClock(written);
      if (written.outcome == StoreOutcome::kOk) SweepPage("");
    });
  });
}

void BatchService::SweepPage(const std::string& after) {
  store_.ListPartitions(std::string(kBatchTable), after, [this](const StoreReply& reply) {
    if (reply.outcome != StoreOutcome::kOk || reply.rows.empty()) return;
    std::deque<std::string> jobs;
    for (const Row& it : reply.rows) jobs.push_back(it.id.partition);
    const std::string last = jobs.back();
    const bool has_more = reply.has_more;
    SweepJobs(std::move(jobs), [this, last, has_more] {
      if (has_more) SweepPage(last);
    });
  });
}

void BatchService::SweepJobs(std::deque<std::string> jobs, std::function<void()> done) {
  if (jobs.empty() || !accepting_) {
    done();
    return;
  }
  const std::string job = jobs.front();
  jobs.pop_front();
  store_.Get({std::string(kBatchTable), job, std::string(kEndedKey), std::string(kAllKeysEnd), 2},
             [this, job, jobs = std::move(jobs), done = std::move(done)](const StoreReply& reply) mutable {
               std::function<void()> next = [this, jobs = std::move(jobs), done = std::move(done)] {
                 SweepJobs(jobs, done);
               };
               const JobState state = FindJobState(reply.rows);
               if (reply.outcome != StoreOutcome::kOk || !state.lease) {
                 next();
                 return;
               }
               const absl::Duration age = StoreNow() - state.lease->accepted_at;
               const bool over = (state.ended || state.lease->finished) && age >= settings_.retention;
               if (over || age >= settings_.max_retention) {
                 RemoveJob(job, state.lease_version, std::move(next));
               } else {
                 next();
               }
             });
}

// Removes the rows in key order, so that the lease row is among the last. A removal that is interrupted is
// therefore found again by the next sweep.
void BatchService::RemoveJob(const std::string& job, std::int64_t lease_version, std::function<void()> done) {
  FetchRange(
      {std::string(kBatchTable), job, "", std::string(kAllKeysEnd), 0}, {},
      [this, job, lease_version, done = std::move(done)](StoreOutcome outcome, std::vector<Row> rows) {
        if (outcome != StoreOutcome::kOk || rows.empty()) {
          done();
          return;
        }
        // A submission of one byte is stored in objects; the byte is their number.
        std::size_t at = 0;
        const std::optional<std::string> submission = JoinRows(rows, at);
        if (submission && submission->size() == 1) {
          for (int it = 0; it < static_cast<unsigned char>((*submission)[0]); ++it) {
            store_.RemoveObject(ObjectName(job, it), [](const StoreReply&) {});
          }
        }
        Transaction transaction;
        transaction.conditions = {{{std::string(kBatchTable), job, std::string(kLeaseKey)}, lease_version}};
        const std::size_t first = rows.size() > kMaxRowsInCommit ? kMaxRowsInCommit : rows.size();
        for (std::size_t it = 0; it < first; ++it) transaction.removals.push_back(rows[it].id);
        const bool is_last = first == rows.size();
        store_.Commit(transaction,
                      [this, job, lease_version, is_last, n = rows.size(), done](const StoreReply& reply) {
                        UpdateStoreClock(reply);
                        if (reply.outcome != StoreOutcome::kOk || is_last) {
                          LogEventLine(LogLevel::kInfo, LogEvent::kBatchRemoved,
                                       {{"job", job}, {"rows", n}, {"store", NameOf(reply.outcome)}});
                          done();
                          return;
                        }
                        RemoveJob(job, lease_version, done);
                      });
      });
}

}  // namespace oleander::serving
