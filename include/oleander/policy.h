// The fleet-wide default policy and its exceptions. Each exception has a scope and a reason.
#ifndef OLEANDER_POLICY_H_
#define OLEANDER_POLICY_H_

#include <string>
#include <vector>

#include "oleander/errors.h"
#include "oleander/types.h"

namespace oleander {

// JSON keys equal the field names. A duration is an integer in the unit of the name's suffix.
struct Policy {
  // ---- Samples

  int staleness_bound = 2;  // max versions between the trainer and a sample's oldest token; 0 to 1000
  int steps_ahead = 1;      // steps generated beyond the trainer's current one; 0 to 8, <= staleness_bound
  bool deliver_without_store = true;  // hand out uncommitted batches while the table is unreachable
  int slice_tokens = 256;             // max new tokens per generation request; 0: unlimited; 0 to 65536

  // ---- Engines

  int engine_max_in_flight = 16;        // concurrent requests per engine; 1 to 1024
  int engine_reserved_interactive = 2;  // never used for training; < engine_max_in_flight
  int engine_queue_length = 4096;       // waiting requests per engine; 0 to 100000
  bool engines_check_fence = true;      // engines refuse orders with an old fencing token
  double affinity_load_bound = 1.1;   // prefix affinity applies up to this multiple of the mean load; 1 to 10
  double max_loading_fraction = 0.5;  // of a pool's engines in a zone that load weights at a time; (0, 1]

  // ---- Plain services

  bool non_idempotent = false;     // calls need an Idempotency-Key or a ticket and run at most once
  int service_max_in_flight = 64;  // concurrent requests of one host to one upstream; 1 to 4096
  int call_deadline_ms = 5000;     // ms; 1 to 600000
  double hedge_budget = 0.05;      // hedges per first attempt; 0 to 1
  double retry_budget = 0.1;       // retries per first attempt, over 10 s; 0 to 1
  int queue_deadline_ms = 2000;    // ms that an interactive request may wait in a queue; 1 to 600000

  // ---- Trainers

  double trainer_weight = 1;  // share of the engines in fair queueing; 0.01 to 100

  // ---- Draining

  int drain_grace_ms = 2000;  // ms from upstream state "leaving" to its last new request; 0 to 3000
};

// Fields set in `changes` replace the default for one job, pool, zone or upstream.
struct PolicyException {
  std::string id;      // assigned by the system if empty
  std::string scope;   // "job/NAME", "pool/NAME", "zone/NAME" or "upstream/NAME"
  Json changes;        // object: field name to value
  std::string reason;  // required; at least 3 characters
};

// Attributes of a request that select the exceptions that apply to it. An empty member matches no exception.
struct PolicyScope {
  JobId job;
  PoolId pool;
  ZoneId zone;
  UpstreamId upstream;
};

// Checks ranges and contradictions between fields. Errors: kInvalidRequest, with each field's name and the
// accepted values.
leaf::result<void> CheckPolicy(const Policy& policy);
// Errors: kReasonRequired, kInvalidRequest (scope, unknown field, wrong type, contradiction with `policy`).
leaf::result<void> CheckException(const Policy& policy, const PolicyException& exception);
// Checks each exception, that ids are unique, and that exceptions which can apply to the same request do not
// contradict each other. Errors: as for CheckException.
leaf::result<void> CheckExceptions(const Policy& policy, const std::vector<PolicyException>& exceptions);

// Applies the matching exceptions to the default, from the widest to the narrowest scope: pool, zone, job,
// upstream. A later one overrides an earlier one.
Policy EffectivePolicy(const Policy& policy, const std::vector<PolicyException>& exceptions,
                       const PolicyScope& scope);

// Strict: an unknown key, a wrong type or a value out of range fails with kInvalidRequest and the key's name.
// Missing keys keep the default.
leaf::result<Policy> PolicyFromJson(const Json& json);
Json ToJson(const Policy& policy);
leaf::result<PolicyException> ExceptionFromJson(const Json& json);
Json ToJson(const PolicyException& exception);

}  // namespace oleander

#endif  // OLEANDER_POLICY_H_
