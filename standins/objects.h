// Stand-in of the platform's object store with S3 path-style URLs: PUT (also with If-None-Match: *), GET,
// HEAD and DELETE /bucket/name, and GET /bucket?list-type=2&prefix=.
#ifndef OLEANDER_STANDINS_OBJECTS_H_
#define OLEANDER_STANDINS_OBJECTS_H_

#include <map>
#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "standins/http_port.h"
#include "standins/rates.h"

namespace oleander::standins {

struct Objects {
  HttpPort port;
  absl::Mutex mutex;
  std::map<std::string, std::string> objects ABSL_GUARDED_BY(mutex);  // "bucket/name" to bytes
  RateCounter reads ABSL_GUARDED_BY(mutex);
  RateCounter writes ABSL_GUARDED_BY(mutex);
  std::int64_t refused ABSL_GUARDED_BY(mutex) = 0;  // writes refused by If-None-Match
};

leaf::result<std::unique_ptr<Objects>> StartObjects(const Endpoint& endpoint);

}  // namespace oleander::standins

#endif  // OLEANDER_STANDINS_OBJECTS_H_
