// HTTP/2 streams between hosts (nghttp2 over TCP). One connection per pair of hosts and direction.
//
// A request was certainly not processed if the peer answered REFUSED_STREAM, if its stream number is above
// the last stream number of a GOAWAY, or if no connection was established; the error is then kPeerUnreachable
// (not run). Any other failure after the request was written is kPeerProtocol or kOutcomeUnknown. A client
// sends no request before it has received the server's SETTINGS, so a request is also certainly not processed
// if its connection is closed while still in the backlog of the listening socket.
//
// The body of an answer is a sequence of frames: type ("P" part, "L" last part, "E" error), length (4 bytes,
// big endian), payload. The payload of an error is the name of its kind, a line feed and the detail.
#ifndef OLEANDER_PEER_LINK_H_
#define OLEANDER_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "oleander/errors.h"
#include "oleander/types.h"

namespace oleander {

struct PeerLimits {
  int max_message_bytes = 8 << 20;   // a larger message resets its stream
  int max_streams = 1024;            // concurrent streams of one connection
  int handler_threads = 32;          // maximum; started on demand
  int protocol_errors_to_close = 3;  // errors within 10 s that close a connection
  absl::Duration connect_deadline = absl::Milliseconds(500);
  // Request kinds whose handlers are short. Two threads are reserved for them, so that a ping is answered
  // while long streams occupy all other handler threads; otherwise the failure detector would suspect a busy
  // host.
  std::vector<std::string> short_kinds = {"ping", "ping-req", "push", "config", "weights"};
  absl::Duration stall_deadline = absl::Seconds(30);  // an answer that is not read this long is reset
  // A client closes connections that were unused for this long. Each gossip round contacts every host once,
  // and with 370 hosts the open sessions would use too much memory on both sides.
  absl::Duration idle_deadline = absl::Seconds(30);
  absl::Duration notify_deadline = absl::Seconds(2);  // of one NotifyPeer
};

// Totals since the start. Bytes exclude TCP and IP headers.
struct PeerTraffic {
  std::int64_t bytes_sent = 0;
  std::int64_t bytes_received = 0;
  std::int64_t requests = 0;
  std::int64_t connections = 0;      // opened (client) or accepted (server)
  std::int64_t protocol_errors = 0;  // server: invalid frames, requests and messages
};

// Writes one part of a streamed answer. Returns false if the answer was cancelled, the requester disconnected
// or stopped reading, or the part is too large; the handler must then stop.
using PeerSink = std::function<bool(const std::string& part)>;

// Handles one request. Parts written through `sink` arrive in order; the returned string is the last part. An
// error is sent to the requester with its kind.
using PeerHandler = std::function<leaf::result<std::string>(const std::string& kind, const std::string& body,
                                                            const PeerSink& sink)>;

struct PeerServer;  // listening socket, I/O thread, handler threads
struct PeerServerDeleter {
  void operator()(PeerServer* server) const;
};
using PeerServerPtr = std::unique_ptr<PeerServer, PeerServerDeleter>;

// Errors: kInternal (address in use).
leaf::result<PeerServerPtr> StartPeerServer(const Endpoint& listen, const std::string& secret,
                                            const PeerLimits& limits, PeerHandler handler);
int PeerServerPort(const PeerServer& server);
PeerTraffic PeerServerTraffic(const PeerServer& server);
// Closes the listening socket, sends GOAWAY on all connections and lets the streams in flight finish. Returns
// when all connections are closed, or at the deadline.
void DrainPeerServer(PeerServer& server, absl::Duration deadline);

struct PeerClient;  // one connection per endpoint, one I/O thread
struct PeerClientDeleter {
  void operator()(PeerClient* client) const;
};
using PeerClientPtr = std::unique_ptr<PeerClient, PeerClientDeleter>;
PeerClientPtr MakePeerClient(const std::string& secret, const PeerLimits& limits);
PeerTraffic PeerClientTraffic(const PeerClient& client);

// Calls a peer and blocks until the answer is complete or `deadline` has passed. `on_part` receives the
// streamed parts and may return false to cancel the call. Returns the last part. Errors: those of the
// handler, kPeerUnreachable (not processed), kOutcomeUnknown, kPeerProtocol, kBodyTooLarge.
leaf::result<std::string> CallPeer(PeerClient& client, const Endpoint& peer, const std::string& kind,
                                   const std::string& body, absl::Duration deadline,
                                   const std::function<bool(const std::string& part)>& on_part = nullptr);

// Sends a message without waiting for its answer. Never blocks. The message is dropped if the peer cannot be
// reached. `on_answer` may be null; it is called on the client's I/O thread and must not call CallPeer.
void NotifyPeer(PeerClient& client, const Endpoint& peer, const std::string& kind, const std::string& body,
                std::function<void(const std::string& answer)> on_answer = nullptr);

}  // namespace oleander

#endif  // OLEANDER_PEER_LINK_H_
