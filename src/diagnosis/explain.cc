#include "oleander/explain.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "oleander/log_events.h"

namespace oleander {
namespace {

constexpr absl::Duration kAround = absl::Seconds(3);  // store calls and readiness of a host near a request
constexpr int kStoreTrouble = 3;       // failed store calls that show more than one lost answer
constexpr double kWaitedShare = 0.3;   // of an item's age before its first run
constexpr double kScoringShare = 0.3;  // of an item's age after its text was whole

bool Is(const LogLine& line, LogEvent event) { return line.event == static_cast<int>(event); }

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

// Fields that are shown in a time line, without those that every line has.
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

Lines Select(const LogRead& read, const std::function<bool(const LogLine&)>& wanted) {
  Lines lines;
  for (const LogLine& it : read.lines) {
    if (wanted(it)) lines.push_back(&it);
  }
  return lines;
}

// Failed store calls of a host around a time, as one line of the time line; "" if there are none.
std::string StoreTrouble(const LogRead& read, const std::string& host, absl::Time from, absl::Time to,
                         int& count) {
  std::map<std::string, int> ends;
  count = 0;
  for (const LogLine& it : read.lines) {
    if (!Is(it, LogEvent::kStoreAnswerUnexpected) || it.host != host || it.at < from || it.at > to) continue;
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

std::string Counted(const std::map<std::string, int>& counts) {
  std::vector<std::string> parts;
  for (const std::pair<const std::string, int>& it : counts)
    parts.push_back(absl::StrCat(it.second, " ", it.first));
  return absl::StrJoin(parts, ", ");
}

// ---- Requests ---------------------------------------------------------------------------------------------

std::string CauseOfRefusal(const LogLine& refusal, const std::map<std::string, int>& ends, int store_calls) {
  const std::string error = TextOf(refusal, "error");
  if (error == "not_found")
    return absl::StrCat("no route of policy version ", TextOf(refusal, "policy"),
                        " matches its host and path");
  if (error == "not_ready") return "the host had just started and knew no policy yet";
  std::string cause = absl::StrCat("refused as ", error, " after ", TextOf(refusal, "ms"), " ms");
  if (TextOf(refusal, "usable") == "0") {
    absl::StrAppend(&cause, ": the host knew no upstream of the service");
  } else if (!ends.empty()) {
    absl::StrAppend(&cause, ": its attempts ended with ", Counted(ends));
  } else {
    absl::StrAppend(&cause, ": its ", TextOf(refusal, "attempts"), " attempts stayed unanswered");
  }
  if (store_calls >= kStoreTrouble)
    absl::StrAppend(&cause,
                    "; the host did not reach the store either, so it was cut off or the store was away");
  return cause;
}

Explanation ExplainRequest(const LogRead& read, const Lines& lines) {
  Explanation story;
  story.kind = "request";
  std::map<std::string, int> ends;
  const LogLine* last = nullptr;
  for (const LogLine* it : lines) {
    story.time_line.push_back(LineText(*it));
    if (Is(*it, LogEvent::kAttemptFailed))
      ++ends[FlagOf(*it, "not_run") ? "refusals by the upstream" : TextOf(*it, "end")];
    if (Is(*it, LogEvent::kRequestRefused) || Is(*it, LogEvent::kRequestAnswered) ||
        Is(*it, LogEvent::kCallerLeft))
      last = it;
  }
  const LogLine& reference = last == nullptr ? *lines.back() : *last;
  int store_calls = 0;
  const std::string trouble =
      StoreTrouble(read, reference.host, reference.at - kAround, reference.at + kAround / 3, store_calls);
  if (!trouble.empty()) story.time_line.insert(story.time_line.begin(), trouble);
  if (last == nullptr) {
    story.cause = absl::StrCat("no end is logged; attempts that failed: ", Counted(ends));
  } else if (Is(*last, LogEvent::kRequestRefused)) {
    story.cause = CauseOfRefusal(*last, ends, store_calls);
  } else if (Is(*last, LogEvent::kCallerLeft)) {
    story.cause = absl::StrCat("the caller left after ", TextOf(*last, "ms"), " ms and ",
                               TextOf(*last, "attempts"), " attempts");
  } else {
    story.cause =
        absl::StrCat("answered ", TextOf(*last, "status"), " by ", TextOf(*last, "upstream"), " after ",
                     TextOf(*last, "ms"), " ms and ", TextOf(*last, "attempts"), " attempts");
    if (!ends.empty()) absl::StrAppend(&story.cause, "; before that: ", Counted(ends));
  }
  return story;
}

// ---- Batch jobs and their items ---------------------------------------------------------------------------

std::string CauseOfJob(const LogRead& read, const Lines& lines, std::vector<std::string>& time_line) {
  const LogLine* refused = nullptr;
  const LogLine* accepted = nullptr;
  const LogLine* released = nullptr;
  const LogLine* ended = nullptr;
  int takeovers = 0;
  for (const LogLine* it : lines) {
    if (Is(*it, LogEvent::kBatchRefused)) refused = it;
    if (Is(*it, LogEvent::kBatchAccepted)) accepted = it;
    if (Is(*it, LogEvent::kBatchReleased)) released = it;
    if (Is(*it, LogEvent::kBatchEnded)) ended = it;
    takeovers += Is(*it, LogEvent::kBatchTakeover) ? 1 : 0;
  }
  const std::string again =
      takeovers == 0
          ? ""
          : absl::StrCat("; ", takeovers, " takeovers, because an owner died, froze or was cut off");
  if (accepted == nullptr && refused != nullptr) {
    int store_calls = 0;
    const std::string trouble =
        StoreTrouble(read, refused->host, refused->at - kAround, refused->at + kAround / 3, store_calls);
    if (!trouble.empty()) time_line.insert(time_line.begin(), trouble);
    return absl::StrCat("refused as ", TextOf(*refused, "outcome"), " at ", refused->host,
                        store_calls >= kStoreTrouble ? ", which did not reach the store" : "");
  }
  if (released != nullptr && TextOf(*released, "reason") == "finished") {
    const std::string took =
        accepted == nullptr
            ? ""
            : absl::StrCat(
                  " ", absl::FormatDuration(absl::Trunc(released->at - accepted->at, absl::Milliseconds(1))),
                  " after it was accepted");
    return absl::StrCat("all ", TextOf(*released, "total"), " items were listed", took, again);
  }
  if (ended != nullptr) {
    return absl::StrCat("ended by its caller with ",
                        released == nullptr ? "an unknown number" : TextOf(*released, "listed"), " of ",
                        released == nullptr ? (accepted == nullptr ? "its" : TextOf(*accepted, "items"))
                                            : TextOf(*released, "total"),
                        " items listed", again);
  }
  return absl::StrCat("neither finished nor ended in these logs", again);
}

std::string CauseOfItem(const Lines& item_lines, const Lines& job_lines) {
  const LogLine* listed = nullptr;
  const LogLine* scored = nullptr;
  std::map<std::string, int> reasons;
  std::int64_t last_events = 0;
  for (const LogLine* it : item_lines) {
    if (Is(*it, LogEvent::kItemListed)) listed = it;
    if (Is(*it, LogEvent::kItemScored)) scored = it;
    if (Is(*it, LogEvent::kItemRequeued)) {
      const std::string reason = TextOf(*it, "reason");
      ++reasons[reason == "failed" ? "failed (500)" : reason];
      last_events = NumberOf(*it, "events");
    }
  }
  int takeovers = 0;
  bool ended = false;
  for (const LogLine* it : job_lines) {
    takeovers += Is(*it, LogEvent::kBatchTakeover) ? 1 : 0;
    ended = ended || Is(*it, LogEvent::kBatchEnded) ||
            (Is(*it, LogEvent::kBatchReleased) && TextOf(*it, "reason") == "ended");
  }
  if (listed == nullptr) {
    return absl::StrCat(ended ? "its job was ended before it was listed" : "it is not listed in these logs",
                        "; ", last_events, " events at its last move",
                        reasons.empty() ? "" : absl::StrCat("; runs that ended early: ", Counted(reasons)));
  }
  if (TextOf(*listed, "state") == "abandoned") {
    if (scored != nullptr && !FlagOf(*scored, "scored"))
      return absl::StrCat("abandoned: its scoring call failed ", TextOf(*scored, "failures"), " times");
    if (reasons.contains("failed (500)"))
      return absl::StrCat("abandoned: its runs failed with 500, ", reasons.at("failed (500)") + 1, " times");
    return absl::StrCat(
        "abandoned: an engine answered that it cannot be done, its time to be kept was over, or its route "
        "was gone (age ",
        TextOf(*listed, "age_ms"), " ms)");
  }
  const double age = static_cast<double>(NumberOf(*listed, "age_ms"));
  const double since_start = static_cast<double>(NumberOf(*listed, "since_start_ms"));
  const double scoring = scored == nullptr ? 0 : static_cast<double>(NumberOf(*scored, "ms"));
  const std::int64_t events = std::max<std::int64_t>(1, NumberOf(*listed, "events"));
  std::string cause = absl::StrCat("listed ", TextOf(*listed, "age_ms"), " ms after its job was accepted: ");
  if (age > 0 && (age - since_start) / age >= kWaitedShare) {
    absl::StrAppend(&cause, "it waited ", static_cast<std::int64_t>(age - since_start),
                    " ms before its first run at this owner",
                    takeovers > 0 ? ", after a takeover"
                                  : ", since no engine with usable weights had room or its owner began late");
  } else if (age > 0 && scoring / age >= kScoringShare) {
    absl::StrAppend(&cause, "its score took ", static_cast<std::int64_t>(scoring), " ms and ",
                    TextOf(*scored, "attempts"), " attempts");
  } else {
    absl::StrAppend(&cause, events, " events at ",
                    static_cast<std::int64_t>((since_start - scoring) / static_cast<double>(events)),
                    " ms each over ", TextOf(*listed, "runs"), " runs");
  }
  if (!reasons.empty()) absl::StrAppend(&cause, "; runs that ended early: ", Counted(reasons));
  return cause;
}

bool IsJobLine(const LogLine& line) { return line.fields.contains("job") && !line.fields.contains("item"); }

}  // namespace

// ---- Reading ----------------------------------------------------------------------------------------------

void ReadLogLines(std::istream& in, LogRead& read) {
  std::string text;
  while (std::getline(in, text)) {
    const std::size_t start = text.find('{');
    if (start == std::string::npos) continue;  // not a line of a host
    LogLine line;
    line.fields = Json::parse(text.begin() + static_cast<std::ptrdiff_t>(start), text.end(), nullptr, false);
    std::string error;
    if (!line.fields.is_object() || !line.fields.contains("event") ||
        !line.fields["event"].is_number_integer() ||
        !absl::ParseTime(absl::RFC3339_full, TextOf(line, "time"), &line.at, &error)) {
      ++read.unreadable;
      continue;
    }
    line.event = line.fields["event"].get<int>();
    line.host = TextOf(line, "host");
    read.left_out += NumberOf(line, "left_out_before");
    read.lines.push_back(std::move(line));
  }
}

void SortLines(LogRead& read) {
  std::stable_sort(read.lines.begin(), read.lines.end(),
                   [](const LogLine& a, const LogLine& b) { return a.at < b.at; });
}

// ---- Explaining -------------------------------------------------------------------------------------------

Explanation Explain(const LogRead& read, const std::string& id) {
  const auto names = [&id](const LogLine& line, const char* key) { return TextOf(line, key) == id; };
  Lines lines = Select(read, [&](const LogLine& it) { return names(it, "job") && IsJobLine(it); });
  Explanation story;
  if (!lines.empty()) {
    story.kind = "batch job";
    for (const LogLine* it : lines) story.time_line.push_back(LineText(*it));
    story.cause = CauseOfJob(read, lines, story.time_line);
    story.found = true;
    return story;
  }
  std::string item = id;
  std::string kind = "item";
  const Lines scored =
      Select(read, [&](const LogLine& it) { return Is(it, LogEvent::kItemScored) && names(it, "request"); });
  if (!scored.empty()) {
    kind = "scoring call";
    item = TextOf(*scored.back(), "item");
  }
  lines = Select(read, [&](const LogLine& it) { return TextOf(it, "item") == item; });
  if (!lines.empty()) {
    // An item may come again in a later job; its last one is explained.
    const std::string job = TextOf(*lines.back(), "job");
    std::set<std::string> calls = {id};
    for (const LogLine* it : lines) {
      if (Is(*it, LogEvent::kItemScored)) calls.insert(TextOf(*it, "request"));
    }
    const Lines job_lines =
        Select(read, [&](const LogLine& it) { return TextOf(it, "job") == job && IsJobLine(it); });
    const Lines all = Select(read, [&](const LogLine& it) {
      return TextOf(it, "item") == item || (TextOf(it, "job") == job && IsJobLine(it)) ||
             (Is(it, LogEvent::kScoringAttemptFailed) && calls.contains(TextOf(it, "request")));
    });
    for (const LogLine* it : all) story.time_line.push_back(LineText(*it));
    const Lines last = Select(
        read, [&](const LogLine& it) { return TextOf(it, "item") == item && TextOf(it, "job") == job; });
    story.kind = kind;
    story.cause = CauseOfItem(last, job_lines);
    story.found = true;
    return story;
  }
  lines = Select(read, [&](const LogLine& it) { return names(it, "request"); });
  if (lines.empty()) {
    story.cause = read.left_out > 0 ? absl::StrCat("no line names it; ", read.left_out,
                                                   " lines were left out of these logs")
                                    : "no line names it: it reached none of these hosts";
    return story;
  }
  story = ExplainRequest(read, lines);
  story.found = true;
  return story;
}

Json ListBatches(const LogRead& read) {
  struct Batch {
    Json row;
    std::vector<std::string> owners;
    int run_again = 0;
  };
  std::map<std::string, Batch> batches;
  std::vector<std::string> order;
  for (const LogLine& it : read.lines) {
    const std::string job = TextOf(it, "job");
    if (job.empty()) continue;
    if (!batches.contains(job)) order.push_back(job);
    Batch& batch = batches[job];
    if (batch.row.is_null()) {
      batch.row = {{"job", job},     {"model", ""},  {"step", ""},  {"min_version", ""},
                   {"accepted", ""}, {"listed", ""}, {"total", ""}, {"end", "open"}};
    }
    if (Is(it, LogEvent::kBatchAccepted)) {
      for (const char* key : {"model", "step", "min_version"}) batch.row[key] = it.fields.value(key, Json());
      batch.row["total"] = it.fields.value("items", Json());
      batch.row["accepted"] = absl::FormatTime("%H:%M:%E3S", it.at, absl::UTCTimeZone());
    } else if (Is(it, LogEvent::kBatchOwned)) {
      batch.owners.push_back(it.host);
    } else if (Is(it, LogEvent::kBatchReleased)) {
      batch.row["listed"] = it.fields.value("listed", Json());
      batch.row["end"] = TextOf(it, "reason");
    } else if (Is(it, LogEvent::kBatchRefused) && batch.row["accepted"] == "") {
      batch.row["end"] = absl::StrCat("refused: ", TextOf(it, "outcome"));
    } else if (Is(it, LogEvent::kItemListed) && NumberOf(it, "runs") > 1) {
      ++batch.run_again;
    }
  }
  Json rows = Json::array();
  for (const std::string& it : order) {
    Batch& batch = batches[it];
    batch.row["owners"] = absl::StrJoin(batch.owners, ",");
    batch.row["run_again"] = batch.run_again;
    rows.push_back(batch.row);
  }
  return rows;
}

}  // namespace oleander
