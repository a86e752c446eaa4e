// oleanderctl: command-line tool for operators, a client of the administration API.
//
// Exit codes: 0 done; 1 refused; 2 wrong usage; 3 conflict with another operator's change; 4 not found;
// 5 unavailable, nothing was changed and a retry is safe; 6 outcome unknown, check the state before a retry;
// 7 credential missing or not allowed.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "oleander/client.h"
#include "oleander/explain.h"

namespace oleander {
namespace {

enum ExitCode {
  kExitDone = 0,
  kExitRefused = 1,
  kExitUsage = 2,
  kExitConflict = 3,
  kExitNotFound = 4,
  kExitUnavailable = 5,
  kExitUnknown = 6,
  kExitCredential = 7,
};

constexpr char kHelp[] =
    "Commands:\n"
    "  job create FILE | list | show JOB | pause JOB | resume JOB | end JOB\n"
    "  policy show | replace FILE [--base-version N]\n"
    "  exception list | add --scope S --changes JSON --reason TEXT | remove ID\n"
    "  hosts | upstreams | confirmations\n"
    "  explain ID LOG... | batches LOG...        reads the logs of all hosts, offline\n"
    "  capacity [--hosts N] [--engines N] [--trainers N] [--requests N]\n"
    "FILE and LOG may be - for standard input. Exit codes: 0 done, 1 refused, 2 wrong usage, 3 conflict,\n"
    "4 not found, 5 unavailable and nothing changed, 6 outcome unknown, 7 credential";

struct Arguments {
  std::vector<std::string> positional;
  std::vector<std::string> hosts;
  std::string token;
  bool json = false;
  int deadline_ms = 10000;
  std::string version;
  std::string scope;
  std::string changes;
  std::string reason;
  std::map<std::string, std::string> capacity;  // query parameters of the capacity call
};

using TextArg = TCLAP::ValueArg<std::string>;

Arguments ParseArguments(int argc, char** argv) {
  TCLAP::CmdLine cmd(kHelp, ' ', "1");
  cmd.setExceptionHandling(false);
  TCLAP::UnlabeledMultiArg<std::string> positional("command", "command and its arguments", true, "COMMAND",
                                                   cmd);
  TCLAP::MultiArg<std::string> hosts("H", "host", "entry host or balancer; may be repeated", false,
                                     "ADDRESS:PORT", cmd);
  TextArg token("", "token", "operator's credential; default: environment variable OLEANDER_TOKEN", false, "",
                "TOKEN", cmd);
  TCLAP::SwitchArg json("", "json", "print the answer as JSON", cmd);
  TCLAP::ValueArg<int> deadline("", "deadline-ms", "time limit in ms for the call, retries included", false,
                                10000, "MS", cmd);
  TextArg version("", "base-version", "version that the change is based on; default: the current one", false,
                  "", "N", cmd);
  TextArg scope("", "scope", "where the exception applies: job/NAME, pool/NAME, zone/NAME or upstream/NAME",
                false, "", "SCOPE", cmd);
  TextArg changes("", "changes", "policy fields to change", false, "", "JSON", cmd);
  TextArg reason("", "reason", "why the exception is needed", false, "", "TEXT", cmd);
  TextArg host_count("", "hosts", "capacity: number of hosts", false, "", "N", cmd);
  TextArg engines("", "engines", "capacity: number of engines", false, "", "N", cmd);
  TextArg trainers("", "trainers", "capacity: number of trainers", false, "", "N", cmd);
  TextArg requests("", "requests", "capacity: requests per second", false, "", "N", cmd);
  cmd.parse(argc, argv);
  Arguments args;
  args.positional = positional.getValue();
  args.hosts = hosts.getValue();
  args.token = token.getValue();
  args.json = json.getValue();
  args.deadline_ms = deadline.getValue();
  args.version = version.getValue();
  args.scope = scope.getValue();
  args.changes = changes.getValue();
  args.reason = reason.getValue();
  for (const TextArg* it : {&host_count, &engines, &trainers, &requests}) {
    if (it->isSet()) args.capacity[it->getName()] = it->getValue();
  }
  const char* const env_token = std::getenv("OLEANDER_TOKEN");
  if (args.token.empty() && env_token != nullptr) args.token = env_token;
  if (args.hosts.empty()) args.hosts = {"127.0.0.1:8080"};
  return args;
}

leaf::result<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  Endpoint endpoint;
  if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &endpoint.port)) {
    return Fail(ErrorKind::kInvalidRequest, absl::StrCat("--host: found ", text, ", expected ADDRESS:PORT"));
  }
  endpoint.address = text.substr(0, colon);
  return endpoint;
}

