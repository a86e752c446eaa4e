#include "serving/weights_control.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "oleander/log_events.h"

namespace oleander::serving {
namespace {

constexpr std::string_view kLeaseTable = "lease";
constexpr std::string_view kPartition = "weights";
constexpr std::string_view kReleased = "released";
constexpr absl::Duration kMargin = absl::Milliseconds(300);        // way of an order, and delays of timers
constexpr absl::Duration kRefusedOrder = absl::Milliseconds(700);  // before the same engine is ordered again
constexpr absl::Duration kStoreRetry = absl::Milliseconds(300);
constexpr absl::Duration kOrdersPause =
    absl::Microseconds(100);  // for each engine: looking at thousands takes milliseconds

RowKey LeaseRow(const std::string& service, const std::string& zone) {
  return {std::string(kLeaseTable), std::string(kPartition), service + "/" + zone};
}

}  // namespace

WeightsControl::WeightsControl(Loop& loop, Store& store, UpstreamLink& link, Directory& directory,
                               WeightsSettings settings)
    : loop_(loop), store_(store), link_(link), directory_(directory), settings_(std::move(settings)) {}

bool WeightsControl::Holds(const std::string& service, const std::string& zone) const {
  const auto it = services_.find(service);
  if (it == services_.end()) return false;
  const auto lease = it->second.leases.find(zone);
  return lease != it->second.leases.end() && lease->second.holder;
}

bool WeightsControl::MayOrder(const Service& service, const std::string& zone) const {
  const auto it = service.leases.find(zone);
  return it != service.leases.end() && it->second.holder && loop_.Now() < it->second.order_until;
}

WeightsControl::Engine* WeightsControl::FindEngine(const std::string& name, const std::string& engine) {
  const auto service = services_.find(name);
  if (service == services_.end()) return nullptr;
  const auto it = service->second.engines.find(engine);
  return it == service->second.engines.end() ? nullptr : &it->second;
}

void WeightsControl::Tick() {
  if (released_) return;
  const absl::Time now = loop_.Now();
  for (const ServiceSpec& spec : directory_.PolicyInForce().services) {
    if (spec.models.empty()) continue;
    Service& service = services_[spec.name];
    if (service.zones_of != directory_.Generation()) {
      service.zones_of = directory_.Generation();
      for (const UpstreamState* it : directory_.Usable(spec.name)) service.leases.try_emplace(it->entry.zone);
    }
    bool holder = false;
    for (std::pair<const std::string, Lease>& it : service.leases) {
      if (!it.second.holder) continue;
      holder = holder || now < it.second.order_until;
      if (!it.second.calling && now >= it.second.next_renewal) RenewLease(spec.name, it.first, it.second);
    }
    if (!service.watching && now >= service.next_watch) WatchLeases(spec.name, service);
    if (holder && now >= service.next_orders) {
      SyncEngines(spec, service);
      OrderLoads(spec, service);
      service.next_orders = now + kOrdersPause * static_cast<double>(service.engines.size());
    }
  }
}

// ---- Leases -----------------------------------------------------------------------------------------------

void WeightsControl::WatchLeases(const std::string& name, Service& service) {
  service.watching = true;
  service.next_watch = loop_.Now() + settings_.watch_every;
  store_.Get({std::string(kLeaseTable), std::string(kPartition), name + "/", name + "0", 0},
             [this, name](const StoreReply& reply) {
               Service& found = services_[name];
               found.watching = false;
               if (reply.outcome != StoreOutcome::kOk || released_) return;
               for (std::pair<const std::string, Lease>& it : found.leases) {
                 const Row* row = nullptr;
                 for (const Row& candidate : reply.rows) {
                   if (candidate.id.key == LeaseRow(name, it.first).key) row = &candidate;
                 }
                 if (!it.second.holder && !it.second.calling) JudgeLease(name, it.first, it.second, row);
               }
             });
}

// Takes a lease whose row has not changed for so long that its holder has stopped ordering for the gap.
void WeightsControl::JudgeLease(const std::string& name, const std::string& zone, Lease& lease,
                                const Row* row) {
  const absl::Time now = loop_.Now();
  const std::int64_t version = row == nullptr ? 0 : row->version;
  if (version != lease.seen_version) {
    lease.seen_version = version;
    lease.seen_since = now;
    lease.seen_released = row != nullptr && row->value == kReleased;
  }
  absl::Duration quiet = settings_.order_window + settings_.hand_over_gap + kMargin;
  if (version == 0) quiet = absl::ZeroDuration();  // nobody has ever ordered
  if (lease.seen_released) quiet = settings_.hand_over_gap + kMargin;
  if (zone != settings_.zone) quiet += settings_.other_zone_delay;
  if (now - lease.seen_since >= quiet) TakeLease(name, zone, lease, version);
}

void WeightsControl::TakeLease(const std::string& name, const std::string& zone, Lease& lease,
                               std::int64_t version) {
  lease.calling = true;
  const absl::Time sent = loop_.Now();
  Transaction transaction;
  transaction.conditions = {{LeaseRow(name, zone), version}};
  transaction.writes = {{LeaseRow(name, zone), settings_.incarnation}};
  store_.Commit(transaction, [this, name, zone, sent](const StoreReply& reply) {
    Lease& found = services_[name].leases[zone];
    found.calling = false;
    found.seen_version = -1;
    if (reply.outcome != StoreOutcome::kOk || released_) return;
    found.holder = true;
    found.version = reply.version;
    found.fence = reply.version;
    found.order_until = sent + settings_.order_window;
    found.next_renewal = sent + settings_.renew_every;
    LogEventLine(LogLevel::kInfo, LogEvent::kLeaseTaken,
                 {{"lease", "weights"}, {"service", name}, {"zone", zone}, {"fence", found.fence}});
  });
}

void WeightsControl::RenewLease(const std::string& name, const std::string& zone, Lease& lease) {
  lease.calling = true;
  const absl::Time sent = loop_.Now();
  lease.next_renewal = sent + settings_.renew_every;
  Transaction transaction;
  transaction.conditions = {{LeaseRow(name, zone), lease.version}};
  transaction.writes = {{LeaseRow(name, zone), settings_.incarnation}};
  store_.Commit(transaction, [this, name, zone, sent](const StoreReply& reply) {
    Lease& found = services_[name].leases[zone];
    found.calling = false;
    if (!found.holder) return;
    if (reply.outcome == StoreOutcome::kOk) {
      found.version = reply.version;
      found.order_until = sent + settings_.order_window;
      return;
    }
    if (reply.outcome == StoreOutcome::kConflict) {
      for (const Row& it : reply.rows) {
        if (it.value != settings_.incarnation) continue;
        // An earlier renewal took effect and its answer was lost; only a new one opens the window again.
        found.version = it.version;
        found.next_renewal = loop_.Now();
        return;
      }
      Lose(name, zone, found, "taken_by_another");
      return;
    }
    found.next_renewal = loop_.Now() + kStoreRetry;
  });
}

void WeightsControl::Lose(const std::string& name, const std::string& zone, Lease& lease,
                          std::string_view reason) {
  LogEventLine(LogLevel::kWarning, LogEvent::kLeaseLost,
               {{"lease", "weights"}, {"service", name}, {"zone", zone}, {"reason", reason}});
  lease.holder = false;
  lease.order_until = absl::InfinitePast();
}

void WeightsControl::Release() {
  released_ = true;
  for (std::pair<const std::string, Service>& service : services_) {
    for (std::pair<const std::string, Lease>& it : service.second.leases) {
      if (!it.second.holder) continue;
      Transaction transaction;
      transaction.conditions = {{LeaseRow(service.first, it.first), it.second.version}};
      transaction.writes = {{LeaseRow(service.first, it.first), std::string(kReleased)}};
      store_.Commit(transaction, [](const StoreReply&) {});  // unanswered: the lease runs out instead
      Lose(service.first, it.first, it.second, "released");
    }
  }
}

// ---- Engines ----------------------------------------------------------------------------------------------

void WeightsControl::SyncEngines(const ServiceSpec& spec, Service& service) {
  std::vector<std::string> present;
  for (const UpstreamState* it : directory_.Usable(spec.name)) {
    present.push_back(it->entry.id);
    Engine& engine = service.engines[it->entry.id];
    if (engine.started_ms != it->entry.started_ms) {
      engine = Engine();
      engine.started_ms = it->entry.started_ms;
    }
    engine.zone = it->entry.zone;
    engine.weights.id = it->entry.id;
    engine.weights.mine = MayOrder(service, engine.zone);
    for (const std::pair<const std::string, std::int64_t>& held : it->observed_weights) {
      std::int64_t& known = engine.weights.held[held.first];
      if (held.second < known && !engine.weights.loading) engine.report_known = false;
      if (held.second > known || !engine.weights.loading) known = held.second;
    }
  }
  std::erase_if(service.engines, [&present](const std::pair<const std::string, Engine>& it) {
    return !std::binary_search(present.begin(), present.end(), it.first);  // the directory lists them by id
  });
  if (present != service.assigned_for) {
    service.assigned = AssignModels(present, spec.models, settings_.copies);
    service.assigned_for = present;
  }
}

void WeightsControl::OrderLoads(const ServiceSpec& spec, Service& service) {
  const absl::Time now = loop_.Now();
  std::vector<EngineWeights> engines;
  for (std::pair<const std::string, Engine>& it : service.engines) {
    Engine& engine = it.second;
    if (engine.weights.loading) {
      if (now >= engine.load_forgotten) {
        // Its effect may still come: what the engine holds is read again from its report.
        engine.weights.loading = false;
        engine.report_known = false;
      } else if (!engine.asking && now >= engine.next_report) {
        AskReport(spec.name, it.first);
      }
    }
    engines.push_back(engine.weights);
  }
  const std::map<std::string, std::int64_t>& named = directory_.NamedVersions();
  int mine = 0;
  for (const EngineWeights& it : engines) mine += it.mine ? 1 : 0;
  const int most = MostLoadsAtOnce(mine);
  while (true) {
    const LoadChoice load = PickLoad(engines, named, service.assigned, most, now);
    if (load.engine.empty()) return;
    Engine& engine = service.engines[load.engine];
    // Keeps the next round of this loop from choosing the engine again.
    for (EngineWeights& it : engines) {
      if (it.id != load.engine) continue;
      it.loading = true;
      it.held[load.model] = load.version;
    }
    if (engine.asking) continue;
    if (!engine.report_known) {
      AskReport(spec.name, load.engine);
    } else {
      Order(spec.name, load);
    }
  }
}

void WeightsControl::AskReport(const std::string& name, const std::string& id) {
  Engine* const engine = FindEngine(name, id);
  const UpstreamState* const upstream = directory_.Find(id);
  if (engine == nullptr || upstream == nullptr) return;
  engine->asking = true;
  engine->next_report = loop_.Now() + settings_.report_every;
  link_.FetchReport(upstream->entry, [this, name, id](const EngineReport& report) {
    Engine* const found = FindEngine(name, id);
    if (found == nullptr) return;
    found->asking = false;
    const absl::Time now = loop_.Now();
    if (!report.known) {
      found->weights.blocked_until = now + kRefusedOrder;
      return;
    }
    found->orders_accepted = std::max(found->orders_accepted, report.orders_accepted);
    if (found->weights.loading) {
      const auto held = report.weights.find(found->loading_model);
      if (held == report.weights.end() || held->second < found->loading_version) return;
      found->weights.loading = false;
      LogEventLine(LogLevel::kInfo, LogEvent::kWeightsActive,
                   {{"upstream", id}, {"model", found->loading_model}, {"version", held->second}});
    } else {
      found->weights.held.clear();
    }
    found->report_known = !report.busy;
    if (report.busy) found->weights.blocked_until = now + settings_.report_every;
    UpstreamState* const state = directory_.Find(id);
    for (const std::pair<const std::string, std::int64_t>& it : report.weights) {
      found->weights.held[it.first] = it.second;
      if (state != nullptr) state->observed_weights[it.first] = it.second;
    }
  });
}

void WeightsControl::Order(const std::string& name, const LoadChoice& load) {
  Service& service = services_[name];
  Engine* const engine = FindEngine(name, load.engine);
  UpstreamState* const upstream = directory_.Find(load.engine);
  // Checked again here: this host may have been suspended since the tick began.
  if (engine == nullptr || upstream == nullptr || !MayOrder(service, engine->zone)) return;
  WeightsOrder order;
  order.model = load.model;
  order.version = load.version;
  order.holder = settings_.incarnation;
  order.fence = service.leases[engine->zone].fence;
  order.orders_accepted = engine->orders_accepted;
  engine->asking = true;
  engine->weights.loading = true;
  engine->loading_model = load.model;
  engine->loading_version = load.version;
  engine->weights.held[load.model] = load.version;
  engine->load_forgotten = loop_.Now() + settings_.load_patience;
  link_.SendOrder(upstream->entry, order, [this, name, load](OrderOutcome outcome) {
    Engine* const found = FindEngine(name, load.engine);
    LogEventLine(LogLevel::kInfo, LogEvent::kWeightsOrdered,
                 {{"upstream", load.engine},
                  {"model", load.model},
                  {"version", load.version},
                  {"orders_accepted", found == nullptr ? -1 : found->orders_accepted},
                  {"outcome", NameOf(outcome)}});
    if (found == nullptr) return;
    found->asking = false;
    const absl::Time now = loop_.Now();
    if (outcome == OrderOutcome::kAccepted) {
      ++found->orders_accepted;
      found->next_report = now + settings_.load_time;
      return;
    }
    found->weights.loading = false;
    if (outcome == OrderOutcome::kAlreadyHolds) {
      UpstreamState* const state = directory_.Find(load.engine);
      if (state != nullptr) state->observed_weights[load.model] = load.version;
      return;
    }
    found->report_known = false;
    found->weights.blocked_until =
        now + (outcome == OrderOutcome::kBusyOrMoved ? settings_.report_every : kRefusedOrder);
  });
}

}  // namespace oleander::serving
