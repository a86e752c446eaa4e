#include "load/load_http.h"

namespace oleander::load {

Outcome<HttpAnswer> CallProgram(const LoadPlan& plan, int port, const HttpCall& call) {
  HttpPool pool;
  return Capture<HttpAnswer>([&] { return SendHttp(pool, {plan.address, port}, call); });
}

}  // namespace oleander::load
