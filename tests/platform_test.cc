// Tests of the translation between the platform's protocol and the core: malformed records, store replies,
// the change feed, and the rule that only platform/ uses the protocol's names.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <random>
#include <regex>

#include "absl/strings/escaping.h"
#include "absl/strings/str_format.h"
#include "fuzz/mutate.h"
#include "oleander/entry_settings.h"
#include "platform/decode.h"
#include "platform/engine_link.h"
#include "platform/feed.h"
#include "platform/store_client.h"
#include "platform/wire.h"
#include "serving/batch_records.h"
#include "serving/event_loop.h"
#include "serving/event_stream.h"
#include "serving/http_client.h"
#include "serving/http_server.h"
#include "tests/serving_fakes.h"

namespace oleander::platform {
namespace {

using serving::RouteKind;

constexpr char kPolicy[] = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","prefix":"/l/","routeKind":"idempotent","timeoutMs":1500,"targetLatencyMs":150,
   "priority":2,"trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2},
  {"name":"r2","host":"a.example","prefix":"/r/","routeKind":"rollout","timeoutMs":10000,"targetLatencyMs":500,
   "service":"s2","maxAttempts":3,"keepS":40.0,"runAimMs":7500,"singleVersion":true,"canResume":true}],
  "services":[{"name":"s1","maxConnections":96},{"name":"s2","maxConnections":150,
   "engine":{"slots":12,"models":[{"name":"m1"},{"name":"m2"}]}}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
constexpr char kEntry[] = R"({"service":"s2","address":"10.1.2.3:80","zone":"z1","version":"v1","slots":12,
  "state":"ready","warmupLeftMs":0,"stage":"combined","models":[{"name":"m1","version":4,"adapters":[]}],
  "sequence":4,"born":1700000000000})";
constexpr char kSubmission[] = R"({"step":7,"model":"m1","minVersion":6,"desiredCount":12,"items":[
  {"id":"i1","path":"/r/1","headers":{"Model":"m1","Length-Hint":"900"},"body":"q83vEjRWeJA=","tokenCount":940,
   "group":"g1"}]})";

TEST(Decode, ReadsAPolicy) {
  const std::optional<serving::Policy> policy = DecodePolicy(kPolicy);
  ASSERT_TRUE(policy);
  EXPECT_EQ(policy->version, 7);
  ASSERT_EQ(policy->routes.size(), 2u);
  EXPECT_EQ(policy->routes[0].kind, RouteKind::kIdempotent);
  EXPECT_EQ(policy->routes[0].services.size(), 2u);
  EXPECT_EQ(policy->routes[1].kind, RouteKind::kRollout);
  EXPECT_EQ(policy->routes[1].max_item_age, absl::Seconds(40));
  EXPECT_TRUE(policy->routes[1].single_version);
  EXPECT_EQ(policy->services[1].models, (std::vector<std::string>{"m1", "m2"}));
  EXPECT_EQ(policy->limits.max_body_bytes, 1000000);
}

// Guards against applying part of a policy: a record with an unreadable part leaves the last valid policy in
// force.
TEST(Decode, RefusesAPolicyWithAnUnreadablePart) {
  for (const char* text : {"", "null", "[]", "{", R"({"version":"x"})",
                           R"({"version":3,"routes":[{"name":"r"}],"services":[]})"}) {
    EXPECT_FALSE(DecodePolicy(text)) << text;
  }
}

