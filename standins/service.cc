#include "standins/service.h"

#include <array>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "standins/generated_text.h"

namespace oleander::standins {
namespace {

constexpr std::array<std::string_view, 3> kRoleNames = {"lookup", "receipt", "scoring"};
constexpr double kServiceTimeSigma = 0.4;

std::string TextMember(const Json& body, const char* name) {
  if (!body.is_object()) return "";
  const auto it = body.find(name);
  return it != body.end() && it->is_string() ? it->get<std::string>() : "";
}

// Counts the request. Returns how often this receipt has been filed, 0 for other roles.
std::int64_t CountRequest(Service& service, const httplib::Request& req, const Json& body) {
  absl::MutexLock lock(&service.mutex);
  ++service.requests;
  ++service.by_path[req.path];
  const std::string load_id = TextMember(body, "load_id");
  if (!load_id.empty()) ++service.by_load_id[load_id];
  if (service.options.role != ServiceRole::kReceipt) return 0;
  std::string key = TextMember(body, "receipt");
  if (key.empty()) key = req.get_header_value("Idempotency-Key");
  return ++service.filings[key];
}

Json MakeAnswer(const Service& service, const httplib::Request& req, const Json& body, std::int64_t filing) {
  const std::uint64_t seed = service.options.seed;
  switch (service.options.role) {
    case ServiceRole::kLookup: {
      const std::string word = TextMember(body, "word");
      return {{"word", word}, {"meaning", WordFrom(seed ^ HashText(word))}};
    }
    case ServiceRole::kReceipt: {
      const std::string receipt = TextMember(body, "receipt");
      return {{"receipt", receipt}, {"number", HashText(receipt) % 1000000}, {"filing", filing}};
    }
    case ServiceRole::kScoring:
      return {{"score", UniformFrom(seed ^ HashText(req.body))}};
  }
  return nullptr;
}

void HandleRequest(Service& service, const httplib::Request& req, httplib::Response& res) {
  const absl::Time now = absl::Now();
  const Json body = Json::parse(req.body, nullptr, false);
  const std::string request_id = req.get_header_value("Oleander-Request-Id");
  const double factor = PeekFault(service.port.faults, FaultKind::kSlowFactor, now).value_or(1);
  const double ms = service.options.median_ms *
                    std::exp(kServiceTimeSigma * NormalFrom(service.options.seed ^ HashText(request_id)));
  const std::int64_t filing = CountRequest(service, req, body);
  absl::SleepFor(absl::Milliseconds(ms * factor));
  const bool wrong_id = ConsumeFault(service.port.faults, FaultKind::kWrongId, now).has_value();
  if (!request_id.empty()) {
    res.set_header("Oleander-Request-Id", wrong_id ? absl::StrCat(request_id, "-other") : request_id);
  }
  AnswerJson(res, 200, MakeAnswer(service, req, body, filing));
}

Json AuditLogJson(Service& service) {
  absl::MutexLock lock(&service.mutex);
  return {{"role", NameOf(service.options.role)},
          {"requests", service.requests},
          {"by_path", service.by_path},
          {"by_load_id", service.by_load_id},
          {"filings", service.filings}};
}

}  // namespace

std::string_view NameOf(ServiceRole role) { return kRoleNames[static_cast<int>(role)]; }

leaf::result<ServiceRole> ServiceRoleFromName(std::string_view name) {
  for (std::size_t it = 0; it < kRoleNames.size(); ++it) {
    if (kRoleNames[it] == name) return static_cast<ServiceRole>(it);
  }
  return Fail(ErrorKind::kInvalidRequest, "role: unknown service role " + std::string(name));
}

leaf::result<std::unique_ptr<Service>> StartService(const Endpoint& endpoint, const ServiceOptions& options) {
  auto service = std::make_unique<Service>();
  Service* self = service.get();
  service->options = options;
  service->port.endpoint = endpoint;
  service->port.role.name = "service";
  service->port.role.id = options.id;
  service->port.role.routes = [self](httplib::Server& server) {
    const auto handler = [self](const httplib::Request& req, httplib::Response& res) {
      HandleRequest(*self, req, res);
    };
    server.Post(".*", handler);
    server.Get(".*", handler);
    server.Put(".*", handler);
  };
  service->port.role.audit_log = [self] { return AuditLogJson(*self); };
  BOOST_LEAF_CHECK(OpenPort(service->port));
  return service;
}

}  // namespace oleander::standins
