#include "links/http_answers.h"

#include <cmath>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "contracts/strict_json.h"

namespace oleander {
namespace {

// Larger integers lose digits in JSON readers that use doubles.
constexpr double kMaxNumber = 9007199254740992.0;  // 2^53
constexpr std::string_view kBearer = "Bearer ";

// Compares in constant time, so that the duration reveals nothing about the token.
bool TokensEqual(std::string_view a, std::string_view b) {
  unsigned char diff = a.size() == b.size() ? 0 : 1;
  for (std::size_t it = 0; it < a.size(); ++it) {
    diff |= static_cast<unsigned char>(a[it]) ^ static_cast<unsigned char>(b[b.empty() ? 0 : it % b.size()]);
  }
  return diff == 0 && !a.empty();
}

const Credential* FindCredential(const std::vector<Credential>& credentials, std::string_view token) {
  const Credential* found = nullptr;
  for (const Credential& it : credentials) {
    if (TokensEqual(token, it.token)) found = &it;
  }
  return found;
}

// Returns the JSON path of the first number that is infinite, NaN or too large, or "" if there is none.
std::string FindBadNumber(const Json& json, const std::string& path) {
  if (json.is_number()) {
    const double n = json.get<double>();
    return std::isfinite(n) && std::abs(n) <= kMaxNumber ? "" : path;
  }
  if (!json.is_structured()) return "";
  for (Json::const_iterator it = json.begin(); it != json.end(); ++it) {
    std::string bad = FindBadNumber(*it, json.is_object() ? absl::StrCat(path, "/", it.key()) : path + "/[]");
    if (!bad.empty()) return bad;
  }
  return "";
}

}  // namespace

void AddHeaders(Host& host, const std::string& request_id, httplib::Response& response) {
  std::int64_t version = 0;
  {
    const ReadView view(*host.routing);
    version = view->config_version;
  }
  const bool unconfirmed = host.config_unconfirmed.load(std::memory_order_relaxed);
  response.set_header("Oleander-Request-Id", request_id);
  response.set_header("Oleander-Config", absl::StrCat(version, unconfirmed ? "; unconfirmed" : ""));
}

void Refuse(Exchange& exchange, const Error& error) {
  const ErrorAnswer& row = DescribeError(error.kind);
  CountRefusal(GlobalMetrics(), error.kind);
  const Json body = {
      {"error",
       {{"kind", row.name}, {"detail", error.detail}, {"not_run", row.not_run}, {"retry", row.retry}}}};
  exchange.response.status = row.http_status;
  exchange.response.set_content(body.dump(-1, ' ', false, Json::error_handler_t::replace),
                                "application/json");
}

void AnswerJson(Exchange& exchange, const Json& json, int status) {
  exchange.response.status = status;
  exchange.response.set_content(json.dump(-1, ' ', false, Json::error_handler_t::replace),
                                "application/json");
}

leaf::result<void> Authenticate(Exchange& exchange, Role role) {
  const std::string header = exchange.request.get_header_value("Authorization");
  if (!absl::StartsWith(header, absl::string_view(kBearer.data(), kBearer.size())))
    return Fail(ErrorKind::kUnauthenticated, "Authorization: expected \"Bearer TOKEN\"");
  const std::string_view token = std::string_view(header).substr(kBearer.size());
  const Credential* const caller = FindCredential(exchange.host.settings.callers, token);
  const Credential* const op = FindCredential(exchange.host.settings.operators, token);
  const Credential* const wanted = role == Role::kCaller ? caller : op;
  if (wanted != nullptr) {
    exchange.name = wanted->name;
    return {};
  }
  if (caller == nullptr && op == nullptr)
    return Fail(ErrorKind::kUnauthenticated, "Authorization: unknown token");
  return Fail(ErrorKind::kForbidden, role == Role::kCaller
                                         ? "expected a caller's credential, found an operator's"
                                         : "expected an operator's credential, found a caller's");
}

leaf::result<Json> ParseObject(const std::string& text) {
  BOOST_LEAF_AUTO(json, ParseJson(text, ErrorKind::kInvalidRequest));
  if (!json.is_object())
    return Fail(ErrorKind::kInvalidRequest,
                absl::StrCat("body: found ", DescribeJson(json), ", expected a JSON object"));
  const std::string bad = FindBadNumber(json, "");
  if (!bad.empty())
    return Fail(ErrorKind::kInvalidRequest, absl::StrCat(bad, ": expected a number of at most 2^53"));
  return json;
}

leaf::result<std::int64_t> ParseInteger(const std::string& name, const std::string& text, std::int64_t low,
                                        std::int64_t high) {
  std::int64_t n = 0;
  if (!absl::SimpleAtoi(text, &n) || n < low || n > high)
    return Fail(ErrorKind::kInvalidRequest,
                absl::StrCat(name, ": found \"", text, "\", expected an integer of ", low, " to ", high));
  return n;
}

}  // namespace oleander
