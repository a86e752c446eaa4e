// Interfaces to the platform's services: table, object store, list of hosts and upstreams.
//
// A port is a struct of functions: HTTP clients in the daemon, fakes in the fault matrix. Every function
// blocks for at most the deadline that the port was created with and is thread-safe.
#ifndef OLEANDER_PLATFORM_H_
#define OLEANDER_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "oleander/errors.h"
#include "oleander/types.h"

namespace oleander {

// ---- Table

struct TableRow {
  std::string key;            //
  std::string value;          // JSON object; has the member "write_id"
  std::int64_t revision = 0;  // revision of the last write to this row; 0: the row does not exist
};

// True if the row's current revision equals `revision`; 0 requires that the row does not exist.
struct TableCompare {
  std::string key;
  std::int64_t revision = 0;
};

struct TableWrite {
  std::string key;
  std::optional<std::string> value;  // nullopt deletes the row
};

// Atomic: all writes are applied if all compares are true, otherwise none.
struct TableTxn {
  std::vector<TableCompare> compares;
  std::vector<TableWrite> writes;
};

struct TxnOutcome {
  bool committed = false;         //
  std::int64_t revision = 0;      // of the written rows, if committed
  std::vector<TableRow> current;  // rows of the compares, in the same order, if not committed
};

// All functions fail with kStoreUnavailable. A commit that failed may still have been applied.
struct TablePort {
  std::function<leaf::result<TableRow>(const std::string& key)>
      read;  // linearizable; a missing row has revision 0
  std::function<leaf::result<std::vector<TableRow>>(const std::string& prefix, int limit)> list;  // by key
  std::function<leaf::result<TxnOutcome>(const TableTxn& txn)> commit;
};

// Commits `txn`. If the response is lost, reads the first written row back and compares its "write_id" with
// that of the intended value. The first write must not be a deletion. Errors: kStoreUnavailable if the
// outcome is still unknown.
leaf::result<TxnOutcome> CommitWithReadBack(const TablePort& table, const TableTxn& txn);

// Serializes a row value with its "write_id" member set to `write_id`.
std::string RowValue(Json value, const std::string& write_id);

// ---- Objects

// Objects are immutable. Errors: kStoreUnavailable, kNotFound (get).
struct ObjectPort {
  std::function<leaf::result<void>(const std::string& name, const std::string& bytes)>
      put;  // idempotent: repeating it has no effect
  std::function<leaf::result<std::string>(const std::string& name)> get;
  std::function<leaf::result<std::vector<std::string>>(const std::string& prefix)> list;  // names, sorted
  std::function<leaf::result<void>(const std::string& name)> remove;
};

// ---- List of hosts and upstreams

struct ListedHost {
  HostId id;             //
  ZoneId zone;           //
  Endpoint peer;         // nghttp2
  bool leaving = false;  //
};

struct PlatformList {
  std::vector<ListedHost> hosts;
  std::vector<Upstream> upstreams;
};

// The list can be several seconds old. Errors: kStoreUnavailable.
struct ListPort {
  std::function<leaf::result<PlatformList>()> fetch;
};

// ---- HTTP clients

// Table: etcd v3 JSON gateway (/v3/kv/range, /v3/kv/txn). Objects: S3 path style. List: GET {url}.
TablePort MakeTableClient(const std::string& url, absl::Duration deadline);
ObjectPort MakeObjectClient(const std::string& url, const std::string& bucket, absl::Duration deadline);
ListPort MakeListClient(const std::string& url, absl::Duration deadline);

}  // namespace oleander

#endif  // OLEANDER_PLATFORM_H_
