#include "serving/stream_versions.h"

#include <algorithm>
#include <memory>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "oleander/log_events.h"
#include "serving/decisions.h"
#include "serving/text.h"

namespace oleander::serving {
namespace {

constexpr std::string_view kStreamTable = "stream";
constexpr int kPartitions = 16;              // the store serializes the writes of one partition
constexpr std::size_t kMaxRowsInWrite = 95;  // the store accepts 100
constexpr absl::Duration kFlushDelay = absl::Milliseconds(10);
constexpr absl::Duration kFindTimeout = absl::Milliseconds(400);
// A caller may resume at another host before the record is written.
constexpr absl::Duration kFindRetryDelay = absl::Milliseconds(60);
constexpr int kFindAttempts = 2;
constexpr absl::Duration kRetention = absl::Minutes(5);  // far above the timeout of any streaming route

// Value of a record: the store's time of the write in ms, by which Sweep finds old records, a space, and the
// origin.
std::string EncodeRecord(std::int64_t written_ms, const StreamOrigin& origin) {
  return absl::StrCat(written_ms, " ",
                      Json::array({origin.service, origin.upstream, origin.software})
                          .dump(-1, ' ', false, Json::error_handler_t::replace));
}

std::optional<StreamOrigin> DecodeRecord(std::string_view value) {
  const Json fields = Json::parse(value.substr(std::min(value.size(), value.find(' '))), nullptr, false);
  const bool readable =
      fields.is_array() && fields.size() == 3 &&
      std::all_of(fields.begin(), fields.end(), [](const Json& it) { return it.is_string(); });
  if (!readable) return std::nullopt;  // written by a host of an earlier version
  return StreamOrigin{fields[0].get<std::string>(), fields[1].get<std::string>(),
                      fields[2].get<std::string>()};
}

std::string PartitionOf(const std::string& stream) { return absl::StrCat(HashText(stream) % kPartitions); }

}  // namespace

void StreamVersions::Record(const std::string& stream, StreamOrigin origin) {
  unwritten_[stream] = std::move(origin);
  recorded_ = true;
  if (std::exchange(flush_due_, true)) return;
  loop_.After(kFlushDelay, [this] { Flush(); });
}

void StreamVersions::Flush() {
  flush_due_ = false;
  if (!clock_.known) {
    store_.Get({std::string(kStreamTable), "0", "", "", 1}, [this](const StoreReply& reply) {
      UpdateStoreClock(clock_, reply, loop_.Now());
      if (clock_.known) Flush();  // otherwise with the next record
    });
    return;
  }
  const std::int64_t now_ms = absl::ToInt64Milliseconds(StoreTimeAt(clock_, loop_.Now()));
  std::map<std::string, Transaction> writes;  // by partition
  for (const std::pair<const std::string, StreamOrigin>& it : std::exchange(unwritten_, {})) {
    const std::string partition = PartitionOf(it.first);
    Transaction& transaction = writes[partition];
    transaction.writes.push_back(
        {{std::string(kStreamTable), partition, it.first}, EncodeRecord(now_ms, it.second)});
    if (transaction.writes.size() >= kMaxRowsInWrite) Write(std::exchange(transaction, {}));
  }
  for (const std::pair<const std::string, Transaction>& it : writes) {
    if (!it.second.writes.empty()) Write(it.second);
  }
}

void StreamVersions::Write(const Transaction& transaction) {
  store_.Commit(transaction, [this, n = transaction.writes.size()](const StoreReply& reply) {
    UpdateStoreClock(clock_, reply, loop_.Now());
    if (reply.outcome == StoreOutcome::kOk) return;
    LogEventLine(LogLevel::kWarning, LogEvent::kStreamRecordFailed,
                 {{"streams", n}, {"store", NameOf(reply.outcome)}});
  });
}

void StreamVersions::Find(const std::string& stream, Done done) {
  // The store's own timeout is longer than a caller should wait for a refusal.
  const std::shared_ptr<Done> once = std::make_shared<Done>(std::move(done));
  const Done finish = [once](const std::optional<StreamOrigin>& origin) {
    if (*once) std::exchange(*once, nullptr)(origin);
  };
  loop_.After(kFindTimeout, [finish] { finish(std::nullopt); });
  FindInStore(stream, kFindAttempts, finish);
}

void StreamVersions::FindInStore(const std::string& stream, int attempts_left, Done done) {
  store_.Get({std::string(kStreamTable), PartitionOf(stream), stream, stream + std::string(1, '\0'), 1},
             [this, stream, attempts_left, done = std::move(done)](const StoreReply& reply) {
               UpdateStoreClock(clock_, reply, loop_.Now());
               if (reply.outcome == StoreOutcome::kOk && !reply.rows.empty()) {
                 done(DecodeRecord(reply.rows.front().value));
                 return;
               }
               if (attempts_left <= 1) {
                 done(std::nullopt);
                 return;
               }
               loop_.After(kFindRetryDelay, [this, stream, attempts_left, done] {
                 FindInStore(stream, attempts_left - 1, done);
               });
             });
}

void StreamVersions::Sweep() {
  if (!recorded_) return;  // left to the hosts that record streams
  for (int it = 0; it < kPartitions; ++it) SweepPartition(absl::StrCat(it), "");
}

void StreamVersions::SweepPartition(const std::string& partition, const std::string& from) {
  store_.Get({std::string(kStreamTable), partition, from, "", 0}, [this, partition](const StoreReply& reply) {
    UpdateStoreClock(clock_, reply, loop_.Now());
    if (reply.outcome != StoreOutcome::kOk || reply.rows.empty() || !clock_.known) return;
    const absl::Duration now = StoreTimeAt(clock_, loop_.Now());
    Transaction transaction;
    for (const Row& it : reply.rows) {
      std::int64_t written_ms = 0;
      const bool known = ParseInteger(it.value.substr(0, it.value.find(' ')), &written_ms);
      if (known && now - absl::Milliseconds(written_ms) < kRetention) continue;
      transaction.removals.push_back(it.id);
      if (transaction.removals.size() < kMaxRowsInWrite) continue;
      store_.Commit(transaction, [](const StoreReply&) {});  // if it fails, the next sweep tries again
      transaction.removals.clear();
    }
    if (!transaction.removals.empty()) store_.Commit(transaction, [](const StoreReply&) {});
    if (reply.has_more) SweepPartition(partition, reply.rows.back().id.key + std::string(1, '\0'));
  });
}

}  // namespace oleander::serving
