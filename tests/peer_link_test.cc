#include "oleander/peer_link.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

#include "absl/time/clock.h"

namespace oleander {
namespace {

constexpr absl::Duration kDeadline = absl::Seconds(20);
const std::string& Secret() {
  static const std::string secret = "secret-of-hosts";
  return secret;
}

// Used instead of absl::Notification, because ThreadSanitizer supports std::mutex but not the primitives of
// the system's Abseil library.
struct StdNotification {
  void Notify() {
    const std::lock_guard<std::mutex> lock(mutex);
    open = true;
    opened.notify_all();
  }
  void WaitForNotification() { EXPECT_TRUE(WaitForNotificationWithTimeout(kDeadline)); }
  bool WaitForNotificationWithTimeout(absl::Duration wait) {
    std::unique_lock<std::mutex> lock(mutex);
    return opened.wait_for(lock, absl::ToChronoMilliseconds(wait), [&] { return open; });
  }
  std::mutex mutex;
  std::condition_variable opened;
  bool open = false;
};

// Kinds: "count" streams the numbers below the number in the body, "fail" and "garbled" return an error, any
// other kind echoes the body.
leaf::result<std::string> HandleBasic(const std::string& kind, const std::string& body,
                                      const PeerSink& sink) {
  if (kind == "fail") return Fail(ErrorKind::kLeaseLost, "job " + body);
  if (kind == "garbled") return Fail(ErrorKind::kPeerProtocol, "cannot be decoded");
  if (kind != "count") return kind + ":" + body;
  for (int it = 0; it < std::stoi(body); ++it) {
    if (!sink(std::to_string(it))) return Fail(ErrorKind::kInternal, "requester disconnected");
  }
  return std::string("end");
}

PeerServerPtr Start(PeerHandler handler = HandleBasic, const PeerLimits& limits = {}) {
  PeerServerPtr server;
  Outcome<PeerServerPtr> outcome = Capture<PeerServerPtr>([&] {
    return StartPeerServer({"127.0.0.1", 0}, Secret(), limits, handler);
  });
  if (Ok(outcome)) server = std::move(Value(outcome));
  return server;
}

using PartFunction = std::function<bool(const std::string&)>;
Outcome<std::string> CallAt(PeerClient& client, int port, const std::string& kind, const std::string& body,
                            const PartFunction& on_part = nullptr) {
  return Capture<std::string>([&] {
    return CallPeer(client, {"127.0.0.1", port}, kind, body, kDeadline, on_part);
  });
}
std::string TextOf(const Outcome<std::string>& outcome) {
  return Ok(outcome) ? Value(outcome) : "error " + ErrorOf(outcome).detail;
}
std::string KindOf(const Outcome<std::string>& outcome) {
  return Ok(outcome) ? "ok" : std::string(DescribeError(ErrorOf(outcome).kind).name);
}

TEST(PeerLink, CallsShareOneConnection) {
  const PeerServerPtr server = Start();
  const PeerClientPtr client = MakePeerClient(Secret(), {});
  for (int it = 0; it < 20; ++it)
    EXPECT_EQ(TextOf(CallAt(*client, PeerServerPort(*server), "echo", std::to_string(it))),
              "echo:" + std::to_string(it));
  EXPECT_EQ(TextOf(CallAt(*client, PeerServerPort(*server), "echo", std::string(4 << 20, 'x'))).size(),
            5u + (4 << 20));
  EXPECT_EQ(PeerClientTraffic(*client).connections, 1);
}

TEST(PeerLink, StreamedPartsArriveInOrder) {
  const PeerServerPtr server = Start();
  const PeerClientPtr client = MakePeerClient(Secret(), {});
  int next = 0;
  const Outcome<std::string> outcome =
      CallAt(*client, PeerServerPort(*server), "count", "5000", [&](const std::string& part) {
        EXPECT_EQ(part, std::to_string(next));
        ++next;
        return true;
      });
  EXPECT_EQ(TextOf(outcome), "end");
  EXPECT_EQ(next, 5000);
}

TEST(PeerLink, ConcurrentCallsGetTheirOwnAnswers) {
  const PeerServerPtr server = Start();
  const PeerClientPtr client = MakePeerClient(Secret(), {});
  std::atomic<int> wrong{0};
  std::vector<std::thread> threads;
  for (int thread = 0; thread < 16; ++thread) {
    threads.emplace_back([&, thread] {
      for (int it = 0; it < 100; ++it) {
        const std::string body = std::to_string(thread * 1000 + it);
        if (TextOf(CallAt(*client, PeerServerPort(*server), "echo", body)) != "echo:" + body) ++wrong;
      }
    });
  }
  for (std::thread& it : threads) it.join();
  EXPECT_EQ(wrong, 0);
  EXPECT_EQ(PeerServerTraffic(*server).requests, 1600);
}

// Guards against access to a handler by a host of another deployment or by a caller.
TEST(PeerLink, WrongSecretIsRefusedBeforeTheHandler) {
  std::atomic<int> handled{0};
  const PeerServerPtr server =
      Start([&](const std::string&, const std::string&, const PeerSink&) -> leaf::result<std::string> {
        ++handled;
        return std::string();
      });
  for (const std::string secret : {"", "secret-of-other", "secret-of-hosts2", "secret-of-host"}) {
    const PeerClientPtr client = MakePeerClient(secret, {});
    EXPECT_EQ(KindOf(CallAt(*client, PeerServerPort(*server), "echo", "x")), "unauthenticated");
  }
  EXPECT_EQ(handled, 0);
}

TEST(PeerLink, HandlerErrorKeepsItsKind) {
  const PeerServerPtr server = Start();
  const PeerClientPtr client = MakePeerClient(Secret(), {});
  const Outcome<std::string> outcome = CallAt(*client, PeerServerPort(*server), "fail", "clues");
  ASSERT_FALSE(Ok(outcome));
  EXPECT_EQ(ErrorOf(outcome).kind, ErrorKind::kLeaseLost);
  EXPECT_EQ(ErrorOf(outcome).detail, "job clues");
}

TEST(PeerLink, NotificationsAreAnsweredAndUnreachableOnesDropped) {
  const PeerServerPtr server = Start();
  const PeerClientPtr client = MakePeerClient(Secret(), {});
  StdNotification answered;
  NotifyPeer(*client, {"127.0.0.1", 1}, "ping", "lost");
  NotifyPeer(*client, {"127.0.0.1", PeerServerPort(*server)}, "ping", "x", [&](const std::string& answer) {
    EXPECT_EQ(answer, "ping:x");
    answered.Notify();
  });
  EXPECT_TRUE(answered.WaitForNotificationWithTimeout(kDeadline));
}

// Guards against a host whose pings time out, so that it is suspected, while long streams occupy all of its
// handler threads.
TEST(PeerLink, PingIsAnsweredWhileAllHandlerThreadsAreBusy) {
  StdNotification release;
  PeerLimits limits;
  limits.handler_threads = 1;
  const PeerServerPtr server = Start(
      [&](const std::string& kind, const std::string&, const PeerSink&) -> leaf::result<std::string> {
        if (kind == "generate") release.WaitForNotification();
        return kind;
      },
      limits);
  const PeerClientPtr client = MakePeerClient(Secret(), {});
  std::thread first([&] { CallAt(*client, PeerServerPort(*server), "generate", ""); });
  std::thread second([&] { CallAt(*client, PeerServerPort(*server), "generate", ""); });
  EXPECT_EQ(TextOf(CallAt(*client, PeerServerPort(*server), "ping", "")), "ping");
  release.Notify();
  first.join();
  second.join();
}

// Guards against buffering a whole stream in the server for a slow reader, and against a handler that
// continues after its requester has cancelled the call.
TEST(PeerLink, SlowReaderBlocksTheHandlerAndCancelStopsIt) {
  StdNotification ended;
  std::atomic<int> written{0};
  constexpr int limit = 2000;
  const PeerServerPtr server =
      Start([&](const std::string&, const std::string&, const PeerSink& sink) -> leaf::result<std::string> {
        const std::string part(64 << 10, 'x');
        while (written < limit && sink(part)) ++written;
        ended.Notify();
        return std::string();
      });
  const PeerClientPtr client = MakePeerClient(Secret(), {});
  const Outcome<std::string> outcome =
      CallAt(*client, PeerServerPort(*server), "generate", "", [&](const std::string&) {
        // Flow control must block the handler while this callback has not returned.
        EXPECT_FALSE(ended.WaitForNotificationWithTimeout(absl::Milliseconds(300)));
        return false;
      });
  EXPECT_EQ(KindOf(outcome), "outcome_unknown");
  EXPECT_TRUE(ended.WaitForNotificationWithTimeout(kDeadline));
  EXPECT_LT(written, limit);
}

// ---- Peers that violate the protocol

int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  return fd;
}
void Send(int fd, const std::string& bytes) { send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL); }
// Reads until `text` was received or the peer has closed the connection.
void ReadUntil(int fd, const std::string& text) {
  std::string seen;
  char buf[4096];
  while (seen.find(text) == std::string::npos) {
    const ssize_t n = recv(fd, buf, sizeof(buf), 0);
    if (n <= 0) return;
    seen.append(buf, static_cast<std::size_t>(n));
  }
}
std::string Frame(int type, int flags, int stream, const std::string& payload) {
  std::string frame = {0,
                       static_cast<char>(payload.size() >> 8),
                       static_cast<char>(payload.size()),
                       static_cast<char>(type),
                       static_cast<char>(flags),
                       0,
                       0,
                       0,
                       static_cast<char>(stream)};
  return frame + payload;
}
constexpr int kData = 0, kHeaders = 1, kReset = 3, kSettings = 4, kGoaway = 7, kEndHeaders = 4;
const char* const kPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

