// Measures the control traffic of N hosts (membership, upstream list and configuration) with the production
// modules.
//
//   bench_control --hosts 370 --upstreams 2900 --seed 1 [--json FILE]   one process, manual clock
//   bench_control --hosts 12 --upstreams 24 --links                     real peer links over loopback
//
// With the manual clock, messages between hosts take 1 to 3 ms and reported times are simulated; CPU time is
// real.
#include <malloc.h>
#include <sys/resource.h>
#include <tclap/CmdLine.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <memory>
#include <mutex>
#include <thread>

#include "absl/time/clock.h"
#include "control_network.h"
#include "oleander/peer_link.h"

namespace oleander {
namespace {

constexpr absl::Duration kWarmUpTime = absl::Seconds(20);
constexpr absl::Duration kIdleTime = absl::Seconds(20);
constexpr absl::Duration kChurnTime = absl::Minutes(1);
constexpr int kRepetitions = 3;

double Seconds(absl::Duration duration) { return absl::ToDoubleSeconds(duration); }

// Counters at one point in time.
struct CounterSnapshot {
  std::array<TrafficCount, 5> sent;
  double cpu_seconds = 0;
  std::int64_t reads = 0;
  std::int64_t writes = 0;
  std::int64_t false_suspicions = 0;
  absl::Time at;
};
CounterSnapshot TakeSnapshot(const ControlNetwork& network) {
  return {network.Sent(),          network.cpu_seconds,       network.platform.reads,
          network.platform.writes, network.FalseSuspicions(), network.now};
}
// Differences between two snapshots, per second or per host and second.
Json RatesBetween(const CounterSnapshot& before, const CounterSnapshot& after, int hosts) {
  const double seconds = Seconds(after.at - before.at);
  const double host_seconds = seconds * hosts;
  Json json;
  double bytes = 0;
  double messages = 0;
  for (std::size_t it = 0; it < kTrafficNames.size(); ++it) {
    const double n = static_cast<double>(after.sent[it].messages - before.sent[it].messages) / host_seconds;
    const double b = static_cast<double>(after.sent[it].bytes - before.sent[it].bytes) / host_seconds;
    json["by_kind"][kTrafficNames[it]] = {{"messages_per_s", n}, {"bytes_per_s", b}};
    messages += n;
    bytes += b;
  }
  json["sent_messages_per_host_s"] = messages;
  json["sent_body_bytes_per_host_s"] = bytes;
  json["processor_percent_of_core"] = 100 * (after.cpu_seconds - before.cpu_seconds) / host_seconds;
  json["table_reads_per_s"] = static_cast<double>(after.reads - before.reads) / seconds;
  json["table_writes_per_s"] = static_cast<double>(after.writes - before.writes) / seconds;
  json["false_suspicions"] = after.false_suspicions - before.false_suspicions;
  return json;
}
Json Measure(ControlNetwork& network, int hosts, absl::Duration duration) {
  const CounterSnapshot before = TakeSnapshot(network);
  network.Run(duration);
  return RatesBetween(before, TakeSnapshot(network), hosts);
}

Json Summary(const std::vector<double>& values) {
  double sum = 0;
  for (const double it : values) sum += it;
  return {{"mean", sum / static_cast<double>(values.size())},
          {"max", *std::max_element(values.begin(), values.end())},
          {"n", values.size()}};
}

bool AllConfirmed(const ControlNetwork& network) {
  return network.AllOthers(-1,
                           [&](const ControlHost& it) { return ConfigConfirmed(it.config, network.now); });
}

// Makes `changes` changes at the given interval. Measures the seconds from acceptance of a change until the
// last host has it in force.
Json MeasureChanges(ControlNetwork& network, int hosts, int changes, absl::Duration interval) {
  const CounterSnapshot before = TakeSnapshot(network);
  std::vector<double> seconds;
  std::vector<std::pair<std::int64_t, absl::Time>> pending;
  const auto record_in_force = [&] {
    const std::int64_t lowest = network.LowestConfigVersion();
    for (auto it = pending.begin(); it != pending.end();) {
      if (it->first > lowest) {
        ++it;
        continue;
      }
      seconds.push_back(Seconds(network.now - it->second));
      it = pending.erase(it);
    }
    return false;
  };
  for (int it = 0; it < changes; ++it) {
    // All changes go through one host, because a change must name the version that it replaces.
    if (network.ChangeConfig(0, 1000 + it % 1000))
      pending.emplace_back(network.hosts[0].config.current.version, network.now);
    for (const absl::Time end = network.now + interval; network.now < end;) {
      network.Run(std::min(absl::Milliseconds(5), end - network.now));
      record_in_force();
    }
  }
  for (const absl::Time end = network.now + absl::Seconds(60); !pending.empty() && network.now < end;
       record_in_force())
    network.Run(absl::Milliseconds(20));
  Json json = RatesBetween(before, TakeSnapshot(network), hosts);
  json["changes"] = changes;
  json["not_in_force_after_60_s"] = pending.size();
  if (!seconds.empty()) json["seconds_to_last_host"] = Summary(seconds);
  return json;
}

Json MeasureEvents(ControlNetwork& network, int hosts) {
  std::vector<double> upstream, leaving, death;
  for (int it = 0; it < kRepetitions; ++it) {
    const UpstreamId id = absl::StrCat("engine-", it);
    ObserveUpstream(network.hosts[static_cast<std::size_t>(it)].membership, id, UpstreamState::kLeaving,
                    network.now);
    upstream.push_back(Seconds(network.Run(absl::Seconds(60), [&] {
      return network.AllOthers(-1, [&](const ControlHost& host) {
        return host.membership.upstreams.at(id).state == UpstreamState::kLeaving;
      });
    })));
    const int subject = 1 + it;
    AnnounceLeaving(network.hosts[static_cast<std::size_t>(subject)].membership);
    leaving.push_back(Seconds(network.Run(absl::Seconds(60), [&] {
      return network.AllOthers(subject, [&](const ControlHost& host) {
        return host.membership.members.at(ControlNetwork::IdOf(subject)).member.leaving;
      });
    })));
    const int dead = hosts - 1 - it;
    network.hosts[static_cast<std::size_t>(dead)].up = false;
    death.push_back(
        Seconds(network.Run(absl::Seconds(60), [&] { return network.AllSee(dead, MemberState::kDead); })));
    network.Run(absl::Seconds(20));
    network.StartHost(subject);
    network.StartHost(dead);
    network.Run(absl::Seconds(20));
  }
  return {{"upstream_leaving_s", Summary(upstream)},
          {"host_leaving_s", Summary(leaving)},
          {"host_death_s", Summary(death)}};
}

// 2% of the hosts are killed and restarted each minute.
Json MeasureChurn(ControlNetwork& network, int hosts, std::mt19937_64& random) {
  const CounterSnapshot before = TakeSnapshot(network);
  const absl::Duration gap = absl::Minutes(1) / std::max(1.0, 0.02 * hosts);
  const absl::Time end = network.now + kChurnTime;
  int replaced = 0;
  while (network.now < end) {
    const int subject = static_cast<int>(random() % static_cast<std::uint64_t>(hosts));
    network.hosts[static_cast<std::size_t>(subject)].up = false;
    network.Run(gap);
    network.StartHost(subject);
    ++replaced;
  }
  Json json = RatesBetween(before, TakeSnapshot(network), hosts);
  json["replaced"] = replaced;
  return json;
}

// Cuts the hosts into two halves for `duration`. Then measures the time until every host sees all others
// live.
Json MeasurePartition(ControlNetwork& network, int hosts, absl::Duration duration) {
  const auto region = [](int host) { return host % 4 / 2; };
  network.cut = [&](int from, int to) { return region(from) != region(to); };
  Json json;
  json["apart"] = Measure(network, hosts, duration);
  network.cut = nullptr;
  const CounterSnapshot before = TakeSnapshot(network);
  const absl::Duration took = network.Run(absl::Minutes(5), [&] {
    return network.AllOthers(-1, [&](const ControlHost& host) {
      return LiveMembers(host.membership).size() == static_cast<std::size_t>(hosts);
    });
  });
  json["together"] = RatesBetween(before, TakeSnapshot(network), hosts);
  json["seconds_apart"] = Seconds(duration);
  json["seconds_until_whole"] = Seconds(took);
  return json;
}

Json MeasureManual(const ControlOptions& options, double partition_s) {
  Json json;
  const int hosts = options.hosts;
  std::mt19937_64 random(options.seed + 1);
  const std::size_t heap = mallinfo2().uordblks;
  ControlNetwork network(options);
  network.ChangeConfig(0, 1000);
  network.Run(kWarmUpTime);
  json["control_state_kib_per_host"] =
      static_cast<double>(mallinfo2().uordblks - heap) / 1024.0 / static_cast<double>(hosts);
  json["at_rest"] = Measure(network, hosts, kIdleTime);
  int confirmed = 0;
  for (int it = 0; it < 100; ++it) {
    network.Run(absl::Milliseconds(200));
    confirmed += AllConfirmed(network) ? 1 : 0;
  }
  json["percent_of_time_all_hosts_confirmed"] = confirmed;
  json["events"] = MeasureEvents(network, hosts);
  json["config_15000_a_day"] = MeasureChanges(network, hosts, 4, absl::Seconds(5.76));
  json["config_burst_10_per_s"] = MeasureChanges(network, hosts, 50, absl::Milliseconds(100));
  json["churn_2_percent_a_minute"] = MeasureChurn(network, hosts, random);
  if (partition_s > 0) json["partition"] = MeasurePartition(network, hosts, absl::Seconds(partition_s));

  ControlOptions mesh = options;
  mesh.full_mesh = true;
  ControlNetwork mesh_network(mesh);
  mesh_network.Run(absl::Seconds(2));
  json["baseline_full_mesh_at_rest"] = Measure(mesh_network, hosts, absl::Seconds(10));

  ControlOptions polling = options;
  polling.relay_config = false;
  ControlNetwork polling_network(polling);
  polling_network.ChangeConfig(0, 1000);
  polling_network.Run(kWarmUpTime);
  json["baseline_polling_only"] = MeasureChanges(polling_network, hosts, 3, absl::Seconds(5.76));
  return json;
}

// ---- Real links

struct LinkHost {
  std::mutex mutex;  // guards `state`
  ControlHost state;
  PeerServerPtr server;
  PeerClientPtr client;
};

void SendOverLink(LinkHost& host, const Outgoing& out);

// Returns the ack if the message was a ping; sends all other messages over links.
std::string ReceiveOverLink(LinkHost& host, const std::string& bytes) {
  const Outcome<GossipMessage> message = Capture<GossipMessage>([&] { return DecodeGossip(bytes); });
  if (!Ok(message)) return "";
  std::string answer;
  const std::lock_guard<std::mutex> lock(host.mutex);
  for (const Outgoing& it :
       ReceiveGossip(host.state.membership, Value(message), absl::Now(), host.state.random)) {
    const bool is_answer = Value(message).kind == GossipKind::kPing && it.message.kind == GossipKind::kAck &&
                           it.message.sequence == Value(message).sequence;
    if (is_answer) {
      answer = EncodeGossip(it.message);
    } else {
      SendOverLink(host, it);
    }
  }
  return answer;
}

// The caller holds host.mutex.
void SendOverLink(LinkHost& host, const Outgoing& out) {
  const std::string bytes = EncodeGossip(out.message);
  const auto it = host.state.membership.members.find(out.to);
  if (it == host.state.membership.members.end()) return;
  TrafficCount& count = host.state.sent[static_cast<std::size_t>(out.message.kind)];
  ++count.messages;
  count.bytes += static_cast<std::int64_t>(bytes.size());
  NotifyPeer(*host.client, it->second.member.peer, std::string(NameOf(out.message.kind)), bytes,
             [&host](const std::string& answer) {
               if (!answer.empty()) ReceiveOverLink(host, answer);
             });
}

double ProcessCpuSeconds() {
  rusage usage;
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + 1e-6 * static_cast<double>(time.tv_usec);
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

Json MeasureLinks(const ControlOptions& options, absl::Duration duration) {
  std::vector<std::unique_ptr<LinkHost>> hosts;
  PlatformList list;
  for (int it = 0; it < options.hosts; ++it) {
    hosts.push_back(std::make_unique<LinkHost>());
    LinkHost& host = *hosts.back();
    Outcome<PeerServerPtr> server = Capture<PeerServerPtr>([&] {
      return StartPeerServer(
          {"127.0.0.1", 0}, "bench-secret", {},
          [&host](const std::string&, const std::string& body, const PeerSink&) -> leaf::result<std::string> {
            return ReceiveOverLink(host, body);
          });
    });
    if (!Ok(server)) return {{"error", ErrorOf(server).detail}};
    host.server = std::move(Value(server));
    host.client = MakePeerClient("bench-secret", {});
    host.state.random.seed(options.seed + static_cast<std::uint64_t>(it));
    Member& self = host.state.membership.self;
    self.id = ControlNetwork::IdOf(it);
    self.zone = absl::StrCat("zone-", it % options.zones);
    self.peer = {"127.0.0.1", PeerServerPort(*host.server)};
    self.incarnation = absl::ToUnixMillis(absl::Now());
    list.hosts.push_back({self.id, self.zone, self.peer, false});
  }
  for (int it = 0; it < options.upstreams; ++it)
    list.upstreams.push_back({absl::StrCat("engine-", it),
                              UpstreamKind::kEngine,
                              "model",
                              absl::StrCat("zone-", it % options.zones),
                              {"10.1.0.1", 8000},
                              UpstreamState::kLive});
  for (const auto& it : hosts) {
    const std::lock_guard<std::mutex> lock(it->mutex);
    ApplyPlatformList(it->state.membership, list, absl::Now());
  }
  std::atomic<bool> stop{false};
  std::vector<std::thread> threads;
  for (const auto& it : hosts) {
    threads.emplace_back([&stop, &host = *it] {
      while (!stop) {
        {
          const std::lock_guard<std::mutex> lock(host.mutex);
          for (const Outgoing& out : TickMembership(host.state.membership, absl::Now(), host.state.random))
            SendOverLink(host, out);
        }
        absl::SleepFor(absl::Milliseconds(100));
      }
    });
  }
  absl::SleepFor(absl::Seconds(5));
  const auto read = [&](std::int64_t& socket_bytes, std::int64_t& bodies, std::int64_t& messages,
                        std::int64_t& connections) {
    socket_bytes = bodies = messages = connections = 0;
    for (const auto& it : hosts) {
      const PeerTraffic client = PeerClientTraffic(*it->client);
      socket_bytes += client.bytes_sent + PeerServerTraffic(*it->server).bytes_sent;
      connections += client.connections;
      const std::lock_guard<std::mutex> lock(it->mutex);
      for (const TrafficCount& count : it->state.sent) {
        messages += count.messages;
        bodies += count.bytes;
      }
    }
  };
  std::int64_t bytes[2], bodies[2], messages[2], connections[2];
  read(bytes[0], bodies[0], messages[0], connections[0]);
  const double cpu_start = ProcessCpuSeconds();
  absl::SleepFor(duration);
  read(bytes[1], bodies[1], messages[1], connections[1]);
  const double host_seconds = Seconds(duration) * options.hosts;
  Json json;
  json["processor_percent_of_core"] = 100 * (ProcessCpuSeconds() - cpu_start) / host_seconds;
  json["socket_bytes_sent_per_host_s"] = static_cast<double>(bytes[1] - bytes[0]) / host_seconds;
  // Acks are returned as responses, so they count as socket bytes but not as request bodies.
  json["request_body_bytes_per_host_s"] = static_cast<double>(bodies[1] - bodies[0]) / host_seconds;
  json["requests_per_host_s"] = static_cast<double>(messages[1] - messages[0]) / host_seconds;
  json["connections_opened_per_host_s"] = static_cast<double>(connections[1] - connections[0]) / host_seconds;

  std::vector<double> leaving;
  for (int it = 0; it < std::min(kRepetitions, options.hosts); ++it) {
    const UpstreamId id = absl::StrCat("engine-", it);
    const absl::Time start = absl::Now();
    {
      LinkHost& host = *hosts[static_cast<std::size_t>(it)];
      const std::lock_guard<std::mutex> lock(host.mutex);
      ObserveUpstream(host.state.membership, id, UpstreamState::kLeaving, start);
    }
    bool known = false;
    while (!known && absl::Now() - start < absl::Seconds(10)) {
      absl::SleepFor(absl::Milliseconds(5));
      known = true;
      for (const auto& host : hosts) {
        const std::lock_guard<std::mutex> lock(host->mutex);
        known = known && host->state.membership.upstreams.at(id).state == UpstreamState::kLeaving;
      }
    }
    leaving.push_back(Seconds(absl::Now() - start));
  }
  json["upstream_leaving_s"] = Summary(leaving);
  std::int64_t suspicions = 0;
  for (const auto& it : hosts) {
    const std::lock_guard<std::mutex> lock(it->mutex);
    suspicions += it->state.membership.false_suspicions;
  }
  json["false_suspicions"] = suspicions;
  stop = true;
  for (std::thread& it : threads) it.join();
  // Clients are destroyed first because their threads call back into the hosts.
  for (const auto& it : hosts) it->client.reset();
  for (const auto& it : hosts) it->server.reset();
  return json;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Measures the control traffic of N hosts", ' ', "1");
  TCLAP::ValueArg<int> hosts("", "hosts", "number of hosts", false, 12, "N", command);
  TCLAP::ValueArg<int> upstreams("", "upstreams", "number of upstreams", false, 24, "M", command);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the run", false, 1, "S", command);
  TCLAP::ValueArg<double> seconds("", "seconds", "duration of the measurement with --links, in s", false, 20,
                                  "T", command);
  TCLAP::ValueArg<double> partition("", "partition", "s that two regions are partitioned; 0: no partition",
                                    false, 0, "T", command);
  TCLAP::ValueArg<std::string> file("", "json", "write the report to this file", false, "", "FILE", command);
  TCLAP::SwitchArg links("", "links", "real peer links over loopback, at most 24 hosts", command);
  command.parse(argc, argv);
  ControlOptions options;
  options.hosts = hosts.getValue();
  options.upstreams = upstreams.getValue();
  options.seed = seed.getValue();
  if (options.hosts < 8 || options.upstreams < kRepetitions || (links.getValue() && options.hosts > 24)) {
    std::fprintf(stderr, "expected --hosts 8 or more (8 to 24 with --links) and --upstreams 3 or more\n");
    return 2;
  }
  Json json = links.getValue() ? MeasureLinks(options, absl::Seconds(seconds.getValue()))
                               : MeasureManual(options, partition.getValue());
  json["hosts"] = options.hosts;
  json["upstreams"] = options.upstreams;
  json["seed"] = options.seed;
  const std::string text = json.dump(2);
  std::printf("%s\n", text.c_str());
  if (!file.getValue().empty()) std::ofstream(file.getValue()) << text << "\n";
  return json.contains("error") ? 1 : 0;
}

}  // namespace
}  // namespace oleander

int main(int argc, char** argv) { return oleander::Main(argc, argv); }
