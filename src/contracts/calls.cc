#include "oleander/calls.h"

#include <algorithm>
#include <array>
#include <cassert>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace oleander {
namespace {

constexpr std::size_t kMaxKeyBytes = 128;
// Rows store hashes of HashRequest, so the function must not change between releases.
constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

enum class ClaimState { kClaimed, kDone, kRefused, kUnknown };
constexpr std::array<std::string_view, 4> kClaimStateNames = {"claimed", "done", "refused", "unknown"};

// Value of a claim row.
struct Claim {
  ClaimState state = ClaimState::kClaimed;  //
  HostId host;                              // that wrote the claim
  std::int64_t incarnation = 0;             // of `host`
  int attempt = 1;                          //
  std::string request_hash;                 //
  ClaimOutcome outcome;                     // empty in kClaimed
};

// FNV-1a over the fields that identify a request.
std::string HashRequest(const PoolId& service, const ServiceRequest& request) {
  std::uint64_t hash = kFnvOffset;
  for (const std::string* part : {&service, &request.method, &request.path, &request.body}) {
    for (const char it : *part) hash = (hash ^ static_cast<unsigned char>(it)) * kFnvPrime;
    hash = (hash ^ 0xff) * kFnvPrime;  // separates the parts
  }
  return absl::StrCat(absl::Hex(hash, absl::kZeroPad16));
}

Json AnswerToJson(const ServiceAnswer& answer) {
  // The body may hold bytes that are not UTF-8.
  return {{"status", answer.status},
          {"body", absl::Base64Escape(answer.body)},
          {"content_type", answer.content_type}};
}

ServiceAnswer AnswerFromJson(const Json& json) {
  ServiceAnswer answer;
  answer.status = json.at("status").get<int>();
  answer.content_type = json.at("content_type").get<std::string>();
  if (!absl::Base64Unescape(json.at("body").get<std::string>(), &answer.body)) {
    throw Json::type_error::create(302, "body: expected base64", &json);
  }
  return answer;
}

Json OutcomeToJson(const ClaimOutcome& outcome) {
  Json json = Json::object();
  if (outcome.answer.has_value()) json["answer"] = AnswerToJson(*outcome.answer);
  if (outcome.failure.has_value()) {
    json["failure"] = {{"kind", DescribeError(outcome.failure->kind).name},
                       {"detail", outcome.failure->detail}};
  }
  return json;
}

ClaimOutcome OutcomeFromJson(const Json& json) {
  ClaimOutcome outcome;
  if (json.contains("answer")) outcome.answer = AnswerFromJson(json.at("answer"));
  if (json.contains("failure")) {
    const std::optional<ErrorKind> kind = FindErrorKind(json.at("failure").at("kind").get<std::string>());
    outcome.failure =
        Error{kind.value_or(ErrorKind::kOutcomeUnknown), json.at("failure").at("detail").get<std::string>()};
  }
  return outcome;
}

ClaimState StateOf(const ClaimOutcome& outcome) {
  if (outcome.answer.has_value()) return ClaimState::kDone;
  assert(outcome.failure.has_value());
  return DescribeError(outcome.failure->kind).not_run ? ClaimState::kRefused : ClaimState::kUnknown;
}

std::string EncodeClaim(const Claim& claim, const std::string& write_id) {
  Json json = OutcomeToJson(claim.outcome);
  json["state"] = kClaimStateNames[static_cast<int>(claim.state)];
  json["host"] = claim.host;
  json["incarnation"] = claim.incarnation;
  json["attempt"] = claim.attempt;
  json["request_hash"] = claim.request_hash;
  return RowValue(std::move(json), write_id);
}

// Fails with kOutcomeUnknown if the row cannot be parsed, because its request may have run.
leaf::result<Claim> DecodeClaim(const TableRow& row) {
  try {
    const Json json = Json::parse(row.value);
    Claim claim;
    const std::string state = json.at("state").get<std::string>();
    const auto it = std::find(kClaimStateNames.begin(), kClaimStateNames.end(), state);
    claim.state = it == kClaimStateNames.end() ? ClaimState::kUnknown
                                               : static_cast<ClaimState>(it - kClaimStateNames.begin());
    claim.host = json.at("host").get<std::string>();
    claim.incarnation = json.at("incarnation").get<std::int64_t>();
    claim.attempt = json.at("attempt").get<int>();
    claim.request_hash = json.at("request_hash").get<std::string>();
    claim.outcome = OutcomeFromJson(json);
    claim.outcome.attempt = claim.attempt;
    return claim;
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kOutcomeUnknown,
                absl::StrCat("claim ", row.key, " cannot be parsed: ", ex.what()));
  }
}

