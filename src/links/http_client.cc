#include "links/http_client.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/system_error.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/string_view.h"
#include "absl/time/clock.h"
#include "serving/event_loop.h"
#include "serving/http_client.h"

namespace oleander {

struct HttpConnection {
  explicit HttpConnection(const serving::HttpClientLimits& limits) : http(loop, limits) {}

  serving::EventLoop loop;
  serving::HttpClient http;
};

HttpPool::HttpPool() = default;
HttpPool::~HttpPool() = default;

namespace {

// Graphic characters that are escaped in the target of a request.
constexpr std::string_view kEscapedInTarget = "+',;";

std::string PoolKey(const Endpoint& endpoint) { return absl::StrCat(endpoint.address, ":", endpoint.port); }

std::unique_ptr<HttpConnection> TakeIdle(HttpPool& pool, const std::string& key, absl::Time now) {
  absl::MutexLock lock(&pool.mutex);
  const auto it = pool.idle.find(key);
  if (it == pool.idle.end() || it->second.empty()) return nullptr;
  IdleConnection connection = std::move(it->second.back());
  it->second.pop_back();
  if (now - connection.since <= pool.max_idle) return std::move(connection.connection);
  it->second.clear();
  return nullptr;
}

void PutIdle(HttpPool& pool, const std::string& key, std::unique_ptr<HttpConnection> connection) {
  absl::MutexLock lock(&pool.mutex);
  std::deque<IdleConnection>& idle = pool.idle[key];
  if (static_cast<int>(idle.size()) >= pool.max_idle_per_endpoint) return;
  idle.push_back({std::move(connection), absl::Now()});
}

// Returns nullptr if the process has no descriptors left for the event loop.
std::unique_ptr<HttpConnection> MakeConnection(const HttpPool& pool) {
  serving::HttpClientLimits limits;
  limits.connect_timeout = pool.connect_deadline;
  limits.max_idle = pool.max_idle;
  limits.max_idle_per_address = 1;
  try {
    std::unique_ptr<HttpConnection> connection = std::make_unique<HttpConnection>(limits);
    // Asio opens the descriptors of an event loop with its first socket.
    const boost::asio::ip::tcp::socket first(connection->loop.Context());
    return connection;
  } catch (const boost::system::system_error&) {
    return nullptr;
  }
}

// Returns each address as "IP:PORT"; none if it is a name that cannot be resolved.
std::vector<std::string> Resolve(HttpConnection& connection, const Endpoint& endpoint) {
  boost::system::error_code ec;
  boost::asio::ip::make_address(endpoint.address, ec);
  if (!ec) return {PoolKey(endpoint)};
  boost::asio::ip::tcp::resolver resolver(connection.loop.Context());
  std::vector<std::string> addresses;
  for (const auto& it : resolver.resolve(endpoint.address, absl::StrCat(endpoint.port), ec))
    addresses.push_back(absl::StrCat(it.endpoint().address().to_string(), ":", endpoint.port));
  return addresses;
}

// Escapes what a target must not have as it is, and what a server may read as something else.
std::string EncodeTarget(std::string_view path) {
  std::string target;
  for (const char it : path) {
    const bool plain = absl::ascii_isgraph(static_cast<unsigned char>(it)) &&
                       kEscapedInTarget.find(it) == std::string_view::npos;
    if (plain) {
      target.push_back(it);
    } else {
      absl::StrAppendFormat(&target, "%%%02X", static_cast<unsigned char>(it));
    }
  }
  return target;
}

serving::HttpCall MakeCall(const HttpCall& call, const std::string& host, const std::string& address) {
  serving::HttpCall http;
  http.address = address;
  http.request.method = call.method;
  http.request.target = EncodeTarget(call.path);
  http.request.headers = {{"Host", host}};
  for (const std::pair<std::string, std::string>& it : call.headers)
    http.request.headers.push_back({it.first, it.second});
  if (!call.body.empty()) http.request.headers.push_back({"Content-Type", call.content_type});
  http.body = std::make_shared<const std::string>(call.body);
  http.max_body_bytes = call.max_answer_bytes;
  (call.on_data ? http.silence_timeout : http.timeout) = call.deadline;
  return http;
}

// State of one call, set by its handlers.
struct Progress {
  HttpAnswer answer;
  bool head_seen = false;
  bool cancelled = false;  // by on_data
  serving::CallEnd end = serving::CallEnd::kNotSent;
};

// Sends the request and waits for the end of the call.
void Exchange(HttpConnection& connection, const HttpCall& call, serving::HttpCall http, Progress& progress) {
  serving::HttpCallHandlers handlers;
  handlers.on_head = [&progress](const serving::HttpResponse& head) {
    progress.head_seen = true;
    progress.answer.status = head.status;
    progress.answer.headers = head.headers;
  };
  handlers.on_body = [&](std::string_view piece) {
    if (!call.on_data || progress.answer.status != 200) {
      progress.answer.body.append(piece);
      return;
    }
    progress.cancelled = progress.cancelled || !call.on_data(piece.data(), piece.size());
    if (progress.cancelled) connection.loop.Stop();
  };
  handlers.on_end = [&](serving::CallEnd end) {
    progress.end = end;
    connection.loop.Stop();
  };
  const serving::CallId id = connection.http.Start(std::move(http), std::move(handlers));
  connection.loop.Context().restart();
  connection.loop.Run();
  connection.http.Cancel(id);  // not by on_body: it would free the handler that runs
}

leaf::error_id FailCall(const Endpoint& endpoint, const HttpCall& call, const Progress& progress) {
  const std::string what = absl::StrCat(call.method, " ", PoolKey(endpoint), call.path, ": ");
  switch (progress.end) {
    case serving::CallEnd::kNotSent:
      return Fail(ErrorKind::kUpstreamRefused, what + "no connection");
    case serving::CallEnd::kTimedOut:
      return Fail(ErrorKind::kUpstreamTimeout, what + "no complete answer before the deadline");
    case serving::CallEnd::kTooLarge:
      return Fail(ErrorKind::kUpstreamProtocol,
                  absl::StrCat(what, "answer exceeds ", call.max_answer_bytes, " bytes"));
    default:
      break;
  }
  if (progress.head_seen)
    return Fail(ErrorKind::kUpstreamProtocol, what + "answer is truncated or malformed");
  return Fail(ErrorKind::kUpstreamFailed, what + "connection lost, or the head of the answer is malformed");
}

}  // namespace

leaf::result<HttpAnswer> SendHttp(HttpPool& pool, const Endpoint& endpoint, const HttpCall& call) {
  const std::string key = PoolKey(endpoint);
  std::unique_ptr<HttpConnection> connection = TakeIdle(pool, key, absl::Now());
  if (connection == nullptr) connection = MakeConnection(pool);
  if (connection == nullptr) return Fail(ErrorKind::kUpstreamRefused, key + ": no descriptors left");
  Progress progress;
  const std::int64_t surplus = connection->http.Counts().surplus;
  for (const std::string& address : Resolve(*connection, endpoint)) {
    Exchange(*connection, call, MakeCall(call, key, address), progress);
    if (progress.cancelled || progress.end != serving::CallEnd::kNotSent) break;
  }
  if (progress.cancelled) return std::move(progress.answer);
  if (progress.end != serving::CallEnd::kComplete) return FailCall(endpoint, call, progress);
  if (connection->http.Counts().surplus > surplus) {
    return Fail(ErrorKind::kUpstreamProtocol,
                absl::StrCat(call.method, " ", key, call.path, ": unexpected bytes after the answer"));
  }
  // The server may close the connection after an answer.
  if (!absl::EqualsIgnoreCase(HeaderValue(progress.answer.headers, "Connection"), "close"))
    PutIdle(pool, key, std::move(connection));
  return std::move(progress.answer);
}

leaf::result<std::pair<Endpoint, std::string>> ParseUrl(const std::string& url) {
  absl::string_view rest = url;
  constexpr absl::string_view scheme = "http://";
  if (!absl::StartsWith(rest, scheme))
    return Fail(ErrorKind::kInvalidRequest, url + ": expected http://ADDRESS:PORT");
  rest.remove_prefix(scheme.size());
  const std::size_t slash = rest.find('/');
  std::string path = slash == absl::string_view::npos ? "" : std::string(rest.substr(slash));
  const absl::string_view authority = rest.substr(0, slash);
  while (!path.empty() && path.back() == '/') path.pop_back();
  const std::size_t colon = authority.rfind(':');
  Endpoint endpoint;
  if (colon == absl::string_view::npos || !absl::SimpleAtoi(authority.substr(colon + 1), &endpoint.port) ||
      endpoint.port < 1 || endpoint.port > 65535) {
    return Fail(ErrorKind::kInvalidRequest, url + ": expected a port from 1 to 65535");
  }
  endpoint.address = std::string(authority.substr(0, colon));
  return std::make_pair(endpoint, path);
}

bool SaysLeaving(const HttpAnswer& answer) {
  return answer.status == 503 &&
         (absl::EqualsIgnoreCase(HeaderValue(answer.headers, "Oleander-Leaving"), "true") ||
          absl::EqualsIgnoreCase(HeaderValue(answer.headers, "Connection"), "close"));
}

std::string HeaderValue(const serving::Headers& headers, std::string_view name) {
  return std::string(serving::FindHeader(headers, name));
}

}  // namespace oleander
