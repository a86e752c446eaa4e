#include "standins/host_list.h"

#include "absl/time/clock.h"

namespace oleander::standins {
namespace {

constexpr std::size_t kMaxHistory = 256;

bool IsValidList(const Json& json) {
  return json.is_object() && json.contains("hosts") && json["hosts"].is_array() &&
         json.contains("upstreams") && json["upstreams"].is_array();
}

void AddRoutes(HostList& list, httplib::Server& server) {
  server.Post("/lag", [&list](const httplib::Request& req, httplib::Response& res) {
    const Json body = Json::parse(req.body, nullptr, false);
    if (!body.is_object() || !body.contains("lag_ms") || !body["lag_ms"].is_number_integer()) {
      AnswerJson(res, 400, {{"error", "lag_ms: expected an integer"}});
      return;
    }
    absl::MutexLock lock(&list.mutex);
    list.lag = absl::Milliseconds(body["lag_ms"].get<std::int64_t>());
    AnswerJson(res, 200, {{"ok", true}});
  });
  server.Post(".*", [&list](const httplib::Request& req, httplib::Response& res) {
    Json body = Json::parse(req.body, nullptr, false);
    if (!IsValidList(body)) {
      AnswerJson(res, 400, {{"error", "expected an object with the arrays hosts and upstreams"}});
      return;
    }
    SetCurrentList(list, std::move(body), absl::Now());
    AnswerJson(res, 200, {{"ok", true}});
  });
  server.Get(".*", [&list](const httplib::Request&, httplib::Response& res) {
    AnswerJson(res, 200, DelayedList(list, absl::Now()));
  });
}

}  // namespace

void SetCurrentList(HostList& list, Json value, absl::Time now) {
  absl::MutexLock lock(&list.mutex);
  list.history.emplace_back(now, std::move(value));
  if (list.history.size() > kMaxHistory) list.history.pop_front();
}

Json DelayedList(HostList& list, absl::Time now) {
  absl::MutexLock lock(&list.mutex);
  ++list.reads;
  for (auto it = list.history.rbegin(); it != list.history.rend(); ++it) {
    if (it->first <= now - list.lag) return it->second;
  }
  return list.history.front().second;
}

leaf::result<std::unique_ptr<HostList>> StartHostList(const Endpoint& endpoint, Json initial,
                                                      absl::Duration lag) {
  auto list = std::make_unique<HostList>();
  HostList* self = list.get();
  {
    absl::MutexLock lock(&list->mutex);
    list->lag = lag;
  }
  SetCurrentList(*list, std::move(initial), absl::InfinitePast());
  list->port.endpoint = endpoint;
  list->port.role.name = "list";
  list->port.role.id = "list";
  list->port.role.routes = [self](httplib::Server& server) { AddRoutes(*self, server); };
  list->port.role.audit_log = [self] {
    absl::MutexLock lock(&self->mutex);
    return Json{{"role", "list"}, {"reads", self->reads}};
  };
  BOOST_LEAF_CHECK(OpenPort(list->port));
  return list;
}

}  // namespace oleander::standins
