// Settings of the event-driven daemon, one JSON object. A reload changes those marked "reload".
#ifndef OLEANDER_ENTRY_SETTINGS_H_
#define OLEANDER_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "oleander/errors.h"

namespace oleander {

struct EntrySettings {
  std::string host;                                   // name of this host in logs and leases
  std::string zone;                                   // availability zone
  std::string listen_callers;                         // "ip:port"
  std::string listen_readiness;                       // "ip:port"
  int metrics_port = 9464;                            // on the address of the readiness port; 0: no metrics
  std::string store_address;                          // "ip:port"; reload
  std::int64_t max_row_bytes = 65536;                 // of one row's value in the store
  std::int64_t max_object_bytes = 8 << 20;            // of one object in the store
  std::int64_t memory_mb = 300;                       // limit of the process
  std::int64_t descriptors = 1024;                    // limit of the process
  double processor_share = 1;                         // of a core that the host has for the process
  absl::Duration shutdown_grace = absl::Seconds(8);   // from SIGTERM to SIGKILL; reload
  absl::Duration order_hand_over = absl::Seconds(3);  // between orders of two hosts to one engine
  std::string log_level = "info";                     // "info", "warning" or "error"
};

// Errors: kInvalidRequest with a line for each problem: "path: found X, expected Y".
leaf::result<EntrySettings> ParseEntrySettings(const std::string& text);
leaf::result<EntrySettings> LoadEntrySettings(const std::string& path);

}  // namespace oleander

#endif  // OLEANDER_ENTRY_SETTINGS_H_
