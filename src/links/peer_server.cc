// Server side of peer_link.h: one I/O thread with epoll, and pools of handler threads.
#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "links/http2_connection.h"
#include "oleander/peer_link.h"

namespace oleander {
namespace {

constexpr std::uint64_t kWakeId = 0;
constexpr std::uint64_t kListenId = 1;
constexpr std::uint64_t kFirstConnectionId = 2;
constexpr std::size_t kMaxHeaderBytes = 8 << 10;
// A handler blocks while at least this much of its answer is pending for the requester.
constexpr std::size_t kAnswerBufferBytes = 256 << 10;
// Limit on the request bodies that are buffered for one connection, in multiples of the maximum message size.
constexpr std::size_t kBodiesPerConnection = 8;
constexpr std::size_t kMaxConnections = 4096;
constexpr int kShortHandlerThreads = 2;
constexpr absl::Duration kHandshakeDeadline = absl::Seconds(5);
constexpr absl::Duration kLingerDeadline = absl::Seconds(1);
constexpr absl::Duration kSweepPeriod = absl::Milliseconds(250);
constexpr absl::Duration kMaxWait = absl::Hours(24);
constexpr absl::Duration kErrorWindow = absl::Seconds(10);
constexpr std::string_view kPathPrefix = "/peer/";

// The part of an answer that the handler has written and nghttp2 has not yet read. Shared by the handler
// thread and the I/O thread.
struct Answer {
  std::uint64_t connection = 0;
  std::int32_t stream = 0;
  std::mutex mutex;                         // guards all below
  std::condition_variable space_available;  // signalled when bytes were read or the answer was cancelled
  std::string out;
  std::size_t consumed = 0;  // bytes of `out` that nghttp2 has read
  bool finished = false;
  bool cancelled = false;
  bool wake_pending = false;
};

bool HasRoom(const Answer& answer) {
  return answer.cancelled || answer.out.size() - answer.consumed < kAnswerBufferBytes;
}

struct Task {
  std::string kind;
  std::string body;
  std::shared_ptr<Answer> answer;
};

// Threads that run handlers, started on demand.
struct HandlerPool {
  int max_threads = 1;
  std::size_t max_queue = 1;
  std::mutex mutex;              // guards all below
  std::condition_variable work;  // signalled when a task was added or `stop` was set
  std::deque<Task> tasks;
  int idle = 0;
  int running = 0;
  bool stop = false;
  std::vector<std::thread> threads;
};

struct ServerStream {
  std::int32_t id = 0;
  std::size_t header_bytes = 0;
  std::string path;
  std::string secret;
  std::string body;
  bool closed_to_input = false;  // dispatched, refused or reset; further input is dropped
  bool submitted = false;        // the response headers were submitted to nghttp2
  std::shared_ptr<Answer> answer;
};

struct ServerConnection {
  Http2Connection link;
  PeerServer* server = nullptr;
  std::map<std::int32_t, ServerStream> streams;
  std::size_t body_bytes = 0;
  std::int32_t last_stream = 0;
  std::deque<absl::Time> errors;  // protocol errors of the last 10 s
  absl::Time accepted;
  absl::Time linger_until = absl::InfiniteFuture();
  bool frame_received = false;  // a valid frame has arrived
  bool closing = false;         // closes after its output is written
};

bool SecretsEqual(const std::string& a, const std::string& b) {
  // Constant time: does not depend on the position of the first difference.
  unsigned difference = a.size() == b.size() ? 0 : 1;
  for (std::size_t it = 0; it < a.size(); ++it) {
    const unsigned char other = b.empty() ? 0 : static_cast<unsigned char>(b[it % b.size()]);
    difference |= static_cast<unsigned char>(a[it]) ^ other;
  }
  return difference == 0;
}

}  // namespace

struct PeerServer {
  std::string secret;
  PeerLimits limits;
  PeerHandler handler;
  int epoll = -1;
  int wake = -1;
  int listener = -1;
  int port = 0;
  TrafficCounters counters;
  HandlerPool long_pool;
  HandlerPool short_pool;
  std::thread io_thread;

  // I/O thread only.
  std::map<std::uint64_t, std::unique_ptr<ServerConnection>> connections;
  std::uint64_t next_connection = kFirstConnectionId;
  absl::Time accept_again = absl::InfinitePast();
  bool draining = false;