// Accepts one connection, runs `serve` on its socket and closes it.
struct RawServer {
  explicit RawServer(std::function<void(int)> serve) {
    listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    socklen_t length = sizeof(address);
    EXPECT_EQ(bind(listener, reinterpret_cast<sockaddr*>(&address), length), 0);
    EXPECT_EQ(listen(listener, 8), 0);
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
    port = ntohs(address.sin_port);
    thread = std::thread([this, serve] {
      const int fd = accept(listener, nullptr, nullptr);
      serve(fd);
      close(fd);
    });
  }
  ~RawServer() {
    thread.join();
    close(listener);
  }
  int listener = -1;
  int port = 0;
  std::thread thread;
};

// Calls a RawServer that runs `serve`; returns the kind of the error.
std::string CallRaw(const std::function<void(int)>& serve) {
  RawServer server(serve);
  const PeerClientPtr client = MakePeerClient(Secret(), {});
  return KindOf(
      CallAt(*client, server.port, "echo", "request-body", [](const std::string&) { return true; }));
}

// Guards against a "not run" error for a request that the peer may have processed before it failed:
// connection lost before the answer, connection lost after a part of the answer, stream reset after a part of
// the answer.
TEST(PeerLink, PeerFailureAfterTheRequestIsNeverNotRun) {
  EXPECT_EQ(CallRaw([](int fd) {
              Send(fd, Frame(kSettings, 0, 0, ""));
              ReadUntil(fd, "request-body");
            }),
            "outcome_unknown");
  EXPECT_EQ(CallRaw([](int fd) {
              Send(fd, Frame(kSettings, 0, 0, ""));
              ReadUntil(fd, "request-body");
              Send(fd, Frame(kHeaders, kEndHeaders, 1, "\x88"));
              Send(fd, Frame(kData, 0, 1, std::string("P\0\0\0\4part", 9)));
            }),
            "outcome_unknown");
  // REFUSED_STREAM after a part of the answer does not prove that the request was not processed.
  EXPECT_EQ(CallRaw([](int fd) {
              Send(fd, Frame(kSettings, 0, 0, ""));
              ReadUntil(fd, "request-body");
              Send(fd, Frame(kHeaders, kEndHeaders, 1, "\x88"));
              Send(fd, Frame(kData, 0, 1, std::string("P\0\0\0\4part", 9)));
              Send(fd, Frame(kReset, 0, 1, std::string("\0\0\0\7", 4)));
              ReadUntil(fd, "end");
            }),
            "peer_protocol");
}

