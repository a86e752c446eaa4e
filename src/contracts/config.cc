#include "oleander/config.h"

#include <algorithm>
#include <cassert>
#include <limits>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "contracts/strict_json.h"

namespace oleander {
namespace {

constexpr absl::Duration kUnconfirmedAfter = absl::Seconds(4);
constexpr absl::Duration kMinPollInterval = absl::Seconds(1);
constexpr double kReadsPerSecond = 20;  // of all hosts together
constexpr std::size_t kMaxExceptions = 10000;

struct ConfigRow {
  ConfigDocument document;  // version 0 if the row is absent
  std::int64_t revision = 0;
  std::string write_id;
};

leaf::result<ConfigRow> ParseRow(const TableRow& row) {
  ConfigRow result;
  result.revision = row.revision;
  if (row.revision == 0) return result;
  BOOST_LEAF_AUTO(json, ParseJson(row.value, ErrorKind::kInternal));
  BOOST_LEAF_ASSIGN(result.document, ConfigFromJson(json));
  const auto it = json.find("write_id");
  if (it != json.end() && it->is_string()) result.write_id = it->get<std::string>();
  return result;
}

leaf::result<ConfigRow> ReadRow(const TablePort& table) {
  BOOST_LEAF_AUTO(row, table.read(kConfigKey));
  return ParseRow(row);
}

leaf::result<TxnOutcome> WriteRow(const TablePort& table, const ConfigDocument& document,
                                  std::int64_t revision, const std::string& write_id) {
  TableTxn txn;
  txn.compares.push_back({kConfigKey, revision});
  txn.writes.push_back({kConfigKey, RowValue(ToJson(document), write_id)});
  return CommitWithReadBack(table, txn);
}

// Writes the current document back to a table that shows a lower version. If another write came first,
// nothing is written, and the next poll compares again.
void WriteBack(ConfigState& state, const TablePort& table, std::int64_t revision, std::mt19937_64& random) {
  const std::string write_id = absl::StrCat("write-back-", absl::Hex(random()));
  (void)Capture<TxnOutcome>([&] { return WriteRow(table, state.current, revision, write_id); });
}

leaf::error_id ConflictWith(const ConfigDocument& other) {
  return Fail(ErrorKind::kConflict, ToJson(other).dump());
}

leaf::result<ConfigDocument> MakeDocument(const ConfigChange& change, const ConfigDocument& predecessor) {
  BOOST_LEAF_CHECK(CheckPolicy(change.policy));
  ConfigDocument document;
  document.version = change.expected_version + 1;
  document.previous_hash = HashOf(predecessor);
  document.policy = change.policy;
  document.exceptions = change.exceptions;
  document.changed_by = change.changed_by;
  for (std::size_t it = 0; it < document.exceptions.size(); ++it) {
    if (document.exceptions[it].id.empty())
      document.exceptions[it].id = absl::StrCat("x", document.version, "-", it + 1);
  }
  BOOST_LEAF_CHECK(CheckExceptions(document.policy, document.exceptions));
  return document;
}

}  // namespace

Json ToJson(const ConfigDocument& document) {
  Json exceptions = Json::array();
  for (const PolicyException& it : document.exceptions) exceptions.push_back(ToJson(it));
  return {{"version", document.version},
          {"previous_hash", document.previous_hash},
          {"policy", ToJson(document.policy)},
          {"exceptions", std::move(exceptions)},
          {"changed_by", document.changed_by}};
}

leaf::result<ConfigDocument> ConfigFromJson(const Json& json) {
  ConfigDocument document;
  std::vector<std::string> problems;
  ObjectReader reader(json, "", problems);
  reader.Read("version", document.version, 0, std::numeric_limits<std::int64_t>::max() - 1,
              Presence::kRequired);
  reader.Read("previous_hash", document.previous_hash, 0, 64, Presence::kRequired);
  reader.Read("changed_by", document.changed_by, 0, 256);
  reader.Find("write_id", "a string");  // present only in the table row
  const Json* policy = reader.Find("policy", "an object", Presence::kRequired);
  const Json* exceptions = reader.Find("exceptions", "an array", Presence::kRequired);
  reader.Finish();
  if (exceptions != nullptr && (!exceptions->is_array() || exceptions->size() > kMaxExceptions))
    reader.Problem("exceptions", DescribeJson(*exceptions), "an array of at most 10000 exceptions");
  if (!problems.empty()) return Fail(ErrorKind::kInvalidRequest, absl::StrJoin(problems, "\n"));
  BOOST_LEAF_ASSIGN(document.policy, PolicyFromJson(*policy));
  for (const Json& it : *exceptions) {
    BOOST_LEAF_AUTO(exception, ExceptionFromJson(it));
    document.exceptions.push_back(std::move(exception));
  }
  BOOST_LEAF_CHECK(CheckExceptions(document.policy, document.exceptions));
  return document;
}

std::string HashOf(const ConfigDocument& document) {
  // FNV-1a over the canonical JSON text (nlohmann-json sorts the keys). Detects forks, not tampering.
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char it : ToJson(document).dump(-1, ' ', false, Json::error_handler_t::replace))
    hash = (hash ^ static_cast<unsigned char>(it)) * 0x100000001b3;
  return absl::StrCat(absl::Hex(hash, absl::kZeroPad16));
}

