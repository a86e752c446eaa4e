// Scenarios of bench_policy and their targets. The targets are design goals.
#ifndef OLEANDER_BENCH_POLICY_SCENARIOS_H_
#define OLEANDER_BENCH_POLICY_SCENARIOS_H_

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <string>
#include <vector>

#include "policy_sim.h"

namespace oleander::bench {

inline constexpr double kNoTarget = std::numeric_limits<double>::infinity();

struct Figure {
  std::string scenario;
  std::string name;
  std::string router;
  double value = 0;
  double target = kNoTarget;  // kNoTarget: shown for comparison only
  bool at_most = true;        // true: the target is an upper bound; false: a lower bound
};
using Figures = std::vector<Figure>;

inline bool HasTarget(const Figure& figure) { return figure.target != kNoTarget; }
inline bool IsMet(const Figure& figure) {
  return figure.at_most ? figure.value <= figure.target : figure.value >= figure.target;
}

inline const std::vector<Router>& BaselineRouters() {
  static const std::vector<Router> routers = {Router::kRandom, Router::kRoundRobin, Router::kLeastReported};
  return routers;
}
inline std::vector<Router> AllRouters() {
  std::vector<Router> routers = {Router::kRouting};
  for (const Router router : BaselineRouters()) routers.push_back(router);
  return routers;
}

// ---- Rollout steps ----

struct StepParams {
  int trainers = 2;
  int samples = 1024;         // per step and trainer
  int group_size = 8;         //
  double median = 300;        // tokens; lengths are lognormal over prompts and within a group, and capped
  double prompt_sigma = 0.6;  // of the logarithm
  double sample_sigma = 0.5;  // of the logarithm
  int max_tokens = 4000;
  double expected_sigma = 0.4;  // of the logarithm; error of the length predicted for a prompt
};

// Samples of one step. They depend only on the arguments, so every router gets the same work.
inline std::vector<Generation> MakeStep(const StepParams& params, int job, std::int64_t step,
                                        std::uint64_t seed) {
  std::mt19937_64 random(seed * 1'000'003 + static_cast<std::uint64_t>(job) * 1009 +
                         static_cast<std::uint64_t>(step));
  std::normal_distribution<double> normal;
  std::vector<Generation> samples;
  for (int it = 0; it < params.samples; ++it) {
    Generation sample;
    if (it % params.group_size == 0) samples.reserve(params.samples);
    sample.job = job;
    sample.host = job;
    sample.step = step;
    sample.group = it / params.group_size;
    sample.prefix = MixSeed(seed, job, step, sample.group);
    samples.push_back(sample);
  }
  for (int first = 0; first < params.samples; first += params.group_size) {
    const double prompt = params.median * std::exp(params.prompt_sigma * normal(random));
    // A prediction can only use the prompt, so all samples of a group have the same predicted length.
    const double expected = prompt * std::exp(params.expected_sigma * normal(random));
    for (int it = first; it < std::min(first + params.group_size, params.samples); ++it) {
      const double length = prompt * std::exp(params.sample_sigma * normal(random));
      samples[it].length = std::clamp(static_cast<int>(length), 8, params.max_tokens);
      samples[it].expected = std::clamp(static_cast<int>(expected), 8, params.max_tokens);
    }
  }
  return samples;
}

// Tokens per second of all engines together, with `slots` requests running on each.
inline double Capacity(const EngineParams& params, int slots) {
  return params.engines * slots * 1000.0 / (params.step_base_ms + slots * params.step_each_ms);
}
inline int TrainingSlots(const EngineParams& params) {
  return std::min(params.batch, params.policy.engine_max_in_flight) -
         params.policy.engine_reserved_interactive;
}

// Interactive generations that run beside the rollouts and occupy most of the reserved slots. Without them
// the baselines would run rollouts on slots that the production routing reserves for interactive requests.
struct InteractiveLoad {
  EngineSim& sim;
  std::mt19937_64 arrivals;
  double rate = 15;  // 1/s
  std::uint64_t next_prefix = 1;

