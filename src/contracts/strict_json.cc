#include "contracts/strict_json.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace oleander {
namespace {

constexpr std::size_t kMaxShownBytes = 60;  // of a value or key in an error message

// Builds a Json value and stops at the first duplicate key or at the depth limit.
class StrictSax {
 public:
  StrictSax(Json& root, int max_depth) : dom_(root, false), max_depth_(max_depth) {}

  // NOLINTBEGIN(readability-identifier-naming): names of nlohmann-json's SAX interface
  bool null() { return dom_.null(); }
  bool boolean(bool value) { return dom_.boolean(value); }
  bool number_integer(Json::number_integer_t value) { return dom_.number_integer(value); }
  bool number_unsigned(Json::number_unsigned_t value) { return dom_.number_unsigned(value); }
  bool number_float(Json::number_float_t value, const std::string& text) {
    return dom_.number_float(value, text);
  }
  bool string(std::string& value) { return dom_.string(value); }
  bool binary(Json::binary_t& value) { return dom_.binary(value); }
  bool start_object(std::size_t size) {
    if (!Enter()) return false;
    keys_.emplace_back();
    return dom_.start_object(size);
  }
  bool key(std::string& value) {
    if (!keys_.back().insert(value).second) {
      problem = absl::StrCat("duplicate key \"", value.substr(0, kMaxShownBytes), "\"");
      return false;
    }
    return dom_.key(value);
  }
  bool end_object() {
    --depth_;
    keys_.pop_back();
    return dom_.end_object();
  }
  bool start_array(std::size_t size) { return Enter() && dom_.start_array(size); }
  bool end_array() {
    --depth_;
    return dom_.end_array();
  }
  bool parse_error(std::size_t position, const std::string&, const Json::exception&) {
    problem = absl::StrCat("syntax error at byte ", position);
    return false;
  }

  // NOLINTEND(readability-identifier-naming)

  std::string problem;

 private:
  bool Enter() {
    if (++depth_ <= max_depth_) return true;
    problem = absl::StrCat("nested deeper than ", max_depth_, " levels");
    return false;
  }

  nlohmann::detail::json_sax_dom_parser<Json> dom_;
  std::vector<std::set<std::string>> keys_;
  int max_depth_;
  int depth_ = 0;
};

leaf::result<Json> Parse(std::string_view bytes, Json::input_format_t format, ErrorKind kind, int max_depth) {
  Json root;
  StrictSax sax(root, max_depth);
  try {
    if (Json::sax_parse(bytes.begin(), bytes.end(), &sax, format)) return root;
  } catch (const Json::exception& ex) {
    // The header of an array or object gives a length for which memory cannot be allocated.
    return Fail(kind, ex.what());
  }
  return Fail(kind, sax.problem.empty() ? "input is not well-formed" : sax.problem);
}

}  // namespace

leaf::result<Json> ParseJson(std::string_view text, ErrorKind kind, int max_depth) {
  return Parse(text, Json::input_format_t::json, kind, max_depth);
}

leaf::result<Json> ParseMessagePack(std::string_view bytes, ErrorKind kind, int max_depth) {
  return Parse(bytes, Json::input_format_t::msgpack, kind, max_depth);
}

std::string DescribeJson(const Json& json) {
  if (json.is_object()) return "an object";
  if (json.is_array()) return "an array";
  if (json.is_binary()) return "binary data";
  std::string text = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (text.size() > kMaxShownBytes) text = absl::StrCat(text.substr(0, kMaxShownBytes), "...");
  return text;
}

std::string DescribeSecret(const Json& json) {
  if (!json.is_string()) return absl::StrCat("a value of type ", json.type_name());
  return absl::StrCat("a string of ", json.get_ref<const std::string&>().size(), " characters");
}

std::optional<std::int64_t> IntegerOf(const Json& json) {
  if (!json.is_number_integer()) return std::nullopt;
  if (json.is_number_unsigned()) {
    const std::uint64_t value = json.get<std::uint64_t>();
    if (value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) return std::nullopt;
  }
  return json.get<std::int64_t>();
}

