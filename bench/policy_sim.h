// Simulates engines and plain services on a manual clock. Requests are routed by the production routing
// functions or by a baseline. Used by bench_policy and its test. All randomness comes from the seed.
#ifndef OLEANDER_BENCH_POLICY_SIM_H_
#define OLEANDER_BENCH_POLICY_SIM_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "oleander/routing.h"

namespace oleander::bench {

enum class Router { kRouting, kRandom, kRoundRobin, kLeastReported, kCacheEvents, kOmniscient };
inline std::string NameOf(Router router) {
  static const char* const names[] = {"routing",        "random",       "round_robin",
                                      "least_reported", "cache_events", "omniscient"};
  return names[static_cast<int>(router)];
}

// ---- Manual clock with events ----

struct Event {
  double at = 0;  // s
  std::uint64_t order = 0;
  std::function<void()> run;
};
struct LaterEvent {
  bool operator()(const Event& a, const Event& b) const {
    return a.at != b.at ? a.at > b.at : a.order > b.order;
  }
};
struct Clock {
  double now = 0;  // s
  std::uint64_t next_order = 0;
  std::priority_queue<Event, std::vector<Event>, LaterEvent> events;
  void After(double delay, std::function<void()> run) {
    events.push({now + delay, next_order++, std::move(run)});
  }
  // Runs all events up to `end` and advances the clock to `end`.
  void RunUntil(double end) {
    while (!events.empty() && events.top().at <= end) {
      Event event = std::move(const_cast<Event&>(events.top()));
      events.pop();
      now = event.at;
      event.run();
    }
    now = std::max(now, end);
  }
};
inline absl::Time TimeOf(double seconds) { return absl::FromUnixSeconds(1'000'000) + absl::Seconds(seconds); }

inline std::uint64_t MixSeed(std::uint64_t seed, int job, std::int64_t step, int group) {
  std::seed_seq sequence{static_cast<std::int64_t>(seed), static_cast<std::int64_t>(job), step,
                         static_cast<std::int64_t>(group)};
  std::uint32_t words[2];
  sequence.generate(words, words + 2);
  return (static_cast<std::uint64_t>(words[0]) << 32 | words[1]) | 1;
}

inline double Percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  const std::size_t rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
  const std::size_t index = rank == 0 ? 0 : rank - 1;
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
  return values[index];
}

// ---- Engines ----

struct EngineParams {
  int engines = 12;
  int hosts = 9;
  int batch = 16;  // requests that an engine runs at once; the others wait in order of arrival
  // A step produces one token for each of n running requests and takes step_base_ms + n * step_each_ms:
  // reading the weights dominates, as on an accelerator with a small batch.
  double step_base_ms = 20;
  double step_each_ms = 0.2;
  int stride = 4;            // tokens per request and simulated step
  double prefill_ms = 0.02;  // per prompt token that is not cached
  int cached_prefixes = 24;  // capacity of the LRU cache
  double report_lag = 1;     // s; delay of load reports
  double view_period = 0.5;  // s between rebuilds of a host's routing view
  double event_delay = 2;    // s; delay of cache events
  double event_loss = 0.2;   // fraction of cache events that are lost
  Policy policy;             //
};

struct Generation {
  WorkClass work_class = WorkClass::kRollout;
  int job = 0;
  std::int64_t step = 1;
  int group = 0;
  std::uint64_t prefix = 0;
  int prompt_tokens = 200;
  int length = 100;    // tokens
  int expected = 100;  // tokens; predicted length
  int host = 0;
  // Progress.
  int done = 0;        // tokens
  int slice_left = 0;  // tokens
  int engine = -1;
  int avoid = -1;              // engine that it was moved away from
  double started = 0;          // s
  double ended = -1;           // s
  int recomputed_tokens = 0;   // generated tokens that the next engine has to prefill
  Version oldest_version = 0;  // of its tokens
  InFlightCall call;
  QueuedWork work;
};

struct FakeEngine {
  std::vector<int> running;         // indices of generations
  std::deque<int> waiting;          // inside the engine; empty if `queue` limits what is sent to it
  std::deque<std::uint64_t> cache;  // prefixes, least recently used first
  std::vector<std::uint64_t> reported_prefixes;  // cached prefixes according to the cache events
  EngineQueue queue;
  double speed = 1;
  Version version = 1;
  bool stepping = false;
  double prefill_ms = 0;  // of requests admitted since the last step
  std::int64_t tokens = 0;
  std::deque<std::pair<double, int>> load_history;  // time in s, assigned requests
};

