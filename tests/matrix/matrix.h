// The fault matrix: injects every fault at every step of every operation, once, twice and in pairs of faults.
//
// A scenario runs the production modules over the fakes in a single thread. Each call through a port is a
// step. A run without faults yields the steps; each combination of a step and a fault that applies to it is a
// cell. docs/fault-matrix.md describes faults and operations.
#ifndef OLEANDER_TESTS_MATRIX_MATRIX_H_
#define OLEANDER_TESTS_MATRIX_MATRIX_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "tests/matrix/training.h"

namespace oleander::matrix {

enum class Fault {
  kHostDies,             // before the call
  kHostDiesAfter,        // after the call took effect
  kHostPauses,           // for longer than its lease, then continues the call
  kEngineCrashes,        // during a call; restarts with its first weight version
  kSwapFails,            // a weight order fails, and the inactive loaded versions are lost
  kStreamCut,            // a stream ends early
  kAnswerLate,           // after the caller has given up the attempt
  kAnswerDoubled,        // arrives twice
  kAnswerTruncated,      // its end is missing
  kAnswerTooLong,        // data follows its end
  kChunkUnlabelled,      // chunks carry no weight version
  kStoreDown,            // for 2.5 lease lifetimes
  kStoreSlow,            // one call takes 4 s
  kAnswerLost,           // after the call took effect
  kStaleRead,            // a list shows an earlier state
  kStoreRestored,        // to its state after an earlier acknowledged change
  kOldOrderLate,         // the answer to an order is lost, and the order is delivered again 15 s later
  kListLags,             // the platform's list shows its first state for 10 s
  kUpstreamLeaves,       // for 30 s
  kOperatorRaces,        // another operator makes a conflicting change
  kZoneWithoutZones,     // cut off from the other zones for 2.5 lease lifetimes
  kZoneWithoutPlatform,  // cut off from table, objects and list for 2.5 lease lifetimes
  kZoneAlone,            // both
  kBalancerRepeats,      // the load balancer sends the request again, to another host
  kUpstreamRefuses,      // answers "not run"
};
inline constexpr int kFaultCount = static_cast<int>(Fault::kUpstreamRefuses) + 1;
std::string_view NameOf(Fault fault);
std::optional<Fault> FindFault(std::string_view name);

// Mechanisms that tests disable to show that the matrix detects the resulting violation.
struct Switches {
  bool lease_compare = true;   // row revision compares in the lease holder's transactions
  bool claim = true;           // row revision compares in claim transactions
  bool label = true;           // check that chunks carry a weight version
  bool staleness = true;       // check of the staleness bound when a batch is handed out
  bool sequence = true;        // checks of acknowledgement and sequence number of trainer requests
  bool config_version = true;  // comparison of configuration versions
};

struct Injection {
  Fault fault = Fault::kHostDies;
  int step = 0;  // fires at the first call to which the fault applies, from this step on
};

struct RunSpec {
  std::string scenario;  // "training", "calls", ...
  std::uint64_t seed = 1;
  std::vector<Injection> injections;
  Switches switches;
};

// `invariant` is the number in docs/design.md, section 3; 0 is liveness.
struct Violation {
  int invariant = 0;
  std::string text;
};

struct RunResult {
  std::vector<Call> trace;  // step n is element n - 1
  int fired = 0;            // number of injections that fired
  std::vector<Violation> violations;
  std::int64_t served = 0;     // batches, lookups and calls that were answered
  double lease_lifetimes = 0;  // time from the end of the last fault to the last progress
};
std::vector<std::string> ScenarioNames();
RunResult RunScenario(const RunSpec& spec);
// Returns the operation that a call belongs to, as named in docs/fault-matrix.md.
std::string OperationOf(const Call& call);
// True if the fault can be injected into the call.
bool Applies(Fault fault, const Call& call);

// ---- Base of the scenarios

struct SimHost {
  HostId id;
  ZoneId zone;
  std::int64_t incarnation = 1;
  bool alive = true;
  bool paused = false;
};

struct ZoneCut {
  bool zones = false;     // the zone cannot reach the other zones
  bool platform = false;  // the zone cannot reach table, objects and list
};

// Base class of the scenarios: injects faults, advances time and records violations.
class ScenarioBase {
 public:
  explicit ScenarioBase(const RunSpec& spec);
  virtual ~ScenarioBase() = default;
  RunResult Run();

 protected:
  // Runs all live hosts and callers for half a second of simulated time.
  virtual void RunRound() = 0;
  // True if the scenario has completed its work.
  virtual bool IsDone() = 0;
  // Resets the state of a host that has started.
  virtual void OnRestart(SimHost& host) = 0;
  // Reports violated invariants; called after each round.
  virtual void CheckInvariants() {}
  // Makes a conflicting change, as another operator, to what the call reads or writes.
  virtual void RaceOperator(const Call&) {}

  // Records the call in the trace and injects the next fault if it is due.
  Effect OnCall(const Call& call);
  Effect Inject(Fault fault, const Call& call);
  void Pause(const HostId& id);
  void CutZone(const ZoneId& zone, ZoneCut cut);
  // Runs `fn` on behalf of a host. False if the host was not running, or died or was paused meanwhile.
  bool RunHost(SimHost& host, const std::function<void()>& fn);
  bool CanTalk(const HostId& from, const HostId& to) const;
  bool IsBlocked(const Call& call) const;
  SimHost* PickHost();
  void Schedule(absl::Duration delay, std::function<void()> fn);
  void ExtendFault(absl::Duration duration);
  void MarkDisruption();
  void RunScheduled();
  void ReportViolation(int invariant, const std::string& text);
  // True, once, if the last fault was `fault`, which the scenario itself has to simulate, such as a late
  // answer.
  bool TakePendingFault(Fault fault);

  RunSpec spec_;
  std::mt19937_64 random_;
  TrainingWorld world_;
  std::map<HostId, SimHost> hosts_;
  std::map<ZoneId, ZoneCut> cuts_;
  std::multimap<absl::Time, std::function<void()>> scheduled_;
  std::optional<Fault> pending_fault_;  // the scenario itself has to simulate this fault
  bool list_lags_ = false;
  std::map<UpstreamId, ZoneId> upstream_zones_;  // of services
  absl::Time disrupted_until_;                   // end of the last cut, pause or restart
  std::size_t next_injection_ = 0;
  absl::Time last_fault_end_;
  absl::Time last_progress_at_;  // when the scenario last made progress, for example served a batch
  RunResult result_;
};

// ---- Cells

struct Cell {
  std::string scenario;
  std::vector<Injection> injections;
};
std::string NameOf(const Cell& cell);  // "store_down/training:57", "host_dies+store_down/training:57:80"
std::optional<Cell> ParseCell(const std::string& name);
// Makes the cells of one seed. `skipped` receives the combinations that cannot occur, each with its reason.
std::vector<Cell> MakeCells(std::uint64_t seed, std::map<std::string, std::string>& skipped);

struct CellResult {
  Cell cell;
  RunResult run;
  bool failed = false;
};
CellResult RunCell(const Cell& cell, std::uint64_t seed, const Switches& switches);

}  // namespace oleander::matrix

#endif  // OLEANDER_TESTS_MATRIX_MATRIX_H_