ObjectReader::ObjectReader(const Json& json, std::string path, std::vector<std::string>& problems)
    : json_(json), path_(std::move(path)), problems_(problems), is_object_(json.is_object()) {
  if (!is_object_) {
    problems_.push_back(absl::StrCat(path_.empty() ? "(top level)" : path_, ": found ", DescribeJson(json),
                                     ", expected an object"));
  }
}

std::string ObjectReader::PathOf(const std::string& key) const {
  return path_.empty() ? key : absl::StrCat(path_, ".", key);
}

void ObjectReader::Problem(const std::string& key, const std::string& found, const std::string& expected) {
  problems_.push_back(absl::StrCat(PathOf(key), ": found ", found, ", expected ", expected));
}

const Json* ObjectReader::Find(const std::string& key, const std::string& expected, Presence presence) {
  known_.insert(key);
  if (!is_object_) return nullptr;
  const auto it = json_.find(key);
  if (it != json_.end()) return &*it;
  if (presence == Presence::kRequired) Problem(key, "nothing", expected);
  return nullptr;
}

void ObjectReader::Read(const std::string& key, std::int64_t& value, std::int64_t low, std::int64_t high,
                        Presence presence) {
  const std::string expected = absl::StrCat("an integer from ", low, " to ", high);
  const Json* json = Find(key, expected, presence);
  if (json == nullptr) return;
  const std::optional<std::int64_t> number = IntegerOf(*json);
  if (!number.has_value() || *number < low || *number > high) {
    Problem(key, DescribeJson(*json), expected);
    return;
  }
  value = *number;
}

void ObjectReader::Read(const std::string& key, int& value, int low, int high, Presence presence) {
  std::int64_t wide = value;
  Read(key, wide, std::int64_t{low}, std::int64_t{high}, presence);
  value = static_cast<int>(wide);
}

void ObjectReader::Read(const std::string& key, double& value, double low, double high, bool exclusive_low,
                        Presence presence) {
  const std::string expected = exclusive_low ? absl::StrCat("a number above ", low, " and up to ", high)
                                             : absl::StrCat("a number from ", low, " to ", high);
  const Json* json = Find(key, expected, presence);
  if (json == nullptr) return;
  const double number = json->is_number() ? json->get<double>() : std::nan("");
  const bool in_range = exclusive_low ? number > low && number <= high : number >= low && number <= high;
  if (!in_range) {
    Problem(key, DescribeJson(*json), expected);
    return;
  }
  value = number;
}

void ObjectReader::Read(const std::string& key, bool& value, Presence presence) {
  const Json* json = Find(key, "true or false", presence);
  if (json == nullptr) return;
  if (!json->is_boolean()) {
    Problem(key, DescribeJson(*json), "true or false");
    return;
  }
  value = json->get<bool>();
}

void ObjectReader::Read(const std::string& key, std::string& value, std::size_t low, std::size_t high,
                        Presence presence) {
  std::string expected = "a string";
  if (low > 0) absl::StrAppend(&expected, " of at least ", low, " characters");
  if (high != std::numeric_limits<std::size_t>::max()) absl::StrAppend(&expected, " and at most ", high);
  const Json* json = Find(key, expected, presence);
  if (json == nullptr) return;
  const std::string* text = json->get_ptr<const std::string*>();
  if (text == nullptr || text->size() < low || text->size() > high) {
    Problem(key, DescribeJson(*json), expected);
    return;
  }
  value = *text;
}

void ObjectReader::ReadSecret(const std::string& key, std::string& value, std::size_t low) {
  const std::string expected = absl::StrCat("a string of at least ", low, " characters");
  const Json* json = Find(key, expected, Presence::kRequired);
  if (json == nullptr) return;
  const std::string* text = json->get_ptr<const std::string*>();
  if (text == nullptr || text->size() < low) {
    Problem(key, DescribeSecret(*json), expected);
    return;
  }
  value = *text;
}

void ObjectReader::Finish() {
  if (!is_object_) return;
  for (auto it = json_.begin(); it != json_.end(); ++it) {
    if (known_.count(it.key()) != 0) continue;
    // Does not show the value: it may be a credential under a misspelt key.
    problems_.push_back(
        absl::StrCat(PathOf(it.key().substr(0, kMaxShownBytes)), ": found an unknown key, expected ",
                     known_.empty() ? "none" : absl::StrCat("one of ", absl::StrJoin(known_, ", "))));
  }
}

}  // namespace oleander
