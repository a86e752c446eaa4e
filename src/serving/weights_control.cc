#include "serving/weights_control.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "oleander/log_events.h"

namespace oleander::serving {
namespace {

constexpr absl::Duration kRefusedOrderBackoff =
    absl::Milliseconds(700);  // before the engine gets another order
// Delay between two passes over the engines, for each engine: a pass over thousands takes milliseconds.
constexpr absl::Duration kOrderPassDelayPerEngine = absl::Microseconds(100);

std::string DutyName(const std::string& service, const std::string& zone) {
  return absl::StrCat("weights/", service, "/", zone);
}

}  // namespace

WeightsControl::WeightsControl(Loop& loop, DutyLeases& leases, UpstreamLink& link, Directory& directory,
                               WeightsSettings settings)
    : loop_(loop), leases_(leases), link_(link), directory_(directory), settings_(std::move(settings)) {}

bool WeightsControl::HoldsLease(const std::string& service, const std::string& zone) const {
  return leases_.Holds(DutyName(service, zone));
}

bool WeightsControl::MayOrder(const std::string& service, const std::string& zone) const {
  return leases_.MayAct(DutyName(service, zone));
}

WeightsControl::Engine* WeightsControl::FindEngine(const std::string& service_name,
                                                   const std::string& engine) {
  const auto service = services_.find(service_name);
  if (service == services_.end()) return nullptr;
  const auto it = service->second.engines.find(engine);
  return it == service->second.engines.end() ? nullptr : &it->second;
}

void WeightsControl::Tick() {
  const absl::Time now = loop_.Now();
  for (const ServiceSpec& spec : directory_.PolicyInForce().services) {
    if (spec.models.empty()) continue;
    Service& service = services_[spec.name];
    if (service.zones_generation != directory_.Generation()) {
      service.zones_generation = directory_.Generation();
      for (const UpstreamState* it : directory_.Usable(spec.name)) {
        const std::string& zone = it->entry.zone;
        if (!service.zones.insert(zone).second) continue;
        leases_.Want(DutyName(spec.name, zone),
                     zone == settings_.zone ? absl::ZeroDuration() : settings_.other_zone_delay);
      }
    }
    const bool holder = std::any_of(service.zones.begin(), service.zones.end(),
                                    [this, &spec](const std::string& it) { return MayOrder(spec.name, it); });
    if (holder && now >= service.next_order_pass) {
      SyncEngines(spec, service);
      OrderLoads(spec, service);
      service.next_order_pass = now + kOrderPassDelayPerEngine * static_cast<double>(service.engines.size());
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
    engine.weights.may_order = MayOrder(spec.name, engine.zone);
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
  Engine* const engine = FindEngine(service_name, load.engine);
  UpstreamState* const upstream = directory_.Find(load.engine);
  // Checked again here: this host may have been suspended since the tick began.
  if (engine == nullptr || upstream == nullptr || !MayOrder(service_name, engine->zone)) return;
  WeightsOrder order;
  order.model = load.model;
  order.version = load.version;
  order.holder = settings_.incarnation;
  order.fence = leases_.Fence(DutyName(service_name, engine->zone));
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