  std::mutex mutex;  // guards all below
  std::condition_variable drained;
  std::vector<std::shared_ptr<Answer>> changed;
  std::vector<std::uint64_t> undecodable_requests;  // one connection id per undecodable request
  bool drain_requested = false;
  bool stop = false;
  bool idle = false;  // draining, and no connection and no queued or running handler is left
};

namespace {

// ---- Handler threads ----

void Wake(int fd) {
  const std::uint64_t one = 1;
  [[maybe_unused]] const ssize_t n = write(fd, &one, sizeof(one));
}

void NotifyChanged(PeerServer& server, const std::shared_ptr<Answer>& answer) {
  const std::lock_guard<std::mutex> lock(server.mutex);
  server.changed.push_back(answer);
  Wake(server.wake);
}

// Returns false if the answer was cancelled, or the requester did not read for `stall_deadline`.
bool AppendFrame(PeerServer& server, const std::shared_ptr<Answer>& answer, const std::string& frame,
                 bool last) {
  bool notify = false;
  {
    std::unique_lock<std::mutex> lock(answer->mutex);
    const auto wait = absl::ToChronoMilliseconds(server.limits.stall_deadline);
    if (!answer->space_available.wait_for(lock, wait, [&] { return HasRoom(*answer); }))
      answer->cancelled = true;
    if (!answer->cancelled) {
      answer->out.append(frame);
      answer->finished = last;
    }
    notify = !answer->wake_pending;
    answer->wake_pending = true;
    if (answer->cancelled && !notify) return false;
  }
  if (notify) NotifyChanged(server, answer);
  const std::lock_guard<std::mutex> lock(answer->mutex);
  return !answer->cancelled;
}

std::string FrameOf(const PeerServer& server, const Outcome<std::string>& outcome) {
  if (!Ok(outcome)) return MakeErrorFrame(ErrorOf(outcome));
  if (Value(outcome).size() > static_cast<std::size_t>(server.limits.max_message_bytes)) {
    return MakeErrorFrame(
        {ErrorKind::kPeerProtocol, absl::StrCat("peer answer has ", Value(outcome).size(),
                                                " bytes, the limit is ", server.limits.max_message_bytes)});
  }
  return MakeFrame(kLastFrame, Value(outcome));
}

Outcome<std::string> RunHandler(PeerServer& server, const Task& task) {
  const PeerSink sink = [&](const std::string& part) {
    if (part.size() > static_cast<std::size_t>(server.limits.max_message_bytes)) return false;
    return AppendFrame(server, task.answer, MakeFrame(kPartFrame, part), false);
  };
  try {
    return Capture<std::string>([&] { return server.handler(task.kind, task.body, sink); });
  } catch (const std::exception& ex) {
    return Outcome<std::string>(std::in_place_index<1>,
                                Error{ErrorKind::kInternal, absl::StrCat("handler: ", ex.what())});
  }
}

void RunTask(PeerServer& server, const Task& task) {
  {
    const std::lock_guard<std::mutex> lock(task.answer->mutex);
    if (task.answer->cancelled) return;
  }
  const Outcome<std::string> outcome = RunHandler(server, task);
  if (!Ok(outcome) && ErrorOf(outcome).kind == ErrorKind::kPeerProtocol) {
    const std::lock_guard<std::mutex> lock(server.mutex);
    server.undecodable_requests.push_back(task.answer->connection);
  }
  AppendFrame(server, task.answer, FrameOf(server, outcome), true);
}

void RunHandlerThread(PeerServer* server, HandlerPool* pool) {
  while (true) {
    Task task;
    {
      std::unique_lock<std::mutex> lock(pool->mutex);
      ++pool->idle;
      pool->work.wait(lock, [&] { return pool->stop || !pool->tasks.empty(); });
      --pool->idle;
      if (pool->stop) return;
      task = std::move(pool->tasks.front());
      pool->tasks.pop_front();
      ++pool->running;
    }
    RunTask(*server, task);
    {
      const std::lock_guard<std::mutex> lock(pool->mutex);
      --pool->running;
    }
    // The drain may be waiting for this handler.
    const std::lock_guard<std::mutex> lock(server->mutex);
    if (server->drain_requested) Wake(server->wake);
  }
}

// Returns false if the queue is full.
bool PostTask(PeerServer& server, HandlerPool& pool, Task task) {
  const std::lock_guard<std::mutex> lock(pool.mutex);
  if (pool.tasks.size() >= pool.max_queue) return false;
  pool.tasks.push_back(std::move(task));
  pool.work.notify_one();
  const bool needed = pool.tasks.size() > static_cast<std::size_t>(pool.idle);
  if (needed && static_cast<int>(pool.threads.size()) < pool.max_threads)
    pool.threads.emplace_back(RunHandlerThread, &server, &pool);
  return true;
}

void StopPool(HandlerPool& pool) {
  std::vector<std::thread> threads;
  {
    const std::lock_guard<std::mutex> lock(pool.mutex);
    pool.stop = true;
    pool.work.notify_all();
    threads.swap(pool.threads);
  }
  for (std::thread& it : threads) it.join();
}

bool IsPoolBusy(HandlerPool& pool) {
  const std::lock_guard<std::mutex> lock(pool.mutex);
  return pool.running > 0 || !pool.tasks.empty();
}

// ---- Streams ----

// Sends GOAWAY and closes the connection after too many errors.
void CountProtocolError(ServerConnection& connection, absl::Time now) {
  connection.server->counters.protocol_errors.fetch_add(1, std::memory_order_relaxed);
  connection.errors.push_back(now);
  while (connection.errors.front() < now - kErrorWindow) connection.errors.pop_front();
  const int limit = connection.server->limits.protocol_errors_to_close;
  if (static_cast<int>(connection.errors.size()) < limit || connection.closing) return;
  connection.closing = true;
  nghttp2_session_terminate_session(connection.link.session, NGHTTP2_ENHANCE_YOUR_CALM);
}

ssize_t ReadAnswer(nghttp2_session*, std::int32_t, std::uint8_t* buf, std::size_t length,
                   std::uint32_t* flags, nghttp2_data_source* source, void*) {
  Answer* answer = static_cast<Answer*>(source->ptr);
  const std::lock_guard<std::mutex> lock(answer->mutex);
  if (answer->cancelled) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const std::size_t n = std::min(length, answer->out.size() - answer->consumed);
  std::copy_n(answer->out.data() + answer->consumed, n, buf);
  answer->consumed += n;
  answer->space_available.notify_one();
  if (answer->consumed == answer->out.size()) {
    answer->out.clear();
    answer->consumed = 0;
    if (answer->finished) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
      return static_cast<ssize_t>(n);
    }
  }
  return n == 0 ? static_cast<ssize_t>(NGHTTP2_ERR_DEFERRED) : static_cast<ssize_t>(n);
}

// Submits the response headers; the body follows as the handler writes it.
void SubmitAnswer(ServerConnection& connection, ServerStream& stream, int status) {
  stream.submitted = true;
  const std::string text = absl::StrCat(status);
  const nghttp2_nv header = MakeHeader(":status", text);
  nghttp2_data_provider provider = {};
  provider.source.ptr = stream.answer.get();
  provider.read_callback = ReadAnswer;
  nghttp2_submit_response(connection.link.session, stream.id, &header, 1, &provider);
}

// Refuses a request whose handler has not been called.
void Refuse(ServerConnection& connection, ServerStream& stream, const Error& error) {
  stream.closed_to_input = true;
  connection.body_bytes -= stream.body.size();
  stream.body.clear();
  stream.answer = std::make_shared<Answer>();
  {
    const std::lock_guard<std::mutex> lock(stream.answer->mutex);
    stream.answer->out = MakeErrorFrame(error);
    stream.answer->finished = true;
  }
  SubmitAnswer(connection, stream, DescribeError(error.kind).http_status);
}

void ResetStream(ServerConnection& connection, ServerStream& stream, std::uint32_t code) {
  stream.closed_to_input = true;
  connection.body_bytes -= stream.body.size();
  stream.body.clear();
  nghttp2_submit_rst_stream(connection.link.session, NGHTTP2_FLAG_NONE, stream.id, code);
}

void DispatchRequest(ServerConnection& connection, ServerStream& stream) {
  PeerServer& server = *connection.server;
  server.counters.requests.fetch_add(1, std::memory_order_relaxed);
  stream.closed_to_input = true;
  stream.answer = std::make_shared<Answer>();
  stream.answer->connection = connection.link.id;
  stream.answer->stream = stream.id;
  Task task;
  task.kind = stream.path.substr(kPathPrefix.size());
  connection.body_bytes -= stream.body.size();
  task.body = std::move(stream.body);
  stream.body.clear();
  task.answer = stream.answer;
  const std::vector<std::string>& kinds = server.limits.short_kinds;
  const bool is_short = std::find(kinds.begin(), kinds.end(), task.kind) != kinds.end();
  if (!PostTask(server, is_short ? server.short_pool : server.long_pool, std::move(task)))
    Refuse(connection, stream, {ErrorKind::kOverloaded, "the request queue of the peer is full"});
}

ServerStream* FindStream(ServerConnection& connection, std::int32_t id) {
  const auto it = connection.streams.find(id);
  return it == connection.streams.end() ? nullptr : &it->second;
}

// ---- nghttp2 callbacks ----

int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* user) {
  ServerConnection& connection = *static_cast<ServerConnection*>(user);
  if (frame->hd.type != NGHTTP2_HEADERS || frame->headers.cat != NGHTTP2_HCAT_REQUEST) return 0;
  connection.last_stream = std::max(connection.last_stream, frame->hd.stream_id);
  connection.streams[frame->hd.stream_id].id = frame->hd.stream_id;
  return 0;
}

