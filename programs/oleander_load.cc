// oleander_load: load tests against a deployment.
//   plan --dir DIR [--seed N] [--steps N] [--base-port N]   writes the plan, topology and settings files
//   run --plan FILE [--json FILE]                           runs callers and trainers, checks the guarantees
//   fault --plan FILE --fault JSON                          sets or clears a fault of a stand-in
//   report RUN.json --out FILE.html                         writes an HTML page with charts
// Exit codes: 0 success, 1 the run broke a guarantee, 2 wrong usage, 3 the command failed, for example
// because a port is in use.
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "load/load_report.h"
#include "load/load_run.h"
#include "load/load_summary.h"

namespace oleander::load {
namespace {

constexpr int kExitGuaranteeBroken = 1;
constexpr int kExitUsage = 2;
constexpr int kExitCommandFailed = 3;

struct Arguments {
  std::vector<std::string> positional;
  std::string plan;
  std::string dir;
  std::string json;
  std::string out;
  std::string fault;
  std::uint64_t seed = 1;
  int steps = 3;
  int base_port = 21000;
};

using TextArg = TCLAP::ValueArg<std::string>;

Arguments ParseArguments(int argc, char** argv) {
  TCLAP::CmdLine cmd(
      "Load tests: plan --dir DIR | run --plan FILE | fault --plan FILE --fault JSON | "
      "report RUN.json --out FILE.html",
      ' ', "1");
  cmd.setExceptionHandling(false);
  TCLAP::UnlabeledMultiArg<std::string> positional("command", "plan, run, fault or report", true, "COMMAND",
                                                   cmd);
  TextArg plan("", "plan", "plan file of the run", false, "", "FILE", cmd);
  TextArg dir("", "dir", "directory for plan, topology and settings", false, ".", "DIR", cmd);
  TextArg json("", "json", "output file for the JSON result of the run", false, "", "FILE", cmd);
  TextArg out("", "out", "output file for the HTML report", false, "report.html", "FILE", cmd);
  TextArg fault("", "fault", "fault and its target", false, "", "JSON", cmd);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "random seed for arrivals and generated work", false, 1,
                                      "N", cmd);
  TCLAP::ValueArg<int> steps("", "steps", "number of steps of each trainer", false, 3, "N", cmd);
  TCLAP::ValueArg<int> base_port("", "base-port", "first port number to use", false, 21000, "N", cmd);
  cmd.parse(argc, argv);
  return {positional.getValue(), plan.getValue(), dir.getValue(),   json.getValue(),     out.getValue(),
          fault.getValue(),      seed.getValue(), steps.getValue(), base_port.getValue()};
}

leaf::result<int> MakePlan(const Arguments& args) {
  LoadPlan plan;
  plan.seed = args.seed;
  plan.steps = args.steps;
  plan.base_port = args.base_port;
  AddStandardDeployment(plan);
  const std::vector<int> used = PortsInUse(plan);
  if (!used.empty()) {
    return Fail(ErrorKind::kConflict, absl::StrCat("ports in use: ", absl::StrJoin(used, ", "),
                                                   "; choose others with --base-port"));
  }
  BOOST_LEAF_CHECK(WritePlan(plan, args.dir));
  return 0;
}

leaf::result<int> RunPlan(const Arguments& args) {
  BOOST_LEAF_AUTO(plan, ReadPlan(args.plan));
  const absl::Time start = absl::Now();
  absl::Mutex mutex;
  const auto progress = [&](const std::string& line) {
    absl::MutexLock lock(&mutex);
    std::cout << absl::StrFormat("%5.1f s  ", absl::ToDoubleSeconds(absl::Now() - start)) << line
              << std::endl;
  };
  BOOST_LEAF_AUTO(summary, RunLoad(plan, progress));
  if (!args.json.empty()) {
    std::ofstream out(args.json);
    out << summary.dump(2) << "\n";
    out.close();
    if (!out) return Fail(ErrorKind::kInternal, absl::StrCat(args.json, ": cannot be written"));
  }
  std::cout << "\n" << FormatSummary(summary);
  return summary["broken_promises"].empty() ? 0 : kExitGuaranteeBroken;
}

leaf::result<int> RunFault(const Arguments& args) {
  BOOST_LEAF_AUTO(plan, ReadPlan(args.plan));
  BOOST_LEAF_CHECK(SendFault(plan, Json::parse(args.fault, nullptr, false)));
  return 0;
}

leaf::result<int> WriteReport(const Arguments& args) {
  if (args.positional.size() < 2)
    return Fail(ErrorKind::kInvalidRequest, "report: expected the JSON result file of a run");
  std::ifstream in(args.positional[1]);
  const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  const Json summary = Json::parse(text, nullptr, false);
  if (!summary.is_object()) {
    return Fail(ErrorKind::kInvalidRequest,
                absl::StrCat(args.positional[1], ": not the JSON result of a run"));
  }
  std::ofstream out(args.out);
  out << RenderReport(summary);
  out.close();
  if (!out) return Fail(ErrorKind::kInternal, absl::StrCat(args.out, ": cannot be written"));
  return 0;
}

leaf::result<int> RunCommand(const Arguments& args) {
  const std::string& command = args.positional[0];
  if (command == "plan") return MakePlan(args);
  if (command == "run") return RunPlan(args);
  if (command == "fault") return RunFault(args);
  if (command == "report") return WriteReport(args);
  return Fail(ErrorKind::kInvalidRequest, absl::StrCat("unknown command ", command));
}

int Run(const Arguments& args) {
  const Outcome<int> outcome = Capture<int>([&] { return RunCommand(args); });
  if (Ok(outcome)) return Value(outcome);
  std::cerr << "oleander_load: " << DescribeError(ErrorOf(outcome).kind).name << ": "
            << ErrorOf(outcome).detail << "\n";
  return ErrorOf(outcome).kind == ErrorKind::kInvalidRequest ? kExitUsage : kExitCommandFailed;
}

}  // namespace
}  // namespace oleander::load

int main(int argc, char** argv) {
  try {
    return oleander::load::Run(oleander::load::ParseArguments(argc, argv));
  } catch (const TCLAP::ArgException& ex) {
    std::cerr << "oleander_load: " << ex.argId() << ": " << ex.error() << "\n";
    return oleander::load::kExitUsage;
  } catch (const TCLAP::ExitException& ex) {
    return ex.getExitStatus();
  }
}
