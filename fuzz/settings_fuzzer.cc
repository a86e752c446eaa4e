#include <cstddef>
#include <cstdint>
#include <string>

#include "oleander/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace oleander;  // NOLINT(google-build-using-namespace): one function
  const std::string text(reinterpret_cast<const char*>(data), size);
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(ParseSettings(text));
        return {};
      },
      [](const Error&) {}, [] {});
  return 0;
}
