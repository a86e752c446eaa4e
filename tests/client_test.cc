// Tests the client library against hosts that return scripted answers.
#include "oleander/client.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <deque>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "standins/http_port.h"

namespace oleander {
namespace {

struct ScriptedAnswer {
  int status = 200;
  std::string body;
};
struct ReceivedRequest {
  std::string key;
  std::string attempt;
  std::string path;
};

// A host that returns its answers in order and then repeats the last one. For an empty body it closes the
// connection without an answer.
struct ScriptedHost {
  absl::Mutex mutex;
  std::deque<ScriptedAnswer> answers;
  std::vector<ReceivedRequest> requests;
  std::unique_ptr<standins::HttpPort> port;

  explicit ScriptedHost(std::deque<ScriptedAnswer> script) : answers(std::move(script)) {
    standins::PortRole role;
    role.name = "host";
    role.audit_log = [] { return Json::object(); };
    role.routes = [this](httplib::Server& server) {
      server.Post(".*", [this](const httplib::Request& req, httplib::Response& res) { Answer(req, res); });
    };
    Outcome<std::unique_ptr<standins::HttpPort>> opened = Capture<std::unique_ptr<standins::HttpPort>>([&] {
      return standins::OpenPort({"127.0.0.1", 0}, std::move(role));
    });
    port = std::move(Value(opened));
  }
  void Answer(const httplib::Request& req, httplib::Response& res) {
    absl::MutexLock lock(&mutex);
    requests.push_back(
        {req.get_header_value("Idempotency-Key"), req.get_header_value("Oleander-Attempt"), req.path});
    const ScriptedAnswer answer = answers.front();
    if (answers.size() > 1) answers.pop_front();
    if (answer.body.empty()) {
      standins::CloseConnections(port->endpoint.port, req.remote_port, 0);
      return;
    }
    res.status = answer.status;
    res.set_content(answer.body, "application/json");
  }
};

ScriptedAnswer Refusal(ErrorKind kind) {
  const ErrorAnswer& row = DescribeError(kind);
  return {
      row.http_status,
      Json{{"error", {{"kind", row.name}, {"detail", ""}, {"not_run", row.not_run}, {"retry", row.retry}}}}
          .dump()};
}

ClientOptions OptionsFor(const ScriptedHost& host) {
  ClientOptions options;
  options.hosts = {host.port->endpoint};
  options.token = "token";
  options.deadline = absl::Seconds(1);
  return options;
}

Outcome<ServiceAnswer> CallOnce(const ClientOptions& options) {
  return Capture<ServiceAnswer>([&] { return CallServiceOnce(options, "receipts", "/file", "{}", "k1"); });
}

// Guards against a retry with the attempt number of a recorded refusal: the host would repeat that refusal
// for ever.
TEST(ClientTest, NotRunRefusalRaisesTheAttemptNumberAndKeepsTheKey) {
  ScriptedHost host(
      {Refusal(ErrorKind::kUpstreamRefused), Refusal(ErrorKind::kClaimUnavailable), {200, "{}"}});
  EXPECT_TRUE(Ok(CallOnce(OptionsFor(host))));
  ASSERT_EQ(host.requests.size(), 3u);
  EXPECT_EQ(host.requests[0].attempt, "1");
  EXPECT_EQ(host.requests[1].attempt, "2");
  EXPECT_EQ(host.requests[2].attempt, "2");
  for (const ReceivedRequest& it : host.requests) EXPECT_EQ(it.key, "k1");
}

// Guards against a retry of a non-idempotent call that may have run.
TEST(ClientTest, UnknownOutcomeIsNotRepeated) {
  ScriptedHost host({Refusal(ErrorKind::kOutcomeUnknown)});
  const Outcome<ServiceAnswer> answer = CallOnce(OptionsFor(host));
  ASSERT_FALSE(Ok(answer));
  EXPECT_EQ(ErrorOf(answer).kind, ErrorKind::kOutcomeUnknown);
  EXPECT_EQ(host.requests.size(), 1u);
}

// Guards against a "not run" error although an earlier attempt, whose connection was lost, may have run.
TEST(ClientTest, LostConnectionMakesALaterNotRunErrorOutcomeUnknown) {
  ScriptedHost host({{200, ""}, Refusal(ErrorKind::kOverloaded)});
  const Outcome<ServiceAnswer> answer =
      Capture<ServiceAnswer>([&] { return CallService(OptionsFor(host), "dictionary", "/lookup", "{}"); });
  ASSERT_FALSE(Ok(answer));
  EXPECT_EQ(ErrorOf(answer).kind, ErrorKind::kOutcomeUnknown);
}

// Guards against a retry storm while all hosts refuse: without backoff, a 4 s outage caused 5,392 refusals.
TEST(ClientTest, RetriesBackOffWhileAllHostsRefuse) {
  ScriptedHost host({Refusal(ErrorKind::kClaimUnavailable)});
  EXPECT_FALSE(Ok(CallOnce(OptionsFor(host))));
  // Pauses of 50, 100, 200 and 400 ms and the rest of the second. A constant pause of 50 ms caused 20
  // attempts.
  EXPECT_LE(host.requests.size(), 5u);
}

// Guards against treating an error answer of the service as a refusal by the host.
TEST(ClientTest, ErrorOfTheServiceIsReturnedAsAnAnswer) {
  ScriptedHost host({{404, R"({"error":"no such word"})"}});
  const Outcome<ServiceAnswer> answer =
      Capture<ServiceAnswer>([&] { return CallService(OptionsFor(host), "dictionary", "/lookup", "{}"); });
  ASSERT_TRUE(Ok(answer));
  EXPECT_EQ(Value(answer).status, 404);
}

// Guards against returning a truncated completion as complete.
TEST(ClientTest, TruncatedStreamIsAnError) {
  const std::string event =
      "data: "
      "{\"id\":\"g1\",\"choices\":[{\"token_ids\":[1,2],\"finish_reason\":\"stop\"}],\"weight_version\":3}"
      "\n\n";
  ScriptedHost host({{200, event}, {200, event + "data: [DONE]\n\n"}});
  const Outcome<Completion> truncated = Capture<Completion>([&] {
    return Complete(OptionsFor(host), {"words", "p", 8, 1});
  });
  ASSERT_FALSE(Ok(truncated));
  EXPECT_EQ(ErrorOf(truncated).kind, ErrorKind::kUpstreamProtocol);
  const Outcome<Completion> complete = Capture<Completion>([&] {
    return Complete(OptionsFor(host), {"words", "p", 8, 1});
  });
  ASSERT_TRUE(Ok(complete));
  EXPECT_EQ(Value(complete).spans, (std::vector<VersionSpan>{{3, 2}}));
}

}  // namespace
}  // namespace oleander
