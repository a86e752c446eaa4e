#include "tests/matrix/fakes.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace oleander::matrix {
namespace {

Effect CallFaultHook(const FaultHook& fault_hook, const HostId& host, const char* port,
                     const std::string& target) {
  return fault_hook ? fault_hook({host, port, target}) : Effect::kPass;
}

// Called after a call took effect; throws if the host dies here.
void DieIfRequested(Effect effect, const HostId& host) {
  if (effect == Effect::kDieAfter) throw HostDied{host};
}

leaf::error_id StoreDown() { return Fail(ErrorKind::kStoreUnavailable, "the fake store does not answer"); }

TableRow RowOf(const std::map<std::string, TableRow>& rows, const std::string& key) {
  const auto it = rows.find(key);
  return it == rows.end() ? TableRow{key, "", 0} : it->second;
}

TxnOutcome Commit(FakeTable& table, const TableTxn& txn) {
  TxnOutcome outcome;
  outcome.committed = true;
  for (const TableCompare& it : txn.compares) {
    outcome.current.push_back(RowOf(table.rows, it.key));
    outcome.committed &= outcome.current.back().revision == it.revision;
  }
  if (!outcome.committed) return outcome;
  outcome.current.clear();
  outcome.revision = ++table.revision;
  for (const TableWrite& it : txn.writes) {
    if (it.value.has_value()) {
      table.rows[it.key] = {it.key, *it.value, table.revision};
    } else {
      table.rows.erase(it.key);
    }
  }
  table.commits += 1;
  return outcome;
}

std::vector<TableRow> ListRows(const std::map<std::string, TableRow>& rows, const std::string& prefix,
                               int limit) {
  std::vector<TableRow> matching_rows;
  for (auto it = rows.lower_bound(prefix); it != rows.end() && absl::StartsWith(it->first, prefix); ++it) {
    if (static_cast<int>(matching_rows.size()) < limit) matching_rows.push_back(it->second);
  }
  return matching_rows;
}

leaf::result<void> Generate(FakeEngines& fleet, FakeEngine& engine, const GenerateRequest& request,
                            const ChunkSink& sink, Effect effect) {
  const int total = std::min(request.max_tokens, fleet.tokens_per_answer);
  int position = static_cast<int>(request.resume_tokens.size());
  int sent = 0;
  while (position < total) {
    if (engine.down) return Fail(ErrorKind::kUpstreamFailed, "the fake engine crashed");
    GenerateChunk chunk;
    chunk.version = engine.active;
    const int until = std::min(total, position + fleet.tokens_per_chunk);
    for (; position < until; ++position) {
      chunk.tokens.push_back(static_cast<std::int32_t>(fleet.generated_tokens.size()));
      fleet.generated_tokens.push_back({engine.active, request.prompt, position});
      ++sent;
    }
    const bool slice_over = request.slice_tokens > 0 && sent >= request.slice_tokens;
    if (position == total) {
      chunk.finish = total == request.max_tokens ? FinishReason::kLength : FinishReason::kStop;
    } else if (slice_over) {
      chunk.finish = FinishReason::kLength;
    }
    if (effect == Effect::kUnlabelled) chunk.version = 0;
    if (!sink(chunk)) return {};
    const bool last = chunk.finish != FinishReason::kNone;
    if (last && effect == Effect::kDouble && !sink(chunk)) return {};
    if (fleet.after_chunk) fleet.after_chunk();
    if (effect == Effect::kCut) return Fail(ErrorKind::kUpstreamFailed, "the fake stream was cut");
    if (chunk.finish != FinishReason::kNone) break;
  }
  if (effect == Effect::kTooLong) sink({{-1}, engine.active, FinishReason::kNone});
  if (effect == Effect::kTruncate || effect == Effect::kLoseAnswer)
    return Fail(ErrorKind::kUpstreamProtocol, "the fake stream ended without [DONE]");
  return {};
}

}  // namespace

