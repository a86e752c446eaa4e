// Tests the stand-ins with the project's own clients. A stand-in that is more lenient than the real system
// hides faults of the hosts, so the tests check the behaviour that guarantees depend on: compares, streams,
// version labels, fencing tokens, rate limits, lost answers.
#include <gtest/gtest.h>

#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "oleander/platform.h"
#include "oleander/upstream.h"
#include "standins/topology.h"

namespace oleander::standins {
namespace {

constexpr absl::Duration kDeadline = absl::Seconds(5);

std::unique_ptr<Topology> Start(const Json& json) {
  Outcome<std::unique_ptr<Topology>> started =
      Capture<std::unique_ptr<Topology>>([&] { return StartTopology(json); });
  EXPECT_TRUE(Ok(started)) << (Ok(started) ? "" : ErrorOf(started).detail);
  return std::move(Value(started));
}

void InjectFault(HttpPort& port, const Json& fault) {
  EXPECT_TRUE(Ok(Capture<std::monostate>([&] { return HandleFault(port, fault, 0); })));
}

std::string UrlOf(const HttpPort& port) {
  return absl::StrCat("http://", port.endpoint.address, ":", port.endpoint.port);
}

// ---- Table

struct TableTest : testing::Test {
  std::unique_ptr<Topology> topology = Start({{"table", {{"port", 0}}}});
  TablePort port = MakeTableClient(UrlOf(topology->table->port), kDeadline);

  Outcome<TxnOutcome> Commit(const std::string& key, std::int64_t revision,
                             std::optional<std::string> value) {
    return Capture<TxnOutcome>([&] { return port.commit({{{key, revision}}, {{key, std::move(value)}}}); });
  }
  TableRow Read(const std::string& key) {
    const Outcome<TableRow> row = Capture<TableRow>([&] { return port.read(key); });
    EXPECT_TRUE(Ok(row));
    return Value(row);
  }
};

// Guards against a transaction that writes although one of its compares fails.
TEST_F(TableTest, TransactionWithAFailedCompareWritesNothing) {
  ASSERT_TRUE(Value(Commit("a", 0, "1")).committed);
  const Outcome<TxnOutcome> raced = Capture<TxnOutcome>([&] {
    return port.commit({{{"a", 0}, {"b", 0}}, {{"a", "2"}, {"b", "2"}}});
  });
  ASSERT_TRUE(Ok(raced));
  EXPECT_FALSE(Value(raced).committed);
  ASSERT_EQ(Value(raced).current.size(), 2u);
  EXPECT_EQ(Value(raced).current[0].value, "1");
  EXPECT_EQ(Value(raced).current[1].revision, 0);
  EXPECT_EQ(Read("a").value, "1");
  EXPECT_EQ(Read("b").revision, 0);
}

// Guards against a row that gets its old revision when it is deleted and created again, so that an outdated
// compare succeeds.
TEST_F(TableTest, RecreatedRowHasAHigherRevision) {
  const std::int64_t first = Value(Commit("a", 0, "1")).revision;
  ASSERT_TRUE(Value(Commit("a", first, std::nullopt)).committed);
  const Outcome<TxnOutcome> again = Commit("a", 0, "1");
  ASSERT_TRUE(Value(again).committed);
  EXPECT_GT(Value(again).revision, first);
  EXPECT_FALSE(Value(Commit("a", first, "2")).committed);
}

// Guards against a lose_answer fault that also loses the write: clients that read the row back after a lost
// answer could not be tested with it.
TEST_F(TableTest, WriteWithALostAnswerTakesEffect) {
  InjectFault(topology->table->port, {{"kind", "lose_answer"}, {"count", 1}});
  EXPECT_FALSE(Ok(Commit("a", 0, "1")));
  EXPECT_EQ(Read("a").value, "1");
}

// Guards against a stale read that returns a row that never existed.
TEST_F(TableTest, StaleReadReturnsTheRowBeforeItsLastWrite) {
  const std::int64_t first = Value(Commit("a", 0, "1")).revision;
  ASSERT_TRUE(Value(Commit("a", first, "2")).committed);
  InjectFault(topology->table->port, {{"kind", "stale_read"}, {"count", 1}});
  EXPECT_EQ(Read("a").value, "1");
  EXPECT_EQ(Read("a").value, "2");
}

// ---- Engine

struct Received {
  std::vector<std::int32_t> tokens;
  std::vector<VersionSpan> spans;
  FinishReason finish = FinishReason::kNone;
};

struct EngineTest : testing::Test {
  std::unique_ptr<Topology> topology = Start({{"weights", {{"port", 0}}},
                                              {"engines",
                                               {{{"id", "e1"},
                                                 {"model", "words"},
                                                 {"port", 0},
                                                 {"step_base_ms", 0.2},
                                                 {"load_ms", 1},
                                                 {"activate_ms", 0}}}}});
  EnginePort port = MakeEngineClient(kDeadline, kDeadline);
  Upstream engine{
      "e1", UpstreamKind::kEngine, "words", "a", topology->engines[0]->port.endpoint, UpstreamState::kLive};

