// The entry host's daemon, multi-threaded.
//
//   oleanderd --config FILE            runs until SIGTERM or SIGINT, then shuts down gracefully
//   oleanderd --config FILE --check    checks the settings; exit status 2 if they are invalid
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <string>

#include "oleander/log_events.h"
#include "oleander/server.h"
#include "oleander/settings.h"

namespace {

using oleander::Capture;
using oleander::ErrorOf;
using oleander::Ok;
using oleander::Value;

constexpr int kExitDrainTimeout = 1;     // requests were still in flight at the drain deadline
constexpr int kExitInvalidSettings = 2;  // the settings are invalid
constexpr int kExitStartFailed = 3;      // the host cannot start

// Blocks the signals in every thread, so that only sigwait receives them.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

int Run(const std::string& path, bool check) {
  oleander::Outcome<oleander::Settings> settings =
      Capture<oleander::Settings>([&] { return oleander::LoadSettings(path); });
  if (!Ok(settings)) {
    oleander::LogEventLine(oleander::LogLevel::kError, oleander::LogEvent::kSettingsRejected,
                           {{"file", path}, {"detail", ErrorOf(settings).detail}});
    std::cerr << path << ":\n" << ErrorOf(settings).detail << "\n";
    return kExitInvalidSettings;
  }
  if (check) {
    std::cout << path << ": settings are valid\n";
    return 0;
  }
  const sigset_t signals = BlockSignals();
  oleander::StartLogging(Value(settings).host.id, Value(settings).log_level);
  oleander::Outcome<oleander::HostPtr> host =
      Capture<oleander::HostPtr>([&] { return oleander::StartHost(Value(settings)); });
  if (!Ok(host)) {
    std::cerr << "oleanderd: " << ErrorOf(host).detail << "\n";
    return kExitStartFailed;
  }
  int signal = 0;
  while (sigwait(&signals, &signal) != 0) {
  }
  return oleander::StopHost(*Value(host)) == 0 ? 0 : kExitDrainTimeout;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("Entry host of oleanderrun", ' ', "0.1");
    TCLAP::ValueArg<std::string> config("c", "config", "Settings file (JSON)", true, "", "FILE", command);
    TCLAP::SwitchArg check("", "check", "Check the settings file and exit", command);
    command.parse(argc, argv);
    return Run(config.getValue(), check.getValue());
  } catch (const TCLAP::ArgException& ex) {
    std::cerr << "oleanderd: " << ex.error() << " " << ex.argId() << "\n";
    return kExitInvalidSettings;
  }
}
