#include "serving/http_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <optional>
#include <utility>

#include "oleander/log_events.h"
#include "oleander/metrics.h"
#include "serving/http_address.h"
#include "serving/http_framing.h"
#include "serving/request_reader.h"
#include "serving/text.h"

namespace oleander::serving {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::string_view kTimeoutParameter = "timeout=";  // of the Keep-Alive header
constexpr std::size_t kReadBytes = 8 << 10;  // for one read; Beast's default of 512 bytes splits each event
constexpr std::string_view kConnectionFailed = "connection_failed";  // reason in the log and the counter
constexpr int kSwitchingProtocols = 101;  // status code; this client never requests an upgrade
// An idle connection is dropped this long before the idle timeout that the peer states.
constexpr absl::Duration kKeepAliveMargin = absl::Milliseconds(500);
constexpr absl::Duration kMaxRoomWait = absl::Milliseconds(600);  // then the largest response is aborted
constexpr absl::Duration kRoomCheckInterval = absl::Milliseconds(20);
// Longest wait for the rest of a request to be written after its response has ended with the connection. A
// peer that has closed the connection answers the next bytes with a reset, which takes one round trip.
constexpr absl::Duration kMaxWriteAfterEnd = absl::Milliseconds(250);

// Returns the timeout parameter of a Keep-Alive header, or `fallback` if there is none.
absl::Duration ParseKeepAliveTimeout(std::string_view keep_alive, absl::Duration fallback) {
  for (const std::string_view part : SplitText(keep_alive, ",; ")) {
    int seconds = 0;
    if (part.starts_with(kTimeoutParameter) && ParseInteger(part.substr(kTimeoutParameter.size()), &seconds))
      return absl::Seconds(seconds);
  }
  return fallback;
}

}  // namespace

struct HttpClient::Connection : std::enable_shared_from_this<HttpClient::Connection> {
  explicit Connection(asio::io_context& context) : socket(context) { buffer.reserve(kReadBytes); }

  tcp::socket socket;
  std::string address;
  beast::flat_buffer buffer;
  std::optional<http::response_parser<http::string_body>> parser;
  http::request<http::span_body<const char>> outbound;
  std::shared_ptr<const std::string> outbound_body;  // that `outbound` refers to, until it is written
  bool keep_allowed = true;
  absl::Time idle_until;
  absl::Time last_received = absl::InfinitePast();  // last byte from the peer, over all calls

  // State of the call in progress.
  CallId call = 0;
  HttpCallHandlers handlers;
  bool connected = false;
  bool reused = false;  // it was idle before the call
  bool write_started = false;
  bool write_done = false;
  boost::system::error_code write_error;
  bool response_ended = false;  // by the end of the connection, while the request is still being written
  bool head_reported = false;
  bool head_request = false;  // a HEAD request: the response has no body
  std::size_t max_body_bytes = 0;
  HeadFault head_fault = HeadFault::kNone;  // of the response
  HttpResponse head;                        // of the response, until it is reported
  bool over_limit = false;                  // more than `max_body_bytes`, or than kMaxUnparsedBytes
  std::size_t received_bytes = 0;           // of the response, framing included
  std::size_t body_bytes = 0;               // of the response, decoded
  std::size_t head_memory = 0;              // of the response
  std::shared_ptr<HeldCharge> charge;       // for the response; shared with its receivers
  bool needs_no_room = false;
  bool awaits_room = false;
  absl::Time room_wanted_at;
  absl::Duration connect_timeout;
  absl::Duration silence_timeout;
  absl::Time started;
  absl::Time last_activity;
  absl::Time deadline;
  TimerId timer = 0;

  void Close() {
    boost::system::error_code ec;
    socket.close(ec);
  }
};

void HttpClient::ResetParser(Connection& connection) {
  connection.parser.emplace();
  // Beast reserves memory for a declared content length, so it gets the body limit; CheckSizeLimits enforces
  // the other limits.
  connection.parser->body_limit(connection.max_body_bytes);
  connection.parser->header_limit(std::numeric_limits<std::uint32_t>::max());
  connection.parser->eager(true);
  if (connection.head_request) connection.parser->skip(true);
}

