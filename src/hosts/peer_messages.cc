// Handlers of messages from other hosts.
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "contracts/strict_json.h"
#include "hosts/host_state.h"

namespace oleander {
namespace {

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

leaf::result<std::string> HandlePing(Host& host, const std::string& body) {
  BOOST_LEAF_AUTO(message, DecodeGossip(body));
  std::vector<Outgoing> out;
  {
    const absl::MutexLock lock(&host.control_mutex);
    HandleGossip(host, message, out);
  }
  return SendGossip(host, out, message.sender.id);
}

leaf::result<std::string> HandleConfig(Host& host, const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseMessagePack(body, ErrorKind::kPeerProtocol));
  const Outcome<ConfigDocument> document = Capture<ConfigDocument>([&] { return ConfigFromJson(json); });
  if (!Ok(document)) return Fail(ErrorKind::kPeerProtocol, ErrorOf(document).detail);
  ReceiveConfig(host, Value(document), false);
  return std::string();
}

leaf::result<std::string> HandleWeights(Host& host, const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseMessagePack(body, ErrorKind::kPeerProtocol));
  WeightTarget target;
  std::vector<std::string> problems;
  ObjectReader reader(json, "", problems);
  reader.Read("model", target.model, 1, std::numeric_limits<std::size_t>::max(), Presence::kRequired);
  reader.Read("version", target.version, 1, kMaxInteger, Presence::kRequired);
  reader.Read("fence", target.fence, 1, kMaxInteger, Presence::kRequired);
  reader.Finish();
  if (!problems.empty()) return Fail(ErrorKind::kPeerProtocol, absl::StrCat("weights: ", problems.front()));
  target.read_at = absl::Now();
  ReceiveWeightTarget(host, target);
  return std::string();
}

leaf::result<std::string> Dispatch(Host& host, const std::string& kind, const std::string& body,
                                   const PeerSink& sink) {
  if (kind == "ping" || kind == "ping-req") return HandlePing(host, body);
  if (kind == "config") return HandleConfig(host, body);
  if (kind == "weights") return HandleWeights(host, body);
  if (kind == "generate") return HandleGenerate(host, body, sink);
  if (kind == "batch") return HandleBatch(host, body);
  if (kind == "ticket-call") return HandleTicketCall(host, body);
  return Fail(ErrorKind::kPeerProtocol, absl::StrCat("unknown message kind ", kind));
}

}  // namespace

std::string ToMessagePack(const Json& json) {
  const std::vector<std::uint8_t> bytes = Json::to_msgpack(json);
  return std::string(bytes.begin(), bytes.end());
}

leaf::result<std::string> HandlePeerMessage(Host& host, const std::string& kind, const std::string& body,
                                            const PeerSink& sink) {
  Outcome<std::string> outcome = Capture<std::string>([&] { return Dispatch(host, kind, body, sink); });
  if (Ok(outcome)) return std::move(Value(outcome));
  if (ErrorOf(outcome).kind == ErrorKind::kPeerProtocol) {
    AddCounter(GlobalMetrics(), "peers", "protocol_error");
    LogEventLine(LogLevel::kWarning, LogEvent::kPeerProtocolError,
                 {{"kind", kind}, {"detail", ErrorOf(outcome).detail}});
  }
  return Fail(ErrorOf(outcome));
}

}  // namespace oleander
