#include <cstddef>
#include <cstdint>
#include <string>

#include "oleander/membership.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace oleander;  // NOLINT(google-build-using-namespace): one function
  const std::string text(reinterpret_cast<const char*>(data), size);
  const Outcome<GossipMessage> message = Capture<GossipMessage>([&] { return DecodeGossip(text); });
  if (Ok(message) && !Ok(Capture<GossipMessage>([&] { return DecodeGossip(EncodeGossip(Value(message))); })))
    __builtin_trap();
  return 0;
}
