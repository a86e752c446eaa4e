#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <utility>

#include "absl/strings/ascii.h"
#include "oleander/serving.h"
#include "serving/http_address.h"
#include "serving/text.h"

namespace oleander::serving {
namespace {

constexpr std::array<std::string_view, 9> kConnectionHeaders = {
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
    "trailer",    "upgrade",    "transfer-encoding",  "content-length"};

constexpr std::array<std::string_view, 5> kStoreOutcomes = {"ok", "conflict", "refused", "unknown",
                                                            "history_gone"};
constexpr std::array<std::string_view, 4> kRouteKinds = {"idempotent", "non_idempotent", "streaming",
                                                         "rollout"};
constexpr std::array<std::string_view, 6> kCallEnds = {"complete",  "not_sent",  "broken",
                                                       "timed_out", "too_large", "no_room"};
constexpr std::array<std::string_view, 4> kDutyOutcomes = {"accepted", "unavailable", "refused", "unknown"};
constexpr std::array<std::string_view, 5> kOrderOutcomes = {"accepted", "already_holds", "busy_or_moved",
                                                            "refused", "unknown"};
constexpr std::array<std::string_view, 9> kBatchOutcomes = {
    "ok", "accepted", "not_found", "no_route", "invalid", "not_run", "no_room", "unsure", "outcome_unknown"};

// Allowed in the name of a field besides letters and digits (RFC 9110, 5.6.2).
constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";

}  // namespace

std::string_view NameOf(StoreOutcome outcome) { return kStoreOutcomes[static_cast<int>(outcome)]; }
std::string_view NameOf(RouteKind kind) { return kRouteKinds[static_cast<int>(kind)]; }
std::string_view NameOf(CallEnd end) { return kCallEnds[static_cast<int>(end)]; }
std::string_view NameOf(DutyOutcome outcome) { return kDutyOutcomes[static_cast<int>(outcome)]; }
std::string_view NameOf(OrderOutcome outcome) { return kOrderOutcomes[static_cast<int>(outcome)]; }
std::string_view NameOf(BatchOutcome outcome) { return kBatchOutcomes[static_cast<int>(outcome)]; }

std::string_view FindHeader(const Headers& headers, std::string_view name) {
  for (const HeaderField& it : headers) {
    if (EqualsIgnoreCase(it.name, name)) return it.value;
  }
  return {};
}

void RemoveHeader(Headers& headers, std::string_view name) {
  std::erase_if(headers, [name](const HeaderField& it) { return EqualsIgnoreCase(it.name, name); });
}

std::size_t AnnouncedLength(const Headers& headers, std::size_t most) {
  std::size_t length = 0;
  return ParseInteger(FindHeader(headers, "Content-Length"), &length) ? std::min(length, most) : 0;
}

bool IsConnectionHeader(std::string_view name) {
  for (const std::string_view it : kConnectionHeaders) {
    if (EqualsIgnoreCase(it, name)) return true;
  }
  return false;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char it) {
    return absl::ascii_isalnum(static_cast<unsigned char>(it)) ||
           kTokenMarks.find(it) != std::string_view::npos;
  });
}

bool HasControlCharacter(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char it) {
    return it != '\t' && absl::ascii_iscntrl(static_cast<unsigned char>(it));
  });
}

bool IsSendableField(std::string_view name, std::string_view value) {
  return IsToken(name) && !HasControlCharacter(value) && name.size() + value.size() <= kMaxFieldBytes;
}

bool IsSendableTarget(std::string_view target) {
  return target.starts_with('/') && std::none_of(target.begin(), target.end(), [](char it) {
           return it == ' ' || absl::ascii_iscntrl(static_cast<unsigned char>(it));
         });
}

std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  boost::system::error_code ec;
  const boost::asio::ip::address ip = boost::asio::ip::make_address(text.substr(0, colon), ec);
  int port = 0;
  if (ec || !ParseInteger(text.substr(colon + 1), &port) || port < 0 || port > 65535) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

}  // namespace oleander::serving
