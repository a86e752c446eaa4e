#include "serving/workspaces.h"

#include <array>
#include <random>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "absl/strings/str_cat.h"
#include "serving/text.h"

namespace oleander::serving {
namespace {

// Requests that are accepted just before the bound still need their way to the upstream.
constexpr absl::Duration kRevocationMargin = absl::Seconds(1);

using Secret = std::array<unsigned char, XXH3_SECRET_DEFAULT_SIZE>;

Secret DrawSecret() {
  std::random_device random;
  Secret secret;
  for (unsigned char& it : secret) it = static_cast<unsigned char>(random());
  return secret;
}

// Percent-encodes everything that could be mistaken for the separator of a scoped id.
std::string EscapeName(std::string_view name) {
  std::string escaped;
  for (const char it : name) {
    const unsigned char byte = static_cast<unsigned char>(it);
    if (it == '/' || it == '%' || byte < 0x21 || byte > 0x7e) {
      absl::StrAppend(&escaped, "%", absl::Hex(byte, absl::kZeroPad2));
    } else {
      escaped.push_back(it);
    }
  }
  return escaped;
}

const Workspace* FindWorkspace(const Policy& policy, const WorkspaceIndex& index, std::string_view name) {
  const auto it = index.by_name.find(name);
  return it == index.by_name.end() ? nullptr : &policy.workspaces[it->second];
}

}  // namespace

KeyDigest DigestOfKey(std::string_view key) {
  static const Secret secret = DrawSecret();
  const XXH128_hash_t hash = XXH3_128bits_withSecret(key.data(), key.size(), secret.data(), secret.size());
  return {hash.high64, hash.low64};
}

WorkspaceIndex IndexWorkspaces(const std::vector<Workspace>& workspaces) {
  WorkspaceIndex index;
  std::size_t keys = 0;
  for (const Workspace& it : workspaces) keys += it.keys.size();
  index.by_key.reserve(keys);
  for (std::uint32_t n = 0; n < workspaces.size(); ++n) {
    index.by_name.try_emplace(workspaces[n].name, n);
    for (const KeyDigest& key : workspaces[n].keys) index.by_key.try_emplace(key, n);
  }
  return index;
}

std::string_view NameOf(KeyVerdict verdict) {
  switch (verdict) {
    case KeyVerdict::kNotRequired:
      return "not_required";
    case KeyVerdict::kValid:
      return "valid";
    case KeyVerdict::kMissing:
      return "missing";
    case KeyVerdict::kMalformed:
      return "malformed";
    case KeyVerdict::kUnknown:
      return "unknown";
  }
  return "";
}

Authentication Authenticate(const Policy& policy, const WorkspaceIndex& index, const Headers& headers,
                            std::string_view header, bool public_access) {
  Authentication result;
  if (!policy.has_workspaces) return result;
  const std::string* key = nullptr;
  int sent = 0;
  for (const HeaderField& it : headers) {
    if (!EqualsIgnoreCase(it.name, header)) continue;
    key = &it.value;
    ++sent;
  }
  if (sent == 0) {
    result.verdict = KeyVerdict::kMissing;
  } else if (sent > 1 || key->empty() || key->size() > kMaxKeyBytes) {
    result.verdict = KeyVerdict::kMalformed;
  } else {
    const auto it = index.by_key.find(DigestOfKey(*key));
    result.verdict = it == index.by_key.end() ? KeyVerdict::kUnknown : KeyVerdict::kValid;
    if (it != index.by_key.end()) result.workspace = policy.workspaces[it->second].name;
  }
  if (public_access && IsRefused(result.verdict)) {
    result.verdict = KeyVerdict::kNotRequired;
    result.workspace = "";
  }
  return result;
}

KeyKnowledge KnowledgeOfKeys(const RevocationRule& rule, absl::Time confirmed_at, bool store_answers,
                             absl::Time now) {
  if (rule.strict && now - confirmed_at >= rule.bound - kRevocationMargin) return KeyKnowledge::kTooOld;
  return store_answers ? KeyKnowledge::kCurrent : KeyKnowledge::kOld;
}

int PriorityOf(const Policy& policy, const WorkspaceIndex& index, const std::optional<std::string>& workspace,
               const Route& route) {
  const Workspace* const found = workspace ? FindWorkspace(policy, index, *workspace) : nullptr;
  return found == nullptr ? route.priority : found->priority.value_or(route.priority);
}

std::string ScopedJobId(const std::optional<std::string>& workspace, std::string_view job) {
  return absl::StrCat(WorkspacePrefix(workspace), ToAbslView(job));
}

std::string WorkspacePrefix(const std::optional<std::string>& workspace) {
  return workspace ? absl::StrCat(EscapeName(*workspace), "/") : "";
}

}  // namespace oleander::serving