HttpClient::HttpClient(EventLoop& loop, HttpClientLimits limits) : loop_(loop), limits_(limits) {}
HttpClient::~HttpClient() = default;

CallId HttpClient::Start(HttpCall call, HttpCallHandlers handlers) {
  const CallId id = next_id_++;
  ++counts_.calls;
  ConnectionPtr connection = call.fresh_connection ? nullptr : TakeIdle(call.address);
  if (connection == nullptr) {
    connection = std::make_shared<Connection>(loop_.Context());
    connection->address = call.address;
  }
  connection->call = id;
  connection->handlers = std::move(handlers);
  connection->reused = connection->connected;
  connection->write_started = false;
  connection->write_done = false;
  connection->write_error = {};
  connection->response_ended = false;
  connection->head_reported = false;
  connection->head_request = call.request.method == "HEAD";
  connection->max_body_bytes = call.max_body_bytes;
  connection->received_bytes = 0;
  connection->over_limit = false;
  connection->head_fault = HeadFault::kNone;
  connection->body_bytes = 0;
  connection->head_memory = 0;
  connection->charge = std::make_shared<HeldCharge>(account_, HeldKind::kAnswers);
  connection->needs_no_room = call.needs_no_room;
  connection->awaits_room = false;
  connection->connect_timeout = limits_.connect_timeout;
  connection->silence_timeout = call.silence_timeout;
  connection->started = loop_.Now();
  connection->last_activity = connection->started;
  connection->deadline =
      call.timeout == absl::InfiniteDuration() ? absl::InfiniteFuture() : connection->started + call.timeout;
  ResetParser(*connection);

  http::request<http::span_body<const char>>& outbound = connection->outbound;
  outbound = {};
  outbound.version(11);
  outbound.method_string(call.request.method);
  outbound.target(call.request.target);
  for (const HeaderField& it : call.request.headers) {
    if (!IsConnectionHeader(it.name)) outbound.insert(it.name, it.value);
  }
  connection->outbound_body =
      call.body ? std::move(call.body) : std::make_shared<const std::string>(std::move(call.request.body));
  outbound.body() = {connection->outbound_body->data(), connection->outbound_body->size()};
  if (!outbound.body().empty() || (call.request.method != "GET" && call.request.method != "HEAD")) {
    outbound.content_length(outbound.body().size());
  }

  calls_[id] = connection;
  ScheduleTimeoutCheck(connection);
  if (connection->connected) {
    Send(connection);
  } else {
    Connect(connection);
  }
  return id;
}

CallId HttpClient::StartBuffered(HttpCall call, std::function<void(CallEnd, const HttpResponse&)> done,
                                 std::function<bool(const HttpResponse&)> accepts) {
  const std::shared_ptr<HttpResponse> answer = std::make_shared<HttpResponse>();
  HttpCallHandlers handlers;
  handlers.accepts = std::move(accepts);
  const std::size_t most = call.max_body_bytes;
  handlers.on_head = [answer, most](const HttpResponse& head) {
    *answer = head;
    answer->body.reserve(AnnouncedLength(head.headers, most));
  };
  handlers.on_body = [answer](std::string_view piece) { answer->body.append(piece); };
  handlers.on_end = [answer, done = std::move(done)](CallEnd end) { done(end, *answer); };
  return Start(std::move(call), std::move(handlers));
}

void HttpClient::Cancel(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  const ConnectionPtr connection = it->second;
  calls_.erase(it);
  connection->charge.reset();
  connection->awaits_room = false;
  loop_.Cancel(connection->timer);
  connection->call = 0;
  connection->handlers = {};
  connection->Close();
  if (connection->write_started && loop_.Now() - connection->last_activity >= limits_.suspect_after)
    CloseSuspects(connection->address, connection->last_activity);
}