leaf::result<ClientOptions> MakeOptions(const Arguments& args) {
  ClientOptions options;
  options.token = args.token;
  options.deadline = absl::Milliseconds(args.deadline_ms);
  for (const std::string& it : args.hosts) {
    BOOST_LEAF_AUTO(endpoint, ParseEndpoint(it));
    options.hosts.push_back(endpoint);
  }
  return options;
}

leaf::result<Json> ReadJson(const std::string& path) {
  std::string text;
  if (path == "-") {
    text.assign(std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>());
  } else {
    std::ifstream in(path);
    if (!in) return Fail(ErrorKind::kInvalidRequest, absl::StrCat(path, ": cannot be read"));
    text.assign(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
  }
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return Fail(ErrorKind::kInvalidRequest, absl::StrCat(path, ": not a JSON object"));
  return json;
}

// ---- Commands

leaf::error_id FailUsage(const std::string& detail) {
  return Fail(ErrorKind::kInvalidRequest, absl::StrCat(detail, "\n", kHelp));
}

std::string PositionalAt(const Arguments& args, std::size_t index) {
  return index < args.positional.size() ? args.positional[index] : "";
}

leaf::result<Json> RunJob(const Arguments& args, const ClientOptions& options) {
  const std::string verb = PositionalAt(args, 1);
  const std::string name = PositionalAt(args, 2);
  if (verb == "list") return CallAdmin(options, "GET", "/v1/admin/jobs", nullptr);
  if (name.empty()) return FailUsage("job: expected list, or create, show, pause, resume or end with a name");
  if (verb == "create") {
    BOOST_LEAF_AUTO(spec, ReadJson(name));
    return CallAdmin(options, "POST", "/v1/admin/jobs", spec);
  }
  const std::string path = absl::StrCat("/v1/admin/jobs/", name);
  if (verb == "show") return CallAdmin(options, "GET", path, nullptr);
  if (verb == "pause" || verb == "resume" || verb == "end") {
    return CallAdmin(options, "POST", absl::StrCat(path, "/", verb), Json::object());
  }
  return FailUsage(absl::StrCat("job: unknown command ", verb));
}

// The version from --base-version, else the version of the policy in force.
leaf::result<std::string> BaseVersion(const Arguments& args, const ClientOptions& options) {
  if (!args.version.empty()) return args.version;
  BOOST_LEAF_AUTO(current, CallAdmin(options, "GET", "/v1/admin/policy", nullptr));
  if (!current.is_object() || !current.contains("version") || !current["version"].is_number_integer()) {
    return Fail(ErrorKind::kUpstreamProtocol,
                "the policy answer has no version; give one with --base-version");
  }
  return absl::StrCat(current["version"].get<std::int64_t>());
}

leaf::result<Json> RunPolicy(const Arguments& args, const ClientOptions& options) {
  const std::string verb = PositionalAt(args, 1);
  if (verb == "show") return CallAdmin(options, "GET", "/v1/admin/policy", nullptr);
  if (verb != "replace" || args.positional.size() < 3)
    return FailUsage("policy: expected show or replace FILE");
  BOOST_LEAF_AUTO(policy, ReadJson(args.positional[2]));
  BOOST_LEAF_AUTO(version, BaseVersion(args, options));
  return CallAdmin(options, "PUT", "/v1/admin/policy", policy, version);
}

leaf::result<Json> AddException(const Arguments& args, const ClientOptions& options) {
  if (args.reason.empty()) return Fail(ErrorKind::kReasonRequired, "exception add: --reason is required");
  const Json changes = Json::parse(args.changes, nullptr, false);
  if (args.scope.empty() || !changes.is_object()) {
    return FailUsage("exception add: expected --scope and --changes with a JSON object");
  }
  const Json body = {{"scope", args.scope}, {"changes", changes}, {"reason", args.reason}};
  return CallAdmin(options, "POST", "/v1/admin/exceptions", body, args.version);
}

leaf::result<Json> RunException(const Arguments& args, const ClientOptions& options) {
  const std::string verb = PositionalAt(args, 1);
  if (verb == "list") return CallAdmin(options, "GET", "/v1/admin/exceptions", nullptr);
  if (verb == "add") return AddException(args, options);
  if (verb == "remove" && args.positional.size() > 2) {
    return CallAdmin(options, "DELETE", absl::StrCat("/v1/admin/exceptions/", args.positional[2]), nullptr,
                     args.version);
  }
  return FailUsage("exception: expected list, add or remove ID");
}

leaf::result<Json> RunCapacity(const Arguments& args, const ClientOptions& options) {
  std::vector<std::string> query;
  for (const auto& it : args.capacity) query.push_back(absl::StrCat(it.first, "=", it.second));
  return CallAdmin(options, "GET",
                   absl::StrCat("/v1/admin/capacity", query.empty() ? "" : "?", absl::StrJoin(query, "&")),
                   nullptr);
}

leaf::result<Json> RunCommand(const Arguments& args) {
  BOOST_LEAF_AUTO(options, MakeOptions(args));
  const std::string command = PositionalAt(args, 0);
  if (command == "job") return RunJob(args, options);
  if (command == "policy") return RunPolicy(args, options);
  if (command == "exception") return RunException(args, options);
  if (command == "hosts") return CallAdmin(options, "GET", "/v1/admin/hosts", nullptr);
  if (command == "upstreams") return CallAdmin(options, "GET", "/v1/admin/upstreams", nullptr);
  if (command == "confirmations") return CallAdmin(options, "GET", "/v1/admin/config/confirmations", nullptr);
  if (command == "capacity") return RunCapacity(args, options);
  return FailUsage(absl::StrCat("unknown command ", command));
}

// ---- Output

std::string CellText(const Json& json) { return json.is_string() ? json.get<std::string>() : json.dump(); }

// Arrays of more than 3 entries, such as prompts, are shown as their length.
std::string CellOf(const Json& row, const std::string& key) {
  if (!row.contains(key)) return "-";
  const Json& value = row[key];
  if (value.is_array() && value.size() > 3) return absl::StrCat(value.size(), " entries");
  return CellText(value);
}

void PrintRow(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) {
  for (std::size_t it = 0; it < cells.size(); ++it) {
    std::string text = cells[it];
    if (it + 1 < cells.size()) text.resize(std::max(text.size(), widths[it]) + 2, ' ');
    std::cout << text;
  }
  std::cout << "\n";
}

// Prints rows as a table; its columns are the keys of the first row.
void PrintRows(const Json& rows) {
  std::vector<std::string> keys;
  std::vector<std::size_t> widths;
  for (const auto& it : rows.front().items()) keys.push_back(it.key());
  for (const std::string& key : keys) {
    std::size_t width = key.size();
    for (const Json& row : rows) width = std::max(width, CellOf(row, key).size());
    widths.push_back(width);
  }
  PrintRow(keys, widths);
  for (const Json& row : rows) {
    std::vector<std::string> cells;
    for (const std::string& key : keys) cells.push_back(CellOf(row, key));
    PrintRow(cells, widths);
  }
}

bool IsTable(const Json& json) { return json.is_array() && !json.empty() && json.front().is_object(); }

void PrintText(const Json& json, const std::string& indent) {
  if (IsTable(json)) {
    PrintRows(json);
    return;
  }
  if (!json.is_object()) {
    std::cout << indent << CellText(json) << "\n";
    return;
  }
  for (const auto& it : json.items()) {
    if (IsTable(it.value()) || (it.value().is_object() && !it.value().empty())) {
      std::cout << indent << it.key() << ":\n";
      PrintText(it.value(), indent + "  ");
    } else {
      std::cout << indent << it.key() << ": " << CellOf(json, it.key()) << "\n";
    }
  }
}

int ExitCodeOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidRequest:
    case ErrorKind::kReasonRequired:
      return kExitUsage;
    case ErrorKind::kConflict:
      return kExitConflict;
    case ErrorKind::kNotFound:
    case ErrorKind::kUnknownJob:
      return kExitNotFound;
    case ErrorKind::kOutcomeUnknown:
      return kExitUnknown;
    case ErrorKind::kUnauthenticated:
    case ErrorKind::kForbidden:
      return kExitCredential;
    default:
      return DescribeError(kind).not_run && DescribeError(kind).retry ? kExitUnavailable : kExitRefused;
  }
}

