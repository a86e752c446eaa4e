// Client side of peer_link.h: one I/O thread, one connection per peer, concurrent streams on each connection.
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "links/http2_connection.h"
#include "oleander/peer_link.h"

namespace oleander {
namespace {

constexpr std::uint64_t kWakeId = 0;
// Limit on the streamed parts of one call that the caller has not read yet. Above it the stream's
// flow-control window is not extended, so that the peer stops sending.
constexpr std::size_t kMaxUnreadPartBytes = 1 << 20;
constexpr absl::Duration kSweepPeriod = absl::Seconds(1);

using Result = Outcome<std::string>;
Result MakeError(ErrorKind kind, std::string detail) {
  return Result(std::in_place_index<1>, Error{kind, std::move(detail)});
}

struct Call {
  // Set before the call is posted.
  Endpoint peer;
  std::string kind;
  std::string body;
  absl::Time deadline = absl::InfiniteFuture();
  bool wants_parts = false;
  std::function<void(const std::string&)> on_answer;  // notifications only; may be null
  bool is_notification = false;

  // I/O thread only.
  std::uint64_t connection = 0;      // 0: none
  std::int32_t stream = -1;          //
  std::size_t body_sent = 0;         //
  bool sent = false;                 // the request headers were serialized for the socket
  bool answer_started = false;       // the peer has processed the request, even if it resets the stream later
  std::string received;              // received bytes of the answer that are not decoded yet
  std::optional<Result> result;      //
  std::size_t unconsumed_bytes = 0;  // window update is deferred until the caller reads
  bool finished = false;             // FinishCall has run

  std::mutex mutex;                 // guards all below
  std::condition_variable changed;  // signalled when a part has arrived or the call is done
  std::deque<std::string> parts;
  std::size_t parts_bytes = 0;
  bool done = false;
  Result outcome;
};
using CallPtr = std::shared_ptr<Call>;

enum class ClientPhase { kConnecting, kHandshake, kOpen, kDraining };

struct ClientConnection {
  Http2Connection link;
  PeerClient* client = nullptr;
  std::string peer;  // "ADDRESS:PORT"
  ClientPhase phase = ClientPhase::kConnecting;
  absl::Time connect_until;
  absl::Time last_used;
  std::vector<CallPtr> waiting;  // calls to submit once the server's SETTINGS have arrived
  std::map<std::int32_t, CallPtr> calls;
};

enum class CommandKind { kStart, kCancel, kConsume };
struct Command {
  CommandKind kind = CommandKind::kStart;
  CallPtr call;
};

}  // namespace

struct PeerClient {
  std::string secret;
  PeerLimits limits;
  int epoll = -1;
  int wake = -1;
  TrafficCounters counters;
  std::thread io_thread;

  // I/O thread only.
  std::map<std::uint64_t, std::unique_ptr<ClientConnection>> connections;
  std::map<std::string, std::uint64_t> by_peer;  // connections that accept new requests
  std::multimap<absl::Time, std::weak_ptr<Call>> deadlines;
  std::vector<std::uint64_t> finished_connections;  // to close once the current callback has returned
  std::vector<CallPtr> answered;                    // notifications whose on_answer is to be called
  std::uint64_t next_connection = 1;
  absl::Time next_sweep = absl::InfinitePast();

