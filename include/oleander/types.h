// Types that all modules share: ids, work classes, upstreams, slots, version spans, samples.
// Ids are strings on the wire and in the store's table; asserts check that they are not empty.
#ifndef OLEANDER_TYPES_H_
#define OLEANDER_TYPES_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "oleander/errors.h"

namespace oleander {

using Json = nlohmann::json;

using HostId = std::string;      // one entry host, for example "a1"
using ZoneId = std::string;      // availability zone, for example "a"
using UpstreamId = std::string;  // one backend server, for example "engine-07"
using PoolId =
    std::string;  // group of interchangeable upstreams: the engines of a model or the servers of a service
using JobId = std::string;     // rollout job
using CallerId = std::string;  // name of the caller that a credential belongs to
using Version = std::int64_t;  // weight version; 0: the engine did not report one

// ---- Work

enum class WorkClass { kInteractive, kScoring, kRollout };  // in order of priority
std::string_view NameOf(WorkClass work_class);

// ---- Upstreams

enum class UpstreamKind { kEngine, kService };
enum class UpstreamState { kLive, kLeaving, kRemoved };
std::string_view NameOf(UpstreamKind kind);
std::string_view NameOf(UpstreamState state);

struct Endpoint {
  std::string address;  // IP address
  int port = 0;         // 1 to 65535
};

// One entry of the platform's list of upstreams.
struct Upstream {
  UpstreamId id;                               //
  UpstreamKind kind = UpstreamKind::kService;  //
  PoolId pool;                                 // model or service name
  ZoneId zone;                                 //
  Endpoint endpoint;                           // HTTP
  UpstreamState state = UpstreamState::kLive;  //
};

// ---- Samples

// Position of one sample in a job, assigned before generation. Several attempts may generate a sample for it;
// only one of them is committed.
struct SlotKey {
  JobId job;              //
  std::int64_t step = 0;  // equals the batch's sequence number, starts at 1
  int group = 0;          // 0 to groups_per_step - 1
  int index = 0;          // 0 to group_size - 1
  friend bool operator==(const SlotKey&, const SlotKey&) = default;
  friend auto operator<=>(const SlotKey&, const SlotKey&) = default;
};
// "job/step/group/index"
std::string ToString(const SlotKey& slot);

// Consecutive tokens of one sample that one weight version generated, as reported by the engine.
struct VersionSpan {
  Version version = 0;  //
  int tokens = 0;       //
  friend bool operator==(const VersionSpan&, const VersionSpan&) = default;
};
// Appends `tokens` tokens of `version`; extends the last span if it has the same version.
void AppendSpan(std::vector<VersionSpan>& spans, Version version, int tokens);
// Returns the lowest version of the spans; 0 if there are no spans or if a span has no version.
Version OldestVersion(const std::vector<VersionSpan>& spans);

enum class FinishReason { kNone, kStop, kLength };
std::string_view NameOf(FinishReason reason);

struct Sample {
  SlotKey slot;                               //
  std::string attempt;                        // unique for each attempt to generate this slot's sample
  std::string prompt;                         //
  std::vector<std::int32_t> tokens;           //
  std::vector<VersionSpan> spans;             // sum of tokens equals tokens.size()
  FinishReason finish = FinishReason::kNone;  //
  double score = 0;                           // from the scoring service
  bool scored = false;                        //
};

// JSON encoding and decoding. Decoding fails with kInvalidRequest; the error names the invalid key.
Json ToJson(const Sample& sample);
leaf::result<Sample> SampleFromJson(const Json& json);
Json ToJson(const Upstream& upstream);
leaf::result<Upstream> UpstreamFromJson(const Json& json);

}  // namespace oleander

#endif  // OLEANDER_TYPES_H_
