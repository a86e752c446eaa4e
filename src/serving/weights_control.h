// Moves the engines of one service to the versions that trainers name. One host at a time holds the lease and
// gives all orders; the others watch the lease and take it over when it is not renewed.
//
// Engines may not check fencing numbers, so two holders must never order in turns: a holder stops ordering
// well before another may begin, by the time since boot, which counts a suspended machine.
#ifndef OLEANDER_SRC_SERVING_WEIGHTS_CONTROL_H_
#define OLEANDER_SRC_SERVING_WEIGHTS_CONTROL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "oleander/serving.h"
#include "serving/decisions.h"
#include "serving/directory.h"

namespace oleander::serving {

struct WeightsSettings {
  std::string incarnation;                                  // of this host
  absl::Duration renew_every = absl::Milliseconds(700);     //
  absl::Duration order_window = absl::Milliseconds(1800);   // a holder orders so long after it sent its last renewal
  absl::Duration hand_over_gap = absl::Seconds(3);          // between the orders of two holders
  absl::Duration watch_every = absl::Milliseconds(900);     // reads of the lease by the others
  absl::Duration report_every = absl::Milliseconds(250);    // of an engine that is loading
  absl::Duration load_patience = absl::Seconds(6);          // an accepted order that shows no effect is forgotten
  double copies = 2;                                        // models that an engine holds; half of a model's engines load a version
};

class WeightsControl {
 public:
  WeightsControl(Loop& loop, Store& store, UpstreamLink& link, Directory& directory, WeightsSettings settings);
  // Call it a few times a second.
  void Tick();
  // Stops ordering and lets another host begin after the gap.
  void Release();
  bool holds(const std::string& service) const;

 private:
  struct Engine {
    EngineWeights weights;
    std::int64_t started_ms = 0;
    std::int64_t orders_accepted = 0;
    bool report_known = false;
    bool asking = false;       // a report or an order is on its way
    absl::Time next_report = absl::InfinitePast();
    std::string loading_model;
    std::int64_t loading_version = 0;
    absl::Time load_forgotten = absl::InfinitePast();
  };
  struct Service {
    bool holder = false;
    std::int64_t lease_version = 0;
    std::int64_t fence = 0;
    absl::Time order_until = absl::InfinitePast();
    absl::Time next_store_call = absl::InfinitePast();
    bool calling = false;
    std::int64_t seen_version = -1;       // of a lease of another host
    absl::Time seen_since;
    bool seen_released = false;
    std::map<std::string, Engine> engines;
    std::map<std::string, std::vector<std::string>> assigned;
    std::vector<std::string> assigned_for;  // engines when `assigned` was made
  };

  void WatchLease(const std::string& name, Service& service);
  void TakeLease(const std::string& name, Service& service, std::int64_t version);
  void RenewLease(const std::string& name, Service& service);
  void Lose(const std::string& name, Service& service, std::string_view reason);
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
