// Fakes of the platform, the engines and the services on a manual clock. Each records what it did, so that
// tests can check the invariants independently of the code under test. Every call through a port first calls
// its FaultHook, which returns the fault to inject into this call.
#ifndef OLEANDER_TESTS_MATRIX_FAKES_H_
#define OLEANDER_TESTS_MATRIX_FAKES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "oleander/platform.h"
#include "oleander/upstream.h"

namespace oleander::matrix {

// ---- Fault injection

enum class Effect {
  kPass,        // no fault
  kFail,        // the call has no effect and fails
  kLoseAnswer,  // the call takes effect, but its answer is lost
  kCut,         // a stream breaks off after its first chunk
  kTruncate,    // the end of an answer is missing although the answer claims to be complete
  kDouble,      // the last chunk arrives twice
  kTooLong,     // data follows the end of the answer
  kUnlabelled,  // chunks carry no weight version
  kMisdirect,   // the answer belongs to another request
  kStale,       // a list shows an earlier state
  kDieAfter,    // the call takes effect, then the calling host dies
};

struct Call {
  HostId host;         // makes the call
  std::string port;    // "table.commit", "engine.generate", ...
  std::string target;  // row key, object name, upstream or host
};
// Thrown out of a port when the calling host dies. The scenario catches it and marks the host as dead.
struct HostDied {
  HostId host;
};
using FaultHook = std::function<Effect(const Call&)>;

// Stands still unless the test driver sets `now`.
struct ManualClock {
  absl::Time now = absl::UnixEpoch() + absl::Hours(24);
};

// ---- Table and objects

struct FakeTable {
  FaultHook fault_hook;
  bool down = false;
  std::map<std::string, TableRow> rows;
  std::int64_t revision = 0;
  int lose_answers = 0;  // number of next commits that take effect but whose answers are lost
  std::int64_t commits = 0;
  std::map<std::string, TableRow> saved;  // for Restore and stale lists

  TablePort Port(const HostId& host);
  void Save() { saved = rows; }
  // Restores the saved rows. Revisions continue from the highest one, as in a restored table.
  void Restore() { rows = saved; }
};

struct FakeObjects {
  FaultHook fault_hook;
  bool down = false;
  std::map<std::string, std::string> objects;

  ObjectPort Port(const HostId& host);
};

// ---- Engines and services

// Origin of a generated token. The token's value is its index in FakeEngines::generated_tokens.
struct GeneratedToken {
  Version version = 0;
  std::string prompt;
  int position = 0;
};

struct FakeEngine {
  Upstream upstream;
  bool checks_fence = true;
  bool down = false;
  Version active = 1;
  std::set<Version> loaded = {1};
  std::int64_t fence = 0;
  absl::Time leaving_since = absl::InfiniteFuture();
};

struct FakeEngines {
  FaultHook fault_hook;
  std::map<UpstreamId, FakeEngine> engines;
  std::vector<GeneratedToken> generated_tokens;
  std::vector<EngineOrder> orders_to_redeliver;  // orders whose answer was lost, for late redelivery
  int tokens_per_answer = 6;
  int tokens_per_chunk = 2;
  std::function<void()> after_chunk;  // called after each chunk, for example to swap weights during a stream

  EnginePort Port(const HostId& host);
  void Add(const UpstreamId& id, const PoolId& model, const ZoneId& zone, bool checks_fence);
  // Applies an order to an engine. Also called directly for orders that arrive late.
  leaf::result<void> Apply(FakeEngine& engine, const EngineOrder& order);
  // Returns a description of the first problem; empty if the sample is complete and every token is labelled
  // with the version that generated it and belongs to this prompt and position.
  std::string CheckSample(const Sample& sample) const;
};

struct FakeServices {
  FaultHook fault_hook;
  std::map<std::string, int> runs;  // how often a request ran, by request body
  std::int64_t calls = 0;

  // Calls are answered with "done:" followed by the request body.
  ServicePort Port(const HostId& host);
};

}  // namespace oleander::matrix

#endif  // OLEANDER_TESTS_MATRIX_FAKES_H_
