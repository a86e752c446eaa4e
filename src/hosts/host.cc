// Startup, wiring and graceful shutdown of an entry host.
#include <algorithm>
#include <atomic>
#include <random>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "hosts/host_state.h"
#include "links/http_server.h"

namespace oleander {
namespace {

constexpr absl::Duration kUpstreamConnectTimeout = absl::Milliseconds(300);
// Longest time between two events of a generation's stream.
constexpr absl::Duration kEngineIdleTimeout = absl::Seconds(10);
constexpr int kScoringThreads = 32;
constexpr int kBackgroundThreads = 16;
constexpr std::size_t kTaskQueueCapacity = 65536;       // queued calls, generations and scorings
constexpr std::size_t kBackgroundQueueCapacity = 8192;  // queued streams, weight orders and load reports
// Peer handler threads in addition to those for generations: pings, batches, ticket calls.
constexpr int kOtherHandlerThreads = 64;
constexpr int kMaxPeerMessageBytes = 512 << 20;  // fits the batch of the largest allowed step
constexpr int kMaxPeerStreams = 4096;
constexpr absl::Duration kDrainPollInterval = absl::Milliseconds(20);
constexpr std::size_t kMaxAnnouncePeers = 8;  // peers that this host notifies directly that it is leaving
constexpr int kMaxFinalOutcomes = 1000;       // call outcomes recorded during shutdown

// Wraps the table port: each successful call is recorded as proof that the table can be reached.
TablePort WrapTablePort(Host& host, TablePort inner) {
  Host* const owner = &host;
  const auto record_answer = [owner](absl::Time start) {
    const absl::Time now = absl::Now();
    owner->table_answer_ns.store(absl::ToUnixNanos(now), std::memory_order_relaxed);
    CountLatency(GlobalMetrics(), LatencyKind::kTableCommit, now - start);
  };
  TablePort port;
  port.read = [record_answer, inner](const std::string& key) -> leaf::result<TableRow> {
    const absl::Time start = absl::Now();
    BOOST_LEAF_AUTO(row, inner.read(key));
    record_answer(start);
    return row;
  };
  port.list = [record_answer, inner](const std::string& prefix,
                                     int limit) -> leaf::result<std::vector<TableRow>> {
    const absl::Time start = absl::Now();
    BOOST_LEAF_AUTO(rows, inner.list(prefix, limit));
    record_answer(start);
    return rows;
  };
  port.commit = [record_answer, inner](const TableTxn& txn) -> leaf::result<TxnOutcome> {
    const absl::Time start = absl::Now();
    BOOST_LEAF_AUTO(outcome, inner.commit(txn));
    record_answer(start);
    return outcome;
  };
  return port;
}

// Marks an upstream as leaving when its answer says so. The lock is taken on a background thread so that the
// request path takes none.
LeavingSink MakeLeavingSink(Host& host) {
  Host* const owner = &host;
  return [owner](const Upstream& upstream) {
    {
      const ReadView view(*owner->routing);
      const auto it = view->by_id.find(upstream.id);
      if (it == view->by_id.end() || view->upstreams[it->second].leaving_since) return;
    }
    (void)owner->background_pool->Submit([owner, id = upstream.id] { MarkUpstreamLeaving(*owner, id); });
  };
}

void MakePorts(Host& host, const HostPorts& ports) {
  const Settings& settings = host.settings;
  const absl::Duration deadline = absl::Milliseconds(settings.platform_deadline_ms);
  host.table =
      WrapTablePort(host, ports.table ? *ports.table : MakeTableClient(settings.table_url, deadline));
  host.objects = ports.objects ? *ports.objects
                               : MakeObjectClient(settings.object_url, settings.object_bucket, deadline);
  host.list = ports.list ? *ports.list : MakeListClient(settings.list_url, deadline);
  host.engines = ports.engines
                     ? *ports.engines
                     : MakeEngineClient(kUpstreamConnectTimeout, kEngineIdleTimeout, MakeLeavingSink(host));
  host.services =
      ports.services ? *ports.services : MakeServiceClient(kUpstreamConnectTimeout, MakeLeavingSink(host));
  Host* const owner = &host;
  host.once.table = host.table;
  host.once.send = [owner](const PoolId& service, const ServiceRequest& request) {
    return CallUpstreamOnce(*owner, service, request);
  };
  host.once.is_alive = [owner](const HostId& id, std::int64_t incarnation) {
    return KnownAlive(*owner, id, incarnation);
  };
  host.once.self = settings.host.id;
  host.once.incarnation = host.incarnation;
  host.once.claims = std::make_shared<ClaimRegistry>();
  host.tickets.self = settings.host.id;
  host.tickets.incarnation = host.incarnation;
}

void MakeMembership(Host& host) {
  const Settings& settings = host.settings;
  const absl::MutexLock lock(&host.control_mutex);
  Membership& membership = host.membership;
  membership.limits.period = absl::Milliseconds(settings.gossip_period_ms);
  membership.limits.ping_timeout = membership.limits.period * 0.3;
  membership.limits.suspicion = absl::Milliseconds(settings.suspicion_ms);
  membership.self.id = settings.host.id;
  membership.self.zone = settings.host.zone;
  membership.self.peer = {settings.host.address, settings.host.peer_port};
  membership.self.incarnation = host.incarnation;
  host.random.seed(std::random_device{}());
  std::unique_ptr<RoutingView> view = std::make_unique<RoutingView>();
  view->zone = settings.host.zone;
  BuildViewIndexes(*view, nullptr);
  host.view = view.get();
  host.routing = MakeRoutingSnapshot(std::move(view));
}

void MakePools(Host& host) {
  const Settings& settings = host.settings;
  // One thread per caller connection, so that every request can run one attempt there. The thread of an
  // attempt that lost to a hedge stays busy until that attempt ends.
  host.call_pool = std::make_unique<TaskPool>(settings.caller_threads, kTaskQueueCapacity);
  host.stream_pool = std::make_unique<TaskPool>(settings.caller_threads, kBackgroundQueueCapacity);
  host.generation_pool = std::make_unique<TaskPool>(settings.generation_threads, kTaskQueueCapacity);
  host.scoring_pool = std::make_unique<TaskPool>(kScoringThreads, kTaskQueueCapacity);
  host.background_pool = std::make_unique<TaskPool>(kBackgroundThreads, kBackgroundQueueCapacity);
}

PeerLimits MakePeerLimits(const Settings& settings) {
  PeerLimits limits;
  limits.max_message_bytes = kMaxPeerMessageBytes;
  limits.max_streams = kMaxPeerStreams;
  limits.handler_threads = settings.generation_threads + kOtherHandlerThreads;
  return limits;
}

leaf::result<void> StartLinks(Host& host) {
  const HostSettings& own = host.settings.host;
  const PeerLimits limits = MakePeerLimits(host.settings);
  Host* const owner = &host;
  host.peers = MakePeerClient(host.settings.host_secret, limits);
  BOOST_LEAF_AUTO(server, StartPeerServer({own.address, own.peer_port}, host.settings.host_secret, limits,
                                          [owner](const std::string& kind, const std::string& body,
                                                  const PeerSink& sink) {
                                            return HandlePeerMessage(*owner, kind, body, sink);
                                          }));
  host.peer_server = std::move(server);
  if (own.peer_port == 0) {
    const absl::MutexLock lock(&host.control_mutex);
    host.membership.self.peer.port = PeerServerPort(*host.peer_server);
  }
  host.http = std::make_unique<HttpServer>(absl::Milliseconds(host.settings.read_timeout_ms));
  AddCallerRoutes(host);
  host.caller_port = own.caller_port;
  if (own.caller_port == 0) {
    host.caller_port = host.http->bind_to_any_port(own.address);
    if (host.caller_port <= 0)
      return Fail(ErrorKind::kInternal, absl::StrCat("cannot listen on ", own.address));
  } else if (!host.http->bind_to_port(own.address, own.caller_port)) {
    return Fail(ErrorKind::kInternal, absl::StrCat("cannot listen on ", own.address, ":", own.caller_port));
  }
  return {};
}

void StartThreads(Host& host) {
  Host* const owner = &host;
  host.http_thread = std::thread([owner] { owner->http->listen_after_bind(); });
  host.control_thread = std::thread([owner] { RunControl(*owner); });
  host.platform_thread = std::thread([owner] { RunPlatform(*owner); });
  host.jobs_thread = std::thread([owner] { RunJobs(*owner); });
}

// Notifies peers that this host is leaving, and rebuilds the routing view, which then assigns this host's
// engines to other hosts.
void AnnounceShutdown(Host& host) {
  std::vector<Endpoint> peers;
  std::string bytes;
  {
    const absl::MutexLock lock(&host.control_mutex);
    AnnounceLeaving(host.membership);
    RebuildView(host, absl::Now());
    GossipMessage message;
    message.sender = host.membership.self;
    bytes = EncodeGossip(message);
    for (const auto& [id, record] : host.membership.members) {
      if (record.member.state != MemberState::kDead) peers.push_back(record.member.peer);
    }
    // Only a few peers are notified directly; gossip spreads the message to the others.
    std::shuffle(peers.begin(), peers.end(), host.random);
  }
  if (peers.size() > kMaxAnnouncePeers) peers.resize(kMaxAnnouncePeers);
  for (const Endpoint& it : peers) NotifyPeer(*host.peers, it, "ping", bytes);
}

// Waits until no request of a caller and no generation of a peer is in flight. Returns how many remain at the
// deadline.
int WaitForRequests(Host& host, absl::Time deadline) {
  while (true) {
    const int remaining = host.http->Active() + host.peer_generations.load(std::memory_order_acquire);
    if (remaining == 0 || absl::Now() >= deadline) return remaining;
    absl::SleepFor(kDrainPollInterval);
  }
}

void RecordOutcomes(Host& host) {
  (void)Capture<int>([&] { return RecordClaimOutcomes(host.once, kMaxFinalOutcomes); });
  (void)Capture<int>([&] { return RecordTicketOutcomes(host.tickets, host.table, kMaxFinalOutcomes); });
}

void StopThreads(Host& host) {
  host.stopping.store(true, std::memory_order_release);
  for (std::thread* it : {&host.control_thread, &host.platform_thread, &host.jobs_thread}) {
    if (it->joinable()) it->join();
  }
}

}  // namespace

std::mt19937_64& ThreadRandom() {
  thread_local std::mt19937_64 random(std::random_device{}());
  return random;
}

std::string NewId(Host& host, std::string_view prefix) {
  return absl::StrCat(host.settings.host.id, "-", host.incarnation, "-",
                      absl::string_view(prefix.data(), prefix.size()),
                      host.next_request.fetch_add(1, std::memory_order_relaxed));
}

std::optional<Member> FindMember(Host& host, const HostId& id) {
  const absl::MutexLock lock(&host.control_mutex);
  if (id == host.membership.self.id) return host.membership.self;
  const auto it = host.membership.members.find(id);
  if (it == host.membership.members.end() || it->second.member.state == MemberState::kDead)
    return std::nullopt;
  return it->second.member;
}

bool KnownAlive(Host& host, const HostId& id, std::int64_t incarnation) {
  const std::optional<Member> member = FindMember(host, id);
  return member && member->incarnation == incarnation;
}

void HostDeleter::operator()(Host* host) const {
  if (!host->stopped) StopHost(*host);
  delete host;
}

int CallerPort(const Host& host) { return host.caller_port; }
int PeerPort(const Host& host) { return PeerServerPort(*host.peer_server); }

leaf::result<HostPtr> StartHost(const Settings& settings, const HostPorts& ports) {
  HostPtr host(new Host);
  host->settings = settings;
  host->started = absl::Now();
  host->incarnation = absl::ToUnixMillis(host->started);
  host->stopped = true;  // if startup fails, the destructor has no threads to stop
  MakePorts(*host, ports);
  MakeMembership(*host);
  MakePools(*host);
  BOOST_LEAF_CHECK(StartLinks(*host));
  host->stopped = false;
  StartThreads(*host);
  LogEventLine(LogLevel::kInfo, LogEvent::kHostStarted,
               {{"zone", settings.host.zone}, {"incarnation", host->incarnation}});
  return host;
}

int StopHost(Host& host) {
  if (host.stopped) return 0;
  host.stopped = true;
  const absl::Time deadline = absl::Now() + absl::Milliseconds(host.settings.drain_deadline_ms);
  LogEventLine(LogLevel::kInfo, LogEvent::kHostDraining, Json::object());
  host.draining.store(true, std::memory_order_release);
  AnnounceShutdown(host);
  StopJobs(host);
  // The listening socket stays open until the requests in flight have ended, so that new requests are refused
  // with an error response instead of a connection reset.
  const int remaining = WaitForRequests(host, deadline);
  if (remaining > 0) host.cut_off.store(true, std::memory_order_release);
  host.http->CloseIdleConnections();
  host.http->stop();
  if (host.http_thread.joinable()) host.http_thread.join();
  host.call_pool->Stop();
  host.stream_pool->Stop();
  host.generation_pool->Stop();
  host.scoring_pool->Stop();
  DrainPeerServer(*host.peer_server, std::max(deadline - absl::Now(), absl::ZeroDuration()));
  StopThreads(host);
  host.background_pool->Stop();
  RecordOutcomes(host);
  host.peer_server.reset();
  host.peers.reset();
  LogEventLine(LogLevel::kInfo, LogEvent::kHostStopped, {{"cut_off", remaining}});
  return remaining;
}

}  // namespace oleander