leaf::result<ServiceAnswer> ToResult(const ClaimOutcome& outcome) {
  if (outcome.answer.has_value()) return *outcome.answer;
  assert(outcome.failure.has_value());
  return Fail(*outcome.failure);
}

// Maps every failure after which a byte may have been sent to kOutcomeUnknown: the caller of a non-idempotent
// call cannot tell whether it ran.
Error ToOnceFailure(const Error& error) {
  if (DescribeError(error.kind).not_run) return error;
  return Error{ErrorKind::kOutcomeUnknown, error.detail};
}

leaf::result<void> CheckCall(const OnceCall& call) {
  if (call.caller.empty() || call.service.empty()) {
    return Fail(ErrorKind::kInvalidRequest, "caller and service must be given");
  }
  if (call.key.empty() || call.key.size() > kMaxKeyBytes) {
    return Fail(ErrorKind::kInvalidRequest,
                absl::StrCat("Idempotency-Key: expected 1 to ", kMaxKeyBytes, " bytes"));
  }
  // The row key is claims/CALLER/KEY: a slash in KEY could address another caller's row.
  const bool printable = std::all_of(call.key.begin(), call.key.end(),
                                     [](char it) { return it > ' ' && it < 0x7f && it != '/'; });
  if (!printable)
    return Fail(ErrorKind::kInvalidRequest, "Idempotency-Key: expected printable bytes without \"/\"");
  if (call.attempt < 1) return Fail(ErrorKind::kInvalidRequest, "Oleander-Attempt: expected 1 or more");
  return {};
}

std::string ClaimKey(const OnceCall& call) { return absl::StrCat("claims/", call.caller, "/", call.key); }

// Marks a key as running at this host for the lifetime of the object.
class RunningKey {
 public:
  RunningKey(ClaimRegistry& registry, std::string key) : registry_(registry), key_(std::move(key)) {
    absl::MutexLock lock(&registry_.mutex);
    inserted_ = registry_.running.insert(key_).second;
  }
  ~RunningKey() {
    if (!inserted_) return;
    absl::MutexLock lock(&registry_.mutex);
    registry_.running.erase(key_);
  }
  RunningKey(const RunningKey&) = delete;
  RunningKey& operator=(const RunningKey&) = delete;
  bool Inserted() const { return inserted_; }

 private:
  ClaimRegistry& registry_;
  std::string key_;
  bool inserted_ = false;
};

std::optional<ClaimOutcome> FindUnrecorded(ClaimRegistry& registry, const std::string& key) {
  absl::MutexLock lock(&registry.mutex);
  const auto it = registry.unrecorded.find(key);
  if (it == registry.unrecorded.end()) return std::nullopt;
  return it->second;
}

// True if `outcome` is a "not run" refusal of an earlier attempt, so that this attempt may run.
bool MayRunAgain(const ClaimOutcome& outcome, int attempt) {
  return StateOf(outcome) == ClaimState::kRefused && attempt > outcome.attempt;
}