// Runs the `explain` and `batches` commands, which read log files only.
int RunDiagnosis(const Arguments& args) {
  const bool is_explain = args.positional.front() == "explain";
  const std::size_t first_log = is_explain ? 2 : 1;
  if (args.positional.size() <= first_log) {
    std::cerr << "oleanderctl: " << args.positional.front() << " needs " << (is_explain ? "an id and " : "")
              << "at least one log file\n";
    return kExitUsage;
  }
  ParsedLogs logs;
  for (std::size_t it = first_log; it < args.positional.size(); ++it) {
    if (args.positional[it] == "-") {
      ReadLogLines(std::cin, logs);
      continue;
    }
    std::ifstream file(args.positional[it]);
    if (!file) {
      std::cerr << "oleanderctl: " << args.positional[it] << " cannot be read\n";
      return kExitUsage;
    }
    ReadLogLines(file, logs);
  }
  SortLines(logs);
  if (logs.unreadable > 0) std::cerr << "oleanderctl: " << logs.unreadable << " log lines cannot be read\n";
  if (!is_explain) {
    const Json rows = ListBatches(logs);
    if (args.json) {
      std::cout << rows.dump(2) << "\n";
    } else {
      PrintText(rows, "");
    }
    return kExitDone;
  }
  const Explanation explanation = Explain(logs, args.positional[1]);
  if (args.json) {
    std::cout << Json{{"id", args.positional[1]},
                      {"kind", explanation.kind},
                      {"cause", explanation.cause},
                      {"time_line", explanation.time_line}}
                     .dump(2)
              << "\n";
  } else {
    for (const std::string& it : explanation.time_line) std::cout << it << "\n";
    std::cout << (explanation.found ? explanation.kind + " " : "") << args.positional[1] << ": "
              << explanation.cause << "\n";
  }
  return explanation.found ? kExitDone : kExitNotFound;
}

