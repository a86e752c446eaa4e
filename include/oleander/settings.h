// The settings file of one host: strict JSON, read at start. Values that are the same for all hosts and can
// change at run time belong to the policy instead (policy.h).
#ifndef OLEANDER_SETTINGS_H_
#define OLEANDER_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "oleander/errors.h"
#include "oleander/types.h"

namespace oleander {

struct Credential {
  std::string name;   //
  std::string token;  // at least 8 characters
};

struct HostSettings {
  HostId id;            // "host.id"
  ZoneId zone;          // "host.zone"
  std::string address;  // "host.address": IP address to listen on; other hosts connect to it
  int caller_port = 0;  // "host.caller_port": HTTP for callers and operators
  int peer_port = 0;    // "host.peer_port": nghttp2 for other hosts
};

struct Settings {
  HostSettings host;                       //
  std::vector<Endpoint> seeds;             // "seeds": peer endpoints to contact at start; may be empty
  std::string table_url;                   // "platform.table_url"
  std::string object_url;                  // "platform.object_url"
  std::string object_bucket = "oleander";  // "platform.object_bucket"
  std::string list_url;                    // "platform.list_url"
  int platform_deadline_ms = 1000;         // "platform.deadline_ms": timeout of one call in ms; 1 to 60000
  std::vector<Credential> callers;         // "credentials.callers"
  std::vector<Credential> operators;       // "credentials.operators"
  std::string host_secret;                 // "credentials.host_secret": at least 8 characters
  int caller_threads = 256;               // "limits.caller_threads": concurrent caller connections; 4 to 4096
  std::int64_t max_body_bytes = 1 << 20;  // "limits.max_body_bytes": largest request body; 1024 to 1073741824
  int read_timeout_ms = 10000;            // "limits.read_timeout_ms": ms to receive a request; 1 to 600000
  int generation_threads = 256;    // "limits.generation_threads": generations of jobs held here; 1 to 4096
  int lease_lifetime_ms = 10000;   // "timing.lease_lifetime_ms": ms; 500 to 600000
  int gossip_period_ms = 1000;     // "timing.gossip_period_ms": ms between two pings; 20 to 60000
  int suspicion_ms = 3000;         // "timing.suspicion_ms": ms from suspect to dead; 50 to 600000
  int drain_deadline_ms = 600000;  // "timing.drain_deadline_ms": ms until a shutdown cuts off requests
  std::string log_level = "info";  // "log.level": info, warning or error
};

// Errors: kInvalidRequest; the detail lists every invalid key as "path: found X, expected Y", one per line.
leaf::result<Settings> ParseSettings(const std::string& text);
leaf::result<Settings> LoadSettings(const std::string& path);

}  // namespace oleander

#endif  // OLEANDER_SETTINGS_H_