// Returns the outcome of an existing claim, or nullopt if the call may claim the row again at its present
// revision.
leaf::result<std::optional<ServiceAnswer>> AnswerFromClaim(const OncePorts& ports, const OnceCall& call,
                                                           const TableRow& row) {
  BOOST_LEAF_AUTO(claim, DecodeClaim(row));
  if (claim.request_hash != HashRequest(call.service, call.request)) {
    return Fail(ErrorKind::kConflict, absl::StrCat("key ", call.key, " was used for another request"));
  }
  if (claim.state == ClaimState::kClaimed) {
    // The caller has checked that this incarnation neither runs the key nor has an unrecorded outcome for it,
    // so the claiming call ended before it sent anything.
    if (claim.host == ports.self && claim.incarnation == ports.incarnation) return std::nullopt;
    if (ports.is_alive(claim.host, claim.incarnation)) {
      return Fail(ErrorKind::kInProgress,
                  absl::StrCat("the call with key ", call.key, " is running at host ", claim.host));
    }
    return Fail(ErrorKind::kOutcomeUnknown,
                absl::StrCat("host ", claim.host, " stopped during the call with key ", call.key));
  }
  if (claim.state == ClaimState::kRefused && MayRunAgain(claim.outcome, call.attempt)) return std::nullopt;
  BOOST_LEAF_AUTO(answer, ToResult(claim.outcome));
  return std::optional<ServiceAnswer>(std::move(answer));
}

// Writes the claim if the row is still at `revision`. Returns false if another request claimed it first.
leaf::result<bool> WriteClaim(const OncePorts& ports, const std::string& key, std::int64_t revision,
                              const Claim& claim, const std::string& write_id) {
  TableTxn txn;
  txn.compares = {{key, revision}};
  txn.writes = {{key, EncodeClaim(claim, write_id)}};
  const Outcome<TxnOutcome> outcome =
      Capture<TxnOutcome>([&] { return CommitWithReadBack(ports.table, txn); });
  if (!Ok(outcome)) return Fail(ErrorKind::kClaimUnavailable, ErrorOf(outcome).detail);
  return Value(outcome).committed;
}

// Writes the outcome into this host's claim. Does nothing if the row no longer holds that claim.
leaf::result<void> RecordOutcome(const OncePorts& ports, const std::string& key,
                                 const ClaimOutcome& outcome) {
  BOOST_LEAF_AUTO(row, ports.table.read(key));
  if (row.revision == 0) return {};
  BOOST_LEAF_AUTO(claim, DecodeClaim(row));
  const bool own = claim.state == ClaimState::kClaimed && claim.host == ports.self &&
                   claim.incarnation == ports.incarnation && claim.attempt == outcome.attempt;
  if (!own) return {};
  claim.state = StateOf(outcome);
  claim.outcome = outcome;
  TableTxn txn;
  txn.compares = {{key, row.revision}};
  txn.writes = {{key, EncodeClaim(claim, absl::StrCat(ports.self, "-", ports.incarnation, "-end-", key))}};
  BOOST_LEAF_CHECK(CommitWithReadBack(ports.table, txn));
  return {};
}

// Records the outcome, or keeps it in memory until the table is available again.
void RecordOrKeepForLater(const OncePorts& ports, const std::string& key, const ClaimOutcome& outcome) {
  {
    // Kept in memory before the write, so that a repeated call always finds the outcome.
    absl::MutexLock lock(&ports.claims->mutex);
    ports.claims->unrecorded[key] = outcome;
  }
  const Outcome<std::monostate> written =
      Capture<std::monostate>([&] { return RecordOutcome(ports, key, outcome); });
  if (!Ok(written)) return;
  absl::MutexLock lock(&ports.claims->mutex);
  ports.claims->unrecorded.erase(key);
}

ClaimOutcome SendOnce(const OncePorts& ports, const OnceCall& call) {
  const Outcome<ServiceAnswer> sent =
      Capture<ServiceAnswer>([&] { return ports.send(call.service, call.request); });
  ClaimOutcome outcome;
  outcome.attempt = call.attempt;
  if (Ok(sent)) {
    outcome.answer = Value(sent);
  } else {
    outcome.failure = ToOnceFailure(ErrorOf(sent));
  }
  return outcome;
}

}  // namespace

