// The batch of a stand-in engine, without I/O: continuous batching, prefix cache, weight versions, audit log.
//
// Each step produces one token for every running request that has finished its prefill. The owner sleeps for
// StepDuration and then calls StepBatch; streams read the tokens from the request's TokenRecord.
#ifndef OLEANDER_STANDINS_ENGINE_BATCH_H_
#define OLEANDER_STANDINS_ENGINE_BATCH_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "oleander/types.h"
#include "standins/generated_text.h"

namespace oleander::standins {

struct EngineOptions {
  std::string id;                     // upstream id
  std::string model;                  // pool
  std::uint64_t seed = 1;             //
  LengthDistribution lengths;         //
  double step_base_ms = 8;            // duration of a batch step with an empty batch
  double step_per_running_ms = 0.05;  // added for each running request
  int prefill_tokens_per_step = 512;  // uncached tokens of a request, prompt and resume_tokens
  int tokens_per_event = 4;           // tokens per event of a stream
  int cache_entries = 64;             // prompts in the prefix cache
  int kv_entries = 64;                // KV caches kept of cancelled requests
  int load_lag_ms = 500;              // delay of the load report
  int cache_event_lag_ms = 1000;      // delay of cache events
  int cache_event_gap = 16;           // drops every Nth cache event; 0: none
  bool checks_fence = true;           // refuses orders with a fencing token lower than the highest seen
  Version initial_version = 1;        //
  int load_ms = 300;                  // duration of a load order
  int activate_ms = 20;               // pause of the batch after an activate order
  std::string weights_url;            // URL of the weight store; empty: load orders fetch no weights
};

// Tokens of one request, as the engine produced them.
struct TokenRecord {
  std::string request_id;              //
  std::string prompt_head;             // first 64 bytes, to match requests with their caller
  std::uint64_t stream = 0;            // from StreamKey
  int offset = 0;                      // number of resume_tokens
  std::int32_t last_resume_token = 0;  // last of the resume_tokens; 0 without any
  std::vector<std::int32_t> tokens;    // without the resume_tokens
  std::vector<VersionSpan> spans;      // versions that produced the tokens; faults do not change these
  FinishReason finish = FinishReason::kNone;
  bool cancelled = false;
};

struct RunningRequest {
  int record = 0;              // index in EngineBatch::records
  int max_tokens = 0;          // limit on the position, resume_tokens included
  int stream_length = 0;       // natural length of the stream, which max_tokens may cut short
  int prefill_steps_left = 0;  //
  int cached_tokens = 0;       //
  int sent_tokens = 0;         // tokens written to the HTTP stream
  bool done = false;           //
  bool cancelled = false;      //
};

struct CacheEvent {
  std::int64_t seq = 0;
  bool stored = true;        // false: evicted
  std::uint64_t prefix = 0;  // hash of the prompt
  absl::Time at;
};

struct LoadSnapshot {
  absl::Time at;
  int running = 0;
  int waiting = 0;  // requests in prefill
  Version version = 0;
};

struct EngineBatch {
  EngineOptions options;
  Version active_version = 1;
  std::vector<Version> loaded_versions;  // newest last
  std::int64_t max_fence = 0;            //
  std::vector<TokenRecord> records;      // of all requests since the start, for the audit log
  std::map<std::uint64_t, std::shared_ptr<RunningRequest>> running;  // by order of admission
  std::uint64_t next_admission = 0;                                  // next key of `running`
  std::list<std::uint64_t> prefix_cache;                             // prompt hashes, most recent first
  std::map<std::string, int> kv_cache;                               // request id to number of cached tokens
  std::deque<CacheEvent> cache_events;                               //
  std::int64_t next_cache_event = 1;                                 //
  std::deque<LoadSnapshot> load_history;                             //
  std::int64_t steps = 0;                                            //
  int max_running = 0;                                               //
};

struct CompletionRequest {
  std::string request_id;
  std::string prompt;
  std::uint64_t seed = 0;
  int max_tokens = 256;  // without the resume_tokens
  std::vector<std::int32_t> resume_tokens;
};

std::shared_ptr<RunningRequest> AdmitRequest(EngineBatch& batch, const CompletionRequest& request,
                                             absl::Time now);
// Runs one batch step and removes finished requests.
void StepBatch(EngineBatch& batch, absl::Time now);
absl::Duration StepDuration(const EngineBatch& batch, double slow_factor);
// Removes the request from the batch and keeps its KV cache for a later resume.
void CancelRequest(EngineBatch& batch, const std::shared_ptr<RunningRequest>& request);
// Crash: drops running requests, caches, fencing token and loaded versions; keeps the token records.
void ResetBatch(EngineBatch& batch);

enum class OrderResult { kDone, kStaleFence, kNotLoaded };
// Refuses a fencing token lower than the highest one seen, unless checks_fence is off.
OrderResult CheckFence(EngineBatch& batch, std::int64_t fence);
// Makes the version available for activation. Unloads the oldest version above the limit, never the active
// one.
void FinishLoad(EngineBatch& batch, Version version);
OrderResult ActivateVersion(EngineBatch& batch, Version version);

// The load as it was `load_lag_ms` before `now`.
LoadSnapshot DelayedLoad(const EngineBatch& batch, absl::Time now);
// Events with a sequence number above `after` that are at least `cache_event_lag_ms` old.
Json CacheEventsAfter(const EngineBatch& batch, std::int64_t after, absl::Time now);
Json RecordsJson(const EngineBatch& batch);

}  // namespace oleander::standins

#endif  // OLEANDER_STANDINS_ENGINE_BATCH_H_
