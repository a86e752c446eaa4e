#include "oleander/settings.h"

#include <arpa/inet.h>

#include <fstream>
#include <iterator>
#include <set>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "contracts/strict_json.h"

namespace oleander {
namespace {

constexpr std::size_t kMinSecretBytes = 8;
constexpr std::size_t kMaxIdBytes = 64;
constexpr int kMaxPort = 65535;
constexpr std::int64_t kMaxSettingsBytes = 1 << 20;

bool IsIpAddress(const std::string& address) {
  in6_addr buf;
  return inet_pton(AF_INET, address.c_str(), &buf) == 1 || inet_pton(AF_INET6, address.c_str(), &buf) == 1;
}

// Ids are parts of table keys and tickets, which use "/" and "." as separators.
bool IsId(const std::string& id) {
  for (const char it : id) {
    const bool allowed = (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9') ||
                         it == '-' || it == '_';
    if (!allowed) return false;
  }
  return !id.empty() && id.size() <= kMaxIdBytes;
}

void ReadId(ObjectReader& reader, const std::string& key, std::string& value) {
  const std::string expected = "1 to 64 characters of A-Z, a-z, 0-9, - and _";
  const Json* json = reader.Find(key, expected, Presence::kRequired);
  if (json == nullptr) return;
  const std::string* text = json->get_ptr<const std::string*>();
  if (text == nullptr || !IsId(*text)) {
    reader.Problem(key, DescribeJson(*json), expected);
    return;
  }
  value = *text;
}

void ReadAddress(ObjectReader& reader, const std::string& key, std::string& value) {
  const Json* json = reader.Find(key, "an IP address", Presence::kRequired);
  if (json == nullptr) return;
  const std::string* text = json->get_ptr<const std::string*>();
  if (text == nullptr || !IsIpAddress(*text)) {
    reader.Problem(key, DescribeJson(*json), "an IP address");
    return;
  }
  value = *text;
}

void ReadUrl(ObjectReader& reader, const std::string& key, std::string& value) {
  const std::string expected = "a URL that starts with http://";
  const Json* json = reader.Find(key, expected, Presence::kRequired);
  if (json == nullptr) return;
  const std::string* text = json->get_ptr<const std::string*>();
  if (text == nullptr || !absl::StartsWith(*text, "http://") || text->size() <= 7) {
    reader.Problem(key, DescribeJson(*json), expected);
    return;
  }
  value = *text;
}

// Calls `fn` with a reader for the section. An absent optional section is read as an empty object.
template <class F>
void ReadSection(ObjectReader& top, const std::string& key, Presence presence,
                 std::vector<std::string>& problems, F&& fn) {
  static const Json empty_object = Json::object();
  const Json* json = top.Find(key, "an object", presence);
  if (json == nullptr && presence == Presence::kRequired) return;
  ObjectReader reader(json == nullptr ? empty_object : *json, key, problems);
  fn(reader);
  reader.Finish();
}

// Calls `fn` with a reader for each element of an array of objects.
template <class F>
void ReadArray(ObjectReader& parent, const std::string& key, std::vector<std::string>& problems, F&& fn) {
  const Json* json = parent.Find(key, "an array");
  if (json == nullptr) return;
  if (!json->is_array()) {
    parent.Problem(key, DescribeJson(*json), "an array");
    return;
  }
  for (std::size_t it = 0; it < json->size(); ++it) {
    ObjectReader reader((*json)[it], absl::StrCat(parent.PathOf(key), "[", it, "]"), problems);
    fn(reader);
    reader.Finish();
  }
}

// Tokens must be unique: with a token that two credentials share, the sender of a request would be ambiguous.
void ReadCredentials(ObjectReader& parent, const std::string& key, std::vector<Credential>& credentials,
                     std::set<std::string>& tokens, std::vector<std::string>& problems) {
  std::set<std::string> names;
  ReadArray(parent, key, problems, [&](ObjectReader& reader) {
    Credential credential;
    ReadId(reader, "name", credential.name);
    reader.ReadSecret("token", credential.token, kMinSecretBytes);
    if (!credential.name.empty() && !names.insert(credential.name).second)
      reader.Problem("name", DescribeJson(credential.name), "a unique name");
    if (!credential.token.empty() && !tokens.insert(credential.token).second)
      reader.Problem("token", "the token of another credential", "a unique token");
    credentials.push_back(credential);
  });
}

void ReadHost(ObjectReader& reader, HostSettings& host) {
  ReadId(reader, "id", host.id);
  ReadId(reader, "zone", host.zone);
  ReadAddress(reader, "address", host.address);
  reader.Read("caller_port", host.caller_port, 1, kMaxPort, Presence::kRequired);
  reader.Read("peer_port", host.peer_port, 1, kMaxPort, Presence::kRequired);
  if (host.caller_port != 0 && host.caller_port == host.peer_port)
    reader.Problem("peer_port", absl::StrCat(host.peer_port), "a port other than caller_port");
}

void ReadTop(const Json& json, Settings& settings, std::vector<std::string>& problems) {
  ObjectReader top(json, "", problems);
  if (!json.is_object()) return;
  const Presence required = Presence::kRequired;
  ReadSection(top, "host", required, problems, [&](ObjectReader& it) { ReadHost(it, settings.host); });
  ReadArray(top, "seeds", problems, [&](ObjectReader& reader) {
    Endpoint endpoint;
    ReadAddress(reader, "address", endpoint.address);
    reader.Read("port", endpoint.port, 1, kMaxPort, Presence::kRequired);
    settings.seeds.push_back(endpoint);
  });
  ReadSection(top, "platform", required, problems, [&](ObjectReader& it) {
    ReadUrl(it, "table_url", settings.table_url);
    ReadUrl(it, "object_url", settings.object_url);
    it.Read("object_bucket", settings.object_bucket, 1, kMaxIdBytes);
    ReadUrl(it, "list_url", settings.list_url);
    it.Read("deadline_ms", settings.platform_deadline_ms, 1, 60000);
  });
  ReadSection(top, "credentials", required, problems, [&](ObjectReader& it) {
    std::set<std::string> tokens;
    ReadCredentials(it, "callers", settings.callers, tokens, problems);
    ReadCredentials(it, "operators", settings.operators, tokens, problems);
    it.ReadSecret("host_secret", settings.host_secret, kMinSecretBytes);
    if (tokens.count(settings.host_secret) != 0)
      it.Problem("host_secret", "the token of a caller or operator", "a secret that is not also a token");
  });
  ReadSection(top, "limits", Presence::kOptional, problems, [&](ObjectReader& it) {
    it.Read("caller_threads", settings.caller_threads, 4, 4096);
    it.Read("max_body_bytes", settings.max_body_bytes, 1024, 1 << 30);
    it.Read("read_timeout_ms", settings.read_timeout_ms, 1, 600000);
    it.Read("generation_threads", settings.generation_threads, 1, 4096);
  });
  ReadSection(top, "timing", Presence::kOptional, problems, [&](ObjectReader& it) {
    it.Read("lease_lifetime_ms", settings.lease_lifetime_ms, 500, 600000);
    it.Read("gossip_period_ms", settings.gossip_period_ms, 20, 60000);
    it.Read("suspicion_ms", settings.suspicion_ms, 50, 600000);
    it.Read("drain_deadline_ms", settings.drain_deadline_ms, 0, 86400000);
  });
  ReadSection(top, "log", Presence::kOptional, problems, [&](ObjectReader& it) {
    it.Read("level", settings.log_level);
    const std::string& level = settings.log_level;
    if (level != "info" && level != "warning" && level != "error")
      it.Problem("level", DescribeJson(level), "\"info\", \"warning\" or \"error\"");
  });
  top.Finish();
}

}  // namespace

leaf::result<Settings> ParseSettings(const std::string& text) {
  BOOST_LEAF_AUTO(json, ParseJson(text, ErrorKind::kInvalidRequest));
  Settings settings;
  std::vector<std::string> problems;
  ReadTop(json, settings, problems);
  if (!problems.empty()) return Fail(ErrorKind::kInvalidRequest, absl::StrJoin(problems, "\n"));
  return settings;
}

leaf::result<Settings> LoadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return Fail(ErrorKind::kInvalidRequest, absl::StrCat("settings file ", path, " cannot be read"));
  std::string text(std::istreambuf_iterator<char>(file), {});
  if (static_cast<std::int64_t>(text.size()) > kMaxSettingsBytes) {
    return Fail(ErrorKind::kInvalidRequest, absl::StrCat("settings file ", path, ": found ", text.size(),
                                                         " bytes, expected at most ", kMaxSettingsBytes));
  }
  return ParseSettings(text);
}

}  // namespace oleander