  std::mutex mutex;  // guards all below
  std::vector<Command> commands;
  bool stop = false;
};

namespace {

void Post(PeerClient& client, Command command) {
  const std::lock_guard<std::mutex> lock(client.mutex);
  client.commands.push_back(std::move(command));
  if (client.commands.size() > 1) return;
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t n = write(client.wake, &one, sizeof(one));
}

// ---- Calls (I/O thread) ----

void FinishCall(PeerClient& client, const CallPtr& call, Result result) {
  if (call->finished) return;
  call->finished = true;
  call->received.clear();
  if (call->is_notification) {
    if (!Ok(result) || call->on_answer == nullptr) return;
    const std::lock_guard<std::mutex> lock(call->mutex);
    call->outcome = std::move(result);
    client.answered.push_back(call);
    return;
  }
  const std::lock_guard<std::mutex> lock(call->mutex);
  call->outcome = std::move(result);
  call->done = true;
  call->changed.notify_one();
}

// Fails a call that got no answer. The error is "not run" unless the request was already sent.
void FailCall(PeerClient& client, const CallPtr& call, const std::string& reason) {
  const ErrorKind kind = call->sent ? ErrorKind::kOutcomeUnknown : ErrorKind::kPeerUnreachable;
  FinishCall(client, call,
             MakeError(kind, absl::StrCat("peer ", call->peer.address, ":", call->peer.port, ": ", reason)));
}

// Decodes the complete frames in `call.received`. Returns false if the peer violated the protocol.
bool DecodeFrames(PeerClient& client, Call& call) {
  std::size_t at = 0;
  while (call.received.size() - at >= kFrameHeaderBytes) {
    if (call.result.has_value()) return false;
    std::uint32_t length = 0;
    for (std::size_t it = 1; it < kFrameHeaderBytes; ++it)
      length = (length << 8) | static_cast<std::uint8_t>(call.received[at + it]);
    if (length > static_cast<std::uint32_t>(client.limits.max_message_bytes)) return false;
    if (call.received.size() - at - kFrameHeaderBytes < length) break;
    const char type = call.received[at];
    std::string bytes = call.received.substr(at + kFrameHeaderBytes, length);
    at += kFrameHeaderBytes + length;
    if (type == kLastFrame) {
      call.result = Result(std::in_place_index<0>, std::move(bytes));
    } else if (type == kErrorFrame) {
      call.result = Result(std::in_place_index<1>, ParseError(bytes));
    } else if (type != kPartFrame) {
      return false;
    } else if (call.wants_parts) {
      const std::lock_guard<std::mutex> lock(call.mutex);
      call.parts_bytes += bytes.size();
      call.parts.push_back(std::move(bytes));
      call.changed.notify_one();
    }
  }
  call.received.erase(0, at);
  // Bytes after the last frame violate the protocol.
  return !call.result.has_value() || call.received.empty();
}

ClientConnection* FindConnection(PeerClient& client, std::uint64_t id) {
  const auto it = client.connections.find(id);
  return it == client.connections.end() ? nullptr : it->second.get();
}

CallPtr FindCall(ClientConnection& connection, std::int32_t stream) {
  const auto it = connection.calls.find(stream);
  return it == connection.calls.end() ? nullptr : it->second;
}

// Finishes the call and resets its stream. If the request is not serialized yet, nghttp2 drops it unsent.
void AbortCall(PeerClient& client, const CallPtr& call, Result result) {
  if (call->finished) return;
  FinishCall(client, call, std::move(result));
  ClientConnection* connection = FindConnection(client, call->connection);
  if (connection == nullptr) return;
  std::vector<CallPtr>& waiting = connection->waiting;
  waiting.erase(std::remove(waiting.begin(), waiting.end(), call), waiting.end());
  if (call->stream < 0) return;
  nghttp2_submit_rst_stream(connection->link.session, NGHTTP2_FLAG_NONE, call->stream, NGHTTP2_CANCEL);
}

ssize_t ReadBody(nghttp2_session*, std::int32_t stream, std::uint8_t* buf, std::size_t length,
                 std::uint32_t* flags, nghttp2_data_source*, void* user) {
  ClientConnection& connection = *static_cast<ClientConnection*>(user);
  const CallPtr call = FindCall(connection, stream);
  if (call == nullptr || call->finished) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const std::size_t n = std::min(length, call->body.size() - call->body_sent);
  std::copy_n(call->body.data() + call->body_sent, n, buf);
  call->body_sent += n;
  if (call->body_sent == call->body.size()) *flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(n);
}

void SubmitCall(PeerClient& client, ClientConnection& connection, const CallPtr& call) {
  const std::string path = absl::StrCat("/peer/", call->kind);
  const nghttp2_nv headers[] = {
      MakeHeader(":method", "POST"),
      MakeHeader(":scheme", "http"),
      MakeHeader(":authority", connection.peer),
      MakeHeader(":path", path),
      MakeHeader("oleander-host-secret", client.secret),
  };
  nghttp2_data_provider provider = {};
  provider.read_callback = ReadBody;
  const std::int32_t stream = nghttp2_submit_request(connection.link.session, nullptr, headers,
                                                     std::size(headers), &provider, nullptr);
  if (stream < 0) {
    FailCall(client, call, "the connection has no stream numbers left");
    return;
  }
  client.counters.requests.fetch_add(1, std::memory_order_relaxed);
  call->stream = stream;
  connection.calls.emplace(stream, call);
}

// ---- nghttp2 callbacks ----

// Stops new requests on the connection; requests in flight continue.
void StopNewRequests(ClientConnection& connection) {
  connection.phase = ClientPhase::kDraining;
  const auto it = connection.client->by_peer.find(connection.peer);
  if (it != connection.client->by_peer.end() && it->second == connection.link.id)
    connection.client->by_peer.erase(it);
}

int OnFrameSend(nghttp2_session*, const nghttp2_frame* frame, void* user) {
  ClientConnection& connection = *static_cast<ClientConnection*>(user);
  if (frame->hd.type != NGHTTP2_HEADERS) return 0;
  const CallPtr call = FindCall(connection, frame->hd.stream_id);
  if (call != nullptr) call->sent = true;
  return 0;
}

// After a GOAWAY, nghttp2 drops the requests that wait for a free stream and calls only this callback for
// them, not OnStreamClose.
int OnFrameNotSent(nghttp2_session*, const nghttp2_frame* frame, int, void* user) {
  ClientConnection& connection = *static_cast<ClientConnection*>(user);
  if (frame->hd.type != NGHTTP2_HEADERS) return 0;
  const CallPtr call = FindCall(connection, frame->hd.stream_id);
  if (call == nullptr) return 0;
  connection.calls.erase(frame->hd.stream_id);
  FailCall(*connection.client, call, "the request was not sent");
  return 0;
}

int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
  ClientConnection& connection = *static_cast<ClientConnection*>(user);
  PeerClient& client = *connection.client;
  if (frame->hd.type == NGHTTP2_HEADERS) {
    const CallPtr call = FindCall(connection, frame->hd.stream_id);
    if (call != nullptr) call->answer_started = true;
  }
  if (frame->hd.type == NGHTTP2_GOAWAY) {
    StopNewRequests(connection);
    // nghttp2 accepts no new requests after a GOAWAY.
    for (const CallPtr& it : connection.waiting) FailCall(client, it, "the peer is shutting down");
    connection.waiting.clear();
    return 0;
  }
  const bool settings = frame->hd.type == NGHTTP2_SETTINGS && (frame->hd.flags & NGHTTP2_FLAG_ACK) == 0;
  if (!settings || connection.phase != ClientPhase::kHandshake) return 0;
  connection.phase = ClientPhase::kOpen;
  std::vector<CallPtr> waiting;
  waiting.swap(connection.waiting);
  for (const CallPtr& it : waiting) SubmitCall(client, connection, it);
  return 0;
}

int OnData(nghttp2_session* session, std::uint8_t, std::int32_t stream, const std::uint8_t* data,
           std::size_t length, void* user) {
  ClientConnection& connection = *static_cast<ClientConnection*>(user);
  // Extends the window of the connection at once, so that a slow caller does not block the other streams.
  nghttp2_session_consume_connection(session, length);
  const CallPtr call = FindCall(connection, stream);
  if (call == nullptr || call->finished) return 0;
  call->answer_started = true;
  call->received.append(reinterpret_cast<const char*>(data), length);
  if (!DecodeFrames(*connection.client, *call)) {
    AbortCall(*connection.client, call,
              MakeError(ErrorKind::kPeerProtocol, absl::StrCat("peer ", connection.peer,
                                                               " sent a malformed or too large "
                                                               "answer")));
    return 0;
  }
  const std::lock_guard<std::mutex> lock(call->mutex);
  if (call->parts_bytes < kMaxUnreadPartBytes) {
    nghttp2_session_consume_stream(session, stream, length);
  } else {
    call->unconsumed_bytes += length;
  }
  return 0;
}

int OnStreamClose(nghttp2_session*, std::int32_t stream, std::uint32_t code, void* user) {
  ClientConnection& connection = *static_cast<ClientConnection*>(user);
  const CallPtr call = FindCall(connection, stream);
  if (call == nullptr) return 0;
  connection.calls.erase(stream);
  PeerClient& client = *connection.client;
  if (call->result.has_value()) {
    FinishCall(client, call, std::move(*call->result));
  } else if (!call->sent) {
    FailCall(client, call, "the request was not sent");
  } else if (code == NGHTTP2_REFUSED_STREAM && !call->answer_started) {
    // nghttp2 also reports this code for streams above the last stream number of a GOAWAY.
    FinishCall(client, call,
               MakeError(ErrorKind::kPeerUnreachable,
                         absl::StrCat("peer ", connection.peer, " did not process the request")));
  } else {
    FinishCall(client, call,
               MakeError(ErrorKind::kPeerProtocol,
                         absl::StrCat("peer ", connection.peer, " ended the stream without an answer: ",
                                      nghttp2_http2_strerror(code))));
  }
  return 0;
}

nghttp2_session* MakeSession(ClientConnection& connection) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, OnFrameSend);
  nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks, OnFrameNotSent);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, OnStreamClose);
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  nghttp2_session* session = nullptr;
  nghttp2_session_client_new2(&session, callbacks, &connection, option);
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  return session;
}

