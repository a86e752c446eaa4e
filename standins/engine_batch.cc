#include "standins/engine_batch.h"

#include <algorithm>

namespace oleander::standins {
namespace {

constexpr int kBytesPerToken = 4;
constexpr std::size_t kPromptHeadBytes = 64;
constexpr std::size_t kMaxCacheEvents = 4096;
constexpr std::size_t kMaxLoadSnapshots = 1024;
constexpr int kMaxLoadedVersions = 2;  // active or ready for activation

void AddCacheEvent(EngineBatch& batch, bool stored, std::uint64_t prefix, absl::Time now) {
  const std::int64_t seq = batch.next_cache_event++;
  // A dropped event leaves a gap in the sequence numbers.
  if (batch.options.cache_event_gap > 0 && seq % batch.options.cache_event_gap == 0) return;
  batch.cache_events.push_back({seq, stored, prefix, now});
  if (batch.cache_events.size() > kMaxCacheEvents) batch.cache_events.pop_front();
}

// Moves the prompt to the front of the LRU cache, or inserts it. Returns true if it was cached.
bool TouchCache(EngineBatch& batch, std::uint64_t prefix, absl::Time now) {
  const auto it = std::find(batch.prefix_cache.begin(), batch.prefix_cache.end(), prefix);
  if (it != batch.prefix_cache.end()) {
    batch.prefix_cache.splice(batch.prefix_cache.begin(), batch.prefix_cache, it);
    return true;
  }
  batch.prefix_cache.push_front(prefix);
  AddCacheEvent(batch, true, prefix, now);
  if (static_cast<int>(batch.prefix_cache.size()) > batch.options.cache_entries) {
    AddCacheEvent(batch, false, batch.prefix_cache.back(), now);
    batch.prefix_cache.pop_back();
  }
  return false;
}

void SaveKv(EngineBatch& batch, const TokenRecord& record) {
  if (static_cast<int>(batch.kv_cache.size()) >= batch.options.kv_entries)
    batch.kv_cache.erase(batch.kv_cache.begin());
  batch.kv_cache[record.request_id] = record.offset + static_cast<int>(record.tokens.size());
}

void FinishRequest(EngineBatch& batch, RunningRequest& request, FinishReason reason) {
  batch.records[request.record].finish = reason;
  request.done = true;
}

// Runs one prefill step of the request, or produces its next token.
void StepRequest(EngineBatch& batch, RunningRequest& request) {
  if (request.prefill_steps_left > 0) {
    --request.prefill_steps_left;
    return;
  }
  TokenRecord& record = batch.records[request.record];
  const int position = record.offset + static_cast<int>(record.tokens.size());
  if (position >= request.stream_length) {
    FinishRequest(batch, request, FinishReason::kStop);
    return;
  }
  if (position >= request.max_tokens) {
    FinishRequest(batch, request, FinishReason::kLength);
    return;
  }
  record.tokens.push_back(TokenAt(record.stream, position, batch.active_version));
  AppendSpan(record.spans, batch.active_version, 1);
  if (position + 1 >= request.stream_length) {
    FinishRequest(batch, request, FinishReason::kStop);
  } else if (position + 1 >= request.max_tokens) {
    FinishRequest(batch, request, FinishReason::kLength);
  }
}

void RecordLoad(EngineBatch& batch, absl::Time now) {
  int waiting = 0;
  for (const auto& it : batch.running) waiting += it.second->prefill_steps_left > 0 ? 1 : 0;
  const int running = static_cast<int>(batch.running.size()) - waiting;
  batch.load_history.push_back({now, running, waiting, batch.active_version});
  if (batch.load_history.size() > kMaxLoadSnapshots) batch.load_history.pop_front();
}

}  // namespace

std::shared_ptr<RunningRequest> AdmitRequest(EngineBatch& batch, const CompletionRequest& request,
                                             absl::Time now) {
  TokenRecord record;
  record.request_id = request.request_id;
  record.prompt_head = request.prompt.substr(0, kPromptHeadBytes);
  record.stream = StreamKey(request.seed, request.prompt);
  record.offset = static_cast<int>(request.resume_tokens.size());
  if (record.offset > 0) record.last_resume_token = request.resume_tokens.back();

  auto running = std::make_shared<RunningRequest>();
  running->record = static_cast<int>(batch.records.size());
  running->max_tokens = record.offset + request.max_tokens;
  running->stream_length = StreamLength(record.stream, batch.options.lengths);
  const int prompt_tokens = 1 + static_cast<int>(request.prompt.size()) / kBytesPerToken;
  const auto kv = batch.kv_cache.find(request.request_id);
  if (kv != batch.kv_cache.end()) {
    running->cached_tokens = prompt_tokens + std::min(kv->second, record.offset);
  } else if (TouchCache(batch, HashText(request.prompt), now)) {
    running->cached_tokens = prompt_tokens;
  }
  const int uncached = prompt_tokens + record.offset - running->cached_tokens;
  const int tokens_per_step = std::max(1, batch.options.prefill_tokens_per_step);
  running->prefill_steps_left = (uncached + tokens_per_step - 1) / tokens_per_step;

  batch.records.push_back(std::move(record));
  batch.running[batch.next_admission++] = running;
  batch.max_running = std::max(batch.max_running, static_cast<int>(batch.running.size()));
  return running;
}

void StepBatch(EngineBatch& batch, absl::Time now) {
  ++batch.steps;
  for (auto it = batch.running.begin(); it != batch.running.end();) {
    StepRequest(batch, *it->second);
    it = it->second->done ? batch.running.erase(it) : std::next(it);
  }
  RecordLoad(batch, now);
}

absl::Duration StepDuration(const EngineBatch& batch, double slow_factor) {
  const double running = static_cast<double>(batch.running.size());
  return absl::Milliseconds((batch.options.step_base_ms + running * batch.options.step_per_running_ms) *
                            slow_factor);
}

void CancelRequest(EngineBatch& batch, const std::shared_ptr<RunningRequest>& request) {
  if (request->done) return;
  TokenRecord& record = batch.records[request->record];
  record.cancelled = true;
  request->done = true;
  request->cancelled = true;
  SaveKv(batch, record);
  std::erase_if(batch.running, [&](const auto& it) { return it.second == request; });
}

void ResetBatch(EngineBatch& batch) {
  for (const auto& it : batch.running) {
    batch.records[it.second->record].cancelled = true;
    it.second->done = true;
    it.second->cancelled = true;
  }
  batch.running.clear();
  batch.prefix_cache.clear();
  batch.kv_cache.clear();
  batch.max_fence = 0;
  batch.active_version = batch.options.initial_version;
  batch.loaded_versions = {batch.active_version};
  batch.load_history.clear();
}

OrderResult CheckFence(EngineBatch& batch, std::int64_t fence) {
  if (batch.options.checks_fence && fence < batch.max_fence) return OrderResult::kStaleFence;
  batch.max_fence = std::max(batch.max_fence, fence);
  return OrderResult::kDone;
}

void FinishLoad(EngineBatch& batch, Version version) {
  std::erase(batch.loaded_versions, version);
  batch.loaded_versions.push_back(version);
  while (batch.loaded_versions.size() > kMaxLoadedVersions) {
    const auto it = batch.loaded_versions.front() == batch.active_version ? batch.loaded_versions.begin() + 1
                                                                          : batch.loaded_versions.begin();
    batch.loaded_versions.erase(it);
  }
}

OrderResult ActivateVersion(EngineBatch& batch, Version version) {
  if (std::find(batch.loaded_versions.begin(), batch.loaded_versions.end(), version) ==
      batch.loaded_versions.end()) {
    return OrderResult::kNotLoaded;
  }
  batch.active_version = version;
  return OrderResult::kDone;
}

LoadSnapshot DelayedLoad(const EngineBatch& batch, absl::Time now) {
  const absl::Time cutoff = now - absl::Milliseconds(batch.options.load_lag_ms);
  for (auto it = batch.load_history.rbegin(); it != batch.load_history.rend(); ++it) {
    if (it->at <= cutoff) return *it;
  }
  return {cutoff, 0, 0,
          batch.load_history.empty() ? batch.active_version : batch.load_history.front().version};
}

Json CacheEventsAfter(const EngineBatch& batch, std::int64_t after, absl::Time now) {
  const absl::Time cutoff = now - absl::Milliseconds(batch.options.cache_event_lag_ms);
  Json events = Json::array();
  for (const CacheEvent& it : batch.cache_events) {
    if (it.seq <= after || it.at > cutoff) continue;
    events.push_back({{"seq", it.seq}, {"kind", it.stored ? "stored" : "evicted"}, {"prefix", it.prefix}});
  }
  return {{"events", std::move(events)}};
}

Json RecordsJson(const EngineBatch& batch) {
  Json records = Json::array();
  for (const TokenRecord& it : batch.records) {
    Json spans = Json::array();
    for (const VersionSpan& span : it.spans) spans.push_back({span.version, span.tokens});
    records.push_back({{"id", it.request_id},
                       {"prompt", it.prompt_head},
                       {"offset", it.offset},
                       {"last_resumed", it.last_resume_token},
                       {"tokens", it.tokens},
                       {"spans", std::move(spans)},
                       {"finish", NameOf(it.finish)},
                       {"cancelled", it.cancelled}});
  }
  return records;
}

}  // namespace oleander::standins
