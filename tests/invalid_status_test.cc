// Answers whose status is not one of HTTP (RFC 9110, 15: 100 to 599), such as 000 by an engine in trouble.
// They are no answers, on each way on which an answer may arrive.
#include <gtest/gtest.h>

#include <optional>

#include "links/http_client.h"
#include "platform/duty_platform.h"
#include "platform/engine_link.h"
#include "platform/store_client.h"
#include "serving/frontend.h"
#include "serving/http_client.h"
#include "tests/raw_server.h"
#include "tests/serving_fakes.h"

namespace oleander {
namespace {

using serving::CallEnd;
using serving::RawServer;
using serving::ReadHead;
using serving::tcp;
using serving::WriteText;

constexpr absl::Duration kTestTimeout = absl::Seconds(20);  // ends a test that hangs; no check depends on it
constexpr absl::Duration kCallTimeout = absl::Seconds(1);
constexpr char kBody[] = R"({"models":[{"name":"m","version":3}],"sequence":2,"ver":9,"nowMs":5,"rows":[]})";

enum class Framing { kLength, kLengthInTwoWrites, kChunked, kClose, kNoBody };

std::string IdOf(const std::string& head) {
  const std::string name = "Request-Id: ";
  const std::size_t at = head.find(name);
  if (at == std::string::npos) return "";
  return head.substr(at + name.size(), head.find("\r\n", at) - at - name.size());
}

// Answers with everything that a usable answer has but its status.
void SendAnswer(tcp::socket& socket, const std::string& status, Framing framing) {
  const std::string id = IdOf(ReadHead(socket));
  std::string text = absl::StrCat("HTTP/1.1 ", status, " X\r\nServer-Stamp: stamp\r\nServer-Load: 1,0,8\r\n",
                                  "Weight-Versions: 5\r\n", id.empty() ? "" : "Request-Id: " + id + "\r\n");
  const std::string length = absl::StrCat("Content-Length: ", sizeof(kBody) - 1, "\r\n\r\n");
  switch (framing) {
    case Framing::kLength:
      WriteText(socket, absl::StrCat(text, length, kBody));
      break;
    case Framing::kLengthInTwoWrites:
      WriteText(socket, text + length);
      absl::SleepFor(absl::Milliseconds(20));
      WriteText(socket, kBody);
      break;
    case Framing::kChunked:
      WriteText(socket, absl::StrCat(text, "Transfer-Encoding: chunked\r\n\r\n", absl::Hex(sizeof(kBody) - 1),
                                     "\r\n", kBody, "\r\n0\r\n\r\n"));
      break;
    case Framing::kClose:
      WriteText(socket, absl::StrCat(text, "\r\n", kBody));
      break;
    case Framing::kNoBody:
      WriteText(socket, text + "Content-Length: 0\r\n\r\n");
      break;
  }
}

struct InvalidStatusTest : testing::TestWithParam<std::tuple<const char*, Framing>> {
  InvalidStatusTest() {
    loop.After(kTestTimeout, [this] { loop.Stop(); });
    upstream.id = "i-7";
    upstream.service = "lookups";
    upstream.address = server.Address();
    upstream.slots = 8;
    upstream.started_ms = 1;
  }
  void Run() {
    loop.Context().restart();
    loop.Run();
  }

