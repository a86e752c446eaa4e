// Configuration changes, membership, start and shutdown of a host, and lookups at services, one of which may
// leave.
#include <algorithm>
#include <deque>
#include <memory>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "oleander/config.h"
#include "oleander/membership.h"
#include "oleander/routing.h"
#include "tests/matrix/scenarios.h"

namespace oleander::matrix {
namespace {

constexpr int kMinChanges = 2;   // more changes are made until every injection has fired
constexpr int kMaxChanges = 14;  //
constexpr int kLookupsPerRound = 2;
constexpr int kMaxAttempts = 3;                           // of one lookup, each at another upstream
constexpr absl::Duration kListPeriod = absl::Seconds(2);  //
constexpr absl::Duration kListDelay = absl::Seconds(1);  // until the platform's list shows a leaving upstream
constexpr absl::Duration kHostStartDelay = absl::Seconds(2);     // until host c starts
constexpr absl::Duration kHostShutdownDelay = absl::Seconds(5);  // until host b shuts down
constexpr absl::Duration kReplacementDelay = absl::Seconds(6);   // from exit of host b to its replacement
constexpr absl::Duration kDrainTime = absl::Seconds(3);          // from the announcement of leaving to exit
constexpr absl::Duration kChangePeriod = absl::Seconds(4);       //
constexpr absl::Duration kMaxLeavingDelay = absl::Seconds(3);    // invariant 7: no new work after this
constexpr absl::Duration kMaxConfigDelay = absl::Seconds(5);     // invariant 9: in force on all hosts

struct HostControl {
  Membership membership;
  ConfigState config;
  std::map<UpstreamId, std::shared_ptr<UpstreamStats>> stats;
  absl::Time next_list = absl::InfinitePast();
  std::int64_t highest_config = 0;  // highest version that this incarnation had in force
};

struct Lookup {
  std::string body;
  absl::Time since;
  bool answered = false;
};

struct AcceptedChange {
  absl::Time at;
  ConfigDocument document;
};

// Compares the fields in which the changes of this scenario differ.
bool SameContent(const ConfigDocument& a, const ConfigDocument& b) {
  return a.previous_hash == b.previous_hash && a.changed_by == b.changed_by &&
         a.policy.call_deadline_ms == b.policy.call_deadline_ms;
}

class HostsScenario : public ScenarioBase {
 public:
  explicit HostsScenario(const RunSpec& spec) : ScenarioBase(spec) {
    hosts_["b"].zone = "a";
    hosts_["c"].zone = "b";
    for (const auto& [id, zone] :
         std::map<UpstreamId, ZoneId>{{"lookup-1", "a"}, {"lookup-2", "a"}, {"lookup-3", "b"}}) {
      upstreams_[id] = {id, UpstreamKind::kService, "lookup", zone, {"127.0.0.1", 1}, UpstreamState::kLive};
      upstream_zones_[id] = zone;
    }
    OnRestart(hosts_.at("a"));
    OnRestart(hosts_.at("b"));
    first_list_ = ListNow();
    hosts_.at("c").alive = false;
    started_at_ = world_.clock.now;
    scheduled_.emplace(started_at_ + kHostStartDelay, [this] {
      hosts_.at("c").alive = true;
      OnRestart(hosts_.at("c"));
    });
    scheduled_.emplace(started_at_ + kHostShutdownDelay, [this] { ShutDown("b"); });
  }

 protected:
  void RunRound() override {
    for (auto& it : hosts_) {
      const HostId& id = it.first;
      RunHost(it.second, [&, this] { HostRound(id); });
    }
    for (int it = 0; it < kLookupsPerRound; ++it)
      lookups_.push_back({absl::StrCat("word-", lookups_.size()), world_.clock.now, false});
    for (std::size_t it = first_unanswered_; it < lookups_.size(); ++it) {
      if (!lookups_[it].answered) SendLookup(it);
    }
    while (first_unanswered_ < lookups_.size() && lookups_[first_unanswered_].answered) ++first_unanswered_;
    if (world_.clock.now >= next_change_ && WantsChange()) SendChange("operator");
  }

