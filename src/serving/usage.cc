#include "serving/usage.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "serving/decisions.h"
#include "serving/text.h"

namespace oleander::serving {
namespace {

using Json = nlohmann::json;

constexpr absl::Duration kInitialBackoff = absl::Milliseconds(200);
constexpr absl::Duration kMaxBackoff = absl::Seconds(2);
constexpr int kMaxBackoffDoublings = 5;
constexpr double kBackoffJitter = 0.5;

std::string WindowKey(std::int64_t window) { return absl::StrFormat("%012d", window); }

std::string Pack(const Json& value) {
  std::string bytes;
  Json::to_msgpack(value, bytes);
  return bytes;
}

Json Unpack(std::string_view bytes) { return Json::from_msgpack(bytes.begin(), bytes.end(), true, false); }

}  // namespace

std::int64_t UsageWindowAt(absl::Time true_time, absl::Duration length) {
  return absl::ToInt64Nanoseconds(true_time - absl::UnixEpoch()) / absl::ToInt64Nanoseconds(length);
}

absl::Time UsageWindowEnd(std::int64_t window, absl::Duration length) {
  return absl::UnixEpoch() + length * (window + 1);
}

absl::Time TrueTimeAt(const TrueClock& clock, absl::Time at, absl::Time now, absl::Time wall) {
  if (!clock.store.known || !clock.offset) return wall + (at - now);
  return absl::UnixEpoch() + StoreTimeAt(clock.store, at) + *clock.offset;
}

std::optional<absl::Duration> AgreeOnOffset(std::vector<absl::Duration> offsets) {
  if (offsets.empty()) return std::nullopt;
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

RowWrite EncodeUsageRow(const UsageRow& row, const std::string& zone) {
  return {{std::string(kUsageTable), zone, absl::StrCat(WindowKey(row.window), "/", row.incarnation)},
          Pack(Json::array({row.closed, absl::ToInt64Milliseconds(row.wall_offset), row.counts}))};
}

std::optional<UsageRow> DecodeUsageRow(const Row& row) {
  const std::size_t slash = row.id.key.find('/');
  const Json value = Unpack(row.value);
  UsageRow decoded;
  if (slash == std::string::npos || value.is_discarded() ||
      !ParseInteger(std::string_view(row.id.key).substr(0, slash), &decoded.window))
    return std::nullopt;
  try {
    decoded.incarnation = row.id.key.substr(slash + 1);
    decoded.closed = value.at(0).get<bool>();
    decoded.wall_offset = absl::Milliseconds(value.at(1).get<std::int64_t>());
    decoded.counts = value.at(2).get<UsageCounts>();
  } catch (const Json::exception&) {
    return std::nullopt;
  }
  return decoded;
}

RowRange UsageRows(const std::string& zone, std::int64_t first, std::int64_t last) {
  return {std::string(kUsageTable), zone, WindowKey(first), WindowKey(last + 1), 0};
}

RowKey UsageReportKey(std::int64_t window) {
  return {std::string(kUsageReportTable), std::string(kUsageReportPartition), WindowKey(window)};
}

std::optional<std::int64_t> UsageReportWindow(std::string_view key) {
  std::int64_t window = 0;
  return ParseInteger(key, &window) ? std::optional<std::int64_t>(window) : std::nullopt;
}

std::string EncodeUsageReport(const UsageReport& report) {
  return Pack(Json::array({report.sent, report.counts}));
}

std::optional<UsageReport> DecodeUsageReport(std::string_view value) {
  const Json json = Unpack(value);
  try {
    return UsageReport{json.at(0).get<bool>(), json.at(1).get<UsageCounts>()};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeFleetRow(const FleetRow& row) {
  return Pack(Json::array({absl::ToInt64Milliseconds(row.offset), row.hosts}));
}

std::optional<FleetRow> DecodeFleetRow(std::string_view value) {
  const Json json = Unpack(value);
  try {
    return FleetRow{absl::Milliseconds(json.at(0).get<std::int64_t>()), json.at(1).get<int>()};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

GatheredUsage GatherUsage(const std::vector<UsageRow>& rows, std::int64_t window) {
  GatheredUsage gathered;
  for (const UsageRow& it : rows) {
    if (it.window == window - 1) gathered.missing.insert(it.incarnation);
  }
  for (const UsageRow& it : rows) {
    if (it.window != window) continue;
    ++gathered.hosts;
    if (it.closed) {
      gathered.missing.erase(it.incarnation);
    } else {
      gathered.missing.insert(it.incarnation);
    }
    for (const std::pair<const std::string, std::int64_t>& count : it.counts)
      gathered.counts[count.first] += count.second;
  }
  return gathered;
}

bool ShouldReportNow(const GatheredUsage& gathered, absl::Duration since_end, const UsageSettings& settings) {
  if (since_end < settings.gathering_delay) return false;
  return gathered.missing.empty() || since_end >= settings.due - settings.sending_reserve;
}

absl::Duration DutyBackoff(int attempts, std::string_view spread) {
  const int doublings = std::min(std::max(0, attempts - 1), kMaxBackoffDoublings);
  const absl::Duration base = std::min(kMaxBackoff, kInitialBackoff * (1 << doublings));
  const double unit = static_cast<double>(HashText(absl::StrCat(attempts, ToAbslView(spread))) % 1000) / 1000;
  return base * (1 - kBackoffJitter * unit);
}

}  // namespace oleander::serving
