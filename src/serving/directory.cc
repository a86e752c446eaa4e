#include "serving/directory.h"

#include <algorithm>
#include <utility>

#include "oleander/log_events.h"
#include "oleander/metrics.h"
#include "serving/text.h"

namespace oleander::serving {
namespace {

constexpr double kLatencyWeight = 0.2;    // weight of a new sample in the moving average
constexpr double kEventGapWeight = 0.15;  // events come in bursts after a pause, so one gap says little
// Averages over about one second of a run, so that noise on the engine's machine evens out.
constexpr double kPaceWeight = 0.03;
// Multiple of the pace; longer gaps come from a load of weights or a moved run.
constexpr double kMaxPaceSampleFactor = 3;
constexpr absl::Duration kInitialFailureBackoff = absl::Milliseconds(150);
constexpr absl::Duration kMaxFailureBackoff = absl::Seconds(2);
constexpr int kMaxBackoffDoublings = 4;
constexpr absl::Duration kRefusalBackoff = absl::Milliseconds(60);  // after the upstream reported to be full
constexpr absl::Duration kUnreachableBackoff = absl::Seconds(1);    // after a failed connection attempt

}  // namespace

bool Directory::ApplyPolicy(Policy policy) {
  if (policy.version <= policy_.version) return false;
  policy_ = std::move(policy);
  workspaces_ = IndexWorkspaces(policy_.workspaces);
  for (Workspace& it : policy_.workspaces) it.keys = {};
  return true;
}

const Route* Directory::FindRoute(std::string_view host, std::string_view target) const {
  const std::string_view path = target.substr(0, target.find('?'));
  const Route* best = nullptr;
  for (const Route& it : policy_.routes) {
    if (!EqualsIgnoreCase(it.host, host) || !path.starts_with(it.prefix)) continue;
    if (best == nullptr || it.prefix.size() > best->prefix.size()) best = &it;
  }
  return best;
}

const ServiceSpec* Directory::FindService(std::string_view name) const {
  for (const ServiceSpec& it : policy_.services) {
    if (it.name == name) return &it;
  }
  return nullptr;
}

void Directory::ApplyUpstream(const UpstreamEntry& entry) {
  UpstreamState& state = upstreams_[entry.id];
  if (!state.registered || state.entry.id.empty() || state.entry.draining != entry.draining ||
      state.entry.service != entry.service || state.entry.started_ms != entry.started_ms) {
    OnListChanged();
  }
  // A restarted upstream with the same id: earlier observations do not apply, but calls in progress still
  // count.
  if (state.entry.started_ms != entry.started_ms) {
    const int in_flight = state.in_flight;
    state = UpstreamState();
    state.in_flight = in_flight;
  }
  state.entry = entry;
  state.registered = true;
  state.removal_due = absl::InfiniteFuture();
  for (const std::pair<const std::string, std::int64_t>& it : entry.weights) {
    std::int64_t& observed = state.observed_weights[it.first];
    // Newer weights than observed before: the engine has finished loading them.
    if (it.second > observed) state.unavailable_until.erase(it.first);
    observed = std::max(observed, it.second);
  }
}

void Directory::RemoveUpstream(const std::string& id, absl::Time now, absl::Time due) {
  const auto it = upstreams_.find(id);
  if (it == upstreams_.end()) return;
  it->second.removal_due = std::min(it->second.removal_due, due);
  if (it->second.removal_due > now || !it->second.registered) return;
  it->second.registered = false;
  OnListChanged();
}

void Directory::OnListChanged() {
  ++generation_;
  usable_.clear();
}

void Directory::Expire(absl::Time now) {
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    if (it->second.removal_due <= now && it->second.registered) {
      it->second.registered = false;
      OnListChanged();
    }
    if (!it->second.registered && it->second.in_flight == 0) {
      OnListChanged();
      it = upstreams_.erase(it);
    } else {
      ++it;
    }
  }
}

