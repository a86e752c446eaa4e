#include "links/http_client.h"

#include <poll.h>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "absl/time/clock.h"
#include "oleander/serving.h"

namespace oleander {
namespace {

// Returns true if an idle connection has received bytes or was closed by the server; it must not be
// reused.
bool HasUnexpectedInput(const httplib::Client& client) {
  pollfd fd = {static_cast<int>(client.socket()), POLLIN, 0};
  return fd.fd < 0 || poll(&fd, 1, 0) != 0;
}

std::string PoolKey(const Endpoint& endpoint) { return absl::StrCat(endpoint.address, ":", endpoint.port); }

std::unique_ptr<httplib::Client> TakeIdle(HttpPool& pool, const std::string& key, absl::Time now) {
  absl::MutexLock lock(&pool.mutex);
  const auto it = pool.idle.find(key);
  if (it == pool.idle.end()) return nullptr;
  while (!it->second.empty()) {
    IdleConnection connection = std::move(it->second.back());
    it->second.pop_back();
    if (now - connection.since > pool.max_idle) {
      it->second.clear();
      return nullptr;
    }
    if (!HasUnexpectedInput(*connection.client)) return std::move(connection.client);
  }
  return nullptr;
}

void PutIdle(HttpPool& pool, const std::string& key, std::unique_ptr<httplib::Client> client) {
  absl::MutexLock lock(&pool.mutex);
  std::deque<IdleConnection>& idle = pool.idle[key];
  if (static_cast<int>(idle.size()) >= pool.max_idle_per_endpoint) return;
  idle.push_back({std::move(client), absl::Now()});
}

std::unique_ptr<httplib::Client> Connect(const HttpPool& pool, const Endpoint& endpoint) {
  std::unique_ptr<httplib::Client> client =
      std::make_unique<httplib::Client>(endpoint.address, endpoint.port);
  client->set_connection_timeout(absl::ToChronoMicroseconds(pool.connect_deadline));
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  return client;
}

httplib::Request MakeRequest(const HttpCall& call) {
  httplib::Request request;
  request.method = call.method;
  request.path = call.path;
  for (const std::pair<std::string, std::string>& it : call.headers) request.set_header(it.first, it.second);
  if (!call.body.empty()) request.set_header("Content-Type", call.content_type);
  request.body = call.body;
  return request;
}

// State of one call, set by its callbacks.
struct Progress {
  bool headers_seen = false;
  bool invalid_status = false;
  bool cancelled = false;  // by on_data
  bool too_large = false;  //
  bool timed_out = false;  //
};

leaf::error_id FailCall(const Endpoint& endpoint, const HttpCall& call, httplib::Error ec,
                        const Progress& progress, absl::Duration elapsed) {
  const std::string what = absl::StrCat(call.method, " ", PoolKey(endpoint), call.path, ": ");
  if (ec == httplib::Error::Connection || ec == httplib::Error::ConnectionTimeout ||
      ec == httplib::Error::BindIPAddress) {
    return Fail(ErrorKind::kUpstreamRefused, absl::StrCat(what, "no connection"));
  }
  if (progress.invalid_status)
    return Fail(ErrorKind::kUpstreamProtocol, absl::StrCat(what, "answer with an invalid status"));
  if (progress.too_large) {
    return Fail(ErrorKind::kUpstreamProtocol,
                absl::StrCat(what, "answer exceeds ", call.max_answer_bytes, " bytes"));
  }
  // httplib reports a read timeout as a failed read, so a read that fails after the deadline counts as a
  // timeout.
  if (progress.timed_out || elapsed >= call.deadline) {
    return Fail(ErrorKind::kUpstreamTimeout, absl::StrCat(what, "no complete answer before the deadline"));
  }
  if (progress.headers_seen)
    return Fail(ErrorKind::kUpstreamProtocol, absl::StrCat(what, "answer is truncated"));
  return Fail(ErrorKind::kUpstreamFailed, absl::StrCat(what, "connection lost: ", httplib::to_string(ec)));
}

}  // namespace

leaf::result<HttpAnswer> SendHttp(HttpPool& pool, const Endpoint& endpoint, const HttpCall& call) {
  const absl::Time start = absl::Now();
  const std::string key = PoolKey(endpoint);
  std::unique_ptr<httplib::Client> client = TakeIdle(pool, key, start);
  if (client == nullptr) client = Connect(pool, endpoint);
  client->set_read_timeout(absl::ToChronoMicroseconds(call.deadline));
  client->set_write_timeout(absl::ToChronoMicroseconds(call.deadline));

  HttpAnswer answer;
  Progress progress;
  absl::Time last_data = start;
  httplib::Request request = MakeRequest(call);
  request.response_handler = [&](const httplib::Response& response) {
    progress.headers_seen = true;
    answer.status = response.status;
    answer.headers = response.headers;
    progress.invalid_status = !serving::IsHttpStatus(response.status);
    return !progress.invalid_status;
  };
  request.content_receiver = [&](const char* data, std::size_t n, std::uint64_t, std::uint64_t) {
    last_data = absl::Now();
    if (call.on_data != nullptr && answer.status == 200) {
      progress.cancelled = !call.on_data(data, n);
      return !progress.cancelled;
    }
    progress.too_large = answer.body.size() + n > call.max_answer_bytes;
    progress.timed_out = last_data - start > call.deadline;
    if (progress.too_large || progress.timed_out) return false;
    answer.body.append(data, n);
    return true;
  };
  const httplib::Result result = client->send(request);
  if (!result) {
    if (progress.cancelled) return answer;
    const absl::Duration elapsed = absl::Now() - (call.on_data != nullptr ? last_data : start);
    return FailCall(endpoint, call, result.error(), progress, elapsed);
  }
  answer.status = result->status;
  answer.headers = result->headers;
  // The server may close the connection after an answer. Further bytes after the answer are a protocol error.
  const bool keep = !absl::EqualsIgnoreCase(HeaderValue(answer.headers, "Connection"), "close");
  if (keep) {
    pollfd fd = {static_cast<int>(client->socket()), POLLIN, 0};
    char byte = 0;
    if (fd.fd >= 0 && poll(&fd, 1, 0) > 0 && recv(fd.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) {
      return Fail(ErrorKind::kUpstreamProtocol,
                  absl::StrCat(call.method, " ", key, call.path, ": unexpected bytes after the answer"));
    }
    if (fd.fd >= 0) PutIdle(pool, key, std::move(client));
  }
  return answer;
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

std::string HeaderValue(const httplib::Headers& headers, const std::string& name) {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

}  // namespace oleander
