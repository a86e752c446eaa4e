// Stand-in of a model engine: the HTTP interface of an EngineBatch and a thread that steps it.
#ifndef OLEANDER_STANDINS_ENGINE_H_
#define OLEANDER_STANDINS_ENGINE_H_

#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "standins/engine_batch.h"
#include "standins/http_port.h"

namespace oleander::standins {

// An order that the engine received, for the audit log.
struct OrderRecord {
  std::string order;
  Version version = 0;
  std::int64_t fence = 0;
  int status = 0;  // HTTP status of the answer
};

struct Engine {
  HttpPort port;
  absl::Mutex mutex;
  absl::CondVar changed;  // signalled after each batch step and on stop
  EngineBatch batch ABSL_GUARDED_BY(mutex);
  std::map<std::string, std::shared_ptr<RunningRequest>> streams ABSL_GUARDED_BY(mutex);  // by request id
  std::vector<OrderRecord> orders ABSL_GUARDED_BY(mutex);
  std::map<std::string, std::int64_t> requests_by_class ABSL_GUARDED_BY(mutex);
  absl::Time paused_until ABSL_GUARDED_BY(mutex) = absl::InfinitePast();  // set by an activate order
  std::int64_t weight_refusals ABSL_GUARDED_BY(mutex) = 0;                // 429 from the weight store
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  std::thread batch_thread;
  ~Engine();
};

leaf::result<std::unique_ptr<Engine>> StartEngine(const Endpoint& endpoint, const EngineOptions& options);

}  // namespace oleander::standins

#endif  // OLEANDER_STANDINS_ENGINE_H_
