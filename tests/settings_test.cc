#include "oleander/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "oleander/policy.h"

namespace oleander {
namespace {

using testing::HasSubstr;
using testing::Not;

Json ValidSettings() {
  return Json::parse(R"({
    "host": {"id": "a1", "zone": "a", "address": "127.0.0.1", "caller_port": 8080, "peer_port": 8081},
    "seeds": [{"address": "127.0.0.1", "port": 9001}],
    "platform": {"table_url": "http://127.0.0.1:1", "object_url": "http://127.0.0.1:2",
                 "list_url": "http://127.0.0.1:3/list"},
    "credentials": {"callers": [{"name": "kiosk", "token": "caller-token"}],
                    "operators": [{"name": "eleni", "token": "operator-token"}],
                    "host_secret": "host-secret"},
    "timing": {"suspicion_ms": 200}})");
}

struct Parsed {
  Settings settings;     //
  std::string problems;  // empty: accepted
};

// Capture is not used here because GCC 12 reports -Wmaybe-uninitialized for a variant of this size.
Parsed Parse(const std::string& text) {
  Parsed parsed;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(parsed.settings, ParseSettings(text));
        return {};
      },
      [&](const Error& error) { parsed.problems = error.detail; },
      [&] { parsed.problems = "error without a kind"; });
  return parsed;
}
std::string ProblemsOf(const Json& json) { return Parse(json.dump()).problems; }

TEST(Settings, ReadsAllSectionsAndKeepsDefaults) {
  const Parsed parsed = Parse(ValidSettings().dump());
  ASSERT_EQ(parsed.problems, "");
  EXPECT_EQ(parsed.settings.host.peer_port, 8081);
  EXPECT_EQ(parsed.settings.seeds.at(0).port, 9001);
  EXPECT_EQ(parsed.settings.operators.at(0).name, "eleni");
  EXPECT_EQ(parsed.settings.suspicion_ms, 200);
  EXPECT_EQ(parsed.settings.gossip_period_ms, 1000);
}

// Guards against a parser that reports only the first mistake, so that the host must be restarted once per
// mistake.
TEST(Settings, ReportsEveryBadKeyWithPathFoundAndExpected) {
  Json json = ValidSettings();
  json["host"]["caller_port"] = 70000;
  json["host"]["address"] = "localhost";
  json["seeds"][0]["port"] = "9001";
  json["platform"].erase("table_url");
  json["timing"]["suspicion"] = 3;
  json["limits"] = {{"caller_threads", 4.5}};
  json["log"] = 7;
  const std::string problems = ProblemsOf(json);
  EXPECT_THAT(problems, HasSubstr("host.caller_port: found 70000, expected an integer from 1 to 65535"));
  EXPECT_THAT(problems, HasSubstr("host.address: found \"localhost\", expected an IP address"));
  EXPECT_THAT(problems, HasSubstr("seeds[0].port: found \"9001\", expected an integer"));
  EXPECT_THAT(problems, HasSubstr("platform.table_url: found nothing, expected a URL"));
  EXPECT_THAT(problems, HasSubstr("timing.suspicion: found an unknown key"));
  EXPECT_THAT(problems, HasSubstr("limits.caller_threads: found 4.5"));
  EXPECT_THAT(problems, HasSubstr("log: found 7, expected an object"));
  EXPECT_EQ(std::count(problems.begin(), problems.end(), '\n'), 6);
}

// Guards against secrets in error messages, and against one token that identifies two senders.
TEST(Settings, NeverShowsSecretsAndRefusesSharedTokens) {
  Json json = ValidSettings();
  json["credentials"]["callers"][0]["token"] = "s3cret";
  json["credentials"]["host_secret"] = "operator-token";
  const std::string problems = ProblemsOf(json);
  EXPECT_THAT(problems, HasSubstr("credentials.callers[0].token: found a string of 6 characters"));
  EXPECT_THAT(problems, HasSubstr("credentials.host_secret: found the token of a caller or operator"));
  EXPECT_THAT(problems, Not(HasSubstr("s3cret")));
}

