#include "oleander/explain.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "oleander/log_events.h"

namespace oleander {
namespace {

// Store calls of a host are related to a refusal if they failed up to this long before it, or up to a third
// of it afterwards.
constexpr absl::Duration kStoreCallWindow = absl::Seconds(3);
constexpr absl::Duration kLeavingWindow = absl::Seconds(30);  // a leaving upstream is gone by then
constexpr int kMinFailedStoreCalls = 3;   // fewer may be single lost answers rather than an outage
constexpr double kMinWaitFraction = 0.3;  // of an item's age, to name the wait for its first run as the cause
constexpr double kMinScoringFraction = 0.3;  // of an item's age, to name its scoring as the cause

bool IsEvent(const LogLine& line, LogEvent event) { return line.event == static_cast<int>(event); }

std::string TextOf(const LogLine& line, const char* key) {
  const auto it = line.fields.find(key);
  if (it == line.fields.end()) return "";
  return it->is_string() ? it->get<std::string>() : it->dump();
}

std::int64_t NumberOf(const LogLine& line, const char* key) {
  const auto it = line.fields.find(key);
  return it == line.fields.end() || !it->is_number() ? 0 : it->get<std::int64_t>();
}

bool FlagOf(const LogLine& line, const char* key) {
  const auto it = line.fields.find(key);
  return it != line.fields.end() && it->is_boolean() && it->get<bool>();
}

// The fields of a line as "key=value", without those that every line has.
std::string FieldsText(const LogLine& line) {
  static const std::set<std::string> common = {"time", "level", "event", "name", "host", "left_out_before"};
  std::vector<std::string> parts;
  for (const auto& it : line.fields.items()) {
    if (!common.contains(it.key()))
      parts.push_back(absl::StrCat(it.key(), "=", TextOf(line, it.key().c_str())));
  }
  return absl::StrJoin(parts, " ");
}

std::string LineText(const LogLine& line) {
  return absl::StrCat(absl::FormatTime("%H:%M:%E3S", line.at, absl::UTCTimeZone()), " ", line.host, " ",
                      line.event, " ", TextOf(line, "name"), ": ", FieldsText(line));
}

using Lines = std::vector<const LogLine*>;

Lines Select(const ParsedLogs& logs, const std::function<bool(const LogLine&)>& wanted) {
  Lines lines;
  for (const LogLine& it : logs.lines) {
    if (wanted(it)) lines.push_back(&it);
  }
  return lines;
}

// Summarizes a host's failed store calls between `from` and `to` as one line of the time line; "" if there
// are none. Sets `count` to their number.
std::string SummarizeFailedStoreCalls(const ParsedLogs& logs, const std::string& host, absl::Time from,
                                      absl::Time to, int& count) {
  std::map<std::string, int> ends;
  count = 0;
  for (const LogLine& it : logs.lines) {
    if (!IsEvent(it, LogEvent::kStoreAnswerUnexpected) || it.host != host || it.at < from || it.at > to)
      continue;
    ++ends[absl::StrCat(TextOf(it, "end"), " ", TextOf(it, "status"))];
    ++count;
  }
  if (count == 0) return "";
  std::vector<std::string> parts;
  for (const std::pair<const std::string, int>& it : ends)
    parts.push_back(absl::StrCat(it.second, " x ", it.first));
  return absl::StrCat(absl::FormatTime("%H:%M:%E3S", from, absl::UTCTimeZone()), " ", host, " 403: ", count,
                      " store calls of this host failed within ", absl::FormatDuration(to - from), ": ",
                      absl::StrJoin(parts, ", "));
}

std::string JoinCounts(const std::map<std::string, int>& counts) {
  std::vector<std::string> parts;
  for (const std::pair<const std::string, int>& it : counts)
    parts.push_back(absl::StrCat(it.second, " ", it.first));
  return absl::StrJoin(parts, ", ");
}

// ---- Requests ---------------------------------------------------------------------------------------------

// The upstreams whose answers had told this host, shortly before, that they leave.
std::set<std::string> UpstreamsThatLeft(const ParsedLogs& logs, const LogLine& refusal) {
  std::set<std::string> upstreams;
  for (const LogLine* it : Select(logs, [&refusal](const LogLine& line) {
         return IsEvent(line, LogEvent::kUpstreamStatesLeaving) && line.host == refusal.host &&
                line.at <= refusal.at && refusal.at - line.at <= kLeavingWindow;
       }))
    upstreams.insert(TextOf(*it, "upstream"));
  return upstreams;
}

std::string CauseOfRefusal(const ParsedLogs& logs, const LogLine& refusal,
                           const std::map<std::string, int>& ends, int failed_store_calls) {
  const std::string error = TextOf(refusal, "error");
  if (error == "not_found")
    return absl::StrCat("no route of policy version ", TextOf(refusal, "policy"),
                        " matches its host and path");
  const std::string reason = TextOf(refusal, "reason");
  if (error == "unauthenticated" && reason == "unknown")
    return absl::StrCat("no workspace of policy version ", TextOf(refusal, "policy"), " has its key");
  if (error == "unauthenticated") return absl::StrCat("its key was ", reason);
  if (error == "not_ready" && reason == "policy_old")
    return "the host had no news of keys from the store, so it could not tell whether the key is valid";
  if (error == "not_ready") return "the host had just started and had not received a policy yet";
  std::string cause = absl::StrCat("refused as ", error, " after ", TextOf(refusal, "ms"), " ms");
  if (TextOf(refusal, "usable") == "0") {
    absl::StrAppend(&cause, ": the host had no usable upstream for the service");
    const std::set<std::string> left = UpstreamsThatLeft(logs, refusal);
    if (!left.empty())
      absl::StrAppend(&cause, "; before that, ", absl::StrJoin(left, ", "), " stated that they leave");
  } else if (!ends.empty()) {
    absl::StrAppend(&cause, ": its attempts ended with ", JoinCounts(ends));
  } else {
    absl::StrAppend(&cause, ": its ", TextOf(refusal, "attempts"), " attempts got no answer");
  }
  if (failed_store_calls >= kMinFailedStoreCalls)
    absl::StrAppend(
        &cause, "; the host did not reach the store either, so it was cut off or the store was unavailable");
  return cause;
}

Explanation ExplainRequest(const ParsedLogs& logs, const Lines& lines) {
  Explanation explanation;
  explanation.kind = "request";
  std::map<std::string, int> ends;
  const LogLine* last = nullptr;
  for (const LogLine* it : lines) {
    explanation.time_line.push_back(LineText(*it));
    if (IsEvent(*it, LogEvent::kAttemptFailed))
      ++ends[FlagOf(*it, "not_run") ? "refusals by the upstream" : TextOf(*it, "end")];
    if (IsEvent(*it, LogEvent::kRequestRefused) || IsEvent(*it, LogEvent::kRequestAnswered) ||
        IsEvent(*it, LogEvent::kCallerLeft))
      last = it;
  }
  const LogLine& reference = last == nullptr ? *lines.back() : *last;
  int failed_store_calls = 0;
  const std::string store_summary =
      SummarizeFailedStoreCalls(logs, reference.host, reference.at - kStoreCallWindow,
                                reference.at + kStoreCallWindow / 3, failed_store_calls);
  if (!store_summary.empty()) explanation.time_line.insert(explanation.time_line.begin(), store_summary);
  if (last == nullptr) {
    explanation.cause = absl::StrCat("no outcome is logged; failed attempts: ", JoinCounts(ends));
  } else if (IsEvent(*last, LogEvent::kRequestRefused)) {
    explanation.cause = CauseOfRefusal(logs, *last, ends, failed_store_calls);
  } else if (IsEvent(*last, LogEvent::kCallerLeft)) {
    explanation.cause = absl::StrCat("the caller disconnected after ", TextOf(*last, "ms"), " ms and ",
                                     TextOf(*last, "attempts"), " attempts");
  } else {
    explanation.cause =
        absl::StrCat("answered ", TextOf(*last, "status"), " by ", TextOf(*last, "upstream"), " after ",
                     TextOf(*last, "ms"), " ms and ", TextOf(*last, "attempts"), " attempts");
    if (!ends.empty()) absl::StrAppend(&explanation.cause, "; before that: ", JoinCounts(ends));
  }
  return explanation;
}

// ---- Batch jobs and their items ---------------------------------------------------------------------------

std::string CauseOfJob(const ParsedLogs& logs, const Lines& lines, std::vector<std::string>& time_line) {
  const LogLine* refused = nullptr;
  const LogLine* accepted = nullptr;
  const LogLine* released = nullptr;
  const LogLine* ended = nullptr;
  int takeovers = 0;
  for (const LogLine* it : lines) {
    if (IsEvent(*it, LogEvent::kBatchRefused)) refused = it;
    if (IsEvent(*it, LogEvent::kBatchAccepted)) accepted = it;
    if (IsEvent(*it, LogEvent::kBatchReleased)) released = it;
    if (IsEvent(*it, LogEvent::kBatchEnded)) ended = it;
    takeovers += IsEvent(*it, LogEvent::kBatchTakeover) ? 1 : 0;
  }
  const std::string takeover_note =
      takeovers == 0
          ? ""
          : absl::StrCat("; ", takeovers, " takeovers, because an owner died, froze or was cut off");
  if (accepted == nullptr && refused != nullptr) {
    int failed_store_calls = 0;
    const std::string store_summary =
        SummarizeFailedStoreCalls(logs, refused->host, refused->at - kStoreCallWindow,
                                  refused->at + kStoreCallWindow / 3, failed_store_calls);
    if (!store_summary.empty()) time_line.insert(time_line.begin(), store_summary);
    return absl::StrCat("refused as ", TextOf(*refused, "outcome"), " at ", refused->host,
                        failed_store_calls >= kMinFailedStoreCalls ? ", which did not reach the store" : "");
  }
  if (released != nullptr && TextOf(*released, "reason") == "finished") {
    const std::string duration_note =
        accepted == nullptr
            ? ""
            : absl::StrCat(
                  " ", absl::FormatDuration(absl::Trunc(released->at - accepted->at, absl::Milliseconds(1))),
                  " after it was accepted");
    return absl::StrCat("all ", TextOf(*released, "total"), " items were added to the results", duration_note,
                        takeover_note);
  }
  if (ended != nullptr) {
    return absl::StrCat("ended by its caller with ",
                        released == nullptr ? "an unknown number" : TextOf(*released, "listed"), " of ",
                        released == nullptr ? (accepted == nullptr ? "its" : TextOf(*accepted, "items"))
                                            : TextOf(*released, "total"),
                        " items in the results", takeover_note);
  }
  return absl::StrCat("these logs show no end of the job", takeover_note);
}

std::string CauseOfItem(const Lines& item_lines, const Lines& job_lines) {
  const LogLine* listed = nullptr;
  const LogLine* scored = nullptr;
  std::map<std::string, int> reasons;
  std::int64_t last_events = 0;
  for (const LogLine* it : item_lines) {
    if (IsEvent(*it, LogEvent::kItemListed)) listed = it;
    if (IsEvent(*it, LogEvent::kItemScored)) scored = it;
    if (IsEvent(*it, LogEvent::kItemRequeued)) {
      const std::string reason = TextOf(*it, "reason");
      ++reasons[reason == "failed" ? "failed (500)" : reason];
      last_events = NumberOf(*it, "events");
    }
  }
  int takeovers = 0;
  bool ended = false;
  for (const LogLine* it : job_lines) {
    takeovers += IsEvent(*it, LogEvent::kBatchTakeover) ? 1 : 0;
    ended = ended || IsEvent(*it, LogEvent::kBatchEnded) ||
            (IsEvent(*it, LogEvent::kBatchReleased) && TextOf(*it, "reason") == "ended");
  }
  if (listed == nullptr) {
    return absl::StrCat(
        ended ? "its job was ended before it was listed" : "these logs do not show it in the results", "; ",
        last_events, " events when it was last requeued",
        reasons.empty() ? "" : absl::StrCat("; runs that ended early: ", JoinCounts(reasons)));
  }
  if (TextOf(*listed, "state") == "abandoned") {
    if (scored != nullptr && !FlagOf(*scored, "scored"))
      return absl::StrCat("abandoned: its scoring call failed ", TextOf(*scored, "failures"), " times");
    if (reasons.contains("failed (500)"))
      return absl::StrCat("abandoned: its runs failed with 500, ", reasons.at("failed (500)") + 1, " times");
    return absl::StrCat(
        "abandoned: an engine rejected it, its retention time was over, or its route no longer existed "
        "(age ",
        TextOf(*listed, "age_ms"), " ms)");
  }
  const double age = static_cast<double>(NumberOf(*listed, "age_ms"));
  const double since_start = static_cast<double>(NumberOf(*listed, "since_start_ms"));
  const double scoring = scored == nullptr ? 0 : static_cast<double>(NumberOf(*scored, "ms"));
  const std::int64_t events = std::max<std::int64_t>(1, NumberOf(*listed, "events"));
  std::string cause =
      absl::StrCat("added to the results ", TextOf(*listed, "age_ms"), " ms after its job was accepted: ");
  if (age > 0 && (age - since_start) / age >= kMinWaitFraction) {
    absl::StrAppend(
        &cause, "it waited ", static_cast<std::int64_t>(age - since_start),
        " ms before its first run at this owner",
        takeovers > 0 ? ", after a takeover"
                      : ", because no engine with usable weights had a free slot or its owner started late");
  } else if (age > 0 && scoring / age >= kMinScoringFraction) {
    absl::StrAppend(&cause, "its score took ", static_cast<std::int64_t>(scoring), " ms and ",
                    TextOf(*scored, "attempts"), " attempts");
  } else {
    absl::StrAppend(&cause, events, " events at ",
                    static_cast<std::int64_t>((since_start - scoring) / static_cast<double>(events)),
                    " ms each over ", TextOf(*listed, "runs"), " runs");
  }
  if (!reasons.empty()) absl::StrAppend(&cause, "; runs that ended early: ", JoinCounts(reasons));
  return cause;
}

bool IsJobLine(const LogLine& line) { return line.fields.contains("job") && !line.fields.contains("item"); }

}  // namespace

// ---- Reading ----------------------------------------------------------------------------------------------

void ReadLogLines(std::istream& in, ParsedLogs& logs) {
  std::string text;
  while (std::getline(in, text)) {
    const std::size_t start = text.find('{');
    if (start == std::string::npos) continue;  // not written by a host
    LogLine line;
    line.fields = Json::parse(text.begin() + static_cast<std::ptrdiff_t>(start), text.end(), nullptr, false);
    std::string error;
    if (!line.fields.is_object() || !line.fields.contains("event") ||
        !line.fields["event"].is_number_integer() ||
        !absl::ParseTime(absl::RFC3339_full, TextOf(line, "time"), &line.at, &error)) {
      ++logs.unreadable;
      continue;
    }
    line.event = line.fields["event"].get<int>();
    line.host = TextOf(line, "host");
    logs.suppressed_lines += NumberOf(line, "left_out_before");
    logs.lines.push_back(std::move(line));
  }
}

void SortLines(ParsedLogs& logs) {
  std::stable_sort(logs.lines.begin(), logs.lines.end(),
                   [](const LogLine& a, const LogLine& b) { return a.at < b.at; });
}

// ---- Explaining -------------------------------------------------------------------------------------------

Explanation Explain(const ParsedLogs& logs, const std::string& id) {
  // The id of a job may be given without the workspace that its lines name before it.
  const auto matches_id = [&id](const LogLine& line, const char* key) {
    const std::string found = TextOf(line, key);
    return found == id || absl::EndsWith(found, absl::StrCat("/", id));
  };
  Lines lines = Select(logs, [&](const LogLine& it) { return matches_id(it, "job") && IsJobLine(it); });
  Explanation explanation;
  if (!lines.empty()) {
    explanation.kind = "batch job";
    for (const LogLine* it : lines) explanation.time_line.push_back(LineText(*it));
    explanation.cause = CauseOfJob(logs, lines, explanation.time_line);
    explanation.found = true;
    return explanation;
  }
  std::string item = id;
  std::string kind = "item";
  const Lines scored = Select(logs, [&](const LogLine& it) {
    return IsEvent(it, LogEvent::kItemScored) && matches_id(it, "request");
  });
  if (!scored.empty()) {
    kind = "scoring call";
    item = TextOf(*scored.back(), "item");
  }
  lines = Select(logs, [&](const LogLine& it) { return TextOf(it, "item") == item; });
  if (!lines.empty()) {
    // The same item may be submitted again in a later job; the last one is explained.
    const std::string job = TextOf(*lines.back(), "job");
    std::set<std::string> scoring_ids = {id};
    for (const LogLine* it : lines) {
      if (IsEvent(*it, LogEvent::kItemScored)) scoring_ids.insert(TextOf(*it, "request"));
    }
    const Lines job_lines =
        Select(logs, [&](const LogLine& it) { return TextOf(it, "job") == job && IsJobLine(it); });
    const Lines all = Select(logs, [&](const LogLine& it) {
      return TextOf(it, "item") == item || (TextOf(it, "job") == job && IsJobLine(it)) ||
             (IsEvent(it, LogEvent::kScoringAttemptFailed) && scoring_ids.contains(TextOf(it, "request")));
    });
    for (const LogLine* it : all) explanation.time_line.push_back(LineText(*it));
    const Lines last = Select(
        logs, [&](const LogLine& it) { return TextOf(it, "item") == item && TextOf(it, "job") == job; });
    explanation.kind = kind;
    explanation.cause = CauseOfItem(last, job_lines);
    explanation.found = true;
    return explanation;
  }
  lines = Select(logs, [&](const LogLine& it) { return matches_id(it, "request"); });
  if (lines.empty()) {
    explanation.cause = logs.suppressed_lines > 0
                            ? absl::StrCat("no log line mentions it; ", logs.suppressed_lines,
                                           " lines were left out by the hosts' rate limit")
                            : "no log line mentions it: it reached none of these hosts";
    return explanation;
  }
  explanation = ExplainRequest(logs, lines);
  explanation.found = true;
  return explanation;
}

Json ListBatches(const ParsedLogs& logs) {
  struct Batch {
    Json row;
    std::vector<std::string> owners;
    int rerun_items = 0;
  };
  std::map<std::string, Batch> batches;
  std::vector<std::string> order;
  for (const LogLine& it : logs.lines) {
    const std::string job = TextOf(it, "job");
    if (job.empty()) continue;
    if (!batches.contains(job)) order.push_back(job);
    Batch& batch = batches[job];
    if (batch.row.is_null()) {
      batch.row = {{"job", job},     {"model", ""},  {"step", ""},  {"min_version", ""},
                   {"accepted", ""}, {"listed", ""}, {"total", ""}, {"end", "open"}};
    }
    if (IsEvent(it, LogEvent::kBatchAccepted)) {
      for (const char* key : {"model", "step", "min_version"}) batch.row[key] = it.fields.value(key, Json());
      batch.row["total"] = it.fields.value("items", Json());
      batch.row["accepted"] = absl::FormatTime("%H:%M:%E3S", it.at, absl::UTCTimeZone());
    } else if (IsEvent(it, LogEvent::kBatchOwned)) {
      batch.owners.push_back(it.host);
    } else if (IsEvent(it, LogEvent::kBatchReleased)) {
      batch.row["listed"] = it.fields.value("listed", Json());
      batch.row["end"] = TextOf(it, "reason");
    } else if (IsEvent(it, LogEvent::kBatchRefused) && batch.row["accepted"] == "") {
      batch.row["end"] = absl::StrCat("refused: ", TextOf(it, "outcome"));
    } else if (IsEvent(it, LogEvent::kItemListed) && NumberOf(it, "runs") > 1) {
      ++batch.rerun_items;
    }
  }
  Json rows = Json::array();
  for (const std::string& it : order) {
    Batch& batch = batches[it];
    batch.row["owners"] = absl::StrJoin(batch.owners, ",");
    batch.row["run_again"] = batch.rerun_items;
    rows.push_back(batch.row);
  }
  return rows;
}

}  // namespace oleander
