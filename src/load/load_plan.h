// Plan of a load run: its hosts, stand-ins, jobs and callers, and the request rates.
// `oleander_load plan` writes it together with the settings of the hosts and the topology of the stand-ins.
#ifndef OLEANDER_SRC_LOAD_LOAD_PLAN_H_
#define OLEANDER_SRC_LOAD_LOAD_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "oleander/errors.h"
#include "oleander/types.h"

namespace oleander::load {

struct PlannedHost {
  HostId id;
  ZoneId zone;
  int caller_port = 0;
  int peer_port = 0;
};

struct PlannedTrainer {
  std::string name;   // caller name of its credential
  std::string token;  // of its credential
  JobId job;          //
  int train_ms = 0;   // simulated duration of one training step
};

struct LoadPlan {
  std::uint64_t seed = 1;                // of arrivals and generated data
  int steps = 3;                         // per trainer
  int base_port = 21000;                 // control port of the stand-ins; all other ports are higher
  std::string address = "127.0.0.1";     //
  std::vector<PlannedHost> hosts;        //
  std::vector<PlannedTrainer> trainers;  //
  std::string caller_token;              // of the application that sends the calls
  std::string operator_token;            //
  std::string host_secret;               //
  PoolId model = "words";                // pool of engines, shared by all trainers
  PoolId lookup_pool = "dictionary";     //
  PoolId receipt_pool = "receipts";      //
  PoolId scoring_pool = "scoring";       //
  int engines = 12;                      //
  int lookup_upstreams = 3;              // number of lookup upstreams
  int prompts = 64;                      // per job
  int samples_per_step = 256;            //
  int group_size = 8;                    // samples per prompt
  int max_tokens = 256;                  // per sample
  int staleness_bound = 2;               // versions; equals the policy's default
  double lookup_rate = 40;               // calls/s
  double receipt_rate = 8;               // calls/s; every second call uses a ticket, the others a key
  double completion_rate = 3;            // calls/s
  int weight_bytes = 65536;              // size of one weight version
  int lease_lifetime_ms = 3000;          // short, so that a takeover completes within a demo run
};

// Adds the hosts, trainers and secrets of the standard deployment: three zones of three hosts, two trainers.
void AddStandardDeployment(LoadPlan& plan);

Json ToJson(const LoadPlan& plan);
// Errors: kInvalidRequest.
leaf::result<LoadPlan> LoadPlanFromJson(const Json& json);

int ControlPort(const LoadPlan& plan);
int WeightsPort(const LoadPlan& plan);
// All ports of the stand-ins and hosts, in the order in which they are assigned.
std::vector<int> PortsOf(const LoadPlan& plan);
Json TopologyOf(const LoadPlan& plan);
Json SettingsOf(const LoadPlan& plan, const PlannedHost& host);
std::vector<std::string> PromptsOf(const LoadPlan& plan, const JobId& job);
Json JobSpecOf(const LoadPlan& plan, const PlannedTrainer& trainer);

// Writes plan.json, topology.json and one host-ID.json per host to `directory`. Errors: kInternal.
leaf::result<void> WritePlan(const LoadPlan& plan, const std::string& directory);
// Errors: kInvalidRequest.
leaf::result<LoadPlan> ReadPlan(const std::string& path);

}  // namespace oleander::load

#endif  // OLEANDER_SRC_LOAD_LOAD_PLAN_H_
