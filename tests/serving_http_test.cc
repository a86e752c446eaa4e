// Tests of the serving core's HTTP client and server over loopback sockets.
#include <gtest/gtest.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "serving/event_loop.h"
#include "serving/http_client.h"
#include "serving/http_server.h"
#include "tests/raw_server.h"

namespace oleander::serving {
namespace {

using tcp = asio::ip::tcp;

constexpr absl::Duration kTestTimeout = absl::Seconds(20);  // ends a test that hangs; no check depends on it

constexpr std::size_t kMaxBodyBytes = 1 << 20;  // of one answer; Limits() sets that of all answers together
constexpr std::size_t kSocketBufferBytes = 16 << 20;  // limit of unread data in socket buffers
constexpr std::size_t kUnbufferedBytes = 24 << 20;    // an answer that socket buffers do not hold as a whole

struct Result {
  int status = 0;
  std::string body;
  std::vector<std::string> pieces;
  std::optional<CallEnd> end;
};

struct ServingHttpTest : testing::Test {
  ServingHttpTest() {
    client.UseHeldBytes(account);
    loop.After(kTestTimeout, [this] { loop.Stop(); });
  }
  std::shared_ptr<Result> Call(const std::string& address, std::string body = "",
                               absl::Duration timeout = absl::Seconds(10), bool stop = true) {
    const std::shared_ptr<Result> result = std::make_shared<Result>();
    HttpCall call;
    call.address = address;
    call.request = {"POST", "/x", {{"Host", "h"}}, std::move(body)};
    call.timeout = timeout;
    call.max_body_bytes = kMaxBodyBytes;
    HttpCallHandlers handlers;
    handlers.on_head = [result](const HttpResponse& head) { result->status = head.status; };
    handlers.on_body = [this, result](std::string_view piece) {
      result->pieces.emplace_back(piece);
      result->body.append(piece);
      if (on_piece) on_piece();
    };
    handlers.on_end = [this, result, stop](CallEnd end) {
      result->end = end;
      if (stop) loop.Stop();
    };
    client.Start(std::move(call), std::move(handlers));
    return result;
  }
  void Run() {
    loop.Context().restart();
    loop.Run();
  }
  // Runs the loop until the condition holds or the test has hung.
  void RunUntil(const std::function<bool()>& condition) {
    loop.Context().restart();
    while (!condition() && !loop.Context().stopped()) loop.Context().run_one();
  }
  // Makes `n` calls at the same time, so that as many connections are idle afterwards.
  void OpenIdleConnections(const std::string& address, int n) {
    int complete = 0;
    for (int it = 0; it < n; ++it) {
      HttpCall call;
      call.address = address;
      call.request = {"GET", "/x", {{"Host", "h"}}, ""};
      client.StartBuffered(std::move(call), [&complete](CallEnd end, const HttpResponse&) {
        complete += end == CallEnd::kComplete ? 1 : 0;
      });
    }
    RunUntil([&complete, n] { return complete == n; });
  }
  EventLoop loop;
  static HttpClientLimits Limits() { return {}; }
  // Room for one and a half answers of the largest size.
  static HeldLimits RoomForAnswers() {
    HeldLimits limits;
    limits.total = (kMaxBodyBytes + (kMaxBodyBytes >> 1)) / 4 * 5;  // a fifth is for smaller ones
    limits.shares[static_cast<std::size_t>(HeldKind::kAnswers)] = limits.total;
    return limits;
  }
  HeldBytes account{RoomForAnswers()};
  HttpClient client{loop, Limits()};
  std::function<void()> on_piece;
};

// Guards against holding events back until the answer ends: a chunk is delivered before the header of the
// next one has arrived.
TEST_F(ServingHttpTest, AChunkIsDeliveredAsItArrives) {
  std::atomic<bool> seen{false};
  RawServer server([&seen](tcp::socket& socket) {
    ReadHead(socket);
    WriteText(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
    while (!seen) std::this_thread::yield();
    WriteText(socket, "6\r\nsecond\r\n0\r\n\r\n");
  });
  on_piece = [&seen] { seen = true; };
  loop.After(kTestTimeout / 2, [&seen] { seen = true; });
  const std::shared_ptr<Result> result = Call(server.Address());
  Run();
  EXPECT_EQ(result->end, CallEnd::kComplete);
  ASSERT_GE(result->pieces.size(), 2u);
  EXPECT_EQ(result->pieces[0], "first");
  EXPECT_EQ(result->body, "firstsecond");
}

// Guards against reporting a truncated answer as complete.
TEST_F(ServingHttpTest, ATruncatedAnswerIsBroken) {
  for (const char* answer : {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfir",
                             "HTTP/1.1 200 O", "nonsense\r\n\r\n", ""}) {
    RawServer server([answer](tcp::socket& socket) {
      ReadHead(socket);
      WriteText(socket, answer);
    });
    const std::shared_ptr<Result> result = Call(server.Address());
    Run();
    EXPECT_EQ(result->end, CallEnd::kBroken) << answer;
  }
}

// Guards against an upstream that fills the host's memory by sending any part of an answer without end.
TEST_F(ServingHttpTest, AnAnswerWithoutEndIsAborted) {
  const std::string filler(8192, 'x');
  const std::string event = "id: 1\ndata: " + filler + "\n\n";
  const std::vector<std::array<std::string, 3>> cases = {
      {"status line", "HTTP/1.1 200 ", filler},
      {"one header", "HTTP/1.1 200 OK\r\nX: ", filler},
      {"headers", "HTTP/1.1 200 OK\r\n", "X-More: yes\r\n"},
      {"no HTTP", "", std::string("\x00\xff", 2) + filler},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", filler},
      {"body up to the close", "HTTP/1.1 200 OK\r\n\r\n", filler},
      {"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
      {"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;e=", filler},
      {"chunk extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       "1;extension=of-a-chunk-that-is-longer-than-its-data\r\nx\r\n"},
      {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2000\r\n" + filler + "\r\n"},
      {"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", filler},
      {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: yes\r\n"},
  };
  for (const std::array<std::string, 3>& it : cases) {
    std::atomic<std::size_t> sent{0};
    RawServer server([&it, &sent](tcp::socket& socket) {
      ReadHead(socket);
      WriteText(socket, it[1]);
      std::string block;
      while (block.size() < 64 << 10) block += it[2];
      boost::system::error_code ec;
      while (!ec && sent < 1 << 30) sent += asio::write(socket, asio::buffer(block), ec);
    });
    const std::shared_ptr<Result> result = Call(server.Address(), "", absl::Seconds(15));
    Run();
    ASSERT_TRUE(result->end.has_value()) << it[0];
    EXPECT_TRUE(result->end == CallEnd::kTooLarge || result->end == CallEnd::kBroken) << it[0];
    EXPECT_LE(result->body.size(), kMaxBodyBytes) << it[0];
    EXPECT_LT(sent, 4 * kMaxBodyBytes + kSocketBufferBytes) << it[0];
  }
}

// Guards against the end of the process: Beast throws when it stores a field of 64 KB or more, and a read may
// complete such a field before any limit is checked.
TEST_F(ServingHttpTest, AHugeFieldOfAnAnswerEndsItsCallOnly) {
  const std::string line = std::string(72000, 'a') + "\r\n";
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& answer :
       {"HTTP/1.1 200 OK\r\nX: " + line + "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n" + std::string(72000, 'n') + ": x\r\nContent-Length: 0\r\n\r\n",
        chunked + "0\r\nX: " + line + "\r\n"}) {
    RawServer server([&answer](tcp::socket& socket) {
      ReadHead(socket);
      WriteText(socket, answer);
    });
    const std::shared_ptr<Result> result = Call(server.Address());
    Run();
    EXPECT_EQ(result->end, CallEnd::kTooLarge) << answer.substr(0, 60);
  }
}

// Guards against answers that are each within their limit but together exceed the host's memory.
TEST_F(ServingHttpTest, TheLargestAnswerIsAbortedAtTheLimitOfAllAnswers) {
  std::atomic<bool> done{false};
  RawServer large([&done](tcp::socket& socket) {
    ReadHead(socket);
    WriteText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + std::string(900000, 'x'));
    while (!done) std::this_thread::yield();
  });
  RawServer growing([&done](tcp::socket& socket) {
    ReadHead(socket);
    WriteText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
    for (int it = 0; it < 8 && !done; ++it) WriteText(socket, std::string(100000, 'y'));
    while (!done) std::this_thread::yield();
  });
  const std::shared_ptr<Result> first = Call(large.Address());
  std::function<void()> start_second;
  std::shared_ptr<Result> second;
  start_second = [&] {
    if (first->body.size() == 900000) {
      second = Call(growing.Address(), "", absl::Seconds(10), false);
    } else {
      loop.After(absl::Milliseconds(1), start_second);
    }
  };
  start_second();
  Run();
  done = true;
  EXPECT_EQ(first->end, CallEnd::kNoRoom);
  ASSERT_NE(second, nullptr);
  EXPECT_FALSE(second->end.has_value()) << "the smaller answer continues";
  EXPECT_EQ(client.Counts().no_room, 1);
}

// Guards against treating an interim (1xx) response as the final one.
TEST_F(ServingHttpTest, InterimResponsesAreSkipped) {
  RawServer server([](tcp::socket& socket) {
    ReadHead(socket);
    WriteText(socket,
              "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 "
              "OK\r\nContent-Length: "
              "2\r\n\r\nok");
  });
  const std::shared_ptr<Result> result = Call(server.Address());
  Run();
  EXPECT_EQ(result->end, CallEnd::kComplete);
  EXPECT_EQ(result->status, 200);
  EXPECT_EQ(result->body, "ok");
}

// Guards against reading extra bytes after an answer as the next answer.
TEST_F(ServingHttpTest, AConnectionWithExtraBytesIsNotReused) {
  RawServer server([](tcp::socket& socket) {
    ReadHead(socket);
    WriteText(
        socket,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil");
  });
  for (int it = 0; it < 2; ++it) {
    const std::shared_ptr<Result> result = Call(server.Address());
    Run();
    EXPECT_EQ(result->body, "ok");
  }
  EXPECT_EQ(server.accepted, 2);
}

// Guards against sending the next request where the server expects the rest of a body: the connection is not
// reused after an answer that arrives before the request is sent completely.
TEST_F(ServingHttpTest, AConnectionWithAnEarlyAnswerIsNotReused) {
  RawServer server([](tcp::socket& socket) {
    ReadHead(socket);
    WriteText(socket, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
  });
  const std::shared_ptr<Result> first = Call(server.Address(), std::string(32 << 20, 'x'));
  Run();
  EXPECT_EQ(first->status, 413);
  const std::shared_ptr<Result> second = Call(server.Address());
  Run();
  EXPECT_EQ(second->status, 413);
  EXPECT_EQ(server.accepted, 2);
}

TEST_F(ServingHttpTest, ASilentUpstreamTimesOutAndAClosedPortGetsNothing) {
  RawServer server([](tcp::socket& socket) {
    ReadHead(socket);
    ReadHead(socket);
  });
  const std::shared_ptr<Result> silent = Call(server.Address(), "", absl::Milliseconds(100));
  Run();
  EXPECT_EQ(silent->end, CallEnd::kTimedOut);
  const std::shared_ptr<Result> refused = Call("127.0.0.1:1");
  Run();
  EXPECT_EQ(refused->end, CallEnd::kNotSent);
  const std::shared_ptr<Result> nowhere = Call("no address");
  Run();
  EXPECT_EQ(nowhere->end, CallEnd::kNotSent);
}

TEST_F(ServingHttpTest, ConnectionsAreReused) {
  HttpServer* running = nullptr;
  HttpServer server(loop, [&running](ExchangeId id, HttpRequest request) {
    running->Respond(id, {200, "", {{"X", "y"}}, request.body});
  });
  running = &server;
  ASSERT_TRUE(server.Listen("127.0.0.1:21871"));
  for (int it = 0; it < 3; ++it) {
    const std::shared_ptr<Result> result = Call("127.0.0.1:21871", absl::StrCat("body", it));
    Run();
    EXPECT_EQ(result->body, absl::StrCat("body", it));
  }
  EXPECT_EQ(client.Counts().connections, 1);
}

// Answers one request on each connection; after that, the connection is silent but not closed.
struct OneAnswerServer : RawServer {
  OneAnswerServer()
      : RawServer([this](tcp::socket& socket) {
          ReadHead(socket);
          WriteText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
          kept.push_back(std::move(socket));
        }) {}
};

// Guards against a client that stays cut off from a peer that answers: when all its idle connections had
// fallen silent, it tried them one after the other, each for a whole timeout.
TEST_F(ServingHttpTest, ATimeoutClosesTheOtherConnectionsThatMayBeSilent) {
  OneAnswerServer server;
  OpenIdleConnections(server.Address(), 6);
  const std::shared_ptr<Result> lost = Call(server.Address(), "", absl::Milliseconds(100));
  Run();
  EXPECT_EQ(lost->end, CallEnd::kTimedOut);
  const std::shared_ptr<Result> next = Call(server.Address(), "", absl::Milliseconds(500));
  Run();
  EXPECT_EQ(next->end, CallEnd::kComplete);
  EXPECT_EQ(server.accepted, 7);
}

// Guards against the same for calls that their sender cancels because they are silent, such as runs of items.
TEST_F(ServingHttpTest, CancellingASilentCallClosesTheOtherConnectionsThatMayBeSilent) {
  OneAnswerServer server;
  OpenIdleConnections(server.Address(), 6);
  HttpCall call;
  call.address = server.Address();
  call.request = {"GET", "/x", {{"Host", "h"}}, ""};
  const CallId silent = client.Start(std::move(call), {});
  bool cancelled = false;
  loop.After(Limits().suspect_after, [this, silent, &cancelled] {
    client.Cancel(silent);
    cancelled = true;
  });
  RunUntil([&cancelled] { return cancelled; });
  const std::shared_ptr<Result> next = Call(server.Address(), "", absl::Milliseconds(500));
  Run();
  EXPECT_EQ(next->end, CallEnd::kComplete);
}

// Guards against needless new connections: one that has answered since another fell silent is still good.
TEST_F(ServingHttpTest, ATimeoutKeepsConnectionsThatHaveAnsweredSince) {
  HttpServer* running = nullptr;
  std::vector<ExchangeId> held;
  HttpServer server(loop, [&running, &held](ExchangeId id, const HttpRequest& request) {
    if (request.body == "hold") {
      held.push_back(id);
    } else {
      running->Respond(id, {200, "", {}, ""});
    }
  });
  running = &server;
  ASSERT_TRUE(server.Listen("127.0.0.1:21877"));
  OpenIdleConnections("127.0.0.1:21877", 2);
  const std::shared_ptr<Result> lost = Call("127.0.0.1:21877", "hold", absl::Milliseconds(200), false);
  RunUntil([&held] { return !held.empty(); });
  const std::shared_ptr<Result> meanwhile = Call("127.0.0.1:21877");
  Run();
  EXPECT_EQ(meanwhile->end, CallEnd::kComplete);
  RunUntil([&lost] { return lost->end.has_value(); });
  EXPECT_EQ(lost->end, CallEnd::kTimedOut);
  const std::shared_ptr<Result> next = Call("127.0.0.1:21877");
  Run();
  EXPECT_EQ(next->end, CallEnd::kComplete);
  EXPECT_EQ(client.Counts().connections, 2);
}

// Guards against request smuggling: what follows a head whose body has no known end is run as a request of
// its own.
TEST_F(ServingHttpTest, ARequestInsideABodyIsNeverRun) {
  std::vector<std::string> handled;
  HttpServer* running = nullptr;
  HttpServer server(loop, [&](ExchangeId id, HttpRequest request) {
    handled.push_back(request.target);
    running->Respond(id, {200, "", {}, ""});
  });
  running = &server;
  ASSERT_TRUE(server.Listen("127.0.0.1:21881"));
  const std::vector<std::string> fields = {
      "Transfer-Encoding: gzip", "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: identity",
      "TRANSFER-ENCODING: GZIP", "Transfer-Encoding:\tgzip",         "Transfer-Encoding:\r\n gzip",
      "Transfer-Encoding: x",    "Transfer-Encoding: \"chunked\"",   "Host: other"};
  std::vector<std::string> answers;
  std::thread callers([&] {
    for (const std::string& it : fields) {
      asio::io_context context;
      tcp::socket socket(context);
      boost::system::error_code ec;
      socket.connect({asio::ip::make_address("127.0.0.1"), 21881}, ec);
      WriteText(socket, absl::StrCat("POST /outer HTTP/1.1\r\nHost: h\r\n", it,
                                     "\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
      std::string answer;
      asio::read(socket, asio::dynamic_buffer(answer), ec);
      answers.push_back(answer.substr(0, 12));
    }
    loop.Stop();
  });
  Run();
  callers.join();
  EXPECT_EQ(handled, std::vector<std::string>());
  EXPECT_EQ(answers, std::vector<std::string>(fields.size(), "HTTP/1.1 400"));
}

// Guards against reading or handling requests that exceed the limits.
TEST_F(ServingHttpTest, TheServerRefusesTooLargeAndMalformedRequests) {
  int handled = 0;
  HttpServer server(loop, [&handled](ExchangeId, HttpRequest) { ++handled; });
  CallerLimits limits;
  limits.max_header_bytes = 1000;
  limits.max_body_bytes = 1000;
  server.SetLimits(limits);
  ASSERT_TRUE(server.Listen("127.0.0.1:21872"));
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", "413"},
      {absl::StrCat("GET / HTTP/1.1\r\nHost: h\r\nX: ", std::string(3000, 'x'), "\r\n\r\n"), "431"},
      {"GET / HTTP/1.1\r\nBroken header\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
  };
  std::vector<std::string> answers(cases.size());
  std::thread callers([this, &cases, &answers] {
    for (std::size_t it = 0; it < cases.size(); ++it) {
      asio::io_context context;
      tcp::socket socket(context);
      boost::system::error_code ec;
      socket.connect({asio::ip::make_address("127.0.0.1"), 21872}, ec);
      WriteText(socket, cases[it].first);
      answers[it] = ReadHead(socket);
    }
    loop.Stop();
  });
  Run();
  callers.join();
  for (std::size_t it = 0; it < cases.size(); ++it) {
    EXPECT_NE(answers[it].find(absl::StrCat("HTTP/1.1 ", cases[it].second)), std::string::npos)
        << cases[it].first << answers[it];
  }
  EXPECT_EQ(handled, 0);
}

// Guards against the end of the process: Beast throws when it stores a field of 64 KB or more, whatever the
// configured header limit, and that limit does not cover trailers.
TEST_F(ServingHttpTest, AHugeFieldOfARequestEndsItsConnectionOnly) {
  int handled = 0;
  HttpServer server(loop, [&handled](ExchangeId, const HttpRequest&) { ++handled; });
  CallerLimits limits;
  limits.max_header_bytes = 1 << 20;
  server.SetLimits(limits);
  ASSERT_TRUE(server.Listen("127.0.0.1:21878"));
  const std::string line = "X: " + std::string(72000, 'x') + "\r\n\r\n";
  std::vector<std::string> answers;
  std::thread callers([this, &line, &answers] {
    for (const std::string start :
         {"GET / HTTP/1.1\r\nHost: h\r\n",
          "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"}) {
      asio::io_context context;
      tcp::socket socket(context);
      boost::system::error_code ec;
      socket.connect({asio::ip::make_address("127.0.0.1"), 21878}, ec);
      WriteText(socket, start + line);
      answers.push_back(ReadHead(socket));
    }
    loop.Stop();
  });
  Run();
  callers.join();
  for (const std::string& it : answers) EXPECT_NE(it.find("HTTP/1.1 431"), std::string::npos) << it;
  EXPECT_EQ(handled, 0);
}

// Guards against work that continues after its caller has closed the connection.
TEST_F(ServingHttpTest, ACallerThatDisconnectsIsNoticed) {
  HttpServer* running = nullptr;
  bool disconnected = false;
  HttpServer server(loop, [this, &running, &disconnected](ExchangeId id, HttpRequest) {
    running->OnCallerDisconnect(id, [this, &disconnected] {
      disconnected = true;
      loop.Stop();
    });
  });
  running = &server;
  ASSERT_TRUE(server.Listen("127.0.0.1:21873"));
  std::thread caller([] {
    asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code ec;
    socket.connect({asio::ip::make_address("127.0.0.1"), 21873}, ec);
    WriteText(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  });
  Run();
  caller.join();
  EXPECT_TRUE(disconnected);
  EXPECT_EQ(server.BusyConnections(), 0);
}

// Guards against a shutdown that drops an answer in progress.
TEST_F(ServingHttpTest, AnOpenExchangeOutlivesTheListener) {
  HttpServer* running = nullptr;
  HttpServer server(loop, [this, &running](ExchangeId id, HttpRequest) {
    running->CloseAfterAnswers();
    running->StopAccepting();
    loop.After(absl::Milliseconds(50), [&running, id] { running->Respond(id, {200, "", {}, "late"}); });
  });
  running = &server;
  ASSERT_TRUE(server.Listen("127.0.0.1:21874"));
  const std::shared_ptr<Result> result = Call("127.0.0.1:21874");
  Run();
  EXPECT_EQ(result->body, "late");
  EXPECT_EQ(result->end, CallEnd::kComplete);
}

// Guards against limits that apply to new connections only: a connection that was idle when the limits
// changed must follow the new ones with its next request (review/5).
TEST_F(ServingHttpTest, LimitsReachOpenConnections) {
  HttpServer* running = nullptr;
  HttpServer server(loop, [&](ExchangeId id, HttpRequest) { running->Respond(id, {200, "", {}, ""}); });
  running = &server;
  CallerLimits limits;
  limits.max_header_bytes = 200;
  limits.max_body_bytes = 1000;
  server.SetLimits(limits);
  ASSERT_TRUE(server.Listen("127.0.0.1:21884"));
  const std::string large = absl::StrCat("POST / HTTP/1.1\r\nHost: h\r\nX: ", std::string(300, 'x'),
                                         "\r\nContent-Length: 2000\r\n\r\n", std::string(2000, 'x'));
  std::vector<std::string> answers;
  std::thread caller([&] {
    asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code ec;
    socket.connect({asio::ip::make_address("127.0.0.1"), 21884}, ec);
    for (const int change : {0, 1, 2}) {  // none, raised, lowered
      absl::SleepFor(absl::Milliseconds(30));
      limits.max_header_bytes = change == 1 ? 4096 : 200;
      limits.max_body_bytes = change == 1 ? 4096 : 1000;
      asio::post(loop.Context(), [&server, limits] { server.SetLimits(limits); });
      absl::SleepFor(absl::Milliseconds(30));
      WriteText(socket, change == 0 ? "GET / HTTP/1.1\r\nHost: h\r\n\r\n" : large);
      answers.push_back(ReadHead(socket).substr(0, 12));
    }
    loop.Stop();
  });
  Run();
  caller.join();
  const std::vector<std::string> expected = {"HTTP/1.1 200", "HTTP/1.1 200", "HTTP/1.1 431"};
  EXPECT_EQ(answers, expected);
}

// Guards against a shutdown that cuts answers off: a server that has handed an answer to the kernel only in
// part must not look idle.
TEST_F(ServingHttpTest, AServerIsBusyUntilItsAnswerIsRead) {
  HttpServer* running = nullptr;
  int busy_after_respond = -1;
  HttpServer server(loop, [&](ExchangeId id, HttpRequest) {
    running->CloseAfterAnswers();
    running->StopAccepting();
    running->Respond(id, {200, "", {}, std::string(kUnbufferedBytes, 'x')});
    loop.After(absl::Milliseconds(100), [&] { busy_after_respond = running->BusyConnections(); });
  });
  running = &server;
  ASSERT_TRUE(server.Listen("127.0.0.1:21882"));
  std::size_t received = 0;
  std::thread caller([&] {
    asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code ec;
    socket.connect({asio::ip::make_address("127.0.0.1"), 21882}, ec);
    WriteText(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    absl::SleepFor(absl::Milliseconds(300));
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    received = answer.size() - answer.find("\r\n\r\n") - 4;
    loop.Stop();
  });
  Run();
  caller.join();
  EXPECT_EQ(busy_after_respond, 1);
  EXPECT_EQ(received, kUnbufferedBytes);
}

// Guards against a reset that overtakes the answer to a caller that is still sending: the connection ends in
// order.
TEST_F(ServingHttpTest, ARefusalReachesACallerThatIsStillSending) {
  HttpServer server(loop, [](ExchangeId, HttpRequest) {});
  CallerLimits limits;
  limits.max_body_bytes = 1000;
  server.SetLimits(limits);
  ASSERT_TRUE(server.Listen("127.0.0.1:21883"));
  std::string answer;
  boost::system::error_code sent;
  boost::system::error_code ended;
  std::thread caller([&] {
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), 21883}, ended);
    WriteText(socket, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n");
    for (int it = 0; it < 5; ++it) {
      absl::SleepFor(absl::Milliseconds(20));
      asio::write(socket, asio::buffer(std::string(100000, 'x')), sent);
    }
    asio::read(socket, asio::dynamic_buffer(answer), ended);
    loop.Stop();
  });
  Run();
  caller.join();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 413")) << answer;
  EXPECT_FALSE(sent) << sent.message();
  EXPECT_EQ(ended, asio::error::eof) << ended.message();
}

}  // namespace
}  // namespace oleander::serving
