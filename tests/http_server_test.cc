#include "links/http_server.h"

#include <gtest/gtest.h>

namespace oleander {
namespace {

// Guards against SO_REUSEPORT, with which a second host starts on a port in use and receives half of the
// connections of the first.
TEST(HttpServerTest, PortInUseIsAnError) {
  HttpServer first(absl::Seconds(1));
  const int port = first.bind_to_any_port("127.0.0.1");
  ASSERT_GT(port, 0);
  HttpServer second(absl::Seconds(1));
  EXPECT_FALSE(second.bind_to_port("127.0.0.1", port));
}

}  // namespace
}  // namespace oleander
