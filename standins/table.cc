#include "standins/table.h"

#include <cstdlib>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace oleander::standins {
namespace {

leaf::result<std::string> Decode(const Json& json, const char* name) {
  const std::string text = json.value(name, std::string());
  std::string bytes;
  if (!absl::Base64Unescape(text, &bytes)) {
    return Fail(ErrorKind::kInvalidRequest, absl::StrCat(name, ": not base64"));
  }
  return bytes;
}

std::string Encode(const std::string& bytes) { return absl::Base64Escape(bytes); }

// The gateway accepts 64-bit numbers as strings and as numbers.
std::int64_t NumberOf(const Json& json, const char* name) {
  const auto it = json.find(name);
  if (it == json.end()) return 0;
  if (it->is_string()) return std::strtoll(it->get<std::string>().c_str(), nullptr, 10);
  return it->get<std::int64_t>();
}

Json HeaderOf(std::int64_t revision) {
  return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", absl::StrCat(revision)}, {"raft_term", "1"}};
}

Json RowJson(const std::string& key, const StoredRow& row) {
  Json json = {{"key", Encode(key)},
               {"create_revision", absl::StrCat(row.create_revision)},
               {"mod_revision", absl::StrCat(row.mod_revision)},
               {"version", absl::StrCat(row.version)}};
  if (!row.value.empty()) json["value"] = Encode(row.value);
  return json;
}

leaf::result<Json> Range(Table& table, const Json& request, bool stale)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(table.mutex) {
  BOOST_LEAF_AUTO(key, Decode(request, "key"));
  BOOST_LEAF_AUTO(range_end, Decode(request, "range_end"));
  const std::int64_t limit = NumberOf(request, "limit");
  const std::map<std::string, StoredRow>& rows = table.rows;
  auto it = rows.lower_bound(key);
  auto end = range_end.empty() ? rows.upper_bound(key) : rows.lower_bound(range_end);
  if (range_end == std::string(1, '\0')) end = rows.end();
  Json kvs = Json::array();
  std::int64_t count = 0;
  for (; it != end; ++it) {
    ++count;
    if (limit > 0 && count > limit) continue;
    const auto previous = table.previous_rows.find(it->first);
    if (stale && previous == table.previous_rows.end()) continue;
    kvs.push_back(RowJson(it->first, stale ? previous->second : it->second));
  }
  Json answer = {{"header", HeaderOf(table.revision)}};
  if (!kvs.empty()) answer["kvs"] = std::move(kvs);
  if (count > 0) answer["count"] = absl::StrCat(count);
  if (limit > 0 && count > limit) answer["more"] = true;
  return answer;
}

leaf::result<bool> CompareHolds(const Table& table, const Json& compare)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(table.mutex) {
  if (compare.value("target", "") != "MOD" || compare.value("result", "EQUAL") != "EQUAL") {
    return Fail(ErrorKind::kInvalidRequest, "compare: only target MOD with result EQUAL is implemented");
  }
  BOOST_LEAF_AUTO(key, Decode(compare, "key"));
  const auto it = table.rows.find(key);
  const std::int64_t revision = it == table.rows.end() ? 0 : it->second.mod_revision;
  return revision == NumberOf(compare, "mod_revision");
}

void CountWrite(Table& table, const std::string& key) ABSL_EXCLUSIVE_LOCKS_REQUIRED(table.mutex) {
  ++table.writes_by_prefix[key.substr(0, key.find('/'))];
}

leaf::result<Json> Put(Table& table, const Json& request, std::int64_t revision)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(table.mutex) {
  BOOST_LEAF_AUTO(key, Decode(request, "key"));
  BOOST_LEAF_AUTO(value, Decode(request, "value"));
  StoredRow& row = table.rows[key];
  if (row.version > 0) table.previous_rows[key] = row;
  if (row.version == 0) row.create_revision = revision;
  row.value = value;
  row.mod_revision = revision;
  ++row.version;
  CountWrite(table, key);
  return Json{{"response_put", {{"header", {{"revision", absl::StrCat(revision)}}}}}};
}

leaf::result<Json> Remove(Table& table, const Json& request, std::int64_t revision)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(table.mutex) {
  BOOST_LEAF_AUTO(key, Decode(request, "key"));
  BOOST_LEAF_AUTO(range_end, Decode(request, "range_end"));
  auto it = table.rows.lower_bound(key);
  const auto end = range_end.empty() ? table.rows.upper_bound(key) : table.rows.lower_bound(range_end);
  std::int64_t deleted = 0;
  while (it != end) {
    table.previous_rows.erase(it->first);
    CountWrite(table, it->first);
    it = table.rows.erase(it);
    ++deleted;
  }
  Json body = {{"header", {{"revision", absl::StrCat(revision)}}}};
  if (deleted > 0) body["deleted"] = absl::StrCat(deleted);
  return Json{{"response_delete_range", body}};
}

leaf::result<Json> RunOperation(Table& table, const Json& operation, std::int64_t revision)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(table.mutex) {
  if (operation.contains("request_put")) return Put(table, operation["request_put"], revision);
  if (operation.contains("request_delete_range")) {
    return Remove(table, operation["request_delete_range"], revision);
  }
  if (operation.contains("request_range")) {
    BOOST_LEAF_AUTO(answer, Range(table, operation["request_range"], false));
    return Json{{"response_range", answer}};
  }
  return Fail(ErrorKind::kInvalidRequest,
              "operation: expected request_put, request_delete_range or request_range");
}

bool HasWrites(const Json& operations) {
  for (const Json& it : operations) {
    if (it.contains("request_put") || it.contains("request_delete_range")) return true;
  }
  return false;
}

void AnswerOutcome(httplib::Response& res, const Outcome<Json>& outcome) {
  if (Ok(outcome)) {
    AnswerJson(res, 200, Value(outcome));
  } else {
    AnswerJson(res, 400, {{"error", ErrorOf(outcome).detail}, {"code", 3}});
  }
}

void AddRoutes(Table& table, httplib::Server& server) {
  server.Post("/v3/kv/range", [&table](const httplib::Request& req, httplib::Response& res) {
    const absl::Time now = absl::Now();
    const Json request = Json::parse(req.body, nullptr, false);
    const bool stale = ConsumeFault(table.port.faults, FaultKind::kStaleRead, now).has_value();
    AnswerOutcome(res, Capture<Json>([&] { return RangeTable(table, request, stale, now); }));
  });
  server.Post("/v3/kv/txn", [&table](const httplib::Request& req, httplib::Response& res) {
    const Json request = Json::parse(req.body, nullptr, false);
    AnswerOutcome(res, Capture<Json>([&] { return CommitTable(table, request, absl::Now()); }));
  });
}

Json AuditLogJson(Table& table) {
  absl::MutexLock lock(&table.mutex);
  return {{"role", "table"},
          {"revision", table.revision},
          {"rows", table.rows.size()},
          {"reads", ToJson(table.reads)},
          {"writes", ToJson(table.writes)},
          {"writes_by_prefix", table.writes_by_prefix}};
}

}  // namespace