// Guards against using registrations with missing or malformed fields, as another writer may store them.
TEST(Decode, RefusesMalformedRegistrations) {
  ASSERT_TRUE(DecodeUpstream("i-1", kEntry));
  EXPECT_EQ(DecodeUpstream("i-1", kEntry)->weights.at("m1"), 4);
  EXPECT_EQ(DecodeUpstream("i-1", kEntry)->started_ms, 1700000000000);
  EXPECT_FALSE(DecodeUpstream("", kEntry));
  const Json good = Json::parse(kEntry);
  for (const char* key : {"service", "address", "zone", "version", "slots", "state"}) {
    Json missing = good;
    missing.erase(key);
    EXPECT_FALSE(DecodeUpstream("i-1", missing.dump())) << key;
    Json wrong = good;
    wrong[key] = Json::array({1, 2});
    EXPECT_FALSE(DecodeUpstream("i-1", wrong.dump())) << key;
  }
  Json wrong = good;
  wrong["state"] = "resting";
  EXPECT_FALSE(DecodeUpstream("i-1", wrong.dump()));
  wrong = good;
  wrong["born"] = 1.5;
  EXPECT_FALSE(DecodeUpstream("i-1", wrong.dump()));
  wrong = good;
  wrong["address"] = "nowhere";
  EXPECT_FALSE(DecodeUpstream("i-1", wrong.dump()));
}

TEST(Decode, ReadsASubmission) {
  const std::optional<serving::BatchSubmission> job = DecodeSubmission(kSubmission);
  ASSERT_TRUE(job);
  EXPECT_EQ(job->min_version, 6);
  ASSERT_EQ(job->items.size(), 1u);
  EXPECT_EQ(job->items[0].body, absl::HexStringToBytes("abcdef1234567890"));
  EXPECT_EQ(job->items[0].length_hint, 900);
  for (const char* text :
       {"", "7", "{}", R"({"items":[{"id":"i"}]})", R"({"items":[{"id":"i","path":"/","body":"%%"}]})"}) {
    EXPECT_FALSE(DecodeSubmission(text)) << text;
  }
}

// Guards against items that are lost or taken from elsewhere, since each is taken from the parser as it ends.
TEST(Decode, ReadsItemsFromTheirListOnly) {
  const std::string item =
      R"({"id":"i%d","path":"/","headers":{"items":"x"},"extra":[{"id":"no","path":"/"}]})";
  std::string items;
  for (int it = 0; it < 300; ++it)
    items += (it == 0 ? "" : ",") + std::regex_replace(item, std::regex("%d"), std::to_string(it));
  const std::optional<serving::BatchSubmission> job =
      DecodeSubmission(R"({"other":[{"id":"no","path":"/"}],"items":[)" + items +
                       R"(],"more":{"items":[{"id":"no","path":"/"}]},"step":3})");
  ASSERT_TRUE(job);
  ASSERT_EQ(job->items.size(), 300u);
  EXPECT_EQ(job->items[299].id, "i299");
  EXPECT_EQ(job->step, 3);
  for (const std::string text :
       {R"({"items":{"a":{"id":"i","path":"/"}}})", R"({"items":[{"id":"i","path":"/"},7]})",
        R"({"items":[{"id":"i","path":"/"}],"items":[{"id":"j","path":"/"}]})",
        R"({"items":[{"id":"i","path":"/"}])", R"([{"items":[{"id":"i","path":"/"}]}])"}) {
    EXPECT_FALSE(DecodeSubmission(text)) << text;
  }
}

// Guards against a job that is decoded without the memory for it: a text is copied several times meanwhile.
TEST(Decode, EstimatesTheMemoryForASubmission) {
  const std::string many = "[" + std::string(1000, '"') + "]";
  EXPECT_LT(MemoryToDecode(many), many.size());
  const std::string one = "[\"" + std::string(1000000, 'x') + "\"]";
  EXPECT_GT(MemoryToDecode(one), 3 * one.size());
  EXPECT_EQ(MemoryToDecode(""), 0u);
}

constexpr char kScoredSubmission[] = R"({"step":7,"model":"m1","minVersion":6,"desiredCount":12,"items":[
  {"id":"i1","path":"/r/1","headers":{"Model":"m1"},"body":"q83vEjRWeJA=","tokenCount":940,"group":"g1",
   "scorer":{"id":"s1","host":"b.example","path":"/score/5e07","body":"3q2+7w=="}}]})";