// Guards against a missed retry: in each of these cases the request was certainly not processed.
TEST(PeerLink, UnprocessedRequestsArePeerUnreachable) {
  const PeerClientPtr client = MakePeerClient(Secret(), {});
  EXPECT_EQ(KindOf(CallAt(*client, 1, "echo", "x")), "peer_unreachable");
  // Connection closed before the server's SETTINGS, for example in the listen backlog of a host that stops.
  EXPECT_EQ(CallRaw([](int) {}), "peer_unreachable");
  EXPECT_EQ(CallRaw([](int fd) {
              Send(fd, Frame(kSettings, 0, 0, ""));
              ReadUntil(fd, "request-body");
              Send(fd, Frame(kReset, 0, 1, std::string("\0\0\0\7", 4)));
              ReadUntil(fd, "end");
            }),
            "peer_unreachable");
  EXPECT_EQ(CallRaw([](int fd) {
              Send(fd, Frame(kSettings, 0, 0, ""));
              ReadUntil(fd, "request-body");
              Send(fd, Frame(kGoaway, 0, 0, std::string(8, '\0')));
            }),
            "peer_unreachable");
}

// Guards against accepting malformed frames from a faulty peer.
TEST(PeerLink, MalformedAnswersArePeerProtocol) {
  for (const std::string& answer :
       {std::string("X\0\0\0\1a", 6), std::string("P\x7f\xff\xff\xff", 5), std::string("L\0\0\0\1ab", 7)}) {
    EXPECT_EQ(CallRaw([&](int fd) {
                Send(fd, Frame(kSettings, 0, 0, ""));
                ReadUntil(fd, "request-body");
                Send(fd, Frame(kHeaders, kEndHeaders, 1, "\x88"));
                Send(fd, Frame(kData, 1, 1, answer));
                ReadUntil(fd, "end");
              }),
              "peer_protocol");
  }
}

