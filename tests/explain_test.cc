// Tests that the cause of a failed request is found from log lines. Each test guards against a cause that the
// logs do not contain, or that they contain and the tool does not report.
#include "oleander/explain.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sstream>

#include "absl/strings/str_cat.h"

namespace oleander {
namespace {

using testing::HasSubstr;
using testing::Not;

// A log line as a host writes it, `second` seconds after the start of the test's log.
std::string Line(double second, const std::string& host, int event, const std::string& fields) {
  const absl::Time at = absl::FromUnixSeconds(1790000000) + absl::Seconds(second);
  return absl::StrCat("{\"time\":\"", absl::FormatTime(absl::RFC3339_full, at, absl::UTCTimeZone()),
                      "\",\"level\":\"info\",\"host\":\"", host, "\",\"event\":", event, ",\"name\":\"n\"",
                      fields.empty() ? "" : ",", fields, "}\n");
}

ParsedLogs Read(const std::vector<std::string>& lines) {
  ParsedLogs logs;
  for (const std::string& it : lines) {
    std::istringstream in(it);
    ReadLogLines(in, logs);
  }
  SortLines(logs);
  return logs;
}

std::vector<std::string> CutOffHost() {
  return {Line(1.0, "h1", 403, R"("call":"GET /x","end":"not_sent","status":0)"),
          Line(1.3, "h1", 403, R"("call":"GET /x","end":"timed_out","status":0)"),
          Line(1.6, "h1", 403, R"("call":"GET /x","end":"not_sent","status":0)")};
}

TEST(ExplainTest, ARefusalByAHostThatDoesNotReachTheStore) {
  std::vector<std::string> lines = CutOffHost();
  lines.push_back(
      Line(2.0, "h1", 902, R"("request":"r1","upstream":"u1","end":"not_sent","status":0,"not_run":false)"));
  lines.push_back(
      Line(2.1, "h1", 902, R"("request":"r1","upstream":"u2","end":"not_sent","status":0,"not_run":false)"));
  lines.push_back(Line(
      2.1, "h1", 901,
      R"("request":"r1","error":"no_upstream","status":503,"attempts":2,"usable":2,"ms":210,"policy":7)"));
  const Explanation explanation = Explain(Read(lines), "r1");
  EXPECT_TRUE(explanation.found);
  EXPECT_EQ(explanation.kind, "request");
  EXPECT_THAT(explanation.cause, HasSubstr("2 not_sent"));
  EXPECT_THAT(explanation.cause, HasSubstr("did not reach the store"));
  EXPECT_EQ(explanation.time_line.size(), 4u);
}

TEST(ExplainTest, ARefusalByFullUpstreamsIsNotBlamedOnTheStore) {
  std::vector<std::string> lines = CutOffHost();
  for (std::string& it : lines)
    it.replace(it.find("\"h1\""), 4, "\"h2\"");  // the failures belong to another host
  lines.push_back(
      Line(2.0, "h1", 902, R"("request":"r1","upstream":"u1","end":"complete","status":503,"not_run":true)"));
  lines.push_back(
      Line(2.1, "h1", 901,
           R"("request":"r1","error":"overloaded","status":503,"attempts":1,"usable":1,"ms":12,"policy":7)"));
  const Explanation explanation = Explain(Read(lines), "r1");
  EXPECT_THAT(explanation.cause, HasSubstr("1 refusals by the upstream"));
  EXPECT_THAT(explanation.cause, Not(HasSubstr("store")));
}

TEST(ExplainTest, ARefusalAfterAllUpstreamsStatedThatTheyLeave) {
  const Explanation explanation = Explain(
      Read(
          {Line(1.0, "h1", 223, R"("upstream":"u1","service":"s","source":"answer")"),
           Line(1.1, "h2", 223, R"("upstream":"u2","service":"s","source":"answer")"),
           Line(
               3.0, "h1", 901,
               R"("request":"r1","error":"no_upstream","status":503,"attempts":0,"usable":0,"ms":0,"policy":7)")}),
      "r1");
  EXPECT_THAT(explanation.cause, HasSubstr("u1 stated that they leave"));
  EXPECT_THAT(explanation.cause, Not(HasSubstr("u2")));
}

TEST(ExplainTest, ARequestWithoutARoute) {
  const Explanation explanation = Explain(
      Read({Line(1, "h1", 901, R"("request":"r1","error":"not_found","requested_host":"a","policy":12)")}),
      "r1");
  EXPECT_THAT(explanation.cause, HasSubstr("no route of policy version 12"));
}

TEST(ExplainTest, ARequestWithoutAValidKey) {
  const auto cause = [](const std::string& fields) {
    return Explain(Read({Line(1, "h1", 901, R"("request":"r1","policy":12,)" + fields)}), "r1").cause;
  };
  EXPECT_THAT(cause(R"("error":"unauthenticated","reason":"unknown")"), HasSubstr("version 12 has its key"));
  EXPECT_THAT(cause(R"("error":"unauthenticated","reason":"missing")"), HasSubstr("missing"));
  EXPECT_THAT(cause(R"("error":"not_ready","reason":"policy_old")"), HasSubstr("no news of keys"));
}

TEST(ExplainTest, AJobOfAWorkspaceIsFoundByItsOwnId) {
  const Explanation explanation =
      Explain(Read({Line(1, "h1", 520, R"("job":"cafe/j1","items":3,"owner":"h1")")}), "j1");
  EXPECT_EQ(explanation.kind, "batch job");
}

TEST(ExplainTest, AnIdThatNoLineContains) {
  Explanation explanation = Explain(Read({Line(1, "h1", 100, "")}), "r1");
  EXPECT_FALSE(explanation.found);
  EXPECT_THAT(explanation.cause, HasSubstr("reached none"));
  explanation = Explain(Read({Line(1, "h1", 900, R"("request":"r2","left_out_before":14)")}), "r1");
  EXPECT_THAT(explanation.cause, HasSubstr("14 lines were left out"));
}

std::vector<std::string> JobLines() {
  return {Line(1.0, "h1", 520, R"("job":"j1","step":3,"model":"m","min_version":2,"items":2,"owner":"h1-x")"),
          Line(1.1, "h1", 521, R"("job":"j1","listed":0,"total":2,"texts_resumed":0)")};
}

TEST(ExplainTest, AnItemThatWaited) {
  std::vector<std::string> lines = JobLines();
  lines.push_back(Line(
      7.0, "h1", 526,
      R"("job":"j1","item":"i1","state":"completed","events":30,"runs":1,"since_start_ms":1500,"age_ms":6000)"));
  Explanation explanation = Explain(Read(lines), "i1");
  EXPECT_EQ(explanation.kind, "item");
  EXPECT_THAT(explanation.cause, HasSubstr("waited 4500 ms"));
  EXPECT_THAT(explanation.cause, HasSubstr("no engine"));
  lines.push_back(Line(4.0, "h2", 522, R"("job":"j1","former_owner":"h1-x","listed":0)"));
  explanation = Explain(Read(lines), "i1");
  EXPECT_THAT(explanation.cause, HasSubstr("after a takeover"));
}

TEST(ExplainTest, AnItemThatRanSlowlyOrWaitedForItsScore) {
  std::vector<std::string> lines = JobLines();
  lines.push_back(
      Line(3.0, "h1", 525, R"("job":"j1","item":"i1","upstream":"e1","reason":"slow","events":9)"));
  lines.push_back(Line(
      7.0, "h1", 526,
      R"("job":"j1","item":"i1","state":"completed","events":30,"runs":2,"since_start_ms":5900,"age_ms":6000)"));
  EXPECT_THAT(Explain(Read(lines), "i1").cause,
              HasSubstr("30 events at 196 ms each over 2 runs; runs that ended early: 1 slow"));
  lines.push_back(
      Line(6.9, "h1", 532,
           R"("job":"j1","item":"i1","request":"s1","scored":true,"attempts":3,"failures":1,"ms":4000)"));
  const Explanation explanation = Explain(Read(lines), "s1");
  EXPECT_EQ(explanation.kind, "scoring call");
  EXPECT_THAT(explanation.cause, HasSubstr("its score took 4000 ms and 3 attempts"));
}

TEST(ExplainTest, AnAbandonedItem) {
  std::vector<std::string> lines = JobLines();
  lines.push_back(
      Line(3.0, "h1", 532,
           R"("job":"j1","item":"i1","request":"s1","scored":false,"attempts":4,"failures":4,"ms":300)"));
  lines.push_back(Line(3.0, "h1", 526,
                       R"("job":"j1","item":"i1","state":"abandoned","events":9,"runs":1,"age_ms":2000)"));
  lines.push_back(Line(3.1, "h1", 525, R"("job":"j1","item":"i2","reason":"failed","events":0)"));
  lines.push_back(Line(3.2, "h1", 526,
                       R"("job":"j1","item":"i2","state":"abandoned","events":0,"runs":2,"age_ms":2000)"));
  EXPECT_THAT(Explain(Read(lines), "i1").cause, HasSubstr("its scoring call failed 4 times"));
  EXPECT_THAT(Explain(Read(lines), "i2").cause, HasSubstr("its runs failed with 500, 2 times"));
}

TEST(ExplainTest, AnItemOfAJobThatWasEnded) {
  std::vector<std::string> lines = JobLines();
  lines.push_back(Line(3.0, "h1", 525, R"("job":"j1","item":"i1","reason":"slow","events":17)"));
  lines.push_back(Line(4.0, "h1", 523, R"("job":"j1","reason":"ended","listed":1,"total":2)"));
  EXPECT_THAT(Explain(Read(lines), "i1").cause, HasSubstr("ended before it was listed; 17 events"));
  lines.push_back(Line(3.9, "h2", 524, R"("job":"j1","owned":false)"));
  EXPECT_THAT(Explain(Read(lines), "j1").cause, HasSubstr("ended by its caller with 1 of 2"));
}

TEST(ExplainTest, ARefusedBatchJob) {
  std::vector<std::string> lines = CutOffHost();
  lines.push_back(Line(2.5, "h1", 528, R"("job":"j9","outcome":"not_run","status":503)"));
  const Explanation explanation = Explain(Read(lines), "j9");
  EXPECT_EQ(explanation.kind, "batch job");
  EXPECT_THAT(explanation.cause, HasSubstr("refused as not_run at h1, which did not reach the store"));
}

TEST(ExplainTest, BatchesAreListedWithTheirOwnersAndEnds) {
  std::vector<std::string> lines = JobLines();
  lines.push_back(Line(4.0, "h2", 522, R"("job":"j1","former_owner":"h1-x","listed":1)"));
  lines.push_back(Line(4.1, "h2", 521, R"("job":"j1","listed":1,"total":2,"texts_resumed":1)"));
  lines.push_back(
      Line(5.0, "h2", 526, R"("job":"j1","item":"i1","state":"completed","events":9,"runs":2,"age_ms":9})"));
  lines.push_back(
      Line(5.0, "h2", 526, R"("job":"j1","item":"i2","state":"completed","events":9,"runs":2,"age_ms":9)"));
  lines.push_back(Line(6.0, "h2", 523, R"("job":"j1","reason":"finished","listed":2,"total":2)"));
  lines.push_back(Line(7.0, "h1", 528, R"("job":"j2","outcome":"not_run","status":503)"));
  const Json rows = ListBatches(Read(lines));
  ASSERT_EQ(rows.size(), 2u);
  EXPECT_EQ(rows[0]["owners"], "h1,h2");
  EXPECT_EQ(rows[0]["end"], "finished");
  EXPECT_EQ(rows[0]["step"], 3);
  EXPECT_EQ(rows[0]["run_again"], 1);
  EXPECT_EQ(rows[1]["end"], "refused: not_run");
}

TEST(ExplainTest, LinesWithoutAnEventAreCountedOrSkipped) {
  const ParsedLogs logs =
      Read({"  34.79 h1 " + Line(1, "h1", 900, R"("request":"r1")"), "not a line\n", "{broken\n",
            "{\"event\":\"x\"}\n", "{\"event\":3,\"time\":\"yesterday\"}\n"});
  EXPECT_EQ(logs.lines.size(), 1u);
  EXPECT_EQ(logs.unreadable, 3);
}

}  // namespace
}  // namespace oleander
