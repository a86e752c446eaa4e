#include "standins/objects.h"

#include <cstdlib>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/time/clock.h"

namespace oleander::standins {
namespace {

constexpr int kMaxKeys = 1000;  // per page of a listing, as in S3

std::string XmlText(const std::string& text) {
  return absl::StrReplaceAll(text, {{"&", "&amp;"}, {"<", "&lt;"}, {">", "&gt;"}});
}

void AnswerError(httplib::Response& res, int status, const char* code) {
  res.status = status;
  res.set_content(
      absl::StrCat("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<Error><Code>", code, "</Code></Error>"),
      "application/xml");
}

void PutObject(Objects& store, const httplib::Request& req, httplib::Response& res) {
  const std::string name = absl::StrCat(req.matches[1].str(), "/", req.matches[2].str());
  absl::MutexLock lock(&store.mutex);
  CountEvent(store.writes, absl::Now());
  if (req.get_header_value("If-None-Match") == "*" && store.objects.contains(name)) {
    ++store.refused;
    AnswerError(res, 412, "PreconditionFailed");
    return;
  }
  store.objects[name] = req.body;
  res.status = 200;
}

void GetObject(Objects& store, const httplib::Request& req, httplib::Response& res) {
  const std::string name = absl::StrCat(req.matches[1].str(), "/", req.matches[2].str());
  absl::MutexLock lock(&store.mutex);
  CountEvent(store.reads, absl::Now());
  const auto it = store.objects.find(name);
  if (it == store.objects.end()) {
    AnswerError(res, 404, "NoSuchKey");
    return;
  }
  res.status = 200;
  res.set_content(it->second, "application/octet-stream");
}

void DeleteObject(Objects& store, const httplib::Request& req, httplib::Response& res) {
  const std::string name = absl::StrCat(req.matches[1].str(), "/", req.matches[2].str());
  absl::MutexLock lock(&store.mutex);
  CountEvent(store.writes, absl::Now());
  store.objects.erase(name);
  res.status = 204;
}

void ListObjects(Objects& store, const httplib::Request& req, httplib::Response& res) {
  const std::string bucket = req.matches[1].str();
  const std::string start = absl::StrCat(bucket, "/", req.get_param_value("prefix"));
  const std::string after = req.get_param_value("continuation-token");
  std::string contents;
  std::string next;
  int count = 0;
  absl::MutexLock lock(&store.mutex);
  CountEvent(store.reads, absl::Now());
  auto it = after.empty() ? store.objects.lower_bound(start)
                          : store.objects.upper_bound(absl::StrCat(bucket, "/", after));
  for (; it != store.objects.end() && it->first.starts_with(start); ++it) {
    if (count == kMaxKeys) {
      next = std::prev(it)->first.substr(bucket.size() + 1);
      break;
    }
    ++count;
    absl::StrAppend(&contents, "<Contents><Key>", XmlText(it->first.substr(bucket.size() + 1)),
                    "</Key><Size>", it->second.size(), "</Size></Contents>");
  }
  std::string body =
      absl::StrCat("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n",
                   "<ListBucketResult xmlns=\"http://s3.amazonaws.com/doc/2006-03-01/\"><Name>",
                   XmlText(bucket), "</Name><KeyCount>", count, "</KeyCount><IsTruncated>",
                   next.empty() ? "false" : "true", "</IsTruncated>", contents);
  if (!next.empty()) {
    absl::StrAppend(&body, "<NextContinuationToken>", XmlText(next), "</NextContinuationToken>");
  }
  res.status = 200;
  res.set_content(absl::StrCat(body, "</ListBucketResult>"), "application/xml");
}

void AddRoutes(Objects& store, httplib::Server& server) {
  server.Put(R"(/([^/]+)/(.+))",
             [&store](const httplib::Request& req, httplib::Response& res) { PutObject(store, req, res); });
  // httplib also routes HEAD here and drops the body.
  server.Get(R"(/([^/]+)/(.+))",
             [&store](const httplib::Request& req, httplib::Response& res) { GetObject(store, req, res); });
  server.Delete(R"(/([^/]+)/(.+))", [&store](const httplib::Request& req, httplib::Response& res) {
    DeleteObject(store, req, res);
  });
  server.Get(R"(/([^/]+)/?)",
             [&store](const httplib::Request& req, httplib::Response& res) { ListObjects(store, req, res); });
}

Json AuditLogJson(Objects& store) {
  absl::MutexLock lock(&store.mutex);
  return {{"role", "objects"},
          {"objects", store.objects.size()},
          {"refused_if_none_match", store.refused},
          {"reads", ToJson(store.reads)},
          {"writes", ToJson(store.writes)}};
}

}  // namespace

leaf::result<std::unique_ptr<Objects>> StartObjects(const Endpoint& endpoint) {
  auto store = std::make_unique<Objects>();
  Objects* self = store.get();
  store->port.endpoint = endpoint;
  store->port.role.name = "objects";
  store->port.role.id = "objects";
  store->port.role.routes = [self](httplib::Server& server) { AddRoutes(*self, server); };
  store->port.role.audit_log = [self] { return AuditLogJson(*self); };
  BOOST_LEAF_CHECK(OpenPort(store->port));
  return store;
}

}  // namespace oleander::standins
