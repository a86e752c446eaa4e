#include "load/load_summary.h"

#include <algorithm>
#include <cstdlib>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "load/load_http.h"
#include "load/trainer.h"

namespace oleander::load {
namespace {

// ---- Samples

struct SampleCounts {
  std::int64_t expected = 0;
  std::int64_t delivered = 0;
  std::int64_t lost = 0;
  std::int64_t duplicates = 0;
  std::int64_t mislabelled = 0;
  std::int64_t incomplete = 0;
  std::int64_t mismatched = 0;
  std::int64_t over_staleness = 0;
  std::map<std::int64_t, std::int64_t> staleness;  // versions behind the trainer to number of samples
  Json violations = Json::array();                 // first samples that violate a guarantee
};
constexpr std::size_t kMaxListedViolations = 10;

const PlannedTrainer* FindTrainer(const LoadPlan& plan, const JobId& job) {
  for (const PlannedTrainer& it : plan.trainers) {
    if (it.job == job) return &it;
  }
  return nullptr;
}

void CountSample(const LoadPlan& plan, const StepRecord& step, const Sample& sample,
                 const AuditLog& audit_log, SampleCounts& counts) {
  const LabelCheck check =
      CheckLabels(audit_log, sample.tokens, sample.spans, sample.finish, plan.max_tokens);
  if (!check.labels_correct) ++counts.mislabelled;
  if (!check.complete) ++counts.incomplete;
  const std::int64_t behind = std::max<std::int64_t>(0, step.trainer_version - check.oldest_version);
  ++counts.staleness[behind];
  if (behind > plan.staleness_bound) ++counts.over_staleness;
  const bool valid = check.labels_correct && check.complete && behind <= plan.staleness_bound;
  if (!valid && counts.violations.size() < kMaxListedViolations) {
    counts.violations.push_back({{"slot", ToString(sample.slot)},
                                 {"attempt", sample.attempt},
                                 {"labelled", check.labels_correct},
                                 {"whole", check.complete},
                                 {"behind", behind},
                                 {"tokens", sample.tokens.size()},
                                 {"finish", NameOf(sample.finish)}});
  }
}

SampleCounts CountSamples(const LoadPlan& plan, const std::vector<StepRecord>& steps,
                          const AuditLog& audit_log) {
  SampleCounts counts;
  counts.expected = static_cast<std::int64_t>(plan.trainers.size()) * plan.steps * plan.samples_per_step;
  std::int64_t distinct_samples = 0;
  for (const StepRecord& step : steps) {
    const PlannedTrainer* trainer = FindTrainer(plan, step.job);
    if (trainer == nullptr) continue;
    const BatchCheck check = CheckBatch(plan, *trainer, step.step, step.samples);
    counts.delivered += static_cast<std::int64_t>(step.samples.size());
    counts.duplicates += check.duplicates;
    counts.mismatched += check.mismatched;
    distinct_samples += plan.samples_per_step - check.missing;
    for (const Sample& it : step.samples) CountSample(plan, step, it, audit_log, counts);
  }
  counts.lost = counts.expected - distinct_samples;
  return counts;
}

// ---- Receipts and refusals

struct ReceiptCounts {
  std::int64_t attempted = 0;
  std::int64_t filed = 0;
  std::int64_t duplicates = 0;
  std::int64_t acknowledged = 0;
  std::int64_t unknown = 0;
  std::int64_t lost = 0;  // acknowledged but not filed
};

ReceiptCounts CountReceipts(const std::vector<ReceiptRecord>& receipts, const AuditLog& audit_log) {
  ReceiptCounts counts;
  for (const ReceiptRecord& it : receipts) {
    const auto filing = audit_log.filings.find(it.id);
    const std::int64_t filings = filing == audit_log.filings.end() ? 0 : filing->second;
    ++counts.attempted;
    if (filings > 0) ++counts.filed;
    if (filings > 1) ++counts.duplicates;
    if (it.acknowledged) ++counts.acknowledged;
    if (it.unknown) ++counts.unknown;
    if (it.acknowledged && filings == 0) ++counts.lost;
  }
  return counts;
}

bool DidRun(const NotRunClaim& claim, const AuditLog& audit_log) {
  if (claim.kind == "receipt") return audit_log.filings.contains(claim.id);
  if (claim.kind == "completion") return audit_log.prompt_heads.contains(claim.id);
  return audit_log.load_ids.contains(claim.id);
}

struct CompletionCounts {
  std::int64_t mislabelled = 0;
  std::int64_t incomplete = 0;
};
CompletionCounts CountCompletions(const std::vector<CompletionRecord>& completions,
                                  const AuditLog& audit_log) {
  CompletionCounts counts;
  for (const CompletionRecord& it : completions) {
    const LabelCheck check = CheckLabels(audit_log, it.tokens, it.spans, it.finish, it.max_tokens);
    if (!check.labels_correct) ++counts.mislabelled;
    if (!check.complete) ++counts.incomplete;
  }
  return counts;
}

// ---- Series for the report

Json LatencySeries(const LatencyStats& stats) {
  std::map<int, std::vector<double>> seconds;
  for (const LatencyPoint& it : stats.points) seconds[static_cast<int>(it.at_s)].push_back(it.ms);
  Json series = Json::array();
  for (auto& [second, values] : seconds) {
    std::sort(values.begin(), values.end());
    const std::size_t last = values.size() - 1;
    series.push_back({{"s", second}, {"p50", values[last / 2]}, {"max", values[last]}, {"n", values.size()}});
  }
  return series;
}

Json RefusalSeries(const std::vector<std::pair<double, std::string>>& refusals) {
  std::map<int, std::map<std::string, int>> seconds;
  for (const auto& it : refusals) ++seconds[static_cast<int>(it.first)][it.second];
  Json series = Json::array();
  for (const auto& it : seconds) series.push_back({{"s", it.first}, {"reasons", it.second}});
  return series;
}

Json StepsJson(const std::vector<StepRecord>& steps) {
  Json rows = Json::array();
  for (const StepRecord& it : steps) {
    rows.push_back({{"job", it.job},
                    {"step", it.step},
                    {"start_s", it.start_s},
                    {"wait_s", it.wait_s},
                    {"train_s", it.train_s},
                    {"trainer_version", it.trainer_version},
                    {"samples", it.samples.size()}});
  }
  return rows;
}

void AddTrainerTimes(const std::vector<StepRecord>& steps, Json& summary) {
  double wait = 0;
  double train = 0;
  double later_wait = 0;
  double later_train = 0;
  for (const StepRecord& it : steps) {
    wait += it.wait_s;
    train += it.train_s;
    if (it.step == 1) continue;
    later_wait += it.wait_s;
    later_train += it.train_s;
  }
  summary["trainer_idle_fraction"] = wait + train > 0 ? wait / (wait + train) : 0;
  // Leaves out the first step, because its samples cannot be generated ahead of time.
  summary["trainer_idle_fraction_after_first_step"] =
      later_wait + later_train > 0 ? later_wait / (later_wait + later_train) : 0;
  summary["step_seconds"] = steps.empty() ? 0 : (wait + train) / static_cast<double>(steps.size());
}

void AddLatencies(const std::map<std::string, LatencyStats>& latencies, Json& summary) {
  for (const char* kind : {"lookup", "receipt", "completion", "first_token"}) {
    const auto it = latencies.find(kind);
    const LatencyHistogram empty = MakeLatencyHistogram();
    const LatencyHistogram& histogram = it == latencies.end() ? empty : it->second.histogram;
    summary[absl::StrCat(kind, "_p50_ms")] = Quantile(histogram, 0.5);
    summary[absl::StrCat(kind, "_p99_ms")] = Quantile(histogram, 0.99);
    if (it != latencies.end()) summary["series"]["latency"][kind] = LatencySeries(it->second);
  }
}

// Counts of the summary that are 0 if all guarantees hold.
constexpr const char* kViolationCounts[] = {
    "samples_lost",         "samples_doubled",        "samples_mislabelled",     "samples_incomplete",
    "samples_foreign",      "samples_over_staleness", "receipts_doubled",        "receipts_lost",
    "not_run_but_ran",      "wrong_answers",          "completions_mislabelled", "completions_incomplete",
    "trainer_problem_count"};

Json ListBrokenGuarantees(const Json& summary) {
  Json broken = Json::array();
  for (const char* it : kViolationCounts) {
    if (summary.at(it).get<std::int64_t>() != 0) broken.push_back(it);
  }
  return broken;
}

std::int64_t CountOf(const std::map<std::string, std::int64_t>& counts, const std::string& name) {
  const auto it = counts.find(name);
  return it == counts.end() ? 0 : it->second;
}

}  // namespace

std::map<std::string, std::int64_t> ParseReasons(const std::string& text, const std::string& name) {
  std::map<std::string, std::int64_t> reasons;
  const std::string start = name + "{reason=\"";
  for (const absl::string_view line : absl::StrSplit(text, '\n')) {
    if (line.substr(0, start.size()) != start) continue;
    const std::size_t end = line.find("\"} ", start.size());
    std::int64_t n = 0;
    if (end == absl::string_view::npos || !absl::SimpleAtoi(line.substr(end + 3), &n) || n == 0) continue;
    reasons[std::string(line.substr(start.size(), end - start.size()))] += n;
  }
  return reasons;
}

std::map<std::string, std::int64_t> FetchRetries(const LoadPlan& plan, int& hosts_read) {
  std::map<std::string, std::int64_t> retries;
  hosts_read = 0;
  for (const PlannedHost& host : plan.hosts) {
    HttpCall call;
    call.path = "/metrics";
    call.deadline = absl::Seconds(2);
    const Outcome<HttpAnswer> answer = CallProgram(plan, host.caller_port, call);
    if (!Ok(answer) || Value(answer).status != 200) continue;
    ++hosts_read;
    for (const auto& it : ParseReasons(Value(answer).body, "oleander_retries_total"))
      retries[it.first] += it.second;
  }
  return retries;
}

Json Summarize(const LoadPlan& plan, LoadRecord& record, const AuditLog& audit_log) {
  absl::MutexLock lock(&record.mutex);
  const SampleCounts samples = CountSamples(plan, record.steps, audit_log);
  const ReceiptCounts receipts = CountReceipts(record.receipts, audit_log);
  const CompletionCounts completions = CountCompletions(record.completions, audit_log);
  int hosts_read = 0;
  std::int64_t not_run_but_ran = 0;
  for (const NotRunClaim& it : record.not_run) not_run_but_ran += DidRun(it, audit_log) ? 1 : 0;
  Json summary = {{"seed", plan.seed},
                  {"hosts", plan.hosts.size()},
                  {"engines", plan.engines},
                  {"steps", plan.steps},
                  {"run_seconds", absl::ToDoubleSeconds(absl::Now() - record.start)},
                  {"samples_expected", samples.expected},
                  {"samples_delivered", samples.delivered},
                  {"samples_lost", samples.lost},
                  {"samples_doubled", samples.duplicates},
                  {"samples_mislabelled", samples.mislabelled},
                  {"samples_incomplete", samples.incomplete},
                  {"samples_foreign", samples.mismatched},
                  {"samples_over_staleness", samples.over_staleness},
                  {"samples_suspect", samples.violations},
                  {"receipts_asked", receipts.attempted},
                  {"receipts_filed", receipts.filed},
                  {"receipts_doubled", receipts.duplicates},
                  {"receipts_acknowledged", receipts.acknowledged},
                  {"receipts_unknown", receipts.unknown},
                  {"receipts_lost", receipts.lost},
                  {"not_run_answers", record.not_run.size()},
                  {"not_run_but_ran", not_run_but_ran},
                  {"wrong_answers", record.wrong_answers},
                  {"lookups", CountOf(record.answered, "lookup")},
                  {"lookups_failed", CountOf(record.failed, "lookup")},
                  {"completions", CountOf(record.answered, "completion")},
                  {"completions_failed", CountOf(record.failed, "completion")},
                  {"completions_mislabelled", completions.mislabelled},
                  {"completions_incomplete", completions.incomplete},
                  {"tokens_generated", audit_log.token_count},
                  {"refusals", record.refusals},
                  {"retries", FetchRetries(plan, hosts_read)},
                  {"retries_hosts_read", hosts_read},
                  {"trainer_problems", record.trainer_errors},
                  {"trainer_problem_count", record.trainer_errors.size()},
                  {"table", audit_log.raw.value("table", Json())},
                  {"objects", audit_log.raw.value("objects", Json())},
                  {"weights", audit_log.raw.value("weights", Json())}};
  for (const auto& it : samples.staleness) summary["staleness"][absl::StrCat(it.first)] = it.second;
  AddTrainerTimes(record.steps, summary);
  AddLatencies(record.latencies, summary);
  summary["step_list"] = StepsJson(record.steps);
  summary["series"]["refusals"] = RefusalSeries(record.refusal_times);
  summary["broken_promises"] = ListBrokenGuarantees(summary);
  return summary;
}

std::string FormatSummary(const Json& summary) {
  std::string out;
  const auto row = [&](const std::string& name, const std::string& value) {
    absl::StrAppend(&out, "  ", absl::StrFormat("%-42s %s\n", name, value));
  };
  for (const auto& it : summary.items()) {
    const Json& value = it.value();
    if (value.is_number_float()) {
      row(it.key(), absl::StrFormat("%.3f", value.get<double>()));
    } else if (value.is_number()) {
      row(it.key(), value.dump());
    }
  }
  for (const char* group : {"staleness", "refusals", "retries"}) {
    if (!summary.contains(group)) continue;
    for (const auto& it : summary[group].items()) row(absl::StrCat(group, " ", it.key()), it.value().dump());
  }
  for (const Json& it : summary["samples_suspect"]) row("suspect", it.dump());
  for (const Json& it : summary["trainer_problems"]) row("problem", it.get<std::string>());
  row("broken promises", summary["broken_promises"].empty() ? "none" : summary["broken_promises"].dump());
  return out;
}

}  // namespace oleander::load