leaf::result<ServiceAnswer> CallOnce(const OncePorts& ports, const OnceCall& call,
                                     const std::string& write_id) {
  assert(ports.claims != nullptr);
  BOOST_LEAF_CHECK(CheckCall(call));
  const std::string key = ClaimKey(call);
  const RunningKey running(*ports.claims, key);
  if (!running.Inserted())
    return Fail(ErrorKind::kInProgress,
                absl::StrCat("the call with key ", call.key, " is running at this host"));
  const std::optional<ClaimOutcome> unrecorded = FindUnrecorded(*ports.claims, key);
  if (unrecorded.has_value()) {
    if (!MayRunAgain(*unrecorded, call.attempt)) return ToResult(*unrecorded);
    // The row must show the refusal before another attempt may claim it.
    const Outcome<std::monostate> written =
        Capture<std::monostate>([&] { return RecordOutcome(ports, key, *unrecorded); });
    if (!Ok(written)) return Fail(ErrorKind::kClaimUnavailable, ErrorOf(written).detail);
    absl::MutexLock lock(&ports.claims->mutex);
    ports.claims->unrecorded.erase(key);
  }
  const Outcome<TableRow> row = Capture<TableRow>([&] { return ports.table.read(key); });
  if (!Ok(row)) return Fail(ErrorKind::kClaimUnavailable, ErrorOf(row).detail);
  if (Value(row).revision != 0) {
    BOOST_LEAF_AUTO(answer, AnswerFromClaim(ports, call, Value(row)));
    if (answer.has_value()) return std::move(*answer);
  }
  Claim claim;
  claim.host = ports.self;
  claim.incarnation = ports.incarnation;
  claim.attempt = call.attempt;
  claim.request_hash = HashRequest(call.service, call.request);
  BOOST_LEAF_AUTO(claimed, WriteClaim(ports, key, Value(row).revision, claim, write_id));
  if (!claimed)
    return Fail(ErrorKind::kInProgress, absl::StrCat("key ", call.key, " was claimed by another request"));
  const ClaimOutcome outcome = SendOnce(ports, call);
  RecordOrKeepForLater(ports, key, outcome);
  return ToResult(outcome);
}

leaf::result<int> RecordClaimOutcomes(const OncePorts& ports, int limit) {
  std::vector<std::pair<std::string, ClaimOutcome>> batch;
  {
    absl::MutexLock lock(&ports.claims->mutex);
    for (const std::pair<const std::string, ClaimOutcome>& it : ports.claims->unrecorded) {
      if (static_cast<int>(batch.size()) == limit) break;
      batch.push_back(it);
    }
  }
  for (const std::pair<std::string, ClaimOutcome>& it : batch) {
    const RunningKey running(*ports.claims, it.first);
    if (!running.Inserted()) continue;  // a repeated call is recording it
    BOOST_LEAF_CHECK(RecordOutcome(ports, it.first, it.second));
    absl::MutexLock lock(&ports.claims->mutex);
    ports.claims->unrecorded.erase(it.first);
  }
  absl::MutexLock lock(&ports.claims->mutex);
  return static_cast<int>(ports.claims->unrecorded.size());
}

// ---- Tickets

