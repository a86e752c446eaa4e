// Simulates N hosts in one process: the production membership and configuration modules over in-memory
// message passing with a manual clock. Used by bench_control and tests. The seed determines the run.
#ifndef OLEANDER_BENCH_CONTROL_NETWORK_H_
#define OLEANDER_BENCH_CONTROL_NETWORK_H_

#include <time.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "oleander/config.h"
#include "oleander/membership.h"

namespace oleander {

// Kinds of messages between hosts: gossip, in the order of GossipKind, and configuration documents.
enum class Traffic { kPing, kAck, kPingRequest, kPush, kConfig };
inline constexpr std::array<const char*, 5> kTrafficNames = {"ping", "ack", "ping-req", "push", "config"};

struct TrafficCount {
  std::int64_t messages = 0;
  std::int64_t bytes = 0;  // of message bodies
};

struct ControlOptions {
  int hosts = 12;                                    //
  int upstreams = 24;                                //
  int zones = 4;                                     //
  std::uint64_t seed = 1;                            //
  double loss = 0;                                   // fraction of messages lost
  double duplicate = 0;                              // fraction of messages delivered twice
  absl::Duration min_delay = absl::Milliseconds(1);  // one way
  absl::Duration max_delay = absl::Milliseconds(3);  // one way; the random delay reorders messages
  absl::Duration tick = absl::Milliseconds(100);     //
  absl::Duration list_period = absl::Seconds(10);    //
  bool full_mesh = false;                            // instead of gossip: one message a second to each host
  bool relay_config = true;                          // forward new configuration to peers
};

struct ControlHost {
  Membership membership;
  ConfigState config;
  std::mt19937_64 random;
  bool up = true;
  absl::Time next_list;
  std::array<TrafficCount, 5> sent = {};
};

// The platform's table and list, with counters of table accesses.
struct ControlPlatform {
  bool up = true;
  std::map<std::string, TableRow> rows;
  std::int64_t revision = 0;
  std::int64_t reads = 0;
  std::int64_t writes = 0;
  PlatformList list;
};

inline TablePort MakeMemoryTable(ControlPlatform& platform) {
  TablePort port;
  port.read = [&platform](const std::string& key) -> leaf::result<TableRow> {
    ++platform.reads;
    if (!platform.up) return Fail(ErrorKind::kStoreUnavailable, "the in-memory table is down");
    const auto it = platform.rows.find(key);
    return it == platform.rows.end() ? TableRow{key, "", 0} : it->second;
  };
  port.list = [](const std::string&, int) -> leaf::result<std::vector<TableRow>> {
    return std::vector<TableRow>();
  };
  port.commit = [&platform](const TableTxn& txn) -> leaf::result<TxnOutcome> {
    ++platform.writes;
    if (!platform.up) return Fail(ErrorKind::kStoreUnavailable, "the in-memory table is down");
    TxnOutcome outcome;
    outcome.committed = true;
    for (const TableCompare& it : txn.compares) {
      const TableRow row =
          platform.rows.count(it.key) != 0 ? platform.rows.at(it.key) : TableRow{it.key, "", 0};
      outcome.committed = outcome.committed && row.revision == it.revision;
      outcome.current.push_back(row);
    }
    if (!outcome.committed) return outcome;
    outcome.current.clear();
    outcome.revision = ++platform.revision;
    for (const TableWrite& it : txn.writes)
      platform.rows[it.key] = {it.key, it.value.value_or(""), outcome.revision};
    return outcome;
  };
  return port;
}

class ControlNetwork {
 public:
  explicit ControlNetwork(const ControlOptions& options) : options_(options), random_(options.seed) {
    for (int it = 0; it < options.upstreams; ++it)
      platform.list.upstreams.push_back({absl::StrCat("engine-", it),
                                         UpstreamKind::kEngine,
                                         "model",
                                         ZoneOf(it),
                                         {"10.1.0.1", 8000},
                                         UpstreamState::kLive});
    for (int it = 0; it < options.hosts; ++it)
      platform.list.hosts.push_back({IdOf(it), ZoneOf(it), {"10.0.0.1", 1000 + it}, false});
    table_ = MakeMemoryTable(platform);
    hosts.resize(static_cast<std::size_t>(options.hosts));
    for (int it = 0; it < options.hosts; ++it) {
      index_[IdOf(it)] = it;
      StartHost(it);
      events_.push({now + RandomDelay(absl::ZeroDuration(), options.tick), ++order_, it, Traffic::kPing, ""});
    }
  }