TablePort FakeTable::Port(const HostId& host) {
  TablePort port;
  port.read = [this, host](const std::string& key) -> leaf::result<TableRow> {
    const Effect effect = CallFaultHook(fault_hook, host, "table.read", key);
    if (down || effect == Effect::kFail || effect == Effect::kLoseAnswer) return StoreDown();
    return RowOf(rows, key);
  };
  port.list = [this, host](const std::string& prefix, int limit) -> leaf::result<std::vector<TableRow>> {
    const Effect effect = CallFaultHook(fault_hook, host, "table.list", prefix);
    if (down || effect == Effect::kFail || effect == Effect::kLoseAnswer) return StoreDown();
    return ListRows(effect == Effect::kStale ? saved : rows, prefix, limit);
  };
  port.commit = [this, host](const TableTxn& txn) -> leaf::result<TxnOutcome> {
    const Effect effect = CallFaultHook(fault_hook, host, "table.commit", txn.writes.front().key);
    if (down || effect == Effect::kFail) return StoreDown();
    TxnOutcome outcome = Commit(*this, txn);
    DieIfRequested(effect, host);
    const bool lost = effect == Effect::kLoseAnswer || lose_answers > 0;
    lose_answers -= lose_answers > 0;
    if (lost) return StoreDown();
    return outcome;
  };
  return port;
}

ObjectPort FakeObjects::Port(const HostId& host) {
  ObjectPort port;
  port.put = [this, host](const std::string& name, const std::string& bytes) -> leaf::result<void> {
    const Effect effect = CallFaultHook(fault_hook, host, "object.put", name);
    if (down || effect == Effect::kFail) return StoreDown();
    objects.try_emplace(name, bytes);
    DieIfRequested(effect, host);
    if (effect == Effect::kLoseAnswer) return StoreDown();
    return {};
  };
  port.get = [this, host](const std::string& name) -> leaf::result<std::string> {
    const Effect effect = CallFaultHook(fault_hook, host, "object.get", name);
    if (down || effect == Effect::kFail || effect == Effect::kLoseAnswer) return StoreDown();
    const auto it = objects.find(name);
    if (it == objects.end()) return Fail(ErrorKind::kNotFound, name);
    return it->second;
  };
  port.list = [this, host](const std::string& prefix) -> leaf::result<std::vector<std::string>> {
    const Effect effect = CallFaultHook(fault_hook, host, "object.list", prefix);
    if (down || effect == Effect::kFail || effect == Effect::kLoseAnswer) return StoreDown();
    std::vector<std::string> names;
    if (effect == Effect::kStale) return names;
    for (auto it = objects.lower_bound(prefix); it != objects.end() && absl::StartsWith(it->first, prefix);
         ++it)
      names.push_back(it->first);
    return names;
  };
  port.remove = [this, host](const std::string& name) -> leaf::result<void> {
    const Effect effect = CallFaultHook(fault_hook, host, "object.remove", name);
    if (down || effect == Effect::kFail) return StoreDown();
    objects.erase(name);
    return {};
  };
  return port;
}

void FakeEngines::Add(const UpstreamId& id, const PoolId& model, const ZoneId& zone, bool checks_fence) {
  FakeEngine engine;
  engine.upstream = {id, UpstreamKind::kEngine, model, zone, {"127.0.0.1", 1}, UpstreamState::kLive};
  engine.checks_fence = checks_fence;
  engines[id] = engine;
}

leaf::result<void> FakeEngines::Apply(FakeEngine& engine, const EngineOrder& order) {
  if (engine.checks_fence && order.fence < engine.fence)
    return Fail(ErrorKind::kConflict, "the fake engine has seen a higher fencing token");
  engine.fence = std::max(engine.fence, order.fence);
  if (order.kind == OrderKind::kLoad) engine.loaded.insert(order.version);
  if (order.kind == OrderKind::kActivate) {
    if (!engine.loaded.contains(order.version))
      return Fail(ErrorKind::kUpstreamFailed, "the fake engine has not loaded the version");
    engine.active = order.version;
  }
  return {};
}

