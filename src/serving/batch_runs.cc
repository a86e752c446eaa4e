// Placement and execution of the items of batch jobs.
#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "oleander/log_events.h"
#include "oleander/metrics.h"
#include "serving/batch_job.h"

namespace oleander::serving {
namespace {

constexpr absl::Duration kFullPause = absl::Milliseconds(120);  // for an engine without a free slot
constexpr absl::Duration kLoadingPause =
    absl::Milliseconds(900);  // for an engine that loads weights; ends once the directory lists them
constexpr absl::Duration kMisdirectedPause =
    absl::Milliseconds(400);  // the directory has another incarnation or old weights of the engine
constexpr absl::Duration kFailedPause = absl::Milliseconds(50);       // for an item whose run failed
constexpr absl::Duration kUnexpectedPause = absl::Milliseconds(500);  // after a status that runs do not have
constexpr absl::Duration kMinRunBeforeMove = absl::Milliseconds(400);
constexpr absl::Duration kMinLoadQueryInterval = absl::Milliseconds(60);  // for one upstream
constexpr absl::Duration kRunLoadQueryInterval = absl::Milliseconds(60);  // for one run
constexpr absl::Duration kLoadQueryWait =
    absl::Milliseconds(30);  // short, because some links lose all answers
constexpr absl::Duration kEnginesLifetime =
    absl::Milliseconds(200);  // then chosen again for the current items and weights
constexpr absl::Duration kMaxTextsWait =
    absl::Milliseconds(500);  // generating the median text again takes longer
constexpr std::size_t kMaxCheckpointBytes =
    1 << 20;  // texts in one checkpoint; the rest follows in the next one
constexpr std::size_t kTailRankDivisor =
    8;  // one item in eight; hints place nine of ten of the longest items there
constexpr std::size_t kTailRemainingDivisor = 3;  // the last third of the items is longer than average
constexpr std::int64_t kCheckpointEvents = 10;    // fewer new events are not worth a write
constexpr std::size_t kMaxTextBytes = 8 << 20;  // of the stream of one run; far above the text of any sample
constexpr absl::Duration kStoreOutageGrace =
    absl::Milliseconds(2500);  // after an outage all owners confirm their jobs at once, which takes time
constexpr double kLengthWeight = 0.02;    // of a new text in the average relation of hints to lengths
constexpr int kUnframedEndsToAccept = 2;  // then the text counts as complete

}  // namespace

// Begins to run a job whose items are known now. `listed_items`: bitmap of those with a stored result.
void BatchService::SetItems(Job& job, BatchSubmission submission, std::string_view listed_items) {
  job.loading = false;
  job.charge = HeldCharge(account_, HeldKind::kJobs);
  job.charge.Resize(MemoryOf(submission));
  job.submission = std::move(submission);
  job.items.resize(job.submission.items.size());
  for (std::size_t it = 0; it < job.items.size(); ++it) {
    Item& item = job.items[it];
    item.spec = std::move(job.submission.items[it]);
    item.index = it;
    if (HasItem(listed_items, it)) item.phase = Phase::kFinished;
    job.order.push_back(it);
  }
  job.submission.items.clear();
  RankItems(job);
  LoadPartials(job);
}

// Orders the items for starting. Items with stored text are first: the trainer is waiting for their groups,
// and they are known to be long. The others follow by descending length hint, because the longest items
// determine when the step ends. All items of a step are needed, so short items are not preferred.
void BatchService::RankItems(Job& job) {
  std::stable_sort(job.order.begin(), job.order.end(), [&job](std::size_t a, std::size_t b) {
    const Item& left = job.items[a];
    const Item& right = job.items[b];
    if ((left.events > 0) != (right.events > 0)) return left.events > 0;
    return left.spec.length_hint > right.spec.length_hint;
  });
  job.waiting.clear();
  for (std::size_t rank = 0; rank < job.order.size(); ++rank) {
    Item& item = job.items[job.order[rank]];
    item.rank = rank;
    if (item.phase == Phase::kWaiting) job.waiting.insert(rank);
  }
}

std::string BatchService::PartialPartition(const Job& job) const {
  return absl::StrCat(WorkspacePrefix(job.submission.workspace), job.submission.host, "/",
                      job.submission.model);
}

BatchService::Item* BatchService::FindRun(const std::string& job, std::size_t item, std::uint64_t run) {
  Job* const found = FindJob(job);
  if (found == nullptr || item >= found->items.size()) return nullptr;
  Item& candidate = found->items[item];
  return candidate.phase == Phase::kRunning && candidate.run == run ? &candidate : nullptr;
}

// ---- Texts kept in the store ------------------------------------------------------------------------------

void BatchService::LoadPartials(Job& job) {
  const std::string id = job.submission.id;
  const Route* const known_route = directory_.FindRoute(job.submission.host, job.submission.path);
  if (known_route != nullptr) {
    for (const std::string& it : RankServices(*known_route, "")) ReadPaces(it);
  }
  QueryLoads(job);
  ReadTexts(id, {std::string(kPartialTable), PartialPartition(job), "", "", 0}, {}, loop_.Now());
}

// Reads the stored texts part by part; the items start after the last part, or if it takes too long.
// `rows`: of a text whose other rows are in the next part.
void BatchService::ReadTexts(const std::string& id, const RowRange& range, std::vector<Row> rows,
                             absl::Time started) {
  store_.Get(range, [this, id, range, rows = std::move(rows), started](const StoreReply& reply) mutable {
    UpdateStoreClock(reply);
    Job* const found = FindJob(id);
    if (found == nullptr) return;
    const bool has_more = reply.outcome == StoreOutcome::kOk && reply.has_more && !reply.rows.empty();
    rows.insert(rows.end(), reply.rows.begin(), reply.rows.end());
    const std::size_t adopted = AdoptTexts(*found, rows);
    const bool late = loop_.Now() - started >= kMaxTextsWait;
    if (!has_more || late) StartItems(*found, has_more ? "late" : NameOf(reply.outcome));
    if (has_more) {
      rows.erase(rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(adopted));
      RowRange rest = range;
      rest.from = reply.rows.back().id.key + std::string(1, '\0');
      ReadTexts(id, rest, std::move(rows), started);
    }
  });
}

// Continues the waiting items whose texts are among the rows. Returns the index after the last complete text.
std::size_t BatchService::AdoptTexts(Job& job, const std::vector<Row>& rows) {
  std::map<std::string, Item*> by_id;
  for (Item& it : job.items) by_id[it.spec.id] = &it;
  const Route* route = directory_.FindRoute(job.submission.host, job.submission.path);
  const bool single_version = route != nullptr && route->single_version;
  std::size_t adopted = 0;
  int used = 0;
  std::vector<std::pair<Item*, int>> complete;  // with failures of its scoring call
  for (std::size_t at = 0; at < rows.size();) {
    const std::string key = rows[at].id.key;
    const std::size_t first = at;
    const std::optional<std::string> bytes = JoinRows(rows, at);
    if (!bytes) {
      at = first + 1;
      continue;
    }
    adopted = at;
    const std::optional<PartialText> partial = DecodePartial(*bytes);
    if (!partial || partial->versions.empty()) continue;
    if (!partial->software) {
      job.partials_to_remove.push_back(key);  // nobody knows where the text may be continued
      continue;
    }
    const std::int64_t oldest = *std::min_element(partial->versions.begin(), partial->versions.end());
    if (oldest < job.submission.min_version) {
      job.partials_to_remove.push_back(key);  // no later step accepts weights this old
      continue;
    }
    const auto it = by_id.find(partial->item);
    // An item that has begun without its stored text keeps the new one.
    if (it == by_id.end() || it->second->phase != Phase::kWaiting || it->second->events > 0) continue;
    if (single_version && partial->versions.size() > 1) continue;
    Item& item = *it->second;
    item.output = partial->output;
    item.events = partial->events;
    item.last_event = partial->last_event;
    item.versions.insert(partial->versions.begin(), partial->versions.end());
    item.software = partial->software;
    item.sources.insert(partial->sources.begin(), partial->sources.end());
    item.stopped_at = loop_.Now();
    item.checkpointed_events = item.events;
    item.checkpointed_complete = partial->complete;
    item.has_partial_row = true;
    if (!IsSoftwareCertain(item)) {
      LogDiscardedText(job, item, "software_uncertain");
      DiscardText(item);
      continue;
    }
    ++used;
    if (partial->complete) complete.push_back({&item, partial->scoring_failures});
  }
  job.texts_resumed += used;
  if (used > 0) RankItems(job);
  // A text that an earlier owner completed is not generated again.
  for (const std::pair<Item*, int>& it : complete) CompleteText(job, *it.first, it.second);
  return adopted;
}

// Allows the job's items to be placed, once the stored texts have been read, or take too long. `texts`:
// whether all of them were read.
void BatchService::StartItems(Job& job, std::string_view texts) {
  if (job.ready_at != absl::InfinitePast()) return;
  job.ready_at = loop_.Now();
  LogEventLine(LogLevel::kInfo, LogEvent::kBatchOwned,
               {{"job", job.submission.id},
                {"total", job.lease.total},
                {"listed", job.lease.committed},
                {"texts_resumed", job.texts_resumed},
                {"store", texts}});
  Dispatch();
}

// Returns transactions that write the texts of unfinished items: all changed texts if `all` is set, otherwise
// only those with enough new events or a long wait for the score. Each transaction is as large as one call to
// the store allows.
std::vector<Transaction> BatchService::MakeCheckpoint(Job& job, bool all) {
  std::vector<Transaction> transactions(1);
  const std::string partition = PartialPartition(job);
  std::size_t bytes = 0;
  const std::function<Transaction&(std::size_t, std::size_t)> room = [&](std::size_t rows,
                                                                         std::size_t size) -> Transaction& {
    Transaction& last = transactions.back();
    const std::size_t used = last.writes.size() + last.removals.size();
    if (used > 0 && (used + rows > kMaxRowsInCommit || bytes + size > settings_.max_commit_bytes)) {
      transactions.emplace_back();
      bytes = 0;
    }
    bytes += size;
    return transactions.back();
  };
  std::size_t written = 0;
  // Begins with the item at which the last checkpoint reached kMaxCheckpointBytes.
  for (std::size_t n = 0; n < job.items.size(); ++n) {
    Item& it = job.items[(job.checkpoint_from + n) % job.items.size()];
    if (it.phase == Phase::kFinished || it.events == 0 || it.versions.empty()) continue;
    const bool complete = it.phase == Phase::kScoring;
    const std::int64_t new_events = it.events - it.checkpointed_events;
    const bool changed = new_events > 0 || complete != it.checkpointed_complete;
    const bool overdue =
        complete && loop_.Now() - it.text_completed_at >= settings_.checkpoint_unscored_after;
    if (!changed || !(all || overdue || (!complete && new_events >= kCheckpointEvents))) continue;
    if (!all && written > kMaxCheckpointBytes) {
      job.checkpoint_from = it.index;
      break;
    }
    written += it.output.size();
    PartialText partial;
    partial.item = it.spec.id;
    partial.output = it.output;
    partial.events = it.events;
    partial.last_event = it.last_event;
    partial.versions.assign(it.versions.begin(), it.versions.end());
    partial.complete = complete;
    partial.scoring_failures = scoring_.Failures(it.scoring);
    partial.software = it.software;
    partial.sources.assign(it.sources.begin(), it.sources.end());
    std::vector<RowWrite> rows =
        SplitIntoRows(kPartialTable, partition, it.spec.id, EncodePartial(partial), settings_.max_row_bytes);
    Transaction& transaction = room(rows.size(), it.output.size());
    for (RowWrite& row : rows) transaction.writes.push_back(std::move(row));
    it.checkpointed_events = it.events;
    it.checkpointed_complete = complete;
    it.has_partial_row = true;
  }
  for (const std::string& key : job.partials_to_remove)
    room(1, 0).removals.push_back({std::string(kPartialTable), partition, key});
  job.partials_to_remove.clear();
  if (transactions.back().writes.empty() && transactions.back().removals.empty()) transactions.pop_back();
  return transactions;
}

void BatchService::Checkpoint(Job& job, bool all, std::function<void()> done) {
  const std::string id = job.submission.id;
  std::vector<Transaction> transactions = MakeCheckpoint(job, all);
  if (all) StopWork(job);
  if (transactions.empty()) {
    done();
    return;
  }
  job.checkpoint_in_flight = true;
  const std::shared_ptr<std::size_t> unanswered = std::make_shared<std::size_t>(transactions.size());
  const std::shared_ptr<std::function<void()>> finished =
      std::make_shared<std::function<void()>>(std::move(done));
  for (const Transaction& it : transactions) {
    store_.Commit(it, [this, id, unanswered, finished](const StoreReply& reply) {
      UpdateStoreClock(reply);
      if (reply.outcome != StoreOutcome::kOk) {
        // Costs work only: without the checkpoint, a takeover generates the texts again.
        LogEventLine(LogLevel::kWarning, LogEvent::kCheckpointFailed,
                     {{"job", id}, {"store", NameOf(reply.outcome)}});
      }
      if (--*unanswered > 0) return;
      Job* const found = FindJob(id);
      if (found != nullptr) found->checkpoint_in_flight = false;
      (*finished)();
    });
  }
}

// ---- Paces ------------------------------------------------------------------------------------------------

// Publishes the measured paces, because the owner may change with each step.
void BatchService::WritePaces(Job& job) {
  const Route* route = directory_.FindRoute(job.submission.host, job.submission.path);
  if (route == nullptr) return;
  for (const std::string& service : RankServices(*route, "")) {
    std::map<std::string, double> paces;
    bool measured = false;
    for (const UpstreamState* it : directory_.Usable(service)) {
      if (it->pace_ms > 0) paces[it->entry.id] = it->pace_ms;
      measured = measured || it->pace_measured_here;
    }
    if (!measured) continue;
    Transaction transaction;
    transaction.writes = {{{std::string(kPaceTable), service, std::string(kPaceKey)}, EncodePaces(paces)}};
    store_.Commit(transaction, [this](const StoreReply& reply) {
      UpdateStoreClock(reply);
    });  // a failure costs speed only
  }
}

void BatchService::ReadPaces(const std::string& service) {
  store_.Get({std::string(kPaceTable), service, std::string(kPaceKey), "", 1},
             [this](const StoreReply& reply) {
               UpdateStoreClock(reply);
               const std::map<std::string, double> paces =
                   reply.rows.empty() ? std::map<std::string, double>() : DecodePaces(reply.rows[0].value);
               for (const std::pair<const std::string, double>& it : paces) {
                 UpstreamState* const upstream = directory_.Find(it.first);
                 if (upstream != nullptr) AdoptPace(*upstream, it.second);
               }
             });
}

// ---- Placement --------------------------------------------------------------------------------------------

void BatchService::Tick() {
  const absl::Time now = loop_.Now();
  std::vector<std::string> ids;
  for (const std::pair<const std::string, std::unique_ptr<Job>>& it : jobs_) ids.push_back(it.first);
  for (const std::string& id : ids) {
    Job* const job = FindJob(id);
    if (job == nullptr) continue;
    if (!job->frozen) {
      MoveSlowRuns(*job);
      AbandonLateItems(*job);
    }
    const bool due = (!job->pending.empty() && now >= job->last_commit + settings_.commit_every) ||
                     now >= job->last_commit + settings_.renew_every || job->handing_over;
    if (due && now >= job->retry_at) CommitResults(*job);
    if (job->frozen || job->checkpoint_in_flight) continue;
    const bool all_due = now >= job->last_checkpoint + settings_.checkpoint_every;
    const bool unscored_due = now >= job->last_checkpoint + settings_.checkpoint_unscored_after &&
                              HasUnscoredTextToCheckpoint(*job);
    if (!all_due && !unscored_due) continue;
    job->last_checkpoint = now;
    Checkpoint(*job, false, [] {});
    if (all_due) WritePaces(*job);
  }
  Dispatch();
  scoring_.Dispatch();
}

void BatchService::Dispatch() {
  if (dispatching_) return;  // a run that fails immediately calls Dispatch again
  dispatching_ = true;
  const absl::Time now = loop_.Now();
  for (const std::pair<const std::string, std::unique_ptr<Job>>& it : jobs_) {
    Job& job = *it.second;
    if (job.ready_at == absl::InfinitePast() || job.frozen || !MayStart(job) ||
        (job.load_queries_pending > 0 && now < job.load_queries_until))
      continue;
    if (!job.waiting.empty()) PlaceItems(job);
  }
  dispatching_ = false;
}

ItemChoice BatchService::MakeChoice(const Job& job, const Item& item, const Route& route) const {
  ItemChoice choice;
  choice.model = job.submission.model;
  choice.min_version = job.submission.min_version;
  if (route.single_version && !item.versions.empty()) choice.exact_version = *item.versions.begin();
  if (item.events > 0) choice.software = item.software;
  choice.zone = settings_.zone;
  choice.now = loop_.Now();
  return choice;
}

// The services that may run the item, in the order in which they are tried. Items of a group have the same.
const std::vector<std::string>& BatchService::ServicesFor(Job& job, const Item& item,
                                                          const Route& route) const {
  const std::int64_t policy = directory_.PolicyInForce().version;
  if (job.group_services_policy != policy) job.group_services.clear();
  job.group_services_policy = policy;
  const std::string& key = item.spec.group.empty() ? item.spec.id : item.spec.group;
  std::vector<std::string>& services = job.group_services[key];
  if (services.empty()) services = RankServices(route, key);
  return services;
}

// The engines of a service that this host uses for the job. Their number depends on all items of this host's
// jobs of the model that the service gets, finished ones included, so that the last items of a step have as
// many engines to choose from as the first.
const std::vector<UpstreamState*>& BatchService::EnginesFor(Job& job, const Route& route,
                                                            const std::string& service) {
  const absl::Time now = loop_.Now();
  EngineSet& set = job.engines[service];
  if (set.generation == directory_.Generation() && now < set.valid_until) return set.engines;
  int items = 0;
  for (const std::pair<const std::string, std::unique_ptr<Job>>& it : jobs_) {
    if (it.second->submission.model == job.submission.model)
      items += static_cast<int>(it.second->items.size());
  }
  // The items of a service without upstreams go to the others.
  double weight = 0;
  double total = 0;
  for (const WeightedService& it : route.services) {
    if (it.service == service) weight += it.weight;
    if (it.service == service || !directory_.Usable(it.service).empty()) total += it.weight;
  }
  if (weight < total) items = static_cast<int>(std::ceil(items * weight / total));
  set.engines =
      EngineShare(directory_.Usable(service), job.submission.model, job.submission.min_version, items);
  set.generation = directory_.Generation();
  set.valid_until = now + kEnginesLifetime;
  return set.engines;
}

BatchService::ServicePass& BatchService::PassFor(ServicePasses& passes, Job& job, const Route& route,
                                                 const std::string& service) {
  const auto known = passes.find(service);
  if (known != passes.end()) return known->second;
  ServicePass& pass = passes[service];
  pass.engines = EnginesFor(job, route, service);
  pass.median_pace_ms = MedianPace(pass.engines);
  ItemChoice any;
  any.model = job.submission.model;
  any.min_version = job.submission.min_version;
  any.now = loop_.Now();
  for (const UpstreamState* it : pass.engines) {
    pass.can_run = pass.can_run || CanRun(*it, any);
    pass.loads_reported = pass.loads_reported || it->load_at > absl::InfinitePast();
    pass.slots += std::max(1, it->entry.slots);
    pass.taken += EstimateRunning(*it, any.now);
  }
  return pass;
}

UpstreamState* BatchService::PickInService(ServicePass& pass, const ItemChoice& choice) {
  if (choice.exact_version != 0) return PickForItem(pass.engines, choice);
  if (!pass.costs) pass.costs = CostsForItems(pass.engines, choice);
  return PickByCost(*pass.costs, choice);
}

// The upstream that runs a waiting item now, or nullptr.
UpstreamState* BatchService::PickForPlacement(ServicePasses& passes, Job& job, const Item& item,
                                              const Route& route, const ItemChoice& choice) {
  const bool bound = choice.software || choice.exact_version != 0;  // to some of a service's engines
  std::vector<ServiceRoom> rooms;
  std::vector<UpstreamState*> picked;
  for (const std::string& service : ServicesFor(job, item, route)) {
    ServicePass& pass = PassFor(passes, job, route, service);
    const bool can_run =
        !bound ? pass.can_run
               : std::any_of(pass.engines.begin(), pass.engines.end(), [&choice](const UpstreamState* it) {
                   return CanRun(*it, choice) && CanContinue(*it, choice);
                 });
    UpstreamState* const upstream = can_run && (bound || !pass.full) ? PickInService(pass, choice) : nullptr;
    if (!bound && upstream == nullptr) pass.full = true;
    rooms.push_back({can_run, upstream != nullptr, 2 * pass.taken < pass.slots});
    picked.push_back(upstream);
  }
  const absl::Time ready = std::max({job.ready_at, item.stopped_at, item.not_before});
  const std::optional<std::size_t> service = PickService(rooms, loop_.Now() - ready);
  return service ? picked[*service] : nullptr;
}

// Starts waiting items in the order of their ranks, until no upstream has a free slot.
void BatchService::PlaceItems(Job& job) {
  const Route* route = directory_.FindRoute(job.submission.host, job.submission.path);
  if (route == nullptr || route->services.empty()) return;
  const absl::Time now = loop_.Now();
  const std::vector<std::string> services = RankServices(*route, "");
  ServicePasses passes;
  const std::vector<std::size_t> ranks(job.waiting.begin(), job.waiting.end());
  for (const std::size_t rank : ranks) {
    Item& item = job.items[job.order[rank]];
    if (now < item.not_before) continue;
    if (!IsSoftwareCertain(item)) {
      LogDiscardedText(job, item, "software_uncertain");
      DiscardText(item);
    }
    ItemChoice choice = MakePlacement(job, item, *route);
    UpstreamState* upstream = PickForPlacement(passes, job, item, *route, choice);
    if (upstream == nullptr && (choice.software || choice.exact_version != 0)) {
      if (!DiscardUnlessWaiting(job, item, *route, choice)) continue;
      choice = MakePlacement(job, item, *route);
      upstream = PickForPlacement(passes, job, item, *route, choice);
    }
    if (upstream == nullptr) {
      const bool all_full = std::all_of(services.begin(), services.end(), [&](const std::string& it) {
        const ServicePass& pass = PassFor(passes, job, *route, it);
        return pass.full || !pass.can_run;
      });
      if (!all_full) continue;
      for (const std::string& it : services)
        WantPermits(passes[it].engines, choice, static_cast<int>(job.waiting.size()));
      return;
    }
    job.group_upstream[item.spec.group] = upstream->entry.id;
    StartRun(job, item, *upstream);
    ServicePass& pass = passes[upstream->entry.service];
    ++pass.taken;
    if (pass.costs) UpdateCost(*pass.costs, *upstream, choice);
  }
}

// The choice for placing a waiting item, with the preferences that its earlier runs and its group give.
ItemChoice BatchService::MakePlacement(const Job& job, const Item& item, const Route& route) const {
  ItemChoice choice = MakeChoice(job, item, route);
  choice.avoided = item.avoided;
  const auto group = job.group_upstream.find(item.spec.group);
  if (group != job.group_upstream.end()) choice.preferred = group->second;
  return choice;
}

void BatchService::WantPermits(const std::vector<UpstreamState*>& engines, const ItemChoice& choice,
                               int items) {
  for (const PermitWant& it : WantsForItems(engines, choice, items))
    directory_.WantPermits(*it.upstream, it.calls);
}

// Decides about an item whose text no engine can continue now. Returns true if its text has been discarded,
// so that any engine can generate it anew; false if the item waits.
bool BatchService::DiscardUnlessWaiting(Job& job, Item& item, const Route& route, const ItemChoice& choice) {
  std::vector<UpstreamState*> engines;
  for (const std::string& it : ServicesFor(job, item, route)) {
    const std::vector<UpstreamState*>& of_service = EnginesFor(job, route, it);
    engines.insert(engines.end(), of_service.begin(), of_service.end());
  }
  ContinuationWait wait;
  wait.possible = std::any_of(engines.begin(), engines.end(),
                              [&choice](const UpstreamState* it) { return CanContinue(*it, choice); });
  wait.waited = loop_.Now() - item.stopped_at;
  wait.events = item.events;
  wait.pace_ms = MedianPace(engines);
  if (!ShouldDiscardText(wait)) {
    WantPermits(engines, choice, 1);
    return false;
  }
  LogDiscardedText(job, item, wait.possible ? "waited" : "no_engine_left");
  DiscardText(item);
  return true;
}

void BatchService::LogDiscardedText(const Job& job, const Item& item, std::string_view reason) const {
  LogEventLine(LogLevel::kInfo, LogEvent::kTextDiscarded,
               {{"job", job.submission.id},
                {"item", item.spec.id},
                {"reason", reason},
                {"events", item.events},
                {"text_software", item.software ? Json(*item.software) : Json()},
                {"text_weights", item.versions},
                {"waited_ms", absl::ToInt64Milliseconds(loop_.Now() - item.stopped_at)}});
  AddCounter(GlobalMetrics(), "texts_discarded", reason);
}

// False if an upstream that generated a part of the text has other software now than the text. It may have
// restarted under its id before that run, while its registration reached the owner of that time too late, so
// the text may be of the new software.
bool BatchService::IsSoftwareCertain(const Item& item) const {
  return std::all_of(item.sources.begin(), item.sources.end(), [this, &item](const std::string& it) {
    const UpstreamState* const upstream = directory_.Find(it);
    return upstream == nullptr || !item.software || upstream->entry.software == *item.software;
  });
}

void BatchService::StartRun(Job& job, Item& item, UpstreamState& upstream) {
  const absl::Time now = loop_.Now();
  const std::string id = job.submission.id;
  const std::size_t index = item.index;
  const std::uint64_t run = next_run_++;
  job.waiting.erase(item.rank);
  ++job.running;
  RecordStart(upstream);
  item.phase = Phase::kRunning;
  item.run = run;
  item.upstream = upstream.entry.id;
  item.run_software = upstream.entry.software;
  item.run_upstream_started_ms = upstream.entry.started_ms;
  item.started = now;
  item.first_started = std::min(item.first_started, now);
  ++item.runs;
  item.last_progress = now;
  item.events_in_run = 0;
  item.head = {};
  item.head_at = now;
  item.version = 0;
  item.reader = {};
  // Separate events, so that the many first runs of a step do not use up the line budget of the resumed ones.
  Json line = {{"job", id},
               {"item", item.spec.id},
               {"upstream", item.upstream},
               {"service", upstream.entry.service},
               {"software", item.run_software}};
  const Route* const route = directory_.FindRoute(job.submission.host, job.submission.path);
  if (route != nullptr && !route->services.empty()) {
    const std::string& own = ServicesFor(job, item, *route).front();
    if (own != upstream.entry.service) line["instead_of"] = own;
  }
  if (item.events > 0) {
    line["after_event"] = item.last_event;
    line["text_software"] = item.software ? Json(*item.software) : Json();
  }
  LogEventLine(LogLevel::kInfo, item.events > 0 ? LogEvent::kItemResumed : LogEvent::kItemStarted, line);

  UpstreamCall call;
  call.address = upstream.entry.address;
  call.expected_id = upstream.entry.id;
  call.host = job.submission.host;
  call.workspace = job.submission.workspace;
  call.request_id = item.spec.id;
  call.method = "POST";
  call.target = item.spec.target;
  call.headers = item.spec.headers;
  call.body = std::make_shared<const std::string>(item.spec.body);
  if (item.events > 0) call.resume_after = item.last_event;
  call.silence_timeout = settings_.silence_limit;
  call.fresh_connection = std::exchange(item.reconnect, false);
  call.max_body_bytes = kMaxTextBytes;
  CallHandlers handlers;
  handlers.on_head = [this, id, index, run](const AnswerHead& head) { OnRunHead(id, index, run, head); };
  handlers.on_body = [this, id, index, run](std::string_view bytes) { OnRunBytes(id, index, run, bytes); };
  handlers.on_end = [this, id, index, run](CallEnd end) { OnRunEnd(id, index, run, end); };
  item.call = link_.Start(std::move(call), std::move(handlers));
}

// Cancels the item's run and removes it from the counts of the job and the upstream.
void BatchService::StopRun(Job& job, Item& item) {
  if (item.phase != Phase::kRunning) return;
  link_.Cancel(item.call);
  item.call = 0;
  item.run = 0;
  item.phase = Phase::kWaiting;
  --job.running;
  job.waiting.insert(item.rank);
  UpstreamState* const upstream = directory_.Find(item.upstream);
  if (upstream != nullptr) --upstream->in_flight;
  item.stopped_at = loop_.Now();
}

void BatchService::Requeue(Job& job, Item& item, absl::Duration pause, std::string_view reason) {
  LogEventLine(LogLevel::kInfo, LogEvent::kItemRequeued,
               {{"job", job.submission.id},
                {"item", item.spec.id},
                {"upstream", item.upstream},
                {"reason", reason},
                {"status", item.head.status},
                {"events", item.events},
                {"run_ms", absl::ToInt64Milliseconds(loop_.Now() - item.started)}});
  AddCounter(GlobalMetrics(), "item_requeued", reason);
  StopRun(job, item);
  item.avoided = item.upstream;
  item.not_before = loop_.Now() + pause;
}

void BatchService::DiscardText(Item& item) {
  item.output.clear();
  item.events = 0;
  item.last_event = 0;
  item.versions.clear();
  item.software.reset();
  item.sources.clear();
  item.checkpointed_events = 0;
  item.checkpointed_complete = false;
}

void BatchService::OnRunHead(const std::string& id, std::size_t index, std::uint64_t run,
                             const AnswerHead& head) {
  Item* const item = FindRun(id, index, run);
  if (item == nullptr) return;
  Job& job = *FindJob(id);
  const absl::Time now = loop_.Now();
  item->head = head;
  item->head.held.reset();  // events are taken from the answer as they arrive
  item->head_at = now;
  UpstreamState* const upstream = directory_.Find(item->upstream);
  if (!IsAnswerTo(head, item->spec.id)) {
    if (upstream != nullptr) ObserveFailure(*upstream, now);
    Requeue(job, *item, absl::ZeroDuration(), "foreign_answer");
    Dispatch();
    return;
  }
  directory_.ObserveAnswer(item->upstream, item->run_upstream_started_ms, head, job.submission.model,
                           item->started, now);
  if (head.status != 200) return;
  item->version = head.weights.value_or(0);
  if (item->version < job.submission.min_version) {
    if (upstream != nullptr && !head.weights) upstream->avoid_until = now + kMisdirectedPause;
    Requeue(job, *item, absl::ZeroDuration(), "weights_too_old");
    Dispatch();
    return;
  }
  const Route* route = directory_.FindRoute(job.submission.host, job.submission.path);
  if (route != nullptr && route->single_version && !item->versions.empty() &&
      !item->versions.contains(item->version)) {
    Requeue(job, *item, absl::ZeroDuration(), "weights_differ");
    DiscardText(*item);
    Dispatch();
  }
}

void BatchService::OnRunBytes(const std::string& id, std::size_t index, std::uint64_t run,
                              std::string_view bytes) {
  Item* const item = FindRun(id, index, run);
  if (item == nullptr || item->head.status != 200) return;
  Job& job = *FindJob(id);
  const absl::Time now = loop_.Now();
  const Route* route = directory_.FindRoute(job.submission.host, job.submission.path);
  UpstreamState* const upstream = directory_.Find(item->upstream);
  // The engine has restarted under its id with other software, and its new registration arrives only now.
  if (upstream != nullptr && upstream->entry.software != item->run_software) {
    Requeue(job, *item, absl::ZeroDuration(), "software_changed");
    DiscardText(*item);
    Dispatch();
    return;
  }
  AddBytes(item->reader, bytes);
  while (const std::optional<StreamEvent> event = NextEvent(item->reader)) {
    if (event->weights) {
      item->version = *event->weights;
      if (upstream != nullptr) upstream->observed_weights[job.submission.model] = item->version;
    }
    const bool in_order = event->id && (item->events == 0 || *event->id == item->last_event + 1);
    if (!in_order || item->reader.malformed) {
      if (upstream != nullptr) ObserveFailure(*upstream, now);
      Requeue(job, *item, absl::ZeroDuration(), "events_out_of_order");
      Dispatch();
      return;
    }
    const bool mixed = route != nullptr && route->single_version && !item->versions.empty() &&
                       !item->versions.contains(item->version);
    if (item->version < job.submission.min_version || mixed) {
      Requeue(job, *item, absl::ZeroDuration(), mixed ? "weights_differ" : "weights_too_old");
      if (mixed) DiscardText(*item);
      Dispatch();
      return;
    }
    if (item->events == 0) item->software = item->run_software;
    if (item->events_in_run == 0) item->sources.insert(item->upstream);
    if (item->events > 0) item->output.push_back('\n');
    item->output += event->data;
    ++item->events;
    item->last_event = *event->id;
    item->versions.insert(item->version);
    if (item->events_in_run > 0 && upstream != nullptr)
      ObserveEventGap(*upstream, now - item->last_progress, now);
    ++item->events_in_run;
    item->last_progress = now;
  }
}

void BatchService::OnRunEnd(const std::string& id, std::size_t index, std::uint64_t run, CallEnd end) {
  Item* const item = FindRun(id, index, run);
  if (item == nullptr) return;
  Job& job = *FindJob(id);
  const absl::Time now = loop_.Now();
  UpstreamState* const upstream = directory_.Find(item->upstream);
  const Route* route = directory_.FindRoute(job.submission.host, job.submission.path);
  const int status = item->head.status;
  if (end == CallEnd::kComplete && status == 200) {
    const bool cut = !item->reader.pending.empty() || item->reader.has_fields || item->reader.malformed;
    // An answer without a length may be truncated even if its connection was closed in order. Another run
    // shows whether there is more text.
    if (!item->head.framed) ++item->unframed_ends;
    const bool accepted = item->head.framed || item->unframed_ends >= kUnframedEndsToAccept;
    if (!IsSoftwareCertain(*item)) {
      Requeue(job, *item, absl::ZeroDuration(), "software_uncertain");
      LogDiscardedText(job, *item, "software_uncertain");
      DiscardText(*item);
    } else if (!cut && item->events > 0 && accepted) {
      if (upstream != nullptr) ObserveSuccess(*upstream);
      LearnLength(*item);
      CompleteText(job, *item, 0);
    } else {
      Requeue(job, *item, absl::ZeroDuration(), cut ? "cut" : "unframed");
    }
  } else if (end == CallEnd::kComplete && status == 500) {
    ++item->failures;
    if (item->failures >= std::max(1, route == nullptr ? 1 : route->max_attempts)) {
      FinishItem(job, *item, ItemState::kAbandoned);
    } else {
      Requeue(job, *item, kFailedPause, "failed");
    }
  } else if (end == CallEnd::kComplete && status == 422) {
    FinishItem(job, *item, ItemState::kAbandoned);
  } else if (end == CallEnd::kComplete && status == 421) {
    if (upstream != nullptr) upstream->avoid_until = now + kMisdirectedPause;
    Requeue(job, *item, absl::ZeroDuration(), "misdirected");
  } else if (end == CallEnd::kComplete && item->head.not_run) {
    // The engine is full or loading weights of this model; it can still serve other models.
    if (upstream != nullptr) {
      const bool full = item->head.load && item->head.load->running >= item->head.load->slots;
      upstream->unavailable_until[job.submission.model] = now + (full ? kFullPause : kLoadingPause);
    }
    Requeue(job, *item, absl::ZeroDuration(), "not_run");
  } else if (end == CallEnd::kComplete) {
    Requeue(job, *item, kUnexpectedPause, "unexpected_status");
  } else {
    if (upstream != nullptr && end == CallEnd::kTooLarge) {
      ObserveNoAnswer(*upstream, end, now);
    } else if (upstream != nullptr && end != CallEnd::kNoRoom) {
      ObserveFailure(*upstream, now);
    }
    Requeue(job, *item, end == CallEnd::kNoRoom ? kUnexpectedPause : absl::ZeroDuration(), NameOf(end));
    item->reconnect = end == CallEnd::kTimedOut;
  }
  Dispatch();
}

// Handles the end of an item's text: scores it, or finishes the item if it has no scoring request.
void BatchService::CompleteText(Job& job, Item& item, int scoring_failures) {
  if (!item.spec.scoring) {
    FinishItem(job, item, ItemState::kCompleted);
    return;
  }
  StopRun(job, item);
  job.waiting.erase(item.rank);
  item.phase = Phase::kScoring;
  item.text_completed_at = loop_.Now();
  const Route* route = directory_.FindRoute(job.submission.host, job.submission.path);
  item.scoring = scoring_.Start(
      *item.spec.scoring, scoring_failures, route == nullptr ? 1 : route->max_attempts,
      [this, id = job.submission.id] {
        const Job* const found = FindJob(id);
        return found != nullptr && MayStart(*found);
      },
      [this, id = job.submission.id, index = item.index](const ScoringOutcome& outcome) {
        OnScored(id, index, outcome);
      });
}

void BatchService::OnScored(const std::string& id, std::size_t index, const ScoringOutcome& outcome) {
  Job* const job = FindJob(id);
  if (job == nullptr || job->items[index].phase != Phase::kScoring) return;
  Item& item = job->items[index];
  item.scoring = 0;
  LogEventLine(LogLevel::kInfo, LogEvent::kItemScored,
               {{"job", id},
                {"item", item.spec.id},
                {"request", item.spec.scoring->id},
                {"upstream", outcome.upstream},
                {"scored", !outcome.score.empty()},
                {"attempts", outcome.attempts},
                {"failures", outcome.failures},
                {"ms", absl::ToInt64Milliseconds(loop_.Now() - item.text_completed_at)}});
  item.score = outcome.score;
  FinishItem(*job, item, outcome.score.empty() ? ItemState::kAbandoned : ItemState::kCompleted);
}

// Cancels the runs and scoring calls of a job; its items keep their texts.
void BatchService::StopWork(Job& job) {
  for (Item& it : job.items) {
    if (it.phase == Phase::kRunning) StopRun(job, it);
    scoring_.Cancel(std::exchange(it.scoring, 0));
  }
}

// False if the store confirms none of the job's writes although it answers other calls: the job may have been
// ended without the owner's knowledge. During an outage of the store no job can be ended, so work continues.
bool BatchService::MayStart(const Job& job) const {
  const absl::Time now = loop_.Now();
  return now - job.confirmed_at < settings_.max_unconfirmed ||
         now - store_unreachable_at_ < kStoreOutageGrace;
}

// True if a complete text has waited long for its score. Such texts are written to the store, because they
// would have to be generated again if this host failed.
bool BatchService::HasUnscoredTextToCheckpoint(const Job& job) const {
  return std::any_of(job.items.begin(), job.items.end(), [this](const Item& it) {
    return it.phase == Phase::kScoring && !it.checkpointed_complete &&
           loop_.Now() - it.text_completed_at >= settings_.checkpoint_unscored_after;
  });
}

void BatchService::FinishItem(Job& job, Item& item, ItemState state) {
  LogEventLine(
      LogLevel::kInfo, LogEvent::kItemListed,
      {{"job", job.submission.id},
       {"item", item.spec.id},
       {"state", state == ItemState::kCompleted ? "completed" : "abandoned"},
       {"upstream", item.upstream},
       {"events", item.events},
       {"runs", item.runs},
       {"since_start_ms", absl::ToInt64Milliseconds(loop_.Now() - std::min(item.first_started, loop_.Now()))},
       {"age_ms", absl::ToInt64Milliseconds(StoreNow() - job.lease.accepted_at)}});
  StopRun(job, item);
  scoring_.Cancel(std::exchange(item.scoring, 0));
  job.waiting.erase(item.rank);
  item.phase = Phase::kFinished;
  ItemResult result;
  result.item = item.spec.id;
  result.state = state;
  if (state == ItemState::kCompleted) {
    result.output = std::move(item.output);
    result.versions.assign(item.versions.begin(), item.versions.end());
    result.score = std::move(item.score);
  }
  item.output.clear();
  if (item.has_partial_row) job.partials_to_remove.push_back(item.spec.id);
  job.pending.push_back({item.index, std::move(result)});
}

// ---- Slow and late runs -----------------------------------------------------------------------------------

// Queries the load of an upstream. Returns false, without calling `done`, if the last query was too recent or
// is unanswered, or if the service does not report its load.
bool BatchService::QueryLoad(UpstreamState& upstream, std::function<void()> done) {
  const absl::Time now = loop_.Now();
  const ServiceSpec* const spec = directory_.FindService(upstream.entry.service);
  // An upstream that limits its requests is not asked for its load as well.
  if (spec == nullptr || spec->health_path.empty() || upstream.load_query_pending || upstream.request_limit ||
      now - upstream.load_queried_at < kMinLoadQueryInterval)
    return false;
  upstream.load_query_pending = true;
  upstream.load_queried_at = now;
  const std::string id = upstream.entry.id;
  link_.FetchLoad(upstream.entry, spec->health_path,
                  [this, id, started_ms = upstream.entry.started_ms, now,
                   done = std::move(done)](const std::optional<AnswerHead>& head) {
                    UpstreamState* const found = directory_.Find(id);
                    if (found != nullptr) found->load_query_pending = false;
                    if (head) directory_.ObserveAnswer(id, started_ms, *head, "", now, loop_.Now());
                    done();
                  });
  return true;
}

// Queries the load of the job's engines before its first items are placed. Items of other owners occupy slots
// that this host does not know of, and a run placed on a full engine waits there for half a second.
void BatchService::QueryLoads(Job& job) {
  const Route* route = directory_.FindRoute(job.submission.host, job.submission.path);
  if (route == nullptr) return;
  job.load_queries_until = loop_.Now() + kLoadQueryWait;
  for (const std::string& service : RankServices(*route, "")) {
    for (UpstreamState* it : EnginesFor(job, *route, service)) {
      if (KnownWeightsVersion(*it, job.submission.model) < job.submission.min_version) continue;
      const bool query_sent = QueryLoad(*it, [this, id = job.submission.id] {
        Job* const found = FindJob(id);
        if (found != nullptr && --found->load_queries_pending == 0) Dispatch();
      });
      if (query_sent) ++job.load_queries_pending;
    }
  }
}

// True for items that are likely to finish last: the longest by the hint, and those that remain when most
// items are finished.
bool BatchService::IsTailItem(const Job& job, const Item& item) {
  const std::size_t total = job.items.size();
  const std::size_t unfinished = job.waiting.size() + static_cast<std::size_t>(job.running);
  return item.rank * kTailRankDivisor < total || unfinished * kTailRemainingDivisor <= total;
}

// Asks a leaving upstream when it will be gone. Once is enough: it does not change its mind.
void BatchService::AskForDeparture(UpstreamState& upstream) {
  if (std::exchange(upstream.departure_asked, true)) return;
  const std::string id = upstream.entry.id;
  link_.FetchReport(upstream.entry, [this, id, started_ms = upstream.entry.started_ms,
                                     asked = loop_.Now()](const EngineReport& report) {
    UpstreamState* const found = directory_.Find(id);
    if (found == nullptr || found->entry.started_ms != started_ms || !report.leaves_in) return;
    found->leaves_at = asked + *report.leaves_in;
    LogEventLine(LogLevel::kInfo, LogEvent::kUpstreamDeparture,
                 {{"upstream", id},
                  {"leaves_in_ms", absl::ToInt64Milliseconds(*report.leaves_in)},
                  {"reclaimable", found->entry.reclaimable},
                  {"in_flight", found->in_flight}});
  });
}

// True if the item's run goes on elsewhere because its upstream will be gone before it ends.
bool BatchService::MustLeave(const Item& item, UpstreamState& upstream, double median_pace_ms) {
  if (!IsLeaving(upstream)) return false;
  AskForDeparture(upstream);
  const absl::Time now = loop_.Now();
  if (upstream.leaves_at == absl::InfiniteFuture()) return false;
  RunBeforeDeparture run;
  run.time_left = upstream.leaves_at - now;
  run.events = static_cast<int>(item.events);
  run.expected_events = item.spec.length_hint * events_per_hint_;
  run.gap_ms = ExpectedGap(upstream, median_pace_ms, now);
  return LeavesTooSoon(run);
}

// Learns how hints of lengths relate to events. They are right at the median only, so one text says little.
void BatchService::LearnLength(const Item& item) {
  if (item.spec.length_hint <= 0 || item.events <= 0) return;
  const double ratio = static_cast<double>(item.events) / item.spec.length_hint;
  events_per_hint_ =
      events_per_hint_ == 0 ? ratio : events_per_hint_ + kLengthWeight * (ratio - events_per_hint_);
}

void BatchService::MoveSlowRuns(Job& job) {
  if (job.running == 0 || !MayStart(job)) return;
  const Route* route = directory_.FindRoute(job.submission.host, job.submission.path);
  if (route == nullptr || route->services.empty()) return;
  const absl::Time now = loop_.Now();
  bool moved = false;
  ServicePasses passes;
  for (const std::size_t index : job.order) {
    Item& it = job.items[index];
    if (it.phase != Phase::kRunning) continue;
    // Only events count as progress, not other bytes of the stream.
    if (now - std::max(it.last_progress, it.head_at) >= settings_.silence_limit) {
      if (UpstreamState* const silent = directory_.Find(it.upstream)) ObserveFailure(*silent, now);
      Requeue(job, it, absl::ZeroDuration(), "no_event");
      it.reconnect = true;
      moved = true;
      continue;
    }
    RunProgress progress;
    progress.since_last_event = now - it.last_progress;
    progress.since_start = now - it.started;
    progress.events_here = it.events_in_run;
    progress.is_tail = IsTailItem(job, it);
    UpstreamState* const upstream = directory_.Find(it.upstream);
    // A run moves within its service, so that the weights of a split hold.
    const std::vector<std::string>& services = ServicesFor(job, it, *route);
    const bool routed = upstream != nullptr && std::find(services.begin(), services.end(),
                                                         upstream->entry.service) != services.end();
    ServicePass& pass = PassFor(passes, job, *route, routed ? upstream->entry.service : services.front());
    const bool must_leave = upstream != nullptr && MustLeave(it, *upstream, pass.median_pace_ms);
    // Saves the search for another engine for most runs.
    if (!must_leave && !progress.is_tail && progress.since_start < kMinRunBeforeMove) continue;
    ItemChoice choice = MakeChoice(job, it, *route);
    choice.excluded = {it.upstream};
    UpstreamState* other = PickInService(pass, choice);
    if (other == nullptr && must_leave) {
      for (const std::string& service : services) {
        if (other == nullptr) other = PickInService(PassFor(passes, job, *route, service), choice);
      }
    }
    if (other == nullptr) continue;
    progress.gap_ms =
        upstream == nullptr ? pass.median_pace_ms : ExpectedGap(*upstream, pass.median_pace_ms, now);
    progress.pace_ms =
        upstream == nullptr || upstream->pace_ms <= 0 ? pass.median_pace_ms : upstream->pace_ms;
    progress.load_fresh = !pass.loads_reported ||
                          (upstream != nullptr && (upstream->request_limit || LoadIsFresh(*upstream, now)));
    progress.unresponsive = upstream == nullptr || IsUnresponsive(*upstream, now);
    progress.queued = upstream != nullptr && upstream->load.waiting > 0;
    progress.other_gap_ms = ExpectedGap(*other, pass.median_pace_ms, now);
    progress.other_pace_ms = other->pace_ms;
    progress.other_load_fresh = !pass.loads_reported || other->request_limit || LoadIsFresh(*other, now);
    const MoveDecision decision = must_leave ? MoveDecision::kMove : DecideMove(progress);
    if (decision == MoveDecision::kQueryLoads && now >= it.next_load_query) {
      it.next_load_query = now + kRunLoadQueryInterval;
      const std::function<void()> on_load_reply = [this, id = job.submission.id] {
        Job* const found = FindJob(id);
        if (found != nullptr && !found->frozen) MoveSlowRuns(*found);
      };
      if (upstream != nullptr) QueryLoad(*upstream, on_load_reply);
      QueryLoad(*other, on_load_reply);
      // By its fresh load `other` may no longer be the best choice, so the second best is queried as well.
      choice.excluded.push_back(other->entry.id);
      UpstreamState* const second = PickInService(pass, choice);
      if (second != nullptr) QueryLoad(*second, on_load_reply);
    }
    if (decision != MoveDecision::kMove) continue;
    LogEventLine(LogLevel::kInfo, LogEvent::kItemMoved,
                 {{"job", job.submission.id},
                  {"item", it.spec.id},
                  {"from", it.upstream},
                  {"to", other->entry.id},
                  {"decisive", progress.is_tail},
                  {"leaving", must_leave},
                  {"since_event_ms", absl::ToInt64Milliseconds(progress.since_last_event)},
                  {"gap_ms", std::lround(progress.gap_ms)},
                  {"other_gap_ms", std::lround(progress.other_gap_ms)},
                  {"load_fresh", progress.load_fresh},
                  {"mute", progress.unresponsive},
                  {"queued", progress.queued}});
    // Started immediately, so that the decision for the next run counts the occupied slot.
    Requeue(job, it, absl::ZeroDuration(), must_leave ? "leaving" : "slow");
    StartRun(job, it, *other);
    ServicePass& target = passes[other->entry.service];
    if (target.costs) UpdateCost(*target.costs, *other, choice);
    moved = true;
  }
  if (moved) Dispatch();
}

void BatchService::AbandonLateItems(Job& job) {
  if (job.loading) return;
  const Route* route = directory_.FindRoute(job.submission.host, job.submission.path);
  const bool route_removed = route == nullptr && directory_.PolicyInForce().version > 0;
  const bool late = route != nullptr && StoreNow() - job.lease.accepted_at >= route->max_item_age;
  if (!route_removed && !late) return;
  for (Item& it : job.items) {
    if (it.phase != Phase::kFinished) FinishItem(job, it, ItemState::kAbandoned);
  }
}

}  // namespace oleander::serving
