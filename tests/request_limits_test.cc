// Upstreams that state how many requests per second they accept from all hosts together.
#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"
#include "serving/batch_service.h"
#include "serving/frontend.h"
#include "tests/serving_fakes.h"

namespace oleander::serving {
namespace {

using fakes::EnginePort;
using fakes::FakeEngine;
using fakes::FakeEngines;
using fakes::FakeLoop;
using fakes::FakeStore;
using fakes::StorePort;

constexpr absl::Duration kNotice =
    absl::Seconds(3);  // from the first statement of a limit until it must hold
constexpr absl::Duration kWindow = absl::Seconds(4);
constexpr absl::Duration kHostNotice =
    absl::Milliseconds(500);  // from the first answer with a limit at a host

// One host that runs batch jobs and answers lookups. All hosts share the store, the engines and the clock.
struct TestHost {
  TestHost(FakeLoop& the_loop, FakeStore& the_store, FakeEngines& the_engines, const std::string& name)
      : loop(the_loop),
        store(the_store),
        link(the_loop, the_engines),
        batches(loop, store, link, directory, MakeSettings(name)),
        frontend(loop, link, directory, "a") {
    directory.ApplyPolicy(fakes::MakePolicy());
    the_engines.ApplyRegistrations(directory);
    Tick();
  }
  static BatchSettings MakeSettings(const std::string& name) {
    BatchSettings settings;
    settings.incarnation = name;
    settings.zone = "a";
    return settings;
  }
  void Tick() {
    batches.Tick();
    loop.After(absl::Milliseconds(20), [this] { Tick(); });
  }

  FakeLoop& loop;
  StorePort store;
  EnginePort link;
  Directory directory;
  BatchService batches;
  Frontend frontend;
};

struct RequestLimitsTest : testing::Test {
  TestHost& AddHost() {
    hosts.push_back(std::make_unique<TestHost>(loop, store, engines, absl::StrCat("h", hosts.size())));
    return *hosts.back();
  }
  void AddEngines(int count, int slots) {
    for (int it = 0; it < count; ++it) {
      FakeEngine& engine = engines.Add(absl::StrCat("e", it), "engines", "a", slots);
      engine.weights["words"] = 5;
    }
  }
  void AddLookups(int count) {
    for (int it = 0; it < count; ++it) engines.Add(absl::StrCat("u", it), "lookups", "a", 6);
  }
  // All upstreams of a service state a limit from now on.
  void StateLimit(const std::string& service, std::optional<double> limit) {
    for (std::pair<const std::string, FakeEngine>& it : engines.engines) {
      if (it.second.entry.service == service) it.second.request_limit = limit;
    }
    stated_at = loop.Now();
  }
  void Submit(TestHost& host, const std::string& id, int items) {
    BatchSubmission job;
    job.id = id;
    job.host = "train.example";
    job.path = "/r/1";
    job.model = "words";
    job.min_version = 5;
    for (int it = 0; it < items; ++it) {
      BatchItem item;
      item.id = absl::StrCat(id, "-", it);
      item.target = absl::StrCat("/r/", it);
      item.headers = {{"Model", "words"}};
      item.group = absl::StrCat("g", it / 4);
      job.items.push_back(item);
    }
    host.batches.Submit(std::move(job), [](BatchOutcome) {});
  }
  // Sends a lookup to a host every `interval` for `duration`; the answers' statuses go to `statuses`.
  void SendLookups(TestHost& host, absl::Duration interval, absl::Duration duration) {
    if (duration <= absl::ZeroDuration()) return;
    CallerRequest request;
    request.id = absl::StrCat("r", next_request++);
    request.deadline = absl::Milliseconds(1500);
    request.http = {"POST", "/l/x", {}, ""};
    host.frontend.Handle(std::move(request), host.directory.PolicyInForce().routes[1],
                         [this](HttpResponse response) { ++statuses[response.status]; });
    loop.After(interval,
               [this, &host, interval, duration] { SendLookups(host, interval, duration - interval); });
  }
  // The most requests that one engine got in any window, once its limit must hold at all hosts.
  int MostInWindow(absl::Time from) const {
    std::map<std::string, std::vector<absl::Time>> arrivals;
    for (const fakes::RunRecord& it : engines.arrivals) {
      if (it.at >= from) arrivals[it.engine].push_back(it.at);
    }
    std::size_t most = 0;
    for (const std::pair<const std::string, std::vector<absl::Time>>& it : arrivals) {
      std::size_t first = 0;
      for (std::size_t last = 0; last < it.second.size(); ++last) {
        while (it.second[last] - it.second[first] >= kWindow) ++first;
        most = std::max(most, last - first + 1);
      }
    }
    return static_cast<int>(most);
  }
  static int Allowed(double limit) {
    return static_cast<int>(1.5 * limit * absl::ToDoubleSeconds(kWindow)) + 5;
  }

  FakeLoop loop;
  FakeStore store{loop};
  FakeEngines engines{loop};
  std::vector<std::unique_ptr<TestHost>> hosts;
  absl::Time stated_at;
  std::map<int, int> statuses;
  int next_request = 0;
};

// Failure: owners placed items by free slots only, and engines got a multiple of the limit that they had
// stated.
TEST_F(RequestLimitsTest, OwnersTogetherKeepTheLimitOfAnEngine) {
  AddEngines(2, 16);
  for (int it = 0; it < 3; ++it) AddHost();
  StateLimit("engines", 4);
  for (int round = 0; round < 6; ++round) {
    for (std::size_t it = 0; it < hosts.size(); ++it)
      Submit(*hosts[it], absl::StrCat("j", round, "-", it), 60);
    loop.RunFor(absl::Seconds(4));
  }
  EXPECT_LE(MostInWindow(stated_at + kNotice + kHostNotice), Allowed(4));
}

// Failure: the sum over many hosts was above the limit although each host sent little.
TEST_F(RequestLimitsTest, LookupsOfManyHostsTogetherKeepTheLimit) {
  AddLookups(2);
  for (int it = 0; it < 30; ++it) AddHost();
  StateLimit("lookups", 3);
  for (const std::unique_ptr<TestHost>& it : hosts) {
    SendLookups(*it, absl::Milliseconds(500), absl::Seconds(12));
    loop.RunFor(absl::Milliseconds(17));
  }
  loop.RunFor(absl::Seconds(13));
  EXPECT_LE(MostInWindow(stated_at + kNotice + kHostNotice), Allowed(3));
}

}  // namespace
}  // namespace oleander::serving
