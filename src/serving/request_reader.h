// Finds the requests in the bytes of a caller's connection. Which requests are found does not depend on how
// the bytes are cut.
#ifndef OLEANDER_SRC_SERVING_REQUEST_READER_H_
#define OLEANDER_SRC_SERVING_REQUEST_READER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "oleander/serving.h"
#include "serving/http_address.h"
#include "serving/http_framing.h"

namespace oleander::serving {

struct RequestReader {
  boost::beast::flat_buffer buffer{kMaxUnparsedBytes};  // received bytes that are not part of a request yet
  // The request in progress, once its head is complete.
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser;
  HttpRequest request;          // without the body until it is complete; without fields of a trailer
  bool keep_alive = true;       // the caller expects another answer on the connection
  std::size_t head_memory = 0;  // of the request in progress, by MemoryOf
};
enum class ReadState { kNeedsBytes, kComplete, kRefused };
struct ReadOutcome {
  ReadState state = ReadState::kNeedsBytes;
  int status = 0;                      // kRefused: of the answer; the connection is closed after it
  HeadFault fault = HeadFault::kNone;  // the reason for 400, if it is the framing
};
// Reads on in the buffer, up to the end of one request. After kComplete, take `request` and call it again.
ReadOutcome ReadRequest(RequestReader& reader, const CallerLimits& limits, bool host_required);
// How many bytes should be received into the buffer next.
std::size_t BytesToReceive(const RequestReader& reader);
// Room for the body of the request in progress that must be there before the next read: its announced length,
// or for a body in chunks a size that grows in steps. 0: none.
std::size_t BodyRoomNeeded(const RequestReader& reader, const CallerLimits& limits);
// Allocates the room of a body in chunks. For a large one that is the limit of bodies: the system provides
// memory as it is written to, and a copy at each step would need twice as much.
void ReserveBody(RequestReader& reader, const CallerLimits& limits, std::size_t room);
// Bytes of the body that have been received.
std::size_t BodyReceived(const RequestReader& reader);
// Estimate of the memory that fields take, with the copies that are made to pass them on. Short fields take
// many times their length.
std::size_t MemoryOf(const Headers& headers);
// Bytes that the reader holds or will hold after the next read, besides the body.
std::size_t HeadAndBufferMemory(const RequestReader& reader);
// Frees what has been received.
void Clear(RequestReader& reader);
// True if a part of a request has been received.
bool IsReading(const RequestReader& reader);

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_REQUEST_READER_H_
