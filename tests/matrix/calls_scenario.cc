// Non-idempotent calls, identified by an idempotency key or a ticket, from callers that retry until they know
// the outcome.
#include <memory>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "oleander/calls.h"
#include "tests/matrix/scenarios.h"

namespace oleander::matrix {
namespace {

constexpr int kCallersPerWave = 6;
constexpr int kMaxWaves = 8;  // waves of callers are started until every injection has fired
constexpr absl::Duration kDetectionTime = absl::Seconds(5);  // until an unresponsive host is considered dead
constexpr absl::Duration kRecordPeriod = absl::Seconds(1);  // period for writing recent outcomes to the table
constexpr int kRecordLimit = 10;                            // outcomes written per period
constexpr int kMaxUnknownOutcomes = 3;  // a caller gives up after this many "outcome unknown" answers

enum class CallState { kOpen, kAnswered, kNotRun, kUnknown };

struct Caller {
  std::string name;
  std::string body;          // of its only request
  bool with_ticket = false;  // otherwise with an idempotency key
  bool gives_up = false;     // treats the first "not run" as final
  std::string ticket;
  int attempt = 1;
  int unknown_outcomes = 0;  // number of "outcome unknown" answers
  CallState state = CallState::kOpen;
};

struct CallHost {
  std::shared_ptr<ClaimRegistry> claims = std::make_shared<ClaimRegistry>();
  std::unique_ptr<TicketRegistry> tickets = std::make_unique<TicketRegistry>();
  absl::Time next_record = absl::InfinitePast();
  absl::Time unresponsive_since = absl::InfiniteFuture();
};

class CallsScenario : public ScenarioBase {
 public:
  explicit CallsScenario(const RunSpec& spec) : ScenarioBase(spec) {
    hosts_["b"].zone = "a";
    hosts_["c"].zone = "b";
    for (const auto& [id, host] : hosts_) OnRestart(hosts_.at(id));
    StartWave();
  }

 protected:
  void RunRound() override {
    for (auto& it : hosts_) {
      const HostId& id = it.first;
      SimHost& host = it.second;
      CallHost& state = states_.at(id);
      if (host.alive && !host.paused) {
        state.unresponsive_since = absl::InfiniteFuture();
      } else if (state.unresponsive_since == absl::InfiniteFuture()) {
        state.unresponsive_since = world_.clock.now;
      }
      RunHost(host, [&, this] { RecordOutcomes(id); });
    }
    for (std::size_t it = 0; it < callers_.size(); ++it) {
      if (callers_[it].state == CallState::kOpen) SendCall(it);
    }
    const bool wave_over = CountOpen() == 0;
    if (wave_over && !AllFired() && waves_ < kMaxWaves) StartWave();
  }

  bool IsDone() override { return CountOpen() == 0 && (AllFired() || waves_ == kMaxWaves); }

  void OnRestart(SimHost& host) override {
    CallHost state;
    state.tickets->self = host.id;
    state.tickets->incarnation = host.incarnation;
    states_[host.id] = std::move(state);
  }

  void CheckInvariants() override {
    for (const Caller& it : callers_) {
      const auto found = world_.services.runs.find(it.body);
      const int runs = found == world_.services.runs.end() ? 0 : found->second;
      if (runs > 1) ReportViolation(6, absl::StrCat("the request of ", it.name, " ran ", runs, " times"));
      if (it.state == CallState::kNotRun && runs > 0)
        ReportViolation(5, absl::StrCat(it.name, " received \"not run\" although its request ran"));
      if (it.state == CallState::kAnswered && runs == 0)
        ReportViolation(4, absl::StrCat(it.name, " received an answer although its request did not run"));
    }
  }

 private:
  bool AllFired() const { return next_injection_ == spec_.injections.size(); }

  int CountOpen() const {
    int n = 0;
    for (const Caller& it : callers_) n += it.state == CallState::kOpen;
    return n;
  }

  void StartWave() {
    ++waves_;
    for (int it = 0; it < kCallersPerWave; ++it) {
      Caller caller;
      caller.name = absl::StrCat("kiosk-", callers_.size());
      caller.body = absl::StrCat("receipt-", callers_.size());
      caller.with_ticket = it % 2 == 1;
      caller.gives_up = it % 3 == 0;
      callers_.push_back(caller);
    }
  }

  TablePort TableOf(const HostId& host) {
    TablePort table = world_.table.Port(host);
    if (spec_.switches.claim) return table;
    table.commit = [commit = table.commit](const TableTxn& txn) {
      TableTxn unchecked = txn;
      if (absl::StartsWith(txn.writes.front().key, "claims/")) unchecked.compares.clear();
      return commit(unchecked);
    };
    return table;
  }

  // As other hosts see it: false for an earlier incarnation, or kDetectionTime after the host stopped
  // or paused.
  bool IsAlive(const HostId& id, std::int64_t incarnation) const {
    const SimHost& host = hosts_.at(id);
    if (host.incarnation != incarnation) return false;
    return world_.clock.now < states_.at(id).unresponsive_since + kDetectionTime;
  }

  OncePorts PortsOf(const HostId& id) {
    OncePorts ports;
    ports.table = TableOf(id);
    ports.self = id;
    ports.incarnation = hosts_.at(id).incarnation;
    ports.claims = states_.at(id).claims;
    ports.is_alive = [this](const HostId& host, std::int64_t incarnation) {
      return IsAlive(host, incarnation);
    };
    const ServicePort service = world_.services.Port(id);
    ports.send = [this, service](const PoolId&, const ServiceRequest& request) {
      Upstream upstream;
      upstream.id = absl::StrCat("counter-", random_() % 3 + 1);
      return service.call(upstream, request);
    };
    return ports;
  }

