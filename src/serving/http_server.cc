#include "serving/http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>
#include <vector>

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
}  // namespace

struct HttpServer::Connection {
  explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}

  std::uint64_t id = 0;
  tcp::socket socket;
  RequestReader reader;
  http::response<http::string_body> outbound;
  ExchangeId exchange = 0;  // 0: no request is being processed
  bool writing = false;
  bool lingering = false;  // the last answer has been sent
  std::function<void()> on_disconnect;
  absl::Time read_started;  // start of the current read of a request
  TimerId timer = 0;
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
    ConnectionPtr connection = std::make_shared<Connection>(std::move(socket));
    boost::system::error_code ignored;  // without the option only latency suffers
    connection->socket.set_option(tcp::no_delay(true), ignored);
    connection->id = next_id_++;
    connections_[connection->id] = connection;
    StartRequest(connection);
    Accept();
  });
}

void HttpServer::StartRequest(const ConnectionPtr& connection) {
  connection->read_started = loop_.Now();
  if (connection->timer == 0) ScheduleIdleCheck(connection);
  Advance(connection);
}

void HttpServer::Receive(const ConnectionPtr& connection) {
  connection->socket.async_read_some(connection->reader.buffer.prepare(BytesToReceive(connection->reader)),
                                     [this, connection](boost::system::error_code ec, std::size_t n) {
                                       if (!connection->socket.is_open()) return;
                                       connection->reader.buffer.commit(n);
                                       if (ec) {
                                         Close(connection);
                                       } else {
                                         Advance(connection);
                                       }
                                     });
}

// Closes the connection if no complete request arrives within the idle timeout.
void HttpServer::ScheduleIdleCheck(const ConnectionPtr& connection) {
  connection->timer = loop_.After(limits_.idle_timeout, [this, connection] {
    connection->timer = 0;
    if (!connection->socket.is_open()) return;
    const bool reading = connection->exchange == 0 && !connection->writing;
    if (reading && loop_.Now() - connection->read_started >= limits_.idle_timeout) {
      Close(connection);
      return;
    }
    ScheduleIdleCheck(connection);
  });
}

void HttpServer::Advance(const ConnectionPtr& connection) {
  const ReadOutcome outcome = serving::ReadRequest(connection->reader, limits_, host_required_);
  if (outcome.state == ReadState::kNeedsBytes) {
    Receive(connection);
    return;
  }
  if (outcome.state == ReadState::kRefused) {
    if (outcome.fault != HeadFault::kNone) {
      AddCounter(GlobalMetrics(), "requests_malformed", NameOf(outcome.fault));
      LogEventLine(LogLevel::kInfo, LogEvent::kRequestMalformed, {{"reason", NameOf(outcome.fault)}});
    }
    WriteResponse(connection, {outcome.status, "", {}, ""}, true);
    return;
  }
  connection->exchange = next_id_++;
  exchanges_[connection->exchange] = connection;
  WatchForDisconnect(connection);
  on_request_(connection->exchange, std::move(connection->reader.request));
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
  outbound.body() = std::move(response.body);
  outbound.keep_alive(!close);
  outbound.prepare_payload();
  connection->writing = true;
  boost::system::error_code ignored;  // cancels the wait of WatchForDisconnect
  connection->socket.cancel(ignored);
  http::async_write(connection->socket, outbound,
                    [this, connection, close](boost::system::error_code ec, std::size_t) {
                      connection->writing = false;
                      if (!connection->socket.is_open()) return;
                      if (ec) {
                        Close(connection);
                      } else if (close || !acceptor_.is_open()) {
                        Linger(connection);
                      } else {
                        StartRequest(connection);
                      }
                    });
}

// Ends a connection after its last answer. Closing it while it has unread bytes, such as the rest of a
// refused body, resets it, and the reset may overtake the answer (RFC 9112, 9.6). So the caller closes first.
void HttpServer::Linger(const ConnectionPtr& connection) {
  connection->lingering = true;
  boost::system::error_code ignored;
  connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
  loop_.Cancel(connection->timer);
  connection->timer = loop_.After(kLingerTime, [this, connection] {
    connection->timer = 0;
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
    if (it.second->exchange == 0 && !it.second->writing && !IsReading(it.second->reader))
      idle.push_back(it.second);
  }
  for (const ConnectionPtr& it : idle) Close(it);
}

void HttpServer::Close(const ConnectionPtr& connection) {
  if (connection->exchange != 0) exchanges_.erase(connection->exchange);
  connection->exchange = 0;
  loop_.Cancel(connection->timer);
  connection->timer = 0;
  boost::system::error_code ignored;
  connection->socket.close(ignored);
  connections_.erase(connection->id);
}

}  // namespace oleander::serving
