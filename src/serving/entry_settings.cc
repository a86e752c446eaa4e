#include "oleander/entry_settings.h"

#include <fstream>
#include <iterator>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "contracts/strict_json.h"
#include "serving/http_address.h"

namespace oleander {
namespace {

constexpr std::size_t kMaxTextBytes = 200;
constexpr int kMaxPort = 65535;
constexpr double kMaxSeconds = 600;
constexpr double kMaxCores = 1024;
constexpr double kMaxCallsPerSecond = 1e6;
constexpr absl::Duration kMinUsageWindow = absl::Seconds(1);  // hosts flush their counts several times in one

void ReadAddress(ObjectReader& reader, const std::string& key, std::string& value) {
  const std::size_t old_size = value.size();
  reader.Read(key, value, 1, kMaxTextBytes, Presence::kRequired);
  if (value.size() != old_size && !serving::ParseAddress(value))
    reader.Problem(key, value, "an IP address and a port, such as 127.0.0.1:8080");
}

void ReadSeconds(ObjectReader& reader, const std::string& key, absl::Duration& value, double unit_s,
                 Presence presence = Presence::kRequired) {
  double number = absl::ToDoubleSeconds(value) / unit_s;
  reader.Read(key, number, 0, kMaxSeconds / unit_s, true, presence);
  value = absl::Seconds(number * unit_s);
}

DutySettings ReadDuties(const Json& json, std::vector<std::string>& problems) {
  DutySettings duties;
  ObjectReader reader(json, "duties", problems);
  ReadAddress(reader, "address", duties.address);
  reader.Read("max_calls_per_s", duties.max_calls_per_s, 0, kMaxCallsPerSecond, true);
  if (const Json* names = reader.Find("names", "an array of texts", Presence::kRequired)) {
    if (!names->is_array()) reader.Problem("names", DescribeJson(*names), "an array of texts");
    // Names of duties that this program does not know are ignored: they are other programs' to perform.
    for (const Json& it : *names) {
      duties.reports_usage = duties.reports_usage || it == "usage";
      duties.orders_capacity = duties.orders_capacity || it == "scale";
    }
  }
  ReadSeconds(reader, "usage_window_s", duties.usage_window, 1, Presence::kOptional);
  ReadSeconds(reader, "usage_due_s", duties.usage_due, 1, Presence::kOptional);
  if (duties.reports_usage && duties.usage_window < kMinUsageWindow)
    reader.Problem("usage_window_s", absl::StrCat(absl::ToDoubleSeconds(duties.usage_window)), "at least 1");
  reader.Finish();
  return duties;
}

}  // namespace

leaf::result<EntrySettings> ParseEntrySettings(const std::string& text) {
  BOOST_LEAF_AUTO(json, ParseJson(text, ErrorKind::kInvalidRequest));
  EntrySettings settings;
  std::vector<std::string> problems;
  ObjectReader reader(json, "", problems);
  reader.Read("host", settings.host, 1, kMaxTextBytes, Presence::kRequired);
  reader.Read("zone", settings.zone, 1, kMaxTextBytes, Presence::kRequired);
  if (const Json* listen = reader.Find("listen", "an object", Presence::kRequired)) {
    ObjectReader part(*listen, "listen", problems);
    ReadAddress(part, "callers", settings.listen_callers);
    ReadAddress(part, "readiness", settings.listen_readiness);
    part.Read("metrics_port", settings.metrics_port, 0, kMaxPort);
    part.Finish();
  }
  if (const Json* store = reader.Find("store", "an object", Presence::kRequired)) {
    ObjectReader part(*store, "store", problems);
    ReadAddress(part, "address", settings.store_address);
    part.Read("max_row_bytes", settings.max_row_bytes, 1024, 16 << 20);
    part.Read("max_object_bytes", settings.max_object_bytes, 1024, 1 << 30);
    part.Finish();
  }
  if (const Json* limits = reader.Find("limits", "an object")) {
    ObjectReader part(*limits, "limits", problems);
    part.Read("memory_mb", settings.memory_mb, 16, 1 << 20);
    part.Read("descriptors", settings.descriptors, 64, 1 << 24);
    part.Read("processor_share", settings.processor_share, 0, kMaxCores, true);
    part.Finish();
  }
  ReadSeconds(reader, "shutdown_grace_s", settings.shutdown_grace, 1);
  ReadSeconds(reader, "order_hand_over_ms", settings.order_hand_over, 0.001);
  if (const Json* revocation = reader.Find("revocation", "an object")) {
    ObjectReader part(*revocation, "revocation", problems);
    part.Read("strict", settings.strict_revocation);
    ReadSeconds(part, "bound_ms", settings.revocation_bound, 0.001, Presence::kOptional);
    part.Finish();
  }
  if (const Json* duties = reader.Find("duties", "an object"))
    settings.duties = ReadDuties(*duties, problems);
  reader.Read("log_level", settings.log_level);
  if (settings.log_level != "info" && settings.log_level != "warning" && settings.log_level != "error") {
    reader.Problem("log_level", settings.log_level, "info, warning or error");
  }
  reader.Finish();
  if (!problems.empty()) return Fail(ErrorKind::kInvalidRequest, absl::StrJoin(problems, "\n"));
  return settings;
}

leaf::result<EntrySettings> LoadEntrySettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return Fail(ErrorKind::kNotFound, path + ": cannot be read");
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  return ParseEntrySettings(text);
}

}  // namespace oleander
