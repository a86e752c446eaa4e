// Stand-in of the rate-limited weight store: PUT and GET /weights/{model}/{version}, 429 above the limit.
#ifndef OLEANDER_STANDINS_WEIGHT_STORE_H_
#define OLEANDER_STANDINS_WEIGHT_STORE_H_

#include <map>
#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "standins/http_port.h"
#include "standins/rates.h"

namespace oleander::standins {

// Token bucket that holds the tokens of one second, at least 1. A new bucket is full.
struct RateLimit {
  double per_second = 0;                          // 0: no limit
  double tokens = 0;                              // available requests
  absl::Time last_refill = absl::InfinitePast();  // InfinitePast: not used yet
};
// Takes one token; false if there is none.
bool TakeToken(RateLimit& limit, absl::Time now);

struct WeightStore {
  HttpPort port;
  absl::Mutex mutex;
  RateLimit limit ABSL_GUARDED_BY(mutex);                             // shared by reads and writes
  std::map<std::string, std::string> weights ABSL_GUARDED_BY(mutex);  // "model/version" to bytes
  RateCounter reads ABSL_GUARDED_BY(mutex);
  RateCounter writes ABSL_GUARDED_BY(mutex);
  std::int64_t refused ABSL_GUARDED_BY(mutex) = 0;  // answered 429
};

leaf::result<std::unique_ptr<WeightStore>> StartWeightStore(const Endpoint& endpoint, double per_second);

}  // namespace oleander::standins

#endif  // OLEANDER_STANDINS_WEIGHT_STORE_H_