struct EngineSim {
  EngineParams params;
  Router router;
  Clock clock;
  std::mt19937_64 random;
  std::vector<FakeEngine> engines;
  std::vector<std::unique_ptr<RoutingView>> views;  // by host
  std::vector<std::vector<std::shared_ptr<UpstreamStats>>> stats;
  std::vector<Generation> generations;
  std::function<void(int)> on_end;  // called when a generation is complete
  std::function<Version()> min_version;
  // Rollouts by job: those waiting for dispatch, in the queue's order, and those dispatched.
  std::map<int, EngineQueue> planned;
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t refused = 0;
  std::vector<std::unique_ptr<Budget>> move_budgets;  // by host
  std::int64_t extra = 0;                             // requests moved to another engine
  int next_round_robin = 0;

  EngineSim(const EngineParams& p, Router r, std::uint64_t seed) : params(p), router(r), random(seed) {
    engines.resize(p.engines);
    stats.resize(p.hosts);
    views.resize(p.hosts);
    for (FakeEngine& it : engines) {
      it.queue.max_in_flight = std::min(p.batch, p.policy.engine_max_in_flight);
      it.queue.reserved_interactive = p.policy.engine_reserved_interactive;
      it.queue.max_length = p.policy.engine_queue_length;
    }
    for (std::vector<std::shared_ptr<UpstreamStats>>& it : stats) {
      for (int n = 0; n < p.engines; ++n) it.push_back(std::make_shared<UpstreamStats>());
    }
    for (int it = 0; it < p.hosts; ++it) {
      move_budgets.push_back(std::make_unique<Budget>());
      move_budgets.back()->ratio = p.policy.retry_budget;
    }
    RefreshViews();
  }

  static int Assigned(const FakeEngine& engine) {
    return static_cast<int>(engine.running.size() + engine.waiting.size()) + QueueLength(engine.queue);
  }
  // Load according to the newest report that is at least report_lag old.
  static int ReportedLoad(const FakeEngine& engine) {
    return engine.load_history.empty() ? 0 : engine.load_history.front().second;
  }

  void RefreshViews() {
    for (FakeEngine& it : engines) {
      it.load_history.emplace_back(clock.now, Assigned(it));
      while (it.load_history.size() > 1 && it.load_history[1].first <= clock.now - params.report_lag)
        it.load_history.pop_front();
    }
    if (router == Router::kRouting) {
      for (int it = 0; it < params.hosts; ++it) views[it] = MakeView(it, views[it].get());
    }
    clock.After(params.view_period, [this] { RefreshViews(); });
  }

  std::unique_ptr<RoutingView> MakeView(int host, const RoutingView* previous) {
    std::unique_ptr<RoutingView> view = std::make_unique<RoutingView>();
    view->zone = std::string(1, static_cast<char>('a' + host % 3));
    view->upstreams.resize(params.engines);
    for (int it = 0; it < params.engines; ++it) {
      UpstreamView& upstream = view->upstreams[it];
      upstream.upstream.id = "engine-" + std::to_string(it);
      upstream.upstream.kind = UpstreamKind::kEngine;
      upstream.upstream.pool = "model";
      upstream.upstream.zone = std::string(1, static_cast<char>('a' + it % 3));
      upstream.policy = params.policy;
      upstream.stats = stats[host][it];
      upstream.responsible_host = "host";
      upstream.assigned = ReportedLoad(engines[it]);
      upstream.load.version = engines[it].version;
    }
    BuildViewIndexes(*view, previous);
    return view;
  }

  // ---- Choice ----

  int Choose(const Generation& generation) {
    if (router == Router::kRandom) return static_cast<int>(random() % engines.size());
    if (router == Router::kRoundRobin) return next_round_robin++ % params.engines;
    if (router == Router::kRouting) return ChooseByRouting(generation);
    if (router == Router::kLeastReported)
      return LeastLoaded([](const FakeEngine& it) { return ReportedLoad(it); }, 0, nullptr);
    const bool sees_all = router == Router::kOmniscient;
    const auto cached = [&](const FakeEngine& it) {
      if (sees_all) return std::find(it.cache.begin(), it.cache.end(), generation.prefix) != it.cache.end();
      return std::find(it.reported_prefixes.begin(), it.reported_prefixes.end(), generation.prefix) !=
             it.reported_prefixes.end();
    };
    const auto load = [&](const FakeEngine& it) { return sees_all ? Assigned(it) : ReportedLoad(it); };
    double mean = 0;
    for (const FakeEngine& it : engines) mean += load(it) / static_cast<double>(engines.size());
    const int holder = LeastLoaded(load, std::ceil(params.policy.affinity_load_bound * (mean + 0.1)), cached);
    return holder >= 0 ? holder : LeastLoaded(load, 0, nullptr);
  }

