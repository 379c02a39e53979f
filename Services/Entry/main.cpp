/// @file
/// The program zinc-entry, which runs an entry instance.

#include "Entry.h"
#include "Gateway.h"
#include "PlatformProgram.h"
#include "ReadFile.h"
#include "TrafficThreads.h"
#include <LibSettings/EntrySettings.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <unistd.h>

namespace zinc {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;
constexpr std::string_view kVariablePrefix = "ZINC_ENTRY_";

int
PrintFaults(const Faults& aFaults)
{
  for (const auto& fault : aFaults) {
    fmt::print(stderr,
               "line {}: {}: {} (expected {})\n",
               fault.line,
               fault.path,
               fault.message,
               fault.expected);
  }
  return kExitBadSettings;
}

int
Serve(const EntrySettings& aSettings)
{
  boost::asio::io_context control(1);
  boost::asio::io_context traffic;
  auto created = Entry::Create(aSettings, { .control = control, .traffic = traffic });
  if (IsError(created)) {
    fmt::print(stderr, "zinc-entry: {}\n", ErrorOf(created).message);
    return kExitFailed;
  }
  auto& entry = *ValueOf(created);
  Gateway gateway(entry, control);
  auto server = HttpServer::Create(traffic,
                                   { .listen = aSettings.listen,
                                     .maxBodyBytes = aSettings.maxBodyBytes,
                                     .readTimeout = aSettings.requestTimeout,
                                     .maxConnections = aSettings.maxConnections },
                                   [&gateway](IncomingRequest aRequest, Respond aRespond) {
                                     gateway.Handle(std::move(aRequest), std::move(aRespond));
                                   });
  if (IsError(server)) {
    fmt::print(stderr, "zinc-entry: {}\n", ErrorOf(server).message);
    return kExitFailed;
  }
  entry.AttachServer([server = ValueOf(server)] { return server->OpenRequests(); },
                     [server = ValueOf(server)] { server->Drain(); });
  entry.SetStoppedHandler([&control] { control.stop(); });
  boost::asio::signal_set signals(control, SIGINT, SIGTERM);
  signals.async_wait([&entry](const boost::system::error_code& aError, int) {
    if (!aError) {
      entry.Stop();
    }
  });
  const TrafficThreads threads(traffic, aSettings.trafficThreads);
  entry.Start();
  control.run();
  return kExitOk;
}

}

/// Parses the command line and runs the instance, on the users' platform if `--platform` is given.
/// @return the exit code of the program.
int
RunEntry(int aCount, char** aArguments)
{
  cxxopts::Options options("zinc-entry", "Runs an entry instance of the zincshore scheduler");
  auto add = options.add_options();
  add("settings", "YAML file with settings", cxxopts::value<std::string>());
  add("platform",
      "run on the users' platform; the value names the environment variable with the path of its "
      "settings file",
      cxxopts::value<std::string>());
  add("metrics-port",
      "port on which metrics are served with --platform; 0 serves none",
      cxxopts::value<std::uint16_t>()->default_value("0"));
  add("traffic-threads-on-platform",
      "threads for connections with --platform; 0 uses the control thread",
      cxxopts::value<std::uint32_t>()->default_value("1"));
  add("check", "validate the settings and exit");
  add("help", "print this help");
  for (const auto& setting : EntrySettingDescriptions()) {
    add(FlagName(setting.path), std::string(setting.summary), cxxopts::value<std::string>());
  }
  const auto arguments = options.parse(aCount, aArguments);
  if (arguments.count("help") > 0) {
    fmt::print("{}\n", options.help());
    return kExitOk;
  }
  if (arguments.count("platform") > 0) {
    const auto variable = arguments["platform"].as<std::string>();
    const char* path = std::getenv(variable.c_str());
    if (path == nullptr) {
      fmt::print(
        stderr,
        "zinc-entry: the environment variable {} is not set; it must name the settings file\n",
        variable);
      return kExitBadSettings;
    }
    return RunOnPlatform(
      { .settingsPath = path,
        .metricsPort = arguments["metrics-port"].as<std::uint16_t>(),
        .trafficThreads = arguments["traffic-threads-on-platform"].as<std::uint32_t>() });
  }
  std::string yaml = "{}";
  if (arguments.count("settings") > 0) {
    const auto path = arguments["settings"].as<std::string>();
    const auto text = ReadFile(path);
    if (!text) {
      fmt::print(stderr, "zinc-entry: cannot read the settings file {}\n", path);
      return kExitBadSettings;
    }
    yaml = *text;
  }
  auto overrides = OverridesFromEnvironment(
    EntrySettingDescriptions(), kVariablePrefix, environ, UnknownVariables::Refuse);
  for (const auto& setting : EntrySettingDescriptions()) {
    const auto flag = FlagName(setting.path);
    if (arguments.count(flag) > 0) {
      overrides.push_back({ .path = std::string(setting.path),
                            .value = arguments[flag].as<std::string>(),
                            .origin = "--" + flag });
    }
  }
  const auto loaded = LoadEntrySettings(yaml, overrides);
  if (const auto* faults = std::get_if<Faults>(&loaded)) {
    return PrintFaults(*faults);
  }
  if (arguments.count("check") > 0) {
    return kExitOk;
  }
  return Serve(std::get<EntrySettings>(loaded));
}

}

int
main(int aCount, char** aArguments)
{
  try {
    return zinc::RunEntry(aCount, aArguments);
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "zinc-entry: {}\n", error.what());
    return 2;
  }
}
