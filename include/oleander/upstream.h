// Interfaces to upstreams: model engines and plain services.
#ifndef OLEANDER_UPSTREAM_H_
#define OLEANDER_UPSTREAM_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "oleander/errors.h"
#include "oleander/types.h"

namespace oleander {

// ---- Generation

struct GenerateRequest {
  std::string request_id;                      // unique; the engine returns it in every event
  PoolId model;                                //
  std::string prompt;                          //
  std::vector<std::int32_t> resume_tokens;     // tokens received in earlier attempts
  int max_tokens = 256;                        // of the whole output, including resume_tokens
  int slice_tokens = 0;                        // stop after this many new tokens; 0: no limit
  std::uint64_t seed = 0;                      //
  WorkClass work_class = WorkClass::kRollout;  //
  JobId job;                                   // empty for interactive work; key for fair queueing
  std::int64_t step = 0;                       // lower steps of a job run first
  int expected_tokens = 0;                     // remaining tokens; 0: unknown
  absl::Duration queue_deadline = absl::InfiniteDuration();  // refused if not sent to the engine by then
};

struct GenerateChunk {
  std::vector<std::int32_t> tokens;           //
  Version version = 0;                        // weights that produced these tokens; 0: not reported
  FinishReason finish = FinishReason::kNone;  // set in the last chunk
};

// Called for each chunk in order. Returns false to cancel the generation.
using ChunkSink = std::function<bool(const GenerateChunk&)>;

struct EngineLoad {
  int running = 0;      // requests
  int waiting = 0;      // requests
  Version version = 0;  // active weights
  absl::Time as_of;     // time of the report, by the engine's clock
};

enum class OrderKind { kLoad, kActivate, kRole };
std::string_view NameOf(OrderKind kind);
struct EngineOrder {
  OrderKind kind = OrderKind::kLoad;  //
  PoolId model;                       //
  Version version = 0;                //
  std::int64_t fence = 0;  // fencing token; engines that check it refuse a value below the highest seen
};

// Errors of generate: kUpstreamRefused (not run), kUpstreamFailed, kUpstreamTimeout, kUpstreamProtocol.
// Errors of order: kConflict (fencing token too old), kOverloaded (weight store at its limit),
// kUpstreamFailed.
struct EnginePort {
  std::function<leaf::result<void>(const Upstream&, const GenerateRequest&, const ChunkSink&)> generate;
  std::function<leaf::result<void>(const Upstream&, const std::string& request_id)> cancel;
  std::function<leaf::result<void>(const Upstream&, const EngineOrder&)> order;
  std::function<leaf::result<EngineLoad>(const Upstream&)> load;
};
// Called when an upstream reports that it is leaving. Must not block; may be null.
using LeavingSink = std::function<void(const Upstream&)>;
EnginePort MakeEngineClient(absl::Duration connect_deadline, absl::Duration idle_deadline,
                            LeavingSink leaving = nullptr);

// ---- Plain services

struct ServiceRequest {
  std::string request_id;       // sent as Oleander-Request-Id; if the response has this header, it must match
  std::string method = "POST";  //
  std::string path = "/";       //
  std::string body;             //
  std::string content_type = "application/json";  //
  std::string idempotency_key;                    // sent as Idempotency-Key if not empty
  absl::Duration deadline = absl::Seconds(5);     //
};

struct ServiceAnswer {
  int status = 0;            // HTTP
  std::string body;          //
  std::string content_type;  //
};

// Errors: kUpstreamRefused (not run: connection refused, or 503 with Oleander-Not-Run: true),
// kUpstreamFailed, kUpstreamTimeout, kUpstreamProtocol (response truncated, too long, or with another
// request's id).
struct ServicePort {
  std::function<leaf::result<ServiceAnswer>(const Upstream&, const ServiceRequest&)> call;
};
ServicePort MakeServiceClient(absl::Duration connect_deadline, LeavingSink leaving = nullptr);

}  // namespace oleander

#endif  // OLEANDER_UPSTREAM_H_