leaf::result<Json> RangeTable(Table& table, const Json& request, bool stale, absl::Time now) {
  if (!request.is_object()) return Fail(ErrorKind::kInvalidRequest, "body: not a JSON object");
  absl::MutexLock lock(&table.mutex);
  CountEvent(table.reads, now);
  return Range(table, request, stale);
}

leaf::result<Json> CommitTable(Table& table, const Json& request, absl::Time now) {
  if (!request.is_object()) return Fail(ErrorKind::kInvalidRequest, "body: not a JSON object");
  absl::MutexLock lock(&table.mutex);
  bool succeeded = true;
  for (const Json& it : request.value("compare", Json::array())) {
    BOOST_LEAF_AUTO(holds, CompareHolds(table, it));
    succeeded = succeeded && holds;
  }
  const Json operations = request.value(succeeded ? "success" : "failure", Json::array());
  const bool writes = HasWrites(operations);
  CountEvent(writes ? table.writes : table.reads, now);
  const std::int64_t revision = writes ? table.revision + 1 : table.revision;
  Json responses = Json::array();
  for (const Json& it : operations) {
    BOOST_LEAF_AUTO(response, RunOperation(table, it, revision));
    responses.push_back(std::move(response));
  }
  table.revision = revision;
  Json answer = {{"header", HeaderOf(revision)}};
  if (succeeded) answer["succeeded"] = true;
  if (!responses.empty()) answer["responses"] = std::move(responses);
  return answer;
}

leaf::result<std::unique_ptr<Table>> StartTable(const Endpoint& endpoint) {
  auto table = std::make_unique<Table>();
  Table* self = table.get();
  table->port.endpoint = endpoint;
  table->port.role.name = "table";
  table->port.role.id = "table";
  table->port.role.routes = [self](httplib::Server& server) { AddRoutes(*self, server); };
  table->port.role.audit_log = [self] { return AuditLogJson(*self); };
  BOOST_LEAF_CHECK(OpenPort(table->port));
  return table;
}

}  // namespace oleander::standins