  void RecordOutcomes(const HostId& id) {
    CallHost& state = states_.at(id);
    if (world_.clock.now < state.next_record) return;
    state.next_record = world_.clock.now + kRecordPeriod;
    const OncePorts ports = PortsOf(id);
    static_cast<void>(Capture<int>([&] { return RecordClaimOutcomes(ports, kRecordLimit); }));
    static_cast<void>(
        Capture<int>([&] { return RecordTicketOutcomes(*state.tickets, ports.table, kRecordLimit); }));
  }

  Outcome<ServiceAnswer> CallByKey(const HostId& id, const OnceCall& call) {
    const OncePorts ports = PortsOf(id);
    const std::string write_id = absl::StrCat(id, "-", hosts_.at(id).incarnation, "-", ++writes_);
    return Capture<ServiceAnswer>([&] { return CallOnce(ports, call, write_id); });
  }

  Outcome<ServiceAnswer> CallByTicket(const HostId& id, const Ticket& ticket, const OnceCall& call) {
    const auto run = [&, this](const HostId& issuer) {
      const OncePorts ports = PortsOf(issuer);
      TicketRegistry& ticket_registry = *states_.at(issuer).tickets;
      return Capture<ServiceAnswer>(
          [&, this] { return CallWithTicket(ticket_registry, ports, ticket, call, world_.clock.now); });
    };
    const bool issuer_lives = hosts_.at(ticket.host).incarnation == ticket.incarnation;
    if (issuer_lives && ticket.host == id) return run(id);
    if (issuer_lives) {
      const Effect effect = OnCall({id, "peer.ticket", ticket.host});
      Outcome<ServiceAnswer> answer = Error{};
      if (effect == Effect::kPass && CanTalk(id, ticket.host) &&
          RunHost(hosts_.at(ticket.host), [&] { answer = run(ticket.host); }))
        return answer;
    }
    return Capture<ServiceAnswer>([&, this] { return FindTicketOutcome(TableOf(id), ticket, call); });
  }

  Outcome<ServiceAnswer> HandleCall(const HostId& id, const Caller& caller) {
    OnceCall call;
    call.caller = caller.name;
    call.key = caller.with_ticket ? caller.ticket : absl::StrCat("key-", caller.name);
    call.service = "counter";
    call.request.body = caller.body;
    call.attempt = caller.attempt;
    if (!caller.with_ticket) return CallByKey(id, call);
    const std::optional<Ticket> ticket = ParseTicket(caller.ticket);
    if (!ticket.has_value()) return Error{ErrorKind::kInvalidRequest, "invalid ticket"};
    return CallByTicket(id, *ticket, call);
  }

  void FetchTicket(SimHost& host, Caller& caller) {
    std::string ticket;
    const bool answered = RunHost(host, [&, this] {
      Outcome<std::vector<std::string>> tickets = Capture<std::vector<std::string>>([&, this] {
        return IssueTickets(*states_.at(host.id).tickets, caller.name, 1, world_.clock.now, random_);
      });
      if (Ok(tickets)) ticket = Value(tickets).front();
    });
    if (answered) caller.ticket = ticket;
  }

  void SendCall(std::size_t index) {
    SimHost* host = PickHost();
    if (host == nullptr) return;
    const Caller caller = callers_[index];
    if (caller.with_ticket && caller.ticket.empty()) return FetchTicket(*host, callers_[index]);
    const Effect effect = OnCall({caller.name, "caller.once", host->id});
    const bool repeated = TakePendingFault(Fault::kBalancerRepeats);
    Outcome<ServiceAnswer> answer = Error{};
    bool answered = RunHost(*host, [&, this] { answer = HandleCall(host->id, caller); });
    SimHost* other = repeated ? PickHost() : nullptr;
    if (other != nullptr) answered = RunHost(*other, [&, this] { answer = HandleCall(other->id, caller); });
    if (!answered || effect == Effect::kLoseAnswer) return;
    // If a host was paused in this call, later rounds may have finished the call or started another attempt.
    Caller& current = callers_[index];
    if (current.state == CallState::kOpen && current.attempt == caller.attempt)
      HandleOutcome(current, answer);
  }

  void HandleOutcome(Caller& caller, const Outcome<ServiceAnswer>& answer) {
    if (Ok(answer)) {
      if (Value(answer).body != absl::StrCat("done:", caller.body))
        ReportViolation(4, absl::StrCat(caller.name, " received the answer of another request"));
      return FinishCaller(caller, CallState::kAnswered);
    }
    const ErrorAnswer& refusal = DescribeError(ErrorOf(answer).kind);
    if (refusal.not_run) {
      const auto found = world_.services.runs.find(caller.body);
      if (found != world_.services.runs.end())
        ReportViolation(5, absl::StrCat(caller.name, " received \"", std::string(refusal.name),
                                        "\", which means \"not run\", after its request had run"));
      if (caller.gives_up) return FinishCaller(caller, CallState::kNotRun);
      caller.attempt += 1;
      return;
    }
    if (ErrorOf(answer).kind == ErrorKind::kOutcomeUnknown &&
        ++caller.unknown_outcomes == kMaxUnknownOutcomes)
      FinishCaller(caller, CallState::kUnknown);
  }

  void FinishCaller(Caller& caller, CallState state) {
    caller.state = state;
    result_.served += state == CallState::kAnswered;
    last_progress_at_ = world_.clock.now;
  }

  std::map<HostId, CallHost> states_;
  std::vector<Caller> callers_;
  int waves_ = 0;
  int writes_ = 0;
};

}  // namespace

RunResult RunCalls(const RunSpec& spec) { return CallsScenario(spec).Run(); }

}  // namespace oleander::matrix
