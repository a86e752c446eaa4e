#include "serving/http_framing.h"

#include <algorithm>
#include <array>

#include "absl/strings/ascii.h"
#include "oleander/serving.h"
#include "serving/text.h"

namespace oleander::serving {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kMinLastChunk = "0\r\n\r\n";
constexpr std::size_t kMaxLengthDigits = 18;  // any such number fits in 64 bits
// Not part of a host and port (RFC 3986, 3.2.2), and used to confuse parsers of them.
constexpr std::string_view kNotInHost = " \t/?#@\\\"<>,";

constexpr std::array<std::string_view, 10> kFaultNames = {
    "none",        "version", "status", "field_name",      "field_value",
    "folded_line", "host",    "length", "transfer_coding", "length_and_coding"};

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

// The fields that decide where a message ends, and for whom it is.
struct Framing {
  int hosts = 0;
  int lengths = 0;
  int codings = 0;            // fields with transfer codings
  bool only_chunked = false;  // the last such field has "chunked" and nothing else
};

HeadFault JudgeField(std::string_view name, std::string_view value, Framing& framing) {
  if (EqualsIgnoreCase(name, "Content-Length")) {
    ++framing.lengths;
    const bool number = !value.empty() && value.size() <= kMaxLengthDigits &&
                        std::all_of(value.begin(), value.end(), [](char it) {
                          return absl::ascii_isdigit(static_cast<unsigned char>(it));
                        });
    if (!number || framing.lengths > 1) return HeadFault::kLength;
  } else if (EqualsIgnoreCase(name, "Transfer-Encoding")) {
    ++framing.codings;
    framing.only_chunked = EqualsIgnoreCase(value, "chunked");
  } else if (EqualsIgnoreCase(name, "Host")) {
    ++framing.hosts;
    if (framing.hosts > 1 || value.find_first_of(kNotInHost) != std::string_view::npos)
      return HeadFault::kHost;
  }
  return HeadFault::kNone;
}

// Judges all lines after the first one.
HeadFault JudgeFields(std::string_view lines, Framing& framing) {
  while (!lines.empty()) {
    const std::size_t end = lines.find(kLineEnd);
    const std::string_view line = lines.substr(0, end);
    lines.remove_prefix(end == std::string_view::npos ? lines.size() : end + kLineEnd.size());
    if (line.empty()) continue;
    if (line.front() == ' ' || line.front() == '\t') return HeadFault::kFolded;
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) return HeadFault::kFieldName;
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = Trim(line.substr(colon + 1));
    if (!IsToken(name)) return HeadFault::kFieldName;
    if (HasControlCharacter(value)) return HeadFault::kFieldValue;
    const HeadFault fault = JudgeField(name, value, framing);
    if (fault != HeadFault::kNone) return fault;
  }
  if (framing.codings > 0 && framing.lengths > 0) return HeadFault::kLengthAndCoding;
  if (framing.codings > 1 || (framing.codings == 1 && !framing.only_chunked)) return HeadFault::kCoding;
  return HeadFault::kNone;
}

bool IsKnownVersion(std::string_view version) { return version == "HTTP/1.1" || version == "HTTP/1.0"; }

// Splits the head into its first line and the lines with fields.
std::string_view TakeFirstLine(std::string_view& head) {
  const std::size_t end = std::min(head.find(kLineEnd), head.size());
  const std::string_view line = head.substr(0, end);
  head.remove_prefix(std::min(head.size(), end + kLineEnd.size()));
  return line;
}

}  // namespace

std::string_view NameOf(HeadFault fault) { return kFaultNames[static_cast<std::size_t>(fault)]; }

std::optional<std::size_t> FindHeadEnd(std::string_view bytes) {
  const std::size_t end = bytes.find(kHeadEnd);
  if (end == std::string_view::npos) return std::nullopt;
  return end + kHeadEnd.size();
}

bool MayBeCutLastChunk(std::string_view bytes) {
  return bytes.size() < kMinLastChunk.size() && bytes.starts_with(kMinLastChunk.front());
}

HeadFault JudgeRequestHead(std::string_view head, bool host_required) {
  const std::string_view line = TakeFirstLine(head);
  const std::string_view version = line.substr(std::min(line.size(), line.rfind(' ') + 1));
  if (!IsKnownVersion(version)) return HeadFault::kVersion;
  Framing framing;
  const HeadFault fault = JudgeFields(head, framing);
  if (fault != HeadFault::kNone) return fault;
  if (host_required && framing.hosts == 0 && version == "HTTP/1.1") return HeadFault::kHost;
  // HTTP/1.0 has no transfer codings, so a hop before this one may have read the message without them.
  return framing.codings > 0 && version == "HTTP/1.0" ? HeadFault::kCoding : HeadFault::kNone;
}

HeadFault JudgeAnswerHead(std::string_view head) {
  const std::string_view line = TakeFirstLine(head);
  const std::size_t space = std::min(line.size(), line.find(' '));
  const std::string_view version = line.substr(0, space);
  if (!IsKnownVersion(version)) return HeadFault::kVersion;
  const std::string_view code = line.substr(std::min(line.size(), space + 1), 3);
  int status = 0;
  if (code.size() != 3 || !ParseInteger(code, &status) || !IsHttpStatus(status)) return HeadFault::kStatus;
  Framing framing;
  const HeadFault fault = JudgeFields(head, framing);
  if (fault != HeadFault::kNone) return fault;
  const bool has_no_body = status < 200 || status == 204;
  return framing.codings > 0 && (has_no_body || version == "HTTP/1.0") ? HeadFault::kCoding
                                                                       : HeadFault::kNone;
}

}  // namespace oleander::serving
