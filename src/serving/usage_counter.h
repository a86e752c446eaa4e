// Counts the requests that this host sends for each workspace, by window of true time, and keeps the counts
// in the store, where the holder of the usage duty reads them.
//
//   Record   counts a request
//   Tick     writes changed counts; call it a few times a second
//   Saved    whether the store has all counts
#ifndef OLEANDER_SRC_SERVING_USAGE_COUNTER_H_
#define OLEANDER_SRC_SERVING_USAGE_COUNTER_H_

#include <cstdint>
#include <map>
#include <string>

#include "absl/time/time.h"
#include "oleander/serving.h"
#include "serving/usage.h"

namespace oleander::serving {

class UsageCounter {
 public:
  UsageCounter(Loop& loop, Store& store, UsageSettings settings);
  // `began`: when the request was sent to the upstream that ran it, by the loop's clock.
  void Record(const std::string& workspace, absl::Time began);
  void Tick();
  bool Saved() const;

 private:
  struct Window {
    UsageCounts counts;
    bool unsaved = false;
    bool closed = false;       // written as closed
    std::int64_t version = 0;  // of the row; each write is conditional on it, as an earlier one may come late
    bool write_in_flight = false;
    absl::Time next_write = absl::InfinitePast();
  };
  void ReadFleetRow();
  void Write(std::int64_t number, Window& window, bool closing);
  absl::Time TrueNow() const;

  Loop& loop_;
  Store& store_;
  UsageSettings settings_;
  TrueClock clock_;
  int hosts_ = 0;  // as the fleet's row says
  bool read_in_flight_ = false;
  absl::Time next_read_ = absl::InfinitePast();
  std::map<std::int64_t, Window> windows_;
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_USAGE_COUNTER_H_
