// HTTP/1.1 calls over kept connections, on Boost.Beast. Knows nothing of what the messages mean.
#ifndef OLEANDER_SRC_SERVING_HTTP_CLIENT_H_
#define OLEANDER_SRC_SERVING_HTTP_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "oleander/serving.h"
#include "serving/event_loop.h"

namespace oleander::serving {

struct HttpClientLimits {
  absl::Duration connect_timeout = absl::Milliseconds(150);  // links take single milliseconds
  absl::Duration max_idle = absl::Seconds(30);  // kept connections without a call; upstreams state less
  int max_idle_per_address = 64;                // connections
  // Bytes of one answer that are not its body: interim answers, head, chunk heads and extensions, trailers.
  // They may not exceed this plus the bytes of the body.
  std::size_t max_framing_bytes = 64 << 10;
  // Body bytes of all answers in progress; above it the largest one is ended as kTooLarge.
  std::size_t max_bytes_in_progress = 64 << 20;
};

struct HttpCall {
  std::string address;                                        // "ip:port"
  HttpRequest request;                                        //
  absl::Duration timeout = absl::InfiniteDuration();          // for the whole call
  absl::Duration silence_timeout = absl::InfiniteDuration();  // without a byte received
  bool fresh_connection = false;                              // do not reuse a kept one
  std::size_t max_body_bytes = 32 << 20;                      // more ends the call as kTooLarge
};
struct HttpCallHandlers {
  std::function<void(const HttpResponse&)> on_head;  // status and headers; no body
  std::function<void(std::string_view)> on_body;     // decoded pieces
  std::function<void(CallEnd)> on_end;               // exactly once, unless cancelled
};

struct HttpClientCounts {
  std::int64_t calls = 0;        //
  std::int64_t connections = 0;  // opened
  std::int64_t too_large = 0;    // answers ended over a limit
};

class HttpClient {
 public:
  HttpClient(EventLoop& loop, HttpClientLimits limits);
  ~HttpClient();
  CallId Start(HttpCall call, HttpCallHandlers handlers);
  // As Start, for an answer that is wanted as a whole: `done` gets its end, its status (0: no head) and its
  // body.
  CallId StartWhole(HttpCall call, std::function<void(CallEnd, int, const std::string&)> done);
  void Cancel(CallId id);
  // Closes kept connections that have been idle for too long.
  void CloseIdle();
  const HttpClientCounts& Counts() const { return counts_; }

 private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  ConnectionPtr TakeIdle(const std::string& address);
  void Connect(const ConnectionPtr& connection);
  void Send(const ConnectionPtr& connection);
  void Receive(const ConnectionPtr& connection);
  static void ResetParser(Connection& connection);
  static bool Parse(Connection& connection, boost::system::error_code received);
  void OnReceived(const ConnectionPtr& connection, bool failed);
  bool CountReceived(const ConnectionPtr& connection, std::size_t body_bytes);
  void EndLargest();
  void Finish(const ConnectionPtr& connection, CallEnd end);
  void Keep(const ConnectionPtr& connection);
  void WatchTime(const ConnectionPtr& connection);
  void CheckTime(const ConnectionPtr& connection);

  EventLoop& loop_;
  HttpClientLimits limits_;
  HttpClientCounts counts_;
  std::size_t bytes_in_progress_ = 0;  // of bodies
  CallId next_ = 1;
  absl::flat_hash_map<CallId, ConnectionPtr> calls_;
  absl::flat_hash_map<std::string, std::deque<ConnectionPtr>> idle_;
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_HTTP_CLIENT_H_
