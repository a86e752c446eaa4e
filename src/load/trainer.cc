#include "load/trainer.h"

#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "load/load_http.h"

namespace oleander::load {
namespace {

constexpr absl::Duration kBatchTimeout = absl::Seconds(45);
constexpr absl::Duration kPutWeightsRetryDelay = absl::Milliseconds(150);
constexpr int kMaxPutWeightsAttempts = 100;

Version LatestVersion(SharedWeights& weights) {
  absl::MutexLock lock(&weights.mutex);
  return weights.latest;
}

leaf::result<std::vector<Sample>> ParseSamples(const Json& batch, const PlannedTrainer& trainer,
                                               std::int64_t seq) {
  if (!batch.is_object() || batch.value("job", "") != trainer.job || batch.value("seq", 0) != seq) {
    return Fail(
        ErrorKind::kUpstreamProtocol,
        absl::StrCat("the answer is not the requested batch: expected batch ", seq, " of ", trainer.job));
  }
  std::vector<Sample> samples;
  for (const Json& it : batch.value("samples", Json::array())) {
    BOOST_LEAF_AUTO(sample, SampleFromJson(it));
    samples.push_back(std::move(sample));
  }
  return samples;
}

leaf::result<StepRecord> WaitForStep(const PlannedTrainer& trainer, const TrainerContext& context,
                                     std::int64_t seq, Version version, absl::Time run_start) {
  BatchRequest request;
  request.job = trainer.job;
  request.trainer = trainer.name;
  request.seq = seq;
  request.trainer_version = version;
  request.request_id = absl::StrCat(trainer.job, "-", seq);
  StepRecord step;
  step.job = trainer.job;
  step.step = seq;
  step.trainer_version = version;
  const absl::Time start = absl::Now();
  BOOST_LEAF_AUTO(batch, FetchBatch(context.client, request, kBatchTimeout));
  step.start_s = absl::ToDoubleSeconds(start - run_start);
  step.wait_s = absl::ToDoubleSeconds(absl::Now() - start);
  BOOST_LEAF_ASSIGN(step.samples, ParseSamples(batch, trainer, seq));
  return step;
}

// Stores the next version of the shared weights, then announces it. Returns the version.
leaf::result<Version> PublishWeights(const LoadPlan& plan, const TrainerContext& context,
                                     SharedWeights& weights) {
  // Held until the announcement, so that versions are announced in order.
  absl::MutexLock lock(&weights.mutex);
  const Version version = weights.latest + 1;
  BOOST_LEAF_CHECK(PutWeights(plan, version));
  BOOST_LEAF_CHECK(AnnounceVersion(context.client, plan.model, version));
  weights.latest = version;
  return version;
}

void RecordTrainerError(LoadRecord& record, const PlannedTrainer& trainer, std::int64_t seq,
                        const Error& error) {
  absl::MutexLock lock(&record.mutex);
  record.trainer_errors.push_back(absl::StrCat(
      trainer.job, " step ", seq, ": ", std::string(DescribeError(error.kind).name), ": ", error.detail));
}

// Requests the batch after the last one, which acknowledges the last batch. Ignores the answer.
void AcknowledgeLastBatch(const PlannedTrainer& trainer, const TrainerContext& context, std::int64_t seq,
                          Version version) {
  BatchRequest request{trainer.job, trainer.name, seq, version, absl::StrCat(trainer.job, "-last")};
  (void)Capture<Json>([&] { return FetchBatch(context.client, request, absl::ZeroDuration()); });
}

}  // namespace

leaf::result<void> PutWeights(const LoadPlan& plan, Version version) {
  HttpCall call;
  call.method = "PUT";
  call.path = absl::StrCat("/weights/", plan.model, "/", version);
  call.body = std::string(plan.weight_bytes, static_cast<char>('0' + version % 10));
  call.content_type = "application/octet-stream";
  for (int it = 0; it < kMaxPutWeightsAttempts; ++it) {
    const Outcome<HttpAnswer> answer = CallProgram(plan, WeightsPort(plan), call);
    if (Ok(answer) && Value(answer).status == 200) return {};
    absl::SleepFor(kPutWeightsRetryDelay);
  }
  return Fail(ErrorKind::kUpstreamFailed,
              absl::StrCat("weight store: version ", version, " could not be stored, all attempts failed"));
}

void RunTrainer(const LoadPlan& plan, const PlannedTrainer& trainer, const TrainerContext& context,
                SharedWeights& weights, LoadRecord& record) {
  Version version = LatestVersion(weights);
  for (std::int64_t seq = 1; seq <= plan.steps; ++seq) {
    version = LatestVersion(weights);
    Outcome<StepRecord> step =
        Capture<StepRecord>([&] { return WaitForStep(trainer, context, seq, version, record.start); });
    if (!Ok(step)) {
      RecordTrainerError(record, trainer, seq, ErrorOf(step));
      return;
    }
    context.progress(absl::StrFormat("step %d of %s: %d samples after %.1f s, weights %d", seq, trainer.job,
                                     Value(step).samples.size(), Value(step).wait_s, version));
    const absl::Time start = absl::Now();
    absl::SleepFor(absl::Milliseconds(trainer.train_ms));
    const Outcome<Version> published =
        Capture<Version>([&] { return PublishWeights(plan, context, weights); });
    if (!Ok(published)) RecordTrainerError(record, trainer, seq, ErrorOf(published));
    Value(step).train_s = absl::ToDoubleSeconds(absl::Now() - start);
    absl::MutexLock lock(&record.mutex);
    record.steps.push_back(std::move(Value(step)));
  }
  AcknowledgeLastBatch(trainer, context, plan.steps + 1, version);
}

BatchCheck CheckBatch(const LoadPlan& plan, const PlannedTrainer& trainer, std::int64_t step,
                      const std::vector<Sample>& samples) {
  BatchCheck check;
  const std::vector<std::string> prompts = PromptsOf(plan, trainer.job);
  const int groups = plan.samples_per_step / plan.group_size;
  std::set<SlotKey> seen;
  for (const Sample& it : samples) {
    const bool in_step = it.slot.job == trainer.job && it.slot.step == step && it.slot.group >= 0 &&
                         it.slot.group < groups && it.slot.index >= 0 && it.slot.index < plan.group_size;
    if (!in_step) {
      ++check.mismatched;
      continue;
    }
    if (!seen.insert(it.slot).second) ++check.duplicates;
    // Steps take the job's prompts in turn, one prompt per group. Accepts counting from step 0 or step 1.
    const std::size_t prompt_index = static_cast<std::size_t>(step) * groups + it.slot.group;
    const bool prompt_ok = it.prompt == prompts[prompt_index % prompts.size()] ||
                           it.prompt == prompts[(prompt_index - groups) % prompts.size()];
    if (!prompt_ok || !it.scored) ++check.mismatched;
  }
  check.missing = plan.samples_per_step - static_cast<std::int64_t>(seen.size());
  return check;
}

}  // namespace oleander::load
