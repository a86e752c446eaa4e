// One TCP socket with an nghttp2 session, shared by the peer server and the peer client.
#ifndef OLEANDER_LINKS_HTTP2_CONNECTION_H_
#define OLEANDER_LINKS_HTTP2_CONNECTION_H_

#include <nghttp2/nghttp2.h>
#include <sys/socket.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include "oleander/peer_link.h"

namespace oleander {

// Flow-control windows of a stream and of a connection. The stream window is large enough that the round trip
// time within a region does not limit throughput; the connection window allows several streams at that rate.
inline constexpr std::int32_t kStreamWindowBytes = 1 << 20;
inline constexpr std::int32_t kConnectionWindowBytes = 16 << 20;

struct TrafficCounters {
  std::atomic<std::int64_t> bytes_sent{0};
  std::atomic<std::int64_t> bytes_received{0};
  std::atomic<std::int64_t> requests{0};
  std::atomic<std::int64_t> connections{0};
  std::atomic<std::int64_t> protocol_errors{0};
};
PeerTraffic SnapshotTraffic(const TrafficCounters& counters);

struct Http2Connection {
  std::uint64_t id = 0;                //
  int fd = -1;                         //
  nghttp2_session* session = nullptr;  //
  std::string out;                     // serialized frames
  std::size_t out_sent = 0;            // bytes of `out` already written to the socket
  std::uint32_t interest = 0;          // registered epoll events
  bool write_failed = false;           // input is still read, because it may contain a GOAWAY
  TrafficCounters* counters = nullptr;
};

enum class LinkState { kOpen, kClosed };

// Reads the available input and passes it to the session. kClosed: end of stream, socket error or invalid
// input.
LinkState ReadLink(Http2Connection& link);
// Serializes and writes as much as the socket accepts. The next ReadLink reports a failed write.
void WriteLink(Http2Connection& link);
bool HasOutput(const Http2Connection& link);
// Registers for input events, and for output events while output is pending.
void WatchLink(int epoll, Http2Connection& link);
void CloseLink(int epoll, Http2Connection& link);
// Sets keepalive and TCP_USER_TIMEOUT, because a network partition sends no reset: without them a dead
// connection would stay open. Also sets TCP_NODELAY.
void SetSocketOptions(int fd);
// Submits SETTINGS and enlarges the connection window.
void SubmitSettings(nghttp2_session* session, int max_streams);

// Fills `address` and returns its length, or 0 if `endpoint` is not an IPv4 or IPv6 address.
socklen_t FillAddress(const Endpoint& endpoint, sockaddr_storage& address);

nghttp2_nv MakeHeader(std::string_view name, std::string_view value);

// ---- Frames of an answer ----

inline constexpr char kPartFrame = 'P';
inline constexpr char kLastFrame = 'L';
inline constexpr char kErrorFrame = 'E';
inline constexpr std::size_t kFrameHeaderBytes = 5;
std::string MakeFrame(char type, std::string_view bytes);
std::string MakeErrorFrame(const Error& error);
Error ParseError(std::string_view bytes);

}  // namespace oleander

#endif  // OLEANDER_LINKS_HTTP2_CONNECTION_H_