ConfigUpdate ApplyConfig(ConfigState& state, const ConfigDocument& document, bool from_table,
                         absl::Time now) {
  const std::int64_t known = state.current.version;
  if (document.version < known) {
    // A peer may be behind. The table shows a lower version only if it was restored or the read was stale.
    if (from_table) ++state.reversions_refused;
    return ConfigUpdate::kLowerRefused;
  }
  if (from_table) state.confirmed_at = std::max(state.confirmed_at, now);
  if (document.version > known) {
    if (known > 0 && document.version == known + 1 && document.previous_hash != HashOf(state.current))
      ++state.forks_seen;
    state.current = document;
    return ConfigUpdate::kNewer;
  }
  if (known == 0 || HashOf(document) == HashOf(state.current)) return ConfigUpdate::kUnchanged;
  ++state.forks_seen;
  if (from_table) state.current = document;
  return ConfigUpdate::kForked;
}

absl::Duration ConfigPollInterval(int hosts) {
  return std::max(kMinPollInterval, absl::Seconds(hosts / kReadsPerSecond));
}

ConfigUpdate PollConfig(ConfigState& state, const TablePort& table, int hosts, absl::Time now,
                        std::mt19937_64& random) {
  if (now < state.next_poll) return ConfigUpdate::kUnchanged;
  // The jitter spreads the polls of hosts that started at the same time.
  const double jitter = std::uniform_real_distribution<double>(0.9, 1.1)(random);
  state.next_poll = now + ConfigPollInterval(hosts) * jitter;
  state.last_poll = now;
  const Outcome<ConfigRow> row = Capture<ConfigRow>([&] { return ReadRow(table); });
  if (!Ok(row)) return ConfigUpdate::kUnchanged;
  const ConfigUpdate update = ApplyConfig(state, Value(row).document, true, now);
  if (update == ConfigUpdate::kLowerRefused) WriteBack(state, table, Value(row).revision, random);
  return update;
}

bool HandlePeerVersion(ConfigState& state, std::int64_t version, absl::Time table_read_at, absl::Time now,
                       std::mt19937_64& random) {
  if (version <= state.current.version) {
    state.confirmed_at = std::max(state.confirmed_at, std::min(table_read_at, now));
    return false;
  }
  // Polls after a random delay of up to 500 ms: the push of the document may still arrive, and hosts that
  // missed it must not all read the table at once. At most one poll per second, even while the table does not
  // respond.
  const absl::Duration delay = absl::Milliseconds(std::uniform_int_distribution<int>(0, 500)(random));
  state.next_poll = std::min(state.next_poll, std::max(now + delay, state.last_poll + kMinPollInterval));
  return true;
}

bool ConfigConfirmed(const ConfigState& state, absl::Time now) {
  return now - state.confirmed_at <= kUnconfirmedAfter;
}

leaf::result<ConfigDocument> ProposeConfig(const TablePort& table, const ConfigChange& change,
                                           const ConfigDocument* known) {
  assert(!change.write_id.empty());
  BOOST_LEAF_AUTO(row, ReadRow(table));
  // An earlier try took effect but its response was lost.
  if (row.write_id == change.write_id) return row.document;
  if (known != nullptr && row.document.version < known->version) return ConflictWith(*known);
  BOOST_LEAF_AUTO(document, MakeDocument(change, row.document));
  if (row.document.version != change.expected_version) return ConflictWith(row.document);
  const Outcome<TxnOutcome> outcome =
      Capture<TxnOutcome>([&] { return WriteRow(table, document, row.revision, change.write_id); });
  if (Ok(outcome) && Value(outcome).committed) return document;
  BOOST_LEAF_AUTO(other, ReadRow(table));
  // The response was lost and another change was committed before the read-back. That change has this one as
  // its predecessor.
  const bool superseded =
      other.document.version == document.version + 1 && other.document.previous_hash == HashOf(document);
  // Returns the row's document, not `document`: this host may have been paused while the operator, after a
  // conflict, repeated the change with another predecessor. The row then has a later version than this host
  // tried to write.
  if (other.write_id == change.write_id) return other.document;
  if (superseded) return document;
  if (!Ok(outcome)) return Fail(ErrorOf(outcome));
  return ConflictWith(other.document);
}

}  // namespace oleander
