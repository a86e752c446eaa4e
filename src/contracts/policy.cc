#include "oleander/policy.h"

#include <algorithm>
#include <array>
#include <string_view>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "contracts/strict_json.h"

namespace oleander {
namespace {

constexpr std::size_t kMinReasonBytes = 3;
// In the order in which EffectivePolicy applies them.
constexpr std::array<std::string_view, 4> kScopeKinds = {"pool", "zone", "job", "upstream"};

// Calls f(name, field, low, high) for numbers and f(name, field) for booleans.
template <class P, class F>
void VisitFields(P& policy, F&& f) {
  f("staleness_bound", policy.staleness_bound, 0, 1000);
  f("steps_ahead", policy.steps_ahead, 0, 8);
  f("deliver_without_store", policy.deliver_without_store);
  f("slice_tokens", policy.slice_tokens, 0, 65536);
  f("engine_max_in_flight", policy.engine_max_in_flight, 1, 1024);
  f("engine_reserved_interactive", policy.engine_reserved_interactive, 0, 1023);
  f("engine_queue_length", policy.engine_queue_length, 0, 100000);
  f("engines_check_fence", policy.engines_check_fence);
  f("affinity_load_bound", policy.affinity_load_bound, 1.0, 10.0);
  f("max_loading_fraction", policy.max_loading_fraction, 0.0, 1.0);
  f("non_idempotent", policy.non_idempotent);
  f("service_max_in_flight", policy.service_max_in_flight, 1, 4096);
  f("call_deadline_ms", policy.call_deadline_ms, 1, 600000);
  f("hedge_budget", policy.hedge_budget, 0.0, 1.0);
  f("retry_budget", policy.retry_budget, 0.0, 1.0);
  f("queue_deadline_ms", policy.queue_deadline_ms, 1, 600000);
  f("trainer_weight", policy.trainer_weight, 0.01, 100.0);
  f("drain_grace_ms", policy.drain_grace_ms, 0, 3000);
}

// True if the field must be above its lower bound. A max_loading_fraction of 0 would stop all loading of
// weights.
bool HasExclusiveLow(std::string_view name) { return name == "max_loading_fraction"; }

struct FieldReader {
  ObjectReader& reader;
  void operator()(const char* name, int& field, int low, int high) { reader.Read(name, field, low, high); }
  void operator()(const char* name, double& field, double low, double high) {
    reader.Read(name, field, low, high, HasExclusiveLow(name));
  }
  void operator()(const char* name, bool& field) { reader.Read(name, field); }
};

struct FieldWriter {
  Json& json;
  template <class T>
  void operator()(const char* name, const T& field, T, T) {
    json[name] = field;
  }
  void operator()(const char* name, const bool& field) { json[name] = field; }
};

void FindContradictions(const Policy& policy, std::vector<std::string>& problems) {
  if (policy.steps_ahead > policy.staleness_bound) {
    problems.push_back(absl::StrCat("steps_ahead: found ", policy.steps_ahead,
                                    ", expected at most staleness_bound (", policy.staleness_bound, ")"));
  }
  if (policy.engine_reserved_interactive >= policy.engine_max_in_flight) {
    problems.push_back(absl::StrCat("engine_reserved_interactive: found ", policy.engine_reserved_interactive,
                                    ", expected less than engine_max_in_flight (",
                                    policy.engine_max_in_flight, ")"));
  }
}

// Sets the fields that are present in `changes`; appends unknown and invalid ones to `problems`.
void ApplyChanges(const Json& changes, const std::string& path, Policy& policy,
                  std::vector<std::string>& problems) {
  ObjectReader reader(changes, path, problems);
  VisitFields(policy, FieldReader{reader});
  reader.Finish();
}

leaf::result<void> FailIfAny(const std::vector<std::string>& problems) {
  if (!problems.empty()) return Fail(ErrorKind::kInvalidRequest, absl::StrJoin(problems, "\n"));
  return {};
}

struct Scope {
  int kind = -1;  // index in kScopeKinds; -1: invalid
  std::string_view name;
};

Scope ParseScope(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos || slash + 1 == text.size()) return {};
  const auto it = std::find(kScopeKinds.begin(), kScopeKinds.end(), text.substr(0, slash));
  if (it == kScopeKinds.end()) return {};
  return {static_cast<int>(it - kScopeKinds.begin()), text.substr(slash + 1)};
}

}  // namespace

leaf::result<void> CheckPolicy(const Policy& policy) {
  // Reads the policy back from its JSON, so that the ranges of VisitFields apply as for external input.
  std::vector<std::string> problems;
  Policy copy;
  ApplyChanges(ToJson(policy), "", copy, problems);
  FindContradictions(policy, problems);
  return FailIfAny(problems);
}