  template <class Load>
  int LeastLoaded(const Load& load, double bound, const std::function<bool(const FakeEngine&)>& filter) {
    int best = -1;
    const int start = static_cast<int>(random() % engines.size());
    for (int n = 0; n < params.engines; ++n) {
      const int it = (start + n) % params.engines;
      if (filter && (!filter(engines[it]) || load(engines[it]) + 1 > bound)) continue;
      if (best < 0 || load(engines[it]) < load(engines[best])) best = it;
    }
    return best;
  }

  int ChooseByRouting(const Generation& generation) {
    RequestShape shape;
    shape.model = "model";
    shape.prefix_hash = generation.prefix;
    shape.expected_tokens = std::max(1, generation.expected - generation.done);
    shape.work_class = generation.work_class;
    if (generation.avoid >= 0) shape.exclude = {"engine-" + std::to_string(generation.avoid)};
    if (min_version && generation.work_class == WorkClass::kRollout) shape.min_version = min_version();
    const Outcome<int> picked =
        Capture<int>([&] { return PickEngine(*views[generation.host], shape, TimeOf(clock.now), random); });
    return Ok(picked) ? Value(picked) : -1;
  }

  // ---- Life of a generation ----

  int Submit(const Generation& generation) {
    EarnBudget(*move_budgets[generation.host], TimeOf(clock.now));
    generations.push_back(generation);
    const int id = static_cast<int>(generations.size()) - 1;
    generations[id].started = clock.now;
    Plan(id);
    return id;
  }

  // With the production routing, rollouts wait at their job's host until the dispatch window has room. Other
  // requests are dispatched at once.
  void Plan(int id) {
    Generation& generation = generations[id];
    if (router != Router::kRouting || generation.job < 0 || generation.work_class != WorkClass::kRollout) {
      Dispatch(id);
      return;
    }
    EngineQueue& queue = planned[generation.job];
    queue.reserved_interactive = 0;
    queue.max_length = 1 << 30;
    static_cast<void>(Capture<std::monostate>([&] { return Enqueue(queue, WorkOf(id)); }));
    DispatchPlanned(generation.job);
  }
  void DispatchPlanned(int job) {
    EngineQueue& queue = planned[job];
    const int active = static_cast<int>(std::count_if(planned.begin(), planned.end(), [](const auto& it) {
      return it.second.training_length + it.second.running_training > 0;
    }));
    queue.max_in_flight = DispatchWindow(*views[0], "model", std::max(1, active));
    while (const std::optional<QueuedWork> work = StartNext(queue)) Dispatch(static_cast<int>(work->id));
  }
  QueuedWork WorkOf(int id) const {
    const Generation& generation = generations[id];
    QueuedWork work;
    work.id = id;
    work.work_class = generation.work_class;
    work.job = "job-" + std::to_string(generation.job);
    work.step = generation.step;
    work.expected_tokens = ExpectedRemaining(generation.expected, generation.done);
    work.resumed = generation.done > 0;
    work.slice_tokens = generation.work_class == WorkClass::kInteractive ? 0 : params.policy.slice_tokens;
    return work;
  }

  void Dispatch(int id) {
    Generation& generation = generations[id];
    const int chosen = Choose(generation);
    if (chosen < 0) {
      ++refused;
      clock.After(0.2, [this, id] { Dispatch(id); });
      return;
    }
    const bool moved = generation.engine >= 0 && generation.engine != chosen;
    if (moved || generation.engine < 0) generation.recomputed_tokens = generation.done;
    generation.engine = chosen;
    FakeEngine& engine = engines[chosen];
    const int left = generation.length - generation.done;
    if (router != Router::kRouting) {
      generation.slice_left = left;
      engine.waiting.push_back(id);
      Admit(chosen);
      return;
    }
    const int slice = generation.work_class == WorkClass::kInteractive ? 0 : params.policy.slice_tokens;
    generation.slice_left = slice > 0 ? std::min(slice, left) : left;
    generation.call = StartCall(*stats[generation.host][chosen], TimeOf(clock.now));
    const QueuedWork work = WorkOf(id);
    generation.work = work;
    static_cast<void>(Capture<std::monostate>([&] { return Enqueue(engine.queue, work); }));
    Admit(chosen);
  }