EnginePort FakeEngines::Port(const HostId& host) {
  EnginePort port;
  port.generate = [this, host](const Upstream& upstream, const GenerateRequest& request,
                               const ChunkSink& sink) -> leaf::result<void> {
    FakeEngine& engine = engines.at(upstream.id);
    const Effect effect = CallFaultHook(fault_hook, host, "engine.generate", upstream.id);
    if (engine.down || effect == Effect::kFail)
      return Fail(ErrorKind::kUpstreamRefused, "the fake engine refuses connections");
    return Generate(*this, engine, request, sink, effect);
  };
  port.cancel = [this, host](const Upstream& upstream, const std::string&) -> leaf::result<void> {
    CallFaultHook(fault_hook, host, "engine.cancel", upstream.id);
    return {};
  };
  port.order = [this, host](const Upstream& upstream, const EngineOrder& order) -> leaf::result<void> {
    FakeEngine& engine = engines.at(upstream.id);
    const Effect effect = CallFaultHook(fault_hook, host, "engine.order", upstream.id);
    if (engine.down || effect == Effect::kFail)
      return Fail(ErrorKind::kUpstreamFailed, "the fake engine failed to apply the order");
    BOOST_LEAF_CHECK(Apply(engine, order));
    DieIfRequested(effect, host);
    if (effect == Effect::kLoseAnswer)
      return Fail(ErrorKind::kUpstreamTimeout, "the answer of the fake engine to the order was lost");
    return {};
  };
  port.load = [this, host](const Upstream& upstream) -> leaf::result<EngineLoad> {
    const FakeEngine& engine = engines.at(upstream.id);
    const Effect effect = CallFaultHook(fault_hook, host, "engine.load", upstream.id);
    if (engine.down || effect != Effect::kPass)
      return Fail(ErrorKind::kUpstreamTimeout, "the fake engine reports no load");
    EngineLoad load;
    load.version = engine.active;
    return load;
  };
  return port;
}

std::string FakeEngines::CheckSample(const Sample& sample) const {
  std::size_t next = 0;
  for (const VersionSpan& span : sample.spans) {
    for (int it = 0; it < span.tokens; ++it, ++next) {
      if (next >= sample.tokens.size()) return "version spans cover more tokens than the sample has";
      const std::int32_t token = sample.tokens[next];
      if (token < 0 || token >= static_cast<std::int32_t>(generated_tokens.size()))
        return "a token that no engine generated";
      const GeneratedToken& entry = generated_tokens[token];
      if (entry.version != span.version)
        return absl::StrCat("a token generated by version ", entry.version, " is labelled ", span.version);
      if (entry.prompt != sample.prompt) return "a token belongs to another prompt";
      if (entry.position != static_cast<int>(next)) return "a token is at the wrong position";
    }
  }
  if (next != sample.tokens.size()) return "tokens have no version span";
  if (sample.finish == FinishReason::kNone) return "a sample has no finish reason";
  if (static_cast<int>(sample.tokens.size()) != tokens_per_answer)
    return "a sample has the wrong number of tokens";
  return "";
}

ServicePort FakeServices::Port(const HostId& host) {
  ServicePort port;
  port.call = [this, host](const Upstream& upstream,
                           const ServiceRequest& request) -> leaf::result<ServiceAnswer> {
    const Effect effect = CallFaultHook(fault_hook, host, "service.call", upstream.id);
    if (effect == Effect::kFail)
      return Fail(ErrorKind::kUpstreamRefused, "the fake service refuses connections");
    runs[request.body] += 1;
    calls += 1;
    DieIfRequested(effect, host);
    if (effect == Effect::kLoseAnswer || effect == Effect::kCut)
      return Fail(ErrorKind::kUpstreamTimeout, "the fake service's answer was lost");
    if (effect == Effect::kTruncate || effect == Effect::kTooLong || effect == Effect::kMisdirect)
      return Fail(ErrorKind::kUpstreamProtocol, "the fake service's answer does not fit the request");
    return ServiceAnswer{200, absl::StrCat("done:", request.body), "application/json"};
  };
  return port;
}

}  // namespace oleander::matrix
