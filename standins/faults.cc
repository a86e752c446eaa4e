#include "standins/faults.h"

#include <array>

#include "absl/strings/str_cat.h"

namespace oleander::standins {
namespace {

constexpr std::array<std::string_view, kFaultKindCount> kNames = {
    "down",     "slow_ms",  "lose_answer",      "stale_read", "crash",      "slow_factor", "truncate",
    "too_long", "wrong_id", "close_mid_answer", "swap_fails", "no_version", "leaving"};

std::optional<double> ReadFault(Faults& faults, FaultKind kind, absl::Time now, bool consume) {
  absl::MutexLock lock(&faults.mutex);
  const auto it = faults.active.find(kind);
  if (it == faults.active.end()) return std::nullopt;
  if (now >= it->second.until) {
    faults.active.erase(it);
    return std::nullopt;
  }
  const double value = it->second.value;
  if (consume && it->second.count > 0 && --it->second.count == 0) faults.active.erase(it);
  return value;
}

}  // namespace

std::string_view NameOf(FaultKind kind) { return kNames[static_cast<int>(kind)]; }

leaf::result<FaultCommand> FaultCommandFromJson(const Json& json, absl::Time now) {
  try {
    const std::string name = json.at("kind").get<std::string>();
    FaultCommand command;
    int index = 0;
    while (index < kFaultKindCount && kNames[index] != name) ++index;
    if (index == kFaultKindCount) {
      return Fail(ErrorKind::kInvalidRequest, absl::StrCat("kind: unknown fault ", name));
    }
    command.kind = static_cast<FaultKind>(index);
    command.off = json.value("off", false);
    command.fault.value = json.value("value", 1.0);
    command.fault.count = json.value("count", 0);
    const std::int64_t duration_ms = json.value("duration_ms", std::int64_t{0});
    if (duration_ms > 0) command.fault.until = now + absl::Milliseconds(duration_ms);
    return command;
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kInvalidRequest, absl::StrCat("fault: ", ex.what()));
  }
}

void ApplyFault(Faults& faults, const FaultCommand& command) {
  absl::MutexLock lock(&faults.mutex);
  if (command.off) {
    faults.active.erase(command.kind);
  } else {
    faults.active[command.kind] = command.fault;
  }
}

std::optional<double> ConsumeFault(Faults& faults, FaultKind kind, absl::Time now) {
  return ReadFault(faults, kind, now, true);
}

std::optional<double> PeekFault(Faults& faults, FaultKind kind, absl::Time now) {
  return ReadFault(faults, kind, now, false);
}

absl::Time FaultEnd(Faults& faults, FaultKind kind) {
  absl::MutexLock lock(&faults.mutex);
  const auto it = faults.active.find(kind);
  return it == faults.active.end() ? absl::InfinitePast() : it->second.until;
}

}  // namespace oleander::standins