  void Admit(int index) {
    FakeEngine& engine = engines[index];
    if (router == Router::kRouting) {
      while (const std::optional<QueuedWork> work = StartNext(engine.queue))
        StartRunning(engine, static_cast<int>(work->id));
    }
    while (!engine.waiting.empty() && static_cast<int>(engine.running.size()) < params.batch) {
      const int id = engine.waiting.front();
      engine.waiting.pop_front();
      StartRunning(engine, id);
    }
    if (engine.stepping || engine.running.empty()) return;
    engine.stepping = true;
    const double n = static_cast<double>(engine.running.size());
    const double ms = params.stride * (params.step_base_ms + n * params.step_each_ms) + engine.prefill_ms;
    engine.prefill_ms = 0;
    clock.After(ms / 1000 / engine.speed, [this, index] { EndStep(index); });
  }

  void StartRunning(FakeEngine& engine, int id) {
    const Generation& generation = generations[id];
    engine.running.push_back(id);
    const auto hit = std::find(engine.cache.begin(), engine.cache.end(), generation.prefix);
    const bool cached = generation.prefix != 0 && hit != engine.cache.end();
    prompt_tokens += generation.prompt_tokens;
    if (cached) cached_tokens += generation.prompt_tokens;
    const int uncached = (cached ? 0 : generation.prompt_tokens) + generation.recomputed_tokens;
    engine.prefill_ms += params.prefill_ms * uncached;
    if (generation.prefix == 0) return;
    if (cached) engine.cache.erase(hit);
    engine.cache.push_back(generation.prefix);
    if (!cached) ReportCache(engine, generation.prefix, true);
    if (static_cast<int>(engine.cache.size()) <= params.cached_prefixes) return;
    ReportCache(engine, engine.cache.front(), false);
    engine.cache.pop_front();
  }

  void ReportCache(FakeEngine& engine, std::uint64_t prefix, bool added) {
    if (router != Router::kCacheEvents) return;
    if (std::uniform_real_distribution<double>(0, 1)(random) < params.event_loss) return;
    clock.After(params.event_delay, [&engine, prefix, added] {
      std::erase(engine.reported_prefixes, prefix);
      if (added) engine.reported_prefixes.push_back(prefix);
    });
  }

  void EndStep(int index) {
    FakeEngine& engine = engines[index];
    engine.stepping = false;
    std::vector<int> ended;
    for (const int id : engine.running) {
      Generation& generation = generations[id];
      const int tokens = std::min(params.stride, generation.slice_left);
      generation.done += tokens;
      generation.slice_left -= tokens;
      engine.tokens += tokens;
      if (generation.oldest_version == 0 || engine.version < generation.oldest_version)
        generation.oldest_version = engine.version;
      if (router == Router::kRouting)
        RecordProgress(*stats[generation.host][index], generation.call, tokens, TimeOf(clock.now));
      if (generation.slice_left == 0) ended.push_back(id);
      if (router == Router::kRouting && generation.work_class == WorkClass::kInteractive &&
          generation.slice_left > 0)
        ScheduleStallCheck(id);
    }
    std::erase_if(engine.running, [this](int id) { return generations[id].slice_left == 0; });
    for (const int id : ended) EndSlice(engine, index, id);
    Admit(index);
  }

  // Moves an interactive stream to another engine if no tokens arrive within the stall limit.
  void ScheduleStallCheck(int id) {
    const Generation& watched = generations[id];
    const absl::Duration limit = StallLimit(*views[watched.host], "model");
    if (limit == absl::InfiniteDuration()) return;
    const double wait = std::max(absl::ToDoubleSeconds(limit), params.stride * 0.05);
    clock.After(wait, [this, id, done = watched.done, index = watched.engine] {
      Generation& generation = generations[id];
      if (generation.ended >= 0 || generation.done != done || generation.engine != index) return;
      if (!SpendBudget(*move_budgets[generation.host], TimeOf(clock.now))) return;
      ++extra;
      FakeEngine& engine = engines[index];
      std::erase(engine.running, id);
      FinishWork(engine.queue, generation.work, 0);
      FinishCall(*stats[generation.host][index], generation.call, UpstreamKind::kEngine,
                 CallOutcome::kStalled, TimeOf(clock.now));
      generation.avoid = index;
      Admit(index);
      Dispatch(id);
    });
  }

