// Answers whose status is not one of HTTP (RFC 9110, 15: 100 to 599), such as 000 by an engine in trouble.
// They are no answers, on each way on which an answer may arrive.
#include <gtest/gtest.h>

#include "tests/answer_readers.h"

namespace oleander {
namespace {

using serving::RawServer;
using serving::tcp;

constexpr std::size_t kUploadBytes = 4;

struct InvalidStatusTest : testing::TestWithParam<std::tuple<const char*, Framing>> {
  AnswerReaders readers{{std::get<0>(GetParam()), "", std::get<1>(GetParam()), false}};
};

TEST_P(InvalidStatusTest, IsNoAnswerToARequest) { readers.ExpectNoAnswerToARequest(kUploadBytes); }

TEST_P(InvalidStatusTest, IsNoReportLoadOrOutcomeOfAnOrder) {
  readers.ExpectNoReportLoadOrOutcomeOfAnOrder();
}

TEST_P(InvalidStatusTest, IsNoAnswerOfTheStore) { readers.ExpectNoAnswerOfTheStore(kUploadBytes); }

TEST_P(InvalidStatusTest, IsNoAnswerOfThePlatform) { readers.ExpectNoAnswerOfThePlatform(); }

TEST_P(InvalidStatusTest, ReachesNoCaller) { readers.ExpectNothingReachesACaller(kUploadBytes); }

TEST_P(InvalidStatusTest, IsNoAnswerToTheThreadedClient) {
  readers.ExpectNoAnswerToTheThreadedClient(kUploadBytes);
}

INSTANTIATE_TEST_SUITE_P(Statuses, InvalidStatusTest,
                         testing::Combine(testing::Values("000", "001", "099", "600", "999"),
                                          testing::Values(Framing::kLength, Framing::kLengthInTwoWrites,
                                                          Framing::kChunked, Framing::kClose,
                                                          Framing::kNoBody)));

// The first and the last status that an answer may have.
TEST(ValidStatus, IsReported) {
  for (const char* status : {"200", "599"}) {
    RawServer server([status](tcp::socket& socket) {
      SendAnswer(socket, {status, "", Framing::kLength, false});
    });
    const std::string seen = Fetch(server.Address(), {"GET", "/x", {{"Host", "h"}}, ""});
    EXPECT_EQ(seen, absl::StrCat("complete ", status, " ", kAnswerBody));
  }
}

}  // namespace
}  // namespace oleander
