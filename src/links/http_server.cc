#include "links/http_server.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "absl/time/clock.h"

namespace oleander {
namespace {

constexpr absl::Duration kIdleDeadline = absl::Seconds(5);    // between two requests of a connection
constexpr absl::Duration kWriteDeadline = absl::Seconds(10);  // for one write of an answer
constexpr absl::Duration kPollInterval =
    absl::Milliseconds(20);  // at which idle connections check `closing_`
// Before a connection is closed, its input is read and discarded up to these limits. Closing a socket with
// unread bytes resets the connection, and the caller could lose the answer.
constexpr absl::Duration kLingerDeadline = absl::Milliseconds(500);
constexpr std::size_t kMaxLingerBytes = 16 << 20;

thread_local bool close_after_answer = false;

bool WaitFor(int sock, short events, absl::Duration timeout) {
  pollfd entry{sock, events, 0};
  const int ms = static_cast<int>(absl::ToInt64Milliseconds(absl::Ceil(timeout, absl::Milliseconds(1))));
  const int n = poll(&entry, 1, std::max(ms, 0));
  return n > 0;
}

void AddressOf(const sockaddr_storage& from, std::string& ip, int& port) {
  char buf[INET6_ADDRSTRLEN] = {};
  if (from.ss_family == AF_INET) {
    const sockaddr_in* v4 = reinterpret_cast<const sockaddr_in*>(&from);
    inet_ntop(AF_INET, &v4->sin_addr, buf, sizeof(buf));
    port = ntohs(v4->sin_port);
  } else if (from.ss_family == AF_INET6) {
    const sockaddr_in6* v6 = reinterpret_cast<const sockaddr_in6*>(&from);
    inet_ntop(AF_INET6, &v6->sin6_addr, buf, sizeof(buf));
    port = ntohs(v6->sin6_port);
  }
  ip = buf;
}

// One accepted connection. Reads are buffered, because httplib reads header lines one byte at a time.
class Connection : public httplib::Stream {
 public:
  explicit Connection(int sock) : sock_(sock) {}

  void StartRequest(absl::Time deadline) { deadline_ = deadline; }
  bool HasBuffered() const { return begin_ < end_; }
  bool IsBroken() const { return broken_; }

  bool is_readable() const override { return HasBuffered() || WaitFor(sock_, POLLIN, absl::ZeroDuration()); }

  // Also returns false if the caller has closed the connection, so that httplib stops a streamed answer.
  bool is_writable() const override {
    if (broken_ || !WaitFor(sock_, POLLOUT, kWriteDeadline)) return false;
    char byte;
    const ssize_t n = recv(sock_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
  }

  ssize_t read(char* ptr, size_t size) override {
    if (!HasBuffered()) {
      if (broken_) return -1;
      const ssize_t n = Receive();
      if (n <= 0) {
        broken_ = true;
        return n;
      }
      begin_ = 0;
      end_ = static_cast<std::size_t>(n);
    }
    const std::size_t n = std::min(size, end_ - begin_);
    std::copy(buf_ + begin_, buf_ + begin_ + n, ptr);
    begin_ += n;
    return static_cast<ssize_t>(n);
  }

  ssize_t write(const char* ptr, size_t size) override {
    while (true) {
      const ssize_t n = send(sock_, ptr, size, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n >= 0) return n;
      const bool retry = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
      if (!retry || !WaitFor(sock_, POLLOUT, kWriteDeadline)) {
        broken_ = true;
        return -1;
      }
    }
  }

  // NOLINTBEGIN(readability-identifier-naming): names of httplib's interface.
  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    sockaddr_storage from{};
    socklen_t n = sizeof(from);
    if (getpeername(sock_, reinterpret_cast<sockaddr*>(&from), &n) == 0) AddressOf(from, ip, port);
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    sockaddr_storage from{};
    socklen_t n = sizeof(from);
    if (getsockname(sock_, reinterpret_cast<sockaddr*>(&from), &n) == 0) AddressOf(from, ip, port);
  }
  // NOLINTEND(readability-identifier-naming)
  socket_t socket() const override { return sock_; }

  void Close() {
    ::shutdown(sock_, SHUT_WR);
    const absl::Time until = absl::Now() + kLingerDeadline;
    std::size_t left = kMaxLingerBytes;
    while (left > 0 && absl::Now() < until && WaitFor(sock_, POLLIN, until - absl::Now())) {
      const ssize_t n = recv(sock_, buf_, sizeof(buf_), MSG_DONTWAIT);
      if (n <= 0) break;
      left -= std::min(left, static_cast<std::size_t>(n));
    }
    ::close(sock_);
  }

 private:
  ssize_t Receive() {
    while (true) {
      const absl::Duration left = deadline_ - absl::Now();
      if (left <= absl::ZeroDuration() || !WaitFor(sock_, POLLIN, left)) return -1;
      const ssize_t n = recv(sock_, buf_, sizeof(buf_), MSG_DONTWAIT);
      if (n >= 0) return n;
      if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) return -1;
    }
  }

  int sock_;
  absl::Time deadline_ = absl::InfiniteFuture();
  char buf_[4096];
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  bool broken_ = false;
};

}  // namespace

void HttpServer::CloseAfterAnswer() { close_after_answer = true; }

bool HttpServer::process_and_close_socket(socket_t sock) {
  const int on = 1;
  setsockopt(sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  Connection connection(sock);
  bool ok = true;
  while (ok) {
    const absl::Time idle_until = absl::Now() + kIdleDeadline;
    bool arrived = connection.HasBuffered();
    while (!arrived && absl::Now() < idle_until && !closing_.load(std::memory_order_acquire)) {
      arrived = WaitFor(sock, POLLIN, kPollInterval);
    }
    if (!arrived) break;
    active_.fetch_add(1, std::memory_order_acq_rel);
    close_after_answer = false;
    connection.StartRequest(absl::Now() + request_deadline_);
    bool closed = false;
    ok = process_request(connection, closing_.load(std::memory_order_acquire), closed,
                         [](httplib::Request& request) {
                           request.ranges.clear();
                           request.headers.erase("Accept-Encoding");
                         });
    active_.fetch_sub(1, std::memory_order_acq_rel);
    if (closed || close_after_answer || connection.IsBroken()) break;
  }
  connection.Close();
  return ok;
}

}  // namespace oleander
