// Orders upstreams for the services that may be scaled, while this host holds their capacity duty, and
// publishes this host's demand for them.
#ifndef OLEANDER_SRC_SERVING_CAPACITY_CONTROL_H_
#define OLEANDER_SRC_SERVING_CAPACITY_CONTROL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "absl/time/time.h"
#include "oleander/serving.h"
#include "serving/call_pacer.h"
#include "serving/capacity.h"
#include "serving/directory.h"
#include "serving/duty_leases.h"
#include "serving/store_clock.h"

namespace oleander::serving {

struct CapacitySettings {
  std::string host;                                    // name of the machine
  std::string incarnation;                             // of this host
  absl::Duration publish_interval = absl::Seconds(1);  // between writes of this host's demand for one service
  absl::Duration read_interval = absl::Seconds(1);     // between the holder's reads of the demand
  absl::Duration max_demand_age = absl::Seconds(5);    // older rows are of hosts that are gone or cut off
};

class CapacityControl {
 public:
  CapacityControl(Loop& loop, Store& store, DutyLeases& leases, DutyPlatform& platform, Directory& directory,
                  CallPacer& pacer, CapacitySettings settings);
  // Returns this host's demand by service.
  std::function<std::map<std::string, ServiceDemand>()> collect_demand;
  // Call it a few times a second, after the leases' own Tick.
  void Tick();

 private:
  struct Order {
    bool in_flight = false;
    int attempts = 0;
    absl::Time next_try = absl::InfinitePast();
  };
  struct Service {
    std::int64_t fence = 0;  // of the term in which the rest was learned
    absl::Time next_read = absl::InfinitePast();
    bool reading = false;
    DemandHistory history;
    std::map<std::string, ZoneState> zones;
    std::map<std::string, Order> orders;  // by zone and kind
  };
  struct Published {
    ServiceDemand demand;
    bool in_flight = false;
    absl::Time next_write = absl::InfinitePast();
    absl::Time written_at = absl::InfinitePast();
  };
  void PublishDemand();
  void WriteDemand(const std::string& service, Published& published, const ServiceDemand& demand);
  void ReadDemand(const std::string& service_name, Service& service);
  void OnDemand(const std::string& service_name, const StoreReply& reply);
  void Plan(const ServiceSpec& spec, Service& service);
  void CountPresent(const ServiceSpec& spec, Service& service) const;
  void OrderIfNeeded(const ServiceSpec& spec, Service& service, const std::string& zone, UpstreamKind kind,
                     int planned);
  Service* FindService(const std::string& name, std::int64_t fence);

  Loop& loop_;
  Store& store_;
  DutyLeases& leases_;
  DutyPlatform& platform_;
  Directory& directory_;
  CallPacer& pacer_;
  CapacitySettings settings_;
  StoreClock clock_;
  bool reading_clock_ = false;
  std::map<std::string, Service> services_;     // held or wanted, by name
  std::map<std::string, absl::Time> seen_at_;   // by service, when its first upstream was listed
  std::map<std::string, Published> published_;  // by service
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_CAPACITY_CONTROL_H_
