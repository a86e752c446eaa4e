// The callers' library against hosts that answer from a script.
#include "oleander/client.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <deque>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "standins/http_port.h"

namespace oleander {
namespace {

struct Scripted {
  int status = 200;
  std::string body;
};
struct Seen {
  std::string key;
  std::string attempt;
  std::string path;
};

// A host that gives its answers in order; the last one is repeated. An empty body closes the connection.
struct ScriptedHost {
  absl::Mutex mutex;
  std::deque<Scripted> answers;
  std::vector<Seen> seen;
  std::unique_ptr<standins::HttpPort> port;

  explicit ScriptedHost(std::deque<Scripted> script) : answers(std::move(script)) {
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
    seen.push_back(
        {req.get_header_value("Idempotency-Key"), req.get_header_value("Oleander-Attempt"), req.path});
    const Scripted answer = answers.front();
    if (answers.size() > 1) answers.pop_front();
    if (answer.body.empty()) {
      standins::CloseConnections(port->endpoint.port, req.remote_port, 0);
      return;
    }
    res.status = answer.status;
    res.set_content(answer.body, "application/json");
  }
};

Scripted Refusal(ErrorKind kind) {
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

// Guards against a retry that the recorded refusal of its own attempt number answers for ever.
TEST(ClientTest, AttemptRisesAfterANotRunRefusalAndTheKeyStays) {
  ScriptedHost host(
      {Refusal(ErrorKind::kUpstreamRefused), Refusal(ErrorKind::kClaimUnavailable), {200, "{}"}});
  EXPECT_TRUE(Ok(CallOnce(OptionsFor(host))));
  ASSERT_EQ(host.seen.size(), 3u);
  EXPECT_EQ(host.seen[0].attempt, "1");
  EXPECT_EQ(host.seen[1].attempt, "2");
  EXPECT_EQ(host.seen[2].attempt, "2");
  for (const Seen& it : host.seen) EXPECT_EQ(it.key, "k1");
}

// Guards against a non-idempotent call that is sent again although it may have run.
TEST(ClientTest, UnknownOutcomeIsNotRepeated) {
  ScriptedHost host({Refusal(ErrorKind::kOutcomeUnknown)});
  const Outcome<ServiceAnswer> answer = CallOnce(OptionsFor(host));
  ASSERT_FALSE(Ok(answer));
  EXPECT_EQ(ErrorOf(answer).kind, ErrorKind::kOutcomeUnknown);
  EXPECT_EQ(host.seen.size(), 1u);
}

// Guards against "not run" after a try whose connection was lost.
TEST(ClientTest, LostTryForbidsNotRun) {
  ScriptedHost host({{200, ""}, Refusal(ErrorKind::kOverloaded)});
  const Outcome<ServiceAnswer> answer =
      Capture<ServiceAnswer>([&] { return CallService(OptionsFor(host), "dictionary", "/lookup", "{}"); });
  ASSERT_FALSE(Ok(answer));
  EXPECT_EQ(ErrorOf(answer).kind, ErrorKind::kOutcomeUnknown);
}

// Guards against a storm of requests while all hosts refuse: seen as 5,392 refusals in an outage of 4 s.
TEST(ClientTest, RoundsOfRefusalsBackOff) {
  ScriptedHost host({Refusal(ErrorKind::kClaimUnavailable)});
  EXPECT_FALSE(Ok(CallOnce(OptionsFor(host))));
  // Pauses of 50, 100, 200 and 400 ms and the rest of the second; a constant pause of 50 ms made 20 tries.
  EXPECT_LE(host.seen.size(), 5u);
}

// Guards against a service's own error that is taken for a refusal of the host.
TEST(ClientTest, ErrorOfTheServiceIsAnAnswer) {
  ScriptedHost host({{404, R"({"error":"no such word"})"}});
  const Outcome<ServiceAnswer> answer =
      Capture<ServiceAnswer>([&] { return CallService(OptionsFor(host), "dictionary", "/lookup", "{}"); });
  ASSERT_TRUE(Ok(answer));
  EXPECT_EQ(Value(answer).status, 404);
}

// Guards against a completion that was cut and passes for whole.
TEST(ClientTest, CutStreamIsAnError) {
  const std::string event =
      "data: "
      "{\"id\":\"g1\",\"choices\":[{\"token_ids\":[1,2],\"finish_reason\":\"stop\"}],\"weight_version\":3}"
      "\n\n";
  ScriptedHost host({{200, event}, {200, event + "data: [DONE]\n\n"}});
  const Outcome<Completion> cut = Capture<Completion>([&] {
    return Complete(OptionsFor(host), {"words", "p", 8, 1});
  });
  ASSERT_FALSE(Ok(cut));
  EXPECT_EQ(ErrorOf(cut).kind, ErrorKind::kUpstreamProtocol);
  const Outcome<Completion> whole = Capture<Completion>([&] {
    return Complete(OptionsFor(host), {"words", "p", 8, 1});
  });
  ASSERT_TRUE(Ok(whole));
  EXPECT_EQ(Value(whole).spans, (std::vector<VersionSpan>{{3, 2}}));
}

}  // namespace
}  // namespace oleander