  void Arrive() {
    Generation generation;
    generation.work_class = WorkClass::kInteractive;
    generation.job = -1;
    generation.host = static_cast<int>(arrivals() % static_cast<std::uint64_t>(sim.params.hosts));
    generation.length = 60;
    generation.expected = 60;
    generation.prefix = next_prefix++ * 7919;
    sim.Submit(generation);
    sim.clock.After(std::exponential_distribution<double>(rate)(arrivals), [this] { Arrive(); });
  }
};

struct StepResult {
  double ratio = 0;            // sum of step times / sum of their lower bounds
  double straggler = 0;        // mean over groups of: end of the last sample / median end
  double mean_length = 0;      // tokens, of delivered samples
  std::int64_t delivered = 0;  //
};

// Runs steps one after the other; in each step all trainers start together.
inline StepResult RunSteps(const EngineParams& engine_params, const StepParams& params, Router router,
                           std::uint64_t seed, int steps) {
  EngineSim sim(engine_params, router, seed);
  InteractiveLoad interactive_load{sim, std::mt19937_64(seed + 3)};
  interactive_load.Arrive();
  StepResult result;
  double time = 0;
  double bound = 0;
  double tokens_delivered = 0;
  int groups = 0;
  for (int step = 1; step <= steps; ++step) {
    const double start = sim.clock.now;
    const std::size_t first = sim.generations.size();
    double tokens = 0;
    int longest = 0;
    std::size_t unfinished = 0;
    sim.on_end = [&](int id) { unfinished -= sim.generations[id].job >= 0; };
    std::vector<Generation> work;
    for (int job = 0; job < params.trainers; ++job) {
      for (const Generation& it : MakeStep(params, job, step, seed)) {
        tokens += it.length;
        longest = std::max(longest, it.length);
        work.push_back(it);
      }
    }
    unfinished = work.size();
    for (const Generation& it : work) sim.Submit(it);
    while (unfinished > 0) sim.clock.RunUntil(sim.clock.events.top().at);
    time += sim.clock.now - start;
    bound += std::max(tokens / Capacity(engine_params, TrainingSlots(engine_params)),
                      longest * (engine_params.step_base_ms + engine_params.step_each_ms) / 1000);
    std::map<std::pair<int, int>, std::vector<double>> ends;
    for (std::size_t it = first; it < sim.generations.size(); ++it) {
      const Generation& generation = sim.generations[it];
      if (generation.job < 0) continue;
      ends[{generation.job, generation.group}].push_back(generation.ended - start);
      tokens_delivered += generation.done;
      ++result.delivered;
    }
    for (auto& [key, values] : ends) {
      result.straggler += *std::max_element(values.begin(), values.end()) / Percentile(values, 0.5);
      ++groups;
    }
  }
  result.ratio = time / bound;
  result.straggler /= groups;
  result.mean_length = tokens_delivered / static_cast<double>(result.delivered);
  return result;
}

// Closed loop of trainers: while a trainer trains on a batch, the next step is generated.
struct LoopParams {
  int steps = 6;
  double training = 125;      // s per batch
  double weight_period = 0;   // s between weight versions; 0: no swaps
  double swap_duration = 16;  // s until the last engine has the new version
  double swap_pause = 0.3;    // s that an engine generates no tokens in a swap
  int failing_engines = 0;    // engines whose swaps fail
  int failing_versions = 3;   // versions that the failing engines miss
  int staleness_bound = 2;    // versions
};
struct LoopResult {
  double idle = 0;  // s, sum over trainers, without the wait for the first batch
  double end = 0;   // s
  double tokens = 0;
  double tokens_dropped = 0;
  int stale_delivered = 0;
};

struct TrainerLoop {
  EngineSim& sim;
  const StepParams& params;
  const LoopParams& loop;
  std::uint64_t seed;
  LoopResult result = {};
  Version version = 1;                       // of the trainers
  std::vector<std::int64_t> next_step = {};  // next step of each trainer
  std::vector<double> requested_at = {};     // s; when each trainer requested its batch; -1: it is training
  std::vector<std::map<std::int64_t, std::vector<int>>> done = {};  // complete generations of each step
  int finished = 0;                                                 // trainers