// ---- Connections (I/O thread) ----

void CloseConnection(PeerClient& client, std::uint64_t id, const std::string& reason) {
  const auto it = client.connections.find(id);
  if (it == client.connections.end()) return;
  StopNewRequests(*it->second);
  for (const CallPtr& call : it->second->waiting) FailCall(client, call, reason);
  for (const auto& call : it->second->calls) {
    if (call.second->result.has_value())
      FinishCall(client, call.second, std::move(*call.second->result));
    else
      FailCall(client, call.second, reason);
  }
  it->second->calls.clear();
  CloseLink(client.epoll, it->second->link);
  client.connections.erase(it);
}

void FlushConnection(PeerClient& client, ClientConnection& connection) {
  if (connection.phase == ClientPhase::kConnecting) return;
  WriteLink(connection.link);
  nghttp2_session* session = connection.link.session;
  const bool drained = connection.phase == ClientPhase::kDraining && connection.calls.empty();
  if ((drained || nghttp2_session_want_read(session) == 0) && !HasOutput(connection.link)) {
    client.finished_connections.push_back(connection.link.id);
    return;
  }
  WatchLink(client.epoll, connection.link);
}

// Sends the connection preface once TCP is connected.
void FinishConnect(PeerClient& client, ClientConnection& connection) {
  int error = 0;
  socklen_t length = sizeof(error);
  getsockopt(connection.link.fd, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) {
    CloseConnection(client, connection.link.id, absl::StrCat("cannot connect, errno ", error));
    return;
  }
  connection.phase = ClientPhase::kHandshake;
  connection.link.session = MakeSession(connection);
  SubmitSettings(connection.link.session, client.limits.max_streams);
  FlushConnection(client, connection);
}