// Guards against a server that stops working after random input or an oversized frame.
TEST(PeerLink, ServerSurvivesInvalidInput) {
  const PeerServerPtr server = Start();
  const PeerClientPtr client = MakePeerClient(Secret(), {});
  std::mt19937_64 random(7);
  for (int it = 0; it < 200; ++it) {
    const int fd = Connect(PeerServerPort(*server));
    std::string bytes;
    if (it % 2 == 1) bytes = kPreface + Frame(kSettings, 0, 0, "");
    if (it % 4 == 3) bytes += Frame(static_cast<int>(random() % 10), static_cast<int>(random() % 256), 1, "");
    for (std::size_t n = random() % 2000; n > 0; --n) bytes.push_back(static_cast<char>(random()));
    Send(fd, bytes);
    if (it % 3 == 0) shutdown(fd, SHUT_WR);
    if (it % 3 == 0) ReadUntil(fd, "no such text");
    close(fd);
  }
  const int fd = Connect(PeerServerPort(*server));
  Send(fd, kPreface + Frame(kSettings, 0, 0, "") + std::string("\xff\xff\xff\0\0\0\0\0\1", 9) +
               std::string(1 << 20, 'x'));
  ReadUntil(fd, "no such text");
  close(fd);
  EXPECT_EQ(TextOf(CallAt(*client, PeerServerPort(*server), "echo", "x")), "echo:x");
}

