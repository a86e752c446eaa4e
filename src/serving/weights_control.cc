#include "serving/weights_control.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "oleander/log_events.h"

namespace oleander::serving {
namespace {

constexpr std::string_view kLeaseTable = "lease";
constexpr std::string_view kPartition = "weights";
constexpr std::string_view kReleasedValue = "released";
constexpr absl::Duration kTransitMargin =
    absl::Milliseconds(300);  // for the transit of an order and delayed timers
constexpr absl::Duration kRefusedOrderBackoff =
    absl::Milliseconds(700);  // before the engine gets another order
constexpr absl::Duration kStoreRetryDelay = absl::Milliseconds(300);
// Delay between two passes over the engines, for each engine: a pass over thousands takes milliseconds.
constexpr absl::Duration kOrderPassDelayPerEngine = absl::Microseconds(100);

RowKey LeaseRow(const std::string& service, const std::string& zone) {
  return {std::string(kLeaseTable), std::string(kPartition), service + "/" + zone};
}

}  // namespace

WeightsControl::WeightsControl(Loop& loop, Store& store, UpstreamLink& link, Directory& directory,
                               WeightsSettings settings)
    : loop_(loop), store_(store), link_(link), directory_(directory), settings_(std::move(settings)) {}

bool WeightsControl::HoldsLease(const std::string& service, const std::string& zone) const {
  const auto it = services_.find(service);
  if (it == services_.end()) return false;
  const auto lease = it->second.leases.find(zone);
  return lease != it->second.leases.end() && lease->second.holder;
}

bool WeightsControl::MayOrder(const Service& service, const std::string& zone) const {
  const auto it = service.leases.find(zone);
  return it != service.leases.end() && it->second.holder && loop_.Now() < it->second.may_order_until;
}

WeightsControl::Engine* WeightsControl::FindEngine(const std::string& service_name,
                                                   const std::string& engine) {
  const auto service = services_.find(service_name);
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
    if (service.zones_generation != directory_.Generation()) {
      service.zones_generation = directory_.Generation();
      for (const UpstreamState* it : directory_.Usable(spec.name)) service.leases.try_emplace(it->entry.zone);
    }
    bool holder = false;
    for (std::pair<const std::string, Lease>& it : service.leases) {
      if (!it.second.holder) continue;
      holder = holder || now < it.second.may_order_until;
      if (!it.second.commit_pending && now >= it.second.next_renewal)
        RenewLease(spec.name, it.first, it.second);
    }
    if (!service.poll_pending && now >= service.next_poll) PollLeases(spec.name, service);
    if (holder && now >= service.next_order_pass) {
      SyncEngines(spec, service);
      OrderLoads(spec, service);
      service.next_order_pass = now + kOrderPassDelayPerEngine * static_cast<double>(service.engines.size());
    }
  }
}

// ---- Leases -----------------------------------------------------------------------------------------------

void WeightsControl::PollLeases(const std::string& service_name, Service& service) {
  service.poll_pending = true;
  service.next_poll = loop_.Now() + settings_.lease_poll_interval;
  store_.Get({std::string(kLeaseTable), std::string(kPartition), service_name + "/", service_name + "0", 0},
             [this, service_name](const StoreReply& reply) {
               Service& found = services_[service_name];
               found.poll_pending = false;
               if (reply.outcome != StoreOutcome::kOk || released_) return;
               for (std::pair<const std::string, Lease>& it : found.leases) {
                 const Row* row = nullptr;
                 for (const Row& candidate : reply.rows) {
                   if (candidate.id.key == LeaseRow(service_name, it.first).key) row = &candidate;
                 }
                 if (!it.second.holder && !it.second.commit_pending)
                   TakeLeaseIfExpired(service_name, it.first, it.second, row);
               }
             });
}

// Takes the lease if its row has not changed for so long that its holder must have stopped ordering at least
// `hand_over_gap` ago.
void WeightsControl::TakeLeaseIfExpired(const std::string& service_name, const std::string& zone,
                                        Lease& lease, const Row* row) {
  const absl::Time now = loop_.Now();
  const std::int64_t version = row == nullptr ? 0 : row->version;
  if (version != lease.seen_version) {
    lease.seen_version = version;
    lease.seen_version_since = now;
    lease.seen_released = row != nullptr && row->value == kReleasedValue;
  }
  absl::Duration required_silence = settings_.order_window + settings_.hand_over_gap + kTransitMargin;
  if (version == 0) required_silence = absl::ZeroDuration();  // the lease has never been held
  if (lease.seen_released) required_silence = settings_.hand_over_gap + kTransitMargin;
  if (zone != settings_.zone) required_silence += settings_.other_zone_delay;
  if (now - lease.seen_version_since >= required_silence) TakeLease(service_name, zone, lease, version);
}

