// Fuzz test of the settings and configuration parsers with mutated documents: they accept the input or reject
// it with an error text, and never crash.
#include <gtest/gtest.h>

#include "fuzz/mutate.h"
#include "oleander/config.h"
#include "oleander/settings.h"

namespace oleander {
namespace {

constexpr std::uint64_t kSeed = 20240611;
constexpr int kRounds = 20000;
const char* const kSettings = R"({
  "host": {"id": "a1", "zone": "a", "address": "127.0.0.1", "caller_port": 8080, "peer_port": 8081},
  "seeds": [{"address": "127.0.0.1", "port": 9001}],
  "platform": {"table_url": "http://127.0.0.1:1", "object_url": "http://127.0.0.1:2",
               "list_url": "http://127.0.0.1:3/list", "deadline_ms": 1000},
  "credentials": {"callers": [{"name": "kiosk", "token": "caller-token"}], "host_secret": "host-secret"},
  "limits": {"caller_threads": 8}, "timing": {"suspicion_ms": 200}, "log": {"level": "info"}})";

// Guards against an invalid settings file that is rejected without an error text, or accepted with a value
// out of range.
TEST(SettingsFuzz, AcceptsValidOrRejectsWithErrorText) {
  std::mt19937_64 random(kSeed);
  int accepted = 0;
  for (int it = 0; it < kRounds; ++it) {
    const std::string text = Mutate(kSettings, random);
    std::string detail;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(settings, ParseSettings(text));
          ++accepted;
          EXPECT_TRUE(settings.host.peer_port >= 1 && settings.host.peer_port <= 65535) << text;
          EXPECT_GE(settings.host_secret.size(), 8u) << text;
          EXPECT_FALSE(settings.host.id.empty()) << text;
          return {};
        },
        [&](const Error& error) { EXPECT_FALSE(error.detail.empty()) << text; },
        [&] { ADD_FAILURE() << text; });
  }
  EXPECT_GT(accepted, 0);
  EXPECT_LT(accepted, kRounds);
}

// Guards against an accepted document that differs after it is serialized and parsed again.
TEST(ConfigFuzz, AcceptedDocumentsSurviveTheRoundTrip) {
  std::mt19937_64 random(kSeed);
  ConfigDocument document;
  document.version = 7;
  document.previous_hash = "00112233";
  document.exceptions = {{"1", "pool/m", {{"slice_tokens", 8}}, "short slices"}};
  const std::string seed_text = ToJson(document).dump();
  int accepted = 0;
  for (int it = 0; it < kRounds; ++it) {
    const std::string text = Mutate(seed_text, random);
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded()) continue;
    const Outcome<ConfigDocument> outcome = Capture<ConfigDocument>([&] { return ConfigFromJson(json); });
    if (!Ok(outcome)) continue;
    ++accepted;
    const Json again = ToJson(Value(outcome));
    const Outcome<ConfigDocument> same = Capture<ConfigDocument>([&] { return ConfigFromJson(again); });
    ASSERT_TRUE(Ok(same)) << text;
    EXPECT_EQ(HashOf(Value(same)), HashOf(Value(outcome))) << text;
  }
  EXPECT_GT(accepted, 0);
}

}  // namespace
}  // namespace oleander
