// Callers of a load run: lookups, receipts and interactive completions with open-loop arrivals.
#ifndef OLEANDER_SRC_LOAD_CALLERS_H_
#define OLEANDER_SRC_LOAD_CALLERS_H_

#include <atomic>
#include <functional>
#include <random>
#include <thread>
#include <vector>

#include "load/load_plan.h"
#include "load/load_record.h"
#include "oleander/client.h"

namespace oleander::load {

// Poisson arrivals. A worker takes the next arrival and sleeps until it is due. Latency is measured from the
// due time, so that it includes the wait for a free worker while the system is slow (avoids coordinated
// omission).
struct Arrivals {
  absl::Mutex mutex;
  std::mt19937_64 random ABSL_GUARDED_BY(mutex);
  double per_second = 1;  // mean rate
  absl::Time next_due ABSL_GUARDED_BY(mutex);
  std::int64_t next_number ABSL_GUARDED_BY(mutex) = 0;
};

// Makes call `number`, which was due at `due`, and records the outcome.
using CallFunction = std::function<void(std::int64_t number, absl::Time due)>;

// Arrivals and worker threads of one kind of call.
struct CallerGroup {
  Arrivals arrivals;
  CallFunction call;
  std::vector<std::thread> workers;
};

struct Callers {
  std::atomic<bool> stopping{false};
  std::vector<std::unique_ptr<CallerGroup>> groups;
};

std::unique_ptr<Callers> StartCallers(const LoadPlan& plan, const ClientOptions& client, LoadRecord& record);
// Starts no further calls; returns once the calls in flight have ended.
void StopCallers(Callers& callers);

}  // namespace oleander::load

#endif  // OLEANDER_SRC_LOAD_CALLERS_H_