namespace {

std::string TicketKey(const Ticket& ticket) {
  return absl::StrCat("tickets/", ticket.host, "/", ticket.incarnation, "/", ticket.serial);
}

// Drops tickets that are past their lifetime, except running ones and those with an unrecorded outcome.
void DropExpired(TicketRegistry& registry, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(registry.mutex) {
  for (std::map<std::int64_t, TicketRecord>::iterator it = registry.tickets.begin();
       it != registry.tickets.end();) {
    const TicketRecord& record = it->second;
    const bool idle =
        record.state == TicketState::kIssued || (record.state == TicketState::kDone && record.recorded);
    if (!idle || now - record.changed < registry.limits.lifetime) {
      ++it;
      continue;
    }
    it = registry.tickets.erase(it);
  }
}

ClaimOutcome OutcomeOf(const TicketRecord& record) { return {record.answer, record.failure, record.attempt}; }

// Marks the ticket as running and returns nullopt if the call may be sent; otherwise returns its stored
// outcome.
leaf::result<std::optional<ServiceAnswer>> StartTicket(TicketRegistry& registry, const Ticket& ticket,
                                                       const OnceCall& call, absl::Time now) {
  absl::MutexLock lock(&registry.mutex);
  const auto it = registry.tickets.find(ticket.serial);
  if (ticket.serial >= registry.next_serial) return Fail(ErrorKind::kNotFound, "the ticket was never issued");
  // A ticket that was dropped may have run.
  if (it == registry.tickets.end()) return Fail(ErrorKind::kOutcomeUnknown, "the ticket has expired");
  TicketRecord& record = it->second;
  if (record.caller != call.caller || record.nonce != ticket.nonce) {
    return Fail(ErrorKind::kForbidden, "the ticket belongs to another caller");
  }
  const std::string hash = HashRequest(call.service, call.request);
  if (record.attempt > 0 && record.request_hash != hash) {
    return Fail(ErrorKind::kConflict, "the ticket was used for another request");
  }
  if (record.state == TicketState::kRunning) return Fail(ErrorKind::kInProgress, "the ticket is running");
  if (record.state == TicketState::kDone && !MayRunAgain(OutcomeOf(record), call.attempt)) {
    BOOST_LEAF_AUTO(answer, ToResult(OutcomeOf(record)));
    return std::optional<ServiceAnswer>(std::move(answer));
  }
  record.state = TicketState::kRunning;
  record.attempt = call.attempt;
  record.request_hash = hash;
  record.changed = now;
  record.recorded = false;
  record.answer.reset();
  record.failure.reset();
  return std::nullopt;
}

}  // namespace

std::string ToString(const Ticket& ticket) {
  return absl::StrCat(ticket.host, ".", ticket.incarnation, ".", ticket.serial, ".", ticket.nonce);
}

std::optional<Ticket> ParseTicket(const std::string& text) {
  const std::vector<std::string> parts = absl::StrSplit(text, '.');
  if (parts.size() < 4) return std::nullopt;
  const std::size_t n = parts.size();
  Ticket ticket;
  if (!absl::SimpleAtoi(parts[n - 3], &ticket.incarnation) ||
      !absl::SimpleAtoi(parts[n - 2], &ticket.serial) || !absl::SimpleAtoi(parts[n - 1], &ticket.nonce)) {
    return std::nullopt;
  }
  // The host id may itself contain dots.
  const std::size_t tail = parts[n - 3].size() + parts[n - 2].size() + parts[n - 1].size() + 3;
  ticket.host = text.substr(0, text.size() - tail);
  if (ticket.host.empty() || ticket.serial < 1) return std::nullopt;
  return ticket;
}

leaf::result<std::vector<std::string>> IssueTickets(TicketRegistry& registry, const CallerId& caller,
                                                    int count, absl::Time now, std::mt19937_64& random) {
  if (count < 1) return Fail(ErrorKind::kInvalidRequest, "count: expected 1 or more");
  absl::MutexLock lock(&registry.mutex);
  DropExpired(registry, now);
  if (count > registry.limits.max_tickets - static_cast<int>(registry.tickets.size())) {
    return Fail(ErrorKind::kOverloaded,
                absl::StrCat("ticket limit reached: at most ", registry.limits.max_tickets, " at a time"));
  }
  std::vector<std::string> tickets;
  for (int it = 0; it < count; ++it) {
    TicketRecord record;
    record.caller = caller;
    record.nonce = random();
    record.changed = now;
    tickets.push_back(
        ToString(Ticket{registry.self, registry.incarnation, registry.next_serial, record.nonce}));
    registry.tickets[registry.next_serial] = std::move(record);
    ++registry.next_serial;
  }
  return tickets;
}

leaf::result<ServiceAnswer> CallWithTicket(TicketRegistry& registry, const OncePorts& ports,
                                           const Ticket& ticket, const OnceCall& call, absl::Time now) {
  if (call.attempt < 1) return Fail(ErrorKind::kInvalidRequest, "Oleander-Attempt: expected 1 or more");
  if (ticket.host != registry.self || ticket.incarnation != registry.incarnation) {
    return Fail(ErrorKind::kNotFound, "the ticket was issued by another incarnation");
  }
  BOOST_LEAF_AUTO(known, StartTicket(registry, ticket, call, now));
  if (known.has_value()) return std::move(*known);
  const ClaimOutcome outcome = SendOnce(ports, call);
  {
    absl::MutexLock lock(&registry.mutex);
    TicketRecord& record = registry.tickets[ticket.serial];
    record.state = TicketState::kDone;
    record.answer = outcome.answer;
    record.failure = outcome.failure;
  }
  return ToResult(outcome);
}

leaf::result<int> RecordTicketOutcomes(TicketRegistry& registry, const TablePort& table, int limit) {
  TableTxn txn;
  std::vector<std::pair<std::int64_t, int>> written;  // serial, attempt
  int remaining = 0;
  {
    absl::MutexLock lock(&registry.mutex);
    for (const std::pair<const std::int64_t, TicketRecord>& it : registry.tickets) {
      if (it.second.state != TicketState::kDone || it.second.recorded) continue;
      ++remaining;
      if (static_cast<int>(written.size()) == limit) continue;
      const std::string key = TicketKey(Ticket{registry.self, registry.incarnation, it.first, 0});
      Json json = OutcomeToJson(OutcomeOf(it.second));
      json["nonce"] = it.second.nonce;
      json["request_hash"] = it.second.request_hash;
      json["caller"] = it.second.caller;
      txn.writes.push_back({key, RowValue(std::move(json), absl::StrCat(key, "/", it.second.attempt))});
      written.push_back({it.first, it.second.attempt});
    }
  }
  if (written.empty()) return 0;
  BOOST_LEAF_CHECK(CommitWithReadBack(table, txn));
  absl::MutexLock lock(&registry.mutex);
  for (const std::pair<std::int64_t, int>& it : written) {
    const auto found = registry.tickets.find(it.first);
    if (found == registry.tickets.end() || found->second.attempt != it.second) continue;
    found->second.recorded = true;
    --remaining;
  }
  return remaining;
}

leaf::result<ServiceAnswer> FindTicketOutcome(const TablePort& table, const Ticket& ticket,
                                              const OnceCall& call) {
  const Outcome<TableRow> row = Capture<TableRow>([&] { return table.read(TicketKey(ticket)); });
  if (!Ok(row)) return Fail(ErrorKind::kOutcomeUnknown, ErrorOf(row).detail);
  if (Value(row).revision == 0) {
    return Fail(ErrorKind::kOutcomeUnknown,
                absl::StrCat("host ", ticket.host, " is not running and has recorded no outcome"));
  }
  ClaimOutcome outcome;
  try {
    const Json json = Json::parse(Value(row).value);
    if (json.at("nonce").get<std::uint64_t>() != ticket.nonce ||
        json.at("caller").get<std::string>() != call.caller) {
      return Fail(ErrorKind::kForbidden, "the ticket belongs to another caller");
    }
    if (json.at("request_hash").get<std::string>() != HashRequest(call.service, call.request)) {
      return Fail(ErrorKind::kConflict, "the ticket was used for another request");
    }
    outcome = OutcomeFromJson(json);
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kOutcomeUnknown,
                absl::StrCat("the recorded outcome of the ticket cannot be parsed: ", ex.what()));
  }
  return ToResult(outcome);
}

}  // namespace oleander
