// Runs one load test against a running deployment: sets up policy and jobs, runs trainers and callers, checks
// the results.
#ifndef OLEANDER_SRC_LOAD_LOAD_RUN_H_
#define OLEANDER_SRC_LOAD_LOAD_RUN_H_

#include <functional>
#include <string>

#include "load/load_plan.h"

namespace oleander::load {

// Calls `progress` with one line of human-readable text at a time, from any thread. Returns the summary.
// Errors: kNotReady (a host is not ready in time), and those of PutWeights, CallAdmin and FetchAuditLog.
leaf::result<Json> RunLoad(const LoadPlan& plan, const std::function<void(const std::string&)>& progress);

// Switches a fault with POST /control/fault of the stand-ins. Errors: kUpstreamFailed, kInvalidRequest.
leaf::result<void> SendFault(const LoadPlan& plan, const Json& fault);

// Ports of the plan that some process already listens on.
std::vector<int> PortsInUse(const LoadPlan& plan);

}  // namespace oleander::load

#endif  // OLEANDER_SRC_LOAD_LOAD_RUN_H_
