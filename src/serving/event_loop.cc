#include "serving/event_loop.h"

#include <time.h>

#include <chrono>
#include <utility>

namespace oleander::serving {

absl::Time EventLoop::Now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::TimeFromTimespec(now);
}

// Reads the system clock on each call: absl::Now extrapolates from the CPU's cycle counter, which does not
// follow a time of day that jumps.
absl::Time EventLoop::WallNow() const {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return absl::TimeFromTimespec(now);
}

TimerId EventLoop::After(absl::Duration delay, std::function<void()> fn) {
  const TimerId id = next_id_++;
  const auto it = timers_.try_emplace(id, context_).first;
  it->second.expires_after(absl::ToChronoNanoseconds(std::max(delay, absl::ZeroDuration())));
  it->second.async_wait([this, id, fn = std::move(fn)](boost::system::error_code ec) {
    if (ec || timers_.erase(id) == 0) return;
    fn();
  });
  return id;
}

void EventLoop::Cancel(TimerId id) { timers_.erase(id); }

}  // namespace oleander::serving
