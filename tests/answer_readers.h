// The readers of answers, each of which takes a broken one for no answer, and a stand-in that sends such
// answers.
#ifndef OLEANDER_TESTS_ANSWER_READERS_H_
#define OLEANDER_TESTS_ANSWER_READERS_H_

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "links/http_client.h"
#include "platform/duty_platform.h"
#include "platform/engine_link.h"
#include "platform/store_client.h"
#include "serving/frontend.h"
#include "serving/http_client.h"
#include "tests/raw_server.h"
#include "tests/serving_fakes.h"

namespace oleander {

inline constexpr absl::Duration kTestTimeout = absl::Seconds(20);  // ends a test that hangs
inline constexpr absl::Duration kCallTimeout = absl::Seconds(1);
inline constexpr char kAnswerBody[] =
    R"({"models":[{"name":"m","version":3}],"sequence":2,"ver":9,"nowMs":5,"rows":[]})";

enum class Framing { kLength, kLengthInTwoWrites, kChunked, kClose, kNoBody };

struct ScriptedAnswer {
  std::string status = "200";         //
  std::string field;                  // a line of the head
  Framing framing = Framing::kClose;  //
  bool reset = false;                 // the connection ends with a reset, before the request has been read
  std::string after_chunk = "\r\n0\r\n\r\n";  // with kChunked: what follows the data of the only chunk
};

// Answers with everything that a usable answer has besides what `answer` says.
void SendAnswer(serving::tcp::socket& socket, const ScriptedAnswer& answer);
void ResetConnection(serving::tcp::socket& socket);

// Sends `request` with the client of the serving core. Returns "END STATUS BODY".
std::string Fetch(const std::string& address, const serving::HttpRequest& request);

// An upstream, store and platform that answer each request with `answer`, and the clients of all of them.
// Each Expect function sends requests, and checks that their answers are taken for none.
struct AnswerReaders {
  explicit AnswerReaders(const ScriptedAnswer& answer);

  void ExpectNoAnswerToARequest(std::size_t upload_bytes);
  void ExpectNoReportLoadOrOutcomeOfAnOrder();
  void ExpectNoAnswerOfTheStore(std::size_t upload_bytes);
  void ExpectNoAnswerOfThePlatform();
  // A request that may be repeated gets the answer of another upstream, and any other one the host's own
  // error without the upstream's signature.
  void ExpectNothingReachesACaller(std::size_t upload_bytes);
  // Of the threaded daemon.
  void ExpectNoAnswerToTheThreadedClient(std::size_t upload_bytes);
  void Run();

  serving::RawServer server;
  serving::EventLoop loop;
  serving::HttpClient http{loop, {}};
  platform::EngineLink link{http};
  serving::UpstreamEntry upstream;
};

}  // namespace oleander

#endif  // OLEANDER_TESTS_ANSWER_READERS_H_
