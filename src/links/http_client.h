// Pooled HTTP connections to upstreams and to the platform, for threads that wait for the answer.
#ifndef OLEANDER_SRC_LINKS_HTTP_CLIENT_H_
#define OLEANDER_SRC_LINKS_HTTP_CLIENT_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "oleander/errors.h"
#include "oleander/serving.h"
#include "oleander/types.h"

namespace oleander {

struct HttpConnection;  // one connection, with an event loop of its own; takes four descriptors
struct IdleConnection {
  std::unique_ptr<HttpConnection> connection;
  absl::Time since;
};

// Pool of idle connections, keyed by "address:port". No request is sent while the lock is held.
struct HttpPool {
  HttpPool();
  ~HttpPool();
  absl::Duration connect_deadline = absl::Milliseconds(300);
  int max_idle_per_endpoint = 64;
  // Shorter than the usual server keep-alive timeout of 5 s, so that a server seldom closes an idle
  // connection while a request is being written to it. The client could not tell whether such a request ran.
  absl::Duration max_idle = absl::Seconds(3);
  absl::Mutex mutex;
  absl::flat_hash_map<std::string, std::deque<IdleConnection>> idle ABSL_GUARDED_BY(mutex);
};

struct HttpCall {
  std::string method = "GET";
  std::string path = "/";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string content_type = "application/json";
  absl::Duration deadline = absl::Seconds(5);  // of the whole call; with on_data: between two reads
  std::size_t max_answer_bytes = 64 << 20;     // a longer body is kUpstreamProtocol
  std::function<bool(const char* data, std::size_t n)>
      on_data;  // receives the body of a 200 answer in parts; false cancels the call
};

struct HttpAnswer {
  int status = 0;
  std::string body;  // empty if on_data received it
  serving::Headers headers;
};

// Errors: kUpstreamRefused (no connection, nothing was sent), kUpstreamTimeout, kUpstreamProtocol (the answer
// is truncated, too long, or followed by unexpected bytes), kUpstreamFailed (the connection was lost before
// the head of an answer, or the head is malformed). If `on_data` cancels the call, the part of the answer
// that was received is returned without an error.
leaf::result<HttpAnswer> SendHttp(HttpPool& pool, const Endpoint& endpoint, const HttpCall& call);

// "http://ADDRESS:PORT/PATH" -> endpoint and path without a trailing slash. Errors: kInvalidRequest.
leaf::result<std::pair<Endpoint, std::string>> ParseUrl(const std::string& url);

// Returns true for a 503 answer of an upstream that is shutting down: Oleander-Leaving: true, or Connection:
// close.
bool SaysLeaving(const HttpAnswer& answer);

// Returns "" if there is no such header.
std::string HeaderValue(const serving::Headers& headers, std::string_view name);

}  // namespace oleander

#endif  // OLEANDER_SRC_LINKS_HTTP_CLIENT_H_
