#include "serving/http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "absl/strings/str_format.h"
#include "oleander/log_events.h"
#include "oleander/metrics.h"
#include "serving/http_address.h"
#include "serving/request_reader.h"

namespace oleander::serving {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {
constexpr int kListenBacklog = 1024;
constexpr std::size_t kDiscardBytes = 16 << 10;           // in one read
constexpr absl::Duration kLingerTime = absl::Seconds(2);  // for the caller to read its last answer and close
// After a failed accept, for example when the process has no free file descriptors.
constexpr absl::Duration kAcceptRetryDelay = absl::Milliseconds(50);
constexpr absl::Duration kTimeoutCheckInterval = absl::Milliseconds(500);
// A connection makes progress with each of these. Single bytes now and then are none.
constexpr std::size_t kProgressBytes = 16 << 10;
// A body or an answer without progress for this long may lose its connection to a new one.
constexpr absl::Duration kTransferStall = absl::Seconds(1);
// A body or an answer without progress for this long gives its room to one that waits.
constexpr absl::Duration kRoomStall = absl::Milliseconds(500);
// Longer than kRoomStall, so that a request that waits outlasts those that have stalled before it came.
constexpr absl::Duration kMaxRoomWait = absl::Milliseconds(600);
constexpr absl::Duration kRoomCheckInterval = absl::Milliseconds(20);
// Retry-After of a request without room: these seconds and up to as many again, so that callers that were
// refused together do not return together.
constexpr double kMinRetryAfterSeconds = 0.3;

// HTTP statuses: the request has not run.
constexpr int kRequestTimeout = 408;
constexpr int kServiceUnavailable = 503;

// Why the reader refuses a request, by the status of the answer.
std::string_view ReasonOf(int status) {
  switch (status) {
    case 413:
      return "body_too_large";
    case 431:
      return "head_too_large";
    default:
      return "malformed";
  }
}
}  // namespace

struct HttpServer::Connection {
  explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}

  std::uint64_t id = 0;
  tcp::socket socket;
  RequestReader reader;
  http::response<http::string_body> outbound;
  std::optional<http::response_serializer<http::string_body>> serializer;  // of `outbound`
  std::shared_ptr<void> answer_held;  // room of `outbound`, until it is written
  bool close_after_answer = false;
  ExchangeId exchange = 0;  // 0: no request is being processed
  bool writing = false;
  bool lingering = false;  // the last answer has been sent
  std::function<void()> on_disconnect;
  absl::Time head_started;      // first byte of the request that is being received
  absl::Time progress_at;       // start of the current read or write, or when it last made progress
  std::size_t unaccounted = 0;  // bytes read or written since then
  TimerId linger_timer = 0;
  HeldCharge charge;          // for the request that is being received
  std::size_t body_room = 0;  // part of the charge
  bool awaits_room = false;
  absl::Time room_wanted_at;  //

  void StartProgress(absl::Time now) {
    progress_at = now;
    unaccounted = 0;
  }
  void NoteProgress(std::size_t n, absl::Time now) {
    unaccounted += n;
    if (unaccounted >= kProgressBytes) StartProgress(now);
  }
};

HttpServer::HttpServer(EventLoop& loop, RequestHandler on_request)
    : loop_(loop), on_request_(std::move(on_request)), acceptor_(loop.Context()) {}
HttpServer::~HttpServer() = default;

bool HttpServer::Listen(const std::string& address) {
  const std::optional<tcp::endpoint> endpoint = ParseAddress(address);
  if (!endpoint) return false;
  boost::system::error_code ec;
  acceptor_.open(endpoint->protocol(), ec);
  if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor_.bind(*endpoint, ec);
  if (!ec) acceptor_.listen(kListenBacklog, ec);
  if (ec) return false;
  Accept();
  return true;
}

void HttpServer::Accept() {
  acceptor_.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (ec) {
      loop_.After(kAcceptRetryDelay, [this] {
        if (acceptor_.is_open()) Accept();
      });
      return;
    }
    AdmitConnection(std::move(socket));
    if (!accept_paused_) Accept();
  });
}

