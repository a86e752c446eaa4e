// Tests that the checks of the load tool find faults in a run. Results of a load run mean nothing if its
// checks miss faults.
#include <gtest/gtest.h>

#include "load/audit_log.h"
#include "load/load_report.h"
#include "load/load_summary.h"
#include "load/trainer.h"
#include "oleander/jobs.h"
#include "oleander/settings.h"

namespace oleander::load {
namespace {

AuditLog MakeAuditLog() {
  const Json record = {{"id", "r1"},
                       {"prompt", "p"},
                       {"offset", 1},
                       {"tokens", {11, 12, 13}},
                       {"spans", {{1, 2}, {2, 1}}},
                       {"finish", "stop"}};
  const Json first = {{"id", "r0"},     {"prompt", "p"},     {"offset", 0},
                      {"tokens", {10}}, {"spans", {{1, 1}}}, {"finish", "none"}};
  const Outcome<AuditLog> audit_log = Capture<AuditLog>([&] {
    return ParseAuditLog(
        {{"e1", {{"records", Json::array({first})}}}, {"e2", {{"records", Json::array({record})}}}});
  });
  EXPECT_TRUE(Ok(audit_log));
  return Value(audit_log);
}

// Guards against accepting a sample whose version label is not the version that produced the token, or whose
// tokens no engine produced.
TEST(LabelTest, WrongVersionsAndUnknownTokensAreDetected) {
  const AuditLog audit_log = MakeAuditLog();
  const std::vector<std::int32_t> tokens = {10, 11, 12, 13};
  EXPECT_TRUE(CheckLabels(audit_log, tokens, {{1, 3}, {2, 1}}, FinishReason::kStop, 9).labels_correct);
  EXPECT_FALSE(CheckLabels(audit_log, tokens, {{1, 4}}, FinishReason::kStop, 9).labels_correct);
  EXPECT_FALSE(CheckLabels(audit_log, tokens, {{1, 2}, {2, 2}}, FinishReason::kStop, 9).labels_correct);
  EXPECT_FALSE(
      CheckLabels(audit_log, {10, 12, 11, 13}, {{1, 3}, {2, 1}}, FinishReason::kStop, 9).labels_correct);
  EXPECT_FALSE(CheckLabels(audit_log, {}, {}, FinishReason::kStop, 9).labels_correct);
}

// Guards against accepting a truncated sample as complete.
TEST(LabelTest, TruncatedSamplesAreDetected) {
  const AuditLog audit_log = MakeAuditLog();
  EXPECT_TRUE(CheckLabels(audit_log, {10, 11, 12, 13}, {{1, 3}, {2, 1}}, FinishReason::kStop, 9).complete);
  EXPECT_FALSE(CheckLabels(audit_log, {10, 11, 12}, {{1, 3}}, FinishReason::kStop, 9).complete);
  EXPECT_FALSE(CheckLabels(audit_log, {10, 11, 12}, {{1, 3}}, FinishReason::kLength, 9).complete);
  EXPECT_TRUE(CheckLabels(audit_log, {10, 11, 12}, {{1, 3}}, FinishReason::kLength, 3).complete);
}

// Guards against reporting a complete sample as truncated when only the last event of its stream was lost:
// the engine that resumes it produces no further token. Happened in scripts/demo --seed 1 after an engine
// crash.
TEST(LabelTest, StreamResumedAtItsEndIsComplete) {
  const Json first = {{"id", "r0"},     {"prompt", "p"},     {"offset", 0},     {"last_resumed", 0},
                      {"tokens", {10}}, {"spans", {{1, 1}}}, {"finish", "none"}};
  const Json rest = {{"id", "r1"},         {"prompt", "p"},           {"offset", 1},
                     {"last_resumed", 10}, {"tokens", Json::array()}, {"spans", Json::array()},
                     {"finish", "stop"}};
  const Outcome<AuditLog> audit_log = Capture<AuditLog>([&] {
    return ParseAuditLog({{"e1", {{"records", Json::array({first, rest})}}}});
  });
  ASSERT_TRUE(Ok(audit_log));
  EXPECT_TRUE(CheckLabels(Value(audit_log), {10}, {{1, 1}}, FinishReason::kStop, 9).complete);
}

struct SummaryTest : testing::Test {
  LoadPlan plan;
  LoadRecord record;
  AuditLog audit_log = MakeAuditLog();

