// Takeovers of batch jobs that take long to read. A new owner keeps its lease while it reads, and reads no
// results.
#include <gtest/gtest.h>

#include "serving/batch_records.h"
#include "tests/batch_service_fixture.h"

namespace oleander::serving {
namespace {

struct BatchTakeoverTest : BatchServiceTest {
  BatchTakeoverTest() {
    for (std::pair<const std::string, FakeEngine>& it : engines.engines) it.second.entry.slots = 64;
  }
  // Most items end soon, and a few run on for long.
  BatchSubmission MakeLargeJob() {
    BatchSubmission job = MakeJob(kJob, 64);
    for (std::size_t it = 0; it < job.items.size(); ++it)
      engines.event_counts[job.items[it].id] = it < 8 ? 400 : 60;
    return job;
  }
  std::optional<BatchLease> Lease() const {
    const auto rows = store.rows.find(absl::StrCat("batch/", kJob));
    if (rows == store.rows.end()) return std::nullopt;
    const auto row = rows->second.find(std::string(kLeaseKey));
    return row == rows->second.end() ? std::nullopt : DecodeLease(row->second.value);
  }
  // Records each change of the job's owner in `owners`.
  void WatchOwner() {
    const std::optional<BatchLease> lease = Lease();
    if (lease && (owners.empty() || owners.back() != lease->owner)) owners.push_back(lease->owner);
    loop.After(absl::Milliseconds(20), [this] { WatchOwner(); });
  }
  // Reads at `host` from a position near the end of the results, twice a second, as other clients do.
  void KeepReading(TestHost& host) {
    if (host.dead) return;
    const std::optional<BatchLease> lease = Lease();
    host.batches->Read(kJob, lease ? std::max<std::int64_t>(0, lease->committed - 2) : 0,
                       absl::ZeroDuration(), [](BatchOutcome, const BatchPage&) {});
    loop.After(absl::Milliseconds(500), [this, &host] { KeepReading(host); });
  }
  int RunningItems() const {
    int n = 0;
    for (const std::unique_ptr<TestHost>& it : hosts) n += it->dead ? 0 : it->batches->RunningItems();
    return n;
  }
  // The job's results by another host, whose link is fast.
  BatchPage ReadAll() {
    TestHost& reader = AddHost(absl::StrCat("reader", hosts.size()));
    store.max_reply_bytes = 1 << 20;
    return ReadNow(reader, kJob).second;
  }
  // Submits the large job to a host and kills that host when only the long items are left.
  void RunAndKillOwner() {
    TestHost& first = AddHost("h1");
    ASSERT_EQ(SubmitNow(first, MakeLargeJob()), BatchOutcome::kAccepted);
    loop.RunFor(absl::Seconds(4));
    ASSERT_EQ(Lease()->committed, 56);
    first.Kill();
  }
  void EndAllTexts() { loop.RunFor(absl::Seconds(30)); }

