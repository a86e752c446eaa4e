#include <cstddef>
#include <cstdint>
#include <string>

#include "oleander/config.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace oleander;  // NOLINT(google-build-using-namespace): one function
  const std::string text(reinterpret_cast<const char*>(data), size);
  const Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) return 0;
  const Outcome<ConfigDocument> document = Capture<ConfigDocument>([&] { return ConfigFromJson(json); });
  if (Ok(document) && !Ok(Capture<ConfigDocument>([&] { return ConfigFromJson(ToJson(Value(document))); })))
    __builtin_trap();
  return 0;
}