void WeightsControl::TakeLease(const std::string& service_name, const std::string& zone, Lease& lease,
                               std::int64_t version) {
  lease.commit_pending = true;
  const absl::Time sent = loop_.Now();
  Transaction transaction;
  transaction.conditions = {{LeaseRow(service_name, zone), version}};
  transaction.writes = {{LeaseRow(service_name, zone), settings_.incarnation}};
  store_.Commit(transaction, [this, service_name, zone, sent](const StoreReply& reply) {
    Lease& found = services_[service_name].leases[zone];
    found.commit_pending = false;
    found.seen_version = -1;
    if (reply.outcome != StoreOutcome::kOk || released_) return;
    found.holder = true;
    found.version = reply.version;
    found.fence = reply.version;
    found.may_order_until = sent + settings_.order_window;
    found.next_renewal = sent + settings_.renew_interval;
    LogEventLine(LogLevel::kInfo, LogEvent::kLeaseTaken,
                 {{"lease", "weights"}, {"service", service_name}, {"zone", zone}, {"fence", found.fence}});
  });
}

void WeightsControl::RenewLease(const std::string& service_name, const std::string& zone, Lease& lease) {
  lease.commit_pending = true;
  const absl::Time sent = loop_.Now();
  lease.next_renewal = sent + settings_.renew_interval;
  Transaction transaction;
  transaction.conditions = {{LeaseRow(service_name, zone), lease.version}};
  transaction.writes = {{LeaseRow(service_name, zone), settings_.incarnation}};
  store_.Commit(transaction, [this, service_name, zone, sent](const StoreReply& reply) {
    Lease& found = services_[service_name].leases[zone];
    found.commit_pending = false;
    if (!found.holder) return;
    if (reply.outcome == StoreOutcome::kOk) {
      found.version = reply.version;
      found.may_order_until = sent + settings_.order_window;
      return;
    }
    if (reply.outcome == StoreOutcome::kConflict) {
      for (const Row& it : reply.rows) {
        if (it.value != settings_.incarnation) continue;
        // An earlier renewal was committed but its reply was lost. Only a new renewal extends the order
        // window.
        found.version = it.version;
        found.next_renewal = loop_.Now();
        return;
      }
      LoseLease(service_name, zone, found, "taken_by_another");
      return;
    }
    found.next_renewal = loop_.Now() + kStoreRetryDelay;
  });
}

void WeightsControl::LoseLease(const std::string& service_name, const std::string& zone, Lease& lease,
                               std::string_view reason) {
  LogEventLine(LogLevel::kWarning, LogEvent::kLeaseLost,
               {{"lease", "weights"}, {"service", service_name}, {"zone", zone}, {"reason", reason}});
  lease.holder = false;
  lease.may_order_until = absl::InfinitePast();
}

