#include "load/callers.h"

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace oleander::load {
namespace {

constexpr int kTicketsPerFetch = 20;
constexpr int kMaxCompletionTokens = 64;

struct Arrival {
  std::int64_t number = 0;
  absl::Time due;
};

Arrival NextArrival(Arrivals& arrivals) {
  absl::MutexLock lock(&arrivals.mutex);
  std::exponential_distribution<double> interval(arrivals.per_second);
  arrivals.next_due += absl::Seconds(interval(arrivals.random));
  return {arrivals.next_number++, arrivals.next_due};
}

void RunWorker(Callers& callers, CallerGroup& group) {
  while (!callers.stopping) {
    const Arrival arrival = NextArrival(group.arrivals);
    while (!callers.stopping && absl::Now() < arrival.due) {
      absl::SleepFor(std::min(arrival.due - absl::Now(), absl::Milliseconds(100)));
    }
    if (callers.stopping) return;
    group.call(arrival.number, arrival.due);
  }
}

void AddGroup(Callers& callers, double per_second, int workers, std::uint64_t seed, CallFunction call) {
  if (per_second <= 0) return;
  auto group = std::make_unique<CallerGroup>();
  {
    absl::MutexLock lock(&group->arrivals.mutex);
    group->arrivals.random.seed(seed);
    group->arrivals.per_second = per_second;
    group->arrivals.next_due = absl::Now();
  }
  group->call = std::move(call);
  CallerGroup* self = group.get();
  for (int it = 0; it < workers; ++it) {
    group->workers.emplace_back([&callers, self] { RunWorker(callers, *self); });
  }
  callers.groups.push_back(std::move(group));
}

// True if the answer has status 200 and repeats the `value` that this request sent in `member`.
bool EchoesRequest(const ServiceAnswer& answer, const char* member, const std::string& value) {
  const Json json = Json::parse(answer.body, nullptr, false);
  return answer.status == 200 && json.is_object() && json.value(member, Json()) == value;
}

void RecordCheckedAnswer(LoadRecord& record, const std::string& kind, bool correct, absl::Time due) {
  RecordAnswer(record, kind, due, absl::Now());
  if (correct) return;
  absl::MutexLock lock(&record.mutex);
  ++record.wrong_answers;
}

void RunLookup(const LoadPlan& plan, const ClientOptions& client, LoadRecord& record, std::int64_t number,
               absl::Time due) {
  const std::string id = absl::StrCat("L-", plan.seed, "-", number);
  const std::string word = absl::StrCat("word", number % 997, "-", number);
  const Json body = {{"word", word}, {"load_id", id}};
  const Outcome<ServiceAnswer> answer =
      Capture<ServiceAnswer>([&] { return CallService(client, plan.lookup_pool, "/lookup", body.dump()); });
  if (!Ok(answer)) return RecordFailure(record, "lookup", id, ErrorOf(answer));
  RecordCheckedAnswer(record, "lookup", EchoesRequest(Value(answer), "word", word), due);
}

// Tickets that were fetched in a batch and not used yet.
struct TicketCache {
  absl::Mutex mutex;
  std::vector<std::string> tickets ABSL_GUARDED_BY(mutex);
};

leaf::result<std::string> TakeTicket(TicketCache& ticket_cache, const LoadPlan& plan,
                                     const ClientOptions& client) {
  {
    absl::MutexLock lock(&ticket_cache.mutex);
    if (!ticket_cache.tickets.empty()) {
      std::string ticket = std::move(ticket_cache.tickets.back());
      ticket_cache.tickets.pop_back();
      return ticket;
    }
  }
  BOOST_LEAF_AUTO(fetched, FetchTickets(client, plan.receipt_pool, kTicketsPerFetch));
  if (fetched.empty())
    return Fail(ErrorKind::kUpstreamProtocol, "the answer to the ticket request contains no tickets");
  std::string ticket = std::move(fetched.back());
  fetched.pop_back();
  absl::MutexLock lock(&ticket_cache.mutex);
  ticket_cache.tickets.insert(ticket_cache.tickets.end(), fetched.begin(), fetched.end());
  return ticket;
}

leaf::result<ServiceAnswer> FileReceipt(TicketCache& ticket_cache, const LoadPlan& plan,
                                        const ClientOptions& client, const std::string& id,
                                        bool with_ticket) {
  const Json body = {{"receipt", id}, {"member", "m1"}, {"litres", 30}};
  if (!with_ticket) return CallServiceOnce(client, plan.receipt_pool, "/file", body.dump(), id);
  BOOST_LEAF_AUTO(ticket, TakeTicket(ticket_cache, plan, client));
  return CallServiceWithTicket(client, plan.receipt_pool, "/file", body.dump(), ticket);
}

void RunReceipt(TicketCache& ticket_cache, const LoadPlan& plan, const ClientOptions& client,
                LoadRecord& record, std::int64_t number, absl::Time due) {
  const std::string id = absl::StrCat("R-", plan.seed, "-", number);
  const Outcome<ServiceAnswer> answer =
      Capture<ServiceAnswer>([&] { return FileReceipt(ticket_cache, plan, client, id, number % 2 == 1); });
  const bool unknown = !Ok(answer) && !DescribeError(ErrorOf(answer).kind).not_run;
  {
    absl::MutexLock lock(&record.mutex);
    record.receipts.push_back({id, Ok(answer), unknown});
  }
  if (!Ok(answer)) return RecordFailure(record, "receipt", id, ErrorOf(answer));
  RecordCheckedAnswer(record, "receipt", EchoesRequest(Value(answer), "receipt", id), due);
}

void RunCompletion(const LoadPlan& plan, const ClientOptions& client, LoadRecord& record, std::int64_t number,
                   absl::Time due) {
  CompletionCall call;
  call.model = plan.model;
  call.prompt = absl::StrCat("C-", plan.seed, "-", number, ": a hint for entry ", number % 97);
  call.max_tokens = kMaxCompletionTokens;
  call.seed = plan.seed * 1000003 + static_cast<std::uint64_t>(number);
  const Outcome<Completion> answer = Capture<Completion>([&] { return Complete(client, call); });
  if (!Ok(answer)) return RecordFailure(record, "completion", call.prompt, ErrorOf(answer));
  const Completion& completion = Value(answer);
  RecordCheckedAnswer(record, "completion", !completion.tokens.empty(), due);
  RecordAnswer(record, "first_token", due, due + completion.first_token);
  absl::MutexLock lock(&record.mutex);
  record.completions.push_back({completion.tokens, completion.spans, completion.finish, call.max_tokens});
}

}  // namespace

std::unique_ptr<Callers> StartCallers(const LoadPlan& plan, const ClientOptions& client, LoadRecord& record) {
  auto callers = std::make_unique<Callers>();
  const auto ticket_cache = std::make_shared<TicketCache>();
  AddGroup(*callers, plan.lookup_rate, 24, plan.seed + 1,
           [&plan, client, &record](std::int64_t number, absl::Time due) {
             RunLookup(plan, client, record, number, due);
           });
  AddGroup(*callers, plan.receipt_rate, 16, plan.seed + 2,
           [&plan, client, &record, ticket_cache](std::int64_t number, absl::Time due) {
             RunReceipt(*ticket_cache, plan, client, record, number, due);
           });
  AddGroup(*callers, plan.completion_rate, 16, plan.seed + 3,
           [&plan, client, &record](std::int64_t number, absl::Time due) {
             RunCompletion(plan, client, record, number, due);
           });
  return callers;
}

void StopCallers(Callers& callers) {
  callers.stopping = true;
  for (const std::unique_ptr<CallerGroup>& group : callers.groups) {
    for (std::thread& it : group->workers) it.join();
  }
}

}  // namespace oleander::load
