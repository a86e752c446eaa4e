// Several stand-ins in one process, described by a JSON file, with a control port for faults and audit logs.
//
//   {"address":"127.0.0.1","seed":1,"control_port":21000,
//    "table":{"port"},"objects":{"port"},"list":{"port","lag_ms","hosts":[...]},
//    "weights":{"port","per_second"},
//    "engines":[{"id","model","zone","port", fields of EngineOptions}],
//    "services":[{"id","role","pool","zone","port","median_ms"}]}
//
// Every section is optional. The list contains all engines and services of the topology as upstreams.
// Control port: POST /control/fault {"target":ID, ...fault}, GET /books {ID: audit log}.
#ifndef OLEANDER_STANDINS_TOPOLOGY_H_
#define OLEANDER_STANDINS_TOPOLOGY_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standins/engine.h"
#include "standins/host_list.h"
#include "standins/objects.h"
#include "standins/service.h"
#include "standins/table.h"
#include "standins/weight_store.h"

namespace oleander::standins {

struct Topology {
  std::unique_ptr<Table> table;
  std::unique_ptr<Objects> objects;
  std::unique_ptr<HostList> list;
  std::unique_ptr<WeightStore> weights;
  std::vector<std::unique_ptr<Engine>> engines;
  std::vector<std::unique_ptr<Service>> services;
  std::map<std::string, HttpPort*> ports;  // all of the above by id
  HttpPort control;
  ~Topology();
};

// Starts all stand-ins. Errors: kInvalidRequest (file), kInternal (address in use).
leaf::result<std::unique_ptr<Topology>> StartTopology(const Json& json);

}  // namespace oleander::standins

#endif  // OLEANDER_STANDINS_TOPOLOGY_H_