HttpClient::ConnectionPtr HttpClient::TakeIdle(const std::string& address) {
  const auto it = idle_.find(address);
  if (it == idle_.end()) return nullptr;
  while (!it->second.empty()) {
    ConnectionPtr connection = std::move(it->second.back());
    it->second.pop_back();
    // The connection cannot be reused if the peer has closed it or has sent bytes without a request.
    char byte = 0;
    const ssize_t n = recv(connection->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool silent = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (silent && loop_.Now() < connection->idle_until) return connection;
    connection->Close();
  }
  return nullptr;
}

void HttpClient::CloseIdle() {
  const absl::Time now = loop_.Now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    while (!it->second.empty() && it->second.front()->idle_until <= now) {
      it->second.front()->Close();
      it->second.pop_front();
    }
    if (it->second.empty()) {
      idle_.erase(it++);
    } else {
      ++it;
    }
  }
}

void HttpClient::Connect(const ConnectionPtr& connection) {
  const CallId id = connection->call;
  const std::optional<tcp::endpoint> endpoint = ParseAddress(connection->address);
  if (!endpoint) {
    loop_.After(absl::ZeroDuration(), [this, connection, id] {
      if (connection->call == id) Finish(connection, CallEnd::kNotSent);
    });
    return;
  }
  ++counts_.connections;
  connection->socket.async_connect(*endpoint, [this, connection, id](boost::system::error_code ec) {
    if (connection->call != id) return;
    if (ec) {
      Finish(connection, CallEnd::kNotSent);
      return;
    }
    connection->connected = true;
    connection->last_activity = loop_.Now();
    boost::system::error_code ignored;  // without the option only latency suffers
    connection->socket.set_option(tcp::no_delay(true), ignored);
    Send(connection);
  });
}

// Starts to read while the request is being written: an upstream may respond before it has read the whole
// body.
void HttpClient::Send(const ConnectionPtr& connection) {
  const CallId id = connection->call;
  connection->write_started = true;
  http::async_write(connection->socket, connection->outbound,
                    [this, connection, id](boost::system::error_code ec, std::size_t) {
                      if (connection->call != id) return;
                      connection->write_done = !ec;
                      connection->write_error = ec;
                      connection->outbound.body() = {};
                      connection->outbound_body.reset();
                      if (connection->response_ended) OnEndOfConnection(connection);
                    });
  Receive(connection);
}

// Reads from the socket and feeds Beast's parser. Beast's own read function does not return while the next
// chunk header is incomplete, so events would be delivered only at the end of the response.
void HttpClient::Receive(const ConnectionPtr& connection) {
  if (!TakeRoom(*connection)) {
    AwaitRoom(connection);
    return;
  }
  const CallId id = connection->call;
  connection->socket.async_read_some(connection->buffer.prepare(kReadBytes),
                                     [this, connection, id](boost::system::error_code ec, std::size_t n) {
                                       if (connection->call != id) return;
                                       connection->buffer.commit(n);
                                       connection->received_bytes += n;
                                       if (n > 0) connection->last_received = loop_.Now();
                                       OnReceived(connection, !Parse(*connection, ec));
                                     });
}

// Returns false if the account has no room for what is received next.
bool HttpClient::TakeRoom(Connection& connection) {
  const std::size_t buffer = std::max(connection.buffer.capacity(), connection.buffer.size() + kReadBytes);
  const std::size_t memory = connection.head_memory + connection.body_bytes + buffer;
  if (!connection.needs_no_room) return connection.charge->TryResize(memory);
  connection.charge->Resize(memory);
  return true;
}

void HttpClient::AwaitRoom(const ConnectionPtr& connection) {
  connection->awaits_room = true;
  connection->room_wanted_at = loop_.Now();
  awaiting_room_.push_back(connection);
  ScheduleRoomCheck();
}

void HttpClient::ScheduleRoomCheck() {
  if (room_check_ != 0 || awaiting_room_.empty()) return;
  room_check_ = loop_.After(kRoomCheckInterval, [this] {
    room_check_ = 0;
    CheckRoom();
    ScheduleRoomCheck();
  });
}

void HttpClient::CheckRoom() {
  GiveRoomToWaiting();
  while (!awaiting_room_.empty() && on_no_room && on_no_room()) GiveRoomToWaiting();
  while (!awaiting_room_.empty() && loop_.Now() - awaiting_room_.front()->room_wanted_at >= kMaxRoomWait) {
    AbortLargest();
    GiveRoomToWaiting();
  }
}

