// Moves the engines of a service to the versions that trainers name. For the engines of each availability
// zone one host at a time holds a lease and gives all orders; the others watch the leases and take over one
// that is not renewed. A host that fails, or a zone that is cut off, so stops the loads of one zone only. All
// holders rank the engines alike, so that they load the same ones without asking each other.
//
// Engines may not check fencing numbers, so two holders must never order in turns: a holder stops ordering
// well before another may begin, by the time since boot, which counts a suspended machine.
#ifndef OLEANDER_SRC_SERVING_WEIGHTS_CONTROL_H_
#define OLEANDER_SRC_SERVING_WEIGHTS_CONTROL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "oleander/serving.h"
#include "serving/decisions.h"
#include "serving/directory.h"

namespace oleander::serving {

struct WeightsSettings {
  std::string incarnation;                               // of this host
  std::string zone;                                      // of this host
  absl::Duration renew_every = absl::Milliseconds(400);  //
  absl::Duration order_window =
      absl::Milliseconds(1100);                     // a holder orders so long after it sent its last renewal
  absl::Duration hand_over_gap = absl::Seconds(3);  // between the orders of two holders
  absl::Duration other_zone_delay = absl::Seconds(2);     // before a host takes over engines of another zone
  absl::Duration watch_every = absl::Milliseconds(700);   // reads of the leases
  absl::Duration load_time = absl::Milliseconds(900);     // of an order, from its acceptance
  absl::Duration report_every = absl::Milliseconds(120);  // of an engine that should have loaded by now
  absl::Duration load_patience = absl::Seconds(6);  // an accepted order that shows no effect is forgotten
  double copies = 1;  // models that an engine holds; half of a model's engines load a version
};

class WeightsControl {
 public:
  WeightsControl(Loop& loop, Store& store, UpstreamLink& link, Directory& directory,
                 WeightsSettings settings);
  // Call it a few times a second.
  void Tick();
  // Stops ordering and lets another host begin after the gap.
  void Release();
  bool Holds(const std::string& service, const std::string& zone) const;

 private:
  struct Engine {
    EngineWeights weights;
    std::string zone;
    std::int64_t started_ms = 0;
    std::int64_t orders_accepted = 0;
    bool report_known = false;
    bool asking = false;  // a report or an order is on its way
    absl::Time next_report = absl::InfinitePast();
    std::string loading_model;
    std::int64_t loading_version = 0;
    absl::Time load_forgotten = absl::InfinitePast();
  };
  struct Lease {
    bool holder = false;
    bool calling = false;
    std::int64_t version = 0;  // of the row, while held
    std::int64_t fence = 0;
    absl::Time order_until = absl::InfinitePast();
    absl::Time next_renewal = absl::InfinitePast();
    std::int64_t seen_version = -1;  // of the row of another host
    absl::Time seen_since;
    bool seen_released = false;
  };
  struct Service {
    bool watching = false;
    absl::Time next_watch = absl::InfinitePast();
    std::map<std::string, Lease> leases;  // by zone
    std::map<std::string, Engine> engines;
    std::map<std::string, std::vector<std::string>> assigned;
    absl::Time next_orders = absl::InfinitePast();
    std::uint64_t zones_of = 0;             // generation of the list that `leases` has the zones of
    std::vector<std::string> assigned_for;  // engines when `assigned` was made
  };

  void WatchLeases(const std::string& name, Service& service);
  void JudgeLease(const std::string& name, const std::string& zone, Lease& lease, const Row* row);
  void TakeLease(const std::string& name, const std::string& zone, Lease& lease, std::int64_t version);
  void RenewLease(const std::string& name, const std::string& zone, Lease& lease);
  void Lose(const std::string& name, const std::string& zone, Lease& lease, std::string_view reason);
  bool MayOrder(const Service& service, const std::string& zone) const;
  void SyncEngines(const ServiceSpec& spec, Service& service);
  void OrderLoads(const ServiceSpec& spec, Service& service);
  void AskReport(const std::string& name, const std::string& engine);
  void Order(const std::string& name, const LoadChoice& load);
  Engine* FindEngine(const std::string& name, const std::string& engine);

  Loop& loop_;
  Store& store_;
  UpstreamLink& link_;
  Directory& directory_;
  WeightsSettings settings_;
  bool released_ = false;
  std::map<std::string, Service> services_;
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_WEIGHTS_CONTROL_H_