  bool IsDone() override {
    if (changes_accepted_ < kMinChanges || !host_replaced_) return false;
    return AllFired() || changes_accepted_ >= kMaxChanges;
  }

  void OnRestart(SimHost& host) override {
    HostControl control;
    control.membership.self.id = host.id;
    control.membership.self.zone = host.zone;
    control.membership.self.peer = {"127.0.0.1", 1};
    control.membership.self.incarnation = absl::ToUnixMillis(world_.clock.now);
    controls_[host.id] = std::move(control);
    MarkDisruption();
  }

  void CheckInvariants() override {
    for (const auto& [id, host] : hosts_) {
      if (!host.alive || host.paused || draining_.contains(id)) continue;
      HostControl& control = controls_.at(id);
      const std::int64_t version = control.config.current.version;
      if (version < control.highest_config)
        ReportViolation(
            9, absl::StrCat("a host's configuration went back from version ", control.highest_config));
      control.highest_config = std::max(control.highest_config, version);
      CheckInForce(control);
    }
    for (std::size_t it = first_unanswered_; it < lookups_.size(); ++it) {
      const absl::Time since = std::max(last_fault_end_, lookups_[it].since);
      if (!lookups_[it].answered && world_.clock.now - since > absl::Seconds(20))
        ReportViolation(0, "a lookup was not answered within 2 lease lifetimes");
    }
  }

  void RaceOperator(const Call& call) override {
    if (call.port == "caller.config" || call.target == kConfigKey) SendChange("rival");
  }

 private:
  bool AllFired() const { return next_injection_ == spec_.injections.size(); }

  bool WantsChange() const {
    return changes_accepted_ < kMinChanges || (!AllFired() && changes_accepted_ < kMaxChanges);
  }

  // After the bound, each accepted version or a newer one must be in force, with the accepted content.
  void CheckInForce(const HostControl& control) {
    for (const auto& [version, accepted] : accepted_) {
      const absl::Time bound = std::max(accepted.at, disrupted_until_) + kMaxConfigDelay;
      if (world_.clock.now > bound && control.config.current.version < version)
        ReportViolation(9, absl::StrCat("version ", version, " was not in force on every host after 5 s"));
      if (control.config.current.version == version &&
          !SameContent(control.config.current, accepted.document))
        ReportViolation(9, absl::StrCat("version ", version, " differs from the document that was accepted"));
    }
  }

  // ---- Platform's list

  PlatformList ListNow() const {
    PlatformList list;
    for (const auto& [id, host] : hosts_) list.hosts.push_back({id, host.zone, {"127.0.0.1", 1}, false});
    for (const auto& [id, upstream] : upstreams_) {
      list.upstreams.push_back(upstream);
      const auto leaving = leaving_.find(id);
      if (leaving != leaving_.end() && world_.clock.now >= leaving->second + kListDelay)
        list.upstreams.back().state = UpstreamState::kLeaving;
    }
    return list;
  }

  void FetchList(const HostId& id, HostControl& control) {
    if (world_.clock.now < control.next_list) return;
    control.next_list = world_.clock.now + kListPeriod;
    const Effect effect = OnCall({id, "list.fetch", "list"});
    if (effect != Effect::kPass) return;
    ApplyPlatformList(control.membership, list_lags_ ? first_list_ : ListNow(), world_.clock.now);
  }

  // ---- A host

  void HostRound(const HostId& id) {
    HostControl& control = controls_.at(id);
    FetchList(id, control);
    PollHostConfig(id, control);
    std::deque<std::pair<HostId, Outgoing>> messages;
    for (Outgoing& it : TickMembership(control.membership, world_.clock.now, random_))
      messages.emplace_back(id, std::move(it));
    Deliver(std::move(messages));
  }

