// Table client over the etcd v3 JSON gateway. Keys and values are base64, 64-bit integers are strings.
#include <cassert>
#include <memory>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "links/http_client.h"
#include "oleander/platform.h"

namespace oleander {
namespace {

struct TableClient {
  HttpPool pool;
  Endpoint endpoint;
  std::string path;
  absl::Duration deadline;
};

std::int64_t IntegerFrom(const Json& json) {
  if (json.is_number_integer()) return json.get<std::int64_t>();
  std::int64_t n = 0;
  if (!json.is_string() || !absl::SimpleAtoi(json.get_ref<const std::string&>(), &n)) {
    throw Json::type_error::create(302, "expected an integer", &json);
  }
  return n;
}

std::string DecodeBase64(const Json& json) {
  std::string out;
  if (!absl::Base64Unescape(json.get_ref<const std::string&>(), &out)) {
    throw Json::type_error::create(302, "expected base64", &json);
  }
  return out;
}

TableRow RowFrom(const Json& kv) {
  TableRow row;
  row.key = DecodeBase64(kv.at("key"));
  row.value = kv.contains("value") ? DecodeBase64(kv.at("value")) : "";
  row.revision = IntegerFrom(kv.at("mod_revision"));
  return row;
}

std::vector<TableRow> RowsFrom(const Json& range) {
  std::vector<TableRow> rows;
  if (!range.contains("kvs")) return rows;
  for (const Json& it : range.at("kvs")) rows.push_back(RowFrom(it));
  return rows;
}

// Returns the first key after all keys that start with `prefix`, as the exclusive end of a range.
std::string EndOfPrefix(std::string prefix) {
  while (!prefix.empty()) {
    const unsigned char last = static_cast<unsigned char>(prefix.back());
    prefix.pop_back();
    if (last != 0xff) {
      prefix.push_back(static_cast<char>(last + 1));
      return prefix;
    }
  }
  return std::string(1, '\0');
}

// Posts one JSON document. Every failure is kStoreUnavailable: it is unknown whether the request was
// executed.
leaf::result<Json> PostJson(TableClient& client, const std::string& path, const Json& body) {
  HttpCall call;
  call.method = "POST";
  call.path = client.path + path;
  call.body = body.dump();
  call.deadline = client.deadline;
  const Outcome<HttpAnswer> answer =
      Capture<HttpAnswer>([&] { return SendHttp(client.pool, client.endpoint, call); });
  if (!Ok(answer)) return Fail(ErrorKind::kStoreUnavailable, "table: " + ErrorOf(answer).detail);
  if (Value(answer).status != 200) {
    return Fail(ErrorKind::kStoreUnavailable, absl::StrCat("table: HTTP status ", Value(answer).status));
  }
  Json json = Json::parse(Value(answer).body, nullptr, false);
  if (!json.is_object()) return Fail(ErrorKind::kStoreUnavailable, "table: answer is not a JSON object");
  return json;
}

leaf::result<std::vector<TableRow>> ReadRange(TableClient& client, const Json& request) {
  BOOST_LEAF_AUTO(json, PostJson(client, "/v3/kv/range", request));
  try {
    return RowsFrom(json);
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kStoreUnavailable, absl::StrCat("table: ", ex.what()));
  }
}

Json EncodeTxn(const TableTxn& txn) {
  Json compares = Json::array();
  Json reads = Json::array();
  for (const TableCompare& it : txn.compares) {
    const std::string key = absl::Base64Escape(it.key);
    compares.push_back(
        {{"target", "MOD"}, {"result", "EQUAL"}, {"key", key}, {"mod_revision", absl::StrCat(it.revision)}});
    reads.push_back({{"request_range", {{"key", key}}}});
  }
  Json writes = Json::array();
  for (const TableWrite& it : txn.writes) {
    const std::string key = absl::Base64Escape(it.key);
    if (it.value.has_value()) {
      writes.push_back({{"request_put", {{"key", key}, {"value", absl::Base64Escape(*it.value)}}}});
    } else {
      writes.push_back({{"request_delete_range", {{"key", key}}}});
    }
  }
  return {{"compare", std::move(compares)}, {"success", std::move(writes)}, {"failure", std::move(reads)}};
}

TxnOutcome DecodeTxn(const TableTxn& txn, const Json& json) {
  TxnOutcome outcome;
  outcome.revision = IntegerFrom(json.at("header").at("revision"));
  outcome.committed = json.value("succeeded", false);
  if (outcome.committed) return outcome;
  const Json& responses = json.at("responses");
  for (std::size_t it = 0; it < txn.compares.size(); ++it) {
    std::vector<TableRow> rows = RowsFrom(responses.at(it).at("response_range"));
    TableRow row = rows.empty() ? TableRow{txn.compares[it].key, "", 0} : std::move(rows.front());
    outcome.current.push_back(std::move(row));
  }
  return outcome;
}

leaf::result<TxnOutcome> Commit(TableClient& client, const TableTxn& txn) {
  BOOST_LEAF_AUTO(json, PostJson(client, "/v3/kv/txn", EncodeTxn(txn)));
  try {
    return DecodeTxn(txn, json);
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kStoreUnavailable, absl::StrCat("table: ", ex.what()));
  }
}

}  // namespace

TablePort MakeTableClient(const std::string& url, absl::Duration deadline) {
  const Outcome<std::pair<Endpoint, std::string>> parsed =
      Capture<std::pair<Endpoint, std::string>>([&] { return ParseUrl(url); });
  assert(Ok(parsed));
  const std::shared_ptr<TableClient> client = std::make_shared<TableClient>();
  client->endpoint = Value(parsed).first;
  client->path = Value(parsed).second;
  client->deadline = deadline;
  TablePort port;
  port.read = [client](const std::string& key) -> leaf::result<TableRow> {
    BOOST_LEAF_AUTO(rows, ReadRange(*client, {{"key", absl::Base64Escape(key)}}));
    if (rows.empty()) return TableRow{key, "", 0};
    return std::move(rows.front());
  };
  port.list = [client](const std::string& prefix, int limit) {
    return ReadRange(*client, {{"key", absl::Base64Escape(prefix)},
                               {"range_end", absl::Base64Escape(EndOfPrefix(prefix))},
                               {"limit", limit}});
  };
  port.commit = [client](const TableTxn& txn) { return Commit(*client, txn); };
  return port;
}

}  // namespace oleander
