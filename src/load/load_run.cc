#include "load/load_run.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "load/audit_log.h"
#include "load/callers.h"
#include "load/load_http.h"
#include "load/load_record.h"
#include "load/load_summary.h"
#include "load/trainer.h"

namespace oleander::load {
namespace {

constexpr absl::Duration kReadyTimeout = absl::Seconds(20);
constexpr absl::Duration kReadyPollInterval = absl::Milliseconds(100);

bool IsReady(const LoadPlan& plan, const PlannedHost& host) {
  HttpCall call;
  call.path = "/readyz";
  call.deadline = absl::Seconds(1);
  const Outcome<HttpAnswer> answer = CallProgram(plan, host.caller_port, call);
  return Ok(answer) && Value(answer).status == 200;
}

leaf::result<void> WaitForHosts(const LoadPlan& plan) {
  const absl::Time deadline = absl::Now() + kReadyTimeout;
  for (const PlannedHost& it : plan.hosts) {
    while (!IsReady(plan, it)) {
      if (absl::Now() > deadline)
        return Fail(ErrorKind::kNotReady,
                    absl::StrCat("host ", it.id, " did not answer 200 on GET /readyz in time"));
      absl::SleepFor(kReadyPollInterval);
    }
  }
  return {};
}

ClientOptions MakeClientOptions(const LoadPlan& plan, const std::string& token, LoadRecord* record) {
  ClientOptions options;
  for (const PlannedHost& it : plan.hosts) options.hosts.push_back({plan.address, it.caller_port});
  options.token = token;
  if (record != nullptr) {
    options.on_refusal = [record](const Error& error) { RecordRefusal(*record, error); };
  }
  return options;
}

// Declares the receipt pool non-idempotent in the policy, so that receipts run at most once without a header
// on each request.
leaf::result<void> AddReceiptException(const LoadPlan& plan, const ClientOptions& options) {
  const Json body = {{"scope", absl::StrCat("pool/", plan.receipt_pool)},
                     {"changes", {{"non_idempotent", true}}},
                     {"reason", "a receipt credits a member and must not be filed twice"}};
  BOOST_LEAF_CHECK(CallAdmin(options, "POST", "/v1/admin/exceptions?wait_ms=5000", body));
  return {};
}

leaf::result<void> CreateJobs(const LoadPlan& plan, const ClientOptions& options) {
  for (const PlannedTrainer& it : plan.trainers) {
    BOOST_LEAF_CHECK(CallAdmin(options, "POST", "/v1/admin/jobs", JobSpecOf(plan, it)));
  }
  return {};
}

void EndJobs(const LoadPlan& plan, const ClientOptions& options) {
  for (const PlannedTrainer& it : plan.trainers) {
    (void)Capture<Json>([&] {
      return CallAdmin(options, "POST", absl::StrCat("/v1/admin/jobs/", it.job, "/end"), Json::object());
    });
  }
}

void RunTrainers(const LoadPlan& plan, LoadRecord& record,
                 const std::function<void(const std::string&)>& progress) {
  SharedWeights weights;
  std::vector<std::thread> threads;
  for (const PlannedTrainer& it : plan.trainers) {
    threads.emplace_back([&plan, &it, &record, &progress, &weights] {
      RunTrainer(plan, it, {MakeClientOptions(plan, it.token, &record), progress}, weights, record);
    });
  }
  for (std::thread& it : threads) it.join();
}

}  // namespace

leaf::result<Json> RunLoad(const LoadPlan& plan, const std::function<void(const std::string&)>& progress) {
  progress("waiting for the hosts to become ready");
  BOOST_LEAF_CHECK(WaitForHosts(plan));
  const ClientOptions admin = MakeClientOptions(plan, plan.operator_token, nullptr);
  BOOST_LEAF_CHECK(PutWeights(plan, 1));
  BOOST_LEAF_CHECK(AddReceiptException(plan, admin));
  BOOST_LEAF_CHECK(CreateJobs(plan, admin));
  progress("jobs created, starting the callers");

  LoadRecord record;
  record.start = absl::Now();
  const std::unique_ptr<Callers> callers =
      StartCallers(plan, MakeClientOptions(plan, plan.caller_token, &record), record);
  RunTrainers(plan, record, progress);
  progress("trainers finished, waiting for calls in flight");
  StopCallers(*callers);
  EndJobs(plan, admin);
  progress("reading the audit log of the stand-ins");
  BOOST_LEAF_AUTO(audit_log, FetchAuditLog(plan));
  return Summarize(plan, record, audit_log);
}

leaf::result<void> SendFault(const LoadPlan& plan, const Json& fault) {
  HttpCall call;
  call.method = "POST";
  call.path = "/control/fault";
  call.body = fault.dump();
  const Outcome<HttpAnswer> answer = CallProgram(plan, ControlPort(plan), call);
  if (!Ok(answer))
    return Fail(ErrorKind::kUpstreamFailed,
                "no response from the control port of the stand-ins: " + ErrorOf(answer).detail);
  if (Value(answer).status != 200) return Fail(ErrorKind::kInvalidRequest, Value(answer).body);
  return {};
}

std::vector<int> PortsInUse(const LoadPlan& plan) {
  std::vector<int> used;
  for (const int port : PortsOf(plan)) {
    // Tests with a connect, because a bind would also fail while connections of an earlier run are still
    // closing, and these do not prevent a new listener.
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, plan.address.c_str(), &address.sin_addr);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) used.push_back(port);
    close(fd);
  }
  return used;
}

}  // namespace oleander::load
