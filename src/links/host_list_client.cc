// Client of the platform's list of hosts and upstreams. GET {url} answers
// {"hosts":[{"id","zone","address","port","leaving"}],"upstreams":[...]}.
#include <cassert>
#include <memory>

#include "absl/strings/str_cat.h"
#include "links/http_client.h"
#include "oleander/platform.h"

namespace oleander {
namespace {

struct ListClient {
  HttpPool pool;
  Endpoint endpoint;
  std::string path;
  absl::Duration deadline;
};

ListedHost HostFrom(const Json& json) {
  ListedHost host;
  host.id = json.at("id").get<std::string>();
  host.zone = json.at("zone").get<std::string>();
  host.peer.address = json.at("address").get<std::string>();
  host.peer.port = json.at("port").get<int>();
  host.leaving = json.value("leaving", false);
  return host;
}

leaf::result<PlatformList> ParseList(const std::string& body) {
  PlatformList list;
  try {
    const Json json = Json::parse(body);
    for (const Json& it : json.at("hosts")) list.hosts.push_back(HostFrom(it));
    for (const Json& it : json.at("upstreams")) {
      BOOST_LEAF_AUTO(upstream, UpstreamFromJson(it));
      list.upstreams.push_back(std::move(upstream));
    }
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kStoreUnavailable, absl::StrCat("list of hosts: ", ex.what()));
  }
  return list;
}

leaf::result<PlatformList> Fetch(ListClient& client) {
  HttpCall call;
  call.path = client.path.empty() ? "/" : client.path;
  call.deadline = client.deadline;
  const Outcome<HttpAnswer> answer =
      Capture<HttpAnswer>([&] { return SendHttp(client.pool, client.endpoint, call); });
  if (!Ok(answer)) return Fail(ErrorKind::kStoreUnavailable, "list of hosts: " + ErrorOf(answer).detail);
  if (Value(answer).status != 200) {
    return Fail(ErrorKind::kStoreUnavailable,
                absl::StrCat("list of hosts: HTTP status ", Value(answer).status));
  }
  return ParseList(Value(answer).body);
}

}  // namespace

ListPort MakeListClient(const std::string& url, absl::Duration deadline) {
  const Outcome<std::pair<Endpoint, std::string>> parsed =
      Capture<std::pair<Endpoint, std::string>>([&] { return ParseUrl(url); });
  assert(Ok(parsed));
  const std::shared_ptr<ListClient> client = std::make_shared<ListClient>();
  client->endpoint = Value(parsed).first;
  client->path = Value(parsed).second;
  client->deadline = deadline;
  ListPort port;
  port.fetch = [client] { return Fetch(*client); };
  return port;
}

}  // namespace oleander
