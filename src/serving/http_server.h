// HTTP/1.1 server on Boost.Beast: one exchange at a time per connection; requests and responses are buffered.
#ifndef OLEANDER_SRC_SERVING_HTTP_SERVER_H_
#define OLEANDER_SRC_SERVING_HTTP_SERVER_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "oleander/serving.h"
#include "serving/event_loop.h"
#include "serving/held_bytes.h"

namespace oleander::serving {

using ExchangeId = std::uint64_t;

class HttpServer {
 public:
  // Invoked for each complete request. The response is sent with Respond, at any time.
  using RequestHandler = std::function<void(ExchangeId, HttpRequest)>;

  HttpServer(EventLoop& loop, RequestHandler on_request);
  ~HttpServer();
  // Returns false if the address cannot be bound.
  bool Listen(const std::string& address);
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }
  // From now on, requests are read only as far as the account has room for them. A request without room waits
  // unread; bodies that have stalled give way to it, and if none has, it is refused as not run.
  void UseHeldBytes(HeldBytes& account) { account_ = &account; }
  // From now on, at most `n` connections are open. A new one beyond that closes the one that has made no
  // progress for the longest time, if it is not busy; if all are, no more are accepted until one ends.
  void SetMaxConnections(int n) { max_connections_ = static_cast<std::size_t>(n); }
  // From now on, refuses requests of HTTP/1.1 without a Host field. Probes may lack it, so it is off by
  // default.
  void RequireHost() { host_required_ = true; }
  // Does nothing if the caller has disconnected.
  void Respond(ExchangeId id, HttpResponse response);
  // Invokes `fn` once if the caller closes the connection before Respond is called.
  void OnCallerDisconnect(ExchangeId id, std::function<void()> fn);
  // Room for an answer that this host makes itself, to be passed on in HttpResponse::held. Callers that have
  // stalled give way to it. Returns nullptr if there is none.
  std::shared_ptr<void> TakeRoomForAnswer(std::size_t bytes);
  // Closes the connection whose caller has not read on in its answer for the longest time, if that is half a
  // second or more, so that another answer has room. Returns false if there is none.
  bool CloseStalledReader();
  // From now on closes each connection after its next response; new connections are still accepted.
  void CloseAfterAnswers() { closing_ = true; }
  // Stops listening and closes connections that are not busy.
  void StopAccepting();
  // Connections on which a request is being received or processed, an answer is being sent, or the caller has
  // not closed yet after the last answer. A process that exits before there are none cuts answers off.
  int BusyConnections() const;
  int Connections() const { return static_cast<int>(connections_.size()); }

 private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  void Accept();
  void AdmitConnection(asio::ip::tcp::socket socket);
  bool CloseLeastActive(std::uint64_t except);
  void StartRequest(const ConnectionPtr& connection);
  bool TakeRoom(Connection& connection);
  void AwaitRoom(const ConnectionPtr& connection);
  void ScheduleRoomCheck();
  void CheckRoom();
  void GiveRoomToWaiting();
  bool RefuseStalled();
  void Receive(const ConnectionPtr& connection);
  void Advance(const ConnectionPtr& connection);
  void WatchForDisconnect(const ConnectionPtr& connection);
  void WriteResponse(const ConnectionPtr& connection, HttpResponse response, bool close);
  void Write(const ConnectionPtr& connection);
  void OnWritten(const ConnectionPtr& connection);
  void Linger(const ConnectionPtr& connection);
  void Discard(const ConnectionPtr& connection);
  static bool IsBusy(const Connection& connection);
  absl::Time Deadline(const Connection& connection) const;
  void ScheduleTimeoutCheck();
  void CheckTimeouts();
  void Refuse(const ConnectionPtr& connection, int status, std::string_view reason);
  void Close(const ConnectionPtr& connection);

  EventLoop& loop_;
  RequestHandler on_request_;
  CallerLimits limits_;
  bool host_required_ = false;
  bool closing_ = false;
  std::size_t max_connections_ = std::numeric_limits<std::size_t>::max();
  bool accept_paused_ = false;  // all connections are busy
  TimerId timeout_check_ = 0;
  HeldBytes* account_ = nullptr;
  std::deque<ConnectionPtr> awaiting_room_;  // oldest first; also connections that have ended meanwhile
  TimerId room_check_ = 0;
  asio::ip::tcp::acceptor acceptor_;
  std::uint64_t next_id_ = 1;
  absl::flat_hash_map<std::uint64_t, ConnectionPtr> connections_;
  absl::flat_hash_map<ExchangeId, ConnectionPtr> exchanges_;
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_HTTP_SERVER_H_