  Outcome<std::monostate> Generate(const GenerateRequest& request, Received& received) {
    return Capture<std::monostate>([&] {
      return port.generate(engine, request, [&](const GenerateChunk& chunk) {
        received.tokens.insert(received.tokens.end(), chunk.tokens.begin(), chunk.tokens.end());
        AppendSpan(received.spans, chunk.version, static_cast<int>(chunk.tokens.size()));
        if (chunk.finish != FinishReason::kNone) received.finish = chunk.finish;
        return true;
      });
    });
  }
  Outcome<std::monostate> Order(OrderKind kind, Version version, std::int64_t fence) {
    return Capture<std::monostate>([&] { return port.order(engine, {kind, "words", version, fence}); });
  }
  void PutWeights(Version version) {
    httplib::Client client(UrlOf(topology->weights->port));
    ASSERT_EQ(client.Put(absl::StrCat("/weights/words/", version), "w", "application/octet-stream")->status,
              200);
  }
};

// Guards against a resumed stream that repeats, skips or changes tokens.
TEST_F(EngineTest, ResumedStreamContinuesWhereItStopped) {
  GenerateRequest request;
  request.request_id = "whole";
  request.model = "words";
  request.prompt = "clue for OLEANDER";
  request.seed = 7;
  request.max_tokens = 4096;
  Received uninterrupted;
  ASSERT_TRUE(Ok(Generate(request, uninterrupted)));
  ASSERT_GT(uninterrupted.tokens.size(), 4u);
  EXPECT_EQ(uninterrupted.finish, FinishReason::kStop);

  Received resumed;
  for (int it = 0; resumed.finish == FinishReason::kNone && it < 4096; ++it) {
    request.request_id = absl::StrCat("part-", it);
    request.resume_tokens = resumed.tokens;
    request.slice_tokens = 3;
    ASSERT_TRUE(Ok(Generate(request, resumed)));
  }
  EXPECT_EQ(resumed.tokens, uninterrupted.tokens);
  EXPECT_EQ(resumed.finish, FinishReason::kStop);
}

// Guards against an audit log that takes its versions from the events that are sent: a wrong label would then
// agree with it.
TEST_F(EngineTest, AuditLogHasTokenVersionsThatEventsLack) {
  PutWeights(2);
  ASSERT_TRUE(Ok(Order(OrderKind::kLoad, 2, 1)));
  ASSERT_TRUE(Ok(Order(OrderKind::kActivate, 2, 1)));
  InjectFault(topology->engines[0]->port, {{"kind", "no_version"}, {"count", 1}});
  GenerateRequest request;
  request.request_id = "r1";
  request.model = "words";
  Received received;
  ASSERT_TRUE(Ok(Generate(request, received)));
  EXPECT_EQ(OldestVersion(received.spans), 0);
  const Json record = topology->engines[0]->port.role.audit_log()["records"][0];
  EXPECT_EQ(record["id"], "r1");
  EXPECT_EQ(record["tokens"], Json(received.tokens));
  EXPECT_EQ(record["spans"], Json::array({Json::array({2, received.tokens.size()})}));
}

// Guards against a truncated stream, or another request's stream, that the client accepts as a complete
// answer.
TEST_F(EngineTest, CorruptedStreamsAreErrors) {
  GenerateRequest request;
  request.model = "words";
  request.prompt = "p";
  for (const char* kind : {"truncate", "too_long", "wrong_id", "close_mid_answer", "lose_answer", "down"}) {
    request.request_id = kind;
    InjectFault(topology->engines[0]->port, {{"kind", kind}, {"count", 1}});
    Received received;
    EXPECT_FALSE(Ok(Generate(request, received))) << kind;
  }
  Received received;
  EXPECT_TRUE(Ok(Generate(request, received)));
}

// Guards against an engine that accepts an order with an outdated fencing token.
TEST_F(EngineTest, OutdatedFencingTokenIsRefused) {
  PutWeights(2);
  PutWeights(3);
  ASSERT_TRUE(Ok(Order(OrderKind::kLoad, 3, 5)));
  const Outcome<std::monostate> old = Order(OrderKind::kLoad, 2, 4);
  ASSERT_FALSE(Ok(old));
  EXPECT_EQ(ErrorOf(old).kind, ErrorKind::kConflict);
  EXPECT_TRUE(Ok(Order(OrderKind::kActivate, 3, 5)));
}

// Guards against a crashed engine that still accepts connections, so that the client cannot tell that the
// work did not run, and against one that keeps its state.
TEST_F(EngineTest, CrashRefusesConnectionsAndDropsVolatileState) {
  PutWeights(2);
  ASSERT_TRUE(Ok(Order(OrderKind::kLoad, 2, 9)));
  ASSERT_TRUE(Ok(Order(OrderKind::kActivate, 2, 9)));
  InjectFault(topology->engines[0]->port, {{"kind", "crash"}});
  GenerateRequest request;
  request.request_id = "r1";
  Received received;
  EnginePort fresh = MakeEngineClient(kDeadline, kDeadline);
  const Outcome<std::monostate> refused = Capture<std::monostate>(
      [&] { return fresh.generate(engine, request, [](const GenerateChunk&) { return true; }); });
  ASSERT_FALSE(Ok(refused));
  EXPECT_EQ(ErrorOf(refused).kind, ErrorKind::kUpstreamRefused);
  EXPECT_EQ(topology->engines[0]->port.role.audit_log()["version"], 1);
}

// ---- Weight store

// Guards against a rate limit that never refuses, or that never refills.
TEST(RateLimitTest, RefusesAboveTheLimitAndRefills) {
  RateLimit limit;
  limit.per_second = 2;
  const absl::Time start = absl::FromUnixSeconds(1000);
  EXPECT_TRUE(TakeToken(limit, start));
  EXPECT_TRUE(TakeToken(limit, start));
  EXPECT_FALSE(TakeToken(limit, start));
  EXPECT_TRUE(TakeToken(limit, start + absl::Milliseconds(500)));
  EXPECT_FALSE(TakeToken(limit, start + absl::Milliseconds(500)));
}

// ---- Services and list

// Guards against an audit log that does not show that a receipt was filed twice.
TEST(ReceiptTest, AuditLogCountsEachFiling) {
  std::unique_ptr<Topology> topology =
      Start({{"services", {{{"id", "r1"}, {"role", "receipt"}, {"port", 0}}}}});
  const ServicePort port = MakeServiceClient(kDeadline);
  const Upstream upstream{"r1",
                          UpstreamKind::kService,
                          "receipt",
                          "a",
                          topology->services[0]->port.endpoint,
                          UpstreamState::kLive};
  ServiceRequest request;
  request.request_id = "q1";
  request.body = R"({"receipt":"R-1"})";
  for (int it = 0; it < 2; ++it) {
    EXPECT_TRUE(Ok(Capture<ServiceAnswer>([&] { return port.call(upstream, request); })));
  }
  EXPECT_EQ(topology->services[0]->port.role.audit_log()["filings"]["R-1"], 2);
}

// Guards against a list that is always current, which would hide hosts that rely on that.
TEST(HostListTest, ChangesAreVisibleAfterTheLag) {
  std::unique_ptr<Topology> topology = Start({{"list", {{"port", 0}, {"lag_ms", 1000}}}});
  HostList& list = *topology->list;
  const absl::Time now = absl::Now();
  SetCurrentList(list, {{"hosts", Json::array({1})}, {"upstreams", Json::array()}}, now);
  EXPECT_TRUE(DelayedList(list, now + absl::Milliseconds(900))["hosts"].empty());
  EXPECT_EQ(DelayedList(list, now + absl::Milliseconds(1000))["hosts"].size(), 1u);
}

}  // namespace
}  // namespace oleander::standins