  void EndSlice(FakeEngine& engine, int index, int id) {
    Generation& generation = generations[id];
    if (router == Router::kRouting) {
      const int served = generation.work.slice_tokens > 0
                             ? (generation.done - 1) % generation.work.slice_tokens + 1
                             : generation.length;
      FinishWork(engine.queue, generation.work, served);
      if (generation.job >= 0 && generation.work_class == WorkClass::kRollout) {
        FinishWork(planned[generation.job], generation.work, served);
        clock.After(0, [this, job = generation.job] { DispatchPlanned(job); });
      }
      FinishCall(*stats[generation.host][index], generation.call, UpstreamKind::kEngine, CallOutcome::kOk,
                 TimeOf(clock.now));
    }
    if (generation.done < generation.length) {
      generation.recomputed_tokens = 0;
      clock.After(0.002, [this, id] { Plan(id); });
      return;
    }
    generation.ended = clock.now;
    if (on_end) on_end(id);
  }
};

// ---- Plain services ----

struct ServiceParams {
  int upstreams = 3;
  int hosts = 9;
  int workers = 8;           // calls that an upstream runs at once; the others wait
  double median_ms = 5;      // service time: lognormal with this median
  double sigma = 0.3;        // of the logarithm
  double round_trip_ms = 1;  //
  double report_lag = 5;     // s; delay of load reports
  double deadline_s = 5;     // latency up to which a call counts as goodput
  double rate = 300;         // calls/s over all hosts
  Policy policy;             //
};

struct ServiceCall {
  int host = 0;
  double started = 0;
  double ended = -1;  // s; -1: refused or still running
  bool refused = false;
  int attempts = 0;
};

struct FakeService {
  int busy = 0;
  double slowdown = 1;
  std::deque<std::pair<double, std::function<void()>>> waiting;  // service time in s, completion
  std::deque<std::pair<double, int>> load_history;               // time in s, load
};

struct ServiceSim {
  ServiceParams params;
  Router router;
  Clock clock;
  std::mt19937_64 random;    // for routing decisions
  std::mt19937_64 arrivals;  // same sequence for every router
  std::vector<FakeService> services;
  std::vector<std::vector<std::shared_ptr<UpstreamStats>>> stats;
  std::vector<std::unique_ptr<RoutingView>> views;
  std::vector<std::unique_ptr<Budget>> hedge_budgets;
  std::vector<std::unique_ptr<LatencyWindow>> windows;
  std::deque<ServiceCall> calls;
  std::int64_t extra = 0;  // hedges and retries
  std::int64_t completed = 0;
  double rate_factor = 1;
  bool stopped = false;
  int next_round_robin = 0;

  ServiceSim(const ServiceParams& p, Router r, std::uint64_t seed)
      : params(p), router(r), random(seed + 1), arrivals(seed) {
    services.resize(p.upstreams);
    stats.resize(p.hosts);
    views.resize(p.hosts);
    for (int it = 0; it < p.hosts; ++it) {
      for (int n = 0; n < p.upstreams; ++n) stats[it].push_back(std::make_shared<UpstreamStats>());
      hedge_budgets.push_back(std::make_unique<Budget>());
      hedge_budgets.back()->ratio = p.policy.hedge_budget;
      windows.push_back(std::make_unique<LatencyWindow>());
    }
    Refresh();
    Arrive();
  }

  void Refresh() {
    for (FakeService& it : services) {
      it.load_history.emplace_back(clock.now, it.busy + static_cast<int>(it.waiting.size()));
      while (it.load_history.size() > 1 && it.load_history[1].first <= clock.now - params.report_lag)
        it.load_history.pop_front();
    }
    for (int it = 0; it < params.hosts && router == Router::kRouting; ++it) {
      std::unique_ptr<RoutingView> view = std::make_unique<RoutingView>();
      view->zone = std::string(1, static_cast<char>('a' + it % 3));
      view->upstreams.resize(params.upstreams);
      for (int n = 0; n < params.upstreams; ++n) {
        UpstreamView& upstream = view->upstreams[n];
        upstream.upstream.id = "service-" + std::to_string(n);
        upstream.upstream.pool = "lookup";
        upstream.upstream.zone = std::string(1, static_cast<char>('a' + n % 3));
        upstream.policy = params.policy;
        upstream.stats = stats[it][n];
      }
      BuildViewIndexes(*view, views[it].get());
      views[it] = std::move(view);
    }
    clock.After(1, [this] { Refresh(); });
  }

