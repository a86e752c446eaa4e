// The administration API: policy, exceptions, jobs, hosts, upstreams, confirmations.
#include <algorithm>
#include <limits>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "contracts/strict_json.h"
#include "links/http_answers.h"
#include "oleander/capacity.h"

namespace oleander {
namespace {

constexpr int kMaxWaitMs = 10000;  // maximum time to wait for confirmations
constexpr int kMaxChangeAttempts = 8;
// Limits of a capacity query.
constexpr std::int64_t kMaxHosts = 100000;
constexpr std::int64_t kMaxEngines = 1000000;
constexpr std::int64_t kMaxTrainers = 10000;
constexpr std::int64_t kMaxRequests = 100000000;  // per second
constexpr absl::Duration kConfirmationPollInterval = absl::Milliseconds(20);

// ---- Configuration ----

struct Confirmations {
  std::vector<HostId> confirmed;
  std::vector<HostId> pending;
};

// Lists which live hosts have applied configuration `version`, according to their own gossip.
Confirmations ReadConfirmations(Host& host, std::int64_t version) {
  Confirmations result;
  const absl::MutexLock lock(&host.control_mutex);
  for (const Member& it : LiveMembers(host.membership)) {
    const std::int64_t known =
        it.id == host.settings.host.id ? host.config.current.version : it.config_version;
    (known >= version ? result.confirmed : result.pending).push_back(it.id);
  }
  return result;
}

Json ConfirmationJson(Host& host, std::int64_t version, absl::Duration wait) {
  const absl::Time deadline = absl::Now() + wait;
  Confirmations found = ReadConfirmations(host, version);
  while (!found.pending.empty() && absl::Now() < deadline) {
    absl::SleepFor(kConfirmationPollInterval);
    found = ReadConfirmations(host, version);
  }
  return {{"version", version}, {"confirmed", found.confirmed}, {"pending", found.pending}};
}

// Parses query parameter `wait_ms`: how long to wait until all live hosts have confirmed. Default: 0.
leaf::result<absl::Duration> ParseWait(const Exchange& exchange) {
  if (!exchange.request.has_param("wait_ms")) return absl::ZeroDuration();
  BOOST_LEAF_AUTO(ms, ParseInteger("wait_ms", exchange.request.get_param_value("wait_ms"), 0, kMaxWaitMs));
  return absl::Milliseconds(ms);
}

// Parses If-Match: the version that the change replaces. Returns -1 if the header is absent.
leaf::result<std::int64_t> ParseIfMatch(const Exchange& exchange) {
  std::string text = exchange.request.get_header_value("If-Match");
  if (text.empty()) return std::int64_t{-1};
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') text = text.substr(1, text.size() - 2);
  return ParseInteger("If-Match", text, 0, std::numeric_limits<std::int64_t>::max());
}

// Proposes a document and applies it on this host. On a conflict, applies the newer document that another
// operator stored, and returns the error.
leaf::result<ConfigDocument> Propose(Host& host, const ConfigChange& change) {
  Outcome<ConfigDocument> outcome =
      Capture<ConfigDocument>([&] { return ProposeConfig(host.table, change); });
  if (Ok(outcome)) {
    LogEventLine(LogLevel::kInfo, LogEvent::kConfigAccepted,
                 {{"version", Value(outcome).version}, {"by", change.changed_by}});
    ReceiveConfig(host, Value(outcome), true);
    return std::move(Value(outcome));
  }
  const Error error = ErrorOf(outcome);
  if (error.kind == ErrorKind::kConflict) {
    const Json other = Json::parse(error.detail, nullptr, false);
    if (other.is_object()) {
      const Outcome<ConfigDocument> document = Capture<ConfigDocument>([&] { return ConfigFromJson(other); });
      if (Ok(document)) ReceiveConfig(host, Value(document), true);
    }
  }
  return Fail(error);
}

// Applies `edit` to the policy or exceptions of the current document and proposes the result. Without
// If-Match, a conflicting change is retried on the newer version: such a change commutes with those of other
// operators.
template <class F>
leaf::result<ConfigDocument> ChangeConfig(Exchange& exchange, F&& edit) {
  Host& host = exchange.host;
  BOOST_LEAF_CHECK(CheckAllowed(CurrentIsolation(host), WorkKind::kConfigChange));
  BOOST_LEAF_AUTO(match, ParseIfMatch(exchange));
  std::optional<Error> last;
  for (int it = 0; it < kMaxChangeAttempts; ++it) {
    const ConfigDocument current = CurrentConfig(host);
    ConfigChange change;
    change.expected_version = match >= 0 ? match : current.version;
    change.policy = current.policy;
    change.exceptions = current.exceptions;
    change.changed_by = exchange.name;
    change.write_id = NewId(host, "config");
    BOOST_LEAF_CHECK(edit(change));
    Outcome<ConfigDocument> outcome = Capture<ConfigDocument>([&] { return Propose(host, change); });
    if (Ok(outcome)) return std::move(Value(outcome));
    last = ErrorOf(outcome);
    // Without a newer version a retry would conflict again.
    const bool newer_version = CurrentConfig(host).version > current.version;
    if (last->kind != ErrorKind::kConflict || match >= 0 || !newer_version) break;
  }
  return Fail(*last);
}

Json AcceptedJson(Host& host, const ConfigDocument& document, absl::Duration wait) {
  Json json = ConfirmationJson(host, document.version, wait);
  json["changed_by"] = document.changed_by;
  return json;
}

leaf::result<Json> GetPolicy(Exchange& exchange) {
  const ConfigDocument document = CurrentConfig(exchange.host);
  exchange.response.set_header("ETag", absl::StrCat("\"", document.version, "\""));
  return Json{{"version", document.version},
              {"changed_by", document.changed_by},
              {"policy", ToJson(document.policy)}};
}

leaf::result<Json> PutPolicy(Exchange& exchange) {
  BOOST_LEAF_AUTO(wait, ParseWait(exchange));
  if (!exchange.request.has_header("If-Match"))
    return Fail(ErrorKind::kInvalidRequest, "If-Match: expected the version that the change replaces");
  BOOST_LEAF_AUTO(json, ParseObject(exchange.body));
  BOOST_LEAF_AUTO(policy, PolicyFromJson(json));
  BOOST_LEAF_AUTO(document, ChangeConfig(exchange, [&](ConfigChange& change) -> leaf::result<void> {
                    change.policy = policy;
                    return CheckPolicy(policy);
                  }));
  Json answer = AcceptedJson(exchange.host, document, wait);
  answer["policy"] = ToJson(document.policy);
  return answer;
}

leaf::result<Json> GetExceptions(Exchange& exchange) {
  const ConfigDocument document = CurrentConfig(exchange.host);
  Json list = Json::array();
  for (const PolicyException& it : document.exceptions) list.push_back(ToJson(it));
  return Json{{"version", document.version}, {"exceptions", std::move(list)}};
}

leaf::result<Json> PostException(Exchange& exchange) {
  BOOST_LEAF_AUTO(wait, ParseWait(exchange));
  BOOST_LEAF_AUTO(json, ParseObject(exchange.body));
  if (json.contains("id"))
    return Fail(ErrorKind::kInvalidRequest,
                "id: found a value, expected none because the service assigns it");
  BOOST_LEAF_AUTO(exception, ExceptionFromJson(json));
  std::string id;
  BOOST_LEAF_AUTO(document, ChangeConfig(exchange, [&](ConfigChange& change) -> leaf::result<void> {
                    PolicyException added = exception;
                    // Versions are never reused, so the id is unique.
                    added.id = absl::StrCat("ex-", change.expected_version + 1);
                    id = added.id;
                    BOOST_LEAF_CHECK(CheckException(change.policy, added));
                    change.exceptions.push_back(std::move(added));
                    return CheckExceptions(change.policy, change.exceptions);
                  }));
  Json answer = AcceptedJson(exchange.host, document, wait);
  answer["id"] = id;
  return answer;
}

leaf::result<Json> DeleteException(Exchange& exchange) {
  BOOST_LEAF_AUTO(wait, ParseWait(exchange));
  const std::string& id = exchange.path[3];
  BOOST_LEAF_AUTO(document, ChangeConfig(exchange, [&](ConfigChange& change) -> leaf::result<void> {
                    const std::size_t n = std::erase_if(
                        change.exceptions, [&id](const PolicyException& it) { return it.id == id; });
                    if (n == 0) return Fail(ErrorKind::kNotFound, absl::StrCat("exception ", id));
                    return {};
                  }));
  return AcceptedJson(exchange.host, document, wait);
}

leaf::result<Json> GetConfirmations(Exchange& exchange) {
  BOOST_LEAF_AUTO(wait, ParseWait(exchange));
  return ConfirmationJson(exchange.host, CurrentConfig(exchange.host).version, wait);
}

// ---- Jobs ----

Json JobJson(const std::shared_ptr<JobEntry>& entry, bool with_prompts) {
  const absl::MutexLock lock(&entry->mutex);
  const JobRunner& runner = entry->runner;
  Json json = ToJson(runner.spec);
  if (!with_prompts) json.erase("prompts");
  const bool held = runner.lease.state == LeaseState::kHeld;
  const LeaseRow& row = held ? runner.lease.row : entry->holder;
  json["holder"] = row.holder;
  json["fence"] = row.fence;
  if (!held) return json;
  Json steps = Json::array();
  for (const auto& [seq, step] : runner.steps) {
    std::map<std::string, int> states;
    for (const SlotProgress& it : step.slots) ++states[std::string(NameOf(it.state))];
    steps.push_back({{"seq", seq}, {"slots", states}});
  }
  const JobCounters& counters = runner.counters;
  Json dropped = Json::object();
  for (int it = 0; it < kDropReasonCount; ++it)
    dropped[std::string(NameOf(static_cast<DropReason>(it)))] = counters.dropped[it];
  json["progress"] = {{"next_seq", runner.next_seq},
                      {"trainer_version", runner.trainer_version},
                      {"steps", std::move(steps)},
                      {"batches_committed", counters.batches_committed},
                      {"batches_provisional", counters.batches_provisional},
                      {"samples_handed_out", counters.samples_handed_out},
                      {"samples_dropped", std::move(dropped)},
                      {"tokens_generated", counters.tokens_generated},
                      {"tokens_dropped", counters.tokens_dropped}};
  return json;
}

leaf::result<Json> GetJobs(Exchange& exchange) {
  Host& host = exchange.host;
  Json list = Json::array();
  std::vector<std::shared_ptr<JobEntry>> entries;
  {
    const absl::MutexLock lock(&host.jobs_mutex);
    for (const auto& [id, entry] : host.jobs) entries.push_back(entry);
  }
  for (const std::shared_ptr<JobEntry>& it : entries) list.push_back(JobJson(it, false));
  return Json{{"jobs", std::move(list)}};
}

leaf::result<Json> PostJob(Exchange& exchange) {
  Host& host = exchange.host;
  BOOST_LEAF_AUTO(json, ParseObject(exchange.body));
  // Checked here because JobSpecFromJson would wrap or round numbers that do not fit.
  for (const char* it : {"samples_per_step", "group_size", "max_tokens"}) {
    if (!json.contains(it)) continue;
    const std::optional<std::int64_t> n = IntegerOf(json[it]);
    if (!n || *n < 0 || *n > std::numeric_limits<int>::max())
      return Fail(ErrorKind::kInvalidRequest,
                  absl::StrCat(it, ": found ", DescribeJson(json[it]), ", expected an integer of 31 bits"));
  }
  if (json.contains("seed") && (!IntegerOf(json["seed"]) || *IntegerOf(json["seed"]) < 0))
    return Fail(ErrorKind::kInvalidRequest, "seed: expected an integer of at least 0");
  BOOST_LEAF_AUTO(spec, JobSpecFromJson(json));
  const bool known = std::any_of(host.settings.callers.begin(), host.settings.callers.end(),
                                 [&](const Credential& it) { return it.name == spec.trainer; });
  if (!known)
    return Fail(ErrorKind::kInvalidRequest,
                absl::StrCat("trainer: found \"", spec.trainer, "\", expected the name of a caller"));
  BOOST_LEAF_CHECK(CheckAllowed(CurrentIsolation(host), WorkKind::kConfigChange));
  BOOST_LEAF_CHECK(CreateJob(host.table, spec, NewId(host, "job")));
  BOOST_LEAF_AUTO(stored, ReadJob(host.table, spec.id));
  ReceiveJobSpec(host, stored);
  return ToJson(stored);
}

leaf::result<Json> GetJob(Exchange& exchange) {
  const JobId& id = exchange.path[3];
  std::shared_ptr<JobEntry> entry = FindJob(exchange.host, id);
  if (!entry) {
    BOOST_LEAF_AUTO(spec, ReadJob(exchange.host.table, id));
    ReceiveJobSpec(exchange.host, spec);
    entry = FindJob(exchange.host, id);
    if (!entry) return ToJson(spec);
  }
  return JobJson(entry, true);
}

leaf::result<Json> ChangeJob(Exchange& exchange) {
  const std::string& verb = exchange.path[4];
  const JobState state = verb == "pause"    ? JobState::kPaused
                         : verb == "resume" ? JobState::kRunning
                                            : JobState::kEnded;
  BOOST_LEAF_CHECK(CheckAllowed(CurrentIsolation(exchange.host), WorkKind::kConfigChange));
  BOOST_LEAF_AUTO(spec,
                  SetJobState(exchange.host.table, exchange.path[3], state, NewId(exchange.host, "job")));
  ReceiveJobSpec(exchange.host, spec);
  return Json{{"id", spec.id}, {"state", NameOf(spec.state)}};
}

// ---- Fleet ----

leaf::result<Json> GetHosts(Exchange& exchange) {
  Host& host = exchange.host;
  const absl::MutexLock lock(&host.control_mutex);
  Json list = Json::array();
  const auto add = [&list](const Member& it) {
    list.push_back({{"id", it.id},
                    {"zone", it.zone},
                    {"state", NameOf(it.state)},
                    {"address", it.peer.address},
                    {"peer_port", it.peer.port},
                    {"incarnation", it.incarnation},
                    {"config_version", it.config_version},
                    {"store_contact", it.table_reachable}});
  };
  add(host.membership.self);
  for (const auto& [id, record] : host.membership.members) add(record.member);
  return Json{{"hosts", std::move(list)}, {"answered_by", host.settings.host.id}};
}

leaf::result<Json> GetUpstreams(Exchange& exchange) {
  Json list = Json::array();
  const ReadView view(*exchange.host.routing);
  const absl::Time now = absl::Now();
  for (const UpstreamView& it : view->upstreams) {
    const UpstreamHealth health = HealthOf(it, view->pools.at(it.upstream.pool).median_ns, now);
    Json row = ToJson(it.upstream);
    row["health"] = health == UpstreamHealth::kHealthy ? "healthy"
                    : health == UpstreamHealth::kSlow  ? "slow"
                                                       : "failing";
    row["in_flight"] = it.stats->in_flight.load(std::memory_order_relaxed);
    row["latency_us"] = it.stats->latency_ns.load(std::memory_order_relaxed) / 1000;
    if (it.upstream.kind == UpstreamKind::kEngine) {
      row["responsible"] = it.responsible_host;
      row["version"] = it.load.version;
      row["queued"] = it.queued;
      row["assigned"] = it.assigned;
    }
    list.push_back(std::move(row));
  }
  return Json{{"upstreams", std::move(list)}, {"answered_by", exchange.host.settings.host.id}};
}

// Parses an optional integer query parameter of 1 to `high`. Returns `unset` if it is absent.
leaf::result<std::int64_t> QueryInteger(const Exchange& exchange, const std::string& name, std::int64_t unset,
                                        std::int64_t high) {
  if (!exchange.request.has_param(name)) return unset;
  return ParseInteger(name, exchange.request.get_param_value(name), 1, high);
}

leaf::result<Json> GetCapacity(Exchange& exchange) {
  CapacityInput input;
  BOOST_LEAF_AUTO(hosts, QueryInteger(exchange, "hosts", input.hosts, kMaxHosts));
  BOOST_LEAF_AUTO(engines, QueryInteger(exchange, "engines", input.engines, kMaxEngines));
  BOOST_LEAF_AUTO(trainers, QueryInteger(exchange, "trainers", input.trainers, kMaxTrainers));
  const std::int64_t unset = static_cast<std::int64_t>(input.requests_per_s);
  BOOST_LEAF_AUTO(requests, QueryInteger(exchange, "requests", unset, kMaxRequests));
  input.hosts = static_cast<int>(hosts);
  input.engines = static_cast<int>(engines);
  input.trainers = static_cast<int>(trainers);
  input.requests_per_s = static_cast<double>(requests);
  return Json{{"capacity", ToJson(EstimateCapacity(input))}};
}

leaf::result<Json> UnknownCall(Exchange& exchange) {
  return Fail(ErrorKind::kNotFound,
              absl::StrCat(exchange.request.method, " ", exchange.request.path, " is not a call"));
}

using AdminCall = leaf::result<Json> (*)(Exchange&);

AdminCall FindCall(const Exchange& exchange) {
  const std::vector<std::string>& path = exchange.path;
  const std::string& method = exchange.request.method;
  const std::size_t n = path.size();
  const bool get = method == "GET";
  const bool post = method == "POST";
  if (n == 3 && path[2] == "policy") return get ? GetPolicy : method == "PUT" ? PutPolicy : UnknownCall;
  if (n == 3 && path[2] == "exceptions") return get ? GetExceptions : post ? PostException : UnknownCall;
  if (n == 4 && path[2] == "exceptions" && method == "DELETE") return DeleteException;
  if (n == 3 && path[2] == "jobs") return get ? GetJobs : post ? PostJob : UnknownCall;
  if (n == 4 && path[2] == "jobs" && get) return GetJob;
  if (n == 5 && path[2] == "jobs" && post && (path[4] == "pause" || path[4] == "resume" || path[4] == "end"))
    return ChangeJob;
  if (n == 3 && path[2] == "hosts" && get) return GetHosts;
  if (n == 3 && path[2] == "upstreams" && get) return GetUpstreams;
  if (n == 3 && path[2] == "capacity" && get) return GetCapacity;
  if (n == 4 && path[2] == "config" && path[3] == "confirmations" && get) return GetConfirmations;
  return UnknownCall;
}

}  // namespace

void ServeAdmin(Exchange& exchange) {
  const AdminCall call = FindCall(exchange);
  const Outcome<Json> outcome = Capture<Json>([&]() -> leaf::result<Json> {
    // A draining host still answers reads. It refuses changes, so that the operator's client sends them to
    // another host.
    if (exchange.request.method != "GET" && exchange.host.draining.load(std::memory_order_acquire))
      return Fail(ErrorKind::kShuttingDown, "the host is leaving");
    return call(exchange);
  });
  if (!Ok(outcome)) return Refuse(exchange, ErrorOf(outcome));
  AnswerJson(exchange, Value(outcome));
}

}  // namespace oleander
