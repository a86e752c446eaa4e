// Client library for callers: lookups, non-idempotent calls, interactive generation, batches. Calls block and
// are thread-safe.
#ifndef OLEANDER_CLIENT_H_
#define OLEANDER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "oleander/errors.h"
#include "oleander/jobs.h"
#include "oleander/upstream.h"

namespace oleander {

struct ClientOptions {
  std::vector<Endpoint> hosts;                  // entry hosts or the load balancer; tried in turn
  std::string token;                            // caller's or operator's credential
  absl::Duration deadline = absl::Seconds(10);  // of one call including its retries
  // Called for each failed attempt, also if a later attempt succeeds. May be null.
  std::function<void(const Error&)> on_refusal;
};

// ---- Plain services
// ------------------------------------------------------------------------------------------

// Retries at the next host after a lost connection and after a refusal that is "not run" and retryable;
// returns any other error. Returns a "not run" error only if every attempt was "not run".
leaf::result<ServiceAnswer> CallService(const ClientOptions& options, const PoolId& service,
                                        const std::string& path, const std::string& body);
// All attempts use the same idempotency key, so the call runs at most once. Errors: kOutcomeUnknown and those
// of the answer.
leaf::result<ServiceAnswer> CallServiceOnce(const ClientOptions& options, const PoolId& service,
                                            const std::string& path, const std::string& body,
                                            const std::string& idempotency_key);
// Fetches tickets for non-idempotent calls during an outage of the table. Fetch them before the outage.
leaf::result<std::vector<std::string>> FetchTickets(const ClientOptions& options, const PoolId& service,
                                                    int count);
// Like CallServiceOnce, with a ticket in place of the idempotency key.
leaf::result<ServiceAnswer> CallServiceWithTicket(const ClientOptions& options, const PoolId& service,
                                                  const std::string& path, const std::string& body,
                                                  const std::string& ticket);

// ---- Generation and training
// ---------------------------------------------------------------------------------

struct CompletionCall {
  PoolId model;            //
  std::string prompt;      //
  int max_tokens = 256;    // of the answer
  std::uint64_t seed = 0;  // at most 2^53
};
struct Completion {
  std::vector<std::int32_t> tokens;           //
  std::vector<VersionSpan> spans;             // sum of tokens equals tokens.size()
  FinishReason finish = FinishReason::kNone;  //
  absl::Duration first_token;                 // from the call to the first token
};
// Interactive generation. Retries at the next host if no connection was made or the host refused with a
// retryable "not run" error before the first token. Errors: kUpstreamProtocol (the stream ended early), and
// those of the answer.
leaf::result<Completion> Complete(const ClientOptions& options, const CompletionCall& call);

// Repeats the request, at each host in turn, until the batch is available or `wait` has elapsed. Repeating is
// safe because the sequence number identifies the batch.
leaf::result<Json> FetchBatch(const ClientOptions& options, const BatchRequest& request, absl::Duration wait);
leaf::result<void> AnnounceVersion(const ClientOptions& options, const PoolId& model, Version version);

// ---- Administration
// ------------------------------------------------------------------------------------------

// Makes one call of the administration API; `body` may be null. Returns the JSON of the answer.
leaf::result<Json> CallAdmin(const ClientOptions& options, const std::string& method, const std::string& path,
                             const Json& body, const std::string& if_match = "");

}  // namespace oleander

#endif  // OLEANDER_CLIENT_H_
