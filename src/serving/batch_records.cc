#include "serving/batch_records.h"

#include <bit>
#include <nlohmann/json.hpp>
#include <numeric>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "serving/text.h"

namespace oleander::serving {
namespace {

using Json = nlohmann::json;

constexpr int kSubmissionFormat = 1;
constexpr std::size_t kItemMemory = 1 << 10;  // of an item of a job, besides its texts
constexpr std::size_t kListedItemsField = 6;  // of a lease
constexpr std::size_t kWorkspaceField = 9;    // of a submission; records without workspaces do not have it
// Indices of fields that records of versions before 0.3 do not have.
constexpr std::size_t kScoringField = 7;          // of an item
constexpr std::size_t kScoreField = 4;            // of a result
constexpr std::size_t kCompleteField = 5;         // of a text
constexpr std::size_t kScoringFailuresField = 6;  // of a text
constexpr std::size_t kSoftwareField = 7;         // of a text
constexpr std::size_t kSourcesField = 8;

std::string Pack(const Json& value) {
  std::string bytes;
  Json::to_msgpack(value, bytes);
  return bytes;
}

// Returns a discarded value if the bytes are not MessagePack.
Json Unpack(std::string_view bytes) { return Json::from_msgpack(bytes.begin(), bytes.end(), true, false); }

Json Binary(const std::string& text) { return Json::binary({text.begin(), text.end()}); }
std::string Text(const Json& binary) {
  const Json::binary_t& bytes = binary.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

// The bytes with which an array of `n` values begins.
std::string ArrayHeader(std::size_t n) {
  const std::string nulls = Pack(Json(Json::array_t(n)));  // each takes one byte
  return nulls.substr(0, nulls.size() - n);
}

Json ItemRecord(const BatchItem& item) {
  Json headers = Json::array();
  for (const HeaderField& it : item.headers)
    headers.push_back(Json::array({Binary(it.name), Binary(it.value)}));
  Json scoring;
  if (item.scoring) {
    scoring =
        Json::array({item.scoring->id, item.scoring->host, item.scoring->target, Binary(item.scoring->body)});
  }
  return Json::array({item.id, item.target, std::move(headers), Binary(item.body), item.group, item.tokens,
                      item.length_hint, std::move(scoring)});
}

// Runs a decoder. Returns nullopt if the bytes are not MessagePack or have another structure.
template <class T, class F>
std::optional<T> Decode(std::string_view bytes, F&& read) {
  const Json value = Unpack(bytes);
  if (value.is_discarded()) return std::nullopt;
  try {
    return read(value);
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string EncodeLease(const BatchLease& lease) {
  Json record = Json::array({lease.owner, absl::ToInt64Milliseconds(lease.valid_until),
                             absl::ToInt64Milliseconds(lease.accepted_at), lease.committed, lease.total,
                             lease.finished});
  if (!lease.listed_items.empty()) record.push_back(Binary(lease.listed_items));
  return Pack(record);
}

std::optional<BatchLease> DecodeLease(std::string_view bytes) {
  return Decode<BatchLease>(bytes, [](const Json& value) {
    BatchLease lease;
    lease.owner = value.at(0).get<std::string>();
    lease.valid_until = absl::Milliseconds(value.at(1).get<std::int64_t>());
    lease.accepted_at = absl::Milliseconds(value.at(2).get<std::int64_t>());
    lease.committed = value.at(3).get<std::int64_t>();
    lease.total = value.at(4).get<std::int64_t>();
    lease.finished = value.at(5).get<bool>();
    if (value.size() > kListedItemsField) lease.listed_items = Text(value[kListedItemsField]);
    return lease;
  });
}

JobState FindJobState(const std::vector<Row>& rows) {
  JobState state;
  for (const Row& it : rows) {
    if (it.id.key == kEndedKey) state.ended = true;
    if (it.id.key != kLeaseKey) continue;
    state.lease = DecodeLease(it.value);
    state.lease_version = it.version;
  }
  return state;
}

void AddItem(std::string& bitmap, std::size_t item) {
  if (bitmap.size() <= item / 8) bitmap.resize(item / 8 + 1, '\0');
  bitmap[item / 8] = static_cast<char>(static_cast<unsigned char>(bitmap[item / 8]) | 1U << item % 8);
}

bool HasItem(std::string_view bitmap, std::size_t item) {
  return item / 8 < bitmap.size() && (static_cast<unsigned char>(bitmap[item / 8]) >> item % 8 & 1U) != 0;
}

std::int64_t CountItems(std::string_view bitmap) {
  return std::accumulate(bitmap.begin(), bitmap.end(), std::int64_t{0}, [](std::int64_t n, char it) {
    return n + std::popcount(static_cast<unsigned char>(it));
  });
}

std::size_t MemoryOf(const BatchSubmission& submission) {
  std::size_t bytes = 0;
  for (const BatchItem& it : submission.items) {
    bytes += kItemMemory + it.id.size() + it.target.size() + it.body.size() + it.group.size();
    for (const HeaderField& field : it.headers)
      bytes += sizeof(HeaderField) + field.name.size() + field.value.size();
    if (it.scoring) bytes += it.scoring->body.size();
  }
  return bytes;
}

// One item at a time, since a record of all items before it is packed takes as much memory as the items.
std::string EncodeSubmission(const BatchSubmission& submission) {
  std::string bytes;
  bytes.reserve(MemoryOf(submission));
  bytes += ArrayHeader(submission.workspace ? kWorkspaceField + 1 : kWorkspaceField);
  for (const Json& it : {Json(kSubmissionFormat), Json(submission.id), Json(submission.host),
                         Json(submission.path), Json(submission.step), Json(submission.model),
                         Json(submission.min_version), Json(submission.desired_groups)})
    bytes += Pack(it);
  bytes += ArrayHeader(submission.items.size());
  for (const BatchItem& it : submission.items) bytes += Pack(ItemRecord(it));
  if (submission.workspace) bytes += Pack(*submission.workspace);
  return bytes;
}

std::optional<BatchSubmission> DecodeSubmission(std::string_view bytes) {
  return Decode<BatchSubmission>(bytes, [](const Json& value) -> std::optional<BatchSubmission> {
    if (value.at(0).get<int>() != kSubmissionFormat) return std::nullopt;
    BatchSubmission submission;
    submission.id = value.at(1).get<std::string>();
    submission.host = value.at(2).get<std::string>();
    submission.path = value.at(3).get<std::string>();
    submission.step = value.at(4).get<std::int64_t>();
    submission.model = value.at(5).get<std::string>();
    submission.min_version = value.at(6).get<std::int64_t>();
    submission.desired_groups = value.at(7).get<int>();
    if (value.size() > kWorkspaceField) submission.workspace = value[kWorkspaceField].get<std::string>();
    for (const Json& it : value.at(8)) {
      BatchItem item;
      item.id = it.at(0).get<std::string>();
      item.target = it.at(1).get<std::string>();
      for (const Json& field : it.at(2)) item.headers.push_back({Text(field.at(0)), Text(field.at(1))});
      item.body = Text(it.at(3));
      item.group = it.at(4).get<std::string>();
      item.tokens = it.at(5).get<std::int64_t>();
      item.length_hint = it.at(6).get<double>();
      if (it.size() > kScoringField && !it[kScoringField].is_null()) {
        const Json& scoring = it[kScoringField];
        item.scoring = ScoringRequest{scoring.at(0).get<std::string>(), scoring.at(1).get<std::string>(),
                                      scoring.at(2).get<std::string>(), Text(scoring.at(3))};
      }
      submission.items.push_back(std::move(item));
    }
    return submission;
  });
}

std::string EncodeResult(const ItemResult& result) {
  return Pack(Json::array({result.item, static_cast<int>(result.state), Binary(result.output),
                           result.versions, Binary(result.score)}));
}

std::optional<ItemResult> DecodeResult(std::string_view bytes) {
  return Decode<ItemResult>(bytes, [](const Json& value) {
    ItemResult result;
    result.item = value.at(0).get<std::string>();
    result.state = static_cast<ItemState>(value.at(1).get<int>());
    result.output = Text(value.at(2));
    result.versions = value.at(3).get<std::vector<std::int64_t>>();
    if (value.size() > kScoreField) result.score = Text(value[kScoreField]);
    return result;
  });
}

std::string EncodePartial(const PartialText& partial) {
  return Pack(Json::array({partial.item, Binary(partial.output), partial.events, partial.last_event,
                           partial.versions, partial.complete, partial.scoring_failures,
                           partial.software ? Json(Binary(*partial.software)) : Json(), partial.sources}));
}

std::optional<PartialText> DecodePartial(std::string_view bytes) {
  return Decode<PartialText>(bytes, [](const Json& value) {
    PartialText partial;
    partial.item = value.at(0).get<std::string>();
    partial.output = Text(value.at(1));
    partial.events = value.at(2).get<std::int64_t>();
    partial.last_event = value.at(3).get<std::int64_t>();
    partial.versions = value.at(4).get<std::vector<std::int64_t>>();
    if (value.size() > kScoringFailuresField) {
      partial.complete = value[kCompleteField].get<bool>();
      partial.scoring_failures = value[kScoringFailuresField].get<int>();
    }
    if (value.size() > kSoftwareField && !value[kSoftwareField].is_null())
      partial.software = Text(value[kSoftwareField]);
    if (value.size() > kSourcesField) partial.sources = value[kSourcesField].get<std::vector<std::string>>();
    return partial;
  });
}

std::string EncodePaces(const std::map<std::string, double>& paces) { return Pack(paces); }

std::map<std::string, double> DecodePaces(std::string_view bytes) {
  return Decode<std::map<std::string, double>>(
             bytes, [](const Json& value) { return value.get<std::map<std::string, double>>(); })
      .value_or(std::map<std::string, double>());
}

std::vector<RowWrite> SplitIntoRows(std::string_view table, const std::string& partition,
                                    const std::string& key, std::string_view bytes, std::size_t max_bytes) {
  const std::size_t count = (bytes.size() + 1 + max_bytes - 1) / max_bytes;
  std::vector<RowWrite> rows;
  std::size_t at = 0;
  for (std::size_t it = 0; it < count; ++it) {
    RowWrite row;
    row.id = {std::string(table), partition,
              it == 0 ? key : absl::StrFormat("%s/%03d", key, static_cast<int>(it))};
    if (it == 0) row.value.push_back(static_cast<char>(count));
    const std::size_t n = std::min(max_bytes - row.value.size(), bytes.size() - at);
    row.value.append(bytes.substr(at, n));
    at += n;
    rows.push_back(std::move(row));
  }
  return rows;
}

std::optional<std::string> JoinRows(const std::vector<Row>& rows, std::size_t& at) {
  if (at >= rows.size() || rows[at].value.empty()) return std::nullopt;
  const std::size_t count = static_cast<unsigned char>(rows[at].value[0]);
  if (count == 0 || at + count > rows.size()) return std::nullopt;
  const std::string& key = rows[at].id.key;
  std::string bytes = rows[at].value.substr(1);
  for (std::size_t it = 1; it < count; ++it) {
    if (rows[at + it].id.key != absl::StrFormat("%s/%03d", key, static_cast<int>(it))) return std::nullopt;
    bytes += rows[at + it].value;
  }
  at += count;
  return bytes;
}

std::string SubmissionKey() { return "a"; }

std::string ObjectName(const std::string& job, int piece) {
  return absl::StrFormat("batch-%s-%03d", job, piece);
}

std::string ResultKey(std::int64_t position) { return absl::StrFormat("r%08d", position); }

std::optional<std::int64_t> ResultPosition(std::string_view key) {
  std::int64_t position = 0;
  if (!key.starts_with("r") || key.size() != 9 || !ParseInteger(key.substr(1), &position))
    return std::nullopt;
  return position;
}

}  // namespace oleander::serving
