// Common code of the caller API and the administration API: requests, credentials, refusals, strict JSON.
#ifndef OLEANDER_LINKS_HTTP_ANSWERS_H_
#define OLEANDER_LINKS_HTTP_ANSWERS_H_

#include <httplib.h>

#include <string>
#include <string_view>
#include <vector>

#include "hosts/host_state.h"
#include "oleander/errors.h"

namespace oleander {

// One HTTP request and its answer.
struct Exchange {
  Host& host;                       //
  const httplib::Request& request;  //
  httplib::Response& response;      //
  std::string body;                 //
  std::string request_id;           // the caller's own or a new one
  std::vector<std::string> path;    // segments of the request path
  std::string name;                 // name of the authenticated credential
};

// Answers with the HTTP status and JSON body of the error, and counts the refusal.
void Refuse(Exchange& exchange, const Error& error);
void AnswerJson(Exchange& exchange, const Json& json, int status = 200);
// Sets Oleander-Request-Id and Oleander-Config. HttpServer itself adds Connection: close while it is closing.
void AddHeaders(Host& host, const std::string& request_id, httplib::Response& response);

enum class Role { kCaller, kOperator };
// Checks the bearer token and sets exchange.name. Errors: kUnauthenticated, kForbidden (a credential of the
// other role).
leaf::result<void> Authenticate(Exchange& exchange, Role role);

// Parses a JSON object strictly: no duplicate keys, bounded depth, no numbers beyond 2^53. Errors:
// kInvalidRequest.
leaf::result<Json> ParseObject(const std::string& text);
// Parses an integer of a header or query parameter. Errors: kInvalidRequest.
leaf::result<std::int64_t> ParseInteger(const std::string& name, const std::string& text, std::int64_t low,
                                        std::int64_t high);

// Dispatches everything below /v1/admin/.
void ServeAdmin(Exchange& exchange);
// Dispatches the caller API.
void ServeCaller(Exchange& exchange);

}  // namespace oleander

#endif  // OLEANDER_LINKS_HTTP_ANSWERS_H_