  // Delivers messages and the replies to them until none is left, without delay.
  void Deliver(std::deque<std::pair<HostId, Outgoing>> messages) {
    while (!messages.empty()) {
      const auto [from, outgoing] = messages.front();
      messages.pop_front();
      if (!hosts_.contains(outgoing.to) || !hosts_.at(from).alive || hosts_.at(from).paused) continue;
      bool sent = false;
      RunHost(hosts_.at(from), [&, from = from, &outgoing = outgoing, this] {
        sent = OnCall({from, "peer.gossip", outgoing.to}) == Effect::kPass;
      });
      if (!sent || !CanTalk(from, outgoing.to)) continue;
      const HostId to = outgoing.to;
      RunHost(hosts_.at(to), [&, &outgoing = outgoing, this] {
        HostControl& control = controls_.at(to);
        const GossipMessage& message = outgoing.message;
        if (message.table_answer_age_ms >= 0)
          HandlePeerVersion(control.config, message.sender.config_version,
                            world_.clock.now - absl::Milliseconds(message.table_answer_age_ms),
                            world_.clock.now, random_);
        for (Outgoing& it : ReceiveGossip(control.membership, message, world_.clock.now, random_))
          messages.emplace_back(to, std::move(it));
        // As in the daemon, a peer that reports an older version is sent the document.
        if (message.sender.config_version < control.config.current.version)
          PushConfigTo(to, message.sender.id);
      });
    }
  }

  void PollHostConfig(const HostId& id, HostControl& control) {
    const std::int64_t before = control.config.current.version;
    // With the comparison of versions disabled, any document replaces the current one.
    ConfigState blank = control.config;
    if (!spec_.switches.config_version) blank.current = {};
    ConfigState& state = spec_.switches.config_version ? control.config : blank;
    const absl::Time confirmed = state.confirmed_at;
    PollConfig(state, world_.table.Port(id), static_cast<int>(hosts_.size()), world_.clock.now, random_);
    if (!spec_.switches.config_version) {
      if (blank.current.version == 0) blank.current = control.config.current;
      control.config = blank;
    }
    if (control.config.confirmed_at != confirmed) control.membership.newest_table_answer = world_.clock.now;
    control.membership.self.config_version = control.config.current.version;
    if (control.config.current.version > before) PushConfig(id);
  }

  void PushConfig(const HostId& from) {
    for (const auto& [id, host] : hosts_) {
      if (id != from) PushConfigTo(from, id);
    }
  }

  void PushConfigTo(const HostId& from, const HostId& to) {
    const ConfigDocument document = controls_.at(from).config.current;
    const bool sent = OnCall({from, "peer.config", to}) == Effect::kPass;
    if (!sent || !CanTalk(from, to)) return;
    RunHost(hosts_.at(to), [&, this] {
      HostControl& control = controls_.at(to);
      if (!spec_.switches.config_version) control.config.current = {};
      const ConfigUpdate update = ApplyConfig(control.config, document, false, world_.clock.now);
      control.membership.self.config_version = control.config.current.version;
      if (update == ConfigUpdate::kNewer && spec_.switches.config_version) PushConfig(to);
    });
  }

  // ---- Start and shutdown

  void ShutDown(const HostId& id) {
    SimHost& host = hosts_.at(id);
    if (!host.alive || host.paused) {
      scheduled_.emplace(world_.clock.now + kDrainTime, [this, id] { ShutDown(id); });
      return;
    }
    draining_.insert(id);
    AnnounceLeaving(controls_.at(id).membership);
    const std::int64_t incarnation = host.incarnation;
    scheduled_.emplace(world_.clock.now + kDrainTime, [this, id, incarnation] {
      SimHost& stopping = hosts_.at(id);
      draining_.erase(id);
      // While it drained, the host may have died and restarted, or have been paused.
      const bool exits = stopping.alive && !stopping.paused && stopping.incarnation == incarnation;
      if (exits) stopping.alive = false;
      scheduled_.emplace(world_.clock.now + kReplacementDelay, [this, id, exits] {
        if (exits) {
          hosts_.at(id).alive = true;
          hosts_.at(id).incarnation += 1;
          OnRestart(hosts_.at(id));
        }
        host_replaced_ = true;
        last_progress_at_ = world_.clock.now;
      });
    });
  }

  // ---- Lookups

