// Summary of a load run: the measurements checked against the audit log, as JSON and as a text table.
#ifndef OLEANDER_SRC_LOAD_LOAD_SUMMARY_H_
#define OLEANDER_SRC_LOAD_LOAD_SUMMARY_H_

#include <string>
#include <vector>

#include "load/audit_log.h"
#include "load/load_plan.h"
#include "load/load_record.h"

namespace oleander::load {

// Retries by reason, summed over the hosts that still answer GET /metrics. Taken from the hosts because a
// stand-in cannot see why a host sent a request again. `hosts_read` is set to the number of those hosts.
std::map<std::string, std::int64_t> FetchRetries(const LoadPlan& plan, int& hosts_read);
// Values of the counter `name` by label "reason", from metrics in the Prometheus text format; zeros are left
// out.
std::map<std::string, std::int64_t> ParseReasons(const std::string& text, const std::string& name);

// {"samples_expected", ..., "broken_promises":[...]}. All counts come from the audit log, the trainers and
// the callers, except the retries, which the hosts report. "broken_promises" lists the counts that should be
// 0 and are not.
Json Summarize(const LoadPlan& plan, LoadRecord& record, const AuditLog& audit_log);

// The numbers, violations and trainer errors of the summary as text, one per line.
std::string FormatSummary(const Json& summary);

}  // namespace oleander::load

#endif  // OLEANDER_SRC_LOAD_LOAD_SUMMARY_H_