void HttpServer::AdmitConnection(tcp::socket socket) {
  ConnectionPtr connection = std::make_shared<Connection>(std::move(socket));
  boost::system::error_code ignored;  // without the option only latency suffers
  connection->socket.set_option(tcp::no_delay(true), ignored);
  connection->id = next_id_++;
  connection->charge = HeldCharge(account_, HeldKind::kRequests);
  connections_[connection->id] = connection;
  if (connections_.size() > max_connections_) {
    accept_paused_ = !CloseLeastActive(connection->id);
    AddCounter(GlobalMetrics(), "connections_limited", accept_paused_ ? "accept_paused" : "closed");
  }
  StartRequest(connection);
  ScheduleTimeoutCheck();
}

// Closes the connection that has made no progress for the longest time, among those that have no request in
// progress and transfer no body or answer. Returns false if there is none.
bool HttpServer::CloseLeastActive(std::uint64_t except) {
  const absl::Time now = loop_.Now();
  ConnectionPtr least;
  for (const std::pair<const std::uint64_t, ConnectionPtr>& it : connections_) {
    const Connection& candidate = *it.second;
    if (it.first == except || candidate.exchange != 0) continue;
    const bool transferring = candidate.writing || candidate.reader.parser;
    if (transferring && now - candidate.progress_at < kTransferStall) continue;
    if (least == nullptr || candidate.progress_at < least->progress_at) least = it.second;
  }
  if (least == nullptr) return false;
  Close(least);
  return true;
}

void HttpServer::StartRequest(const ConnectionPtr& connection) {
  connection->StartProgress(loop_.Now());
  connection->head_started = connection->progress_at;
  Advance(connection);
}

// Returns false if the account has no room for what is received next.
bool HttpServer::TakeRoom(Connection& connection) {
  const std::size_t room = std::max(connection.body_room, BodyRoomNeeded(connection.reader, limits_));
  const std::size_t memory = HeadAndBufferMemory(connection.reader) + room;
  if (!IsReading(connection.reader)) {
    connection.charge.Resize(memory);  // bounded by the number of connections
  } else if (!connection.charge.TryResize(memory)) {
    return false;
  }
  if (room > connection.body_room) ReserveBody(connection.reader, limits_, room);
  connection.body_room = room;
  return true;
}

void HttpServer::AwaitRoom(const ConnectionPtr& connection) {
  connection->awaits_room = true;
  connection->room_wanted_at = loop_.Now();
  awaiting_room_.push_back(connection);
  ScheduleRoomCheck();
}

void HttpServer::ScheduleRoomCheck() {
  if (room_check_ != 0 || awaiting_room_.empty()) return;
  room_check_ = loop_.After(kRoomCheckInterval, [this] {
    room_check_ = 0;
    CheckRoom();
    ScheduleRoomCheck();
  });
}

void HttpServer::CheckRoom() {
  GiveRoomToWaiting();
  while (!awaiting_room_.empty() && RefuseStalled()) GiveRoomToWaiting();
  while (!awaiting_room_.empty()) {
    std::vector<RoomWaiter> waiters;
    for (const ConnectionPtr& it : awaiting_room_)
      waiters.push_back({it->id, BodyReceived(it->reader), it->room_wanted_at});
    const std::uint64_t refused = ChooseRefused(waiters, kMaxRoomWait, loop_.Now());
    if (refused == 0) return;
    Refuse(connections_.at(refused), kServiceUnavailable, "no_room");
    GiveRoomToWaiting();
  }
}

// Lets requests go on that have room now, oldest first.
void HttpServer::GiveRoomToWaiting() {
  std::erase_if(awaiting_room_, [this](const ConnectionPtr& it) {
    if (!it->awaits_room || !it->socket.is_open()) return true;
    if (!TakeRoom(*it)) return false;
    it->awaits_room = false;
    it->StartProgress(loop_.Now());
    Receive(it);
    return true;
  });
}

