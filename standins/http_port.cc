#include "standins/http_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <condition_variable>
#include <deque>
#include <list>
#include <mutex>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace oleander::standins {
namespace {

// httplib occupies one thread per connection. This pool adds a thread whenever none is idle, so that a
// stand-in accepts any number of connections.
class GrowingThreadPool : public httplib::TaskQueue {
 public:
  void enqueue(std::function<void()> task) override {  // NOLINT(readability-identifier-naming)
    std::unique_lock<std::mutex> lock(mutex_);
    tasks_.push_back(std::move(task));
    if (static_cast<int>(tasks_.size()) > idle_) threads_.emplace_back([this] { RunThread(); });
    ready_.notify_one();
  }

  void shutdown() override {  // NOLINT(readability-identifier-naming)
    std::list<std::thread> threads;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      stopping_ = true;
      threads.swap(threads_);
    }
    ready_.notify_all();
    for (std::thread& it : threads) it.join();
  }

 private:
  void RunThread() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (true) {
      ++idle_;
      ready_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
      --idle_;
      if (tasks_.empty()) return;
      std::function<void()> task = std::move(tasks_.front());
      tasks_.pop_front();
      lock.unlock();
      task();
      lock.lock();
    }
  }

  std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<std::function<void()>> tasks_;
  std::list<std::thread> threads_;
  int idle_ = 0;
  bool stopping_ = false;
};

constexpr int kMaxDescriptors = 4096;

int PortOf(const sockaddr_storage& address) {
  if (address.ss_family == AF_INET) {
    return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
  }
  return -1;
}

bool IsControlRoute(const httplib::Request& req) { return req.path == "/fault" || req.path == "/books"; }

// Sends half of the announced length, or twice the announced length if `too_long`.
void CorruptBody(httplib::Response& res, bool too_long) {
  const std::string body = res.body.empty() ? std::string("{}") : res.body;
  const std::string type = res.get_header_value("Content-Type");
  res.body.clear();
  res.headers.erase("Content-Type");
  res.set_content_provider(body.size(), type.empty() ? "application/json" : type,
                           [body, too_long](std::size_t, std::size_t, httplib::DataSink& sink) {
                             if (too_long) {
                               const std::string body_twice = body + body;
                               return sink.write(body_twice.data(), body_twice.size());
                             }
                             sink.write(body.data(), body.size() / 2);
                             return false;
                           });
}

httplib::Server::HandlerResponse BeforeRoute(HttpPort& port, const httplib::Request& req,
                                             httplib::Response& res) {
  if (IsControlRoute(req)) return httplib::Server::HandlerResponse::Unhandled;
  const absl::Time now = absl::Now();
  if (ConsumeFault(port.faults, FaultKind::kDown, now)) {
    CloseConnections(port.endpoint.port, req.remote_port, 0);
    return httplib::Server::HandlerResponse::Handled;
  }
  const std::optional<double> slow_ms = ConsumeFault(port.faults, FaultKind::kSlowMs, now);
  if (slow_ms) absl::SleepFor(absl::Milliseconds(*slow_ms));
  if (PeekFault(port.faults, FaultKind::kLeaving, now)) {
    res.set_header("Oleander-Leaving", "true");
    res.set_header("Oleander-Not-Run", "true");
    AnswerJson(res, 503, {{"error", "leaving"}});
    return httplib::Server::HandlerResponse::Handled;
  }
  return httplib::Server::HandlerResponse::Unhandled;
}

void AfterRoute(HttpPort& port, const httplib::Request& req, httplib::Response& res) {
  if (IsControlRoute(req)) return;
  const absl::Time now = absl::Now();
  if (ConsumeFault(port.faults, FaultKind::kLoseAnswer, now)) {
    CloseConnections(port.endpoint.port, req.remote_port, 0);
    return;
  }
  // Engines apply these faults to their streams themselves.
  if (port.role.name == "engine") return;
  if (ConsumeFault(port.faults, FaultKind::kTruncate, now) ||
      ConsumeFault(port.faults, FaultKind::kCloseMidAnswer, now)) {
    CorruptBody(res, false);
  } else if (ConsumeFault(port.faults, FaultKind::kTooLong, now)) {
    CorruptBody(res, true);
  }
}

std::shared_ptr<httplib::Server> MakeServer(HttpPort& port) {
  auto server = std::make_shared<httplib::Server>();
  server->new_task_queue = [] { return new GrowingThreadPool(); };
  server->set_tcp_nodelay(true);
  server->set_keep_alive_max_count(1 << 30);
  server->set_payload_max_length(std::size_t{64} << 20);
  // httplib's default also sets SO_REUSEPORT, with which binding a port in use would succeed.
  server->set_socket_options([](socket_t sock) {
    const int yes = 1;
    setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  });
  server->set_pre_routing_handler(
      [&port](const httplib::Request& req, httplib::Response& res) { return BeforeRoute(port, req, res); });
  server->set_post_routing_handler(
      [&port](const httplib::Request& req, httplib::Response& res) { AfterRoute(port, req, res); });
  server->Get("/books", [&port](const httplib::Request&, httplib::Response& res) {
    AnswerJson(res, 200, port.role.audit_log());
  });
  server->Post("/fault", [&port](const httplib::Request& req, httplib::Response& res) {
    const Json body = Json::parse(req.body, nullptr, false);
    const Outcome<std::monostate> outcome =
        Capture<std::monostate>([&] { return HandleFault(port, body, req.remote_port); });
    if (Ok(outcome)) {
      AnswerJson(res, 200, {{"ok", true}});
    } else {
      AnswerJson(res, 400, {{"error", ErrorOf(outcome).detail}});
    }
  });
  port.role.routes(*server);
  return server;
}

