// What the HTTP client and server share: parsing of "ip:port" addresses, and a limit of the message parser.
#ifndef OLEANDER_SRC_SERVING_HTTP_ADDRESS_H_
#define OLEANDER_SRC_SERVING_HTTP_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string>

namespace oleander::serving {

// Returns nullopt if `text` is not an IP address followed by a colon and a port.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(const std::string& text);

// Limit of the received bytes that the parser cannot consume yet: an incomplete head, chunk header or
// trailer. Bodies are consumed as they arrive. Boost.Beast throws std::length_error when it stores a field of
// 64 KB, so such bytes must never reach it.
inline constexpr std::size_t kMaxUnparsedBytes = 64 << 10;

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_HTTP_ADDRESS_H_
