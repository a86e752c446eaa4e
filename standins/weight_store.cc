#include "standins/weight_store.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace oleander::standins {
namespace {

// Counts the request. Answers 429 and returns false if the rate limit is reached.
bool Admit(WeightStore& store, RateCounter& counter, httplib::Response& res)
    ABSL_EXCLUSIVE_LOCKS_REQUIRED(store.mutex) {
  const absl::Time now = absl::Now();
  CountEvent(counter, now);
  if (TakeToken(store.limit, now)) return true;
  ++store.refused;
  res.set_header("Retry-After", "1");
  AnswerJson(res, 429, {{"error", "too many requests"}});
  return false;
}

void AddRoutes(WeightStore& store, httplib::Server& server) {
  constexpr char path[] = R"(/weights/([^/]+)/(\d+))";
  server.Put(path, [&store](const httplib::Request& req, httplib::Response& res) {
    absl::MutexLock lock(&store.mutex);
    if (!Admit(store, store.writes, res)) return;
    store.weights[absl::StrCat(req.matches[1].str(), "/", req.matches[2].str())] = req.body;
    AnswerJson(res, 200, {{"ok", true}});
  });
  server.Get(path, [&store](const httplib::Request& req, httplib::Response& res) {
    absl::MutexLock lock(&store.mutex);
    if (!Admit(store, store.reads, res)) return;
    const auto it = store.weights.find(absl::StrCat(req.matches[1].str(), "/", req.matches[2].str()));
    if (it == store.weights.end()) {
      AnswerJson(res, 404, {{"error", "no such version"}});
      return;
    }
    res.status = 200;
    res.set_content(it->second, "application/octet-stream");
  });
}

Json AuditLogJson(WeightStore& store) {
  absl::MutexLock lock(&store.mutex);
  return {{"role", "weights"},
          {"versions", store.weights.size()},
          {"refused", store.refused},
          {"reads", ToJson(store.reads)},
          {"writes", ToJson(store.writes)}};
}

}  // namespace

bool TakeToken(RateLimit& limit, absl::Time now) {
  if (limit.per_second <= 0) return true;
  const double capacity = std::max(1.0, limit.per_second);
  if (limit.last_refill == absl::InfinitePast()) {
    limit.tokens = capacity;
  } else {
    limit.tokens =
        std::min(capacity, limit.tokens + absl::ToDoubleSeconds(now - limit.last_refill) * limit.per_second);
  }
  limit.last_refill = now;
  if (limit.tokens < 1) return false;
  limit.tokens -= 1;
  return true;
}

leaf::result<std::unique_ptr<WeightStore>> StartWeightStore(const Endpoint& endpoint, double per_second) {
  auto store = std::make_unique<WeightStore>();
  WeightStore* self = store.get();
  {
    absl::MutexLock lock(&store->mutex);
    store->limit.per_second = per_second;
  }
  store->port.endpoint = endpoint;
  store->port.role.name = "weights";
  store->port.role.id = "weights";
  store->port.role.routes = [self](httplib::Server& server) { AddRoutes(*self, server); };
  store->port.role.audit_log = [self] { return AuditLogJson(*self); };
  BOOST_LEAF_CHECK(OpenPort(store->port));
  return store;
}

}  // namespace oleander::standins
