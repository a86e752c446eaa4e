// The control loops of a host. RunControl runs gossip, routing view, weight orders and load reports and does
// no blocking I/O. RunPlatform, on another thread, runs platform list, configuration poll and weight targets,
// whose calls may block.
#include <algorithm>
#include <cassert>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "hosts/host_state.h"

namespace oleander {
namespace {

constexpr absl::Duration kControlInterval = absl::Milliseconds(50);
constexpr absl::Duration kListPollInterval = absl::Seconds(1);
constexpr absl::Duration kLoadReportInterval = absl::Seconds(1);  // between two load requests to an engine
constexpr absl::Duration kOrderPlanInterval = absl::Milliseconds(200);  // of planning weight orders
constexpr absl::Duration kSeedPingInterval = absl::Seconds(1);          // while no other host is known
// The table counts as unreachable if it has not answered for this long.
constexpr absl::Duration kTableTimeout = absl::Seconds(4);
// The view is rebuilt at least this often, because its medians and means are computed only when it is built.
constexpr absl::Duration kMaxViewAge = absl::Seconds(1);
constexpr int kPushPeers = 3;
// Between two pushes of configuration and weight targets to a peer that reports old versions.
constexpr absl::Duration kMinPushInterval = absl::Milliseconds(500);
constexpr absl::Duration kPoolStatsRetention = absl::Hours(1);

absl::Time LastTableAnswer(const Host& host) {
  const std::int64_t ns = host.table_answer_ns.load(std::memory_order_relaxed);
  return ns == 0 ? absl::InfinitePast() : absl::FromUnixNanos(ns);
}

// ---- Gossip ----

void RefreshSelf(Host& host, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(host.control_mutex) {
  host.membership.self.config_version = host.config.current.version;
  host.membership.self.table_reachable = now - LastTableAnswer(host) < kTableTimeout;
  host.membership.newest_table_answer = std::max(host.membership.newest_table_answer, LastTableAnswer(host));
  for (const auto& [model, target] : host.weights.targets) {
    Version& known = host.membership.weights[model];
    known = std::max(known, target.version);
  }
}

void PushTo(Host& host, const Endpoint& peer, const std::string& kind, const std::string& body) {
  NotifyPeer(*host.peers, peer, kind, body);
}

// Pushes configuration and weight targets to a peer whose message reports older versions.
void PushIfBehind(Host& host, const GossipMessage& message, absl::Time now)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(host.control_mutex) {
  const bool config_old = message.sender.config_version < host.config.current.version;
  std::vector<WeightTarget> weights;
  for (const auto& [model, target] : host.weights.targets) {
    const auto it = message.weights.find(model);
    if (it == message.weights.end() || it->second < target.version) weights.push_back(target);
  }
  if (!config_old && weights.empty()) return;
  absl::Time& pushed = host.config_pushed[message.sender.id];
  if (now - pushed < kMinPushInterval) return;
  pushed = now;
  if (config_old) PushTo(host, message.sender.peer, "config", ToMessagePack(ToJson(host.config.current)));
  for (const WeightTarget& it : weights) PushTo(host, message.sender.peer, "weights", EncodeTarget(it));
}

void LogMembers(Host& host) ABSL_EXCLUSIVE_LOCKS_REQUIRED(host.control_mutex) {
  for (const auto& [id, record] : host.membership.members) {
    const auto old = host.logged_members.find(id);
    if (old != host.logged_members.end() && old->second == record.member.state) continue;
    const bool known = old != host.logged_members.end();
    const MemberState state = record.member.state;
    host.logged_members[id] = state;
    host.view_dirty = true;
    const Json fields = {{"member", id}, {"zone", record.member.zone}};
    switch (state) {
      case MemberState::kAlive:
        if (!known || old->second == MemberState::kDead)
          LogEventLine(LogLevel::kInfo, LogEvent::kMemberJoined, fields);
        break;
      case MemberState::kSuspect:
        LogEventLine(LogLevel::kWarning, LogEvent::kMemberSuspected, fields);
        break;
      case MemberState::kLeaving:
        LogEventLine(LogLevel::kInfo, LogEvent::kMemberLeaving, fields);
        break;
      case MemberState::kDead:
        LogEventLine(LogLevel::kWarning, LogEvent::kMemberDead, fields);
        break;
    }
  }
}

// Pings the seeds while no other host is known. Only the addresses of the seeds are configured; their answers
// carry their ids.
void PingSeeds(Host& host, absl::Time now, absl::Time& next) {
  std::string bytes;
  {
    const absl::MutexLock lock(&host.control_mutex);
    if (now < next || !host.membership.members.empty()) return;
    next = now + kSeedPingInterval;
    GossipMessage ping;
    ping.sender = host.membership.self;
    bytes = EncodeGossip(ping);
  }
  Host* const owner = &host;
  for (const Endpoint& it : host.settings.seeds) {
    if (it.address == host.settings.host.address && it.port == host.settings.host.peer_port) continue;
    NotifyPeer(*host.peers, it, "ping", bytes,
               [owner](const std::string& answer) { HandlePingReply(*owner, answer); });
  }
}

// ---- Isolation and readiness ----

void RefreshIsolation(Host& host, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(host.control_mutex) {
  host.isolation = DetectIsolation(host.membership, LastTableAnswer(host), now);
  const bool cut_off = host.isolation.other_zones_unreachable;
  if (host.zone_cut_off.exchange(cut_off, std::memory_order_relaxed) != cut_off) {
    host.view_dirty = true;
    LogEventLine(cut_off ? LogLevel::kWarning : LogLevel::kInfo,
                 cut_off ? LogEvent::kZoneCutOff : LogEvent::kZoneReunited,
                 {{"zone", host.settings.host.zone}});
  }
  // The table is not reported as down until it had kTableTimeout to answer for the first time.
  const bool down = host.isolation.table_unreachable && now - host.started > kTableTimeout;
  if (host.store_down.exchange(down, std::memory_order_relaxed) != down) {
    LogEventLine(down ? LogLevel::kError : LogLevel::kInfo,
                 down ? LogEvent::kStoreDown : LogEvent::kStoreBack, Json::object());
  }
  if (LastTableAnswer(host) > host.config.confirmed_at) host.config.confirmed_at = LastTableAnswer(host);
  const bool unconfirmed = !ConfigConfirmed(host.config, now);
  if (host.config_unconfirmed.exchange(unconfirmed, std::memory_order_relaxed) != unconfirmed &&
      unconfirmed && host.ready.load(std::memory_order_relaxed)) {
    LogEventLine(LogLevel::kWarning, LogEvent::kConfigUnconfirmed,
                 {{"version", host.config.current.version}});
  }
  // Version 0, the default policy, is valid only after the table has confirmed that no document exists.
  const bool config_known = host.config.current.version > 0 || host.table_polled;
  const bool ready = config_known && (host.peer_contacted || host.list_received);
  if (ready && !host.ready.exchange(true, std::memory_order_acq_rel)) {
    LogEventLine(LogLevel::kInfo, LogEvent::kHostReady, {{"version", host.config.current.version}});
  }
}

// ---- Weights and load reports ----

struct OrderTask {
  Upstream engine;
  PlannedOrder order;
};

void RunWeightOrder(Host& host, const OrderTask& task) {
  const Outcome<std::monostate> outcome = Capture<std::monostate>(
      [&]() -> leaf::result<void> { return host.engines.order(task.engine, task.order.order); });
  const absl::MutexLock lock(&host.control_mutex);
  FinishOrder(host.weights, task.order, outcome, absl::Now(), host.random);
  if (Ok(outcome)) return;
  LogEventLine(LogLevel::kWarning, LogEvent::kWeightsOrderFailed,
               {{"engine", task.engine.id},
                {"order", NameOf(task.order.order.kind)},
                {"version", task.order.order.version},
                {"kind", DescribeError(ErrorOf(outcome).kind).name},
                {"detail", ErrorOf(outcome).detail}});
}

// Live engines that this host is responsible for, by pool.
std::map<PoolId, std::vector<Upstream>> ResponsibleEngines(Host& host)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(host.control_mutex) {
  std::map<PoolId, std::vector<Upstream>> engines;
  if (host.view == nullptr) return engines;
  for (const UpstreamView& it : host.view->upstreams) {
    if (it.upstream.kind == UpstreamKind::kEngine && it.responsible_host == host.settings.host.id &&
        it.upstream.state == UpstreamState::kLive)
      engines[it.upstream.pool].push_back(it.upstream);
  }
  return engines;
}

std::vector<OrderTask> PlanWeights(Host& host, absl::Time now)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(host.control_mutex) {
  std::vector<OrderTask> tasks;
  const std::map<PoolId, std::vector<Upstream>> engines = ResponsibleEngines(host);
  for (const auto& [pool, own] : engines) {
    const Policy policy = EffectivePolicy(host.config.current.policy, host.config.current.exceptions,
                                          {"", pool, host.settings.host.zone, ""});
    std::vector<PoolId> needs_read;
    for (PlannedOrder& it : PlanOrders(host.weights, own, policy, now, host.random, needs_read)) {
      const auto engine =
          std::find_if(own.begin(), own.end(), [&it](const Upstream& up) { return up.id == it.engine; });
      assert(engine != own.end());
      tasks.push_back({*engine, std::move(it)});
    }
    host.weights_to_read.insert(needs_read.begin(), needs_read.end());
  }
  return tasks;
}

void RecordLoadReport(Host& host, const Upstream& engine, const Outcome<EngineLoad>& load) {
  const absl::MutexLock lock(&host.control_mutex);
  const auto it = host.upstreams.find(engine.id);
  if (it == host.upstreams.end()) return;
  it->second.load_in_flight = false;
  if (!Ok(load)) return;
  const EngineLoad& report = Value(load);
  const Version before = it->second.load.version;
  const std::int64_t regressions = host.weights.regressions;
  it->second.load = report;
  ReportVersion(host.weights, engine.id, report.version, absl::Now());
  if (host.weights.regressions > regressions) {
    AddCounter(GlobalMetrics(), "weights", "regressed");
    LogEventLine(LogLevel::kWarning, LogEvent::kWeightsRegressed,
                 {{"engine", engine.id}, {"version", report.version}, {"before", before}});
  } else if (before != 0 && report.version > before) {
    LogEventLine(LogLevel::kInfo, LogEvent::kWeightsActive,
                 {{"engine", engine.id}, {"version", report.version}});
  }
}

// Returns the engines of this host that are due for a load request, and marks the requests as in flight.
std::vector<Upstream> PlanLoadReports(Host& host, absl::Time now)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(host.control_mutex) {
  std::vector<Upstream> due;
  for (const auto& [pool, own] : ResponsibleEngines(host)) {
    for (const Upstream& it : own) {
      UpstreamEntry& entry = host.upstreams[it.id];
      if (entry.load_in_flight || now < entry.next_load) continue;
      entry.load_in_flight = true;
      entry.next_load = now + kLoadReportInterval;
      due.push_back(it);
    }
  }
  return due;
}

void StartBackground(Host& host, std::vector<OrderTask> orders, const std::vector<Upstream>& loads) {
  Host* const owner = &host;
  for (OrderTask& it : orders) {
    const PlannedOrder order = it.order;
    if (host.background_pool->Submit([owner, task = std::move(it)] { RunWeightOrder(*owner, task); }))
      continue;
    const absl::MutexLock lock(&host.control_mutex);
    FinishOrder(host.weights, order, Error{ErrorKind::kOverloaded, "the background queue is full"},
                absl::Now(), host.random);
  }
  for (const Upstream& it : loads) {
    const auto task = [owner, engine = it] {
      RecordLoadReport(*owner, engine, Capture<EngineLoad>([&] { return owner->engines.load(engine); }));
    };
    if (!host.background_pool->Submit(task))
      RecordLoadReport(host, it, Error{ErrorKind::kOverloaded, "the background queue is full"});
  }
}

// ---- Routing view ----

// Creates the budgets of pools that are new in the view or whose budget ratios have changed.
void RefreshPools(Host& host, const RoutingView& view, absl::Time now)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(host.control_mutex) {
  const PoolStatsMap* const old = host.pool_stats.load(std::memory_order_acquire);
  std::unique_ptr<PoolStatsMap> next;
  for (const UpstreamView& it : view.upstreams) {
    const PoolId& pool = it.upstream.pool;
    std::shared_ptr<LatencyWindow> latencies;
    // The policy of the pool's first upstream determines the budgets.
    if (view.by_pool.at(pool).front() != static_cast<int>(&it - view.upstreams.data())) continue;
    if (old != nullptr && old->contains(pool)) {
      const PoolStats& known = *old->at(pool);
      latencies = known.latencies;
      if (known.hedges.ratio == it.policy.hedge_budget && known.retries.ratio == it.policy.retry_budget)
        continue;
    }
    if (next == nullptr)
      next = old == nullptr ? std::make_unique<PoolStatsMap>() : std::make_unique<PoolStatsMap>(*old);
    const std::shared_ptr<PoolStats> stats = std::make_shared<PoolStats>();
    stats->hedges.ratio = it.policy.hedge_budget;
    stats->retries.ratio = it.policy.retry_budget;
    stats->latencies = latencies ? latencies : std::make_shared<LatencyWindow>();
    (*next)[pool] = stats;
  }
  if (next != nullptr) {
    host.pool_stats.store(next.get(), std::memory_order_release);
    host.pool_stats_history.emplace_back(now, std::move(next));
  }
  // A map went out of use when its successor was stored. No request runs for longer than kPoolStatsRetention
  // after that.
  while (host.pool_stats_history.size() > 1 && now - host.pool_stats_history[1].first > kPoolStatsRetention)
    host.pool_stats_history.pop_front();
}

void RefreshEntry(Host& host, UpstreamEntry& entry, const Upstream& upstream, absl::Time now)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(host.control_mutex) {
  const std::string policy_scope = absl::StrCat(upstream.pool, "/", upstream.zone);
  if (entry.policy_version != host.config.current.version || entry.policy_scope != policy_scope) {
    entry.policy = EffectivePolicy(host.config.current.policy, host.config.current.exceptions,
                                   {"", upstream.pool, upstream.zone, upstream.id});
    entry.policy_version = host.config.current.version;
    entry.policy_scope = policy_scope;
  }
  if (upstream.kind == UpstreamKind::kEngine && !entry.slots) {
    entry.slots = std::make_shared<EngineSlotQueue>();
    entry.hint = std::make_shared<EngineHint>();
  }
  const bool leaving = upstream.state == UpstreamState::kLeaving;
  if (leaving && !entry.leaving_since) {
    entry.leaving_since = now;
    LogEventLine(LogLevel::kInfo, LogEvent::kUpstreamLeaving,
                 {{"upstream", upstream.id}, {"pool", upstream.pool}});
  }
  if (!leaving) entry.leaving_since.reset();
}

UpstreamView MakeUpstreamView(Host& host, const UpstreamEntry& entry, const Upstream& upstream,
                              const std::vector<Member>& live)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(host.control_mutex) {
  UpstreamView view;
  view.upstream = upstream;
  view.policy = entry.policy;
  view.stats = entry.stats;
  view.leaving_since = entry.leaving_since;
  if (upstream.kind != UpstreamKind::kEngine) return view;
  view.responsible_host = ResponsibleHost(live, upstream);
  view.load = entry.load;
  const bool own = view.responsible_host == host.settings.host.id;
  view.queued = own ? entry.slots->queued.load(std::memory_order_relaxed)
                    : entry.hint->queued.load(std::memory_order_relaxed);
  view.assigned = own ? entry.slots->assigned.load(std::memory_order_relaxed)
                      : entry.hint->assigned.load(std::memory_order_relaxed);
  return view;
}

void LogHealth(Host& host, const RoutingView& view, absl::Time now)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(host.control_mutex) {
  for (const UpstreamView& it : view.upstreams) {
    const UpstreamHealth health = HealthOf(it, view.pools.at(it.upstream.pool).median_ns, now);
    UpstreamEntry& entry = host.upstreams[it.upstream.id];
    if (health == entry.health) continue;
    const bool recovered = health == UpstreamHealth::kHealthy;
    if (recovered || entry.health == UpstreamHealth::kHealthy)
      LogEventLine(recovered ? LogLevel::kInfo : LogLevel::kWarning,
                   recovered ? LogEvent::kUpstreamRecovered : LogEvent::kUpstreamSlow,
                   {{"upstream", it.upstream.id},
                    {"pool", it.upstream.pool},
                    {"failing", health == UpstreamHealth::kFailing}});
    entry.health = health;
  }
}

}  // namespace

std::string EncodeTarget(const WeightTarget& target) {
  return ToMessagePack({{"model", target.model}, {"version", target.version}, {"fence", target.fence}});
}

void RebuildView(Host& host, absl::Time now) {
  std::unique_ptr<RoutingView> view = std::make_unique<RoutingView>();
  view->members = LiveMembers(host.membership);
  view->zone = host.settings.host.zone;
  view->zone_cut_off = host.isolation.other_zones_unreachable;
  view->config_version = host.config.current.version;
  view->policy = host.config.current.policy;
  view->exceptions = host.config.current.exceptions;
  std::map<UpstreamId, UpstreamEntry>& entries = host.upstreams;
  for (std::map<UpstreamId, UpstreamEntry>::iterator it = entries.begin(); it != entries.end();) {
    const auto listed = host.membership.upstreams.find(it->first);
    const bool removed =
        listed == host.membership.upstreams.end() || listed->second.state == UpstreamState::kRemoved;
    it = removed ? entries.erase(it) : std::next(it);
  }
  for (const auto& [id, upstream] : host.membership.upstreams) {
    if (upstream.state == UpstreamState::kRemoved) continue;
    UpstreamEntry& entry = entries[id];
    RefreshEntry(host, entry, upstream, now);
    view->upstreams.push_back(MakeUpstreamView(host, entry, upstream, view->members));
  }
  BuildViewIndexes(*view, host.view);
  RefreshPools(host, *view, now);
  LogHealth(host, *view, now);
  const RoutingView* const published = view.get();
  Publish(*host.routing, std::move(view));
  host.view = published;
  host.view_dirty = false;
  host.view_built = now;
}

Isolation CurrentIsolation(Host& host) {
  Isolation isolation;
  isolation.other_zones_unreachable = host.zone_cut_off.load(std::memory_order_relaxed);
  isolation.table_unreachable = absl::Now() - LastTableAnswer(host) >= kTableTimeout;
  return isolation;
}

ConfigDocument CurrentConfig(Host& host) {
  const absl::MutexLock lock(&host.control_mutex);
  return host.config.current;
}

void PushToPeers(Host& host, const std::string& kind, const std::string& body) {
  std::vector<Endpoint> peers;
  {
    const absl::MutexLock lock(&host.control_mutex);
    for (const auto& [id, record] : host.membership.members) {
      if (record.member.state != MemberState::kDead) peers.push_back(record.member.peer);
    }
    std::shuffle(peers.begin(), peers.end(), host.random);
  }
  if (peers.size() > kPushPeers) peers.resize(kPushPeers);
  for (const Endpoint& it : peers) PushTo(host, it, kind, body);
}

ConfigUpdate ReceiveConfig(Host& host, const ConfigDocument& document, bool from_table) {
  ConfigUpdate update = ConfigUpdate::kUnchanged;
  {
    const absl::MutexLock lock(&host.control_mutex);
    const absl::Time now = absl::Now();
    update = ApplyConfig(host.config, document, from_table, now);
    if (update == ConfigUpdate::kNewer || (update == ConfigUpdate::kForked && from_table)) {
      host.membership.self.config_version = host.config.current.version;
      RebuildView(host, now);
    }
  }
  switch (update) {
    case ConfigUpdate::kNewer:
      LogEventLine(LogLevel::kInfo, LogEvent::kConfigInForce,
                   {{"version", document.version}, {"from_table", from_table}});
      PushToPeers(host, "config", ToMessagePack(ToJson(document)));
      break;
    case ConfigUpdate::kLowerRefused:
      // Outdated peers report lower versions regularly. A lower version in the table is a fault.
      if (!from_table) break;
      AddCounter(GlobalMetrics(), "config", "lower_refused");
      LogEventLine(LogLevel::kWarning, LogEvent::kConfigLowerRefused, {{"version", document.version}});
      break;
    case ConfigUpdate::kForked:
      AddCounter(GlobalMetrics(), "config", "forked");
      LogEventLine(LogLevel::kError, LogEvent::kConfigForked, {{"version", document.version}});
      break;
    case ConfigUpdate::kUnchanged:
      break;
  }
  return update;
}

void ReceiveWeightTarget(Host& host, const WeightTarget& target) {
  {
    const absl::MutexLock lock(&host.control_mutex);
    if (!UpdateTarget(host.weights, target)) return;
    Version& known = host.membership.weights[target.model];
    known = std::max(known, target.version);
  }
  PushToPeers(host, "weights", EncodeTarget(target));
}

void HandleGossip(Host& host, const GossipMessage& message, std::vector<Outgoing>& out) {
  const absl::Time now = absl::Now();
  RefreshSelf(host, now);
  std::vector<Outgoing> more = ReceiveGossip(host.membership, message, now, host.random);
  out.insert(out.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
  host.peer_contacted = true;
  if (!message.upstreams.empty()) host.view_dirty = true;
  const absl::Time peer_table_contact = message.table_answer_age_ms < 0
                                            ? absl::InfinitePast()
                                            : now - absl::Milliseconds(message.table_answer_age_ms);
  HandlePeerVersion(host.config, message.sender.config_version, peer_table_contact, now, host.random);
  for (const auto& [model, version] : message.weights) {
    const auto it = host.weights.targets.find(model);
    if (it == host.weights.targets.end() || it->second.version < version) host.weights_to_read.insert(model);
  }
  PushIfBehind(host, message, now);
}

std::string SendGossip(Host& host, const std::vector<Outgoing>& messages, const HostId& answer_to) {
  std::string answer;
  Host* const owner = &host;
  for (const Outgoing& it : messages) {
    const std::string bytes = EncodeGossip(it.message);
    if (answer.empty() && it.to == answer_to && it.message.kind == GossipKind::kAck) {
      answer = bytes;
      continue;
    }
    const std::optional<Member> member = FindMember(host, it.to);
    if (!member) continue;
    NotifyPeer(*host.peers, member->peer, it.message.kind == GossipKind::kPingRequest ? "ping-req" : "ping",
               bytes, [owner](const std::string& reply) { HandlePingReply(*owner, reply); });
  }
  return answer;
}

void HandlePingReply(Host& host, const std::string& bytes) {
  if (bytes.empty()) return;
  const Outcome<GossipMessage> message = Capture<GossipMessage>([&] { return DecodeGossip(bytes); });
  if (!Ok(message)) {
    AddCounter(GlobalMetrics(), "peers", "protocol_error");
    LogEventLine(LogLevel::kWarning, LogEvent::kPeerProtocolError, {{"detail", ErrorOf(message).detail}});
    return;
  }
  std::vector<Outgoing> out;
  {
    const absl::MutexLock lock(&host.control_mutex);
    HandleGossip(host, Value(message), out);
  }
  SendGossip(host, out, "");
}

void MarkUpstreamLeaving(Host& host, const UpstreamId& id) {
  const absl::MutexLock lock(&host.control_mutex);
  ObserveUpstream(host.membership, id, UpstreamState::kLeaving, absl::Now());
  RebuildView(host, absl::Now());
}

void RunControl(Host& host) {
  absl::Time next_orders = absl::InfinitePast();
  absl::Time next_seed_ping = absl::InfinitePast();
  const absl::Duration interval =
      std::min(kControlInterval, absl::Milliseconds(std::max(5, host.settings.gossip_period_ms / 4)));
  while (!host.stopping.load(std::memory_order_acquire)) {
    const absl::Time now = absl::Now();
    std::vector<Outgoing> out;
    std::vector<OrderTask> orders;
    std::vector<Upstream> loads;
    {
      const absl::MutexLock lock(&host.control_mutex);
      RefreshSelf(host, now);
      out = TickMembership(host.membership, now, host.random);
      LogMembers(host);
      RefreshIsolation(host, now);
      if (host.view_dirty || now - host.view_built >= kMaxViewAge) RebuildView(host, now);
      if (now >= next_orders && !host.draining.load(std::memory_order_acquire)) {
        next_orders = now + kOrderPlanInterval;
        orders = PlanWeights(host, now);
        loads = PlanLoadReports(host, now);
      }
      int queued = 0;
      for (const auto& [id, entry] : host.upstreams) {
        if (entry.slots) queued += entry.slots->queued.load(std::memory_order_relaxed);
      }
      SetGauge(GlobalMetrics(), Gauge::kQueued, queued);
      SetGauge(GlobalMetrics(), Gauge::kMembersAlive, static_cast<std::int64_t>(host.view->members.size()));
      SetGauge(GlobalMetrics(), Gauge::kConfigVersion, host.config.current.version);
    }
    SendGossip(host, out, "");
    PingSeeds(host, now, next_seed_ping);
    StartBackground(host, std::move(orders), loads);
    SetGauge(GlobalMetrics(), Gauge::kStreams, host.streams.load(std::memory_order_relaxed));
    SetGauge(GlobalMetrics(), Gauge::kConfigUnconfirmed, host.config_unconfirmed.load() ? 1 : 0);
    SetGauge(GlobalMetrics(), Gauge::kJobsHeld, host.jobs_held.load(std::memory_order_relaxed));
    SetGauge(GlobalMetrics(), Gauge::kZoneCutOff, host.zone_cut_off.load() ? 1 : 0);
    SetGauge(GlobalMetrics(), Gauge::kStoreDown, host.store_down.load() ? 1 : 0);
    absl::SleepFor(interval);
  }
}

// ---- Platform ----

namespace {

void FetchPlatformList(Host& host) {
  const Outcome<PlatformList> list = Capture<PlatformList>([&] { return host.list.fetch(); });
  if (!Ok(list)) return;
  const absl::MutexLock lock(&host.control_mutex);
  ApplyPlatformList(host.membership, Value(list), absl::Now());
  host.list_received = true;
  host.view_dirty = true;
}

// Polls the configuration on a copy of the state, because the poll blocks, and merges the result afterwards.
void PollConfigTable(Host& host, std::mt19937_64& random) {
  ConfigState copy;
  int hosts = 1;
  {
    const absl::MutexLock lock(&host.control_mutex);
    if (absl::Now() < host.config.next_poll) return;
    copy = host.config;
    hosts = std::max<int>(1, static_cast<int>(LiveMembers(host.membership).size()));
    host.config.next_poll = absl::InfiniteFuture();
  }
  const std::int64_t answer_ns_before = host.table_answer_ns.load(std::memory_order_relaxed);
  const std::int64_t refused_before = copy.reversions_refused;
  const ConfigUpdate update = PollConfig(copy, host.table, hosts, absl::Now(), random);
  if (update == ConfigUpdate::kNewer || update == ConfigUpdate::kForked)
    ReceiveConfig(host, copy.current, true);
  if (update == ConfigUpdate::kLowerRefused) {
    AddCounter(GlobalMetrics(), "config", "lower_refused");
    LogEventLine(LogLevel::kWarning, LogEvent::kConfigLowerRefused, {{"held_version", copy.current.version}});
  }
  const absl::MutexLock lock(&host.control_mutex);
  host.config.confirmed_at = std::max(host.config.confirmed_at, copy.confirmed_at);
  host.config.reversions_refused += copy.reversions_refused - refused_before;
  host.config.last_poll = copy.last_poll;
  // If a peer reported a newer version in the meantime, next_poll was moved forward; keep the earlier time.
  host.config.next_poll = std::min(host.config.next_poll, copy.next_poll);
  if (host.table_answer_ns.load(std::memory_order_relaxed) != answer_ns_before) host.table_polled = true;
}

// A table restored from a backup can hold a lower target than this host knows. The known target is then
// written back.
void RestoreTargetIfLower(Host& host, const WeightTarget& read) {
  WeightTarget known;
  {
    const absl::MutexLock lock(&host.control_mutex);
    const auto it = host.weights.targets.find(read.model);
    if (it == host.weights.targets.end() || it->second.fence <= read.fence) return;
    known = it->second;
  }
  const Outcome<WeightTarget> restored =
      Capture<WeightTarget>([&] { return RestoreTarget(host.table, known, NewId(host, "restore")); });
  AddCounter(GlobalMetrics(), "weights", "target_restored");
  if (Ok(restored)) ReceiveWeightTarget(host, Value(restored));
}

void ReadWeightTargets(Host& host, absl::Time& next_all) {
  std::set<PoolId> models;
  const absl::Time now = absl::Now();
  int hosts = 1;
  {
    const absl::MutexLock lock(&host.control_mutex);
    models.swap(host.weights_to_read);
    hosts = std::max<int>(1, static_cast<int>(LiveMembers(host.membership).size()));
    if (now >= next_all) {
      for (const auto& [pool, own] : ResponsibleEngines(host)) models.insert(pool);
      next_all = now + ConfigPollInterval(hosts);
    }
  }
  for (const PoolId& model : models) {
    const Outcome<WeightTarget> target =
        Capture<WeightTarget>([&] { return ReadWeightTarget(host.table, model); });
    if (Ok(target)) {
      RestoreTargetIfLower(host, Value(target));
      if (Value(target).version > 0) ReceiveWeightTarget(host, Value(target));
      continue;
    }
    // If the table cannot be read, the last known target stays in effect.
    const absl::MutexLock lock(&host.control_mutex);
    const auto it = host.weights.targets.find(model);
    if (it != host.weights.targets.end()) it->second.read_at = absl::Now();
  }
}

}  // namespace

void RunPlatform(Host& host) {
  std::mt19937_64& random = ThreadRandom();
  absl::Time next_list = absl::InfinitePast();
  absl::Time next_targets = absl::InfinitePast();
  while (!host.stopping.load(std::memory_order_acquire)) {
    const absl::Time now = absl::Now();
    if (now >= next_list) {
      next_list = now + kListPollInterval;
      FetchPlatformList(host);
    }
    PollConfigTable(host, random);
    ReadWeightTargets(host, next_targets);
    absl::SleepFor(kControlInterval);
  }
}

}  // namespace oleander