  // (Re)starts a host with an empty state and a new incarnation.
  void StartHost(int index) {
    ControlHost& host = hosts[static_cast<std::size_t>(index)];
    const std::array<TrafficCount, 5> sent = host.sent;
    host = ControlHost();
    host.sent = sent;
    host.random.seed(random_());
    Member& self = host.membership.self;
    self.id = IdOf(index);
    self.zone = ZoneOf(index);
    self.peer = {"10.0.0.1", 1000 + index};
    self.incarnation = absl::ToUnixMillis(now);
    host.membership.next_ping = now + RandomDelay(absl::ZeroDuration(), absl::Seconds(1));
    host.next_list = now + RandomDelay(absl::ZeroDuration(), options_.list_period);
    host.config.next_poll = now + RandomDelay(absl::ZeroDuration(), ConfigPollInterval(options_.hosts));
    ApplyPlatformList(host.membership, platform.list, now);
    (void)PollConfigNow(host);
  }

  // Runs until `until` returns true, but no longer than `limit`. Returns the elapsed time.
  absl::Duration Run(absl::Duration limit, const std::function<bool()>& until = nullptr) {
    const absl::Time start = now;
    while (!events_.empty() && events_.top().at <= start + limit) {
      if (until != nullptr && until()) return now - start;
      const Event event = events_.top();
      events_.pop();
      now = event.at;
      if (event.bytes.empty()) {
        Tick(event.to);
        events_.push({now + options_.tick, ++order_, event.to, Traffic::kPing, ""});
      } else if (hosts[static_cast<std::size_t>(event.to)].up) {
        Receive(event);
      }
    }
    now = start + limit;
    return limit;
  }

  // Commits a configuration change at a host, as its operator API does. Returns false if it was refused.
  bool ChangeConfig(int index, int call_deadline_ms) {
    ControlHost& host = hosts[static_cast<std::size_t>(index)];
    ConfigChange change;
    change.expected_version = host.config.current.version;
    change.policy = host.config.current.policy;
    change.policy.call_deadline_ms = call_deadline_ms;
    change.changed_by = "operator";
    change.write_id = absl::StrCat("change-", ++order_);
    const Outcome<ConfigDocument> outcome =
        Capture<ConfigDocument>([&] { return ProposeConfig(table_, change, &host.config.current); });
    if (Ok(outcome)) ReceiveConfig(host, Value(outcome), true);
    return Ok(outcome);
  }

  std::int64_t LowestConfigVersion() const {
    std::int64_t lowest = std::numeric_limits<std::int64_t>::max();
    for (const ControlHost& it : hosts)
      if (it.up) lowest = std::min(lowest, it.config.current.version);
    return lowest;
  }
  // True if `predicate` holds for every running host other than `subject`.
  bool AllOthers(int subject, const std::function<bool(const ControlHost&)>& predicate) const {
    for (int it = 0; it < options_.hosts; ++it) {
      const ControlHost& host = hosts[static_cast<std::size_t>(it)];
      if (it != subject && host.up && !predicate(host)) return false;
    }
    return true;
  }
  bool AllSee(int subject, MemberState state) const {
    return AllOthers(subject, [&](const ControlHost& host) {
      const auto it = host.membership.members.find(IdOf(subject));
      return it != host.membership.members.end() && it->second.member.state == state;
    });
  }
  std::int64_t FalseSuspicions() const {
    std::int64_t sum = 0;
    for (const ControlHost& it : hosts) sum += it.membership.false_suspicions;
    return sum;
  }
  std::array<TrafficCount, 5> Sent() const {
    std::array<TrafficCount, 5> sum = {};
    for (const ControlHost& host : hosts) {
      for (std::size_t it = 0; it < sum.size(); ++it) {
        sum[it].messages += host.sent[it].messages;
        sum[it].bytes += host.sent[it].bytes;
      }
    }
    return sum;
  }
  static HostId IdOf(int index) { return absl::StrCat("host-", index); }
  ZoneId ZoneOf(int index) const { return absl::StrCat("zone-", index % options_.zones); }

