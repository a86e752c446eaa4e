#include "oleander/errors.h"

#include <array>

namespace oleander {
namespace {

constexpr std::array<ErrorAnswer, kErrorKindCount> kAnswers = {{
    {ErrorKind::kInvalidRequest, "invalid_request", 400, true, false, "refused_invalid_request"},
    {ErrorKind::kUnauthenticated, "unauthenticated", 401, true, false, "refused_unauthenticated"},
    {ErrorKind::kForbidden, "forbidden", 403, true, false, "refused_forbidden"},
    {ErrorKind::kNotFound, "not_found", 404, true, false, "refused_not_found"},
    {ErrorKind::kUnknownJob, "unknown_job", 404, true, false, "refused_unknown_job"},
    {ErrorKind::kBodyTooLarge, "body_too_large", 413, true, false, "refused_body_too_large"},
    {ErrorKind::kReasonRequired, "reason_required", 400, true, false, "refused_reason_required"},
    {ErrorKind::kConflict, "conflict", 409, true, false, "refused_conflict"},
    {ErrorKind::kOverloaded, "overloaded", 503, true, true, "refused_overloaded"},
    {ErrorKind::kQueueDeadline, "queue_deadline", 503, true, true, "refused_queue_deadline"},
    {ErrorKind::kNoUpstream, "no_upstream", 503, true, true, "refused_no_upstream"},
    {ErrorKind::kZoneIsolated, "zone_isolated", 503, true, true, "refused_zone_isolated"},
    {ErrorKind::kShuttingDown, "shutting_down", 503, true, true, "refused_shutting_down"},
    {ErrorKind::kNotReady, "not_ready", 503, true, true, "refused_not_ready"},
    {ErrorKind::kStoreUnavailable, "store_unavailable", 503, true, true, "refused_store_unavailable"},
    {ErrorKind::kLeaseLost, "lease_lost", 503, true, true, "refused_lease_lost"},
    {ErrorKind::kPeerUnreachable, "peer_unreachable", 503, true, true, "refused_peer_unreachable"},
    {ErrorKind::kUpstreamRefused, "upstream_refused", 503, true, true, "refused_upstream_refused"},
    {ErrorKind::kBatchNotReady, "batch_not_ready", 503, true, true, "refused_batch_not_ready"},
    {ErrorKind::kBatchExpired, "batch_expired", 410, true, true, "refused_batch_expired"},
    {ErrorKind::kUpstreamFailed, "upstream_failed", 502, false, true, "failed_upstream_failed"},
    {ErrorKind::kUpstreamTimeout, "upstream_timeout", 504, false, true, "failed_upstream_timeout"},
    {ErrorKind::kUpstreamProtocol, "upstream_protocol", 502, false, true, "failed_upstream_protocol"},
    {ErrorKind::kPeerProtocol, "peer_protocol", 502, false, true, "failed_peer_protocol"},
    {ErrorKind::kInProgress, "in_progress", 409, false, true, "failed_in_progress"},
    {ErrorKind::kClaimUnavailable, "claim_unavailable", 503, false, true, "failed_claim_unavailable"},
    {ErrorKind::kOutcomeUnknown, "outcome_unknown", 502, false, false, "failed_outcome_unknown"},
    {ErrorKind::kInternal, "internal", 500, false, false, "failed_internal"},
}};

constexpr bool RowsMatchKindOrder() {
  for (int it = 0; it < kErrorKindCount; ++it) {
    if (kAnswers[it].kind != static_cast<ErrorKind>(it)) return false;
  }
  return true;
}
static_assert(RowsMatchKindOrder(), "the rows of kAnswers must be in the order of ErrorKind");

}  // namespace

const ErrorAnswer& DescribeError(ErrorKind kind) { return kAnswers[static_cast<int>(kind)]; }

std::optional<ErrorKind> FindErrorKind(std::string_view name) {
  for (const ErrorAnswer& it : kAnswers) {
    if (it.name == name) return it.kind;
  }
  return std::nullopt;
}

}  // namespace oleander