// Guards against a duplicate key that silently overrides the first, and against stack overflow in the parser
// on deeply nested input.
TEST(Settings, RefusesDuplicateKeysAndDeepNesting) {
  EXPECT_THAT(Parse(R"({"host": 1, "host": 2})").problems, HasSubstr("duplicate key \"host\""));
  EXPECT_THAT(Parse(std::string(1000000, '[')).problems, HasSubstr("nested deeper"));
  EXPECT_THAT(Parse("{\"host\": ").problems, HasSubstr("syntax error"));
}

TEST(PolicyJson, RoundTripsAndReportsEveryBadField) {
  Policy policy;
  policy.hedge_budget = 0.25;
  const Outcome<Policy> same = Capture<Policy>([&] { return PolicyFromJson(ToJson(policy)); });
  ASSERT_TRUE(Ok(same));
  EXPECT_EQ(ToJson(Value(same)), ToJson(policy));
  const Json bad = {{"staleness_bound", "2"}, {"max_loading_fraction", 0}, {"hedge", 1}};
  const Outcome<Policy> refused = Capture<Policy>([&] { return PolicyFromJson(bad); });
  ASSERT_FALSE(Ok(refused));
  EXPECT_THAT(ErrorOf(refused).detail, HasSubstr("staleness_bound: found \"2\""));
  EXPECT_THAT(ErrorOf(refused).detail, HasSubstr("max_loading_fraction: found 0, expected a number above 0"));
  EXPECT_THAT(ErrorOf(refused).detail, HasSubstr("hedge: found an unknown key"));
}

Outcome<std::monostate> CheckAll(const std::vector<PolicyException>& exceptions) {
  return Capture<std::monostate>([&] { return CheckExceptions(Policy(), exceptions); });
}

TEST(PolicyCheck, RefusesContradictionsAndMissingReasons) {
  EXPECT_TRUE(Ok(CheckAll({{"1", "job/clues", {{"steps_ahead", 2}}, "short steps"}})));
  EXPECT_EQ(ErrorOf(CheckAll({{"1", "job/clues", {{"steps_ahead", 2}}, "   "}})).kind,
            ErrorKind::kReasonRequired);
  EXPECT_THAT(ErrorOf(CheckAll({{"1", "job/clues", {{"steps_ahead", 3}}, "reason"}})).detail,
              HasSubstr("steps_ahead: found 3, expected at most staleness_bound (2)"));
  EXPECT_THAT(ErrorOf(CheckAll({{"1", "host/a1", {{"steps_ahead", 1}}, "reason"}})).detail,
              HasSubstr("scope"));
}

// Guards against two exceptions that are each valid but together leave no engine slot for training.
TEST(PolicyCheck, RefusesExceptionsThatContradictEachOther) {
  const PolicyException small = {"1", "pool/m", {{"engine_max_in_flight", 4}}, "small engines"};
  const PolicyException reserved = {"2", "zone/a", {{"engine_reserved_interactive", 4}}, "busy zone"};
  EXPECT_TRUE(Ok(CheckAll({small})));
  EXPECT_TRUE(Ok(CheckAll({reserved})));
  EXPECT_THAT(ErrorOf(CheckAll({small, reserved})).detail, HasSubstr("pool/m and zone/a both apply"));
}

TEST(PolicyScopes, NarrowestExceptionWins) {
  const std::vector<PolicyException> exceptions = {
      {"1", "upstream/e1", {{"engine_max_in_flight", 9}}, "reason"},
      {"2", "job/clues", {{"engine_max_in_flight", 8}, {"slice_tokens", 8}}, "reason"},
      {"3", "pool/m", {{"engine_max_in_flight", 7}, {"slice_tokens", 7}, {"staleness_bound", 7}}, "reason"}};
  const Policy policy = EffectivePolicy(Policy(), exceptions, {"clues", "m", "a", "e1"});
  EXPECT_EQ(policy.engine_max_in_flight, 9);
  EXPECT_EQ(policy.slice_tokens, 8);
  EXPECT_EQ(policy.staleness_bound, 7);
  EXPECT_EQ(EffectivePolicy(Policy(), exceptions, {"other", "n", "a", "e2"}).engine_max_in_flight, 16);
}

}  // namespace
}  // namespace oleander
