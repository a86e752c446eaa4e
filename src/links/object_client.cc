// Object store client over the S3 REST protocol with path-style URLs.
#include <boost/property_tree/ptree.hpp>
#include <boost/property_tree/xml_parser.hpp>
#include <cassert>
#include <memory>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "links/http_client.h"
#include "oleander/platform.h"

namespace oleander {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNoContent = 204;
constexpr int kStatusNotFound = 404;
constexpr int kStatusPreconditionFailed = 412;  // an object with this name already exists

struct ObjectClient {
  HttpPool pool;
  Endpoint endpoint;
  std::string bucket_path;  // "/BUCKET"
  absl::Duration deadline;
};

leaf::result<HttpAnswer> Send(ObjectClient& client, HttpCall call) {
  call.deadline = client.deadline;
  const Outcome<HttpAnswer> answer =
      Capture<HttpAnswer>([&] { return SendHttp(client.pool, client.endpoint, call); });
  if (!Ok(answer)) return Fail(ErrorKind::kStoreUnavailable, "object store: " + ErrorOf(answer).detail);
  return Value(answer);
}

leaf::error_id FailStatus(const std::string& name, int status) {
  const ErrorKind kind = status == kStatusNotFound ? ErrorKind::kNotFound : ErrorKind::kStoreUnavailable;
  return Fail(kind, absl::StrCat("object ", name, ": HTTP status ", status));
}

leaf::result<void> PutObject(ObjectClient& client, const std::string& name, const std::string& bytes) {
  HttpCall call;
  call.method = "PUT";
  call.path = absl::StrCat(client.bucket_path, "/", name);
  call.body = bytes;
  call.headers = {{"If-None-Match", "*"}};
  BOOST_LEAF_AUTO(answer, Send(client, std::move(call)));
  if (answer.status == kStatusOk || answer.status == kStatusPreconditionFailed) return {};
  return FailStatus(name, answer.status);
}

leaf::result<std::string> GetObject(ObjectClient& client, const std::string& name) {
  HttpCall call;
  call.path = absl::StrCat(client.bucket_path, "/", name);
  BOOST_LEAF_AUTO(answer, Send(client, std::move(call)));
  if (answer.status != kStatusOk) return FailStatus(name, answer.status);
  return std::move(answer.body);
}

leaf::result<void> RemoveObject(ObjectClient& client, const std::string& name) {
  HttpCall call;
  call.method = "DELETE";
  call.path = absl::StrCat(client.bucket_path, "/", name);
  BOOST_LEAF_AUTO(answer, Send(client, std::move(call)));
  if (answer.status == kStatusOk || answer.status == kStatusNoContent || answer.status == kStatusNotFound)
    return {};
  return FailStatus(name, answer.status);
}

struct ObjectPage {
  std::vector<std::string> names;
  std::string next;  // continuation token, empty on the last page
};

leaf::result<ObjectPage> ParsePage(const std::string& xml) {
  ObjectPage page;
  try {
    std::istringstream in(xml);
    boost::property_tree::ptree tree;
    boost::property_tree::read_xml(in, tree);
    const boost::property_tree::ptree& result = tree.get_child("ListBucketResult");
    for (const boost::property_tree::ptree::value_type& it : result) {
      if (it.first == "Contents") page.names.push_back(it.second.get<std::string>("Key"));
    }
    page.next = result.get<std::string>("NextContinuationToken", "");
  } catch (const boost::property_tree::ptree_error& ex) {
    return Fail(ErrorKind::kStoreUnavailable, absl::StrCat("object store: cannot parse list: ", ex.what()));
  }
  return page;
}

leaf::result<std::vector<std::string>> ListObjects(ObjectClient& client, const std::string& prefix) {
  std::vector<std::string> names;
  std::string token;
  do {
    HttpCall call;
    call.path = absl::StrCat(client.bucket_path, "?list-type=2&prefix=", prefix);
    if (!token.empty()) absl::StrAppend(&call.path, "&continuation-token=", token);
    BOOST_LEAF_AUTO(answer, Send(client, std::move(call)));
    if (answer.status != kStatusOk) return FailStatus(prefix, answer.status);
    BOOST_LEAF_AUTO(page, ParsePage(answer.body));
    names.insert(names.end(), page.names.begin(), page.names.end());
    token = page.next;
  } while (!token.empty());
  return names;
}

}  // namespace

ObjectPort MakeObjectClient(const std::string& url, const std::string& bucket, absl::Duration deadline) {
  const Outcome<std::pair<Endpoint, std::string>> parsed =
      Capture<std::pair<Endpoint, std::string>>([&] { return ParseUrl(url); });
  assert(Ok(parsed));
  const std::shared_ptr<ObjectClient> client = std::make_shared<ObjectClient>();
  client->endpoint = Value(parsed).first;
  client->bucket_path = absl::StrCat(Value(parsed).second, "/", bucket);
  client->deadline = deadline;
  ObjectPort port;
  port.put = [client](const std::string& name, const std::string& bytes) {
    return PutObject(*client, name, bytes);
  };
  port.get = [client](const std::string& name) { return GetObject(*client, name); };
  port.list = [client](const std::string& prefix) { return ListObjects(*client, prefix); };
  port.remove = [client](const std::string& name) { return RemoveObject(*client, name); };
  return port;
}

}  // namespace oleander
