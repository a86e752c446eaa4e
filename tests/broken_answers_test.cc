// Answers that are not whole, or of which nobody can tell where they end. They are no answers, on each way on
// which an answer may arrive.
#include <gtest/gtest.h>

#include "tests/answer_readers.h"

namespace oleander {
namespace {

using serving::RawServer;
using serving::ReadHead;
using serving::tcp;
using serving::WriteText;

// More than the buffers of a connection hold, so that the reset comes while the request is being written.
constexpr std::size_t kLongUploadBytes = 16 << 20;
constexpr std::size_t kShortUploadBytes = 4;

// A connection that is reset does not end an answer that has no length, whoever notices the reset first: the
// write of the request or the read of the answer.
struct ResetAnswerTest : testing::TestWithParam<std::size_t> {
  AnswerReaders readers{{"200", "", Framing::kClose, true}};
};

TEST_P(ResetAnswerTest, IsNoAnswerToARequest) { readers.ExpectNoAnswerToARequest(GetParam()); }

TEST_P(ResetAnswerTest, IsNoReportLoadOrOutcomeOfAnOrder) { readers.ExpectNoReportLoadOrOutcomeOfAnOrder(); }

TEST_P(ResetAnswerTest, IsNoAnswerOfTheStore) { readers.ExpectNoAnswerOfTheStore(GetParam()); }

TEST_P(ResetAnswerTest, IsNoAnswerOfThePlatform) { readers.ExpectNoAnswerOfThePlatform(); }

TEST_P(ResetAnswerTest, ReachesNoCaller) { readers.ExpectNothingReachesACaller(GetParam()); }

TEST_P(ResetAnswerTest, IsNoAnswerToTheThreadedClient) {
  readers.ExpectNoAnswerToTheThreadedClient(GetParam());
}

INSTANTIATE_TEST_SUITE_P(Uploads, ResetAnswerTest, testing::Values(kShortUploadBytes, kLongUploadBytes));

// What a server does that answers a long request without a length before it has read the request.
enum class EarlyEnd {
  kReadsOn,     // ends its side of the connection, and reads the rest of the request
  kStopsThere,  // ends its side of the connection, and reads nothing more
  kResets,      // ends its side of the connection, and then resets it, as a process that ends does
};

std::string EndOfEarlyAnswer(EarlyEnd early) {
  RawServer server([early](tcp::socket& socket) {
    ReadHead(socket);
    WriteText(socket, "HTTP/1.1 200 X\r\n\r\nwhole");
    boost::system::error_code ec;
    socket.shutdown(tcp::socket::shutdown_send, ec);
    std::string rest(64 << 10, ' ');
    while (early == EarlyEnd::kReadsOn && !ec) socket.read_some(boost::asio::buffer(rest), ec);
    if (early == EarlyEnd::kStopsThere) absl::SleepFor(absl::Seconds(1));
    if (early == EarlyEnd::kResets) ResetConnection(socket);
  });
  return Fetch(server.Address(), {"POST", "/x", {{"Host", "h"}}, std::string(kLongUploadBytes, 'u')});
}

TEST(EarlyAnswerTest, IsWholeIfItsConnectionEndsInOrder) {
  EXPECT_EQ(EndOfEarlyAnswer(EarlyEnd::kReadsOn), "complete 200 whole");
  EXPECT_EQ(EndOfEarlyAnswer(EarlyEnd::kStopsThere), "complete 200 whole");
}

TEST(EarlyAnswerTest, IsBrokenIfItsConnectionIsResetAfterItsEnd) {
  EXPECT_EQ(EndOfEarlyAnswer(EarlyEnd::kResets), "broken 200 whole");
}

// The name of a field is a token (RFC 9110, 5.1). A reader that skips a line or takes it for another field
// may find the end of the body elsewhere than the sender.
struct MalformedHeadTest : testing::TestWithParam<std::tuple<std::string, Framing>> {
  AnswerReaders readers{{"200", std::get<0>(GetParam()), std::get<1>(GetParam()), false}};
};

TEST_P(MalformedHeadTest, IsNoAnswerToARequest) { readers.ExpectNoAnswerToARequest(kShortUploadBytes); }

TEST_P(MalformedHeadTest, IsNoReportLoadOrOutcomeOfAnOrder) {
  readers.ExpectNoReportLoadOrOutcomeOfAnOrder();
}

TEST_P(MalformedHeadTest, IsNoAnswerOfTheStore) { readers.ExpectNoAnswerOfTheStore(kShortUploadBytes); }

TEST_P(MalformedHeadTest, IsNoAnswerOfThePlatform) { readers.ExpectNoAnswerOfThePlatform(); }

TEST_P(MalformedHeadTest, ReachesNoCaller) { readers.ExpectNothingReachesACaller(kShortUploadBytes); }

TEST_P(MalformedHeadTest, IsNoAnswerToTheThreadedClient) {
  readers.ExpectNoAnswerToTheThreadedClient(kShortUploadBytes);
}

INSTANTIATE_TEST_SUITE_P(
    FieldNames, MalformedHeadTest,
    testing::Combine(testing::Values("X Y: 1", "X\x01Y: 1", std::string("X\0Y: 1", 6), "X\tY: 1", "X\x7f: 1",
                                     " X: 1", "X : 1", ": 1", "X\nY: 1", "X", "Content-Length : 10",
                                     "Content-Length\x0b: 10", "Content Length: 10", "Content-Length\n: 10",
                                     "Transfer-Encoding : chunked"),
                     testing::Values(Framing::kLength, Framing::kChunked, Framing::kClose)));

INSTANTIATE_TEST_SUITE_P(Lengths, MalformedHeadTest,
                         testing::Combine(testing::Values("Content-Length: 10", "Transfer-Encoding: gzip",
                                                          "Transfer-Encoding: gzip, chunked"),
                                          testing::Values(Framing::kLength, Framing::kChunked)));

// What stands where a chunk should end or the next one begin.
struct MalformedChunksTest : testing::TestWithParam<const char*> {
  AnswerReaders readers{{"200", "", Framing::kChunked, false, GetParam()}};
};

TEST_P(MalformedChunksTest, AreNoAnswerToARequest) { readers.ExpectNoAnswerToARequest(kShortUploadBytes); }

TEST_P(MalformedChunksTest, AreNoAnswerOfTheStore) { readers.ExpectNoAnswerOfTheStore(kShortUploadBytes); }

TEST_P(MalformedChunksTest, AreNoAnswerToTheThreadedClient) {
  readers.ExpectNoAnswerToTheThreadedClient(kShortUploadBytes);
}

INSTANTIATE_TEST_SUITE_P(Chunks, MalformedChunksTest,
                         testing::Values("XX5\r\nworld\r\n0\r\n\r\n", "\n\n5\r\nworld\r\n0\r\n\r\n",
                                         "\r\nzz\r\nworld\r\n0\r\n\r\n", "\r\n0x5\r\nworld\r\n0\r\n\r\n",
                                         "\r\n0zz\r\n\r\n", "\r\n-5\r\nworld\r\n0\r\n\r\n", "", "\r\n",
                                         "\r\n5", "\r\n0", "\r\n0\r\n"));

}  // namespace
}  // namespace oleander
