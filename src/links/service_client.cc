#include <memory>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "links/http_client.h"
#include "oleander/upstream.h"

namespace oleander {
namespace {

constexpr int kStatusUnavailable = 503;
constexpr std::size_t kMaxAnswerBytes = 8 << 20;

leaf::result<ServiceAnswer> Call(HttpPool& pool, const LeavingSink& leaving, const Upstream& upstream,
                                 const ServiceRequest& request) {
  HttpCall call;
  call.method = request.method;
  call.path = request.path;
  call.body = request.body;
  call.content_type = request.content_type;
  call.deadline = request.deadline;
  call.max_answer_bytes = kMaxAnswerBytes;
  call.headers = {{"Oleander-Request-Id", request.request_id}};
  if (!request.idempotency_key.empty()) call.headers.push_back({"Idempotency-Key", request.idempotency_key});
  BOOST_LEAF_AUTO(answer, SendHttp(pool, upstream.endpoint, call));
  const std::string id = HeaderValue(answer.headers, "Oleander-Request-Id");
  if (!id.empty() && id != request.request_id) {
    return Fail(ErrorKind::kUpstreamProtocol,
                absl::StrCat(upstream.id, " answered request ", id, " instead of ", request.request_id));
  }
  if (leaving && SaysLeaving(answer)) leaving(upstream);
  if (answer.status == kStatusUnavailable &&
      (absl::EqualsIgnoreCase(HeaderValue(answer.headers, "Oleander-Not-Run"), "true") ||
       absl::EqualsIgnoreCase(HeaderValue(answer.headers, "Oleander-Leaving"), "true"))) {
    return Fail(ErrorKind::kUpstreamRefused, absl::StrCat(upstream.id, " refused the call"));
  }
  return ServiceAnswer{answer.status, std::move(answer.body), HeaderValue(answer.headers, "Content-Type")};
}

}  // namespace

ServicePort MakeServiceClient(absl::Duration connect_deadline, LeavingSink leaving) {
  const std::shared_ptr<HttpPool> pool = std::make_shared<HttpPool>();
  pool->connect_deadline = connect_deadline;
  ServicePort port;
  port.call = [pool, leaving](const Upstream& upstream, const ServiceRequest& request) {
    return Call(*pool, leaving, upstream, request);
  };
  return port;
}

}  // namespace oleander
