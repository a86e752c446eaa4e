// libFuzzer target: the requests that are found do not depend on how the bytes are cut. The first byte is the
// size of the pieces.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "fuzz/http_requests.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::size_t piece = 1 + data[0] % 64;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  const oleander::serving::FoundRequests whole =
      oleander::serving::FindRequests(bytes, [] { return std::size_t{1} << 20; });
  if (oleander::serving::FindRequests(bytes, [piece] { return piece; }) != whole) std::abort();
  return 0;
}