// Refuses the request that has made no progress for the longest time, if that is long enough. Returns false
// if there is none.
bool HttpServer::RefuseStalled() {
  ConnectionPtr stalled;
  for (const std::pair<const std::uint64_t, ConnectionPtr>& it : connections_) {
    const Connection& candidate = *it.second;
    if (candidate.exchange != 0 || candidate.writing || candidate.lingering || candidate.awaits_room)
      continue;
    if (!IsReading(candidate.reader) || loop_.Now() - candidate.progress_at < kRoomStall) continue;
    if (stalled == nullptr || candidate.progress_at < stalled->progress_at) stalled = it.second;
  }
  if (stalled == nullptr) return false;
  Refuse(stalled, kRequestTimeout, "stalled");
  return true;
}

void HttpServer::Receive(const ConnectionPtr& connection) {
  connection->socket.async_read_some(
      connection->reader.buffer.prepare(BytesToReceive(connection->reader)),
      [this, connection](boost::system::error_code ec, std::size_t n) {
        // A read is cancelled when the request is refused.
        if (!connection->socket.is_open() || connection->writing || connection->lingering) return;
        if (ec) {
          Close(connection);
          return;
        }
        const absl::Time now = loop_.Now();
        if (!IsReading(connection->reader)) {
          connection->head_started = now;
          connection->StartProgress(now);
        }
        connection->NoteProgress(n, now);
        connection->reader.buffer.commit(n);
        Advance(connection);
      });
}

// When the connection has been without progress for too long, as far as that is the caller's turn.
absl::Time HttpServer::Deadline(const Connection& connection) const {
  if (connection.exchange != 0 || connection.lingering || connection.awaits_room)
    return absl::InfiniteFuture();
  if (!connection.writing && !connection.reader.parser && connection.reader.buffer.size() > 0)
    return connection.head_started + limits_.header_timeout;
  return connection.progress_at + limits_.idle_timeout;
}

void HttpServer::ScheduleTimeoutCheck() {
  if (timeout_check_ != 0 || connections_.empty()) return;
  timeout_check_ = loop_.After(kTimeoutCheckInterval, [this] {
    timeout_check_ = 0;
    CheckTimeouts();
    ScheduleTimeoutCheck();
  });
}

void HttpServer::CheckTimeouts() {
  const absl::Time now = loop_.Now();
  std::vector<ConnectionPtr> expired;
  for (const std::pair<const std::uint64_t, ConnectionPtr>& it : connections_) {
    if (now >= Deadline(*it.second)) expired.push_back(it.second);
  }
  for (const ConnectionPtr& it : expired) {
    // While this host was suspended, it may have received what the caller sent in time.
    boost::system::error_code ec;
    if (!it->writing && it->socket.available(ec) > 0 && !ec) continue;
    if (IsReading(it->reader) && !it->writing) {
      Refuse(it, kRequestTimeout, it->reader.parser ? "body_timeout" : "header_timeout");
    } else {
      if (it->writing) {
        AddCounter(GlobalMetrics(), "connections_closed", "answer_unread");
        LogEventLine(LogLevel::kInfo, LogEvent::kAnswerUnread, {{"bytes", it->outbound.body().size()}});
      }
      Close(it);
    }
  }
  if (accept_paused_) CloseLeastActive(0);
}

// Refuses a request of which a part has been received.
void HttpServer::Refuse(const ConnectionPtr& connection, int status, std::string_view reason) {
  AddCounter(GlobalMetrics(), "requests_refused_unread", reason);
  LogEventLine(LogLevel::kInfo, LogEvent::kRequestUnread, {{"reason", reason}, {"status", status}});
  boost::system::error_code ignored;
  connection->socket.cancel(ignored);  // the read into the buffer that Clear frees
  Clear(connection->reader);
  connection->charge.Resize(0);
  connection->awaits_room = false;
  HttpResponse response = {status, "", {}, ""};
  if (status == kServiceUnavailable) {
    const double seconds = kMinRetryAfterSeconds * (1 + static_cast<double>(connection->id % 16) / 16);
    response.headers.push_back({"Retry-After", absl::StrFormat("%.3f", seconds)});
  }
  WriteResponse(connection, std::move(response), true);
}

