// Finds the requests in bytes that arrive in pieces of given sizes, as HttpServer does on a connection.
#ifndef OLEANDER_FUZZ_HTTP_REQUESTS_H_
#define OLEANDER_FUZZ_HTTP_REQUESTS_H_

#include <algorithm>
#include <cstring>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "serving/request_reader.h"

namespace oleander::serving {

struct FoundRequests {
  std::vector<std::string> requests;  // method, target, fields and body of each
  int refused = 0;                    // status of the answer after the last one; 0: none
  // What follows the last request may differ: Boost.Beast waits at a chunk extension with an open quote, and
  // counts the chunk against the limit of the body each time that it reads it again. No request follows it
  // either way.
  bool operator==(const FoundRequests& other) const { return requests == other.requests; }
};

// `next_size` returns the size of the next piece, at least 1.
inline FoundRequests FindRequests(std::string_view bytes, const std::function<std::size_t()>& next_size,
                                  std::size_t max_header_bytes = 4096) {
  CallerLimits limits;
  limits.max_header_bytes = static_cast<std::int64_t>(max_header_bytes);
  limits.max_body_bytes = 10000;
  RequestReader reader;
  FoundRequests found;
  while (true) {
    const ReadOutcome outcome = ReadRequest(reader, limits, true);
    if (outcome.state == ReadState::kRefused) {
      found.refused = outcome.status;
      return found;
    }
    if (outcome.state == ReadState::kComplete) {
      std::string text = reader.request.method + " " + reader.request.target + "\n";
      for (const HeaderField& it : reader.request.headers) text += it.name + ": " + it.value + "\n";
      found.requests.push_back(text + "\n" + reader.request.body);
      continue;
    }
    if (bytes.empty()) return found;
    const std::size_t n = std::min({next_size(), bytes.size(), BytesToReceive(reader)});
    std::memcpy(reader.buffer.prepare(n).data(), bytes.data(), n);
    reader.buffer.commit(n);
    bytes.remove_prefix(n);
  }
}

}  // namespace oleander::serving

#endif  // OLEANDER_FUZZ_HTTP_REQUESTS_H_