  RoutingView ViewOf(HostControl& control) {
    RoutingView view;
    for (const auto& [id, upstream] : control.membership.upstreams) {
      UpstreamView row;
      row.upstream = upstream;
      std::shared_ptr<UpstreamStats>& stats = control.stats[id];
      if (stats == nullptr) stats = std::make_shared<UpstreamStats>();
      row.stats = stats;
      if (upstream.state != UpstreamState::kLive) row.leaving_since = world_.clock.now;
      view.upstreams.push_back(std::move(row));
    }
    view.zone = control.membership.self.zone;
    BuildViewIndexes(view, nullptr);
    return view;
  }

  Outcome<ServiceAnswer> CallUpstream(const HostId& id, const Upstream& upstream, const std::string& body) {
    const auto leaving = leaving_.find(upstream.id);
    const bool late = leaving != leaving_.end() &&
                      world_.clock.now > std::max(leaving->second, disrupted_until_) + kMaxLeavingDelay;
    ServiceRequest request;
    request.body = body;
    const int before = world_.services.runs[body];
    const Outcome<ServiceAnswer> answer =
        Capture<ServiceAnswer>([&, this] { return world_.services.Port(id).call(upstream, request); });
    if (late && world_.services.runs[body] > before)
      ReportViolation(
          7, absl::StrCat(upstream.id, " received new work more than 3 s after it announced leaving"));
    if (TakePendingFault(Fault::kUpstreamLeaves)) {
      // The upstream refused the call and announced that it is leaving.
      leaving_[upstream.id] = world_.clock.now;
      ObserveUpstream(controls_.at(id).membership, upstream.id, UpstreamState::kLeaving, world_.clock.now);
      scheduled_.emplace(world_.clock.now + absl::Seconds(30),
                         [this, upstream_id = upstream.id] { leaving_.erase(upstream_id); });
    }
    return answer;
  }

  Outcome<ServiceAnswer> HandleLookup(const HostId& id, const std::string& body) {
    if (draining_.contains(id)) return Error{ErrorKind::kShuttingDown, "the host is shutting down"};
    HostControl& control = controls_.at(id);
    std::vector<UpstreamId> tried;
    Outcome<ServiceAnswer> answer = Error{ErrorKind::kNoUpstream, "no upstream"};
    bool all_not_run = true;
    for (int it = 0; it < kMaxAttempts && !Ok(answer); ++it) {
      const RoutingView view = ViewOf(control);
      const Outcome<int> index =
          Capture<int>([&, this] { return PickService(view, "lookup", tried, world_.clock.now, random_); });
      if (!Ok(index)) break;
      const UpstreamView& row = view.upstreams[Value(index)];
      tried.push_back(row.upstream.id);
      const InFlightCall in_flight_call = StartCall(*row.stats, world_.clock.now);
      answer = CallUpstream(id, row.upstream, body);
      FinishCall(*row.stats, in_flight_call, UpstreamKind::kService,
                 Ok(answer) ? CallOutcome::kOk : CallOutcome::kFailed, world_.clock.now);
      all_not_run = all_not_run && (Ok(answer) || DescribeError(ErrorOf(answer).kind).not_run);
    }
    if (!Ok(answer) && !all_not_run) return Error{ErrorKind::kUpstreamFailed, "an attempt may have run"};
    return answer;
  }

  void SendLookup(std::size_t index) {
    SimHost* host = PickHost();
    if (host == nullptr) return;
    const std::string body = lookups_[index].body;
    const Effect effect = OnCall({"reader", "caller.lookup", host->id});
    const bool repeated = TakePendingFault(Fault::kBalancerRepeats);
    Outcome<ServiceAnswer> answer = Error{};
    const int before = world_.services.runs[body];
    bool answered = RunHost(*host, [&, this] { answer = HandleLookup(host->id, body); });
    SimHost* other = repeated ? PickHost() : nullptr;
    if (other != nullptr) answered = RunHost(*other, [&, this] { answer = HandleLookup(other->id, body); });
    if (!answered || effect == Effect::kLoseAnswer) return;
    if (!Ok(answer)) {
      if (!repeated && DescribeError(ErrorOf(answer).kind).not_run && world_.services.runs[body] > before &&
          !lookups_[index].answered)
        ReportViolation(5, "a lookup that ran was answered \"not run\"");
      return;
    }
    if (Value(answer).body != absl::StrCat("done:", body))
      ReportViolation(4, "a lookup received the answer of another request");
    result_.served += !lookups_[index].answered;
    lookups_[index].answered = true;
  }