  RawServer server{
      [](tcp::socket& socket) { SendAnswer(socket, std::get<0>(GetParam()), std::get<1>(GetParam())); }};
  serving::EventLoop loop;
  serving::HttpClient http{loop, {}};
  platform::EngineLink link{http};
  serving::UpstreamEntry upstream;
};

// Lookups, calls, streams, items and scoring calls use this path.
TEST_P(InvalidStatusTest, IsNoAnswerToARequest) {
  serving::UpstreamCall call;
  call.address = upstream.address;
  call.request_id = "r1";
  call.method = "POST";
  call.target = "/run";
  call.timeout = kCallTimeout;
  int heads = 0;
  std::string body;
  std::optional<CallEnd> end;
  serving::CallHandlers handlers;
  handlers.on_head = [&](const serving::AnswerHead&) { ++heads; };
  handlers.on_body = [&](std::string_view piece) { body.append(piece); };
  handlers.on_end = [&](CallEnd done) {
    end = done;
    loop.Stop();
  };
  link.Start(std::move(call), std::move(handlers));
  Run();
  EXPECT_EQ(heads, 0);
  EXPECT_EQ(body, "");
  EXPECT_EQ(end, CallEnd::kBroken);
}

TEST_P(InvalidStatusTest, IsNoReportLoadOrOutcomeOfAnOrder) {
  std::optional<serving::EngineReport> report;
  link.FetchReport(upstream, [&](const serving::EngineReport& done) {
    report = done;
    loop.Stop();
  });
  Run();
  EXPECT_TRUE(report && !report->known && !report->leaving);
  std::optional<serving::AnswerHead> load = serving::AnswerHead();
  link.FetchLoad(upstream, "/health", [&](const std::optional<serving::AnswerHead>& done) {
    load = done;
    loop.Stop();
  });
  Run();
  EXPECT_FALSE(load);
  std::optional<serving::OrderOutcome> outcome;
  link.SendOrder(upstream, {}, [&](serving::OrderOutcome done) {
    outcome = done;
    loop.Stop();
  });
  Run();
  EXPECT_EQ(outcome, serving::OrderOutcome::kUnknown);
}

TEST_P(InvalidStatusTest, IsNoAnswerOfTheStore) {
  platform::StoreClient store(loop, http, server.Address());
  std::vector<serving::StoreOutcome> outcomes;
  const serving::StoreCallback done = [&](const serving::StoreReply& reply) {
    outcomes.push_back(reply.outcome);
    loop.Stop();
  };
  store.Get({"t", "p", "", "", 0}, done);
  Run();
  store.Commit({}, done);
  Run();
  store.Watch("t", 0, absl::ZeroDuration(), done);
  Run();
  store.GetObject("o", done);
  Run();
  store.PutObject("o", "bytes", done);
  Run();
  store.ListPartitions("t", "", done);
  Run();
  EXPECT_EQ(outcomes, std::vector<serving::StoreOutcome>(6, serving::StoreOutcome::kUnknown));
}

TEST_P(InvalidStatusTest, IsNoAnswerOfThePlatform) {
  platform::DutyPlatformClient duties(http, server.Address());
  std::optional<serving::DutyOutcome> outcome;
  duties.ReportUsage({"h1", 1}, 1, {}, [&](serving::DutyOutcome done) {
    outcome = done;
    loop.Stop();
  });
  Run();
  EXPECT_EQ(outcome, serving::DutyOutcome::kUnknown);
}

// Guards against passing such an answer on: a request that may be repeated gets the answer of another
// upstream, and any other one the host's own error without the upstream's signature.
TEST_P(InvalidStatusTest, ReachesNoCaller) {
  RawServer sound([](tcp::socket& socket) { SendAnswer(socket, "200", Framing::kLength); });
  for (const bool repeatable : {true, false}) {
    serving::Directory directory;
    directory.ApplyPolicy(serving::fakes::MakePolicy());
    directory.ApplyUpstream(upstream);
    serving::UpstreamEntry other = upstream;
    other.id = "i-8";
    other.address = sound.Address();
    other.zone = "far";  // costs more, so that the request goes to the upstream in trouble first
    directory.ApplyUpstream(other);
    serving::Frontend frontend(loop, link, directory, upstream.zone);
    serving::Route route = directory.PolicyInForce().routes[1];
    route.objective = absl::Seconds(30);  // no hedge
    if (!repeatable) route.kind = serving::RouteKind::kNonIdempotent;
    serving::CallerRequest request;
    request.id = "r1";
    request.deadline = kCallTimeout;
    request.http = {"POST", "/l/x", {{"Host", "app.example"}}, "body"};
    std::optional<serving::HttpResponse> answer;
    frontend.Handle(std::move(request), route, [&](serving::HttpResponse response) {
      answer = std::move(response);
      loop.Stop();
    });
    Run();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, repeatable ? 200 : 502);
    EXPECT_EQ(serving::FindHeader(answer->headers, "Server-Stamp"), repeatable ? "stamp" : "");
  }
}

// The threaded daemon has a client of its own.
TEST_P(InvalidStatusTest, IsNoAnswerToTheThreadedClient) {
  const std::string address = server.Address();
  const std::size_t colon = address.find(':');
  HttpPool pool;
  HttpCall call;
  call.deadline = kCallTimeout;
  call.method = "POST";
  const leaf::result<HttpAnswer> answer =
      SendHttp(pool, {address.substr(0, colon), std::stoi(address.substr(colon + 1))}, call);
  EXPECT_FALSE(answer);
}

INSTANTIATE_TEST_SUITE_P(Statuses, InvalidStatusTest,
                         testing::Combine(testing::Values("000", "001", "099", "600", "999"),
                                          testing::Values(Framing::kLength, Framing::kLengthInTwoWrites,
                                                          Framing::kChunked, Framing::kClose,
                                                          Framing::kNoBody)));

// The first and the last status that an answer may have.
TEST(ValidStatus, IsReported) {
  for (const char* status : {"200", "599"}) {
    RawServer server([status](tcp::socket& socket) { SendAnswer(socket, status, Framing::kLength); });
    serving::EventLoop loop;
    loop.After(kTestTimeout, [&loop] { loop.Stop(); });
    serving::HttpClient http(loop, {});
    serving::HttpCall call;
    call.address = server.Address();
    call.request = {"GET", "/x", {{"Host", "h"}}, ""};
    std::string seen;
    http.StartBuffered(std::move(call), [&](CallEnd end, const serving::HttpResponse& answer) {
      seen = absl::StrCat(std::string(NameOf(end)), " ", answer.status, " ", answer.body);
      loop.Stop();
    });
    loop.Run();
    EXPECT_EQ(seen, absl::StrCat("complete ", status, " ", kBody));
  }
}

}  // namespace
}  // namespace oleander