  void SetUp() override {
    plan.steps = 1;
    plan.samples_per_step = 2;
    plan.group_size = 2;
    plan.trainers.push_back({"t", "token", "job", 0});
    StepRecord step;
    step.job = "job";
    step.step = 1;
    step.trainer_version = 3;
    for (int it = 0; it < 2; ++it) {
      Sample sample;
      sample.slot = {"job", 1, 0, it};
      sample.prompt = PromptsOf(plan, "job")[1];
      sample.tokens = {10, 11, 12, 13};
      sample.spans = {{1, 3}, {2, 1}};
      sample.finish = FinishReason::kStop;
      sample.scored = true;
      step.samples.push_back(sample);
    }
    absl::MutexLock lock(&record.mutex);
    record.steps.push_back(step);
  }
  Json Run() { return Summarize(plan, record, audit_log); }
};

// Guards against reporting violations in a correct run.
TEST_F(SummaryTest, CorrectRunHasNoViolations) {
  const Json summary = Run();
  EXPECT_EQ(summary["broken_promises"], Json::array()) << summary.dump(2);
  EXPECT_EQ(summary["samples_delivered"], 2);
  EXPECT_EQ(summary["staleness"]["2"], 2);
}

// Guards against a duplicate sample that hides a lost one because the total count is right.
TEST_F(SummaryTest, DuplicateSampleDoesNotHideALostOne) {
  {
    absl::MutexLock lock(&record.mutex);
    record.steps[0].samples[1].slot.index = 0;
  }
  const Json summary = Run();
  EXPECT_EQ(summary["samples_doubled"], 1);
  EXPECT_EQ(summary["samples_lost"], 1);
}

// Guards against computing staleness from the newest token version instead of the oldest.
TEST_F(SummaryTest, StalenessIsComputedFromTheOldestTokenVersion) {
  plan.staleness_bound = 1;
  EXPECT_EQ(Run()["samples_over_staleness"], 2);
}

// Guards against trusting a host's answer about a receipt or a refusal without a check against the audit log
// of the service.
TEST_F(SummaryTest, ReceiptsAndRefusalsAreComparedWithTheAuditLog) {
  audit_log.filings = {{"twice", 2}, {"refused", 1}};
  {
    absl::MutexLock lock(&record.mutex);
    record.receipts = {{"twice", true, false}, {"gone", true, false}};
    record.not_run = {{"receipt", "refused"}, {"lookup", "never"}};
  }
  const Json summary = Run();
  EXPECT_EQ(summary["receipts_doubled"], 1);
  EXPECT_EQ(summary["receipts_lost"], 1);
  EXPECT_EQ(summary["not_run_but_ran"], 1);
}

// Guards against ignoring the samples of a step that was never delivered.
TEST_F(SummaryTest, SamplesOfAMissingStepAreLost) {
  plan.steps = 2;
  EXPECT_EQ(Run()["samples_lost"], 2);
}

// Guards against generated settings or job specifications that the daemon rejects, and against plan members
// that are lost in JSON.
TEST(PlanTest, SettingsAndJobsAreAccepted) {
  LoadPlan plan;
  AddStandardDeployment(plan);
  const Outcome<LoadPlan> read = Capture<LoadPlan>([&] { return LoadPlanFromJson(ToJson(plan)); });
  ASSERT_TRUE(Ok(read));
  EXPECT_EQ(ToJson(Value(read)), ToJson(plan));
  for (const PlannedHost& it : plan.hosts) {
    const Outcome<Settings> settings =
        Capture<Settings>([&] { return ParseSettings(SettingsOf(plan, it).dump()); });
    EXPECT_TRUE(Ok(settings)) << ErrorOf(settings).detail;
  }
  for (const PlannedTrainer& it : plan.trainers) {
    const Outcome<JobSpec> spec = Capture<JobSpec>([&] { return JobSpecFromJson(JobSpecOf(plan, it)); });
    EXPECT_TRUE(Ok(spec)) << ErrorOf(spec).detail;
  }
}

// Guards against adding values of other counters.
TEST(ReasonsTest, ReadsOnlyTheNamedCounter) {
  const std::string text =
      "# TYPE a_total counter\na_total{reason=\"hedge\"} 3\na_total{reason=\"none\"} "
      "0\nb_total{reason=\"x\"} 5\n";
  EXPECT_EQ(ParseReasons(text, "a_total"), (std::map<std::string, std::int64_t>{{"hedge", 3}}));
}

// Guards against quantiles that are off by more than the width of a bin.
TEST(QuantileTest, IsWithinOneBin) {
  LatencyHistogram histogram = MakeLatencyHistogram();
  EXPECT_EQ(Quantile(histogram, 0.5), 0);
  for (int it = 1; it <= 100; ++it) histogram(it);
  EXPECT_NEAR(Quantile(histogram, 0.5), 50, 4);
  EXPECT_NEAR(Quantile(histogram, 0.99), 99, 7);
}

// Guards against names in the summary that are read as HTML.
TEST(ReportTest, NamesAreEscaped) {
  Json summary;
  summary["refusals"]["<b>"] = 1;
  const std::string page = RenderReport(summary);
  EXPECT_EQ(page.find("<b>"), std::string::npos);
  EXPECT_NE(page.find("&lt;b&gt;"), std::string::npos);
}

}  // namespace
}  // namespace oleander::load