void HttpServer::Advance(const ConnectionPtr& connection) {
  const ReadOutcome outcome = serving::ReadRequest(connection->reader, limits_, host_required_);
  if (outcome.state == ReadState::kNeedsBytes) {
    if (TakeRoom(*connection)) {
      Receive(connection);
    } else {
      AwaitRoom(connection);
    }
    return;
  }
  if (outcome.state == ReadState::kRefused) {
    if (outcome.fault != HeadFault::kNone) {
      AddCounter(GlobalMetrics(), "requests_malformed", NameOf(outcome.fault));
      LogEventLine(LogLevel::kInfo, LogEvent::kRequestMalformed, {{"reason", NameOf(outcome.fault)}});
      WriteResponse(connection, {outcome.status, "", {}, ""}, true);
    } else {
      Refuse(connection, outcome.status, ReasonOf(outcome.status));
    }
    return;
  }
  // A head of many short fields takes many times its bytes.
  if (!connection->charge.TryResize(connection->reader.head_memory +
                                    connection->reader.request.body.size())) {
    Refuse(connection, kServiceUnavailable, "no_room");
    return;
  }
  connection->exchange = next_id_++;
  exchanges_[connection->exchange] = connection;
  WatchForDisconnect(connection);
  HttpRequest request = std::move(connection->reader.request);
  request.held = std::make_shared<HeldCharge>(std::move(connection->charge));
  connection->charge = HeldCharge(account_, HeldKind::kRequests);
  connection->charge.Resize(connection->reader.buffer.capacity());
  connection->body_room = 0;
  on_request_(connection->exchange, std::move(request));
}

// Reports a caller that closes its connection. Bytes of a pipelined request stay in the socket until the
// current request is answered.
void HttpServer::WatchForDisconnect(const ConnectionPtr& connection) {
  const ExchangeId exchange = connection->exchange;
  connection->socket.async_wait(tcp::socket::wait_read, [this, connection,
                                                         exchange](boost::system::error_code ec) {
    if (connection->exchange != exchange || exchange == 0) return;
    char byte = 0;
    const ssize_t n = ec ? 0 : recv(connection->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool alive = n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
    if (alive) return;
    std::function<void()> notify = std::move(connection->on_disconnect);
    connection->on_disconnect = nullptr;
    Close(connection);
    if (notify) notify();
  });
}

void HttpServer::OnCallerDisconnect(ExchangeId id, std::function<void()> fn) {
  const auto it = exchanges_.find(id);
  if (it != exchanges_.end()) it->second->on_disconnect = std::move(fn);
}

void HttpServer::Respond(ExchangeId id, HttpResponse response) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  const ConnectionPtr connection = it->second;
  exchanges_.erase(it);
  connection->exchange = 0;
  connection->on_disconnect = nullptr;
  WriteResponse(connection, std::move(response), closing_ || !connection->reader.keep_alive);
}

void HttpServer::WriteResponse(const ConnectionPtr& connection, HttpResponse response, bool close) {
  http::response<http::string_body>& outbound = connection->outbound;
  outbound = {};
  outbound.version(11);
  outbound.result(static_cast<unsigned>(response.status));
  if (!response.reason.empty()) outbound.reason(response.reason);
  for (const HeaderField& it : response.headers) {
    if (!IsConnectionHeader(it.name)) outbound.insert(it.name, it.value);
  }
  connection->answer_held = std::move(response.held);
  if (connection->answer_held == nullptr) {
    HeldCharge charge(account_, HeldKind::kAnswers);
    charge.Resize(response.body.size());
    connection->answer_held = std::make_shared<HeldCharge>(std::move(charge));
  }
  outbound.body() = std::move(response.body);
  outbound.keep_alive(!close);
  outbound.prepare_payload();
  connection->writing = true;
  connection->StartProgress(loop_.Now());
  boost::system::error_code ignored;  // cancels the wait of WatchForDisconnect
  connection->socket.cancel(ignored);
  connection->close_after_answer = close;
  connection->serializer.emplace(outbound);
  Write(connection);
}

// Writes in steps, so that a caller that reads slowly is told from one that does not read.
void HttpServer::Write(const ConnectionPtr& connection) {
  http::async_write_some(connection->socket, *connection->serializer,
                         [this, connection](boost::system::error_code ec, std::size_t n) {
                           if (!connection->socket.is_open()) return;
                           connection->NoteProgress(n, loop_.Now());
                           if (ec) {
                             Close(connection);
                           } else if (!connection->serializer->is_done()) {
                             Write(connection);
                           } else {
                             OnWritten(connection);
                           }
                         });
}