int OnHeader(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t name_length,
             const std::uint8_t* value, std::size_t value_length, std::uint8_t, void* user) {
  ServerConnection& connection = *static_cast<ServerConnection*>(user);
  ServerStream* stream = FindStream(connection, frame->hd.stream_id);
  if (stream == nullptr) return 0;
  stream->header_bytes += name_length + value_length;
  if (stream->header_bytes > kMaxHeaderBytes) {
    stream->closed_to_input = true;
    CountProtocolError(connection, absl::Now());
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  const std::string_view key(reinterpret_cast<const char*>(name), name_length);
  const std::string_view text(reinterpret_cast<const char*>(value), value_length);
  if (key == ":path") stream->path = text;
  if (key == "oleander-host-secret") stream->secret = text;
  return 0;
}

// Checks a request as soon as its headers are complete, before its body is buffered.
void CheckHeaders(ServerConnection& connection, ServerStream& stream) {
  if (stream.closed_to_input) return;
  if (!SecretsEqual(connection.server->secret, stream.secret)) {
    Refuse(connection, stream, {ErrorKind::kUnauthenticated, "oleander-host-secret does not match"});
  } else if (stream.path.compare(0, kPathPrefix.size(), kPathPrefix) != 0) {
    Refuse(connection, stream, {ErrorKind::kNotFound, "expected the path /peer/KIND"});
  }
}

int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
  ServerConnection& connection = *static_cast<ServerConnection*>(user);
  connection.frame_received = true;
  if (frame->hd.type != NGHTTP2_HEADERS && frame->hd.type != NGHTTP2_DATA) return 0;
  ServerStream* stream = FindStream(connection, frame->hd.stream_id);
  if (stream == nullptr) return 0;
  if (frame->hd.type == NGHTTP2_HEADERS) CheckHeaders(connection, *stream);
  if (stream->closed_to_input || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) return 0;
  DispatchRequest(connection, *stream);
  return 0;
}

