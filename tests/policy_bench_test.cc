// Checks, with two seeds, the targets of bench_policy that are met. Figures are counts and times of the
// manual clock, so every run has the same result. Missed targets are printed by bench_policy and listed in
// KNOWN-RED.txt.
#include <gtest/gtest.h>

#include "bench/policy_scenarios.h"

namespace oleander::bench {
namespace {

class PolicyBench : public testing::TestWithParam<std::uint64_t> {};
INSTANTIATE_TEST_SUITE_P(Seeds, PolicyBench, testing::Values(1, 2));

// Expects that the production routing has a figure with each of these names and that it meets its target.
void ExpectMet(const Figures& figures, const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    const auto it = std::find_if(figures.begin(), figures.end(), [&](const Figure& figure) {
      return figure.name == name && figure.router == "routing" && HasTarget(figure);
    });
    ASSERT_NE(it, figures.end()) << name;
    EXPECT_TRUE(IsMet(*it)) << name << " " << it->value << ", target " << it->target;
  }
}

// Guards against trainers that wait for a few late samples. The limit is half the idle time of the best
// baseline.
TEST_P(PolicyBench, TrainersIdleAtMostHalfOfTheBestBaseline) {
  ExpectMet(StepTime(GetParam()), {"trainer_idle_s"});
}

// Guards against a slow upstream that dominates the tail latency while its load report still looks good, and
// against hedges that overload the other upstreams.
TEST_P(PolicyBench, TailLatencyStaysBoundedWithOneSlowService) {
  ExpectMet(SlowService(GetParam()), {"p99_slow_over_healthy", "extra_load"});
}

// Guards against streams that stay on a slow engine until they end.
TEST_P(PolicyBench, TailLatencyStaysBoundedWithOneSlowEngine) {
  ExpectMet(SlowEngine(GetParam()), {"p99_slow_over_healthy", "extra_load"});
}

// Guards against collapse at ten times the load: queues inside the upstreams, retry storms, a slow
// recovery, and a trainer that gets a smaller share because its samples are short. The peak lasts twenty
// minutes instead of an hour as in bench_policy.
TEST_P(PolicyBench, GoodputAndFairnessHoldAtTenTimesTheLoad) {
  ExpectMet(Overload(GetParam(), 1200),
            {"goodput_over_capacity", "lookup_p99_over_normal", "extra_attempts", "recovery_s",
             "lowest_trainer_share", "engine_goodput_over_capacity"});
}

// Guards against routing that misses cached prefixes and routing that overloads the engines which hold them.
TEST_P(PolicyBench, SharedPrefixesHitCachesWithoutOverloadingEngines) {
  ExpectMet(SharedPrefixes(GetParam()), {"cached_over_omniscient", "load_imbalance"});
}

// Guards against routing samples to engines whose weight swap failed: the staleness check drops these
// samples.
TEST_P(PolicyBench, WeightSwapsDeliverNoStaleSamplesAndDropFewTokens) {
  ExpectMet(WeightSwaps(GetParam()), {"stale_delivered", "tokens_thrown_away"});
}

// Guards against stragglers that are truncated or replaced by shorter samples.
TEST_P(PolicyBench, SamplesAreDeliveredAtFullLength) { ExpectMet(Stragglers(GetParam()), {"length_bias"}); }

}  // namespace
}  // namespace oleander::bench