// Returns nullptr if the address is invalid or socket() or connect() fails. The returned connection may not
// be established yet.
ClientConnection* OpenConnection(PeerClient& client, const Endpoint& peer, const std::string& name) {
  sockaddr_storage address;
  const socklen_t length = FillAddress(peer, address);
  if (length == 0) return nullptr;
  const int fd = socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  SetSocketOptions(fd);
  const absl::Time now = absl::Now();
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), length) != 0 && errno != EINPROGRESS) {
    close(fd);
    return nullptr;
  }
  client.counters.connections.fetch_add(1, std::memory_order_relaxed);
  auto connection = std::make_unique<ClientConnection>();
  connection->client = &client;
  connection->peer = name;
  connection->connect_until = now + client.limits.connect_deadline;
  connection->last_used = now;
  connection->link.id = client.next_connection++;
  connection->link.fd = fd;
  connection->link.counters = &client.counters;
  epoll_event event = {};
  event.events = EPOLLOUT;
  event.data.u64 = connection->link.id;
  epoll_ctl(client.epoll, EPOLL_CTL_ADD, fd, &event);
  connection->link.interest = EPOLLOUT;
  ClientConnection* result = connection.get();
  client.by_peer[name] = result->link.id;
  client.next_sweep = std::min(client.next_sweep, result->connect_until);
  client.connections.emplace(result->link.id, std::move(connection));
  return result;
}