int OnData(nghttp2_session*, std::uint8_t, std::int32_t id, const std::uint8_t* data, std::size_t length,
           void* user) {
  ServerConnection& connection = *static_cast<ServerConnection*>(user);
  ServerStream* stream = FindStream(connection, id);
  if (stream == nullptr || stream->closed_to_input) return 0;
  const std::size_t limit = static_cast<std::size_t>(connection.server->limits.max_message_bytes);
  if (stream->body.size() + length > limit) {
    ResetStream(connection, *stream, NGHTTP2_ENHANCE_YOUR_CALM);
    CountProtocolError(connection, absl::Now());
    return 0;
  }
  if (connection.body_bytes + length > limit * kBodiesPerConnection) {
    // The handler has not been called, so the requester may retry at another host.
    ResetStream(connection, *stream, NGHTTP2_REFUSED_STREAM);
    return 0;
  }
  connection.body_bytes += length;
  stream->body.append(reinterpret_cast<const char*>(data), length);
  return 0;
}

void CancelAnswer(ServerStream& stream) {
  if (stream.answer == nullptr) return;
  const std::lock_guard<std::mutex> lock(stream.answer->mutex);
  stream.answer->cancelled = true;
  stream.answer->space_available.notify_one();
}

int OnStreamClose(nghttp2_session*, std::int32_t id, std::uint32_t, void* user) {
  ServerConnection& connection = *static_cast<ServerConnection*>(user);
  const auto it = connection.streams.find(id);
  if (it == connection.streams.end()) return 0;
  CancelAnswer(it->second);
  connection.body_bytes -= it->second.body.size();
  connection.streams.erase(it);
  return 0;
}

