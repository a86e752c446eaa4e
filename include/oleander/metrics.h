// Counters by reason, gauges and latency histograms (Boost.Histogram), exposed in the Prometheus text format.
#ifndef OLEANDER_METRICS_H_
#define OLEANDER_METRICS_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "oleander/errors.h"
#include "oleander/types.h"

namespace oleander {

// Reasons for sending the same work again.
enum class RetryReason {
  kUpstreamRefused,
  kUpstreamFailed,
  kUpstreamTimeout,
  kUpstreamProtocol,
  kPeerUnreachable,
  kHedge,
  kStaleSample,
  kUnlabelledSample,
  kScoringFailed,
  kBudgetExhausted,  // a retry was needed but the retry budget did not allow it
};
inline constexpr int kRetryReasonCount = 10;
std::string_view NameOf(RetryReason reason);

enum class LatencyKind {
  kLookup,
  kReceipt,
  kInteractive,
  kFirstToken,
  kBatchWait,
  kTableCommit,
  kPeerCall,
  kScoring  // from the complete text to its score
};
inline constexpr int kLatencyKindCount = 8;
std::string_view NameOf(LatencyKind kind);

enum class Gauge {
  kStreams,
  kQueued,
  kMembersAlive,
  kConfigVersion,
  kConfigUnconfirmed,
  kJobsHeld,
  kZoneCutOff,
  kStoreDown,
  kCallerConnections,
  kHeldRequestBytes,
  kHeldAnswerBytes,
  kHeldJobBytes
};
inline constexpr int kGaugeCount = 12;
std::string_view NameOf(Gauge gauge);

// Process-wide. All functions may be called from any thread. Only AddCounter and ExposeText take a lock.
struct Metrics;
Metrics& GlobalMetrics();
void CountRefusal(Metrics& metrics, ErrorKind kind);
void CountRetry(Metrics& metrics, RetryReason reason);
void CountLatency(Metrics& metrics, LatencyKind kind, absl::Duration latency);
void SetGauge(Metrics& metrics, Gauge gauge, std::int64_t value);
// Adds to a counter that another module defines (jobs, membership), for example "samples_dropped". `label` is
// the value of its label "reason".
void AddCounter(Metrics& metrics, std::string_view name, std::string_view label, std::int64_t n = 1);
std::int64_t RefusalCount(const Metrics& metrics, ErrorKind kind);
std::int64_t RetryCount(const Metrics& metrics, RetryReason reason);
std::string ExposeText(const Metrics& metrics);

}  // namespace oleander

#endif  // OLEANDER_METRICS_H_
