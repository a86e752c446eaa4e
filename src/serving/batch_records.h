// Encoding of batch jobs in the store: one partition per job in table "batch", and the texts of unfinished
// items in table "partial". docs/batch-records.md gives the layout.
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
inline constexpr std::string_view kSubmissionEnd = "b";  // after the keys of the submission
inline constexpr std::string_view kEndedKey = "x";       // the row exists once the job has been ended
inline constexpr std::string_view kLeaseKey = "z";       // sorts last, so that a read of results includes it
inline constexpr std::string_view kAllKeysEnd = "~";

// The lease row of a job names the host that runs it. Every write of the owner is conditional on the version
// of this row.
struct BatchLease {
  std::string owner;           // incarnation of a host; empty: no owner
  absl::Duration valid_until;  // by the store's clock
  absl::Duration accepted_at;  // by the store's clock
  std::int64_t committed = 0;  // results written to the store; their positions are fixed
  std::int64_t total = 0;      // items
  bool finished = false;       // all results are written
  // Bitmap of the items whose results are written, by their index in the submission, so that a new owner need
  // not read the results; empty: not recorded.
  std::string listed_items;
};
std::string EncodeLease(const BatchLease& lease);
std::optional<BatchLease> DecodeLease(std::string_view bytes);

// The lease of a job and its end marker, as found in rows of the job's partition.
struct JobState {
  std::optional<BatchLease> lease;  // nullopt: not among the rows, or unreadable
  std::int64_t lease_version = 0;   //
  bool ended = false;               //
};
JobState FindJobState(const std::vector<Row>& rows);

// Bitmaps of items: item i is bit i % 8 of byte i / 8.
void AddItem(std::string& bitmap, std::size_t item);
bool HasItem(std::string_view bitmap, std::size_t item);
std::int64_t CountItems(std::string_view bitmap);

std::string EncodeSubmission(const BatchSubmission& submission);
// Estimate of the memory that a submission takes, as it is or as a job.
std::size_t MemoryOf(const BatchSubmission& submission);
std::optional<BatchSubmission> DecodeSubmission(std::string_view bytes);

std::string EncodeResult(const ItemResult& result);
std::optional<ItemResult> DecodeResult(std::string_view bytes);

// Checkpoint of an item's text, up to one of its events.
struct PartialText {
  std::string item;                    //
  std::string output;                  //
  std::int64_t events = 0;             //
  std::int64_t last_event = 0;         // id of the last event in `output`
  std::vector<std::int64_t> versions;  //
  bool complete = false;               // the text is complete and waits for its score
  int scoring_failures = 0;            // answers to the scoring call that report a failure
  // Software version of the engine that began the text; nullopt: not recorded, as by hosts that did not know
  // of it.
  std::optional<std::string> software;
  std::vector<std::string> sources;  // ids of the upstreams that generated the events; empty: not recorded
};
std::string EncodePartial(const PartialText& partial);
std::optional<PartialText> DecodePartial(std::string_view bytes);

// Average time between events by upstream id, in milliseconds. Stored in table "pace", one partition per
// service.
inline constexpr std::string_view kPaceTable = "pace";
inline constexpr std::string_view kPaceKey = "measured";
std::string EncodePaces(const std::map<std::string, double>& paces);
std::map<std::string, double> DecodePaces(std::string_view bytes);

// Splits `bytes` into rows of at most `max_bytes` bytes with the keys `key`, `key`/001, ... The first byte of
// the first row is the number of rows.
std::vector<RowWrite> SplitIntoRows(std::string_view table, const std::string& partition,
                                    const std::string& key, std::string_view bytes, std::size_t max_bytes);
// Joins the rows of the value that begins at rows[at], and sets `at` to the index after its last row. Returns
// nullopt, with `at` unchanged, if rows are missing.
std::optional<std::string> JoinRows(const std::vector<Row>& rows, std::size_t& at);

// Keys and object names. The submission's key sorts before those of the results.
std::string SubmissionKey();
std::string ObjectName(const std::string& job, int piece);
std::string ResultKey(std::int64_t position);
std::optional<std::int64_t> ResultPosition(std::string_view key);

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_BATCH_RECORDS_H_