int OnInvalidFrame(nghttp2_session*, const nghttp2_frame*, int, void* user) {
  CountProtocolError(*static_cast<ServerConnection*>(user), absl::Now());
  return 0;
}

nghttp2_session* MakeSession(ServerConnection& connection) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, OnStreamClose);
  nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(callbacks, OnInvalidFrame);
  nghttp2_session* session = nullptr;
  nghttp2_session_server_new(&session, callbacks, &connection);
  nghttp2_session_callbacks_del(callbacks);
  return session;
}

// ---- I/O thread ----

void CloseConnection(PeerServer& server, std::uint64_t id) {
  const auto it = server.connections.find(id);
  if (it == server.connections.end()) return;
  for (auto& stream : it->second->streams) CancelAnswer(stream.second);
  CloseLink(server.epoll, it->second->link);
  server.connections.erase(it);
}

// Shuts down the sending side and discards further input until the linger deadline. Closing a socket with
// unread input would reset the connection, and the requester could lose a GOAWAY or an answer in transit.
void BeginLinger(PeerServer& server, ServerConnection& connection, absl::Time now) {
  if (connection.linger_until != absl::InfiniteFuture()) return;
  connection.linger_until = now + kLingerDeadline;
  shutdown(connection.link.fd, SHUT_WR);
  for (auto& stream : connection.streams) CancelAnswer(stream.second);
  connection.streams.clear();
  connection.link.out.clear();
  connection.link.out_sent = 0;
  WatchLink(server.epoll, connection.link);
}

bool IsLingering(const ServerConnection& connection) {
  return connection.linger_until != absl::InfiniteFuture();
}

// Discards the available input. Returns false if the requester has closed the connection.
bool DiscardInput(int fd) {
  char buf[4096];
  while (true) {
    const ssize_t n = recv(fd, buf, sizeof(buf), 0);
    if (n > 0 || (n < 0 && errno == EINTR)) continue;
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }
}

void FlushConnection(PeerServer& server, ServerConnection& connection, absl::Time now) {
  WriteLink(connection.link);
  nghttp2_session* session = connection.link.session;
  const bool session_ended = nghttp2_session_want_read(session) == 0 && !HasOutput(connection.link);
  if (session_ended) {
    BeginLinger(server, connection, now);
    return;
  }
  WatchLink(server.epoll, connection.link);
}

void ServeConnection(PeerServer& server, std::uint64_t id, absl::Time now) {
  const auto it = server.connections.find(id);
  if (it == server.connections.end()) return;
  ServerConnection& connection = *it->second;
  if (IsLingering(connection)) {
    if (!DiscardInput(connection.link.fd)) CloseConnection(server, id);
    return;
  }
  if (ReadLink(connection.link) == LinkState::kClosed) {
    // Sends the GOAWAY with the reason, if nghttp2 has prepared one.
    WriteLink(connection.link);
    CloseConnection(server, id);
    return;
  }
  FlushConnection(server, connection, now);
}

void AcceptConnections(PeerServer& server, absl::Time now) {
  while (server.listener >= 0) {
    const int fd = accept4(server.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0 && (errno == EINTR || errno == ECONNABORTED)) continue;
    if (fd < 0) {
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      // Probably out of file descriptors. Pauses accepting, because the listener stays readable and epoll
      // would spin.
      epoll_ctl(server.epoll, EPOLL_CTL_DEL, server.listener, nullptr);
      server.accept_again = now + kSweepPeriod;
      return;
    }
    if (server.connections.size() >= kMaxConnections) {
      close(fd);
      continue;
    }
    SetSocketOptions(fd);
    server.counters.connections.fetch_add(1, std::memory_order_relaxed);
    auto connection = std::make_unique<ServerConnection>();
    connection->server = &server;
    connection->accepted = now;
    connection->link.id = server.next_connection++;
    connection->link.fd = fd;
    connection->link.counters = &server.counters;
    connection->link.session = MakeSession(*connection);
    SubmitSettings(connection->link.session, server.limits.max_streams);
    ServerConnection& added = *connection;
    server.connections.emplace(added.link.id, std::move(connection));
    FlushConnection(server, added, now);
  }
}