int Run(const Arguments& args) {
  if (args.positional.front() == "explain" || args.positional.front() == "batches") return RunDiagnosis(args);
  const Outcome<Json> outcome = Capture<Json>([&] { return RunCommand(args); });
  if (!Ok(outcome)) {
    const Error& error = ErrorOf(outcome);
    const std::string_view name = DescribeError(error.kind).name;
    if (args.json) std::cout << Json{{"error", {{"kind", name}, {"detail", error.detail}}}}.dump(2) << "\n";
    std::cerr << "oleanderctl: " << name << ": " << error.detail << "\n";
    return ExitCodeOf(error.kind);
  }
  if (args.json) {
    std::cout << Value(outcome).dump(2) << "\n";
  } else {
    PrintText(Value(outcome), "");
  }
  return kExitDone;
}

}  // namespace
}  // namespace oleander

int main(int argc, char** argv) {
  try {
    return oleander::Run(oleander::ParseArguments(argc, argv));
  } catch (const TCLAP::ArgException& ex) {
    std::cerr << "oleanderctl: " << ex.argId() << ": " << ex.error() << "\n" << oleander::kHelp << "\n";
    return oleander::kExitUsage;
  } catch (const TCLAP::ExitException& ex) {
    return ex.getExitStatus();
  }
}
