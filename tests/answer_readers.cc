#include "tests/answer_readers.h"

#include <utility>

namespace oleander {

namespace asio = boost::asio;

using serving::CallEnd;
using serving::RawServer;
using serving::ReadHead;
using serving::tcp;
using serving::WriteText;

namespace {

// How long an answer without its end stays open before the reset. The client reads it and goes on to send the
// request until the buffers of the connection are full.
constexpr absl::Duration kUntilReset = absl::Milliseconds(30);

std::string IdOf(const std::string& head) {
  const std::string name = "Request-Id: ";
  const std::size_t at = head.find(name);
  if (at == std::string::npos) return "";
  return head.substr(at + name.size(), head.find("\r\n", at) - at - name.size());
}

}  // namespace

void SendAnswer(tcp::socket& socket, const ScriptedAnswer& answer) {
  const std::string id = IdOf(ReadHead(socket));
  const std::string text =
      absl::StrCat("HTTP/1.1 ", answer.status, " X\r\nServer-Stamp: stamp\r\nServer-Load: 1,0,8\r\n",
                   "Weight-Versions: 5\r\n", id.empty() ? "" : "Request-Id: " + id + "\r\n",
                   answer.field.empty() ? "" : answer.field + "\r\n");
  const std::string body(kAnswerBody);
  const std::string length = absl::StrCat("Content-Length: ", body.size(), "\r\n\r\n");
  switch (answer.framing) {
    case Framing::kLength:
      WriteText(socket, absl::StrCat(text, length, body));
      break;
    case Framing::kLengthInTwoWrites:
      WriteText(socket, text + length);
      absl::SleepFor(absl::Milliseconds(20));
      WriteText(socket, body);
      break;
    case Framing::kChunked:
      WriteText(socket, absl::StrCat(text, "Transfer-Encoding: chunked\r\n\r\n", absl::Hex(body.size()),
                                     "\r\n", body, answer.after_chunk));
      break;
    case Framing::kClose:
      WriteText(socket, absl::StrCat(text, "\r\n", body));
      break;
    case Framing::kNoBody:
      WriteText(socket, text + "Content-Length: 0\r\n\r\n");
      break;
  }
  if (!answer.reset) return;
  absl::SleepFor(kUntilReset);
  ResetConnection(socket);
}

void ResetConnection(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);  // the destructor would switch the option off
}

std::string Fetch(const std::string& address, const serving::HttpRequest& request) {
  serving::EventLoop loop;
  loop.After(kTestTimeout, [&loop] { loop.Stop(); });
  serving::HttpClient http(loop, {});
  serving::HttpCall call;
  call.address = address;
  call.request = request;
  std::string seen;
  http.StartBuffered(std::move(call), [&](CallEnd end, const serving::HttpResponse& answer) {
    seen = absl::StrCat(std::string(NameOf(end)), " ", answer.status, " ", answer.body);
    loop.Stop();
  });
  loop.Run();
  return seen;
}

AnswerReaders::AnswerReaders(const ScriptedAnswer& answer)
    : server([answer](tcp::socket& socket) { SendAnswer(socket, answer); }) {
  loop.After(kTestTimeout, [this] { loop.Stop(); });
  upstream.id = "i-7";
  upstream.service = "lookups";
  upstream.address = server.Address();
  upstream.slots = 8;
  upstream.started_ms = 1;
}

void AnswerReaders::Run() {
  loop.Context().restart();
  loop.Run();
}

// Lookups, calls, streams, items and scoring calls use this path.
void AnswerReaders::ExpectNoAnswerToARequest(std::size_t upload_bytes) {
  serving::UpstreamCall call;
  call.address = upstream.address;
  call.request_id = "r1";
  call.method = "POST";
  call.target = "/run";
  call.body = std::make_shared<const std::string>(upload_bytes, 'u');
  call.timeout = kCallTimeout;
  std::optional<CallEnd> end;
  serving::CallHandlers handlers;
  handlers.on_end = [&](CallEnd done) {
    end = done;
    loop.Stop();
  };
  link.Start(std::move(call), std::move(handlers));
  Run();
  EXPECT_EQ(end, CallEnd::kBroken);
}

void AnswerReaders::ExpectNoReportLoadOrOutcomeOfAnOrder() {
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

void AnswerReaders::ExpectNoAnswerOfTheStore(std::size_t upload_bytes) {
  platform::StoreClient store(loop, http, server.Address());
  std::vector<serving::StoreOutcome> outcomes;
  const serving::StoreCallback done = [&](const serving::StoreReply& reply) {
    outcomes.push_back(reply.outcome);
    loop.Stop();
  };
  store.Get({"t", "p", "", "", 0}, done);
  Run();
  store.Commit({{}, {{{"t", "p", "k"}, std::string(upload_bytes, 'u')}}, {}}, done);
  Run();
  store.Watch("t", 0, absl::ZeroDuration(), done);
  Run();
  store.GetObject("o", done);
  Run();
  store.PutObject("o", std::string(upload_bytes, 'u'), done);
  Run();
  store.ListPartitions("t", "", done);
  Run();
  EXPECT_EQ(outcomes, std::vector<serving::StoreOutcome>(6, serving::StoreOutcome::kUnknown));
}

void AnswerReaders::ExpectNoAnswerOfThePlatform() {
  platform::DutyPlatformClient duties(http, server.Address());
  std::optional<serving::DutyOutcome> outcome;
  duties.ReportUsage({"h1", 1}, 1, {}, [&](serving::DutyOutcome done) {
    outcome = done;
    loop.Stop();
  });
  Run();
  EXPECT_EQ(outcome, serving::DutyOutcome::kUnknown);
}

void AnswerReaders::ExpectNothingReachesACaller(std::size_t upload_bytes) {
  RawServer sound([](tcp::socket& socket) {
    std::string request;
    boost::system::error_code ignored;
    // The body of a request ends with this mark.
    asio::read_until(socket, asio::dynamic_buffer(request), "end", ignored);
    const std::string id = IdOf(request);
    WriteText(socket, absl::StrCat("HTTP/1.1 200 X\r\nServer-Stamp: stamp\r\nRequest-Id: ", id,
                                   "\r\nContent-Length: ", sizeof(kAnswerBody) - 1, "\r\n\r\n", kAnswerBody));
  });
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
    request.http = {"POST", "/l/x", {{"Host", "app.example"}}, std::string(upload_bytes, 'u') + "end"};
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
  EXPECT_EQ(sound.accepted, 1);
}

void AnswerReaders::ExpectNoAnswerToTheThreadedClient(std::size_t upload_bytes) {
  const std::string address = server.Address();
  const std::size_t colon = address.find(':');
  HttpPool pool;
  HttpCall call;
  call.deadline = kCallTimeout;
  call.method = "POST";
  call.body = std::string(upload_bytes, 'u');
  const leaf::result<HttpAnswer> answer =
      SendHttp(pool, {address.substr(0, colon), std::stoi(address.substr(colon + 1))}, call);
  EXPECT_FALSE(answer);
}

}  // namespace oleander
