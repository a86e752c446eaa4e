// HTML page with SVG charts of a load run, made from its JSON summary: latency over time, trainer idle time,
// staleness, refusals, retries.
#ifndef OLEANDER_SRC_LOAD_LOAD_REPORT_H_
#define OLEANDER_SRC_LOAD_LOAD_REPORT_H_

#include <string>

#include "oleander/types.h"

namespace oleander::load {

std::string RenderReport(const Json& summary);

}  // namespace oleander::load

#endif  // OLEANDER_SRC_LOAD_LOAD_REPORT_H_