// Reads on where there is room now, oldest first.
void HttpClient::GiveRoomToWaiting() {
  std::erase_if(awaiting_room_, [this](const ConnectionPtr& it) {
    if (!it->awaits_room) return true;
    if (!TakeRoom(*it)) return false;
    it->awaits_room = false;
    it->last_activity = loop_.Now();  // the silence was this host's
    Receive(it);
    return true;
  });
}

// Keeps the head of the response apart from the fields of a trailer, which the parser adds to the same
// message.
void HttpClient::TakeHead(Connection& connection) {
  const http::response<http::string_body>& message = connection.parser->get();
  connection.head = {static_cast<int>(message.result_int()), std::string(message.reason()), {}, ""};
  for (const http::fields::value_type& it : message)
    connection.head.headers.push_back({std::string(it.name_string()), std::string(it.value())});
  connection.head_memory = MemoryOf(connection.head.headers);
  connection.head.held = connection.charge;
}

// Returns false if the connection failed or the received bytes are not an HTTP response.
bool HttpClient::Parse(Connection& connection, boost::system::error_code received) {
  boost::system::error_code ec;
  if (received == asio::error::eof) {
    http::response_parser<http::string_body>& parser = *connection.parser;
    if (!parser.got_some()) return false;
    parser.put_eof(ec);
    connection.response_ended = !ec && parser.is_done();
    return connection.response_ended;
  }
  if (received) return false;
  connection.over_limit = connection.buffer.size() > kMaxUnparsedBytes;
  if (connection.over_limit) return false;
  while (connection.buffer.size() > 0 && !connection.parser->is_done()) {
    const std::string_view bytes(static_cast<const char*>(connection.buffer.data().data()),
                                 connection.buffer.size());
    std::optional<std::size_t> head_end;
    if (!connection.parser->is_header_done()) {
      head_end = FindHeadEnd(bytes);
      if (!head_end) return true;
      connection.head_fault = JudgeAnswerHead(bytes.substr(0, *head_end));
      if (connection.head_fault != HeadFault::kNone) return false;
    } else if (connection.parser->chunked() && MayBeCutLastChunk(bytes)) {
      return true;
    }
    const std::size_t used =
        connection.parser->put(asio::buffer(bytes.data(), head_end.value_or(bytes.size())), ec);
    connection.buffer.consume(used);
    if (ec == http::error::need_more) ec = {};
    connection.over_limit = ec == http::error::body_limit;
    if (ec) return false;
    if (used == 0) break;
    if (head_end && connection.parser->is_header_done()) TakeHead(connection);
    if (!connection.parser->is_done()) continue;
    // An interim response is followed by the final one (RFC 9110, 15.2).
    const int status = static_cast<int>(connection.parser->get().result_int());
    if (status == kSwitchingProtocols) return false;
    if (status < 200) ResetParser(connection);
  }
  return true;
}

// Adds `body_bytes` of the last read. Returns false if the response exceeds its limits.
bool HttpClient::CheckSizeLimits(const ConnectionPtr& connection, std::size_t body_bytes) {
  connection->body_bytes += body_bytes;
  const std::size_t framing =
      connection->received_bytes - std::min(connection->received_bytes, connection->body_bytes);
  return connection->body_bytes <= connection->max_body_bytes &&
         framing <= limits_.max_framing_bytes + connection->body_bytes;
}

// Ends the call with the largest response, so that the others have room. Call it while one waits for room.
void HttpClient::AbortLargest() {
  ConnectionPtr largest = awaiting_room_.front();
  for (const std::pair<const CallId, ConnectionPtr>& it : calls_) {
    if (!it.second->needs_no_room && it.second->body_bytes > largest->body_bytes) largest = it.second;
  }
  Finish(largest, CallEnd::kNoRoom);
}

