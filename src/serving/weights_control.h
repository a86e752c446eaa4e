// Moves the engines of a service to the weight versions that trainers announce. For the engines of each
// availability zone, one host at a time holds a lease (duty_leases.h) and sends all load orders. A failed
// host or an isolated zone therefore stops the loads of one zone only. All holders rank the engines in the
// same way, so that they choose the same ones without communicating.
#ifndef OLEANDER_SRC_SERVING_WEIGHTS_CONTROL_H_
#define OLEANDER_SRC_SERVING_WEIGHTS_CONTROL_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "oleander/serving.h"
#include "serving/decisions.h"
#include "serving/directory.h"
#include "serving/duty_leases.h"

namespace oleander::serving {

struct WeightsSettings {
  std::string incarnation;                             // of this host
  std::string zone;                                    // of this host
  absl::Duration other_zone_delay = absl::Seconds(2);  // additional wait before a takeover in another zone
  absl::Duration expected_load_time = absl::Milliseconds(900);  // the engine's report is requested after it
  absl::Duration report_interval = absl::Milliseconds(120);     // between repeated report requests
  absl::Duration load_timeout = absl::Seconds(6);  // after it, an order without effect is given up
  double models_per_engine = 1;  // models on one engine; each version is loaded by half of a model's engines
};

class WeightsControl {
 public:
  WeightsControl(Loop& loop, DutyLeases& leases, UpstreamLink& link, Directory& directory,
                 WeightsSettings settings);
  // Call it a few times a second, after the leases' own Tick. Orders nothing while the leases are released.
  void Tick();
  bool HoldsLease(const std::string& service, const std::string& zone) const;

 private:
  struct Engine {
    EngineWeights weights;
    std::string zone;
    std::int64_t started_ms = 0;
    std::int64_t orders_accepted = 0;
    bool report_known = false;     // `weights` is up to date with the engine's report
    bool request_pending = false;  // a report request or an order is in progress
    absl::Time next_report = absl::InfinitePast();
    std::string loading_model;
    std::int64_t loading_version = 0;
    absl::Time load_expires_at = absl::InfinitePast();
  };
  struct Service {
    std::set<std::string> zones;                               // of the engines so far
    std::map<std::string, Engine> engines;                     // by id
    std::map<std::string, std::vector<std::string>> assigned;  // engine ids by model
    absl::Time next_order_pass = absl::InfinitePast();
    std::uint64_t zones_generation = 0;         // directory generation whose zones `zones` has
    std::vector<std::string> assigned_engines;  // engines for which `assigned` was computed
  };

  bool MayOrder(const std::string& service, const std::string& zone) const;
  void SyncEngines(const ServiceSpec& spec, Service& service);
  void OrderLoads(const ServiceSpec& spec, Service& service);
  void RequestReport(const std::string& service_name, const std::string& engine);
  void StartLoad(const std::string& service_name, const LoadChoice& load);
  Engine* FindEngine(const std::string& service_name, const std::string& engine);

  Loop& loop_;
  DutyLeases& leases_;
  UpstreamLink& link_;
  Directory& directory_;
  WeightsSettings settings_;
  std::map<std::string, Service> services_;
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_WEIGHTS_CONTROL_H_
