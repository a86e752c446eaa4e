#include "load/audit_log.h"

#include "absl/hash/hash.h"
#include "absl/strings/str_cat.h"
#include "load/load_http.h"

namespace oleander::load {
namespace {

constexpr std::size_t kMaxAuditLogBytes = 1 << 30;  // it grows with the load

std::uint64_t TokenHash(int position, std::int32_t token, Version version) {
  return absl::HashOf(position, token, version);
}

std::uint64_t EndHash(int position, std::int32_t token) { return absl::HashOf(position, token); }

void AddTokenRecord(AuditLog& audit_log, const Json& record) {
  const std::vector<std::int32_t> tokens = record.at("tokens").get<std::vector<std::int32_t>>();
  int position = record.at("offset").get<int>();
  std::size_t next = 0;
  for (const Json& span : record.at("spans")) {
    const Version version = span.at(0).get<Version>();
    for (int it = 0; it < span.at(1).get<int>(); ++it) {
      audit_log.token_hashes.insert(TokenHash(position++, tokens.at(next++), version));
    }
  }
  // If only the last event of a stream is lost, it is resumed with all of its tokens and ends without
  // producing another. Its last token is then the last one of the resume request.
  if (record.at("finish") == "stop" && position > 0) {
    const std::int32_t last = tokens.empty() ? record.at("last_resumed").get<std::int32_t>() : tokens.back();
    audit_log.stream_end_hashes.insert(EndHash(position - 1, last));
  }
  audit_log.token_count += static_cast<std::int64_t>(tokens.size());
  audit_log.prompt_heads.insert(record.at("prompt").get<std::string>());
}

void AddCounts(std::map<std::string, std::int64_t>& counts, const Json& json) {
  for (const auto& it : json.items()) counts[it.key()] += it.value().get<std::int64_t>();
}

}  // namespace

leaf::result<AuditLog> ParseAuditLog(Json json) {
  AuditLog audit_log;
  try {
    for (auto& it : json.items()) {
      Json& entry = it.value();
      if (entry.contains("records")) {
        for (const Json& record : entry["records"]) AddTokenRecord(audit_log, record);
        entry.erase("records");
      }
      if (entry.contains("filings")) AddCounts(audit_log.filings, entry["filings"]);
      if (entry.contains("by_load_id")) {
        AddCounts(audit_log.load_ids, entry["by_load_id"]);
        entry.erase("by_load_id");
      }
    }
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kUpstreamProtocol, absl::StrCat("GET /books: ", ex.what()));
  }
  audit_log.raw = std::move(json);
  return audit_log;
}

leaf::result<AuditLog> FetchAuditLog(const LoadPlan& plan) {
  HttpCall call;
  call.path = "/books";
  call.deadline = absl::Seconds(30);
  call.max_answer_bytes = kMaxAuditLogBytes;
  const Outcome<HttpAnswer> answer = CallProgram(plan, ControlPort(plan), call);
  if (!Ok(answer) || Value(answer).status != 200)
    return Fail(ErrorKind::kUpstreamFailed,
                "GET /books of the stand-ins: no response or status other than 200");
  Json json = Json::parse(Value(answer).body, nullptr, false);
  if (!json.is_object())
    return Fail(ErrorKind::kUpstreamProtocol, "GET /books of the stand-ins: response is not a JSON object");
  return ParseAuditLog(std::move(json));
}

LabelCheck CheckLabels(const AuditLog& audit_log, const std::vector<std::int32_t>& tokens,
                       const std::vector<VersionSpan>& spans, FinishReason finish, int max_tokens) {
  LabelCheck check;
  check.oldest_version = OldestVersion(spans);
  std::size_t position = 0;
  for (const VersionSpan& span : spans) {
    for (int it = 0; it < span.tokens && position < tokens.size(); ++it, ++position) {
      const std::uint64_t hash = TokenHash(static_cast<int>(position), tokens[position], span.version);
      if (!audit_log.token_hashes.contains(hash)) check.labels_correct = false;
    }
  }
  if (position != tokens.size() || tokens.empty()) check.labels_correct = false;
  const int last = static_cast<int>(tokens.size()) - 1;
  if (finish == FinishReason::kStop) {
    check.complete = !tokens.empty() && audit_log.stream_end_hashes.contains(EndHash(last, tokens.back()));
  } else {
    check.complete = finish == FinishReason::kLength && last + 1 == max_tokens;
  }
  return check;
}

}  // namespace oleander::load