void WatchListener(PeerServer& server) {
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.u64 = kListenId;
  epoll_ctl(server.epoll, EPOLL_CTL_ADD, server.listener, &event);
}

// Sends what handlers have written to their answers, and counts the undecodable requests they reported.
void ResumeAnswers(PeerServer& server, absl::Time now) {
  std::vector<std::shared_ptr<Answer>> changed;
  std::vector<std::uint64_t> undecodable_requests;
  {
    const std::lock_guard<std::mutex> lock(server.mutex);
    changed.swap(server.changed);
    undecodable_requests.swap(server.undecodable_requests);
  }
  std::set<std::uint64_t> touched;
  for (const std::shared_ptr<Answer>& answer : changed) {
    bool cancelled = false;
    {
      const std::lock_guard<std::mutex> lock(answer->mutex);
      answer->wake_pending = false;
      cancelled = answer->cancelled;
    }
    const auto it = server.connections.find(answer->connection);
    if (it == server.connections.end() || IsLingering(*it->second)) continue;
    ServerStream* stream = FindStream(*it->second, answer->stream);
    if (stream == nullptr || stream->answer != answer) continue;
    touched.insert(answer->connection);
    nghttp2_session* session = it->second->link.session;
    if (cancelled) {
      nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, stream->id, NGHTTP2_CANCEL);
    } else if (!stream->submitted) {
      SubmitAnswer(*it->second, *stream, 200);
    } else {
      nghttp2_session_resume_data(session, stream->id);
    }
  }
  for (const std::uint64_t id : undecodable_requests) {
    const auto it = server.connections.find(id);
    if (it == server.connections.end() || IsLingering(*it->second)) continue;
    CountProtocolError(*it->second, now);
    touched.insert(id);
  }
  for (const std::uint64_t id : touched) FlushConnection(server, *server.connections.at(id), now);
}

// Stops listening and sends GOAWAY on all connections. GOAWAY names the last stream that was started, so that
// the requester knows that later ones were not processed.
void BeginDrain(PeerServer& server, absl::Time now) {
  server.draining = true;
  if (server.listener >= 0) {
    epoll_ctl(server.epoll, EPOLL_CTL_DEL, server.listener, nullptr);
    close(server.listener);
    server.listener = -1;
  }
  for (auto& it : server.connections) {
    if (IsLingering(*it.second)) continue;
    nghttp2_submit_goaway(it.second->link.session, NGHTTP2_FLAG_NONE, it.second->last_stream,
                          NGHTTP2_NO_ERROR, nullptr, 0);
    FlushConnection(server, *it.second, now);
  }
}

// Returns true if a drain has finished. A connection is kept until the requester closes it, so that no data
// in transit is lost.
bool IsIdle(PeerServer& server) {
  return server.connections.empty() && !IsPoolBusy(server.long_pool) && !IsPoolBusy(server.short_pool);
}

void Sweep(PeerServer& server, absl::Time now) {
  std::vector<std::uint64_t> expired;
  for (const auto& it : server.connections) {
    const bool silent = !it.second->frame_received && now - it.second->accepted > kHandshakeDeadline;
    if (silent || now > it.second->linger_until) expired.push_back(it.first);
  }
  for (const std::uint64_t id : expired) CloseConnection(server, id);
  if (server.accept_again != absl::InfinitePast() && now >= server.accept_again && server.listener >= 0) {
    server.accept_again = absl::InfinitePast();
    WatchListener(server);
  }
}