void HttpClient::OnReceived(const ConnectionPtr& connection, bool failed) {
  const CallId id = connection->call;
  connection->last_activity = loop_.Now();
  http::response_parser<http::string_body>& parser = *connection->parser;
  const std::size_t body_bytes = parser.is_header_done() ? parser.get().body().size() : 0;
  if (!CheckSizeLimits(connection, body_bytes)) {
    Finish(connection, CallEnd::kTooLarge);
    return;
  }
  if (!failed && parser.is_header_done() && !connection->head_reported) {
    connection->head_reported = true;
    const HttpResponse head = std::move(connection->head);
    connection->idle_until =
        loop_.Now() + std::min(limits_.max_idle, ParseKeepAliveTimeout(FindHeader(head.headers, "Keep-Alive"),
                                                                       limits_.max_idle + kKeepAliveMargin) -
                                                     kKeepAliveMargin);
    if (connection->handlers.accepts && !connection->handlers.accepts(head)) {
      Finish(connection, CallEnd::kBroken);
      return;
    }
    if (connection->handlers.on_head) connection->handlers.on_head(head);
    if (connection->call != id) return;
  }
  if (connection->head_reported && !parser.get().body().empty()) {
    std::string piece;
    piece.swap(parser.get().body());
    if (connection->handlers.on_body) connection->handlers.on_body(piece);
    if (connection->call != id) return;
  }
  if (connection->head_fault != HeadFault::kNone)
    LogRefusedAnswer(*connection, NameOf(connection->head_fault));
  if (failed) {
    Finish(connection, connection->over_limit ? CallEnd::kTooLarge : CallEnd::kBroken);
  } else if (connection->response_ended) {
    OnEndOfConnection(connection);
  } else if (parser.is_done()) {
    Finish(connection, CallEnd::kComplete);
  } else {
    Receive(connection);
  }
}

// Handles a response that ended with its connection. It is complete unless the connection indicated an error
// (RFC 9112, 8). The system reports a reset only once: if the write of the request got it, the read that
// follows returns the end of the stream, as if the peer had closed the connection in order.
void HttpClient::OnEndOfConnection(const ConnectionPtr& connection) {
  if (connection->write_error) {
    LogRefusedAnswer(*connection, kConnectionFailed);
    Finish(connection, CallEnd::kBroken);
  } else if (connection->write_done) {
    Finish(connection, CallEnd::kComplete);
  } else {
    connection->deadline = std::min(connection->deadline, loop_.Now() + kMaxWriteAfterEnd);
    loop_.Cancel(connection->timer);
    ScheduleTimeoutCheck(connection);
  }
}

void HttpClient::Finish(const ConnectionPtr& connection, CallEnd end) {
  calls_.erase(connection->call);
  connection->charge->Resize(connection->head_memory + connection->body_bytes);
  connection->charge.reset();
  connection->awaits_room = false;
  connection->body_bytes = 0;
  if (end == CallEnd::kTooLarge || end == CallEnd::kNoRoom) {
    ++(end == CallEnd::kTooLarge ? counts_.too_large : counts_.no_room);
    AddCounter(GlobalMetrics(), "upstream_answers_refused", NameOf(end));
    LogEventLine(LogLevel::kWarning, LogEvent::kAnswerTooLarge,
                 {{"address", connection->address},
                  {"reason", NameOf(end)},
                  {"received", connection->received_bytes},
                  {"ms", absl::ToInt64Milliseconds(loop_.Now() - connection->started)}});
  }
  if (end == CallEnd::kTimedOut) {
    LogUnanswered(*connection);
    CloseSuspects(connection->address, connection->last_activity);
  }
  connection->call = 0;
  loop_.Cancel(connection->timer);
  HttpCallHandlers handlers = std::move(connection->handlers);
  connection->handlers = {};
  const bool surplus = end == CallEnd::kComplete && connection->buffer.size() > 0;
  if (surplus) ++counts_.surplus;
  const bool reusable =
      end == CallEnd::kComplete && connection->write_done && connection->parser->keep_alive() && !surplus;
  if (reusable) {
    KeepIdle(connection);
  } else {
    connection->Close();
  }
  if (handlers.on_end) handlers.on_end(end);
}