leaf::result<void> CheckException(const Policy& policy, const PolicyException& exception) {
  if (absl::StripAsciiWhitespace(exception.reason).size() < kMinReasonBytes) {
    return Fail(ErrorKind::kReasonRequired,
                absl::StrCat("reason: found ", DescribeJson(exception.reason),
                             ", expected a reason of at least ", kMinReasonBytes, " characters"));
  }
  std::vector<std::string> problems;
  if (ParseScope(exception.scope).kind < 0) {
    problems.push_back(absl::StrCat("scope: found ", DescribeJson(exception.scope),
                                    ", expected job/NAME, pool/NAME, zone/NAME or upstream/NAME"));
  }
  Policy changed = policy;
  ApplyChanges(exception.changes, "changes", changed, problems);
  if (exception.changes.is_object() && exception.changes.empty())
    problems.push_back("changes: found an empty object, expected at least one field");
  if (problems.empty()) FindContradictions(changed, problems);
  return FailIfAny(problems);
}

leaf::result<void> CheckExceptions(const Policy& policy, const std::vector<PolicyException>& exceptions) {
  // A contradiction involves two fields. Each field of an effective policy comes from one exception or from
  // the default, so it suffices to check each exception and each pair that can apply to the same request.
  std::vector<std::string> problems;
  std::vector<const PolicyException*> coupled;
  std::set<std::string> ids;
  for (const PolicyException& it : exceptions) {
    BOOST_LEAF_CHECK(CheckException(policy, it));
    if (!it.id.empty() && !ids.insert(it.id).second)
      return Fail(ErrorKind::kInvalidRequest, absl::StrCat("id: found ", it.id, " twice, expected one"));
    for (const char* field :
         {"steps_ahead", "staleness_bound", "engine_reserved_interactive", "engine_max_in_flight"}) {
      if (!it.changes.contains(field)) continue;
      coupled.push_back(&it);
      break;
    }
  }
  for (std::size_t a = 0; a < coupled.size(); ++a) {
    for (std::size_t b = a + 1; b < coupled.size(); ++b) {
      const Scope first = ParseScope(coupled[a]->scope);
      const Scope second = ParseScope(coupled[b]->scope);
      if (first.kind == second.kind && first.name != second.name) continue;
      const bool swap = first.kind > second.kind;
      Policy changed = policy;
      ApplyChanges(coupled[swap ? b : a]->changes, "changes", changed, problems);
      ApplyChanges(coupled[swap ? a : b]->changes, "changes", changed, problems);
      const std::size_t before = problems.size();
      FindContradictions(changed, problems);
      if (problems.size() != before) {
        problems.back() += absl::StrCat(" where the exceptions for ", coupled[a]->scope, " and ",
                                        coupled[b]->scope, " both apply");
      }
    }
  }
  return FailIfAny(problems);
}

Policy EffectivePolicy(const Policy& policy, const std::vector<PolicyException>& exceptions,
                       const PolicyScope& scope) {
  const std::array<std::string_view, 4> names = {scope.pool, scope.zone, scope.job, scope.upstream};
  Policy result = policy;
  std::vector<std::string> ignored;
  for (std::size_t kind = 0; kind < kScopeKinds.size(); ++kind) {
    if (names[kind].empty()) continue;
    for (const PolicyException& it : exceptions) {
      const Scope parsed = ParseScope(it.scope);
      if (parsed.kind != static_cast<int>(kind) || parsed.name != names[kind]) continue;
      ApplyChanges(it.changes, "changes", result, ignored);
    }
  }
  return result;
}

leaf::result<Policy> PolicyFromJson(const Json& json) {
  Policy policy;
  std::vector<std::string> problems;
  ApplyChanges(json, "", policy, problems);
  if (problems.empty()) FindContradictions(policy, problems);
  BOOST_LEAF_CHECK(FailIfAny(problems));
  return policy;
}

Json ToJson(const Policy& policy) {
  Json json = Json::object();
  VisitFields(policy, FieldWriter{json});
  return json;
}

leaf::result<PolicyException> ExceptionFromJson(const Json& json) {
  PolicyException exception;
  std::vector<std::string> problems;
  ObjectReader reader(json, "", problems);
  reader.Read("id", exception.id, 0, 64);
  reader.Read("scope", exception.scope, 1, 256, Presence::kRequired);
  // Optional here: CheckException reports a missing reason with kReasonRequired.
  reader.Read("reason", exception.reason, 0, 4096);
  const Json* changes = reader.Find("changes", "an object", Presence::kRequired);
  if (changes != nullptr) {
    Policy ignored;
    ApplyChanges(*changes, "changes", ignored, problems);
    if (problems.empty()) exception.changes = *changes;
  }
  reader.Finish();
  BOOST_LEAF_CHECK(FailIfAny(problems));
  return exception;
}

Json ToJson(const PolicyException& exception) {
  return {{"id", exception.id},
          {"scope", exception.scope},
          {"changes", exception.changes},
          {"reason", exception.reason}};
}

}  // namespace oleander