void StartCall(PeerClient& client, const CallPtr& call) {
  const std::string name = absl::StrCat(call->peer.address, ":", call->peer.port);
  const auto it = client.by_peer.find(name);
  ClientConnection* connection = it == client.by_peer.end() ? OpenConnection(client, call->peer, name)
                                                            : FindConnection(client, it->second);
  if (connection == nullptr) {
    FailCall(client, call, "cannot connect");
    return;
  }
  const std::size_t limit = static_cast<std::size_t>(client.limits.max_streams);
  if (call->is_notification && connection->waiting.size() + connection->calls.size() >= limit) {
    FailCall(client, call, "too many notifications are pending on the connection");
    return;
  }
  call->connection = connection->link.id;
  connection->last_used = absl::Now();
  client.deadlines.emplace(call->deadline, call);
  if (connection->phase == ClientPhase::kOpen) {
    SubmitCall(client, *connection, call);
    FlushConnection(client, *connection);
  } else {
    connection->waiting.push_back(call);
  }
}

// Extends the stream's window by the bytes that the caller has read since.
void ConsumeReceivedBytes(PeerClient& client, const CallPtr& call) {
  ClientConnection* connection = FindConnection(client, call->connection);
  if (connection == nullptr || call->finished || call->unconsumed_bytes == 0) return;
  nghttp2_session_consume_stream(connection->link.session, call->stream, call->unconsumed_bytes);
  call->unconsumed_bytes = 0;
  FlushConnection(client, *connection);
}

void RunCommand(PeerClient& client, const Command& command) {
  switch (command.kind) {
    case CommandKind::kStart:
      StartCall(client, command.call);
      return;
    case CommandKind::kConsume:
      ConsumeReceivedBytes(client, command.call);
      return;
    case CommandKind::kCancel:
      break;
  }
  const ErrorKind kind = command.call->sent ? ErrorKind::kOutcomeUnknown : ErrorKind::kPeerUnreachable;
  AbortCall(client, command.call, MakeError(kind, "cancelled by the caller"));
  ClientConnection* connection = FindConnection(client, command.call->connection);
  if (connection != nullptr) FlushConnection(client, *connection);
}

void ServeConnection(PeerClient& client, std::uint64_t id) {
  ClientConnection* connection = FindConnection(client, id);
  if (connection == nullptr) return;
  if (connection->phase == ClientPhase::kConnecting) {
    FinishConnect(client, *connection);
    return;
  }
  connection->last_used = absl::Now();
  if (ReadLink(connection->link) == LinkState::kClosed) {
    CloseConnection(client, id, "the connection was lost");
    return;
  }
  FlushConnection(client, *connection);
}