// Guards against results without a score because the scoring call was dropped when the submission was
// decoded.
TEST(Decode, ReadsTheScoringCallOfAnItem) {
  const std::optional<serving::BatchSubmission> job = DecodeSubmission(kScoredSubmission);
  ASSERT_TRUE(job);
  ASSERT_TRUE(job->items[0].scoring);
  EXPECT_EQ(job->items[0].scoring->id, "s1");
  EXPECT_EQ(job->items[0].scoring->host, "b.example");
  EXPECT_EQ(job->items[0].scoring->target, "/score/5e07");
  EXPECT_EQ(job->items[0].scoring->body, absl::HexStringToBytes("deadbeef"));
  EXPECT_FALSE(DecodeSubmission(kSubmission)->items[0].scoring);
  const Json good = Json::parse(kScoredSubmission);
  for (const char* key : {"id", "host", "path"}) {
    Json missing = good;
    missing["items"][0]["scorer"].erase(key);
    EXPECT_FALSE(DecodeSubmission(missing.dump())) << key;
    Json wrong = good;
    wrong["items"][0]["scorer"][key] = 5;
    EXPECT_FALSE(DecodeSubmission(wrong.dump())) << key;
  }
  Json wrong = good;
  wrong["items"][0]["scorer"]["body"] = "%%";
  EXPECT_FALSE(DecodeSubmission(wrong.dump()));
  wrong["items"][0]["scorer"] = "s1";
  EXPECT_FALSE(DecodeSubmission(wrong.dump()));
  wrong["items"][0]["scorer"] = nullptr;
  EXPECT_TRUE(DecodeSubmission(wrong.dump()));
}

TEST(Decode, PagesIncludeScores) {
  serving::BatchPage page;
  page.results = {{"i1", serving::ItemState::kCompleted, "text", {6}, "3e1b.07"},
                  {"i2", serving::ItemState::kAbandoned, "", {}, ""}};
  const Json json = Json::parse(EncodePage(page));
  EXPECT_EQ(json["results"][0]["score"], "3e1b.07");
  EXPECT_FALSE(json["results"][1].contains("score"));
}

// Guards against a host that cannot read records written by the previous version.
TEST(Records, RecordsWithoutScoringFieldsAreRead) {
  const auto pack = [](const Json& value) {
    std::string bytes;
    Json::to_msgpack(value, bytes);
    return bytes;
  };
  const Json text = Json::binary({'a', 'b'});
  const Json versions = Json::array({6, 7});
  const std::optional<serving::ItemResult> result =
      serving::DecodeResult(pack(Json::array({"i1", 0, text, versions})));
  ASSERT_TRUE(result);
  EXPECT_EQ(result->output, "ab");
  EXPECT_EQ(result->score, "");
  const std::optional<serving::PartialText> partial =
      serving::DecodePartial(pack(Json::array({"i1", text, 4, 4, versions})));
  ASSERT_TRUE(partial);
  EXPECT_FALSE(partial->complete);
  EXPECT_EQ(partial->scoring_failures, 0);
  const Json item = Json::array({"i1", "/r/1", Json::array(), text, "g1", 940, 900.0});
  const std::optional<serving::BatchSubmission> job = serving::DecodeSubmission(
      pack(Json::array({1, "job", "a.example", "/r/", 7, "m1", 6, 12, Json::array({item})})));
  ASSERT_TRUE(job);
  EXPECT_FALSE(job->items[0].scoring);
}

