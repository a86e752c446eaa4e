// HTTP server of an entry host: cpp-httplib with its own handling of connections.
//
// Differences from httplib::Server:
// - One deadline applies to the whole request instead of one to each read.
// - A connection whose request body was not read completely is closed, so that the rest of the body is never
//   parsed as the next request.
// - Idle connections are closed at once when the server stops.
// - Ranges and compression are not applied to answers, which are passed through byte for byte.
#ifndef OLEANDER_LINKS_HTTP_SERVER_H_
#define OLEANDER_LINKS_HTTP_SERVER_H_

#include <httplib.h>

#include <atomic>

#include "absl/time/time.h"

namespace oleander {

class HttpServer : public httplib::Server {
 public:
  explicit HttpServer(absl::Duration request_deadline) : request_deadline_(request_deadline) {
    // Replaces the default of httplib, which sets SO_REUSEPORT: a second host on the same port would start
    // without an error and receive half of the connections.
    set_socket_options([](socket_t sock) {
      const int on = 1;
      setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
  }

  // Closes the connection of the request that the calling thread handles, once its answer is sent.
  static void CloseAfterAnswer();
  // Closes idle connections; requests that have started are still finished.
  void CloseIdleConnections() { closing_.store(true, std::memory_order_release); }
  // Number of requests from their first byte to the last byte of their answer.
  int Active() const { return active_.load(std::memory_order_acquire); }

 private:
  bool process_and_close_socket(socket_t sock) override;  // NOLINT(readability-identifier-naming)

  absl::Duration request_deadline_;
  std::atomic<bool> closing_{false};
  std::atomic<int> active_{0};
};

}  // namespace oleander

#endif  // OLEANDER_LINKS_HTTP_SERVER_H_
