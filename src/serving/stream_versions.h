// Remembers, in the store, which upstream began each stream of a resumable route, and its software version,
// so that any host can continue a stream that its caller takes up again.
#ifndef OLEANDER_SRC_SERVING_STREAM_VERSIONS_H_
#define OLEANDER_SRC_SERVING_STREAM_VERSIONS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "oleander/serving.h"
#include "serving/store_clock.h"

namespace oleander::serving {

struct StreamOrigin {
  std::string service;   //
  std::string upstream;  // id
  std::string software;  // version of the upstream, as its registration said when the stream began
};

class StreamVersions {
 public:
  StreamVersions(Loop& loop, Store& store) : loop_(loop), store_(store) {}
  // `stream`: request id of the attempt that brings the stream's first event. Records of a few milliseconds
  // share one write. A record that is not written costs its caller a stream that cannot be resumed.
  void Record(const std::string& stream, StreamOrigin origin);
  // Calls `done` with the origin, or with nullopt if there is no record or the store does not answer in time.
  // Never calls it from inside Find.
  void Find(const std::string& stream, std::function<void(const std::optional<StreamOrigin>&)> done);
  // Removes old records. Call it about once a minute.
  void Sweep();

 private:
  using Done = std::function<void(const std::optional<StreamOrigin>&)>;
  void Flush();
  void Write(const Transaction& transaction);
  void FindInStore(const std::string& stream, int attempts_left, Done done);
  void SweepPartition(const std::string& partition, const std::string& from);

  Loop& loop_;
  Store& store_;
  StoreClock clock_;
  bool flush_due_ = false;
  bool recorded_ = false;                          // this host has written records
  std::map<std::string, StreamOrigin> unwritten_;  // by stream
};

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_STREAM_VERSIONS_H_