// Guards against messages that exhaust memory, and against a faulty peer that keeps its connection.
TEST(PeerLink, TooLargeOrUndecodableMessagesAreCountedAndCloseTheConnection) {
  PeerLimits limits;
  limits.max_message_bytes = 1000;
  const PeerServerPtr server = Start(HandleBasic, limits);
  const int port = PeerServerPort(*server);
  const PeerClientPtr client = MakePeerClient(Secret(), {});
  EXPECT_EQ(KindOf(CallAt(*client, port, "echo", std::string(100000, 'x'))), "peer_protocol");
  EXPECT_EQ(KindOf(CallAt(*client, port, "garbled", "x")), "peer_protocol");
  EXPECT_EQ(TextOf(CallAt(*client, port, "echo", "x")), "echo:x");
  EXPECT_EQ(PeerClientTraffic(*client).connections, 1);
  EXPECT_NE(KindOf(CallAt(*client, port, "echo", std::string(100000, 'x'))), "ok");
  EXPECT_EQ(PeerServerTraffic(*server).protocol_errors, 3);
  // The GOAWAY may not have arrived yet; the call then fails as not processed and is retried.
  Outcome<std::string> outcome = CallAt(*client, port, "echo", "y");
  if (KindOf(outcome) == "peer_unreachable") outcome = CallAt(*client, port, "echo", "y");
  EXPECT_EQ(TextOf(outcome), "echo:y");
  EXPECT_EQ(PeerClientTraffic(*client).connections, 2);
  const PeerClientPtr strict = MakePeerClient(Secret(), limits);
  EXPECT_EQ(KindOf(CallAt(*strict, port, "echo", std::string(1001, 'x'))), "body_too_large");
}

// Guards against a shutdown that aborts a request in flight, or that leaves unknown whether a new request was
// processed.
TEST(PeerLink, DrainFinishesStreamsInFlightAndNewCallsArePeerUnreachable) {
  StdNotification started;
  StdNotification release;
  const PeerServerPtr server =
      Start([&](const std::string&, const std::string&, const PeerSink& sink) -> leaf::result<std::string> {
        sink("part");
        started.Notify();
        release.WaitForNotification();
        return std::string("whole");
      });
  const int port = PeerServerPort(*server);
  const PeerClientPtr client = MakePeerClient(Secret(), {});
  std::string in_flight;
  std::thread caller([&] { in_flight = TextOf(CallAt(*client, port, "generate", "")); });
  started.WaitForNotification();
  DrainPeerServer(*server, absl::ZeroDuration());
  // Until the I/O thread has sent the GOAWAY, requests are still accepted. They would call the handler, which
  // notifies `started` again and waits for `release`, so the test first waits until the listening socket is
  // closed.
  const PeerClientPtr probe = MakePeerClient("", {});
  while (KindOf(CallAt(*probe, port, "echo", "")) != "peer_unreachable")
    absl::SleepFor(absl::Milliseconds(1));
  for (int it = 0; it < 50; ++it)
    EXPECT_EQ(KindOf(CallAt(*client, port, "generate", "")), "peer_unreachable");
  release.Notify();
  DrainPeerServer(*server, kDeadline);
  caller.join();
  EXPECT_EQ(in_flight, "whole");
}

// Guards against requests that a stopping server accepts and loses: each call must either be answered or fail
// as not processed.
TEST(PeerLink, EachCallDuringShutdownIsAnsweredOrPeerUnreachable) {
  std::atomic<int> handled{0};
  PeerServerPtr server =
      Start([&](const std::string&, const std::string&, const PeerSink&) -> leaf::result<std::string> {
        ++handled;
        return std::string("done");
      });
  const int port = PeerServerPort(*server);
  const PeerClientPtr client = MakePeerClient(Secret(), {});
  std::atomic<int> answered{0};
  std::atomic<int> other{0};
  std::vector<std::thread> threads;
  for (int thread = 0; thread < 8; ++thread) {
    threads.emplace_back([&] {
      while (true) {
        const std::string kind = KindOf(CallAt(*client, port, "echo", "x"));
        if (kind == "ok") ++answered;
        if (kind == "ok") continue;
        if (kind != "peer_unreachable") ++other;
        return;
      }
    });
  }
  while (answered < 200) absl::SleepFor(absl::Milliseconds(1));
  DrainPeerServer(*server, kDeadline);
  server.reset();
  for (std::thread& it : threads) it.join();
  EXPECT_EQ(other, 0);
  EXPECT_EQ(answered, handled);
}

}  // namespace
}  // namespace oleander
