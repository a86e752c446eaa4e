// Moves the engines of a service to the weight versions that trainers announce. For the engines of each
// availability zone, one host at a time holds a lease and sends all load orders. The other hosts poll the
// leases and take over one that is not renewed. A failed host or an isolated zone therefore stops the loads
// of one zone only. All holders rank the engines in the same way, so that they choose the same ones without
// communicating.
//
// Engines may not check fencing tokens, so the orders of two holders must never alternate: a holder stops
// ordering well before another one may begin, measured by the time since boot, which includes the time in
// which the machine is suspended.
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
  std::string incarnation;                                  // of this host
  std::string zone;                                         // of this host
  absl::Duration renew_interval = absl::Milliseconds(400);  // between renewals of a lease
  // Orders are allowed this long after the holder sent its last confirmed takeover or renewal of the lease.
  // The time must not run from the reply: other hosts count from when they see the changed row, so a late
  // reply would let the orders of two holders overlap.
  absl::Duration order_window = absl::Milliseconds(1100);
  absl::Duration hand_over_gap = absl::Seconds(3);     // between the orders of successive holders
  absl::Duration other_zone_delay = absl::Seconds(2);  // additional wait before a takeover in another zone
  absl::Duration lease_poll_interval = absl::Milliseconds(700);  // between reads of the leases
  absl::Duration expected_load_time = absl::Milliseconds(900);   // the engine's report is requested after it
  absl::Duration report_interval = absl::Milliseconds(120);      // between repeated report requests
  absl::Duration load_timeout = absl::Seconds(6);  // after it, an order without effect is given up
  double models_per_engine = 1;  // models on one engine; each version is loaded by half of a model's engines
};

class WeightsControl {
 public:
  WeightsControl(Loop& loop, Store& store, UpstreamLink& link, Directory& directory,
                 WeightsSettings settings);
  // Call it a few times a second.
  void Tick();
  // Stops ordering and releases the leases; another host may begin after `hand_over_gap`.
  void Release();
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
  struct Lease {
    bool holder = false;
    bool commit_pending = false;
    std::int64_t version = 0;  // of the row, while held
    std::int64_t fence = 0;    // fencing token of the orders
    absl::Time may_order_until = absl::InfinitePast();
    absl::Time next_renewal = absl::InfinitePast();
    std::int64_t seen_version = -1;  // of the row, while another host may hold the lease
    absl::Time seen_version_since;
    bool seen_released = false;
  };
  struct Service {
    bool poll_pending = false;
    absl::Time next_poll = absl::InfinitePast();
    std::map<std::string, Lease> leases;                       // by zone
    std::map<std::string, Engine> engines;                     // by id
    std::map<std::string, std::vector<std::string>> assigned;  // engine ids by model
    absl::Time next_order_pass = absl::InfinitePast();
    std::uint64_t zones_generation = 0;         // directory generation whose zones `leases` has
    std::vector<std::string> assigned_engines;  // engines for which `assigned` was computed
  };

  void PollLeases(const std::string& service_name, Service& service);
  void TakeLeaseIfExpired(const std::string& service_name, const std::string& zone, Lease& lease,
                          const Row* row);
  void TakeLease(const std::string& service_name, const std::string& zone, Lease& lease,
                 std::int64_t version);
  void RenewLease(const std::string& service_name, const std::string& zone, Lease& lease);
  void LoseLease(const std::string& service_name, const std::string& zone, Lease& lease,
                 std::string_view reason);
  bool MayOrder(const Service& service, const std::string& zone) const;
  void SyncEngines(const ServiceSpec& spec, Service& service);
  void OrderLoads(const ServiceSpec& spec, Service& service);
  void RequestReport(const std::string& service_name, const std::string& engine);
  void StartLoad(const std::string& service_name, const LoadChoice& load);
  Engine* FindEngine(const std::string& service_name, const std::string& engine);

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
