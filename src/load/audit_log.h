// The audit log of the stand-ins (GET /books), and the checks of answers against it.
#ifndef OLEANDER_SRC_LOAD_AUDIT_LOG_H_
#define OLEANDER_SRC_LOAD_AUDIT_LOG_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "load/load_plan.h"

namespace oleander::load {

// What the stand-ins received and produced, recorded by themselves; independent of what the hosts report.
struct AuditLog {
  // Hash of (position, token, version) of each token that an engine produced.
  absl::flat_hash_set<std::uint64_t> token_hashes;
  // Hash of (position, token) of the last token of each stream with finish reason "stop".
  absl::flat_hash_set<std::uint64_t> stream_end_hashes;
  std::set<std::string> prompt_heads;            // first 64 bytes of each prompt that an engine admitted
  std::map<std::string, std::int64_t> filings;   // receipt id to number of times it was filed
  std::map<std::string, std::int64_t> load_ids;  // load id to number of times a service ran it
  std::int64_t token_count = 0;                  // tokens that the engines produced
  Json raw;                                      // JSON of GET /books, without token records and load ids
};

// Reads GET /books from the stand-ins' control port. Errors: kUpstreamFailed, kUpstreamProtocol.
leaf::result<AuditLog> FetchAuditLog(const LoadPlan& plan);
// Errors: kUpstreamProtocol.
leaf::result<AuditLog> ParseAuditLog(Json json);

struct LabelCheck {
  bool labels_correct = true;  // each token was produced by the version named in its span
  bool complete = true;        // the stream reached its natural end or max_tokens
  Version oldest_version = 0;  // lowest version in the spans
};
// Compares the tokens and version labels of one answer with the audit log.
LabelCheck CheckLabels(const AuditLog& audit_log, const std::vector<std::int32_t>& tokens,
                       const std::vector<VersionSpan>& spans, FinishReason finish, int max_tokens);

}  // namespace oleander::load

#endif  // OLEANDER_SRC_LOAD_AUDIT_LOG_H_
