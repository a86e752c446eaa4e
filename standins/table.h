// Stand-in of the platform's table: the etcd v3 JSON gateway, POST /v3/kv/range and /v3/kv/txn.
// Like the gateway, it writes 64-bit numbers as strings and omits members that are zero, false or empty.
#ifndef OLEANDER_STANDINS_TABLE_H_
#define OLEANDER_STANDINS_TABLE_H_

#include <map>
#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "standins/http_port.h"
#include "standins/rates.h"

namespace oleander::standins {

struct StoredRow {
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t version = 0;  // number of writes since the row was created
};

struct Table {
  HttpPort port;
  absl::Mutex mutex;
  std::int64_t revision ABSL_GUARDED_BY(mutex) = 1;
  std::map<std::string, StoredRow> rows ABSL_GUARDED_BY(mutex);
  std::map<std::string, StoredRow> previous_rows ABSL_GUARDED_BY(mutex);  // rows before their last write
  RateCounter reads ABSL_GUARDED_BY(mutex);
  RateCounter writes ABSL_GUARDED_BY(mutex);
  std::map<std::string, std::int64_t> writes_by_prefix ABSL_GUARDED_BY(mutex);  // by key up to first slash
};

// Handlers of /v3/kv/range and /v3/kv/txn. `stale` reads rows as they were before their last write. Errors:
// kInvalidRequest.
leaf::result<Json> RangeTable(Table& table, const Json& request, bool stale, absl::Time now);
leaf::result<Json> CommitTable(Table& table, const Json& request, absl::Time now);

leaf::result<std::unique_ptr<Table>> StartTable(const Endpoint& endpoint);

}  // namespace oleander::standins

#endif  // OLEANDER_STANDINS_TABLE_H_