void ExpireCalls(PeerClient& client, absl::Time now) {
  while (!client.deadlines.empty() && client.deadlines.begin()->first <= now) {
    const CallPtr call = client.deadlines.begin()->second.lock();
    client.deadlines.erase(client.deadlines.begin());
    if (call == nullptr || call->finished) continue;
    const ErrorKind kind = call->sent ? ErrorKind::kOutcomeUnknown : ErrorKind::kPeerUnreachable;
    AbortCall(client, call,
              MakeError(kind, absl::StrCat("no answer from peer ", call->peer.address, ":", call->peer.port,
                                           " before the deadline")));
    ClientConnection* connection = FindConnection(client, call->connection);
    if (connection != nullptr) FlushConnection(client, *connection);
  }
}

// Closes unused connections and those that missed their connect deadline. Returns the next connect deadline.
absl::Time CloseOldConnections(PeerClient& client, absl::Time now) {
  std::vector<std::pair<std::uint64_t, std::string>> old;
  absl::Time next = absl::InfiniteFuture();
  for (const auto& it : client.connections) {
    const ClientConnection& connection = *it.second;
    const bool opening =
        connection.phase == ClientPhase::kConnecting || connection.phase == ClientPhase::kHandshake;
    const bool unused = connection.calls.empty() && connection.waiting.empty();
    if (opening && now >= connection.connect_until) {
      old.emplace_back(it.first, "no connection before the connect deadline");
    } else if (opening) {
      next = std::min(next, connection.connect_until);
    } else if (unused && now - connection.last_used > client.limits.idle_deadline) {
      old.emplace_back(it.first, "unused");
    }
  }
  for (const auto& it : old) CloseConnection(client, it.first, it.second);
  return next;
}

bool TakeCommands(PeerClient& client, std::vector<Command>& commands) {
  const std::lock_guard<std::mutex> lock(client.mutex);
  commands.swap(client.commands);
  return !client.stop;
}

void RunAnswerCallbacks(PeerClient& client) {
  std::vector<CallPtr> answered;
  answered.swap(client.answered);
  for (const CallPtr& it : answered) {
    std::string answer;
    {
      const std::lock_guard<std::mutex> lock(it->mutex);
      answer = std::move(Value(it->outcome));
    }
    it->on_answer(answer);
  }
}

int WaitMs(absl::Time until, absl::Time now) {
  const absl::Duration left = std::clamp(until - now, absl::ZeroDuration(), kSweepPeriod);
  return static_cast<int>(absl::ToInt64Milliseconds(left + absl::Microseconds(999)));
}

void CloseFinishedConnections(PeerClient& client) {
  std::vector<std::uint64_t> finished;
  finished.swap(client.finished_connections);
  for (const std::uint64_t id : finished) CloseConnection(client, id, "the peer closed the connection");
}

void RunIoThread(PeerClient* client) {
  while (true) {
    const absl::Time next_deadline =
        client->deadlines.empty() ? absl::InfiniteFuture() : client->deadlines.begin()->first;
    epoll_event events[64];
    const int n = epoll_wait(client->epoll, events, 64,
                             WaitMs(std::min(client->next_sweep, next_deadline), absl::Now()));
    for (int it = 0; it < n; ++it) {
      if (events[it].data.u64 == kWakeId) {
        std::uint64_t count = 0;
        [[maybe_unused]] const ssize_t bytes = read(client->wake, &count, sizeof(count));
      } else {
        ServeConnection(*client, events[it].data.u64);
      }
    }
    std::vector<Command> commands;
    if (!TakeCommands(*client, commands)) {
      for (const Command& it : commands)
        FinishCall(*client, it.call, MakeError(ErrorKind::kPeerUnreachable, "the client is closing"));
      return;
    }
    for (const Command& it : commands) RunCommand(*client, it);
    const absl::Time now = absl::Now();
    ExpireCalls(*client, now);
    if (now >= client->next_sweep)
      client->next_sweep = std::min(now + kSweepPeriod, CloseOldConnections(*client, now));
    CloseFinishedConnections(*client);
    RunAnswerCallbacks(*client);
  }
}

