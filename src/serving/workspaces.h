// Workspaces and their API keys: who sent a request, and what belongs to whom. Design:
// docs/design/workspaces.md.
#ifndef OLEANDER_SRC_SERVING_WORKSPACES_H_
#define OLEANDER_SRC_SERVING_WORKSPACES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "oleander/serving.h"

namespace oleander::serving {

inline constexpr std::size_t kMaxKeyBytes = 256;  // longer keys are refused unread

// Digest of a key, different in each process, so that callers can neither compute digests nor learn from the
// time of a lookup how much of a key is right. Never stored or logged.
KeyDigest DigestOfKey(std::string_view key);

struct KeyDigestHash {
  std::size_t operator()(const KeyDigest& digest) const { return static_cast<std::size_t>(digest.low); }
};
// Index of a policy's workspaces, by key and by name. Holds positions, so it is valid for that policy only.
struct WorkspaceIndex {
  absl::flat_hash_map<KeyDigest, std::uint32_t, KeyDigestHash> by_key;
  std::map<std::string, std::uint32_t, std::less<>> by_name;
};
// If two workspaces list the same key or name, the first one has it.
WorkspaceIndex IndexWorkspaces(const std::vector<Workspace>& workspaces);

enum class KeyVerdict {
  kNotRequired,  // no workspaces in force, or no valid key on a public route
  kValid,        //
  kMissing,      //
  kMalformed,    // empty, longer than kMaxKeyBytes, or sent more than once
  kUnknown,      // of no workspace in force
};
std::string_view NameOf(KeyVerdict verdict);
inline bool IsRefused(KeyVerdict verdict) { return verdict >= KeyVerdict::kMissing; }

struct Authentication {
  KeyVerdict verdict = KeyVerdict::kNotRequired;
  // As UpstreamCall::workspace.
  std::optional<std::string> workspace;
};
// `header`: name of the header that carries the key. `public_access`: the request needs no key.
Authentication Authenticate(const Policy& policy, const WorkspaceIndex& index, const Headers& headers,
                            std::string_view header, bool public_access);

// How much this host knows about keys.
enum class KeyKnowledge {
  kCurrent,  // the store has confirmed the policy lately
  kOld,      // it has not: keys may have been added since, so unknown ones are not refused for good
  kTooOld,   // strict revocation: keys may have been taken away, so known ones are not accepted either
};
struct RevocationRule {
  bool strict = false;   // hosts without news refuse keys that may have been taken away
  absl::Duration bound;  // from taking a key away until no host accepts it; used if `strict`
};
// `confirmed_at`: as Feed::PolicyConfirmedAt. `store_answers`: the store has answered this host lately.
KeyKnowledge KnowledgeOfKeys(const RevocationRule& rule, absl::Time confirmed_at, bool store_answers,
                             absl::Time now);

// The priority of a request: that of its workspace, or else of its route. 0 is the highest.
int PriorityOf(const Policy& policy, const WorkspaceIndex& index, const std::optional<std::string>& workspace,
               const Route& route);

// Key of a job in the store. Jobs of different workspaces never share one, so a host that looks below the
// workspace of its caller cannot find another's.
std::string ScopedJobId(const std::optional<std::string>& workspace, std::string_view job);
// Prefix of a partition that holds what only one workspace may use.
std::string WorkspacePrefix(const std::optional<std::string>& workspace);

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_WORKSPACES_H_