TEST(Records, ScoringFieldsAreStoredAndReadBack) {
  serving::BatchSubmission job = *DecodeSubmission(kScoredSubmission);
  const std::optional<serving::BatchSubmission> back =
      serving::DecodeSubmission(serving::EncodeSubmission(job));
  ASSERT_TRUE(back && back->items[0].scoring);
  EXPECT_EQ(back->items[0].scoring->target, "/score/5e07");
  EXPECT_EQ(back->items[0].scoring->body, job.items[0].scoring->body);
  const serving::ItemResult result = {"i1", serving::ItemState::kCompleted, "text", {6}, "stamp"};
  EXPECT_EQ(serving::DecodeResult(serving::EncodeResult(result))->score, "stamp");
  const serving::PartialText partial = {"i1", "text", 4, 4, {6}, true, 2, "v1.1", {"e1", "e2"}};
  EXPECT_TRUE(serving::DecodePartial(serving::EncodePartial(partial))->complete);
  EXPECT_EQ(serving::DecodePartial(serving::EncodePartial(partial))->scoring_failures, 2);
  EXPECT_EQ(serving::DecodePartial(serving::EncodePartial(partial))->software, "v1.1");
  EXPECT_EQ(serving::DecodePartial(serving::EncodePartial(partial))->sources, partial.sources);
}

// Guards against records that hosts of other versions cannot read: the bytes are those of one MessagePack
// array.
TEST(Records, ASubmissionIsOneMessagePackArray) {
  serving::BatchSubmission job = *DecodeSubmission(kScoredSubmission);
  job.id = "job";
  for (int it = 0; it < 20; ++it) job.items.push_back(job.items.front());
  for (const bool in_workspace : {false, true}) {
    if (in_workspace) job.workspace = "w";
    const std::string bytes = serving::EncodeSubmission(job);
    const Json record = Json::from_msgpack(bytes);
    EXPECT_EQ(record.size(), in_workspace ? 10u : 9u);
    EXPECT_EQ(record[8].size(), 21u);
    std::string packed;
    Json::to_msgpack(record, packed);
    EXPECT_EQ(bytes, packed);
  }
}

// Guards against a job or result that is changed by storing it.
TEST(Records, SubmissionsAndResultsAreStoredAndReadBack) {
  serving::BatchSubmission job = *DecodeSubmission(kSubmission);
  job.id = "job";
  job.host = "a.example";
  job.path = "/r/x";
  const std::optional<serving::BatchSubmission> back =
      serving::DecodeSubmission(serving::EncodeSubmission(job));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->items[0].body, job.items[0].body);
  EXPECT_EQ(back->items[0].headers.size(), job.items[0].headers.size());
  EXPECT_EQ(back->min_version, 6);

  serving::ItemResult result;
  result.item = "i1";
  result.output = std::string(150000, 'x');
  result.versions = {6, 7};
  const std::vector<serving::RowWrite> writes =
      serving::SplitIntoRows("batch", "job", serving::ResultKey(12), serving::EncodeResult(result), 60000);
  EXPECT_EQ(writes.size(), 3u);
  std::vector<serving::Row> rows;
  for (const serving::RowWrite& it : writes) {
    EXPECT_LE(it.value.size(), 60000u);
    rows.push_back({it.id, it.value, 1, false});
  }
  std::size_t at = 0;
  const std::optional<std::string> joined = serving::JoinRows(rows, at);
  ASSERT_TRUE(joined);
  EXPECT_EQ(at, 3u);
  EXPECT_EQ(serving::DecodeResult(*joined)->output, result.output);
  rows.erase(rows.begin() + 1);
  at = 0;
  EXPECT_FALSE(serving::JoinRows(rows, at));
  EXPECT_EQ(serving::ResultPosition("r00000012"), 12);
  EXPECT_FALSE(serving::ResultPosition("r00000012/001"));
}

TEST(Wire, EscapesQueries) {
  const std::string odd("a b/%\x00\xff&=+", 10);
  EXPECT_EQ(UnescapeQuery(EscapeQuery(odd)), odd);
  EXPECT_EQ(QueryValue("/x?a=1&after=12", "after"), "12");
  EXPECT_EQ(QueryValue("/x", "after"), "");
}

