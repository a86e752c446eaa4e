// Idempotent commits: if the response to a commit is lost, the write id in the first written row shows
// whether the commit took effect.
#include <cassert>
#include <utility>

#include "absl/strings/str_cat.h"
#include "oleander/platform.h"

namespace oleander {
namespace {

std::string WriteIdOf(const std::string& value) {
  const Json json = Json::parse(value, nullptr, false);
  if (!json.is_object()) return "";
  const auto it = json.find("write_id");
  return it != json.end() && it->is_string() ? it->get<std::string>() : "";
}

// The second try resolves a write that was still in flight when its row was read back.
constexpr int kMaxTries = 2;

}  // namespace

std::string RowValue(Json value, const std::string& write_id) {
  assert(!write_id.empty());
  value["write_id"] = write_id;
  return value.dump();
}

leaf::result<TxnOutcome> CommitWithReadBack(const TablePort& table, const TableTxn& txn) {
  assert(!txn.writes.empty() && txn.writes.front().value.has_value());
  const TableWrite& first = txn.writes.front();
  const std::string write_id = WriteIdOf(*first.value);
  assert(!write_id.empty());
  for (int it = 0; it < kMaxTries; ++it) {
    Outcome<TxnOutcome> outcome = Capture<TxnOutcome>([&] { return table.commit(txn); });
    if (Ok(outcome)) {
      if (Value(outcome).committed) return std::move(Value(outcome));
      // The compares may have failed because an earlier try of this write took effect.
      for (const TableRow& row : Value(outcome).current) {
        if (row.key == first.key && row.revision != 0 && WriteIdOf(row.value) == write_id)
          return TxnOutcome{true, row.revision, {}};
      }
      return std::move(Value(outcome));
    }
    const Outcome<TableRow> row = Capture<TableRow>([&] { return table.read(first.key); });
    if (!Ok(row)) break;
    if (Value(row).revision != 0 && WriteIdOf(Value(row).value) == write_id)
      return TxnOutcome{true, Value(row).revision, {}};
  }
  return Fail(ErrorKind::kStoreUnavailable,
              absl::StrCat("table: the outcome of the write to ", first.key, " is unknown"));
}

}  // namespace oleander
