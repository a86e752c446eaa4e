#include "oleander/config.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "bench/control_network.h"

namespace oleander {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

ConfigChange Change(std::int64_t expected, int deadline_ms, const std::string& write_id) {
  ConfigChange change;
  change.expected_version = expected;
  change.policy.call_deadline_ms = deadline_ms;
  change.changed_by = "eleni";
  change.write_id = write_id;
  return change;
}
Outcome<ConfigDocument> Propose(const TablePort& table, const ConfigChange& change,
                                const ConfigDocument* known = nullptr) {
  return Capture<ConfigDocument>([&] { return ProposeConfig(table, change, known); });
}
ConfigDocument Document(std::int64_t version, int deadline_ms) {
  ConfigDocument document;
  document.version = version;
  document.policy.call_deadline_ms = deadline_ms;
  return document;
}

struct ConfigTest : testing::Test {
  ConfigTest() : table(MakeMemoryTable(platform)) {}
  // The version that the table holds.
  std::int64_t TableVersion() { return Json::parse(platform.rows.at(kConfigKey).value).at("version"); }
  ConfigUpdate Poll(ConfigState& state, absl::Time now) { return PollConfig(state, table, 12, now, random); }
  ControlPlatform platform;
  TablePort table;
  std::mt19937_64 random{1};
};

// Guards against a change that silently replaces another operator's change.
TEST_F(ConfigTest, LaterOfTwoConcurrentChangesGetsAConflictWithTheOtherDocument) {
  ASSERT_TRUE(Ok(Propose(table, Change(0, 1000, "w1"))));
  ASSERT_TRUE(Ok(Propose(table, Change(1, 2000, "w2"))));
  const Outcome<ConfigDocument> lost = Propose(table, Change(1, 3000, "w3"));
  ASSERT_FALSE(Ok(lost));
  EXPECT_EQ(ErrorOf(lost).kind, ErrorKind::kConflict);
  EXPECT_EQ(Json::parse(ErrorOf(lost).detail).at("policy").at("call_deadline_ms"), 2000);
  // A race within the call: another change is committed between its read and its write.
  TablePort racing = table;
  racing.commit = [&](const TableTxn& txn) {
    EXPECT_TRUE(Ok(Propose(table, Change(2, 4000, "w4"))));
    return table.commit(txn);
  };
  const Outcome<ConfigDocument> raced = Propose(racing, Change(2, 5000, "w5"));
  ASSERT_FALSE(Ok(raced));
  EXPECT_EQ(ErrorOf(raced).kind, ErrorKind::kConflict);
  EXPECT_EQ(TableVersion(), 3);
}

// Guards against a change that is reported as failed or applied twice because a response was lost.
TEST_F(ConfigTest, LostResponseIsResolvedByTheWriteId) {
  TablePort lossy = table;
  lossy.commit = [&](const TableTxn& txn) -> leaf::result<TxnOutcome> {
    BOOST_LEAF_CHECK(table.commit(txn));
    return Fail(ErrorKind::kStoreUnavailable, "answer lost");
  };
  ASSERT_TRUE(Ok(Propose(lossy, Change(0, 1000, "w1"))));
  EXPECT_EQ(TableVersion(), 1);
  const Outcome<ConfigDocument> again = Propose(table, Change(0, 1000, "w1"));
  ASSERT_TRUE(Ok(again));
  EXPECT_EQ(Value(again).version, 1);
  EXPECT_EQ(TableVersion(), 1);
  // Another operator's change follows before the read-back.
  lossy.commit = [&](const TableTxn& txn) -> leaf::result<TxnOutcome> {
    BOOST_LEAF_CHECK(table.commit(txn));
    EXPECT_TRUE(Ok(Propose(table, Change(2, 3000, "w3"))));
    return Fail(ErrorKind::kStoreUnavailable, "answer lost");
  };
  const Outcome<ConfigDocument> superseded = Propose(lossy, Change(1, 2000, "w2"));
  ASSERT_TRUE(Ok(superseded)) << ErrorOf(superseded).detail;
  EXPECT_EQ(Value(superseded).version, 2);
}

// Guards against a host that returns the document it tried to write instead of the committed one. While the
// host was paused during its write, another operator's change was accepted, and the first operator repeated
// the change with a new predecessor. Found by fault_matrix, seed 73519,
// operator_races+host_pauses/hosts:13:20.
TEST_F(ConfigTest, RepeatedChangeReturnsTheCommittedDocument) {
  TablePort paused = table;
  paused.commit = [&](const TableTxn& txn) -> leaf::result<TxnOutcome> {
    EXPECT_TRUE(Ok(Propose(table, Change(0, 2000, "rival"))));
    BOOST_LEAF_AUTO(outcome, table.commit(txn));
    EXPECT_FALSE(outcome.committed);
    EXPECT_TRUE(Ok(Propose(table, Change(1, 1000, "w1"))));
    return outcome;
  };
  const Outcome<ConfigDocument> answer = Propose(paused, Change(0, 1000, "w1"));
  ASSERT_TRUE(Ok(answer));
  EXPECT_EQ(Value(answer).version, 2);
  EXPECT_EQ(TableVersion(), 2);
}

TEST_F(ConfigTest, RefusesContradictionsAndExceptionsWithoutReason) {
  ConfigChange change = Change(0, 1000, "w1");
  change.exceptions = {{"", "job/clues", {{"slice_tokens", 8}}, ""}};
  EXPECT_EQ(ErrorOf(Propose(table, change)).kind, ErrorKind::kReasonRequired);
  change.exceptions[0].reason = "short slices for a test";
  change.exceptions[0].changes = {{"steps_ahead", 3}};
  EXPECT_EQ(ErrorOf(Propose(table, change)).kind, ErrorKind::kInvalidRequest);
  change.exceptions.clear();
  change.policy.steps_ahead = 3;
  EXPECT_EQ(ErrorOf(Propose(table, change)).kind, ErrorKind::kInvalidRequest);
  EXPECT_EQ(platform.writes, 0);
}

// Guards against a configuration that reverts, because a stale read or a restored table shows a lower
// version.
TEST_F(ConfigTest, LowerVersionIsRefusedAndWrittenBack) {
  ConfigState state;
  ASSERT_TRUE(Ok(Propose(table, Change(0, 1000, "w1"))));
  const std::map<std::string, TableRow> backup = platform.rows;
  ASSERT_TRUE(Ok(Propose(table, Change(1, 2000, "w2"))));
  ASSERT_EQ(Poll(state, kNow), ConfigUpdate::kNewer);
  ASSERT_EQ(state.current.version, 2);

  // Stale read: the write-back fails its compare and the table keeps its row.
  TablePort stale = table;
  stale.read = [&](const std::string& key) -> leaf::result<TableRow> { return backup.at(key); };
  EXPECT_EQ(PollConfig(state, stale, 12, kNow + absl::Seconds(2), random), ConfigUpdate::kLowerRefused);
  EXPECT_EQ(state.current.version, 2);
  EXPECT_EQ(TableVersion(), 2);

  // Restored table: changes are refused until the highest known document is written back.
  platform.rows = backup;
  const Outcome<ConfigDocument> refused = Propose(table, Change(1, 9000, "w9"), &state.current);
  ASSERT_FALSE(Ok(refused));
  EXPECT_EQ(ErrorOf(refused).kind, ErrorKind::kConflict);
  EXPECT_EQ(Poll(state, kNow + absl::Seconds(4)), ConfigUpdate::kLowerRefused);
  EXPECT_EQ(state.current.version, 2);
  EXPECT_EQ(TableVersion(), 2);
  EXPECT_EQ(state.reversions_refused, 2);

  // An empty table counts as version 0.
  platform.rows.clear();
  EXPECT_EQ(Poll(state, kNow + absl::Seconds(6)), ConfigUpdate::kLowerRefused);
  EXPECT_EQ(TableVersion(), 2);
}

// Guards against hosts that keep different documents with the same version.
TEST_F(ConfigTest, TheTableDecidesAForkedHistory) {
  ConfigState state;
  EXPECT_EQ(ApplyConfig(state, Document(3, 1000), false, kNow), ConfigUpdate::kNewer);
  EXPECT_EQ(ApplyConfig(state, Document(3, 1000), false, kNow), ConfigUpdate::kUnchanged);
  EXPECT_EQ(ApplyConfig(state, Document(3, 2000), false, kNow), ConfigUpdate::kForked);
  EXPECT_EQ(state.current.policy.call_deadline_ms, 1000);
  EXPECT_EQ(ApplyConfig(state, Document(3, 2000), true, kNow), ConfigUpdate::kForked);
  EXPECT_EQ(state.current.policy.call_deadline_ms, 2000);
  EXPECT_EQ(ApplyConfig(state, Document(4, 4000), true, kNow), ConfigUpdate::kNewer);
  EXPECT_EQ(state.forks_seen, 3);
  EXPECT_EQ(ApplyConfig(state, Document(2, 1000), false, kNow), ConfigUpdate::kLowerRefused);
  EXPECT_EQ(state.reversions_refused, 0);
}

TEST_F(ConfigTest, UnconfirmedFourSecondsAfterTheLastTableRead) {
  ConfigState state;
  EXPECT_FALSE(ConfigConfirmed(state, kNow));
  ASSERT_TRUE(Ok(Propose(table, Change(0, 1000, "w1"))));
  Poll(state, kNow);
  EXPECT_TRUE(ConfigConfirmed(state, kNow + absl::Seconds(4)));
  EXPECT_FALSE(ConfigConfirmed(state, kNow + absl::Milliseconds(4001)));
  platform.up = false;
  Poll(state, kNow + absl::Seconds(5));
  EXPECT_FALSE(ConfigConfirmed(state, kNow + absl::Seconds(5)));
  // A peer's confirmation counts from the time of its table read.
  const absl::Time table_read_at = kNow + absl::Seconds(6);
  EXPECT_FALSE(HandlePeerVersion(state, 1, table_read_at, kNow + absl::Seconds(8), random));
  EXPECT_TRUE(ConfigConfirmed(state, kNow + absl::Seconds(10)));
  EXPECT_FALSE(ConfigConfirmed(state, kNow + absl::Seconds(11)));
  // A peer with a newer document confirms nothing and brings the poll forward.
  EXPECT_TRUE(HandlePeerVersion(state, 2, kNow + absl::Seconds(20), kNow + absl::Seconds(20), random));
  EXPECT_FALSE(ConfigConfirmed(state, kNow + absl::Seconds(20)));
  EXPECT_LE(state.next_poll, kNow + absl::Milliseconds(20500));
}

TEST_F(ConfigTest, PollsOfAllHostsStayUnderTwentyReadsASecond) {
  EXPECT_EQ(ConfigPollInterval(12), absl::Seconds(1));
  EXPECT_EQ(ConfigPollInterval(370), absl::Seconds(18.5));
}

// Guards against accepting a document that was damaged in the table or in transit.
TEST_F(ConfigTest, RefusesUnknownKeysAndWrongTypes) {
  Json json = ToJson(Document(1, 1000));
  json["policy"]["call_deadline"] = 1;
  EXPECT_FALSE(Ok(Capture<ConfigDocument>([&] { return ConfigFromJson(json); })));
  json = ToJson(Document(1, 1000));
  json["version"] = "1";
  EXPECT_FALSE(Ok(Capture<ConfigDocument>([&] { return ConfigFromJson(json); })));
  json["version"] = 1;
  EXPECT_TRUE(Ok(Capture<ConfigDocument>([&] { return ConfigFromJson(json); })));
}

}  // namespace
}  // namespace oleander