void WeightsControl::Release() {
  released_ = true;
  for (std::pair<const std::string, Service>& service : services_) {
    for (std::pair<const std::string, Lease>& it : service.second.leases) {
      if (!it.second.holder) continue;
      Transaction transaction;
      transaction.conditions = {{LeaseRow(service.first, it.first), it.second.version}};
      transaction.writes = {{LeaseRow(service.first, it.first), std::string(kReleasedValue)}};
      store_.Commit(transaction, [](const StoreReply&) {});  // if the commit fails, the lease expires
      LoseLease(service.first, it.first, it.second, "released");
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
    engine.weights.may_order = MayOrder(service, engine.zone);
    for (const std::pair<const std::string, std::int64_t>& held : it->observed_weights) {
      std::int64_t& known = engine.weights.held[held.first];
      if (held.second < known && !engine.weights.loading) engine.report_known = false;
      if (held.second > known || !engine.weights.loading) known = held.second;
    }
  }
  std::erase_if(service.engines, [&present](const std::pair<const std::string, Engine>& it) {
    return !std::binary_search(present.begin(), present.end(), it.first);  // Usable sorts by id
  });
  if (present != service.assigned_engines) {
    service.assigned = AssignModels(present, spec.models, settings_.models_per_engine);
    service.assigned_engines = present;
  }
}

void WeightsControl::OrderLoads(const ServiceSpec& spec, Service& service) {
  const absl::Time now = loop_.Now();
  std::vector<EngineWeights> engines;
  for (std::pair<const std::string, Engine>& it : service.engines) {
    Engine& engine = it.second;
    if (engine.weights.loading) {
      if (now >= engine.load_expires_at) {
        // The order may still take effect, so the held versions are read again from a report.
        engine.weights.loading = false;
        engine.report_known = false;
      } else if (!engine.request_pending && now >= engine.next_report) {
        RequestReport(spec.name, it.first);
      }
    }
    engines.push_back(engine.weights);
  }
  const std::map<std::string, std::int64_t>& announced = directory_.AnnouncedVersions();
  int own_engines = 0;
  for (const EngineWeights& it : engines) own_engines += it.may_order ? 1 : 0;
  const int max_loads = MaxConcurrentLoads(own_engines);
  while (true) {
    const LoadChoice load = PickLoad(engines, announced, service.assigned, max_loads, now);
    if (load.engine.empty()) return;
    Engine& engine = service.engines[load.engine];
    // Keeps the next iteration from choosing the engine again.
    for (EngineWeights& it : engines) {
      if (it.id != load.engine) continue;
      it.loading = true;
      it.held[load.model] = load.version;
    }
    if (engine.request_pending) continue;
    if (!engine.report_known) {
      RequestReport(spec.name, load.engine);
    } else {
      StartLoad(spec.name, load);
    }
  }
}

void WeightsControl::RequestReport(const std::string& service_name, const std::string& id) {
  Engine* const engine = FindEngine(service_name, id);
  const UpstreamState* const upstream = directory_.Find(id);
  if (engine == nullptr || upstream == nullptr) return;
  engine->request_pending = true;
  engine->next_report = loop_.Now() + settings_.report_interval;
  link_.FetchReport(upstream->entry, [this, service_name, id, started_ms = upstream->entry.started_ms,
                                      sent_at = loop_.Now()](const EngineReport& report) {
    if (report.leaving) directory_.ObserveLeaving(id, started_ms, "report", sent_at, loop_.Now());
    Engine* const found = FindEngine(service_name, id);
    if (found == nullptr) return;
    found->request_pending = false;
    const absl::Time now = loop_.Now();
    if (!report.known) {
      found->weights.blocked_until = now + kRefusedOrderBackoff;
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
    if (report.busy) found->weights.blocked_until = now + settings_.report_interval;
    UpstreamState* const state = directory_.Find(id);
    for (const std::pair<const std::string, std::int64_t>& it : report.weights) {
      found->weights.held[it.first] = it.second;
      if (state != nullptr) state->observed_weights[it.first] = it.second;
    }
  });
}

void WeightsControl::StartLoad(const std::string& service_name, const LoadChoice& load) {
  Service& service = services_[service_name];
  Engine* const engine = FindEngine(service_name, load.engine);
  UpstreamState* const upstream = directory_.Find(load.engine);
  // Checked again here: this host may have been suspended since the tick began.
  if (engine == nullptr || upstream == nullptr || !MayOrder(service, engine->zone)) return;
  WeightsOrder order;
  order.model = load.model;
  order.version = load.version;
  order.holder = settings_.incarnation;
  order.fence = service.leases[engine->zone].fence;
  order.orders_accepted = engine->orders_accepted;
  engine->request_pending = true;
  engine->weights.loading = true;
  engine->loading_model = load.model;
  engine->loading_version = load.version;
  engine->weights.held[load.model] = load.version;
  engine->load_expires_at = loop_.Now() + settings_.load_timeout;
  link_.SendOrder(upstream->entry, order, [this, service_name, load](OrderOutcome outcome) {
    Engine* const found = FindEngine(service_name, load.engine);
    LogEventLine(LogLevel::kInfo, LogEvent::kWeightsOrdered,
                 {{"upstream", load.engine},
                  {"model", load.model},
                  {"version", load.version},
                  {"orders_accepted", found == nullptr ? -1 : found->orders_accepted},
                  {"outcome", NameOf(outcome)}});
    if (found == nullptr) return;
    found->request_pending = false;
    const absl::Time now = loop_.Now();
    if (outcome == OrderOutcome::kAccepted) {
      ++found->orders_accepted;
      found->next_report = now + settings_.expected_load_time;
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
        now + (outcome == OrderOutcome::kBusyOrStaleCount ? settings_.report_interval : kRefusedOrderBackoff);
  });
}

}  // namespace oleander::serving
