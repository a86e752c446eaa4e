// The configuration document: default policy and exceptions under one version number.
//
// A change is accepted once it is committed to the table. A host never replaces its document by a lower
// version.
#ifndef OLEANDER_CONFIG_H_
#define OLEANDER_CONFIG_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "oleander/platform.h"
#include "oleander/policy.h"

namespace oleander {

inline constexpr char kConfigKey[] = "config/current";

struct ConfigDocument {
  std::int64_t version = 0;                 // 0: none yet; each accepted change adds 1
  std::string previous_hash;                // hash of the document with version - 1; detects a fork
  Policy policy;                            //
  std::vector<PolicyException> exceptions;  //
  std::string changed_by;                   // operator's name
};
Json ToJson(const ConfigDocument& document);
leaf::result<ConfigDocument> ConfigFromJson(const Json& json);
std::string HashOf(const ConfigDocument& document);

// The configuration as known to one host. Owned by the host's control thread.
struct ConfigState {
  ConfigDocument current;                          //
  absl::Time next_poll = absl::InfinitePast();     //
  absl::Time last_poll = absl::InfinitePast();     //
  absl::Time confirmed_at = absl::InfinitePast();  // last table read, here or at a peer, that confirmed it
  std::int64_t reversions_refused = 0;             // table reads that showed a lower version
  std::int64_t forks_seen = 0;  // documents of this or the next version that conflict with `current`
};

enum class ConfigUpdate { kUnchanged, kNewer, kLowerRefused, kForked };

// Replaces the current document by `document` if that is newer. Returns kForked for a document with the same
// version and another hash, which replaces the current one only if it was read from the table.
ConfigUpdate ApplyConfig(ConfigState& state, const ConfigDocument& document, bool from_table, absl::Time now);

// Poll interval of one host: at least 1 s, and long enough that all hosts together make at most 20 reads/s.
absl::Duration ConfigPollInterval(int hosts);

// Reads the table if a poll is due and applies the document with ApplyConfig. If the table shows a lower
// version (restored from a backup), writes the current document back. Never blocks longer than the port's
// deadline.
ConfigUpdate PollConfig(ConfigState& state, const TablePort& table, int hosts, absl::Time now,
                        std::mt19937_64& random);

// Handles a peer's report that it has `version`, confirmed by a table read at `table_read_at`. If the peer's
// version is newer, brings the next poll forward and returns true.
bool HandlePeerVersion(ConfigState& state, std::int64_t version, absl::Time table_read_at, absl::Time now,
                       std::mt19937_64& random);

// False if neither this host nor a peer has confirmed the document by a table read in the last 4 s. Responses
// are then marked "unconfirmed".
bool ConfigConfirmed(const ConfigState& state, absl::Time now);

// Replaces policy and exceptions by compare-and-set on `expected_version`. Exceptions without an id get one.
// `known` is this host's current document. While the table shows a lower version (restored from a backup),
// changes fail with kConflict, because the restored document is about to be replaced. Errors: kConflict (the
// detail holds the conflicting document as JSON), kInvalidRequest, kReasonRequired, kStoreUnavailable (the
// outcome is unknown; retry with the same write id).
struct ConfigChange {
  std::int64_t expected_version = 0;        //
  Policy policy;                            //
  std::vector<PolicyException> exceptions;  //
  std::string changed_by;                   //
  std::string write_id;                     //
};
leaf::result<ConfigDocument> ProposeConfig(const TablePort& table, const ConfigChange& change,
                                           const ConfigDocument* known = nullptr);

}  // namespace oleander

#endif  // OLEANDER_CONFIG_H_
