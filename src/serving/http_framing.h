// Where the messages on a connection begin and end: one place that judges the head of a request or an answer
// before a parser interprets it. Two parties that read the length of a message differently let a request be
// hidden in the body of another one, or an answer in that of another one.
#ifndef OLEANDER_SRC_SERVING_HTTP_FRAMING_H_
#define OLEANDER_SRC_SERVING_HTTP_FRAMING_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace oleander::serving {

// Sections of RFC 9112, where no other RFC is named.
enum class HeadFault {
  kNone,
  kVersion,          // 2.3: neither HTTP/1.0 nor HTTP/1.1
  kStatus,           // RFC 9110, 15: not from 100 to 599
  kFieldName,        // 5.1: not a token directly before a colon
  kFieldValue,       // RFC 9110, 5.5: a control character
  kFolded,           // 5.2: a line that continues the one before
  kHost,             // 3.2: more than one, none although required, or not a host and port
  kLength,           // 6.2: more than one Content-Length, or not a number of at most 18 digits
  kCoding,           // 6.1: a transfer coding other than "chunked", or one where none may be
  kLengthAndCoding,  // 6.1: a Content-Length beside a transfer coding
};
std::string_view NameOf(HeadFault fault);

// Returns the size of the head that `bytes` begin with, including its empty line, or nullopt if its end is
// not among them.
std::optional<std::size_t> FindHeadEnd(std::string_view bytes);

// `head`: as FindHeadEnd delimits it. A message with a fault has no known end, so its connection is closed. A
// request with one is answered with 400.
HeadFault JudgeRequestHead(std::string_view head, bool host_required);
HeadFault JudgeAnswerHead(std::string_view head);

// True if `bytes`, received but not consumed by the parser of a chunked message, may be a last chunk of which
// the rest is missing. The parser must not get them: Boost.Beast 1.81 asserts that it has 5 bytes.
bool MayBeCutLastChunk(std::string_view bytes);

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_HTTP_FRAMING_H_
