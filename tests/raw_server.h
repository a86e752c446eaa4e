// A server of scripted bytes on a loopback port, for answers that no HTTP library would send.
#ifndef OLEANDER_TESTS_RAW_SERVER_H_
#define OLEANDER_TESTS_RAW_SERVER_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "serving/event_loop.h"

namespace oleander::serving {

using tcp = asio::ip::tcp;

// Serves raw bytes: calls `script` for each accepted connection, one after the other on its own thread.
struct RawServer {
  explicit RawServer(std::function<void(tcp::socket&)> script)
      : acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}), thread([this, script] {
          while (true) {
            tcp::socket socket(context);
            boost::system::error_code ec;
            acceptor.accept(socket, ec);
            if (ec || stopped) return;
            ++accepted;
            script(socket);
          }
        }) {}
  ~RawServer() {
    stopped = true;
    boost::system::error_code ignored;
    tcp::socket wake(context);
    wake.connect(acceptor.local_endpoint(), ignored);
    thread.join();
  }
  std::string Address() const { return absl::StrCat("127.0.0.1:", acceptor.local_endpoint().port()); }

  asio::io_context context;
  std::vector<tcp::socket> kept;  // by the script, open until the thread has ended
  std::atomic<bool> stopped{false};
  std::atomic<int> accepted{0};
  tcp::acceptor acceptor;
  std::thread thread;
};

inline std::string ReadHead(tcp::socket& socket) {
  std::string text;
  boost::system::error_code ignored;
  asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", ignored);
  return text;
}
inline void WriteText(tcp::socket& socket, const std::string& text) {
  boost::system::error_code ignored;
  asio::write(socket, asio::buffer(text), ignored);
}

}  // namespace oleander::serving

#endif  // OLEANDER_TESTS_RAW_SERVER_H_