  void Arrive() {
    const double gap = std::exponential_distribution<double>(params.rate * rate_factor)(arrivals);
    clock.After(gap, [this] {
      if (stopped) return;
      const int host = static_cast<int>(arrivals() % static_cast<std::uint64_t>(params.hosts));
      const double seconds = ServiceTime();
      calls.push_back({host, clock.now});
      Start(static_cast<int>(calls.size()) - 1, seconds);
      Arrive();
    });
  }

  double ServiceTime() {
    return params.median_ms / 1000 * std::lognormal_distribution<double>(0, params.sigma)(arrivals);
  }

  int Choose(int host, const std::vector<UpstreamId>& exclude) {
    if (router == Router::kRandom) return static_cast<int>(random() % services.size());
    if (router == Router::kRoundRobin) return next_round_robin++ % params.upstreams;
    if (router == Router::kRouting) {
      const Outcome<int> picked = Capture<int>(
          [&] { return PickService(*views[host], "lookup", exclude, TimeOf(clock.now), random); });
      return Ok(picked) ? Value(picked) : -1;
    }
    int best = static_cast<int>(random() % services.size());
    for (int it = 0; it < params.upstreams; ++it) {
      if (services[it].load_history.front().second < services[best].load_history.front().second) best = it;
    }
    return best;
  }

  void Start(int id, double seconds) {
    const int host = calls[id].host;
    const int chosen = Choose(host, {});
    if (chosen < 0) {
      calls[id].refused = true;
      return;
    }
    EarnBudget(*hedge_budgets[host], TimeOf(clock.now));
    const InFlightCall call = Send(id, chosen, seconds);
    if (router != Router::kRouting) return;
    const absl::Duration delay = HedgeDelay(*windows[host], call);
    if (delay == absl::InfiniteDuration()) return;
    const double hedge_seconds = seconds;  // a hedge has the same service time
    clock.After(absl::ToDoubleSeconds(delay), [this, id, host, chosen, hedge_seconds] {
      if (calls[id].ended >= 0) return;
      const int other = Choose(host, {"service-" + std::to_string(chosen)});
      if (other < 0 || !SpendBudget(*hedge_budgets[host], TimeOf(clock.now))) return;
      ++extra;
      Send(id, other, hedge_seconds);
    });
  }

  InFlightCall Send(int id, int index, double seconds) {
    const int host = calls[id].host;
    ++calls[id].attempts;
    UpstreamStats& upstream_stats = *stats[host][index];
    const InFlightCall call = StartCall(upstream_stats, TimeOf(clock.now));
    const auto end = [this, id, host, &upstream_stats, call] {
      clock.After(params.round_trip_ms / 2000, [this, id, host, &upstream_stats, call] {
        const absl::Time now = TimeOf(clock.now);
        FinishCall(upstream_stats, call, UpstreamKind::kService, CallOutcome::kOk, now);
        if (calls[id].ended >= 0) return;
        calls[id].ended = clock.now;
        ++completed;
        RecordLatency(*windows[host], absl::Seconds(clock.now - calls[id].started));
      });
    };
    clock.After(params.round_trip_ms / 2000, [this, index, seconds, end] {
      services[index].waiting.emplace_back(seconds, end);
      StartWaitingCalls(index);
    });
    return call;
  }

  void StartWaitingCalls(int index) {
    FakeService& service = services[index];
    while (service.busy < params.workers && !service.waiting.empty()) {
      std::pair<double, std::function<void()>> next = std::move(service.waiting.front());
      service.waiting.pop_front();
      ++service.busy;
      clock.After(next.first * service.slowdown, [this, index, end = std::move(next.second)] {
        --services[index].busy;
        end();
        StartWaitingCalls(index);
      });
    }
  }

  // Latencies in s of calls that arrived in [from, to) and were not refused. A call that still runs counts
  // with its time so far.
  std::vector<double> Latencies(double from, double to) const {
    std::vector<double> latencies;
    for (const ServiceCall& it : calls) {
      if (it.refused || it.started < from || it.started >= to) continue;
      latencies.push_back((it.ended < 0 ? clock.now : it.ended) - it.started);
    }
    return latencies;
  }
};

}  // namespace oleander::bench

#endif  // OLEANDER_BENCH_POLICY_SIM_H_
