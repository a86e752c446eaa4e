// HTTP/1.1 client with persistent connections, on Boost.Beast. Does not interpret the messages.
#ifndef OLEANDER_SRC_SERVING_HTTP_CLIENT_H_
#define OLEANDER_SRC_SERVING_HTTP_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "oleander/serving.h"
#include "serving/event_loop.h"
#include "serving/held_bytes.h"

namespace oleander::serving {

struct HttpClientLimits {
  absl::Duration connect_timeout = absl::Milliseconds(150);  // links have a latency of a few milliseconds
  absl::Duration max_idle = absl::Seconds(30);  // of an idle connection, unless the upstream states less
  int max_idle_per_address = 64;                // idle connections
  // A cancelled call that received nothing for this long makes the idle connections to its address suspect,
  // as a timeout does. An engine with a queue may stay silent for half a second.
  absl::Duration suspect_after = absl::Seconds(1);
  // Limit for the bytes of one response outside its body (interim responses, head, chunk headers and
  // extensions, trailers): this value plus the bytes of the body.
  std::size_t max_framing_bytes = 64 << 10;
};

struct HttpCall {
  std::string address;                                        // "ip:port"
  HttpRequest request;                                        //
  std::shared_ptr<const std::string> body;                    // goes before that of `request`, if set
  absl::Duration timeout = absl::InfiniteDuration();          // for the whole call
  absl::Duration silence_timeout = absl::InfiniteDuration();  // longest time without a received byte
  bool fresh_connection = false;                              // do not reuse an idle one
  std::size_t max_body_bytes = 32 << 20;  // of the response; a larger one ends the call with kTooLarge
  // The host depends on the response, so that it is received without asking the account for room.
  bool needs_no_room = false;
};
struct HttpCallHandlers {
  // Empty: all. If it returns false, the response belongs to another request: the call ends with kBroken,
  // without any other handler, and its connection is closed, because its own response may still follow there.
  std::function<bool(const HttpResponse&)> accepts;
  std::function<void(const HttpResponse&)> on_head;  // status and headers; no body
  std::function<void(std::string_view)> on_body;     // decoded parts, in order
  std::function<void(CallEnd)> on_end;               // exactly once, unless cancelled
};

struct HttpClientCounts {
  std::int64_t calls = 0;        // started
  std::int64_t connections = 0;  // opened
  std::int64_t too_large = 0;    // calls ended with kTooLarge
  std::int64_t no_room = 0;      // calls ended with kNoRoom
  std::int64_t surplus = 0;      // complete responses with further bytes behind them
};

class HttpClient {
 public:
  HttpClient(EventLoop& loop, HttpClientLimits limits);
  // From now on, responses are read only as far as the account has room for them. One without room is not
  // read on, which slows its upstream down; if that lasts, the call with the largest response ends with
  // kNoRoom. HttpResponse::held of the head keeps the room of the whole response.
  void UseHeldBytes(HeldBytes& account) { account_ = &account; }
  // Called when a response has no room. Returns true if it has made some. May be empty.
  std::function<bool()> on_no_room;
  ~HttpClient();
  CallId Start(HttpCall call, HttpCallHandlers handlers);
  // Like Start, but buffers the response: `done` gets the call's end and what has arrived; status 0: no head.
  CallId StartBuffered(HttpCall call, std::function<void(CallEnd, const HttpResponse&)> done,
                       std::function<bool(const HttpResponse&)> accepts = nullptr);
  void Cancel(CallId id);
  // Closes connections whose idle timeout has passed.
  void CloseIdle();
  const HttpClientCounts& Counts() const { return counts_; }

 private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  ConnectionPtr TakeIdle(const std::string& address);
  void Connect(const ConnectionPtr& connection);
  void Send(const ConnectionPtr& connection);
  void Receive(const ConnectionPtr& connection);
  static void ResetParser(Connection& connection);
  static void TakeHead(Connection& connection);
  static bool Parse(Connection& connection, boost::system::error_code received);
  void OnReceived(const ConnectionPtr& connection, bool failed);
  bool CheckSizeLimits(const ConnectionPtr& connection, std::size_t body_bytes);
  bool TakeRoom(Connection& connection);
  void AwaitRoom(const ConnectionPtr& connection);
  void ScheduleRoomCheck();
  void CheckRoom();
  void GiveRoomToWaiting();
  void AbortLargest();
  void OnEndOfConnection(const ConnectionPtr& connection);
  void Finish(const ConnectionPtr& connection, CallEnd end);
  void CloseSuspects(const std::string& address, absl::Time silent_since);
  void LogRefusedAnswer(const Connection& connection, std::string_view reason) const;
  void LogUnanswered(const Connection& connection) const;
  void KeepIdle(const ConnectionPtr& connection);
  void ScheduleTimeoutCheck(const ConnectionPtr& connection);
  void CheckTimeouts(const ConnectionPtr& connection);

  EventLoop& loop_;
  HttpClientLimits limits_;
  HttpClientCounts counts_;
  HeldBytes* account_ = nullptr;
  std::deque<ConnectionPtr> awaiting_room_;  // oldest first; also connections whose call has ended meanwhile
  TimerId room_check_ = 0;
  CallId next_id_ = 1;
  absl::flat_hash_map<CallId, ConnectionPtr> calls_;
  absl::flat_hash_map<std::string, std::deque<ConnectionPtr>> idle_;
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_HTTP_CLIENT_H_