void HttpServer::OnWritten(const ConnectionPtr& connection) {
  connection->writing = false;
  connection->serializer.reset();
  std::string().swap(connection->outbound.body());  // an assignment would keep the memory
  connection->answer_held.reset();
  if (connection->close_after_answer || !acceptor_.is_open()) {
    Linger(connection);
  } else {
    StartRequest(connection);
  }
}

std::shared_ptr<void> HttpServer::TakeRoomForAnswer(std::size_t bytes) {
  HeldCharge charge(account_, HeldKind::kAnswers);
  while (!charge.TryResize(bytes)) {
    if (!CloseStalledReader()) return nullptr;
  }
  return std::make_shared<HeldCharge>(std::move(charge));
}

bool HttpServer::CloseStalledReader() {
  ConnectionPtr stalled;
  for (const std::pair<const std::uint64_t, ConnectionPtr>& it : connections_) {
    const Connection& candidate = *it.second;
    if (!candidate.writing || SizeOf(candidate.outbound.body().size()) == HeldSize::kSmall) continue;
    if (loop_.Now() - candidate.progress_at < kRoomStall) continue;
    if (stalled == nullptr || candidate.progress_at < stalled->progress_at) stalled = it.second;
  }
  if (stalled == nullptr) return false;
  AddCounter(GlobalMetrics(), "connections_closed", "reader_stalled");
  LogEventLine(LogLevel::kInfo, LogEvent::kAnswerUnread, {{"bytes", stalled->outbound.body().size()}});
  Close(stalled);
  return true;
}

// Ends a connection after its last answer. Closing it while it has unread bytes, such as the rest of a
// refused body, resets it, and the reset may overtake the answer (RFC 9112, 9.6). So the caller closes first.
void HttpServer::Linger(const ConnectionPtr& connection) {
  connection->lingering = true;
  Clear(connection->reader);
  connection->charge.Resize(0);
  boost::system::error_code ignored;
  connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
  connection->linger_timer = loop_.After(kLingerTime, [this, connection] {
    connection->linger_timer = 0;
    Close(connection);
  });
  Discard(connection);
}

void HttpServer::Discard(const ConnectionPtr& connection) {
  connection->reader.buffer.clear();
  connection->socket.async_read_some(connection->reader.buffer.prepare(kDiscardBytes),
                                     [this, connection](boost::system::error_code ec, std::size_t) {
                                       if (!connection->socket.is_open()) return;
                                       if (ec) {
                                         Close(connection);
                                       } else {
                                         Discard(connection);
                                       }
                                     });
}

bool HttpServer::IsBusy(const Connection& connection) {
  return connection.exchange != 0 || connection.writing || connection.lingering ||
         IsReading(connection.reader);
}

int HttpServer::BusyConnections() const {
  return static_cast<int>(std::count_if(
      connections_.begin(), connections_.end(),
      [](const std::pair<const std::uint64_t, ConnectionPtr>& it) { return IsBusy(*it.second); }));
}

void HttpServer::StopAccepting() {
  closing_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  std::vector<ConnectionPtr> idle;
  for (const std::pair<const std::uint64_t, ConnectionPtr>& it : connections_) {
    if (!IsBusy(*it.second)) idle.push_back(it.second);
  }
  for (const ConnectionPtr& it : idle) Close(it);
}

void HttpServer::Close(const ConnectionPtr& connection) {
  if (connection->exchange != 0) exchanges_.erase(connection->exchange);
  connection->exchange = 0;
  loop_.Cancel(connection->linger_timer);
  connection->linger_timer = 0;
  boost::system::error_code ignored;
  connection->socket.close(ignored);
  connection->awaits_room = false;
  connection->charge.Resize(0);
  connection->answer_held.reset();
  connections_.erase(connection->id);
  if (!accept_paused_ || connections_.size() > max_connections_) return;
  accept_paused_ = false;
  if (acceptor_.is_open()) Accept();
}

}  // namespace oleander::serving
