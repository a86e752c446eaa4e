// Runs an entry host in this process: caller API, administration API, peer server, control loop and graceful
// shutdown.
//
//   Settings settings = ...;                    // LoadSettings, or filled in by a test
//   HostPtr host = StartHost(settings).value();
//   ...
//   const int cut_off = StopHost(*host);        // 0: all requests in flight completed
//
// Several hosts may run in one process; they share the metrics and the log.
#ifndef OLEANDER_SERVER_H_
#define OLEANDER_SERVER_H_

#include <memory>
#include <optional>

#include "absl/time/time.h"
#include "oleander/errors.h"
#include "oleander/platform.h"
#include "oleander/settings.h"
#include "oleander/upstream.h"

namespace oleander {

struct Host;
struct HostDeleter {
  void operator()(Host* host) const;  // stops the host if StopHost has not run
};
using HostPtr = std::unique_ptr<Host, HostDeleter>;

// Implementations that replace the network clients. A port that is unset uses the network client configured
// in the settings. For tests.
struct HostPorts {
  std::optional<TablePort> table;       //
  std::optional<ObjectPort> objects;    //
  std::optional<ListPort> list;         //
  std::optional<EnginePort> engines;    //
  std::optional<ServicePort> services;  //
};

// Starts all threads and listens. Port 0 in the settings selects a free port. The host answers /healthz at
// once. /readyz succeeds once the host knows the configuration and has received the platform list or a
// message from a peer. Errors: kInternal (address in use), kInvalidRequest.
leaf::result<HostPtr> StartHost(const Settings& settings, const HostPorts& ports = {});

// The TCP ports of the caller API and of the peer server.
int CallerPort(const Host& host);
int PeerPort(const Host& host);

// Graceful shutdown: announces to peers that the host is leaving, refuses new work, releases leases, waits
// for requests in flight, then stops all threads. Returns the number of requests still in flight at
// drain_deadline_ms; 0 means that none was cut off.
int StopHost(Host& host);

}  // namespace oleander

#endif  // OLEANDER_SERVER_H_
