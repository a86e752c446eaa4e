#include "serving/request_reader.h"

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>

namespace oleander::serving {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReceiveBytes = 4 << 10;       // for a head, and for short bodies
constexpr std::size_t kReceiveBodyBytes = 32 << 10;  //
constexpr std::size_t kMinFramingWindow = 4 << 10;   // holds any chunk header without extensions
constexpr std::size_t kFirstBodyRoom = 64 << 10;     // of a body in chunks; doubled as it grows
constexpr std::size_t kMaxCopiedBody = 1 << 20;      // a larger body in chunks is not copied to grow
constexpr std::size_t kMaxReservedBody = 256 << 20;  // of address space, whatever the configured limit

// Of one field besides its text: two strings with their allocations, here and in the message to the upstream.
constexpr std::size_t kFieldMemory = 200;
constexpr std::size_t kFieldCopies = 3;  // of the text of a field

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeaderFieldsTooLarge = 431;

ReadOutcome Refuse(int status, HeadFault fault = HeadFault::kNone) {
  return {ReadState::kRefused, status, fault};
}

std::string_view BytesOf(const RequestReader& reader) {
  return {static_cast<const char*>(reader.buffer.data().data()), reader.buffer.size()};
}

// Gives `n` bytes of the buffer to the parser. Returns the number of bytes that it has consumed.
std::size_t Put(RequestReader& reader, std::size_t n, boost::system::error_code& ec) {
  const std::size_t used = reader.parser->put(boost::asio::buffer(reader.buffer.data().data(), n), ec);
  reader.buffer.consume(used);
  if (ec == http::error::need_more) ec = {};
  return used;
}

// The most bytes of framing that a body in chunks may have in one place: a chunk header with its extensions,
// or the last one with the trailer. Giving the parser no more than this at a time makes what it accepts
// independent of how the bytes are cut.
std::size_t FramingWindow(const CallerLimits& limits) {
  return std::clamp(static_cast<std::size_t>(std::max<std::int64_t>(0, limits.max_header_bytes)),
                    kMinFramingWindow, kMaxUnparsedBytes - 1);
}

// Starts a request if the buffer has a complete head.
ReadOutcome ReadHead(RequestReader& reader, const CallerLimits& limits, bool host_required) {
  const std::string_view bytes = BytesOf(reader);
  const std::optional<std::size_t> end = FindHeadEnd(bytes);
  const std::size_t max_bytes = std::min(
      kMaxUnparsedBytes - 1, static_cast<std::size_t>(std::max<std::int64_t>(0, limits.max_header_bytes)));
  if (end.value_or(bytes.size()) > max_bytes) return Refuse(kHeaderFieldsTooLarge);
  if (!end) return {};
  const HeadFault fault = JudgeRequestHead(bytes.substr(0, *end), host_required);
  if (fault != HeadFault::kNone) return Refuse(kBadRequest, fault);
  reader.parser.emplace();
  reader.parser->eager(true);
  reader.parser->header_limit(std::numeric_limits<std::uint32_t>::max());
  reader.parser->body_limit(static_cast<std::uint64_t>(limits.max_body_bytes));
  boost::system::error_code ec;
  Put(reader, *end, ec);
  if (ec == http::error::body_limit) return Refuse(kContentTooLarge);
  if (ec || !reader.parser->is_header_done()) return Refuse(kBadRequest);
  const http::request<http::string_body>& message = reader.parser->get();
  reader.keep_alive = message.keep_alive();
  reader.request = {};
  reader.request.method = std::string(message.method_string());
  reader.request.target = std::string(message.target());
  for (const http::fields::value_type& it : message)
    reader.request.headers.push_back({std::string(it.name_string()), std::string(it.value())});
  reader.head_memory = MemoryOf(reader.request.headers);
  return {};
}

}  // namespace

ReadOutcome ReadRequest(RequestReader& reader, const CallerLimits& limits, bool host_required) {
  if (!reader.parser) {
    const ReadOutcome head = ReadHead(reader, limits, host_required);
    if (head.state == ReadState::kRefused || !reader.parser) return head;
  }
  const std::size_t window = FramingWindow(limits);
  while (!reader.parser->is_done() && reader.buffer.size() > 0) {
    if (reader.parser->chunked() && MayBeCutLastChunk(BytesOf(reader))) break;
    const std::size_t n =
        reader.parser->chunked() ? std::min(window, reader.buffer.size()) : reader.buffer.size();
    boost::system::error_code ec;
    const std::size_t used = Put(reader, n, ec);
    if (ec == http::error::body_limit) return Refuse(kContentTooLarge);
    if (ec) return Refuse(kBadRequest);
    if (used == 0) break;
  }
  if (reader.parser->is_done()) {
    reader.request.body = std::move(reader.parser->get().body());
    reader.parser.reset();
    if (reader.buffer.size() == 0 && reader.buffer.capacity() > kReceiveBytes) reader.buffer.shrink_to_fit();
    return {ReadState::kComplete};
  }
  // A chunk header or a trailer that is longer than heads may be.
  return reader.parser->chunked() && reader.buffer.size() >= window ? Refuse(kHeaderFieldsTooLarge)
                                                                    : ReadOutcome{};
}

std::size_t BytesToReceive(const RequestReader& reader) {
  return std::min(reader.parser ? kReceiveBodyBytes : kReceiveBytes,
                  reader.buffer.max_size() - reader.buffer.size());
}

std::size_t BodyRoomNeeded(const RequestReader& reader, const CallerLimits& limits) {
  if (!reader.parser) return 0;
  if (!reader.parser->chunked()) return static_cast<std::size_t>(reader.parser->content_length().value_or(0));
  std::size_t room = kFirstBodyRoom;
  while (room < BodyReceived(reader) + kReceiveBodyBytes) room *= 2;
  return std::min(room, static_cast<std::size_t>(limits.max_body_bytes) + kReceiveBodyBytes);
}

void ReserveBody(RequestReader& reader, const CallerLimits& limits, std::size_t room) {
  if (!reader.parser || !reader.parser->chunked() || room <= kFirstBodyRoom) return;
  const std::size_t most = std::min(static_cast<std::size_t>(limits.max_body_bytes), kMaxReservedBody);
  reader.parser->get().body().reserve(room <= kMaxCopiedBody ? room : most);
}

std::size_t BodyReceived(const RequestReader& reader) {
  return reader.parser ? reader.parser->get().body().size() : 0;
}

std::size_t MemoryOf(const Headers& headers) {
  std::size_t bytes = 0;
  for (const HeaderField& it : headers)
    bytes += kFieldMemory + kFieldCopies * (it.name.size() + it.value.size());
  return bytes;
}

std::size_t HeadAndBufferMemory(const RequestReader& reader) {
  const std::size_t buffer = reader.buffer.size() + BytesToReceive(reader);
  return std::max(reader.buffer.capacity(), buffer) + (reader.parser ? reader.head_memory : 0);
}

void Clear(RequestReader& reader) {
  reader.parser.reset();
  reader.request = {};
  reader.buffer.clear();
  reader.buffer.shrink_to_fit();
}

bool IsReading(const RequestReader& reader) { return reader.parser || reader.buffer.size() > 0; }

}  // namespace oleander::serving