CallPtr MakeCall(const Endpoint& peer, const std::string& kind, const std::string& body,
                 absl::Duration deadline) {
  assert(!kind.empty());
  CallPtr call = std::make_shared<Call>();
  call->peer = peer;
  call->kind = kind;
  call->body = body;
  call->deadline = absl::Now() + deadline;
  return call;
}

// Passes streamed parts to `on_part` until the call is done.
Result WaitForAnswer(PeerClient& client, const CallPtr& call,
                     const std::function<bool(const std::string& part)>& on_part) {
  bool cancelled = false;
  while (true) {
    std::deque<std::string> parts;
    {
      std::unique_lock<std::mutex> lock(call->mutex);
      call->changed.wait(lock, [&] { return call->done || !call->parts.empty(); });
      if (call->parts.empty() || cancelled) {
        if (call->done) return std::move(call->outcome);
      }
      parts.swap(call->parts);
      call->parts_bytes = 0;
    }
    if (cancelled) continue;
    for (const std::string& part : parts) {
      if (on_part(part)) continue;
      cancelled = true;
      Post(client, {CommandKind::kCancel, call});
      break;
    }
    if (!cancelled) Post(client, {CommandKind::kConsume, call});
  }
}

}  // namespace

PeerClientPtr MakePeerClient(const std::string& secret, const PeerLimits& limits) {
  PeerClientPtr client(new PeerClient);
  client->secret = secret;
  client->limits = limits;
  client->epoll = epoll_create1(EPOLL_CLOEXEC);
  client->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.u64 = kWakeId;
  epoll_ctl(client->epoll, EPOLL_CTL_ADD, client->wake, &event);
  client->io_thread = std::thread(RunIoThread, client.get());
  return client;
}

PeerTraffic PeerClientTraffic(const PeerClient& client) { return SnapshotTraffic(client.counters); }

leaf::result<std::string> CallPeer(PeerClient& client, const Endpoint& peer, const std::string& kind,
                                   const std::string& body, absl::Duration deadline,
                                   const std::function<bool(const std::string& part)>& on_part) {
  if (body.size() > static_cast<std::size_t>(client.limits.max_message_bytes)) {
    return Fail(ErrorKind::kBodyTooLarge,
                absl::StrCat("peer message has ", body.size(), " bytes, the limit is ",
                             client.limits.max_message_bytes));
  }
  const CallPtr call = MakeCall(peer, kind, body, deadline);
  call->wants_parts = on_part != nullptr;
  Post(client, {CommandKind::kStart, call});
  Result outcome = WaitForAnswer(client, call, on_part);
  if (!Ok(outcome)) return Fail(ErrorOf(outcome));
  return std::move(Value(outcome));
}

void NotifyPeer(PeerClient& client, const Endpoint& peer, const std::string& kind, const std::string& body,
                std::function<void(const std::string& answer)> on_answer) {
  if (body.size() > static_cast<std::size_t>(client.limits.max_message_bytes)) return;
  const CallPtr call = MakeCall(peer, kind, body, client.limits.notify_deadline);
  call->is_notification = true;
  call->on_answer = std::move(on_answer);
  Post(client, {CommandKind::kStart, call});
}

void PeerClientDeleter::operator()(PeerClient* client) const {
  if (client == nullptr) return;
  {
    const std::lock_guard<std::mutex> lock(client->mutex);
    client->stop = true;
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t n = write(client->wake, &one, sizeof(one));
  }
  client->io_thread.join();
  while (!client->connections.empty())
    CloseConnection(*client, client->connections.begin()->first, "the client is closing");
  close(client->wake);
  close(client->epoll);
  delete client;
}

}  // namespace oleander