  // ---- Configuration

  void SendChange(const std::string& who) {
    SimHost* host = PickHost();
    if (host == nullptr) return;
    PendingChange& pending = pending_[who];
    if (pending.write_id.empty()) {
      pending.write_id = absl::StrCat(who, "-", ++writes_);
      pending.deadline_ms = 1000 + writes_;
    }
    const PendingChange change = pending;
    Effect effect = Effect::kPass;
    if (who == "operator") effect = OnCall({who, "caller.config", host->id});
    Outcome<ConfigDocument> answer = Error{};
    bool answered = RunHost(*host, [&, this] { answer = Propose(host->id, who, change); });
    SimHost* other = TakePendingFault(Fault::kBalancerRepeats) ? PickHost() : nullptr;
    if (other != nullptr) answered = RunHost(*other, [&, this] { answer = Propose(other->id, who, change); });
    if (!answered || effect == Effect::kLoseAnswer || pending_[who].write_id != change.write_id) return;
    HandleChangeOutcome(who, answer);
  }

  struct PendingChange {
    std::string write_id;
    int deadline_ms = 0;
    std::int64_t expected = 0;
  };

  Outcome<ConfigDocument> Propose(const HostId& id, const std::string& who, const PendingChange& pending) {
    HostControl& control = controls_.at(id);
    ConfigChange change;
    change.expected_version = pending.expected;
    change.policy.call_deadline_ms = pending.deadline_ms;
    change.changed_by = who;
    change.write_id = pending.write_id;
    const ConfigDocument known = control.config.current;
    const Outcome<ConfigDocument> answer =
        Capture<ConfigDocument>([&, this] { return ProposeConfig(world_.table.Port(id), change, &known); });
    if (!Ok(answer)) return answer;
    if (ApplyConfig(control.config, Value(answer), true, world_.clock.now) == ConfigUpdate::kNewer) {
      control.membership.self.config_version = control.config.current.version;
      PushConfig(id);
    }
    return answer;
  }

  void HandleChangeOutcome(const std::string& who, const Outcome<ConfigDocument>& answer) {
    PendingChange& pending = pending_[who];
    if (!Ok(answer)) {
      if (ErrorOf(answer).kind != ErrorKind::kConflict) return;
      // The conflict contains the current document. The operator reads its version and proposes again.
      const Json other = Json::parse(ErrorOf(answer).detail, nullptr, false);
      if (other.is_object()) pending.expected = other.value("version", pending.expected);
      return;
    }
    const std::int64_t version = Value(answer).version;
    const auto [it, inserted] =
        accepted_.try_emplace(version, AcceptedChange{world_.clock.now, Value(answer)});
    if (!inserted && !SameContent(it->second.document, Value(answer)))
      ReportViolation(9, absl::StrCat("two changes were accepted as version ", version));
    pending = {"", 0, version};
    changes_accepted_ += 1;
    result_.served += 1;
    last_progress_at_ = world_.clock.now;
    next_change_ = world_.clock.now + kChangePeriod;
    // A restored table has the state before this change.
    std::swap(world_.table.saved, before_change_);
    before_change_ = world_.table.rows;
  }

  std::map<HostId, HostControl> controls_;
  std::map<UpstreamId, Upstream> upstreams_;
  std::map<UpstreamId, absl::Time> leaving_;
  std::set<HostId> draining_;
  PlatformList first_list_;
  std::vector<Lookup> lookups_;
  std::size_t first_unanswered_ = 0;
  std::map<std::string, PendingChange> pending_;
  std::map<std::int64_t, AcceptedChange> accepted_;
  absl::Time started_at_;
  absl::Time next_change_ = absl::InfinitePast();
  int changes_accepted_ = 0;
  int writes_ = 0;
  bool host_replaced_ = false;
  std::map<std::string, TableRow> before_change_;
};

}  // namespace

RunResult RunHosts(const RunSpec& spec) { return HostsScenario(spec).Run(); }

}  // namespace oleander::matrix
