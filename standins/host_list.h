// Stand-in of the platform's list of hosts and upstreams. GET returns the list as it was `lag_ms` ago, POST
// replaces the current list, POST /lag {"lag_ms"} sets the lag.
#ifndef OLEANDER_STANDINS_HOST_LIST_H_
#define OLEANDER_STANDINS_HOST_LIST_H_

#include <deque>
#include <memory>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "standins/http_port.h"

namespace oleander::standins {

struct HostList {
  HttpPort port;
  absl::Mutex mutex;
  absl::Duration lag ABSL_GUARDED_BY(mutex);
  std::deque<std::pair<absl::Time, Json>> history ABSL_GUARDED_BY(mutex);  // oldest first
  std::int64_t reads ABSL_GUARDED_BY(mutex) = 0;
};

// Replaces the list; reads see it once `lag` has passed.
void SetCurrentList(HostList& list, Json value, absl::Time now);
// The list as it was `lag` before `now`.
Json DelayedList(HostList& list, absl::Time now);

leaf::result<std::unique_ptr<HostList>> StartHostList(const Endpoint& endpoint, Json initial,
                                                      absl::Duration lag);

}  // namespace oleander::standins

#endif  // OLEANDER_STANDINS_HOST_LIST_H_