void RunIoThread(PeerServer* server) {
  absl::Time next_sweep = absl::InfinitePast();
  while (true) {
    epoll_event events[64];
    const int n =
        epoll_wait(server->epoll, events, 64, static_cast<int>(absl::ToInt64Milliseconds(kSweepPeriod)));
    const absl::Time now = absl::Now();
    for (int it = 0; it < n; ++it) {
      const std::uint64_t id = events[it].data.u64;
      if (id == kWakeId) {
        std::uint64_t count = 0;
        [[maybe_unused]] const ssize_t bytes = read(server->wake, &count, sizeof(count));
      } else if (id == kListenId) {
        AcceptConnections(*server, now);
      } else {
        ServeConnection(*server, id, now);
      }
    }
    ResumeAnswers(*server, now);
    if (now >= next_sweep) {
      next_sweep = now + kSweepPeriod;
      Sweep(*server, now);
    }
    bool drain = false;
    {
      const std::lock_guard<std::mutex> lock(server->mutex);
      if (server->stop) return;
      drain = server->drain_requested;
    }
    if (drain && !server->draining) BeginDrain(*server, now);
    if (!server->draining) continue;
    const bool idle = IsIdle(*server);
    const std::lock_guard<std::mutex> lock(server->mutex);
    server->idle = idle && server->changed.empty();
    if (server->idle) server->drained.notify_all();
  }
}

leaf::result<int> Listen(const Endpoint& listen_at, int& port) {
  sockaddr_storage address;
  const socklen_t length = FillAddress(listen_at, address);
  if (length == 0)
    return Fail(ErrorKind::kInternal,
                absl::StrCat("cannot listen on ", listen_at.address, ": not an IP address"));
  const int fd = socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr* plain = reinterpret_cast<sockaddr*>(&address);
  if (fd < 0 || bind(fd, plain, length) != 0 || listen(fd, SOMAXCONN) != 0) {
    const int code = errno;
    if (fd >= 0) close(fd);
    return Fail(ErrorKind::kInternal,
                absl::StrCat("cannot listen on ", listen_at.address, ":", listen_at.port, ": errno ", code));
  }
  socklen_t size = sizeof(address);
  getsockname(fd, plain, &size);
  // The port is at the same offset in sockaddr_in and sockaddr_in6.
  port = ntohs(reinterpret_cast<sockaddr_in*>(&address)->sin_port);
  return fd;
}

void CloseAll(PeerServer& server) {
  while (!server.connections.empty()) CloseConnection(server, server.connections.begin()->first);
  if (server.listener >= 0) close(server.listener);
  server.listener = -1;
}

}  // namespace

leaf::result<PeerServerPtr> StartPeerServer(const Endpoint& listen, const std::string& secret,
                                            const PeerLimits& limits, PeerHandler handler) {
  int port = 0;
  BOOST_LEAF_AUTO(fd, Listen(listen, port));
  PeerServerPtr server(new PeerServer);
  server->secret = secret;
  server->limits = limits;
  server->handler = std::move(handler);
  server->listener = fd;
  server->port = port;
  server->epoll = epoll_create1(EPOLL_CLOEXEC);
  server->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  server->long_pool.max_threads = limits.handler_threads;
  server->long_pool.max_queue = static_cast<std::size_t>(limits.max_streams);
  server->short_pool.max_threads = kShortHandlerThreads;
  server->short_pool.max_queue = static_cast<std::size_t>(limits.max_streams);
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.u64 = kWakeId;
  epoll_ctl(server->epoll, EPOLL_CTL_ADD, server->wake, &event);
  WatchListener(*server);
  server->io_thread = std::thread(RunIoThread, server.get());
  return server;
}

int PeerServerPort(const PeerServer& server) { return server.port; }

PeerTraffic PeerServerTraffic(const PeerServer& server) { return SnapshotTraffic(server.counters); }

void DrainPeerServer(PeerServer& server, absl::Duration deadline) {
  std::unique_lock<std::mutex> lock(server.mutex);
  server.drain_requested = true;
  Wake(server.wake);
  // Limited because the conversion of an infinite deadline would overflow.
  const absl::Duration wait = std::min(deadline, kMaxWait);
  server.drained.wait_for(lock, absl::ToChronoMilliseconds(wait), [&] { return server.idle; });
}

void PeerServerDeleter::operator()(PeerServer* server) const {
  if (server == nullptr) return;
  if (server->io_thread.joinable()) {
    {
      const std::lock_guard<std::mutex> lock(server->mutex);
      server->stop = true;
      Wake(server->wake);
    }
    server->io_thread.join();
    // Cancels all answers, so that handlers that are blocked in their sink return.
    CloseAll(*server);
    StopPool(server->long_pool);
    StopPool(server->short_pool);
  }
  if (server->listener >= 0) close(server->listener);
  if (server->wake >= 0) close(server->wake);
  if (server->epoll >= 0) close(server->epoll);
  delete server;
}

}  // namespace oleander
