// SendHttp, the client of threads that wait for the answer.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <string>

#include "links/http_client.h"
#include "tests/raw_server.h"

namespace oleander {
namespace {

using serving::RawServer;
using serving::ReadHead;
using serving::tcp;
using serving::WriteText;

constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

Endpoint EndpointOf(const RawServer& server, const std::string& address = "127.0.0.1") {
  return {address, static_cast<int>(server.acceptor.local_endpoint().port())};
}

// "BODY", or the kind of the error.
std::string Send(HttpPool& pool, const Endpoint& endpoint, HttpCall call = {}) {
  call.deadline = std::min(call.deadline, absl::Seconds(1));
  const Outcome<HttpAnswer> answer = Capture<HttpAnswer>([&] { return SendHttp(pool, endpoint, call); });
  return Ok(answer) ? Value(answer).body : std::string(DescribeError(ErrorOf(answer).kind).name);
}

// Guards against a new connection, and an event loop, for each call.
TEST(BlockingClientTest, ReusesItsConnection) {
  RawServer server([](tcp::socket& socket) {
    for (int it = 0; it < 3; ++it) {
      ReadHead(socket);
      WriteText(socket, kAnswer);
    }
  });
  HttpPool pool;
  for (int it = 0; it < 3; ++it) EXPECT_EQ(Send(pool, EndpointOf(server)), "whole");
  EXPECT_EQ(server.accepted, 1);
}

// The server listens on one of the addresses that the name may have.
TEST(BlockingClientTest, TriesEachAddressOfAName) {
  RawServer server([](tcp::socket& socket) {
    ReadHead(socket);
    WriteText(socket, kAnswer);
  });
  HttpPool pool;
  EXPECT_EQ(Send(pool, EndpointOf(server, "localhost")), "whole");
  EXPECT_EQ(Send(pool, EndpointOf(server, "no such name")), "upstream_refused");
}

TEST(BlockingClientTest, EscapesTheTarget) {
  std::string head;
  RawServer server([&head](tcp::socket& socket) {
    head = ReadHead(socket);
    WriteText(socket, kAnswer);
  });
  HttpPool pool;
  HttpCall call;
  call.path = "/a b/c%20d?e=f+g&h=\xc3\xa9\r\nX: y";
  EXPECT_EQ(Send(pool, EndpointOf(server), call), "whole");
  EXPECT_EQ(head.substr(0, head.find("\r\n")), "GET /a%20b/c%20d?e=f%2Bg&h=%C3%A9%0D%0AX:%20y HTTP/1.1");
}

TEST(BlockingClientTest, FurtherBytesAfterAnAnswerAreAnError) {
  RawServer server([](tcp::socket& socket) {
    ReadHead(socket);
    WriteText(socket, std::string(kAnswer) + "more");
  });
  HttpPool pool;
  EXPECT_EQ(Send(pool, EndpointOf(server)), "upstream_protocol");
}

// A stream has no limit for its whole time, but one for each pause.
TEST(BlockingClientTest, AStreamMayLastLongerThanAPause) {
  RawServer server([](tcp::socket& socket) {
    ReadHead(socket);
    WriteText(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int it = 0; it < 8; ++it) {
      absl::SleepFor(absl::Milliseconds(60));
      WriteText(socket, "1\r\nx\r\n");
    }
    absl::SleepFor(absl::Milliseconds(600));
  });
  HttpPool pool;
  HttpCall call;
  call.deadline = absl::Milliseconds(300);
  std::string data;
  call.on_data = [&data](const char* piece, std::size_t n) {
    data.append(piece, n);
    return true;
  };
  EXPECT_EQ(Send(pool, EndpointOf(server), call), "upstream_timeout");
  EXPECT_EQ(data, "xxxxxxxx");
  data.clear();
  call.on_data = [&data](const char* piece, std::size_t n) {
    data.append(piece, n);
    return data.size() < 3;
  };
  EXPECT_EQ(Send(pool, EndpointOf(server), call), "") << "cancelled by on_data";
  EXPECT_EQ(data, "xxx");
}

// Guards against a process that ends because an event loop finds no descriptor.
TEST(BlockingClientTest, FailsWithoutDescriptors) {
  // Connections are established by the system, and nobody answers. A thread that accepts them would need
  // descriptors, too.
  boost::asio::io_context context;
  const tcp::acceptor listener(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const Endpoint endpoint = {"127.0.0.1", static_cast<int>(listener.local_endpoint().port())};
  HttpCall call;
  call.deadline = absl::Milliseconds(100);
  const int next = open("/dev/null", O_RDONLY);
  ASSERT_GE(next, 0);
  close(next);
  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  for (int spare = 0; spare < 4; ++spare) {
    const rlimit lowered = {static_cast<rlim_t>(next + spare), before.rlim_max};
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &lowered), 0);
    HttpPool pool;
    const std::string seen = Send(pool, endpoint, call);
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
    EXPECT_EQ(seen, "upstream_refused") << spare;
  }
  HttpPool pool;
  EXPECT_EQ(Send(pool, endpoint, call), "upstream_timeout") << "it has a connection";
}

}  // namespace
}  // namespace oleander