  std::vector<std::string> owners;
};

// Guards against hosts that take a job over from each other without end: reading the results of this job
// takes a host longer than its lease.
TEST_F(BatchTakeoverTest, AJobThatTakesLongToReadIsTakenOverOnce) {
  store.max_reply_bytes = 2500;  // a quarter of a second on the hosts' links
  for (const char* name : {"h2", "h3", "h4"}) {
    TestHost& host = AddHost(name);
    host.store.bytes_per_second = 10000;
    KeepReading(host);
  }
  WatchOwner();
  RunAndKillOwner();
  loop.RunFor(absl::Seconds(8));
  EXPECT_EQ(RunningItems(), 8);
  EndAllTexts();
  EXPECT_EQ(owners.size(), 2u) << testing::PrintToString(owners);
  ExpectCompleteResults(ReadAll(), 64);
}

// Guards against the same for a job that was just accepted: its owner needs longer than the lease to read the
// submission.
TEST_F(BatchTakeoverTest, AnOwnerKeepsAJobWhileItReadsTheSubmission) {
  TestHost& first = AddHost("h1");
  TestHost& second = AddHost("h2");
  first.EnableModelOwners(true);
  second.EnableModelOwners(false);
  loop.RunFor(absl::Seconds(1));
  ASSERT_TRUE(first.owners->Owns("words"));
  BatchSubmission job = MakeJob(kJob, 12);
  for (BatchItem& it : job.items) it.body = std::string(2000000, 'x');
  first.store.bytes_per_second = second.store.bytes_per_second = 5.6e6;
  WatchOwner();
  const std::shared_ptr<std::optional<BatchOutcome>> outcome = Submit(second, job);
  loop.RunFor(absl::Milliseconds(100));
  ASSERT_EQ(*outcome, BatchOutcome::kAccepted);
  ASSERT_FALSE(store.objects.empty());
  KeepReading(second);
  loop.RunFor(absl::Seconds(7));
  EXPECT_EQ(owners, std::vector<std::string>{"h1"});
  ExpectCompleteResults(ReadAll(), 12);
  EXPECT_EQ(engines.runs.size(), 12u);
}

// Guards against a takeover that takes as long as the results of the job are large.
TEST_F(BatchTakeoverTest, ANewOwnerReadsNoResults) {
  RunAndKillOwner();
  TestHost& second = AddHost("h2");
  loop.RunFor(absl::Seconds(2));
  const std::int64_t before = second.store.bytes_received;
  second.batches->Read(kJob, 56, absl::ZeroDuration(), [](BatchOutcome, const BatchPage&) {});
  loop.RunFor(absl::Milliseconds(200));
  EXPECT_EQ(RunningItems(), 8);
  // Submission 3.6 KB, texts of running items 7 KB; the results have 30 KB.
  EXPECT_LT(second.store.bytes_received - before, 15000);
  EndAllTexts();
  ExpectCompleteResults(ReadAll(), 64);
}

// Guards against generating texts again that are stored, but do not fit in one answer of the store.
TEST_F(BatchTakeoverTest, ANewOwnerResumesAllStoredTexts) {
  store.max_reply_bytes = 2500;
  RunAndKillOwner();
  const std::size_t before = engines.runs.size();
  KeepReading(AddHost("h2"));
  loop.RunFor(absl::Seconds(2));
  ASSERT_EQ(engines.runs.size(), before + 8);
  for (std::size_t it = before; it < engines.runs.size(); ++it)
    EXPECT_GT(engines.runs[it].resume_after, 0) << engines.runs[it].request;
  EndAllTexts();
  ExpectCompleteResults(ReadAll(), 64);
}

// Guards against a step that waits for the stored texts of other steps: the store has many, and the link is
// slow.
TEST_F(BatchTakeoverTest, ItemsDoNotWaitForManyStoredTexts) {
  RunAndKillOwner();
  const std::string partition = "partial/train.example/words";
  PartialText other = *DecodePartial(store.rows[partition].begin()->second.value.substr(1));
  for (int it = 0; it < 400; ++it) {
    other.item = absl::StrCat("earlier", it);
    RowWrite row =
        SplitIntoRows("partial", "train.example/words", other.item, EncodePartial(other), 60000)[0];
    store.rows[partition][other.item] = {row.id, row.value, 1, false};
  }
  store.max_reply_bytes = 25000;
  TestHost& second = AddHost("h2");
  second.store.bytes_per_second = 100000;  // the texts take three seconds
  KeepReading(second);
  const std::size_t before = engines.runs.size();
  loop.RunFor(absl::Milliseconds(2400));
  EXPECT_EQ(RunningItems(), 8);
  EXPECT_EQ(engines.runs.size(), before + 8);
  EndAllTexts();
  ExpectCompleteResults(ReadAll(), 64);
}

// Guards against items that are run again, or never, after a lease was written by a host of an earlier
// version, which does not record the listed items.
TEST_F(BatchTakeoverTest, ALeaseWithoutListedItemsIsCompletedFromTheResults) {
  RunAndKillOwner();
  BatchLease lease = *Lease();
  EXPECT_EQ(CountItems(lease.listed_items), 56);
  lease.listed_items.clear();
  store.rows[absl::StrCat("batch/", kJob)][std::string(kLeaseKey)].value = EncodeLease(lease);
  const std::size_t runs = engines.runs.size();
  TestHost& second = AddHost("h2");
  KeepReading(second);
  loop.RunFor(absl::Seconds(3));
  EXPECT_EQ(RunningItems(), 8);
  EXPECT_EQ(engines.runs.size(), runs + 8);
  loop.RunFor(absl::Seconds(3));
  EndAllTexts();
  EXPECT_EQ(CountItems(Lease()->listed_items), 64);
  ExpectCompleteResults(ReadAll(), 64);
}

// Guards against an item that is taken as listed although its result waits for the store, or the reverse: the
// bitmap of each lease that was written names the items of the results written so far.
TEST_F(BatchTakeoverTest, EachLeaseNamesTheItemsOfTheStoredResults) {
  TestHost& first = AddHost("h1");
  int writes = 0;
  first.store.commit_fault = [&writes](const Transaction&) {
    ++writes;
    return writes % 7 == 3   ? StoreFault::kLoseAnswer
           : writes % 5 == 2 ? StoreFault::kRefuse
                             : StoreFault::kNone;
  };
  const BatchSubmission job = MakeLargeJob();
  for (std::size_t it = 0; it < job.items.size(); ++it)  // so that they end one after the other
    engines.event_counts[job.items[it].id] = 20 + static_cast<int>(7 * it % 64);
  const std::shared_ptr<std::optional<BatchOutcome>> outcome = Submit(first, job);
  std::set<std::int64_t> counts;
  for (int step = 0; step < 1500; ++step) {
    loop.RunFor(absl::Milliseconds(20));
    const std::optional<BatchLease> lease = Lease();
    if (!lease || !counts.insert(lease->committed).second) continue;
    std::set<std::string> listed;
    for (std::size_t it = 0; it < job.items.size(); ++it) {
      if (HasItem(lease->listed_items, it)) listed.insert(job.items[it].id);
    }
    std::set<std::string> stored;
    for (const std::pair<const std::string, Row>& it : store.rows[absl::StrCat("batch/", kJob)]) {
      if (ResultPosition(it.first)) stored.insert(DecodeResult(it.second.value.substr(1))->item);
    }
    EXPECT_EQ(listed, stored) << lease->committed << " results";
  }
  EXPECT_TRUE(counts.contains(64));
  EXPECT_GT(counts.size(), 3u);
}

// Guards against a job without an owner that only readers of its last results notice: readers that are
// further behind get full answers of the store, which end before the lease.
TEST_F(BatchTakeoverTest, AReaderThatIsFarBehindTakesTheJobOver) {
  store.max_reply_bytes = 2500;
  RunAndKillOwner();
  TestHost& second = AddHost("h2");
  loop.RunFor(absl::Seconds(2));
  second.batches->Read(kJob, 0, absl::ZeroDuration(), [](BatchOutcome, const BatchPage&) {});
  loop.RunFor(absl::Milliseconds(200));
  EXPECT_EQ(Lease()->owner, "h2");
  EXPECT_EQ(RunningItems(), 8);
}

// The same for a job that was ended: a reader that is far behind must not take it over.
TEST_F(BatchTakeoverTest, AReaderThatIsFarBehindLeavesAnEndedJobAlone) {
  store.max_reply_bytes = 2500;
  RunAndKillOwner();
  TestHost& second = AddHost("h2");
  second.batches->End(kJob, [](BatchOutcome) {});
  loop.RunFor(absl::Seconds(2));
  second.batches->Read(kJob, 0, absl::ZeroDuration(), [](BatchOutcome, const BatchPage&) {});
  loop.RunFor(absl::Milliseconds(200));
  EXPECT_EQ(Lease()->owner, "h1");
}

// Guards against a takeover that is lost with one answer of the store.
TEST_F(BatchTakeoverTest, LostAnswersDelayANewOwnerAndDoNotReplaceIt) {
  RunAndKillOwner();
  TestHost& second = AddHost("h2");
  int lost = 0;
  second.store.loses_read = [&lost](const RowRange& range) {
    return range.from == SubmissionKey() && lost < 2 && ++lost > 0;
  };
  WatchOwner();
  KeepReading(second);
  KeepReading(AddHost("h3"));
  loop.RunFor(absl::Seconds(6));
  EXPECT_EQ(lost, 2);
  EXPECT_EQ(RunningItems(), 8);
  EXPECT_EQ(owners, (std::vector<std::string>{"h1", "h2"}));
}

// Guards against a job that stands still at a host that renews its lease but cannot read it.
TEST_F(BatchTakeoverTest, AHostThatCannotReadItsJobGivesItUp) {
  RunAndKillOwner();
  TestHost& second = AddHost("h2");
  second.store.loses_read = [](const RowRange& range) { return range.from == SubmissionKey(); };
  KeepReading(second);
  loop.RunFor(absl::Seconds(3));
  ASSERT_EQ(Lease()->owner, "h2");
  KeepReading(AddHost("h3"));
  loop.RunFor(absl::Seconds(7));
  EXPECT_EQ(Lease()->owner, "h3");
  EXPECT_EQ(RunningItems(), 8);
  EndAllTexts();
  ExpectCompleteResults(ReadAll(), 64);
}

// The states in which a job may be reached while its new owner reads it.
struct LoadingJobTest : BatchTakeoverTest {
  // h2 has taken the job over and cannot read its submission yet.
  TestHost& AddLoadingHost() {
    RunAndKillOwner();
    TestHost& second = AddHost("h2");
    second.store.loses_read = [this](const RowRange& range) {
      return loses_reads && range.from == SubmissionKey() && range.to == std::string(kEndedKey);
    };
    KeepReading(second);
    loop.RunFor(absl::Seconds(2));
    EXPECT_EQ(Lease()->owner, "h2");
    EXPECT_EQ(second.batches->OwnedJobs(), 1);
    return second;
  }
  bool loses_reads = true;
};

// Guards against a 404 for the body of an item whose job this host has not read yet.
TEST_F(LoadingJobTest, ReturnsItemBodies) {
  TestHost& second = AddLoadingHost();
  std::optional<BatchOutcome> outcome;
  std::string body;
  second.batches->ItemBody(kJob, "item2", [&](BatchOutcome done, std::string bytes) {
    outcome = done;
    body = std::move(bytes);
  });
  loop.RunFor(absl::Milliseconds(50));
  EXPECT_EQ(outcome, BatchOutcome::kOk);
  EXPECT_EQ(body, std::string("\x00\xff body ", 8) + "item2");
}

// Guards against items that start after the end of their job was acknowledged.
TEST_F(LoadingJobTest, AnEndedJobNeverStarts) {
  TestHost& second = AddLoadingHost();
  TestHost& third = AddHost("h3");
  std::optional<BatchOutcome> ended;
  third.batches->End(kJob, [&ended](BatchOutcome outcome) { ended = outcome; });
  loop.RunFor(absl::Milliseconds(50));
  ASSERT_EQ(ended, BatchOutcome::kOk);
  const std::size_t runs = engines.runs.size();
  loses_reads = false;
  loop.RunFor(absl::Seconds(4));
  EXPECT_EQ(engines.runs.size(), runs);
  EXPECT_EQ(second.batches->OwnedJobs(), 0);
}

// Guards against a job that waits for the end of its lease because its host shut down while reading it.
TEST_F(LoadingJobTest, AShutdownHandsTheJobOver) {
  TestHost& second = AddLoadingHost();
  bool handed_over = false;
  second.batches->HandOver([&handed_over] { handed_over = true; });
  loop.RunFor(absl::Milliseconds(200));
  EXPECT_TRUE(handed_over);
  EXPECT_EQ(Lease()->owner, "");
  second.Kill();
  KeepReading(AddHost("h3"));
  loop.RunFor(absl::Milliseconds(500));
  EXPECT_EQ(Lease()->owner, "h3");
  EXPECT_EQ(RunningItems(), 8);
}

// Guards against a load that goes on for a job that was lost meanwhile: a host that was paused while it read
// the job must not run it beside the next owner.
TEST_F(LoadingJobTest, AHostThatWasPausedDoesNotRunTheJobOfAnother) {
  TestHost& second = AddLoadingHost();
  second.paused = true;
  KeepReading(AddHost("h3"));
  loop.RunFor(absl::Seconds(3));
  ASSERT_EQ(Lease()->owner, "h3");
  second.paused = false;
  loses_reads = false;
  const std::size_t runs = engines.runs.size();
  EndAllTexts();
  EXPECT_EQ(engines.runs.size(), runs);
  EXPECT_EQ(Lease()->owner, "h3");
  ExpectCompleteResults(ReadAll(), 64);
}

}  // namespace
}  // namespace oleander::serving