  std::vector<ControlHost> hosts;
  ControlPlatform platform;
  absl::Time now = absl::FromUnixSeconds(1'700'000'000);
  std::function<bool(int from, int to)> cut;  // true: messages between the hosts are lost
  double cpu_seconds = 0;                     // CPU time of the modules, including encoding and decoding

 private:
  struct Event {
    absl::Time at;
    std::uint64_t order = 0;
    int to = 0;
    Traffic kind = Traffic::kPing;
    std::string bytes;  // empty: a tick
    int from = 0;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  static double ThreadCpuSeconds() {
    timespec time;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
  }
  absl::Duration RandomDelay(absl::Duration low, absl::Duration high) {
    return low + (high - low) * std::uniform_real_distribution<double>(0, 1)(random_);
  }
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  void Send(ControlHost& host, const HostId& to, Traffic kind, const std::string& bytes) {
    const auto it = index_.find(to);
    if (it == index_.end()) return;
    TrafficCount& count = host.sent[static_cast<std::size_t>(kind)];
    ++count.messages;
    count.bytes += static_cast<std::int64_t>(bytes.size());
    const int from = index_.at(host.membership.self.id);
    if ((cut != nullptr && cut(from, it->second)) || Chance(options_.loss)) return;
    const int copies = Chance(options_.duplicate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      events_.push({now + RandomDelay(options_.min_delay, options_.max_delay), ++order_, it->second, kind,
                    bytes, from});
    }
  }
  void SendAll(ControlHost& host, const std::vector<Outgoing>& out) {
    for (const Outgoing& it : out)
      Send(host, it.to, static_cast<Traffic>(it.message.kind), EncodeGossip(it.message));
  }

  void PushConfig(ControlHost& host) {
    const std::vector<Member> live = LiveMembers(host.membership);
    std::vector<Member> chosen;
    std::sample(live.begin(), live.end(), std::back_inserter(chosen), 3, host.random);
    const std::vector<std::uint8_t> bytes = Json::to_msgpack(ToJson(host.config.current));
    for (const Member& it : chosen) {
      if (it.id != host.membership.self.id)
        Send(host, it.id, Traffic::kConfig, std::string(bytes.begin(), bytes.end()));
    }
  }
  void ReceiveConfig(ControlHost& host, const ConfigDocument& document, bool from_table) {
    const ConfigUpdate update = ApplyConfig(host.config, document, from_table, now);
    host.membership.self.config_version = host.config.current.version;
    if (update == ConfigUpdate::kNewer && options_.relay_config) PushConfig(host);
  }
  ConfigUpdate PollConfigNow(ControlHost& host) {
    const std::int64_t reads = platform.reads;
    const ConfigUpdate update = PollConfig(host.config, table_, options_.hosts, now, host.random);
    host.membership.self.config_version = host.config.current.version;
    host.membership.self.table_reachable = platform.up;
    if (platform.reads != reads && platform.up) host.membership.newest_table_answer = now;
    if (update == ConfigUpdate::kNewer && options_.relay_config && host.config.current.version > 1)
      PushConfig(host);
    return update;
  }

  void Tick(int index) {
    ControlHost& host = hosts[static_cast<std::size_t>(index)];
    if (!host.up) return;
    const double start = ThreadCpuSeconds();
    if (now >= host.next_list) {
      host.next_list = now + options_.list_period;
      ApplyPlatformList(host.membership, platform.list, now);
    }
    PollConfigNow(host);
    if (options_.full_mesh) {
      TickFullMesh(host);
    } else {
      SendAll(host, TickMembership(host.membership, now, host.random));
    }
    cpu_seconds += ThreadCpuSeconds() - start;
  }
  void TickFullMesh(ControlHost& host) {
    if (now < host.membership.next_ping) return;
    host.membership.next_ping += host.membership.limits.period;
    GossipMessage message;
    message.kind = GossipKind::kPush;
    message.sender = host.membership.self;
    const std::string bytes = EncodeGossip(message);
    for (const auto& it : host.membership.members) Send(host, it.first, Traffic::kPush, bytes);
  }
  void Receive(const Event& event) {
    ControlHost& host = hosts[static_cast<std::size_t>(event.to)];
    const double start = ThreadCpuSeconds();
    if (event.kind == Traffic::kConfig) {
      const Json json = Json::from_msgpack(event.bytes, true, false);
      const Outcome<ConfigDocument> document = Capture<ConfigDocument>([&] { return ConfigFromJson(json); });
      if (Ok(document)) ReceiveConfig(host, Value(document), false);
    } else {
      const Outcome<GossipMessage> message =
          Capture<GossipMessage>([&] { return DecodeGossip(event.bytes); });
      if (Ok(message)) {
        SendAll(host, ReceiveGossip(host.membership, Value(message), now, host.random));
        if (options_.relay_config)
          HandlePeerVersion(host.config, Value(message).sender.config_version,
                            host.membership.newest_table_answer, now, host.random);
      }
    }
    cpu_seconds += ThreadCpuSeconds() - start;
  }

  ControlOptions options_;
  std::mt19937_64 random_;
  TablePort table_;
  std::map<HostId, int> index_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
};

}  // namespace oleander

#endif  // OLEANDER_BENCH_CONTROL_NETWORK_H_
