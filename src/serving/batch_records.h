// What a batch job is in the store: one partition a job in table "batch", and texts that are not complete yet
// in table "partial". docs/batch-records.md gives the layout.
#ifndef OLEANDER_SRC_SERVING_BATCH_RECORDS_H_
#define OLEANDER_SRC_SERVING_BATCH_RECORDS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "oleander/serving.h"

namespace oleander::serving {

inline constexpr std::string_view kBatchTable = "batch";
inline constexpr std::string_view kPartialTable = "partial";
inline constexpr std::string_view kEndedKey = "x";  // exists once the job is ended
inline constexpr std::string_view kLeaseKey = "z";  // after all results, so that a read of results shows it
inline constexpr std::string_view kAllKeysEnd = "~";

// Who runs a job. Every write of the owner is conditional on the version of this row.
struct BatchLease {
  std::string owner;           // incarnation of a host; empty: nobody
  absl::Duration valid_until;  // time of the store
  absl::Duration accepted_at;  // time of the store
  std::int64_t listed = 0;     // results at fixed positions
  std::int64_t total = 0;      // items
  bool finished = false;       // all items are listed
};
std::string EncodeLease(const BatchLease& lease);
std::optional<BatchLease> DecodeLease(std::string_view bytes);

std::string EncodeSubmission(const BatchSubmission& submission);
std::optional<BatchSubmission> DecodeSubmission(std::string_view bytes);

std::string EncodeResult(const ItemResult& result);
std::optional<ItemResult> DecodeResult(std::string_view bytes);

// Text of an item up to an event, as its owner had it.
struct PartialText {
  std::string item;                    //
  std::string output;                  //
  std::int64_t events = 0;             //
  std::int64_t last_event = 0;         // id of the last event in `output`
  std::vector<std::int64_t> versions;  //
  bool whole = false;                  // the text has its end and waits for its score
  int scoring_failures = 0;            // answers of the scoring call that said that it failed
};
std::string EncodePartial(const PartialText& partial);
std::optional<PartialText> DecodePartial(std::string_view bytes);

// Time between events by upstream id, in milliseconds; in table "pace", partitioned by service.
inline constexpr std::string_view kPaceTable = "pace";
inline constexpr std::string_view kPaceKey = "measured";
std::string EncodePaces(const std::map<std::string, double>& paces);
std::map<std::string, double> DecodePaces(std::string_view bytes);

// Cuts `bytes` into rows of at most `most` bytes: `key`, `key`/001, ... The first byte of the first row is
// the number of rows.
std::vector<RowWrite> SplitIntoRows(std::string_view table, const std::string& partition,
                                    const std::string& key, std::string_view bytes, std::size_t most);
// The bytes of the value that starts at rows[at], and the index after its last row; nullopt if rows are
// missing.
std::optional<std::string> JoinRows(const std::vector<Row>& rows, std::size_t& at);

// Keys, in the order in which a range returns them.
std::string SubmissionKey();
std::string ObjectName(const std::string& job, int piece);
std::string ResultKey(std::int64_t position);
std::optional<std::int64_t> ResultPosition(std::string_view key);

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_BATCH_RECORDS_H_
