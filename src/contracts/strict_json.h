// Strict readers for untrusted JSON text, MessagePack and JSON objects.
//
// ParseJson and ParseMessagePack limit the nesting depth and reject duplicate keys, because nlohmann-json
// recurses without a limit on MessagePack and keeps the last of two equal keys. ObjectReader reports all
// problems of an object as "path: found X, expected Y".
#ifndef OLEANDER_CONTRACTS_STRICT_JSON_H_
#define OLEANDER_CONTRACTS_STRICT_JSON_H_

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "oleander/errors.h"
#include "oleander/types.h"

namespace oleander {

inline constexpr int kMaxJsonDepth = 32;  // levels of nested objects and arrays

// Errors: `kind`, with the position of the syntax error, the duplicate key or the depth limit.
leaf::result<Json> ParseJson(std::string_view text, ErrorKind kind, int max_depth = kMaxJsonDepth);
leaf::result<Json> ParseMessagePack(std::string_view bytes, ErrorKind kind, int max_depth = kMaxJsonDepth);

// Short description for error messages. Never includes the content of objects and arrays.
std::string DescribeJson(const Json& json);
// For credentials: includes only the type or the length.
std::string DescribeSecret(const Json& json);

// Returns nullopt unless `json` is an integer that fits into 64 bits with sign.
std::optional<std::int64_t> IntegerOf(const Json& json);

enum class Presence { kOptional, kRequired };

// Reads the members of one object and appends a problem for each member that is missing, of a wrong type or
// out of range. Finish() reports unknown keys: members that no Read or Find asked for.
class ObjectReader {
 public:
  // `path` is empty for the top-level object. If `json` is not an object, reports that and reads it as empty.
  ObjectReader(const Json& json, std::string path, std::vector<std::string>& problems);

  void Read(const std::string& key, std::int64_t& value, std::int64_t low, std::int64_t high,
            Presence presence = Presence::kOptional);
  void Read(const std::string& key, int& value, int low, int high, Presence presence = Presence::kOptional);
  // If `exclusive_low` is set, `low` itself is not allowed.
  void Read(const std::string& key, double& value, double low, double high, bool exclusive_low,
            Presence presence = Presence::kOptional);
  void Read(const std::string& key, bool& value, Presence presence = Presence::kOptional);
  void Read(const std::string& key, std::string& value, std::size_t low = 0,
            std::size_t high = std::numeric_limits<std::size_t>::max(),
            Presence presence = Presence::kOptional);
  void ReadSecret(const std::string& key, std::string& value, std::size_t low);
  // Returns the member, or nullptr if it is missing. `expected` is the text for the report of a missing
  // required one.
  const Json* Find(const std::string& key, const std::string& expected,
                   Presence presence = Presence::kOptional);
  void Problem(const std::string& key, const std::string& found, const std::string& expected);
  std::string PathOf(const std::string& key) const;
  void Finish();

 private:
  const Json& json_;
  std::string path_;
  std::vector<std::string>& problems_;
  std::set<std::string> known_;
  bool is_object_;
};

}  // namespace oleander

#endif  // OLEANDER_CONTRACTS_STRICT_JSON_H_