TEST(StoreClient, ReadsRowsAndRefusesMalformedReplies) {
  serving::StoreReply reply;
  ASSERT_TRUE(DecodeRows(R"({"rows":[{"table":"t","part":"p","key":"k","value":"bm9kZS0x","ver":412},
                             {"table":"t","part":"p","key":"l","ver":413,"deleted":true}],
                             "hasMore":true,"ver":530,"nowMs":51230})",
                         reply));
  EXPECT_EQ(reply.rows[0].value, "node-1");
  EXPECT_TRUE(reply.rows[1].removed);
  EXPECT_EQ(reply.version, 530);
  EXPECT_EQ(reply.store_time, absl::Milliseconds(51230));
  EXPECT_TRUE(reply.has_more);
  for (const char* text :
       {"", "[]", R"({"rows":[{"table":1}]})", R"({"rows":[{"value":"%%%"}]})", R"({"ver":"x"})"}) {
    serving::StoreReply none;
    EXPECT_FALSE(DecodeRows(text, none)) << text;
  }
}

TEST(EngineLink, ReadsHeadsAndReports) {
  serving::HttpResponse head;
  head.status = 503;
  head.headers = {{"Not-Run", "1"}, {"Server-Load", "3,1,8,250"}, {"Request-Id", "x"}};
  const serving::AnswerHead answer = DecodeHead(head);
  EXPECT_TRUE(answer.not_run);
  EXPECT_TRUE(answer.signature.empty());
  EXPECT_FALSE(answer.framed);
  ASSERT_TRUE(answer.load);
  EXPECT_EQ(answer.load->waiting, 1);
  EXPECT_DOUBLE_EQ(answer.load->slowdown, 2.5);
  EXPECT_FALSE(answer.leaving);
  head.headers.push_back({"Server-Leaving", "1"});
  EXPECT_TRUE(DecodeHead(head).leaving);
  // Another upstream at the address says nothing about the one that was meant.
  head.status = 421;
  EXPECT_FALSE(DecodeHead(head).leaving);
  EXPECT_FALSE(DecodeHead(head).load);
  EXPECT_EQ(DecodeReport(R"({"models":[{"name":"m","version":3}],"busy":true,"sequence":2,"running":1})")
                .orders_accepted,
            2);
  EXPECT_FALSE(DecodeReport(R"({"models":[{"name":"m"}],"sequence":2})").known);
  EXPECT_FALSE(DecodeReport("no json").known);
}

// Guards against requests that run at another upstream because an address was reused: each kind of call names
// its intended upstream.
TEST(EngineLink, EachCallNamesItsIntendedUpstream) {
  serving::EventLoop loop;
  loop.After(absl::Seconds(10), [&loop] { loop.Stop(); });
  serving::HttpClient http(loop, {});
  EngineLink link(http);
  std::map<std::string, std::string> named;  // by target
  serving::HttpServer* running = nullptr;
  serving::HttpServer server(loop, [&](serving::ExchangeId id, serving::HttpRequest request) {
    named[request.target] = std::string(serving::FindHeader(request.headers, "Expect-Instance"));
    running->Respond(id, {200, "", {}, ""});
    if (named.size() == 4) loop.Stop();
  });
  running = &server;
  ASSERT_TRUE(server.Listen("127.0.0.1:21875"));
  serving::UpstreamEntry upstream;
  upstream.id = "i-7";
  upstream.address = "127.0.0.1:21875";
  serving::UpstreamCall call;
  call.address = upstream.address;
  call.expected_id = upstream.id;
  call.method = "POST";
  call.target = "/run";
  call.headers = {{"Expect-Instance", "what a caller claims"}};
  link.Start(std::move(call), {});
  link.FetchReport(upstream, [](const serving::EngineReport&) {});
  link.FetchLoad(upstream, "/health", [](const std::optional<serving::AnswerHead>&) {});
  link.SendOrder(upstream, {}, [](serving::OrderOutcome) {});
  loop.Run();
  EXPECT_EQ(named.size(), 4u);
  for (const std::pair<const std::string, std::string>& it : named) EXPECT_EQ(it.second, "i-7") << it.first;
}