  void Plan(int job, std::int64_t step) {
    if (step > loop.steps) return;
    for (const Generation& it : MakeStep(params, job, step, seed)) sim.Submit(it);
  }
  void End(int id) {
    const Generation& generation = sim.generations[id];
    if (generation.job < 0) return;
    result.tokens += generation.length;
    done[generation.job][generation.step].push_back(id);
    Deliver(generation.job);
  }
  // Delivers the batch if the trainer is waiting for it and it is complete. Stale samples are generated
  // again.
  void Deliver(int job) {
    if (requested_at[job] < 0 || next_step[job] > loop.steps) return;
    std::vector<int>& batch = done[job][next_step[job]];
    if (static_cast<int>(batch.size()) < params.samples) return;
    std::vector<int> stale;
    for (const int it : batch) {
      if (version - sim.generations[it].oldest_version > loop.staleness_bound) stale.push_back(it);
    }
    if (!stale.empty()) {
      std::erase_if(batch, [&](int it) { return std::find(stale.begin(), stale.end(), it) != stale.end(); });
      for (const int it : stale) {
        Generation again = sim.generations[it];
        result.tokens_dropped += again.length;
        again.done = 0;
        again.engine = -1;
        again.oldest_version = 0;
        sim.Submit(again);
      }
      return;
    }
    for (const int it : batch)
      result.stale_delivered += version - sim.generations[it].oldest_version > loop.staleness_bound;
    if (next_step[job] > 1) result.idle += sim.clock.now - requested_at[job];
    ++next_step[job];
    requested_at[job] = -1;
    Plan(job, next_step[job] + 1);
    if (next_step[job] > loop.steps) {
      ++finished;
      result.end = sim.clock.now;
      return;
    }
    sim.clock.After(loop.training, [this, job] {
      requested_at[job] = sim.clock.now;
      Deliver(job);
    });
  }
  void Swap() {
    ++version;
    for (int it = 0; it < sim.params.engines; ++it) {
      if (it < loop.failing_engines && version <= 1 + loop.failing_versions) continue;
      const double at = loop.swap_duration * (it + 1) / sim.params.engines;
      const Version target = version;
      sim.clock.After(at, [this, it, target] {
        sim.engines[it].version = target;
        sim.engines[it].prefill_ms += loop.swap_pause * 1000;
      });
    }
    sim.clock.After(loop.weight_period, [this] { Swap(); });
  }
};

inline LoopResult RunLoop(const EngineParams& engine_params, const StepParams& params, const LoopParams& loop,
                          Router router, std::uint64_t seed) {
  EngineSim sim(engine_params, router, seed);
  InteractiveLoad interactive_load{sim, std::mt19937_64(seed + 3)};
  interactive_load.Arrive();
  TrainerLoop trainers{sim, params, loop, seed};
  trainers.next_step.assign(params.trainers, 1);
  trainers.requested_at.assign(params.trainers, 0);
  trainers.done.resize(params.trainers);
  sim.on_end = [&](int id) { trainers.End(id); };
  // One version newer than the staleness bound requires: the trainers may publish a version before delivery.
  sim.min_version = [&] { return trainers.version - loop.staleness_bound + 1; };
  if (loop.weight_period > 0) sim.clock.After(loop.weight_period, [&] { trainers.Swap(); });
  for (std::int64_t step = 1; step <= 2; ++step) {
    for (int job = 0; job < params.trainers; ++job) trainers.Plan(job, step);
  }
  while (trainers.finished < params.trainers && sim.clock.now < 100'000)
    sim.clock.RunUntil(sim.clock.events.top().at);
  return trainers.result;
}

inline Figures StepTime(std::uint64_t seed) {
  Figures figures;
  const EngineParams engines;
  const StepParams steps;
  double best_idle = std::numeric_limits<double>::infinity();
  for (const Router router : BaselineRouters())
    best_idle = std::min(best_idle, RunLoop(engines, steps, {}, router, seed).idle);
  for (const Router router : AllRouters()) {
    const bool is_routing = router == Router::kRouting;
    const StepResult result = RunSteps(engines, steps, router, seed, 3);
    const LoopResult loop = RunLoop(engines, steps, {}, router, seed);
    figures.push_back(
        {"step_time", "step_time_over_bound", NameOf(router), result.ratio, is_routing ? 1.10 : kNoTarget});
    figures.push_back(
        {"step_time", "trainer_idle_s", NameOf(router), loop.idle, is_routing ? best_idle / 2 : kNoTarget});
  }
  return figures;
}

inline Figures Stragglers(std::uint64_t seed) {
  Figures figures;
  const EngineParams engines;
  const StepParams steps;
  double best = std::numeric_limits<double>::infinity();
  double mean_length = 0;
  for (const Router router : BaselineRouters()) {
    const StepResult result = RunSteps(engines, steps, router, seed, 3);
    best = std::min(best, result.straggler);
    mean_length = result.mean_length;
    figures.push_back({"stragglers", "group_last_over_median", NameOf(router), result.straggler});
  }
  const StepResult routing_result = RunSteps(engines, steps, Router::kRouting, seed, 3);
  figures.push_back({"stragglers", "group_last_over_median", "routing", routing_result.straggler, best});
  // Every planned sample must be delivered at its full length, so the mean lengths must be equal.
  figures.push_back({"stragglers", "length_bias", "routing",
                     std::abs(routing_result.mean_length - mean_length) / mean_length, 0});
  return figures;
}

// ---- Short work beside long work ----

struct MixResult {
  double interactive_p99 = 0;  // s
  double sample_p99 = 0;       // s
};

inline MixResult RunMix(const EngineParams& params, Router router, std::uint64_t seed, bool with_long) {
  constexpr double warm_up = 60;
  constexpr double end_s = 360;
  EngineSim sim(params, router, seed);
  std::mt19937_64 arrivals(seed + 7);
  std::uint64_t next_prefix = 1;
  const auto submit = [&](WorkClass work_class, int job, int length, int host) {
    Generation generation;
    generation.work_class = work_class;
    generation.job = job;
    generation.length = length;
    generation.expected = length;
    generation.host = host;
    generation.prefix = next_prefix++ * 7919;
    return sim.Submit(generation);
  };
  sim.on_end = [&](int id) {
    if (sim.generations[id].length == 1000) submit(WorkClass::kRollout, 0, 1000, 0);
  };
  const int outstanding = with_long ? 2 * params.engines * params.batch : 0;
  for (int it = 0; it < outstanding; ++it) submit(WorkClass::kRollout, 0, 1000, 0);
  std::function<void()> arrive = [&] {
    if (sim.clock.now > end_s) return;
    const bool interactive = arrivals() % 3 != 0;
    const int host = static_cast<int>(arrivals() % static_cast<std::uint64_t>(params.hosts));
    submit(interactive ? WorkClass::kInteractive : WorkClass::kRollout, 1, 20, interactive ? host : 1);
    sim.clock.After(std::exponential_distribution<double>(15)(arrivals), arrive);
  };
  arrive();
  sim.clock.RunUntil(end_s);
  std::vector<double> interactive;
  std::vector<double> samples;
  for (const Generation& it : sim.generations) {
    if (it.length != 20 || it.started < warm_up || it.started > end_s - 30) continue;
    const double latency = (it.ended < 0 ? end_s : it.ended) - it.started;
    (it.work_class == WorkClass::kInteractive ? interactive : samples).push_back(latency);
  }
  return {Percentile(interactive, 0.99), Percentile(samples, 0.99)};
}

inline Figures HeadOfLine(std::uint64_t seed) {
  Figures figures;
  EngineParams params;
  params.stride = 1;
  for (const Router router : AllRouters()) {
    const double target = router == Router::kRouting ? 1.2 : kNoTarget;
    const MixResult alone = RunMix(params, router, seed, false);
    const MixResult mixed = RunMix(params, router, seed, true);
    figures.push_back({"head_of_line", "interactive_p99_over_alone", NameOf(router),
                       mixed.interactive_p99 / alone.interactive_p99, target});
    figures.push_back({"head_of_line", "short_sample_p99_over_alone", NameOf(router),
                       mixed.sample_p99 / alone.sample_p99, target});
  }
  return figures;
}

// ---- Slow upstreams ----

inline Figures SlowService(std::uint64_t seed) {
  Figures figures;
  for (const Router router : AllRouters()) {
    const bool is_routing = router == Router::kRouting;
    ServiceSim sim({}, router, seed);
    sim.clock.After(60, [&] { sim.services[0].slowdown = 10; });
    sim.clock.After(70, [&] { sim.services[0].slowdown = 1; });
    sim.clock.RunUntil(90);
    const double healthy = Percentile(sim.Latencies(20, 60), 0.99);
    const double slow = Percentile(sim.Latencies(60, 70), 0.99);
    figures.push_back({"slow_service", "p99_slow_over_healthy", NameOf(router), slow / healthy,
                       is_routing ? 1.5 : kNoTarget});
    if (is_routing) {
      figures.push_back({"slow_service", "extra_load", NameOf(router),
                         static_cast<double>(sim.extra) / static_cast<double>(sim.calls.size()), 0.05});
    }
  }
  return figures;
}

inline Figures SlowEngine(std::uint64_t seed) {
  Figures figures;
  EngineParams params;
  params.report_lag = 5;
  params.stride = 1;
  for (const Router router : AllRouters()) {
    EngineSim sim(params, router, seed);
    std::mt19937_64 arrivals(seed + 11);
    std::uint64_t next_prefix = 1;
    std::function<void()> arrive = [&] {
      if (sim.clock.now > 90) return;
      Generation generation;
      generation.work_class = WorkClass::kInteractive;
      generation.host = static_cast<int>(arrivals() % static_cast<std::uint64_t>(params.hosts));
      generation.length = 60;
      generation.expected = 60;
      generation.prefix = next_prefix++ * 7919;
      sim.Submit(generation);
      sim.clock.After(std::exponential_distribution<double>(30)(arrivals), arrive);
    };
    arrive();
    sim.clock.After(60, [&] { sim.engines[0].speed = 0.1; });
    sim.clock.After(70, [&] { sim.engines[0].speed = 1; });
    sim.clock.RunUntil(120);
    std::vector<double> healthy;
    std::vector<double> slow;
    for (const Generation& it : sim.generations) {
      const double latency = (it.ended < 0 ? 120 : it.ended) - it.started;
      if (it.started >= 20 && it.started < 55) healthy.push_back(latency);
      if (it.started >= 60 && it.started < 70) slow.push_back(latency);
    }
    const bool is_routing = router == Router::kRouting;
    figures.push_back({"slow_engine", "p99_slow_over_healthy", NameOf(router),
                       Percentile(slow, 0.99) / Percentile(healthy, 0.99), is_routing ? 1.5 : kNoTarget});
    if (is_routing) {
      figures.push_back({"slow_engine", "extra_load", NameOf(router),
                         static_cast<double>(sim.extra) / static_cast<double>(sim.generations.size()), 0.05});
    }
  }
  return figures;
}

// ---- Ten times the load ----

// Normal load is a fifth of the upstreams' capacity, the peak twice the capacity. Calls are long to keep
// their number in an hour small; only ratios to the call length are reported.
inline ServiceParams OverloadParams() {
  ServiceParams params;
  params.workers = 8;
  params.median_ms = 48;
  params.rate = 100;
  return params;
}

// Measures the calls that complete within the deadline relative to capacity, the p99 of lookups in the peak,
// and the recovery time: the end of the last second after the peak whose p99 is above twice the normal p99.
inline Figures OverloadServices(std::uint64_t seed, double peak_s) {
  Figures figures;
  for (const Router router : AllRouters()) {
    const bool is_routing = router == Router::kRouting;
    const ServiceParams params = OverloadParams();
    ServiceSim sim(params, router, seed);
    const double start = 60;
    const double end = start + peak_s;
    sim.clock.After(start, [&] { sim.rate_factor = 10; });
    sim.clock.After(end, [&] { sim.rate_factor = 1; });
    // The baselines' queues are unbounded and grow during the whole peak. A short peak shows this as well.
    if (!is_routing && peak_s > 120) continue;
    sim.clock.RunUntil(end + 60);
    sim.stopped = true;
    const double mean_s = params.median_ms / 1000 * std::exp(params.sigma * params.sigma / 2);
    const double capacity = params.upstreams * params.workers / mean_s;
    const double normal = Percentile(sim.Latencies(20, start), 0.99);
    const std::vector<double> peak = sim.Latencies(start, end);
    const double in_time = static_cast<double>(
        std::count_if(peak.begin(), peak.end(), [&](double it) { return it <= params.deadline_s; }));
    double recovered = 0;
    for (int it = 0; it < 59; ++it) {
      if (Percentile(sim.Latencies(end + it, end + it + 1), 0.99) > 2 * normal) recovered = it + 1;
    }
    const auto add = [&](const char* name, double value, double target, bool at_most) {
      figures.push_back({"overload", name, NameOf(router), value, is_routing ? target : kNoTarget, at_most});
    };
    add("goodput_over_capacity", in_time / peak_s / capacity, 0.95, false);
    add("lookup_p99_over_normal", Percentile(peak, 0.99) / normal, 2, true);
    add("extra_attempts", static_cast<double>(sim.extra) / static_cast<double>(sim.calls.size()), 0.1, true);
    add("recovery_s", recovered, 10, true);
  }
  return figures;
}

// Three trainers keep ten times as many requests open as the engines can run, with very different lengths.
inline Figures OverloadTrainers(std::uint64_t seed) {
  Figures figures;
  constexpr int trainer_count = 3;
  const int lengths[trainer_count] = {60, 300, 1500};
  for (const Router router : AllRouters()) {
    const EngineParams params;
    EngineSim sim(params, router, seed);
    std::uint64_t next_prefix = 1;
    const auto submit = [&](int job) {
      Generation generation;
      generation.job = job;
      generation.host = job;
      generation.length = lengths[job];
      generation.expected = lengths[job];
      generation.prefix = next_prefix++ * 7919;
      sim.Submit(generation);
    };
    sim.on_end = [&](int id) { submit(sim.generations[id].job); };
    // Every trainer has the same number of open requests.
    for (int it = 0; it < 10 * params.engines * params.batch; ++it) submit(it % trainer_count);
    sim.clock.RunUntil(600);
    double served[trainer_count] = {};
    double total = 0;
    for (const Generation& it : sim.generations) {
      served[it.job] += it.done;
      total += it.done;
    }
    const double lowest = *std::min_element(served, served + trainer_count) / (total / trainer_count);
    const bool is_routing = router == Router::kRouting;
    figures.push_back(
        {"overload", "lowest_trainer_share", NameOf(router), lowest, is_routing ? 0.9 : kNoTarget, false});
    if (is_routing) {
      const double capacity = Capacity(params, TrainingSlots(params));
      figures.push_back(
          {"overload", "engine_goodput_over_capacity", NameOf(router), total / 600 / capacity, 0.95, false});
    }
  }
  return figures;
}

inline Figures Overload(std::uint64_t seed, double peak_s) {
  Figures figures = OverloadServices(seed, peak_s);
  const Figures trainers = OverloadTrainers(seed);
  figures.insert(figures.end(), trainers.begin(), trainers.end());
  return figures;
}

// ---- Shared prefixes ----

inline Figures SharedPrefixes(std::uint64_t seed) {
  constexpr int prefix_count = 200;
  constexpr double end_s = 400;
  Figures figures;
  double best = 0;
  for (const Router router : {Router::kOmniscient, Router::kRouting, Router::kCacheEvents, Router::kRandom,
                              Router::kRoundRobin, Router::kLeastReported}) {
    const EngineParams params;
    EngineSim sim(params, router, seed);
    std::mt19937_64 arrivals(seed + 13);
    std::vector<double> weights(prefix_count);
    for (int it = 0; it < prefix_count; ++it) weights[it] = 1 / std::pow(it + 1, 0.8);
    std::discrete_distribution<int> popularity(weights.begin(), weights.end());
    std::function<void()> arrive = [&] {
      if (sim.clock.now > end_s) return;
      Generation generation;
      generation.host = static_cast<int>(arrivals() % static_cast<std::uint64_t>(params.hosts));
      generation.prefix = MixSeed(1, 0, 0, popularity(arrivals));
      generation.prompt_tokens = 1000;
      generation.length = 50;
      generation.expected = 50;
      sim.Submit(generation);
      sim.clock.After(std::exponential_distribution<double>(90)(arrivals), arrive);
    };
    arrive();
    sim.clock.RunUntil(end_s);
    const double cached = static_cast<double>(sim.cached_tokens) / static_cast<double>(sim.prompt_tokens);
    if (router == Router::kOmniscient) best = cached;
    double highest = 0;
    double mean = 0;
    for (const FakeEngine& it : sim.engines) {
      highest = std::max(highest, static_cast<double>(it.tokens));
      mean += static_cast<double>(it.tokens) / params.engines;
    }
    const bool is_routing = router == Router::kRouting;
    figures.push_back({"shared_prefixes", "cached_over_omniscient", NameOf(router), cached / best,
                       is_routing ? 0.9 : kNoTarget, false});
    figures.push_back(
        {"shared_prefixes", "load_imbalance", NameOf(router), highest / mean, is_routing ? 1.1 : kNoTarget});
  }
  return figures;
}

// ---- Weight swaps ----

inline Figures WeightSwaps(std::uint64_t seed) {
  Figures figures;
  const EngineParams engines;
  const StepParams steps;
  for (const Router router : AllRouters()) {
    const bool is_routing = router == Router::kRouting;
    LoopParams loop;
    loop.steps = 9;
    const LoopResult without = RunLoop(engines, steps, loop, router, seed);
    loop.weight_period = 240;
    loop.failing_engines = 2;
    const LoopResult with = RunLoop(engines, steps, loop, router, seed);
    figures.push_back({"weight_swaps", "stale_delivered", NameOf(router),
                       static_cast<double>(with.stale_delivered), is_routing ? 0 : kNoTarget});
    figures.push_back({"weight_swaps", "tokens_thrown_away", NameOf(router),
                       with.tokens_dropped / with.tokens, is_routing ? 0.01 : kNoTarget});
    figures.push_back({"weight_swaps", "time_over_without_swaps", NameOf(router), with.end / without.end,
                       is_routing ? 1.05 : kNoTarget});
  }
  return figures;
}

// ---- All ----

struct Scenario {
  const char* name;
  Figures (*run)(std::uint64_t seed);
};
inline const std::vector<Scenario>& AllScenarios() {
  static const std::vector<Scenario> scenarios = {
      {"step_time", StepTime},
      {"head_of_line", HeadOfLine},
      {"slow_service", SlowService},
      {"slow_engine", SlowEngine},
      {"overload", [](std::uint64_t seed) { return Overload(seed, 3600); }},
      {"shared_prefixes", SharedPrefixes},
      {"weight_swaps", WeightSwaps},
      {"stragglers", Stragglers},
  };
  return scenarios;
}

}  // namespace oleander::bench

#endif  // OLEANDER_BENCH_POLICY_SCENARIOS_H_
