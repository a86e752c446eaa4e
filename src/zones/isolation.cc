#include "oleander/zones.h"

namespace oleander {
namespace {

constexpr absl::Duration kTableTimeout = absl::Seconds(4);

}  // namespace

Isolation DetectIsolation(const Membership& membership, absl::Time last_table_answer, absl::Time now) {
  bool other_zone_listed = false;
  bool other_zone_reachable = false;
  for (const auto& it : membership.members) {
    if (it.second.member.zone == membership.self.zone) continue;
    other_zone_listed = other_zone_listed || it.second.in_platform_list;
    other_zone_reachable = other_zone_reachable || it.second.member.state != MemberState::kDead;
  }
  Isolation isolation;
  isolation.other_zones_unreachable = other_zone_listed && !other_zone_reachable;
  isolation.table_unreachable = now - last_table_answer > kTableTimeout;
  return isolation;
}

leaf::result<void> CheckAllowed(const Isolation& isolation, WorkKind kind) {
  if (!isolation.table_unreachable) return {};
  switch (kind) {
    case WorkKind::kJobTakeover:
      return Fail(ErrorKind::kStoreUnavailable, "job takeover refused: no successful table call within 4 s");
    case WorkKind::kConfigChange:
      return Fail(ErrorKind::kStoreUnavailable,
                  "configuration change refused: no successful table call within 4 s");
    case WorkKind::kKeyedCall:
      return Fail(
          ErrorKind::kClaimUnavailable,
          "call with Idempotency-Key refused: it needs a claim, but no table call succeeded within 4 s");
    case WorkKind::kLookup:
    case WorkKind::kInteractiveGeneration:
    case WorkKind::kRollout:
    case WorkKind::kTicketCall:
    case WorkKind::kWeightRollout:
      break;
  }
  return {};
}

}  // namespace oleander