bool Bind(HttpPort& port, httplib::Server& server) {
  if (port.endpoint.port == 0) {
    port.endpoint.port = server.bind_to_any_port(port.endpoint.address);
    return port.endpoint.port > 0;
  }
  return server.bind_to_port(port.endpoint.address, port.endpoint.port);
}

// Closes the listening socket and all connections except that from `keep_remote_port`. Waits until the server
// runs, because httplib ignores a stop before that.
void StopServing(HttpPort& port, int keep_remote_port) {
  std::shared_ptr<httplib::Server> server;
  {
    absl::MutexLock lock(&port.mutex);
    server = port.server;
    port.server = nullptr;
  }
  if (!server) return;
  while (!server->is_running()) absl::SleepFor(absl::Milliseconds(1));
  server->stop();
  CloseConnections(port.endpoint.port, 0, keep_remote_port);
}

// True also while the port closes, so that Serve can return.
bool IsCrashOver(HttpPort& port) {
  if (port.stopping) return true;
  return !PeekFault(port.faults, FaultKind::kCrash, absl::Now());
}

// Serves until the port is closed. A crash stops the server; a new one starts when the fault has ended.
void Serve(HttpPort& port, std::shared_ptr<httplib::Server> server) {
  while (true) {
    server->listen_after_bind();
    absl::MutexLock lock(&port.mutex);
    while (!IsCrashOver(port)) {
      port.mutex.Unlock();
      absl::SleepFor(absl::Milliseconds(10));
      port.mutex.Lock();
    }
    if (port.stopping) return;
    server = MakeServer(port);
    while (!Bind(port, *server)) absl::SleepFor(absl::Milliseconds(10));
    port.server = server;
  }
}

}  // namespace

HttpPort::~HttpPort() { ClosePort(*this); }

leaf::result<void> OpenPort(HttpPort& port) {
  std::shared_ptr<httplib::Server> server = MakeServer(port);
  if (!Bind(port, *server)) {
    return Fail(ErrorKind::kInternal,
                absl::StrCat(port.role.name, " ", port.role.id, ": port ", port.endpoint.address, ":",
                             port.endpoint.port, " cannot be bound, is it in use?"));
  }
  {
    absl::MutexLock lock(&port.mutex);
    port.server = server;
  }
  port.thread = std::thread([&port, server] { Serve(port, server); });
  return {};
}

leaf::result<std::unique_ptr<HttpPort>> OpenPort(const Endpoint& endpoint, PortRole role) {
  auto port = std::make_unique<HttpPort>();
  port->endpoint = endpoint;
  port->role = std::move(role);
  BOOST_LEAF_CHECK(OpenPort(*port));
  return port;
}

void ClosePort(HttpPort& port) {
  if (!port.thread.joinable()) return;
  {
    absl::MutexLock lock(&port.mutex);
    port.stopping = true;
  }
  if (port.role.on_stop) port.role.on_stop();
  StopServing(port, 0);
  port.thread.join();
}

leaf::result<void> HandleFault(HttpPort& port, const Json& body, int keep_remote_port) {
  BOOST_LEAF_AUTO(command, FaultCommandFromJson(body, absl::Now()));
  ApplyFault(port.faults, command);
  if (command.kind != FaultKind::kCrash || command.off) return {};
  if (port.role.on_crash) port.role.on_crash();
  StopServing(port, keep_remote_port);
  return {};
}

void CloseConnections(int local_port, int only_remote_port, int except_remote_port) {
  for (int fd = 3; fd < kMaxDescriptors; ++fd) {
    sockaddr_storage local{};
    sockaddr_storage remote{};
    socklen_t n = sizeof local;
    if (getsockname(fd, reinterpret_cast<sockaddr*>(&local), &n) != 0) continue;
    if (PortOf(local) != local_port) continue;
    n = sizeof remote;
    if (getpeername(fd, reinterpret_cast<sockaddr*>(&remote), &n) != 0) continue;
    const int remote_port = PortOf(remote);
    if (only_remote_port != 0 && remote_port != only_remote_port) continue;
    if (except_remote_port != 0 && remote_port == except_remote_port) continue;
    shutdown(fd, SHUT_RDWR);
  }
}

void AnswerJson(httplib::Response& res, int status, const Json& body) {
  res.status = status;
  res.set_content(body.dump(-1, ' ', false, Json::error_handler_t::replace), "application/json");
}

}  // namespace oleander::standins
