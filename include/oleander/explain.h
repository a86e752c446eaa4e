// Finds why a request failed or a batch job was late, from the log lines of all hosts (docs/OPERATIONS.md has
// the catalogue of events).
//
//   ReadLogLines   reads the lines of one log; text before a line's JSON object is ignored
//   Explain        a time line and the cause in one sentence, for the id of a request, item, scoring call or
//                  batch job
//   ListBatches    a row for each batch job: its owners, how it ended, and how many items ran more than once
#ifndef OLEANDER_EXPLAIN_H_
#define OLEANDER_EXPLAIN_H_

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "oleander/types.h"

namespace oleander {

struct LogLine {
  absl::Time at;     // from the clock of the host that logged it
  std::string host;  //
  int event = 0;     // number of the event
  Json fields;       // the whole line
};
struct ParsedLogs {
  std::vector<LogLine> lines;         //
  std::int64_t unreadable = 0;        // lines without a readable event
  std::int64_t suppressed_lines = 0;  // lines that hosts suppressed by the rate limit of each event
};
// Adds the lines of one log. Call it once per log, then call SortLines.
void ReadLogLines(std::istream& in, ParsedLogs& logs);
void SortLines(ParsedLogs& logs);

struct Explanation {
  bool found = false;                  // false: no line mentions the id
  std::string kind;                    // "request", "item", "scoring call" or "batch job"
  std::vector<std::string> time_line;  // one text per log line, in order of time
  std::string cause;                   // one sentence
};
Explanation Explain(const ParsedLogs& logs, const std::string& id);

// Rows with the keys job, model, step, min_version, accepted, owners, listed, total, run_again, end.
Json ListBatches(const ParsedLogs& logs);

}  // namespace oleander

#endif  // OLEANDER_EXPLAIN_H_
