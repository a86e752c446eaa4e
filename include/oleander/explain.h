// Why a request failed or a batch job was late, from the log lines of all hosts (docs/OPERATIONS.md has the
// catalogue of events).
//
//   ReadLogLines   reads lines of one log; what comes before a line's JSON is passed over
//   Explain        a time line and the cause in one sentence, by the id of a request, an item or a batch job
//   ListBatches    a row for each batch job: who ran it, what became of it, which items ran more than once
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
  absl::Time at;     // by the clock of its host
  std::string host;  //
  int event = 0;     // number of the event
  Json fields;       // the whole line
};
struct LogRead {
  std::vector<LogLine> lines;   //
  std::int64_t unreadable = 0;  // lines with no event that can be read
  std::int64_t left_out = 0;    // lines that hosts did not write, because a kind of event was over its budget
};
// Adds the lines of one log. Call it for the log of each host, then SortLines.
void ReadLogLines(std::istream& in, LogRead& read);
void SortLines(LogRead& read);

struct Explanation {
  bool found = false;                  // a line names the id
  std::string kind;                    // "request", "item", "scoring call" or "batch job"
  std::vector<std::string> time_line;  // one text a line, in order of time
  std::string cause;                   // one sentence
};
Explanation Explain(const LogRead& read, const std::string& id);

// Rows with the keys job, model, step, min_version, accepted, owners, listed, total, run_again, end.
Json ListBatches(const LogRead& read);

}  // namespace oleander

#endif  // OLEANDER_EXPLAIN_H_
