// Hosts that run batch jobs over the fakes of the serving core, and a test fixture with three engines.
#ifndef OLEANDER_TESTS_BATCH_SERVICE_FIXTURE_H_
#define OLEANDER_TESTS_BATCH_SERVICE_FIXTURE_H_

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "serving/batch_service.h"
#include "serving/model_owners.h"
#include "tests/serving_fakes.h"

namespace oleander::serving {

using fakes::EnginePort;
using fakes::ExpectedOutput;
using fakes::FakeEngine;
using fakes::FakeEngines;
using fakes::FakeLoop;
using fakes::FakeStore;
using fakes::StoreFault;
using fakes::StorePort;

inline constexpr char kJob[] = "job1";

// One host with its own directory. All hosts share the store, the engines and the clock.
struct TestHost {
  TestHost(FakeLoop& the_loop, FakeStore& the_store, FakeEngines& the_engines, const std::string& the_name)
      : name(the_name), loop(the_loop), engines(the_engines), store(the_store), link(the_loop, the_engines) {
    directory.ApplyPolicy(fakes::MakePolicy());
    engines.ApplyRegistrations(directory);
    BatchSettings settings;
    settings.incarnation = name;
    settings.zone = "a";
    batches = std::make_unique<BatchService>(loop, store, link, directory, settings);
    Tick();
  }
  // Lets the host own models.
  void EnableModelOwners(bool has_enough_cpu) {
    ModelOwnerSettings settings;
    settings.incarnation = name;
    settings.has_enough_cpu = has_enough_cpu;
    owners = std::make_unique<ModelOwners>(loop, store, directory, settings);
    owners->count_items = [this] { return batches->RunningItems() + batches->WaitingItems(); };
    owners->on_assigned = [this](const std::string& job) { batches->StartAssignedJob(job); };
    batches->UseOwners(*owners);
  }
  void Tick() {
    if (dead) return;
    if (!paused) batches->Tick();
    if (!paused && owners != nullptr) owners->Tick();
    if (store.disconnected) batches->NoteStoreUnreachable();
    if (store.disconnected && owners != nullptr) owners->NoteStoreUnreachable();
    loop.After(absl::Milliseconds(20), [this] { Tick(); });
  }
  void Kill() {
    dead = true;
    store.disconnected = true;
    store.dead = true;
    link.Kill();
  }

  std::string name;
  FakeLoop& loop;
  FakeEngines& engines;
  StorePort store;
  EnginePort link;
  Directory directory;
  std::unique_ptr<BatchService> batches;
  std::unique_ptr<ModelOwners> owners;  // null: the host runs each job that it accepts
  bool dead = false;
  bool paused = false;  // does not tick
};

struct BatchServiceTest : testing::Test {
  BatchServiceTest() {
    for (const char* id : {"e1", "e2", "e3"}) {
      FakeEngine& engine = engines.Add(id, "engines", "a", 4);
      engine.weights["words"] = 5;
    }
  }
  TestHost& AddHost(const std::string& name) {
    hosts.push_back(std::make_unique<TestHost>(loop, store, engines, name));
    return *hosts.back();
  }
  static BatchSubmission MakeJob(const std::string& id, int items, std::int64_t min_version = 5) {
    BatchSubmission job;
    job.id = id;
    job.host = "train.example";
    job.path = "/r/1";
    job.model = "words";
    job.min_version = min_version;
    for (int it = 0; it < items; ++it) {
      BatchItem item;
      item.id = absl::StrCat("item", it);
      item.target = absl::StrCat("/r/", it);
      item.headers = {{"Model", "words"}};
      item.body = std::string("\x00\xff body ", 8) + item.id;
      item.group = absl::StrCat("g", it / 4);
      job.items.push_back(item);
    }
    return job;
  }
  // The result holds nullopt until the submission has an outcome.
  std::shared_ptr<std::optional<BatchOutcome>> Submit(TestHost& host, BatchSubmission job) {
    const std::shared_ptr<std::optional<BatchOutcome>> outcome =
        std::make_shared<std::optional<BatchOutcome>>();
    host.batches->Submit(std::move(job), [outcome](BatchOutcome done) { *outcome = done; });
    return outcome;
  }
  BatchOutcome SubmitNow(TestHost& host, BatchSubmission job) {
    const std::shared_ptr<std::optional<BatchOutcome>> outcome = Submit(host, std::move(job));
    loop.RunFor(absl::Milliseconds(20));
    return outcome->value_or(BatchOutcome::kStoreUnreachable);
  }
  // Reads the results from position `after` on, as a trainer does. Advances the clock by 1.1 s.
  std::pair<BatchOutcome, BatchPage> ReadNow(TestHost& host, const std::string& job, std::int64_t after = 0) {
    using Result = std::pair<BatchOutcome, BatchPage>;
    // A read may end after this function has returned.
    const std::shared_ptr<Result> read =
        std::make_shared<Result>(BatchOutcome::kStoreUnreachable, BatchPage());
    host.batches->Read(job, after, absl::ZeroDuration(), [read](BatchOutcome outcome, const BatchPage& page) {
      *read = {outcome, page};
    });
    loop.RunFor(absl::Milliseconds(1100));
    return *read;
  }
  void ExpectCompleteResults(const BatchPage& page, int items) {
    ASSERT_EQ(static_cast<int>(page.results.size()), items);
    std::set<std::string> seen;
    for (const ItemResult& it : page.results) {
      EXPECT_EQ(it.state, ItemState::kCompleted) << it.item;
      EXPECT_TRUE(seen.insert(it.item).second) << it.item << " is listed twice";
      const int events = engines.event_counts.contains(it.item) ? engines.event_counts[it.item] : 10;
      EXPECT_EQ(it.output, ExpectedOutput(it.item, events));
    }
  }
  int RunsOf(const std::string& item) const {
    int n = 0;
    for (const fakes::RunRecord& it : engines.runs) n += it.request == item ? 1 : 0;
    return n;
  }

  // Adds the upstreams of the scoring service.
  void AddScorers(int slots = 6) {
    for (const char* id : {"s1", "s2", "s3"}) engines.Add(id, "lookups", "a", slots);
  }
  BatchSubmission MakeScoredJob(const std::string& id, int items) {
    BatchSubmission job = MakeJob(id, items);
    for (BatchItem& it : job.items) {
      it.scoring = ScoringRequest{"score-" + it.id, "app.example", "/l/" + it.id, "rate " + it.id};
      engines.event_counts[it.scoring->id] = 1;
    }
    return job;
  }
  void SilenceScorers(bool silent) {
    for (const char* id : {"s1", "s2", "s3"}) engines.engines.at(id).silent = silent;
  }
  absl::Time FirstRunOf(const std::string& request) const {
    for (const fakes::RunRecord& it : engines.runs) {
      if (it.request == request) return it.at;
    }
    return absl::InfiniteFuture();
  }
  static void ExpectScores(const BatchPage& page) {
    for (const ItemResult& it : page.results) EXPECT_EQ(it.score, "signed:score-" + it.item);
  }

  FakeLoop loop;
  FakeStore store{loop};
  FakeEngines engines{loop};
  std::vector<std::unique_ptr<TestHost>> hosts;
};

}  // namespace oleander::serving

#endif  // OLEANDER_TESTS_BATCH_SERVICE_FIXTURE_H_
