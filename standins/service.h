// Stand-ins of services.
//   lookup   {"word"} -> {"word","meaning"}
//   receipt  {"receipt", ...} -> {"receipt","number","filing"}; "filing" is how often the receipt was filed.
//            A receipt is identified by "receipt", or by Idempotency-Key if that is absent.
//   scoring  any body -> {"score"}, a function of the body
// All roles repeat Oleander-Request-Id in the answer and count requests by the body's "load_id".
#ifndef OLEANDER_STANDINS_SERVICE_H_
#define OLEANDER_STANDINS_SERVICE_H_

#include <map>
#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "standins/http_port.h"

namespace oleander::standins {

enum class ServiceRole { kLookup, kReceipt, kScoring };
std::string_view NameOf(ServiceRole role);
leaf::result<ServiceRole> ServiceRoleFromName(std::string_view name);

struct ServiceOptions {
  std::string id;                           // upstream id
  ServiceRole role = ServiceRole::kLookup;  //
  std::uint64_t seed = 1;                   //
  double median_ms = 1.5;                   // median service time; lognormal with sigma 0.4
};

struct Service {
  HttpPort port;
  ServiceOptions options;
  absl::Mutex mutex;
  std::int64_t requests ABSL_GUARDED_BY(mutex) = 0;
  std::map<std::string, std::int64_t> by_path ABSL_GUARDED_BY(mutex);
  std::map<std::string, std::int64_t> by_load_id ABSL_GUARDED_BY(mutex);
  std::map<std::string, std::int64_t> filings ABSL_GUARDED_BY(mutex);  // by receipt; role receipt only
};

leaf::result<std::unique_ptr<Service>> StartService(const Endpoint& endpoint, const ServiceOptions& options);

}  // namespace oleander::standins

#endif  // OLEANDER_STANDINS_SERVICE_H_
