// HTTP calls of the load tool to the programs of a plan, each on a connection of its own.
#ifndef OLEANDER_SRC_LOAD_LOAD_HTTP_H_
#define OLEANDER_SRC_LOAD_LOAD_HTTP_H_

#include "links/http_client.h"
#include "load/load_plan.h"

namespace oleander::load {

// Errors: those of SendHttp.
Outcome<HttpAnswer> CallProgram(const LoadPlan& plan, int port, const HttpCall& call);

}  // namespace oleander::load

#endif  // OLEANDER_SRC_LOAD_LOAD_HTTP_H_
