// Parsing of "ip:port" addresses.
#ifndef OLEANDER_SRC_SERVING_HTTP_ADDRESS_H_
#define OLEANDER_SRC_SERVING_HTTP_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace oleander::serving {

// Returns nullopt if `text` is not an IP address followed by a colon and a port.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(const std::string& text);

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_HTTP_ADDRESS_H_