// Guards against taking an engine's extra answer to another request, which may arrive on any kept connection,
// for a report, a load, the outcome of an order, or the answer to the request that is due there. The
// connection is closed, because the own answer would be taken for that to the next request.
TEST(EngineLink, AnAnswerToAnotherRequestIsNoAnswer) {
  serving::EventLoop loop;
  loop.After(absl::Seconds(10), [&loop] { loop.Stop(); });
  serving::HttpClient http(loop, {});
  EngineLink link(http);
  serving::HttpServer* running = nullptr;
  serving::HttpServer server(loop, [&](serving::ExchangeId id, const serving::HttpRequest&) {
    const std::string report = R"({"models":[{"name":"m","version":3}],"sequence":2})";
    running->Respond(id, {200, "", {{"Request-Id", "earlier"}, {"Server-Load", "1,0,8"}}, report});
  });
  running = &server;
  ASSERT_TRUE(server.Listen("127.0.0.1:21879"));
  serving::UpstreamEntry upstream;
  upstream.id = "i-7";
  upstream.address = "127.0.0.1:21879";
  std::vector<std::string> seen;
  const std::function<void(const std::string&)> note = [&](const std::string& what) {
    seen.push_back(what);
    if (seen.size() == 4) loop.Stop();
  };
  link.FetchReport(upstream, [&](const serving::EngineReport& report) {
    note(report.known ? "report known" : "report unknown");
    link.FetchLoad(upstream, "/health", [&](const std::optional<serving::AnswerHead>& head) {
      note(head ? "load known" : "load unknown");
      link.SendOrder(upstream, {}, [&](serving::OrderOutcome outcome) {
        note(std::string(NameOf(outcome)));
        serving::UpstreamCall call;
        call.address = upstream.address;
        call.request_id = "due";
        call.method = "POST";
        call.target = "/run";
        serving::CallHandlers handlers;
        handlers.on_head = [&](const serving::AnswerHead&) { note("head"); };
        handlers.on_end = [&](serving::CallEnd end) { note(std::string(NameOf(end))); };
        link.Start(std::move(call), std::move(handlers));
      });
    });
  });
  loop.Run();
  const std::vector<std::string> expected = {"report unknown", "load unknown", "unknown", "broken"};
  EXPECT_EQ(seen, expected);
  EXPECT_EQ(http.Counts().connections, 4);
}

// Guards against crashes on malformed input.
TEST(Decode, MutatedBytesNeverCrash) {
  std::mt19937_64 random(20261204);
  const std::vector<std::string> seeds = {kPolicy, kEntry, kSubmission, kScoredSubmission};
  for (int it = 0; it < 6000; ++it) {
    const std::string text = Mutate(seeds[it % seeds.size()], random);
    static_cast<void>(DecodePolicy(text));
    static_cast<void>(DecodeUpstream("i", text));
    static_cast<void>(DecodeSubmission(text));
    static_cast<void>(DecodeAnnouncedVersion(text));
    static_cast<void>(DecodeReport(text));
    serving::StoreReply reply;
    static_cast<void>(DecodeRows(text, reply));
    static_cast<void>(serving::DecodeLease(text));
    static_cast<void>(serving::DecodeResult(text));
    static_cast<void>(serving::DecodePartial(text));
    static_cast<void>(serving::DecodeSubmission(text));
    static_cast<void>(serving::DecodePaces(text));
    serving::EventStreamReader reader;
    serving::AddBytes(reader, text);
    while (serving::NextEvent(reader)) {
    }
  }
}