void Directory::LogRates() {
  for (std::pair<const std::string, UpstreamState>& it : upstreams_) {
    const int sent = std::exchange(it.second.sent_since_log, 0);
    if (!it.second.request_limit || sent == 0) continue;
    LogEventLine(LogLevel::kInfo, LogEvent::kUpstreamRate,
                 {{"upstream", it.first},
                  {"service", it.second.entry.service},
                  {"limit", *it.second.request_limit},
                  {"sent", sent},
                  {"in_flight", it.second.in_flight}});
  }
}

UpstreamState* Directory::Find(const std::string& id) {
  const auto it = upstreams_.find(id);
  return it == upstreams_.end() ? nullptr : &it->second;
}

const std::vector<UpstreamState*>& Directory::Usable(std::string_view service) {
  const auto cached = usable_.find(service);
  if (cached != usable_.end()) return cached->second;
  std::vector<UpstreamState*>& usable = usable_[std::string(service)];
  for (std::pair<const std::string, UpstreamState>& it : upstreams_) {
    if (it.second.registered && !IsLeaving(it.second) && it.second.entry.service == service)
      usable.push_back(&it.second);
  }
  return usable;
}

void Directory::ObserveAnswer(const std::string& id, std::int64_t started_ms, const AnswerHead& head,
                              const std::string& model, absl::Time sent_at, absl::Time now) {
  UpstreamState* const upstream = Find(id);
  if (upstream == nullptr || upstream->entry.started_ms != started_ms) return;
  ObserveHead(*upstream, head, model, sent_at, now);
  if (head.leaving) ObserveLeaving(id, started_ms, "answer", sent_at, now);
}

void Directory::ObserveLeaving(const std::string& id, std::int64_t started_ms, std::string_view source,
                               absl::Time sent_at, absl::Time now) {
  UpstreamState* const upstream = Find(id);
  if (upstream == nullptr || upstream->entry.started_ms != started_ms || upstream->states_leaving) return;
  const bool listed = upstream->entry.draining;
  upstream->states_leaving = true;
  OnListChanged();
  AddCounter(GlobalMetrics(), "upstreams_leaving", listed ? "after_registration" : "before_registration");
  LogEventLine(LogLevel::kInfo, LogEvent::kUpstreamStatesLeaving,
               {{"upstream", id},
                {"service", upstream->entry.service},
                {"started_ms", started_ms},
                {"source", source},
                {"listed_as_draining", listed},
                {"sent_ms", absl::ToInt64Milliseconds(now - sent_at)},
                {"in_flight", upstream->in_flight}});
}

void Directory::RecordAnnouncedVersion(const std::string& model, std::int64_t version) {
  std::int64_t& announced = announced_versions_[model];
  announced = std::max(announced, version);
}

bool Directory::WantPermits(UpstreamState& upstream, int calls) {
  if (!upstream.request_limit || calls <= 0 || !on_permits_wanted) return false;
  upstream.permits_wanted = calls;
  return on_permits_wanted(upstream);
}

bool HasPermit(const UpstreamState& upstream, absl::Time now) {
  return !upstream.request_limit || (upstream.permits > 0 && now < upstream.permits_until);
}

void RecordStart(UpstreamState& upstream) {
  ++upstream.in_flight;
  ++upstream.sent_since_log;
  if (upstream.request_limit) upstream.permits = std::max(0, upstream.permits - 1);
}

std::int64_t KnownWeightsVersion(const UpstreamState& upstream, const std::string& model) {
  const auto it = upstream.observed_weights.find(model);
  return it == upstream.observed_weights.end() ? 0 : it->second;
}

