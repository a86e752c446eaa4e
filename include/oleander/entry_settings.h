// Settings of the event-driven daemon, one JSON object. A reload applies only those marked "reload".
#ifndef OLEANDER_ENTRY_SETTINGS_H_
#define OLEANDER_ENTRY_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "oleander/errors.h"

namespace oleander {

// Calls to the platform that one host at a time makes for all. Absent: none are made.
struct DutySettings {
  std::string address;                             // "ip:port" of the platform's API; reload
  double max_calls_per_s = 10;                     // from all hosts together
  bool orders_capacity = false;                    // order upstreams for services that may be scaled
  bool reports_usage = false;                      // report the requests of each workspace
  absl::Duration usage_window = absl::Seconds(5);  // of one usage report, in true time
  absl::Duration usage_due = absl::Seconds(10);    // after the end of the window
};

struct EntrySettings {
  std::string host;                                   // name of this host in logs and leases
  std::string zone;                                   // availability zone
  std::string listen_callers;                         // "ip:port"
  std::string listen_readiness;                       // "ip:port"
  int metrics_port = 9464;                            // on the address of listen_readiness; 0: no metrics
  std::string store_address;                          // "ip:port"; reload
  std::int64_t max_row_bytes = 65536;                 // maximum size of a row's value in the store
  std::int64_t max_object_bytes = 8 << 20;            // maximum size of an object in the store
  std::int64_t memory_mb = 300;                       // memory limit of the process
  std::int64_t descriptors = 1024;                    // file descriptor limit of the process
  double processor_share = 1;                         // CPU cores available to the process; may be a fraction
  absl::Duration shutdown_grace = absl::Seconds(8);   // from SIGTERM to SIGKILL; reload
  absl::Duration order_hand_over = absl::Seconds(3);  // between load orders of two hosts to the same engine
  bool strict_revocation = false;  // refuse keys that may have been taken away without this host's knowledge
  absl::Duration revocation_bound =
      absl::Seconds(5);                // after it, with strict_revocation, no host accepts them
  std::optional<DutySettings> duties;  //
  std::string log_level = "info";      // "info", "warning" or "error"
};

// Fails with kInvalidRequest and one line for each problem: "path: found X, expected Y".
leaf::result<EntrySettings> ParseEntrySettings(const std::string& text);
leaf::result<EntrySettings> LoadEntrySettings(const std::string& path);

}  // namespace oleander

#endif  // OLEANDER_ENTRY_SETTINGS_H_