TEST(EventStream, EventsAreReadWhereverTheBytesAreSplit) {
  const std::string text =
      "weight-versions: 6\nid: 4\ndata: one\ndata: two\n\n: comment\n\nid: 5\r\ndata: three\r\n\r\nid: "
      "6\ndata: cut";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    serving::EventStreamReader reader;
    std::vector<serving::StreamEvent> events;
    for (const std::string& part : {text.substr(0, cut), text.substr(cut)}) {
      serving::AddBytes(reader, part);
      while (const std::optional<serving::StreamEvent> event = serving::NextEvent(reader))
        events.push_back(*event);
    }
    ASSERT_EQ(events.size(), 2u) << cut;
    EXPECT_EQ(events[0].data, "one\ntwo");
    EXPECT_EQ(events[0].weights, 6);
    EXPECT_EQ(events[1].id, 5);
    EXPECT_EQ(events[1].data, "three");
    EXPECT_FALSE(reader.pending.empty() && !reader.has_fields);
  }
}

// ---- Feed -------------------------------------------------------------------------------------------------

struct FeedTest : testing::Test {
  void WriteRow(const std::string& table, const std::string& key, const std::string& value) {
    serving::Transaction transaction;
    transaction.writes = {{{table, "", key}, value}};
    store.Apply(transaction);
  }
  void RemoveRow(const std::string& table, const std::string& key) {
    serving::Transaction transaction;
    transaction.removals = {{table, "", key}};
    store.Apply(transaction);
  }
  // Checks that all kinds of changes reach the directory, by the change feed or by reading the tables again.
  void FollowChanges() {
    WriteRow("op", "config", kPolicy);
    WriteRow("servers", "i-1", kEntry);
    WriteRow("servers", "i-2", "not readable");
    feed.Start();
    loop.RunFor(absl::Seconds(1));
    EXPECT_TRUE(feed.Complete());
    EXPECT_EQ(directory.PolicyInForce().version, 7);
    EXPECT_EQ(directory.Usable("s2").size(), 1u);
    WriteRow("op", "config", "broken {");
    WriteRow("op", "version/m1", R"({"model":"m1","version":9})");
    RemoveRow("servers", "i-1");
    loop.RunFor(absl::Seconds(2));
    EXPECT_EQ(directory.PolicyInForce().version, 7);
    EXPECT_EQ(directory.AnnouncedVersions().at("m1"), 9);
    EXPECT_TRUE(directory.Usable("s2").empty());
  }
  serving::fakes::FakeLoop loop;
  serving::fakes::FakeStore store{loop};
  serving::fakes::StorePort port{store};
  serving::Directory directory;
  Feed feed{loop, port, directory};
};

TEST_F(FeedTest, FollowsPoliciesUpstreamsAndVersions) { FollowChanges(); }

// Guards against a feed that stops when the store has dropped its change history.
TEST_F(FeedTest, ReadsAllRowsWhenTheStoreHasDroppedItsHistory) {
  port.history_gone = true;
  FollowChanges();
}

// Guards against reading only the first page of a table. A store reply holds 500 rows, so a host would use
// only a sixth of 3,000 engines.
TEST_F(FeedTest, ReadsAllPagesOfATable) {
  const int upstreams = 1200;
  WriteRow("op", "config", kPolicy);
  for (int it = 0; it < upstreams; ++it) WriteRow("servers", absl::StrFormat("i-%04d", it), kEntry);
  feed.Start();
  loop.RunFor(absl::Milliseconds(9));
  EXPECT_FALSE(feed.Complete()) << "a host is not ready before it has read all pages";
  loop.RunFor(absl::Seconds(1));
  EXPECT_TRUE(feed.Complete());
  EXPECT_EQ(directory.Usable("s2").size(), static_cast<std::size_t>(upstreams));
}

