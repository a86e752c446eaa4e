#include "oleander/types.h"

#include <gtest/gtest.h>

#include <set>

namespace oleander {
namespace {

// Guards against an error that claims "not run" although the request was sent.
TEST(ErrorTable, NotRunOnlyForKindsRaisedBeforeSending) {
  for (int it = 0; it < kErrorKindCount; ++it) {
    const ErrorAnswer& answer = DescribeError(static_cast<ErrorKind>(it));
    EXPECT_EQ(answer.not_run, answer.kind < ErrorKind::kUpstreamFailed) << answer.name;
  }
}

// Guards against two error kinds that share a name or a counter, so that one hides the other.
TEST(ErrorTable, NamesAndCountersAreUnique) {
  std::set<std::string_view> names;
  std::set<std::string_view> counters;
  for (int it = 0; it < kErrorKindCount; ++it) {
    const ErrorAnswer& answer = DescribeError(static_cast<ErrorKind>(it));
    EXPECT_TRUE(names.insert(answer.name).second) << answer.name;
    EXPECT_TRUE(counters.insert(answer.counter).second) << answer.counter;
    EXPECT_EQ(FindErrorKind(answer.name), answer.kind);
  }
}

TEST(Spans, OldestVersionIsZeroIfOneChunkHasNoVersion) {
  std::vector<VersionSpan> spans;
  AppendSpan(spans, 7, 3);
  AppendSpan(spans, 7, 2);
  AppendSpan(spans, 8, 1);
  ASSERT_EQ(spans, (std::vector<VersionSpan>{{7, 5}, {8, 1}}));
  EXPECT_EQ(OldestVersion(spans), 7);
  AppendSpan(spans, 0, 4);
  EXPECT_EQ(OldestVersion(spans), 0);
}

// Guards against a sample whose version spans cover fewer tokens than it has.
TEST(SampleJson, RefusesSpansThatDoNotCoverTheTokens) {
  Sample sample;
  sample.slot = {"clues", 3, 1, 2};
  sample.attempt = "a1-1";
  sample.tokens = {1, 2, 3};
  AppendSpan(sample.spans, 5, 3);
  const Outcome<Sample> same = Capture<Sample>([&] { return SampleFromJson(ToJson(sample)); });
  ASSERT_TRUE(Ok(same));
  EXPECT_EQ(Value(same).slot, sample.slot);
  EXPECT_EQ(Value(same).spans, sample.spans);
  sample.spans[0].tokens = 2;
  const Outcome<Sample> refused = Capture<Sample>([&] { return SampleFromJson(ToJson(sample)); });
  ASSERT_FALSE(Ok(refused));
  EXPECT_EQ(ErrorOf(refused).kind, ErrorKind::kInvalidRequest);
}

}  // namespace
}  // namespace oleander
