// Unary requests, each answered by one upstream: idempotent lookups and calls that may run at most once.
#ifndef OLEANDER_SRC_SERVING_FRONTEND_H_
#define OLEANDER_SRC_SERVING_FRONTEND_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "absl/time/time.h"
#include "oleander/errors.h"
#include "oleander/serving.h"
#include "serving/decisions.h"
#include "serving/directory.h"
#include "serving/stream_versions.h"

namespace oleander::serving {

struct CallerRequest {
  HttpRequest http;                        // without the headers that UpstreamLink sets
  std::string host;                        // value of the Host header
  std::string id;                          // request id of this attempt by the caller
  std::optional<absl::Duration> deadline;  // how long the caller will wait
  std::optional<std::string> workspace;    // as UpstreamCall::workspace
  bool resumes = false;  // the caller takes up a stream again, after the last event that it has
  std::string
      resumed_stream;  // request id of the attempt that brought the stream's first event; empty: not stated
};
using FrontendRequestId = std::uint64_t;

// Builds an error response of this host, with the HTTP status of `kind` and, if given, a Retry-After header.
HttpResponse MakeErrorResponse(ErrorKind kind, std::optional<double> retry_after_seconds);

class Frontend {
 public:
  Frontend(Loop& loop, UpstreamLink& link, Directory& directory, std::string zone);
  ~Frontend();
  // From now on, streams of resumable routes are recorded, and continue at the software version that began
  // them. Without this, no stream that a caller takes up again is sent to an upstream.
  void UseStreamVersions(StreamVersions& versions) { stream_versions_ = &versions; }
  // Called once for each request of a workspace that an upstream began to run, as far as this host can tell.
  // `began`: when it was sent to that upstream. May be empty.
  std::function<void(const std::string& workspace, absl::Time began)> on_began;
  // Invokes `respond` exactly once unless the request is cancelled. `route` is copied.
  FrontendRequestId Handle(CallerRequest request, const Route& route, Responder respond);
  // Cancels the upstream calls of a request whose caller has disconnected.
  void CancelRequest(FrontendRequestId id);
  // Call it after upstreams have granted permits (request_limits.h).
  void OnPermitsGranted();
  // Set to true while this host cannot reach the store: upstreams of its own zone are then preferred.
  void SetZoneIsolated(bool isolated) { zone_isolated_ = isolated; }
  // Requests that an upstream works on, by service.
  std::map<std::string, int> RunningByService() const;
  int OpenRequests() const { return static_cast<int>(exchanges_.size()); }

 private:
  struct Attempt;
  struct Exchange;
  UnaryChoice MakeUnaryChoice(const Exchange& exchange) const;
  void ResumeStream(Exchange& exchange);
  void UpdateService(Exchange& exchange);
  void StartAttempt(Exchange& exchange);
  void OnAttemptEnd(FrontendRequestId id, CallId call, CallEnd end);
  void RecordBegin(Exchange& exchange, absl::Time sent);
  void OnTimeout(FrontendRequestId id);
  void OnHedge(FrontendRequestId id);
  bool AwaitPermit(Exchange& exchange);
  void StopWaiting(Exchange& exchange);
  void RetryOrFail(Exchange& exchange, ErrorKind reason);
  void DeliverResponse(Exchange& exchange, Attempt& attempt);
  void Refuse(Exchange& exchange, ErrorKind kind);
  void Close(Exchange& exchange, HttpResponse response);

  Loop& loop_;
  UpstreamLink& link_;
  Directory& directory_;
  std::string zone_;
  StreamVersions* stream_versions_ = nullptr;
  bool zone_isolated_ = false;
  FrontendRequestId next_id_ = 1;
  std::map<FrontendRequestId, std::unique_ptr<Exchange>> exchanges_;
  std::set<FrontendRequestId> waiting_for_permit_;  // oldest first
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_FRONTEND_H_