// Guards against upstreams of a later page that stay in the directory forever after a removal that the feed
// did not report, and against a read of one page that removes the upstreams of other pages.
TEST_F(FeedTest, EachPageIsReadAgain) {
  const int upstreams = 1200;
  WriteRow("op", "config", kPolicy);
  for (int it = 0; it < upstreams; ++it) WriteRow("servers", absl::StrFormat("i-%04d", it), kEntry);
  feed.Start();
  loop.RunFor(absl::Seconds(1));
  // Removed without an entry in the change feed.
  for (const char* id : {"i-0003", "i-0700", "i-1199"}) store.rows["servers/"].erase(id);
  loop.RunFor(absl::Seconds(40));
  EXPECT_EQ(directory.Usable("s2").size(), static_cast<std::size_t>(upstreams - 3));
}

// Guards against a host that loses all upstreams because their registrations expired while the store was
// unreachable.
TEST_F(FeedTest, RegistrationsThatExpiredDuringAnOutageAreKeptForAGracePeriod) {
  WriteRow("op", "config", kPolicy);
  WriteRow("servers", "i-1", kEntry);
  feed.Start();
  loop.RunFor(absl::Seconds(1));
  port.disconnected = true;
  loop.RunFor(absl::Seconds(6));
  RemoveRow("servers", "i-1");
  port.disconnected = false;
  loop.RunFor(absl::Milliseconds(1900));
  EXPECT_EQ(directory.Usable("s2").size(), 1u);
  loop.RunFor(absl::Seconds(4));
  directory.Expire(loop.Now());
  EXPECT_TRUE(directory.Usable("s2").empty());
}

// ---- Settings and the boundary ----------------------------------------------------------------------------

TEST(EntrySettings, NamesEachProblemWithItsPath) {
  const std::string good =
      R"({"host":"h","zone":"z","listen":{"callers":"10.0.0.1:1","readiness":"10.0.0.1:2"},
    "store":{"address":"10.0.0.2:3"},"shutdown_grace_s":8,"order_hand_over_ms":3000})";
  Outcome<EntrySettings> settings = Capture<EntrySettings>([&good] { return ParseEntrySettings(good); });
  ASSERT_TRUE(Ok(settings));
  EXPECT_EQ(Value(settings).shutdown_grace, absl::Seconds(8));
  const std::string bad =
      R"({"host":"","zone":"z","listen":{"callers":"nowhere","readiness":"10.0.0.1:2","extra":1},
    "store":{"address":"10.0.0.2:3"},"shutdown_grace_s":-1,"order_hand_over_ms":3000,"log_level":"loud"})";
  settings = Capture<EntrySettings>([&bad] { return ParseEntrySettings(bad); });
  ASSERT_FALSE(Ok(settings));
  for (const char* path : {"host", "listen.callers", "listen.extra", "shutdown_grace_s", "log_level"}) {
    EXPECT_NE(ErrorOf(settings).detail.find(path), std::string::npos) << path;
  }
}

// Guards against names of the platform's protocol outside platform/. Request-Id and Not-Run are not checked:
// the project's own interface has headers with these names as well.
TEST(Boundary, OnlyPlatformUsesProtocolNames) {
  const std::regex words(
      R"re("(expectedRev|warmupLeftMs|routeKind|runAimMs|targetLatencyMs|trafficSplit|kvUsed|nodeName)"|/api/(rows|blob|order|report|lots|items|readiness)|Server-Stamp|Expect-Instance|Weight-Versions|Server-Load|Prompt-Prefix)re");
  int files = 0;
  for (const char* folder : {"include", "src", "programs"}) {
    for (const auto& it :
         std::filesystem::recursive_directory_iterator(std::filesystem::path(OLEANDER_SOURCE_DIR) / folder)) {
      if (!it.is_regular_file()) continue;
      std::ifstream file(it.path());
      const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
      std::smatch match;
      EXPECT_FALSE(std::regex_search(text, match, words)) << it.path() << ": " << match.str();
      ++files;
    }
  }
  EXPECT_GT(files, 50);
}

}  // namespace
}  // namespace oleander::platform
