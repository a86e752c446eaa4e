// HTTP server of one stand-in: the routes of its role, faults (POST /fault), audit log (GET /books), crash
// and restart.
#ifndef OLEANDER_STANDINS_HTTP_PORT_H_
#define OLEANDER_STANDINS_HTTP_PORT_H_

#include <httplib.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "oleander/errors.h"
#include "oleander/types.h"
#include "standins/faults.h"

namespace oleander::standins {

// What a kind of stand-in adds to its server. The functions may be called from several threads.
struct PortRole {
  std::string name;                              // kind of stand-in, for example "table"
  std::string id;                                // instance id, for example "engine-07"
  std::function<void(httplib::Server&)> routes;  // adds the request handlers
  std::function<Json()> audit_log;               // what the stand-in received and produced
  std::function<void()> on_crash;                // drops volatile state; may be null
  std::function<void()> on_stop;                 // wakes blocked handlers; may be null
};

struct HttpPort {
  Endpoint endpoint;                                               //
  PortRole role;                                                   //
  Faults faults;                                                   //
  absl::Mutex mutex;                                               //
  std::shared_ptr<httplib::Server> server ABSL_GUARDED_BY(mutex);  // null after StopServing
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  std::thread thread;
  ~HttpPort();
};

// Binds the address and serves on a new thread. Port 0 picks a free port. Errors: kInternal (address in use).
leaf::result<std::unique_ptr<HttpPort>> OpenPort(const Endpoint& endpoint, PortRole role);
// The same for an HttpPort that the caller owns, so that its handlers can use its faults.
leaf::result<void> OpenPort(HttpPort& port);
void ClosePort(HttpPort& port);

// Handles the body of POST /fault. A crash closes all connections except the one from `keep_remote_port`,
// which carries the answer. Errors: kInvalidRequest.
leaf::result<void> HandleFault(HttpPort& port, const Json& body, int keep_remote_port);

// Closes this process's established connections on `local_port`: only those from `only_remote_port`, and none
// from `except_remote_port`. 0 turns either filter off.
void CloseConnections(int local_port, int only_remote_port, int except_remote_port);

void AnswerJson(httplib::Response& res, int status, const Json& body);

}  // namespace oleander::standins

#endif  // OLEANDER_STANDINS_HTTP_PORT_H_