// Closes the idle connections to `address` that have received nothing after `silent_since`, when another
// connection to it fell silent: the network may have dropped all of them without a reset, and each would cost
// a call its whole timeout. Connections that have answered since are kept.
void HttpClient::CloseSuspects(const std::string& address, absl::Time silent_since) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) return;
  std::deque<ConnectionPtr>& idle = found->second;
  const std::size_t before = idle.size();
  std::erase_if(idle, [silent_since](const ConnectionPtr& it) {
    if (it->last_received > silent_since) return false;
    it->Close();
    return true;
  });
  const std::size_t closed = before - idle.size();
  if (closed == 0) return;
  AddCounter(GlobalMetrics(), "idle_connections_closed", "suspected_silent",
             static_cast<std::int64_t>(closed));
  LogEventLine(LogLevel::kInfo, LogEvent::kIdleConnectionsClosed,
               {{"address", address},
                {"closed", closed},
                {"kept", idle.size()},
                {"silent_ms", absl::ToInt64Milliseconds(loop_.Now() - silent_since)}});
}

void HttpClient::LogRefusedAnswer(const Connection& connection, std::string_view reason) const {
  AddCounter(GlobalMetrics(), "upstream_answers_refused", reason);
  Json line = {{"address", connection.address},
               {"reason", reason},
               {"received", connection.received_bytes},
               {"ms", absl::ToInt64Milliseconds(loop_.Now() - connection.started)}};
  if (connection.write_error) line["error"] = connection.write_error.message();
  LogEventLine(LogLevel::kWarning, LogEvent::kAnswerMalformed, line);
}

void HttpClient::LogUnanswered(const Connection& connection) const {
  const auto idle = idle_.find(connection.address);
  const absl::Time now = loop_.Now();
  Json line = {{"address", connection.address},
               {"reused", connection.reused},
               {"received", connection.received_bytes},
               {"silent_ms", absl::ToInt64Milliseconds(now - connection.last_activity)},
               {"ms", absl::ToInt64Milliseconds(now - connection.started)},
               {"idle_connections", idle == idle_.end() ? 0 : idle->second.size()}};
  if (connection.reused && connection.last_received < connection.started)
    line["idle_before_ms"] = absl::ToInt64Milliseconds(connection.started - connection.last_received);
  LogEventLine(LogLevel::kInfo, LogEvent::kCallUnanswered, line);
}

void HttpClient::KeepIdle(const ConnectionPtr& connection) {
  std::deque<ConnectionPtr>& idle = idle_[connection->address];
  connection->parser.reset();
  if (connection->buffer.capacity() > kReadBytes) connection->buffer.shrink_to_fit();
  idle.push_back(connection);
  while (static_cast<int>(idle.size()) > limits_.max_idle_per_address) {
    idle.front()->Close();
    idle.pop_front();
  }
}

void HttpClient::ScheduleTimeoutCheck(const ConnectionPtr& connection) {
  absl::Time next = connection->deadline;
  if (!connection->connected) {
    next = std::min(next, connection->started + connection->connect_timeout);
  } else if (connection->silence_timeout != absl::InfiniteDuration()) {
    next = std::min(next, connection->last_activity + connection->silence_timeout);
  }
  connection->timer = 0;
  if (next == absl::InfiniteFuture()) {
    // No limit applies at the moment; checks again later.
    next = loop_.Now() + limits_.connect_timeout;
  }
  const CallId id = connection->call;
  connection->timer = loop_.After(next - loop_.Now(), [this, connection, id] {
    if (connection->call == id) CheckTimeouts(connection);
  });
}

void HttpClient::CheckTimeouts(const ConnectionPtr& connection) {
  const absl::Time now = loop_.Now();
  const bool connect_timed_out =
      !connection->connected && now >= connection->started + connection->connect_timeout;
  const bool silent = connection->connected && !connection->awaits_room &&
                      connection->silence_timeout != absl::InfiniteDuration() &&
                      now >= connection->last_activity + connection->silence_timeout;
  if (connect_timed_out || silent || now >= connection->deadline) {
    const CallEnd end = connection->write_started ? CallEnd::kTimedOut : CallEnd::kNotSent;
    Finish(connection, connection->response_ended ? CallEnd::kComplete : end);
    return;
  }
  ScheduleTimeoutCheck(connection);
}

}  // namespace oleander::serving
