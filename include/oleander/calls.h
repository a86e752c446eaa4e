// Non-idempotent calls, run at most once: either guarded by a claim row in the table, or by a ticket that
// only the issuing host accepts.
#ifndef OLEANDER_CALLS_H_
#define OLEANDER_CALLS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "oleander/platform.h"
#include "oleander/upstream.h"

namespace oleander {

struct OnceCall {
  CallerId caller;         //
  std::string key;         // Idempotency-Key, 1 to 128 printable bytes
  PoolId service;          //
  ServiceRequest request;  //
  int attempt = 1;         // Oleander-Attempt; a higher one may claim again after a "not run" refusal
};

struct ClaimOutcome {
  std::optional<ServiceAnswer> answer;  // from the upstream
  std::optional<Error> failure;         // set if there is no answer
  int attempt = 1;                      //
};
// Claims of this host whose state is not in the table: calls in progress, and outcomes not recorded yet.
// One per host, shared by all calls. Thread-safe.
struct ClaimRegistry {
  absl::Mutex mutex;
  std::set<std::string> running ABSL_GUARDED_BY(mutex);  // claim row keys of calls in progress
  std::map<std::string, ClaimOutcome> unrecorded ABSL_GUARDED_BY(mutex);  // by row key; to be recorded
};

// `send` picks an upstream and calls it once; after the first byte was sent it neither hedges nor retries.
// `is_alive` returns whether the given incarnation of a host is known to be alive.
struct OncePorts {
  TablePort table;
  std::function<leaf::result<ServiceAnswer>(const PoolId& service, const ServiceRequest& request)> send;
  std::function<bool(const HostId& host, std::int64_t incarnation)> is_alive;
  HostId self;
  std::int64_t incarnation = 0;
  std::shared_ptr<ClaimRegistry> claims;  // must not be null
};

// Claims the key, sends the request and records the outcome. A repeated call gets the recorded outcome.
// If `send` refuses with a "not run" error, the claim records the refusal and its attempt number: the same
// attempt gets the same refusal, and a higher attempt may claim the key again. A late duplicate of the
// refused attempt therefore cannot run after the caller was told "not run". Errors: kClaimUnavailable
// (nothing was sent), kInProgress, kOutcomeUnknown, kConflict (the key was used for another request), and
// those of `send`.
leaf::result<ServiceAnswer> CallOnce(const OncePorts& ports, const OnceCall& call,
                                     const std::string& write_id);
// Writes up to `limit` outcomes that could not be recorded at the end of their call; returns how many remain.
leaf::result<int> RecordClaimOutcomes(const OncePorts& ports, int limit);

leaf::result<int> RecordClaimOutcomes(const OncePorts& ports, int limit);

// ---- Tickets

// Text form: "HOST.INCARNATION.SERIAL.NONCE". Only the host incarnation that issued a ticket accepts it.
struct Ticket {
  HostId host;
  std::int64_t incarnation = 0;
  std::int64_t serial = 0;
  std::uint64_t nonce = 0;  // random, so that tickets cannot be guessed
};
std::string ToString(const Ticket& ticket);
std::optional<Ticket> ParseTicket(const std::string& text);

enum class TicketState { kIssued, kRunning, kDone };
struct TicketRecord {
  TicketState state = TicketState::kIssued;  //
  CallerId caller;                           //
  std::uint64_t nonce = 0;                   //
  int attempt = 0;                           // of the last call; 0: none yet
  std::string request_hash;                  // of the first call; a call with another request is refused
  std::optional<ServiceAnswer> answer;       // set in kDone if the upstream answered
  std::optional<Error> failure;              // set in kDone if there is no answer
  absl::Time changed;                        // issued, or last started
  bool recorded = false;                     // the outcome is in the table
};

struct TicketLimits {
  int max_tickets = 20000;                   // held at a time; expired ones are dropped
  absl::Duration lifetime = absl::Hours(2);  // from issue or last start until a ticket is dropped
};

// Tickets of one incarnation of one host. Thread-safe.
struct TicketRegistry {
  HostId self;
  std::int64_t incarnation = 0;
  TicketLimits limits;
  absl::Mutex mutex;
  std::int64_t next_serial ABSL_GUARDED_BY(mutex) = 1;
  std::map<std::int64_t, TicketRecord> tickets ABSL_GUARDED_BY(mutex);
};
// Errors: kOverloaded (max_tickets reached), kInvalidRequest (count).
leaf::result<std::vector<std::string>> IssueTickets(TicketRegistry& registry, const CallerId& caller,
                                                    int count, absl::Time now, std::mt19937_64& random);

// Runs a ticket of this host at most once. A repeated call does not wait: it fails with kInProgress or gets
// the stored outcome. After a "not run" refusal only a higher attempt number may run. Errors: kNotFound (this
// incarnation did not issue it; nothing was sent), kOutcomeUnknown (the ticket was dropped after its
// lifetime, or the upstream may have run the request), kForbidden (another caller's ticket or a wrong nonce),
// kConflict (the ticket was used for another request), and those of `send`.
leaf::result<ServiceAnswer> CallWithTicket(TicketRegistry& registry, const OncePorts& ports,
                                           const Ticket& ticket, const OnceCall& call, absl::Time now);
// Writes up to `limit` outcomes that are not in the table yet; returns how many remain.
leaf::result<int> RecordTicketOutcomes(TicketRegistry& registry, const TablePort& table, int limit);
// Reads the recorded outcome of a ticket whose issuing host is no longer running. Errors: kOutcomeUnknown,
// kForbidden, kConflict, or the recorded error.
leaf::result<ServiceAnswer> FindTicketOutcome(const TablePort& table, const Ticket& ticket,
                                              const OnceCall& call);

}  // namespace oleander

#endif  // OLEANDER_CALLS_H_
