// Requests that one upstream answers: lookups (idempotent) and calls that may run at most once.
#ifndef OLEANDER_SRC_SERVING_FRONTEND_H_
#define OLEANDER_SRC_SERVING_FRONTEND_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "oleander/errors.h"
#include "oleander/serving.h"
#include "serving/decisions.h"
#include "serving/directory.h"

namespace oleander::serving {

struct CallerRequest {
  HttpRequest http;                        // headers without those that the link to upstreams sets
  std::string host;                        //
  std::string id;                          // of this attempt of the caller
  std::optional<absl::Duration> deadline;  // time that the caller will wait
};
using FrontendId = std::uint64_t;

// An answer of this host itself, with the status of the error's row and, if a retry helps, when to return.
HttpResponse RefusalAnswer(ErrorKind kind, std::optional<double> retry_after_seconds);

class Frontend {
 public:
  Frontend(Loop& loop, UpstreamLink& link, Directory& directory, std::string zone);
  ~Frontend();
  // Answers exactly once unless abandoned. `route` is copied.
  FrontendId Handle(CallerRequest request, const Route& route, Responder answer);
  // The caller has left: upstreams stop working for it.
  void Abandon(FrontendId id);
  // While this host does not reach the store, upstreams of its own zone come first.
  void SetZoneAlone(bool alone) { zone_alone_ = alone; }
  int OpenRequests() const { return static_cast<int>(exchanges_.size()); }

 private:
  struct Attempt;
  struct Exchange;
  UnaryChoice MakeChoice(const Exchange& exchange) const;
  void Launch(Exchange& exchange);
  void OnAttemptEnd(FrontendId id, CallId call, CallEnd end);
  void OnTimeUp(FrontendId id);
  void OnHedge(FrontendId id);
  void RetryOrFail(Exchange& exchange, ErrorKind reason);
  void Deliver(Exchange& exchange, Attempt& attempt);
  void Refuse(Exchange& exchange, ErrorKind kind);
  void Close(Exchange& exchange, HttpResponse response);

  Loop& loop_;
  UpstreamLink& link_;
  Directory& directory_;
  std::string zone_;
  bool zone_alone_ = false;
  FrontendId next_ = 1;
  std::map<FrontendId, std::unique_ptr<Exchange>> exchanges_;
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_FRONTEND_H_
