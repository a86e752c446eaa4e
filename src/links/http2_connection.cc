#include "links/http2_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace oleander {
namespace {

constexpr std::size_t kReadBytes = 64 << 10;
// Reads from one connection before the others are served.
constexpr int kReadsPerTurn = 8;
// Frames are serialized only while less than this is pending for the socket, so that the answer to a slow
// requester stays in the bounded buffer of its handler.
constexpr std::size_t kMaxOutputBytes = 256 << 10;
constexpr int kUserTimeoutMs = 10000;
constexpr int kKeepaliveIdleS = 10;
constexpr int kKeepaliveIntervalS = 5;
constexpr int kKeepaliveProbes = 3;

void SetOption(int fd, int level, int name, int value) { setsockopt(fd, level, name, &value, sizeof(value)); }

void Serialize(Http2Connection& link) {
  while (link.out.size() - link.out_sent < kMaxOutputBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t n = nghttp2_session_mem_send(link.session, &data);
    if (n <= 0) return;
    link.out.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(n));
  }
}

}  // namespace

PeerTraffic SnapshotTraffic(const TrafficCounters& counters) {
  PeerTraffic traffic;
  traffic.bytes_sent = counters.bytes_sent.load(std::memory_order_relaxed);
  traffic.bytes_received = counters.bytes_received.load(std::memory_order_relaxed);
  traffic.requests = counters.requests.load(std::memory_order_relaxed);
  traffic.connections = counters.connections.load(std::memory_order_relaxed);
  traffic.protocol_errors = counters.protocol_errors.load(std::memory_order_relaxed);
  return traffic;
}

LinkState ReadLink(Http2Connection& link) {
  thread_local std::array<std::uint8_t, kReadBytes> buf;
  for (int it = 0; it < kReadsPerTurn; ++it) {
    const ssize_t n = recv(link.fd, buf.data(), buf.size(), 0);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return link.write_failed ? LinkState::kClosed : LinkState::kOpen;
    }
    if (n <= 0) return LinkState::kClosed;
    link.counters->bytes_received.fetch_add(n, std::memory_order_relaxed);
    if (nghttp2_session_mem_recv(link.session, buf.data(), static_cast<std::size_t>(n)) < 0)
      return LinkState::kClosed;
  }
  return LinkState::kOpen;
}

void WriteLink(Http2Connection& link) {
  while (!link.write_failed) {
    Serialize(link);
    if (link.out_sent == link.out.size()) {
      link.out.clear();
      link.out_sent = 0;
      return;
    }
    const ssize_t n =
        send(link.fd, link.out.data() + link.out_sent, link.out.size() - link.out_sent, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (n < 0) {
      link.write_failed = true;
      return;
    }
    link.counters->bytes_sent.fetch_add(n, std::memory_order_relaxed);
    link.out_sent += static_cast<std::size_t>(n);
  }
}

bool HasOutput(const Http2Connection& link) {
  return link.out_sent < link.out.size() || nghttp2_session_want_write(link.session) != 0;
}

void WatchLink(int epoll, Http2Connection& link) {
  const bool blocked = !link.write_failed && link.out_sent < link.out.size();
  const std::uint32_t wanted = EPOLLIN | (blocked ? std::uint32_t{EPOLLOUT} : 0);
  if (wanted == link.interest) return;
  epoll_event event = {};
  event.events = wanted;
  event.data.u64 = link.id;
  epoll_ctl(epoll, link.interest == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, link.fd, &event);
  link.interest = wanted;
}

void CloseLink(int epoll, Http2Connection& link) {
  if (link.session != nullptr) nghttp2_session_del(link.session);
  link.session = nullptr;
  if (link.fd < 0) return;
  if (link.interest != 0) epoll_ctl(epoll, EPOLL_CTL_DEL, link.fd, nullptr);
  close(link.fd);
  link.fd = -1;
}

void SetSocketOptions(int fd) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepaliveIdleS);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepaliveIntervalS);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepaliveProbes);
}

void SubmitSettings(nghttp2_session* session, int max_streams) {
  const std::array<nghttp2_settings_entry, 2> settings = {
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, static_cast<std::uint32_t>(max_streams)},
       {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes}}};
  nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
}

socklen_t FillAddress(const Endpoint& endpoint, sockaddr_storage& address) {
  std::memset(&address, 0, sizeof(address));
  sockaddr_in* v4 = reinterpret_cast<sockaddr_in*>(&address);
  if (inet_pton(AF_INET, endpoint.address.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
    return sizeof(sockaddr_in);
  }
  sockaddr_in6* v6 = reinterpret_cast<sockaddr_in6*>(&address);
  if (inet_pton(AF_INET6, endpoint.address.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(static_cast<std::uint16_t>(endpoint.port));
    return sizeof(sockaddr_in6);
  }
  return 0;
}

nghttp2_nv MakeHeader(std::string_view name, std::string_view value) {
  nghttp2_nv header;
  // nghttp2 copies name and value and does not modify them, so the const_cast is safe.
  header.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
  header.namelen = name.size();
  header.value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
  header.valuelen = value.size();
  header.flags = NGHTTP2_NV_FLAG_NONE;
  return header;
}

std::string MakeFrame(char type, std::string_view bytes) {
  const std::uint32_t n = static_cast<std::uint32_t>(bytes.size());
  std::string frame;
  frame.reserve(kFrameHeaderBytes + bytes.size());
  frame.push_back(type);
  for (const int shift : {24, 16, 8, 0}) frame.push_back(static_cast<char>((n >> shift) & 0xff));
  frame.append(bytes);
  return frame;
}

std::string MakeErrorFrame(const Error& error) {
  return MakeFrame(kErrorFrame, std::string(DescribeError(error.kind).name) + "\n" + error.detail);
}

Error ParseError(std::string_view bytes) {
  const std::size_t line = bytes.find('\n');
  const std::optional<ErrorKind> kind = FindErrorKind(bytes.substr(0, line));
  if (!kind.has_value() || line == std::string_view::npos)
    return {ErrorKind::kPeerProtocol,
            "the peer sent an error frame with an unknown kind or without a line feed"};
  return {*kind, std::string(bytes.substr(line + 1))};
}

}  // namespace oleander
