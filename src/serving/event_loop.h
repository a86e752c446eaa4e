// Implementation of Loop on Boost.Asio.
#ifndef OLEANDER_SRC_SERVING_EVENT_LOOP_H_
#define OLEANDER_SRC_SERVING_EVENT_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "oleander/serving.h"

namespace oleander::serving {

namespace asio = boost::asio;

class EventLoop : public Loop {
 public:
  absl::Time Now() const override;
  absl::Time WallNow() const override;
  TimerId After(absl::Duration delay, std::function<void()> fn) override;
  void Cancel(TimerId id) override;

  asio::io_context& Context() { return context_; }
  void Run() { context_.run(); }
  void Stop() { context_.stop(); }

 private:
  asio::io_context context_{1};  // one thread: handlers need no locks
  TimerId next_id_ = 1;
  absl::flat_hash_map<TimerId, asio::steady_timer> timers_;
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_EVENT_LOOP_H_