void ObserveRequestLimit(UpstreamState& upstream, const AnswerHead& head, absl::Time sent_at,
                         absl::Time now) {
  const bool success = head.status >= 200 && head.status < 300;
  const bool lifted = success && !head.request_limit && sent_at > upstream.limit_stated_at;
  const std::optional<double> before = upstream.request_limit;
  if (head.request_limit) {
    if (!before) upstream.permits = 0;
    upstream.request_limit = head.request_limit;
    upstream.limit_stated_at = now;
  } else if (lifted) {
    upstream.request_limit.reset();
  }
  if (upstream.request_limit == before) return;
  LogEventLine(LogLevel::kInfo, LogEvent::kUpstreamLimit,
               {{"upstream", upstream.entry.id},
                {"service", upstream.entry.service},
                {"limit", upstream.request_limit ? Json(*upstream.request_limit) : Json()},
                {"before", before ? Json(*before) : Json()},
                {"status", head.status},
                {"in_flight", upstream.in_flight}});
}

bool IsLeaving(const UpstreamState& upstream) { return upstream.entry.draining || upstream.states_leaving; }

void ObserveHead(UpstreamState& upstream, const AnswerHead& head, const std::string& model,
                 absl::Time sent_at, absl::Time now) {
  ObserveRequestLimit(upstream, head, sent_at, now);
  if (head.load) ObserveLoad(upstream, *head.load, now);
  // The version in a response is newer than the one in the list of upstreams.
  if (head.weights && !model.empty() && *head.weights > 0) upstream.observed_weights[model] = *head.weights;
}

void ObserveLoad(UpstreamState& upstream, const ReportedLoad& load, absl::Time now) {
  upstream.load = load;
  upstream.load_at = now;
  upstream.in_flight_at_load = upstream.in_flight;
}

void ObserveLatency(UpstreamState& upstream, absl::Duration latency, absl::Time now) {
  const double ms = absl::ToDoubleMilliseconds(latency);
  upstream.latency_ms =
      upstream.latency_ms == 0 ? ms : upstream.latency_ms + kLatencyWeight * (ms - upstream.latency_ms);
  upstream.latency_at = now;
}

void ObserveEventGap(UpstreamState& upstream, absl::Duration gap, absl::Time now) {
  const double ms = absl::ToDoubleMilliseconds(gap);
  upstream.gap_ms = upstream.gap_ms == 0 ? ms : upstream.gap_ms + kEventGapWeight * (ms - upstream.gap_ms);
  upstream.gap_at = now;
  if (!upstream.pace_measured_here) {
    upstream.pace_ms = upstream.pace_ms == 0 ? ms : (upstream.pace_ms + ms) / 2;
    upstream.pace_measured_here = true;
  } else {
    upstream.pace_ms +=
        kPaceWeight * (std::min(ms, kMaxPaceSampleFactor * upstream.pace_ms) - upstream.pace_ms);
  }
}

void AdoptPace(UpstreamState& upstream, double pace_ms) {
  if (!upstream.pace_measured_here && pace_ms > 0) upstream.pace_ms = pace_ms;
}

void ObserveFailure(UpstreamState& upstream, absl::Time now) {
  const int doublings = std::min(upstream.failures_in_row, kMaxBackoffDoublings);
  ++upstream.failures_in_row;
  upstream.avoid_until = now + std::min(kMaxFailureBackoff, kInitialFailureBackoff * (1 << doublings));
}

void ObserveRefusal(UpstreamState& upstream, absl::Time now) {
  upstream.avoid_until = std::max(upstream.avoid_until, now + kRefusalBackoff);
}

void ObserveNoAnswer(UpstreamState& upstream, CallEnd end, absl::Time now) {
  ObserveFailure(upstream, now);
  if (end == CallEnd::kNotSent)
    upstream.avoid_until = std::max(upstream.avoid_until, now + kUnreachableBackoff);
  if (end == CallEnd::kTooLarge) upstream.avoid_until = now + kMaxFailureBackoff;
}

void ObserveSuccess(UpstreamState& upstream) {
  upstream.failures_in_row = 0;
  upstream.avoid_until = absl::InfinitePast();
}

}  // namespace oleander::serving
