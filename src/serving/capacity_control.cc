#include "serving/capacity_control.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "oleander/log_events.h"
#include "oleander/metrics.h"
#include "serving/usage.h"

namespace oleander::serving {
namespace {

constexpr double kMinDemandChange = 0.1;  // smaller changes are not written
constexpr absl::Duration kRewriteInterval =
    absl::Seconds(2);  // of unchanged demand, so that it does not grow old
constexpr absl::Duration kRowRetention = absl::Minutes(1);  // of demand rows of hosts that are gone

std::string DutyName(const std::string& service) { return absl::StrCat("capacity/", service); }

std::string_view NameOf(UpstreamKind kind) {
  return kind == UpstreamKind::kOrdinary ? "ordinary" : "reclaimable";
}

bool Differs(const ServiceDemand& a, const ServiceDemand& b) {
  const int before = a.running + a.waiting;
  const int after = b.running + b.waiting;
  return std::abs(after - before) > kMinDemandChange * std::max(before, after);
}

}  // namespace

CapacityControl::CapacityControl(Loop& loop, Store& store, DutyLeases& leases, DutyPlatform& platform,
                                 Directory& directory, CallPacer& pacer, CapacitySettings settings)
    : loop_(loop),
      store_(store),
      leases_(leases),
      platform_(platform),
      directory_(directory),
      pacer_(pacer),
      settings_(std::move(settings)) {}

void CapacityControl::Tick() {
  PublishDemand();
  for (const ServiceSpec& spec : directory_.PolicyInForce().services) {
    if (!spec.scaling) continue;
    leases_.Want(DutyName(spec.name), absl::ZeroDuration());
    if (!leases_.MayAct(DutyName(spec.name))) continue;
    Service& service = services_[spec.name];
    const std::int64_t fence = leases_.Fence(DutyName(spec.name));
    if (service.fence != fence) {
      service = Service();
      service.fence = fence;
    }
    if (!service.reading && loop_.Now() >= service.next_read) ReadDemand(spec.name, service);
    if (!service.history.samples.empty()) Plan(spec, service);
  }
}

CapacityControl::Service* CapacityControl::FindService(const std::string& name, std::int64_t fence) {
  const auto it = services_.find(name);
  return it == services_.end() || it->second.fence != fence ? nullptr : &it->second;
}

// ---- Demand -----------------------------------------------------------------------------------------------

void CapacityControl::PublishDemand() {
  if (!collect_demand) return;
  const absl::Time now = loop_.Now();
  std::map<std::string, ServiceDemand> demand = collect_demand();
  for (const ServiceSpec& spec : directory_.PolicyInForce().services) {
    if (!spec.scaling) continue;
    const ServiceDemand& current = demand[spec.name];
    Published& published = published_[spec.name];
    if (published.in_flight || now < published.next_write) continue;
    const bool had_demand = published.demand.running + published.demand.waiting > 0;
    const bool aged = had_demand && now - published.written_at >= kRewriteInterval;
    if (aged || Differs(published.demand, current)) WriteDemand(spec.name, published, current);
  }
}

void CapacityControl::WriteDemand(const std::string& service, Published& published,
                                  const ServiceDemand& demand) {
  if (!clock_.known) {
    if (std::exchange(reading_clock_, true)) return;
    store_.Get({std::string(kDemandTable), service, settings_.incarnation, "", 1},
               [this](const StoreReply& reply) {
                 reading_clock_ = false;
                 UpdateStoreClock(clock_, reply, loop_.Now());
               });
    return;
  }
  published.in_flight = true;
  published.next_write = loop_.Now() + settings_.publish_interval;
  Transaction transaction;
  transaction.writes = {{{std::string(kDemandTable), service, settings_.incarnation},
                         EncodeDemandRow({StoreTimeAt(clock_, loop_.Now()), demand})}};
  store_.Commit(transaction, [this, service, demand](const StoreReply& reply) {
    UpdateStoreClock(clock_, reply, loop_.Now());
    Published& found = published_[service];
    found.in_flight = false;
    if (reply.outcome != StoreOutcome::kOk) return;  // tried again after the interval
    found.demand = demand;
    found.written_at = loop_.Now();
  });
}

void CapacityControl::ReadDemand(const std::string& service_name, Service& service) {
  service.reading = true;
  service.next_read = loop_.Now() + settings_.read_interval;
  store_.Get({std::string(kDemandTable), service_name, "", "", 0},
             [this, service_name, fence = service.fence](const StoreReply& reply) {
               if (Service* const found = FindService(service_name, fence)) {
                 found->reading = false;
                 if (reply.outcome == StoreOutcome::kOk) OnDemand(service_name, reply);
               }
             });
}

void CapacityControl::OnDemand(const std::string& service_name, const StoreReply& reply) {
  UpdateStoreClock(clock_, reply, loop_.Now());
  ServiceDemand sum;
  Transaction removal;
  for (const Row& it : reply.rows) {
    const std::optional<DemandRow> row = DecodeDemandRow(it.value);
    if (row && reply.store_time - row->at <= settings_.max_demand_age) {
      sum.running += row->demand.running;
      sum.waiting += row->demand.waiting;
    } else if (!row || reply.store_time - row->at > kRowRetention) {
      removal.removals.push_back(it.id);
    }
  }
  if (!removal.removals.empty()) store_.Commit(removal, [](const StoreReply&) {});
  AddSample(services_[service_name].history, sum, loop_.Now());
}

// ---- Orders -----------------------------------------------------------------------------------------------

void CapacityControl::CountPresent(const ServiceSpec& spec, Service& service) const {
  std::map<std::string, std::pair<int, int>> present;  // ordinary and reclaimable ones, by zone
  for (const UpstreamState* it : directory_.Usable(spec.name)) {
    std::pair<int, int>& zone = present[it->entry.zone];
    ++(it->entry.reclaimable ? zone.second : zone.first);
  }
  for (const std::pair<const std::string, double>& it : spec.scaling->zone_prices)
    present.try_emplace(it.first);
  for (const std::pair<const std::string, std::pair<int, int>>& it : present) {
    const auto price = spec.scaling->zone_prices.find(it.first);
    ZoneState& zone = service.zones[it.first];
    zone.price = price == spec.scaling->zone_prices.end() ? 1 : price->second;
    zone.ordinary.present = it.second.first;
    zone.reclaimable.present = it.second.second;
  }
}

void CapacityControl::Plan(const ServiceSpec& spec, Service& service) {
  CountPresent(spec, service);
  int slots = 0;
  int upstreams = 0;
  for (const UpstreamState* it : directory_.Usable(spec.name)) {
    slots += it->entry.slots;
    ++upstreams;
  }
  if (upstreams == 0) return;  // nothing is known of the service yet
  // Upstreams that start with the fleet register one after the other.
  const absl::Time seen_at = seen_at_.try_emplace(spec.name, loop_.Now()).first->second;
  if (loop_.Now() - seen_at < spec.scaling->startup) return;
  const SlotNeed need = NeedOf(service.history);
  const int slots_each = static_cast<int>(std::lround(static_cast<double>(slots) / upstreams));
  const std::map<std::string, CapacityPlan> plan =
      PlanCapacity(*spec.scaling, service.zones, need, slots_each, loop_.Now());
  for (const std::pair<const std::string, CapacityPlan>& it : plan) {
    OrderIfNeeded(spec, service, it.first, UpstreamKind::kOrdinary, it.second.ordinary);
    OrderIfNeeded(spec, service, it.first, UpstreamKind::kReclaimable, it.second.reclaimable);
  }
}

void CapacityControl::OrderIfNeeded(const ServiceSpec& spec, Service& service, const std::string& zone,
                                    UpstreamKind kind, int planned) {
  const absl::Time now = loop_.Now();
  const bool reclaimable = kind == UpstreamKind::kReclaimable;
  ZoneState& state = service.zones[zone];
  KindState& kind_state = reclaimable ? state.reclaimable : state.ordinary;
  const std::string key = absl::StrCat(zone, "/", std::string(NameOf(kind)));
  Order& order = service.orders[key];
  const std::optional<int> number = NumberToOrder(kind_state, planned, spec.scaling->startup, now);
  if (!number || order.in_flight || now < order.next_try || !TakeTurn(pacer_, now)) return;
  order.in_flight = true;
  ++order.attempts;
  const SlotNeed need = NeedOf(service.history);
  LogEventLine(LogLevel::kInfo, LogEvent::kCapacityOrdered,
               {{"service", spec.name},
                {"zone", zone},
                {"kind", NameOf(kind)},
                {"number", *number},
                {"ordered", kind_state.ordered},
                {"present", kind_state.present},
                {"slots_needed", std::lround(need.total)},
                {"slots_steady", std::lround(need.steady)}});
  platform_.OrderCapacity(
      {settings_.host, service.fence}, {spec.name, zone, *number, reclaimable},
      [this, name = spec.name, zone, key, kind, number = *number,
       fence = service.fence](DutyOutcome outcome) {
        AddCounter(GlobalMetrics(), "capacity_orders", oleander::serving::NameOf(outcome));
        Service* const found = FindService(name, fence);
        if (found == nullptr) return;
        Order& done = found->orders[key];
        done.in_flight = false;
        ZoneState& ordered = found->zones[zone];
        ObserveOrder(kind == UpstreamKind::kReclaimable ? ordered.reclaimable : ordered.ordinary, number,
                     outcome, loop_.Now());
        if (outcome == DutyOutcome::kAccepted) {
          done.attempts = 0;
          return;
        }
        done.next_try = loop_.Now() + DutyBackoff(done.attempts, key);
        LogEventLine(LogLevel::kWarning, LogEvent::kCapacityRefused,
                     {{"service", name},
                      {"zone", zone},
                      {"kind", NameOf(kind)},
                      {"number", number},
                      {"outcome", oleander::serving::NameOf(outcome)}});
      });
}

}  // namespace oleander::serving
