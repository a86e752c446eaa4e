#include "oleander/calls.h"

#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"
#include "tests/matrix/fakes.h"

namespace oleander {
namespace {

using matrix::Call;
using matrix::Effect;

const Upstream kCounter{"receipts-1", UpstreamKind::kService, "receipts",
                        "a",          {"127.0.0.1", 1},       UpstreamState::kLive};

// Two hosts that share one table and one service. Call number `faulty_call` to the table or the service gets
// `effect`. With `host_dies`, host a also dies at that call: its caller gets no response, and its later calls
// fail.
struct World {
  matrix::FakeTable table;
  matrix::FakeServices services;
  std::shared_ptr<ClaimRegistry> claims_a = std::make_shared<ClaimRegistry>();
  std::shared_ptr<ClaimRegistry> claims_b = std::make_shared<ClaimRegistry>();
  int calls = 0;
  int faulty_call = 0;
  Effect effect = Effect::kPass;
  bool host_dies = false;
  bool a_died = false;

  World() {
    table.fault_hook = [this](const Call& call) { return OnCall(call); };
    services.fault_hook = table.fault_hook;
  }
  Effect OnCall(const Call& call) {
    if (call.host == "a" && a_died) return Effect::kFail;
    ++calls;
    if (calls != faulty_call) return Effect::kPass;
    if (host_dies) a_died = true;
    return effect;
  }
};

OncePorts PortsOf(World& world, const HostId& host) {
  OncePorts ports;
  ports.table = world.table.Port(host);
  ports.send = [&world, host](const PoolId&, const ServiceRequest& request) {
    return world.services.Port(host).call(kCounter, request);
  };
  ports.is_alive = [&world](const HostId& id, std::int64_t incarnation) {
    return incarnation == 1 && (id != "a" || !world.a_died);
  };
  ports.self = host;
  ports.incarnation = 1;
  ports.claims = host == "a" ? world.claims_a : world.claims_b;
  return ports;
}

OnceCall Receipt(int attempt = 1) {
  OnceCall call;
  call.caller = "kiosk";
  call.key = "sack-17";
  call.service = "receipts";
  call.request.body = "sack 17";
  call.attempt = attempt;
  return call;
}

Outcome<ServiceAnswer> RunAt(World& world, const HostId& host, int attempt, int try_number) {
  return Capture<ServiceAnswer>(
      [&] { return CallOnce(PortsOf(world, host), Receipt(attempt), absl::StrCat(host, "-", try_number)); });
}

int Runs(const World& world) {
  const auto it = world.services.runs.find("sack 17");
  return it == world.services.runs.end() ? 0 : it->second;
}

// Makes one call at host a with one fault, then a duplicate at host b as a load balancer would send it, then
// the caller's retries. Returns a description of the violation, or an empty string.
std::string RunWithFault(int faulty_call, Effect effect, bool host_dies, bool& fault_injected) {
  World world;
  world.faulty_call = faulty_call;
  world.effect = effect;
  world.host_dies = host_dies;
  const Outcome<ServiceAnswer> first = RunAt(world, "a", 1, 1);
  fault_injected = world.calls >= faulty_call;
  const bool caller_was_answered = !world.a_died;
  const bool told_not_run = caller_was_answered && !Ok(first) && DescribeError(ErrorOf(first).kind).not_run;
  const int runs_before = Runs(world);
  if (told_not_run && runs_before > 0) return "host a: reported \"not run\", but ran";
  const Outcome<ServiceAnswer> duplicate = RunAt(world, "b", 1, 2);
  if (told_not_run && Runs(world) > 0) return "a duplicate ran after the caller was told \"not run\"";
  if (!Ok(duplicate) && DescribeError(ErrorOf(duplicate).kind).not_run && Runs(world) > 0)
    return "host b: reported \"not run\", but ran";
  if (!world.a_died)
    static_cast<void>(Capture<int>([&] { return RecordClaimOutcomes(PortsOf(world, "a"), 10); }));
  // The caller retries with higher attempts at both hosts until it has an answer.
  bool answered = Ok(first) && caller_was_answered;
  bool unknown = false;
  for (int it = 0; it < 4 && !answered; ++it) {
    const Outcome<ServiceAnswer> again =
        RunAt(world, it % 2 == 0 && !world.a_died ? "a" : "b", 2 + it, 3 + it);
    answered = Ok(again);
    if (answered && Value(again).body != "done:sack 17") return "wrong answer";
    unknown = unknown || (!Ok(again) && ErrorOf(again).kind == ErrorKind::kOutcomeUnknown);
  }
  if (Runs(world) > 1) return absl::StrCat("ran ", Runs(world), " times");
  if (answered && Runs(world) != 1) return "answered without a run";
  if (!answered && !unknown) return "neither an answer nor \"outcome unknown\" in the end";
  // The call may end without an answer only if the host died or the service's response was lost.
  const bool may_stay_unknown = host_dies || effect == Effect::kLoseAnswer || effect == Effect::kCut;
  if (!answered && !may_stay_unknown) return "no answer although the outcome could be known";
  return "";
}

// Guards against a second run and a false "not run", with a fault at each step of a call with a key.
TEST(CallOnce, RunsAtMostOnceWithAFaultAtEveryStep) {
  World counting;
  ASSERT_TRUE(Ok(RunAt(counting, "a", 1, 1)));
  const int steps = counting.calls;
  ASSERT_EQ(steps, 5);  // read, claim, send, read, record
  for (int step = 1; step <= steps; ++step) {
    for (const Effect effect : {Effect::kPass, Effect::kFail, Effect::kLoseAnswer}) {
      for (const bool host_dies : {false, true}) {
        bool fault_injected = false;
        EXPECT_EQ(RunWithFault(step, effect, host_dies, fault_injected), "")
            << "step " << step << ", effect " << static_cast<int>(effect) << ", host dies " << host_dies;
        EXPECT_TRUE(fault_injected);
      }
    }
  }
}

// Guards against a check that cannot fail: with a claim in a table that host b does not share, the count must
// show a second run.
TEST(CallOnce, WithoutASharedClaimADuplicateRunsTwice) {
  World world;
  OncePorts without = PortsOf(world, "a");
  matrix::FakeTable private_table;
  without.table = private_table.Port("a");
  ASSERT_TRUE(Ok(Capture<ServiceAnswer>([&] { return CallOnce(without, Receipt(), "w1"); })));
  ASSERT_TRUE(Ok(RunAt(world, "b", 1, 2)));
  EXPECT_EQ(Runs(world), 2);
}

// Guards against "not run" from a host that cannot read the table and so cannot know whether another host ran
// the call.
TEST(CallOnce, TableOutageIsNotReportedAsNotRun) {
  World world;
  world.table.down = true;
  const Outcome<ServiceAnswer> refused = RunAt(world, "a", 1, 1);
  ASSERT_FALSE(Ok(refused));
  EXPECT_EQ(ErrorOf(refused).kind, ErrorKind::kClaimUnavailable);
  EXPECT_FALSE(DescribeError(ErrorOf(refused).kind).not_run);
  EXPECT_EQ(Runs(world), 0);
}

// Guards against a lost outcome if the table fails after the claim: the answer is kept in memory and recorded
// later.
TEST(CallOnce, OutcomeIsRecordedAfterATableOutage) {
  World world;
  world.faulty_call = 3;
  OncePorts ports = PortsOf(world, "a");
  ports.send = [&](const PoolId&, const ServiceRequest& request) {
    world.table.down = true;
    return world.services.Port("a").call(kCounter, request);
  };
  ASSERT_TRUE(Ok(Capture<ServiceAnswer>([&] { return CallOnce(ports, Receipt(), "w1"); })));
  EXPECT_TRUE(Ok(RunAt(world, "a", 1, 2)));
  world.table.down = false;
  const Outcome<ServiceAnswer> elsewhere = RunAt(world, "b", 1, 3);
  ASSERT_FALSE(Ok(elsewhere));
  EXPECT_EQ(ErrorOf(elsewhere).kind, ErrorKind::kInProgress);
  const Outcome<int> remaining = Capture<int>([&] { return RecordClaimOutcomes(ports, 10); });
  ASSERT_TRUE(Ok(remaining));
  EXPECT_EQ(Value(remaining), 0);
  EXPECT_TRUE(Ok(RunAt(world, "b", 1, 4)));
  EXPECT_EQ(Runs(world), 1);
}

TEST(CallOnce, RefusesInvalidKeysAndAnotherRequestUnderTheSameKey) {
  World world;
  ASSERT_TRUE(Ok(RunAt(world, "a", 1, 1)));
  OnceCall other = Receipt();
  other.request.body = "sack 18";
  const Outcome<ServiceAnswer> conflict =
      Capture<ServiceAnswer>([&] { return CallOnce(PortsOf(world, "b"), other, "w2"); });
  ASSERT_FALSE(Ok(conflict));
  EXPECT_EQ(ErrorOf(conflict).kind, ErrorKind::kConflict);
  for (const std::string& key :
       {std::string(), std::string("a/b"), std::string("a b"), std::string(129, 'x')}) {
    OnceCall bad = Receipt();
    bad.key = key;
    const Outcome<ServiceAnswer> refused =
        Capture<ServiceAnswer>([&] { return CallOnce(PortsOf(world, "a"), bad, "w3"); });
    ASSERT_FALSE(Ok(refused));
    EXPECT_EQ(ErrorOf(refused).kind, ErrorKind::kInvalidRequest);
  }
}

// ---- Tickets

struct TicketWorld : World {
  TicketRegistry registry;
  std::mt19937_64 random{7};
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  TicketWorld() {
    registry.self = "a";
    registry.incarnation = 1;
    table.down = true;  // tickets must work while the table is unavailable
  }
};

Ticket Issue(TicketWorld& world) {
  const Outcome<std::vector<std::string>> issued = Capture<std::vector<std::string>>(
      [&] { return IssueTickets(world.registry, "kiosk", 1, world.now, world.random); });
  return *ParseTicket(Value(issued).front());
}

Outcome<ServiceAnswer> UseTicket(TicketWorld& world, const Ticket& ticket, const OnceCall& call) {
  return Capture<ServiceAnswer>(
      [&] { return CallWithTicket(world.registry, PortsOf(world, "a"), ticket, call, world.now); });
}

// Guards against a second run if a load balancer repeats a call while the table is down.
TEST(Tickets, RepeatedCallGetsTheSameAnswerWithoutTheTable) {
  TicketWorld world;
  const Ticket ticket = Issue(world);
  ASSERT_TRUE(Ok(UseTicket(world, ticket, Receipt())));
  ASSERT_TRUE(Ok(UseTicket(world, ticket, Receipt())));
  EXPECT_EQ(Runs(world), 1);
}

// Guards against a run after a "not run" refusal: a duplicate has the same attempt number, the caller's own
// retry a higher one.
TEST(Tickets, RefusedTicketRunsOnlyWithAHigherAttempt) {
  TicketWorld world;
  const Ticket ticket = Issue(world);
  world.faulty_call = 1;
  world.effect = Effect::kFail;
  const Outcome<ServiceAnswer> refused = UseTicket(world, ticket, Receipt(1));
  ASSERT_FALSE(Ok(refused));
  EXPECT_TRUE(DescribeError(ErrorOf(refused).kind).not_run);
  EXPECT_FALSE(Ok(UseTicket(world, ticket, Receipt(1))));
  EXPECT_EQ(Runs(world), 0);
  EXPECT_TRUE(Ok(UseTicket(world, ticket, Receipt(2))));
  EXPECT_EQ(Runs(world), 1);
}

// Guards against a run by another incarnation, by another caller or with a guessed nonce.
TEST(Tickets, OnlyTheIssuingIncarnationAndCallerMayRunThem) {
  TicketWorld world;
  const Ticket ticket = Issue(world);
  Ticket guessed = ticket;
  guessed.nonce ^= 1;
  EXPECT_EQ(ErrorOf(UseTicket(world, guessed, Receipt())).kind, ErrorKind::kForbidden);
  OnceCall stranger = Receipt();
  stranger.caller = "other";
  EXPECT_EQ(ErrorOf(UseTicket(world, ticket, stranger)).kind, ErrorKind::kForbidden);
  Ticket never_issued = ticket;
  never_issued.serial = 99;
  EXPECT_EQ(ErrorOf(UseTicket(world, never_issued, Receipt())).kind, ErrorKind::kNotFound);
  world.registry.incarnation = 2;
  EXPECT_EQ(ErrorOf(UseTicket(world, ticket, Receipt())).kind, ErrorKind::kNotFound);
  EXPECT_EQ(Runs(world), 0);
}

// Guards against "not run" for a ticket that ran and was then dropped after its lifetime.
TEST(Tickets, ExpiredTicketHasAnUnknownOutcome) {
  TicketWorld world;
  const Ticket ticket = Issue(world);
  ASSERT_TRUE(Ok(UseTicket(world, ticket, Receipt())));
  world.table.down = false;
  ASSERT_TRUE(
      Ok(Capture<int>([&] { return RecordTicketOutcomes(world.registry, world.table.Port("a"), 10); })));
  world.now += world.registry.limits.lifetime;
  Issue(world);
  EXPECT_EQ(ErrorOf(UseTicket(world, ticket, Receipt())).kind, ErrorKind::kOutcomeUnknown);
  EXPECT_EQ(Runs(world), 1);
}

// Guards against a repeated call that gets no answer although the issuer recorded one before it died.
TEST(Tickets, RecordedOutcomeIsFoundAfterTheIssuerDied) {
  TicketWorld world;
  const Ticket recorded = Issue(world);
  const Ticket unrecorded = Issue(world);
  ASSERT_TRUE(Ok(UseTicket(world, recorded, Receipt())));
  world.table.down = false;
  ASSERT_TRUE(
      Ok(Capture<int>([&] { return RecordTicketOutcomes(world.registry, world.table.Port("a"), 10); })));
  const TablePort table = world.table.Port("b");
  const Outcome<ServiceAnswer> found =
      Capture<ServiceAnswer>([&] { return FindTicketOutcome(table, recorded, Receipt()); });
  ASSERT_TRUE(Ok(found));
  EXPECT_EQ(Value(found).body, "done:sack 17");
  const Outcome<ServiceAnswer> unknown =
      Capture<ServiceAnswer>([&] { return FindTicketOutcome(table, unrecorded, Receipt()); });
  EXPECT_EQ(ErrorOf(unknown).kind, ErrorKind::kOutcomeUnknown);
}

TEST(Tickets, TextFormRoundTripsAndInvalidTextIsRefused) {
  const Ticket ticket{"a-1", 1700000000000, 3, 42};
  const std::optional<Ticket> same = ParseTicket(ToString(ticket));
  ASSERT_TRUE(same.has_value());
  EXPECT_EQ(ToString(*same), ToString(ticket));
  for (const char* text :
       {"", "a", "a.1.2", "a.x.2.3", ".1.2.3", "a.1.0.3", "a.1.2.99999999999999999999999"}) {
    EXPECT_FALSE(ParseTicket(text).has_value()) << text;
  }
}

}  // namespace
}  // namespace oleander
