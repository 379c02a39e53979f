#include "PlatformProgram.h"

#include "ReadFile.h"
#include "TrafficThreads.h"
#include <LibBase/BootClock.h>
#include <LibInstance/CallRelay.h>
#include <LibInstance/CellInstance.h>
#include <LibInstanceCalls/InstanceCalls.h>
#include <LibLog/LineWriter.h>
#include <LibTraffic/HttpServer.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <fmt/format.h>
#include <platform/AdviceClient.h>
#include <platform/BootSettings.h>
#include <platform/CallerInterface.h>
#include <platform/Decoders.h>
#include <platform/StoreClient.h>
#include <platform/WorkerClient.h>
#include <random>
#include <unistd.h>

namespace zinc {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

/// Calls of the store take a few ms and up to a quarter second while it is slow.
constexpr Milliseconds kStoreTimeout{ 1200 };
constexpr Milliseconds kOrderTimeout{ 700 };
/// A worker in reach accepts a connection within a few ms; a new leader waits for each.
constexpr Milliseconds kWorkerConnectTimeout{ 300 };
constexpr Milliseconds kInstanceTimeout{ 500 };
/// Feeds and transactions at a time; each takes a connection.
constexpr std::size_t kStoreConnections = 24;
/// The policy service serves an instance one call at a time; the second waits there.
constexpr std::size_t kAdviceConnections = 3;
constexpr std::size_t kInstanceConnections = 6;
/// Part of the grace period after which connections are closed once they are answered.
constexpr double kServeWhileLeaving = 0.75;
/// Left of the grace period when the process ends by itself at the latest.
constexpr Milliseconds kExitMargin{ 800 };
constexpr Milliseconds kLeaveTick{ 50 };
/// Lines are written at the latest after this.
constexpr Milliseconds kLogFlush{ 200 };
/// Longer leases than this would only keep tasks waiting for workers that are gone: links are cut
/// for 6 s at the most, and a lease is renewed each 0.7 s.
constexpr Milliseconds kLongestLease{ 7500 };
/// A worker's row is removed after so many heartbeats without one.
constexpr int kMissedHeartbeats = 3;

class AsioTimer final : public cell::TimerPort
{
public:
  explicit AsioTimer(boost::asio::io_context& aControl)
    : control(aControl)
  {
  }

  void RunAfter(Milliseconds aDelay, std::function<void()> aFunction) override
  {
    if (aDelay.count() == 0) {
      boost::asio::post(this->control, std::move(aFunction));
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(this->control, aDelay);
    timer->async_wait([timer, function = std::move(aFunction)](boost::system::error_code aError) {
      if (!aError) {
        function();
      }
    });
  }

private:
  boost::asio::io_context& control;
};

cell::WallTime
WallNow()
{
  return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

Result<platform::BootSettings>
LoadBootSettings(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  if (!text) {
    return NotRun(ErrorCode::BadRequest, fmt::format("The file {} cannot be read.", aPath));
  }
  return platform::DecodeBootSettings(*text);
}

/// All parts of the process, in the order in which they depend on each other.
class PlatformProgram
{
public:
  PlatformProgram(const PlatformProgramOptions& aOptions, platform::BootSettings aBoot)
    : options(aOptions)
    , boot(std::move(aBoot))
    , log({ .writer = &this->lines })
    , timer(this->control)
  {
  }

  int Run();

private:
  [[nodiscard]] HttpOptions HttpFor(const Endpoint& aEndpoint,
                                    std::size_t aConnections,
                                    Milliseconds aTimeout);
  [[nodiscard]] boost::asio::io_context& Traffic()
  {
    return this->options.trafficThreads == 0 ? this->control : this->traffic;
  }
  [[nodiscard]] Result<Done> MakeClients();
  void MakeInstance();
  void MakeRelay(std::uint64_t aSeed);
  /// @return the version of the document in force; 0 before the first one is known.
  [[nodiscard]] std::uint64_t DocumentVersion() const;
  [[nodiscard]] Result<Done> OpenServers();
  [[nodiscard]] Result<std::shared_ptr<HttpServer>> Open(
    const Endpoint& aEndpoint,
    std::function<void(const IncomingRequest&, Respond)> aHandler);
  void AwaitSignals();
  void OnSignal(int aSignal);
  void Reload();
  void Leave();
  void LeaveTick();
  void FlushLog();

  PlatformProgramOptions options;
  platform::BootSettings boot;
  boost::asio::io_context control{ 1 };
  boost::asio::io_context traffic;
  LineWriter lines{ {} };
  Logger log;
  BootClock clock;
  MetricRegistry metrics;
  AsioTimer timer;
  std::unique_ptr<platform::StoreClient> store;
  std::unique_ptr<platform::WorkerClient> workers;
  std::unique_ptr<platform::AdviceClient> advice;
  std::unique_ptr<InstanceCallClient> calls;
  std::unique_ptr<CellInstance> instance;
  std::unique_ptr<platform::CallerInterface> callers;
  std::unique_ptr<InstanceCallServer> callServer;
  std::unique_ptr<CallRelay> relay;
  std::vector<std::shared_ptr<HttpServer>> servers;
  std::unique_ptr<boost::asio::signal_set> signals;
  std::optional<TimePoint> leavingSince;
  bool isDrained = false;
};

HttpOptions
PlatformProgram::HttpFor(const Endpoint& aEndpoint, std::size_t aConnections, Milliseconds aTimeout)
{
  return { .endpoints = { aEndpoint },
           .connections = aConnections,
           .requestTimeout = aTimeout,
           .userAgent = this->boot.instance,
           .traffic = this->Traffic(),
           .control = this->control.get_executor() };
}

Result<Done>
PlatformProgram::MakeClients()
{
  auto storeHttp =
    HttpClient::Create(this->HttpFor(this->boot.store, kStoreConnections, kStoreTimeout));
  if (IsError(storeHttp)) {
    return ErrorOf(storeHttp);
  }
  this->store = std::make_unique<platform::StoreClient>(ValueOf(storeHttp));
  if (this->boot.advice) {
    auto adviceHttp =
      HttpClient::Create(this->HttpFor(*this->boot.advice, kAdviceConnections, kOrderTimeout));
    if (IsError(adviceHttp)) {
      return ErrorOf(adviceHttp);
    }
    this->advice = std::make_unique<platform::AdviceClient>(ValueOf(adviceHttp));
  }
  auto workerHttp = this->HttpFor({}, 1, kOrderTimeout);
  workerHttp.connectTimeout = kWorkerConnectTimeout;
  this->workers = std::make_unique<platform::WorkerClient>(
    platform::WorkerClient::Options{ .http = std::move(workerHttp) }, this->log);
  this->calls =
    std::make_unique<InstanceCallClient>(this->HttpFor({}, kInstanceConnections, kInstanceTimeout));
  return Done{};
}

void
PlatformProgram::MakeInstance()
{
  std::random_device random;
  CellInstanceOptions figures{
    .identity = { .name = this->boot.instance,
                  .incarnation = fmt::format("{:08x}{:08x}", random(), random()),
                  .address = this->boot.address,
                  .port = this->boot.peerPort,
                  .milliCores = this->boot.milliCores },
    .zone = this->boot.zone,
  };
  figures.conductor.longestLease = std::min(this->boot.longestLease, kLongestLease);
  figures.conductor.rowLapse = this->boot.heartbeat * kMissedHeartbeats;
  figures.leadership.maxLeaseAfterTerm = figures.conductor.LeaseBound();
  figures.conductor.statusKept = this->boot.statusKept;
  this->instance = std::make_unique<CellInstance>(
    CellInstance::Dependencies{
      .store = *this->store,
      .workers = *this->workers,
      .advise =
        [this](const cell::AdviceRequest& aQuestion, cell::Handler<cell::AdviceResponse> aHandler) {
          if (!this->advice) {
            aHandler(NotRun(ErrorCode::Unavailable, "There is no policy service."));
            return;
          }
          this->advice->Ask(aQuestion, std::move(aHandler));
        },
      .calls = *this->calls,
      .timer = this->timer,
      .clock = this->clock,
      .wallClock = &WallNow,
      .log = this->log,
      .metrics = this->metrics,
      .layout = { .documentTable = platform::kOperatorTable,
                  .documentKey = platform::kDocumentKey,
                  .decodeDocument = &platform::DecodeDocument,
                  .workerTable = platform::kWorkerTable,
                  .decodeWorker = &platform::DecodeWorkerEntry } },
    std::move(figures));
  this->callers = std::make_unique<platform::CallerInterface>(
    platform::CallerInterface::Dependencies{ .caller = *this->instance,
                                             .log = this->log,
                                             .metrics = this->metrics,
                                             .wallClock = &WallNow });
  this->callServer = std::make_unique<InstanceCallServer>(InstanceCallServer::Handlers{
    .advise =
      [this](const cell::AdviceRequest& aQuestion, cell::Handler<cell::AdviceResponse> aHandler) {
        this->instance->RequestAdvice(this->boot.instance, aQuestion, std::move(aHandler));
      },
    .status = [this](const JobId& aJob) { return this->instance->ConductorStatus(aJob); },
    .askStore =
      [this](cell::Handler<bool> aHandler) { this->instance->AskStore(std::move(aHandler)); },
    .resigned =
      [this](cell::Resignation aResignation) {
        this->instance->OnResigned(std::move(aResignation));
      },
    .documentVersion = [this] { return this->DocumentVersion(); },
    .call = [this](const IncomingRequest& aRequest,
                   Respond aRespond) { this->callers->Handle(aRequest, std::move(aRespond)); } });
  this->MakeRelay(random());
}

std::uint64_t
PlatformProgram::DocumentVersion() const
{
  const auto policy = this->instance->Policy();
  return policy ? policy->version : 0;
}

void
PlatformProgram::MakeRelay(std::uint64_t aSeed)
{
  this->relay = std::make_unique<CallRelay>(
    CallRelay::Dependencies{
      .timer = this->timer,
      .clock = this->clock,
      .log = this->log,
      .reachesStore = [this] { return this->instance->ReachesStore(); },
      .peers = [this] { return this->instance->PeersToAsk(); },
      .onReachable =
        [this](const std::string& aPeer) { this->instance->OnPeerReachesStore(aPeer); },
      .ask =
        [this](const std::string& aPeer, std::function<void(Result<bool>)> aHandler) {
          this->calls->AskReach(this->instance->EndpointOf(aPeer), std::move(aHandler));
        },
      .documentVersion = [this] { return this->DocumentVersion(); },
      .pass =
        [this](const std::string& aPeer,
               const PassedRequest& aRequest,
               std::function<void(Result<PassedResponse>)> aHandler) {
          this->calls->PassOn(this->instance->EndpointOf(aPeer), aRequest, std::move(aHandler));
        },
      .answer =
        [this](const IncomingRequest& aRequest, Respond aRespond) {
          this->callers->Handle(aRequest, std::move(aRespond));
        } },
    aSeed);
}

Result<std::shared_ptr<HttpServer>>
PlatformProgram::Open(const Endpoint& aEndpoint,
                      std::function<void(const IncomingRequest&, Respond)> aHandler)
{
  return HttpServer::Create(
    this->Traffic(),
    { .listen = aEndpoint },
    [this, handler = std::move(aHandler)](IncomingRequest aRequest, Respond aRespond) {
      boost::asio::post(
        this->control,
        [handler, request = std::move(aRequest), respond = std::move(aRespond)]() mutable {
          handler(request, std::move(respond));
        });
    });
}

Result<Done>
PlatformProgram::OpenServers()
{
  std::vector<std::pair<Endpoint, std::function<void(const IncomingRequest&, Respond)>>> wanted = {
    { this->boot.readiness,
      [this](const IncomingRequest& aRequest, Respond aRespond) {
        this->callers->HandleReadiness(aRequest, aRespond);
      } },
    { { .address = this->boot.address, .port = this->boot.peerPort },
      [this](const IncomingRequest& aRequest, Respond aRespond) {
        this->callServer->Handle(aRequest, std::move(aRespond));
      } },
    { this->boot.callers,
      [this](const IncomingRequest& aRequest, Respond aRespond) {
        this->relay->Handle(aRequest, std::move(aRespond));
      } },
  };
  if (this->options.metricsPort != 0) {
    wanted.push_back(
      { { .address = this->boot.address, .port = this->options.metricsPort },
        [this](const IncomingRequest&, const Respond& aRespond) {
          aRespond({ .contentType = "text/plain; version=0.0.4", .body = this->metrics.Render() });
        } });
  }
  for (const auto& [endpoint, handler] : wanted) {
    auto opened = this->Open(endpoint, handler);
    if (IsError(opened)) {
      return ErrorOf(opened);
    }
    this->servers.push_back(ValueOf(opened));
  }
  return Done{};
}

void
PlatformProgram::AwaitSignals()
{
  if (!this->signals) {
    this->signals =
      std::make_unique<boost::asio::signal_set>(this->control, SIGTERM, SIGINT, SIGHUP);
  }
  this->signals->async_wait([this](const boost::system::error_code& aError, int aSignal) {
    if (!aError) {
      this->OnSignal(aSignal);
      this->AwaitSignals();
    }
  });
}

void
PlatformProgram::OnSignal(int aSignal)
{
  if (aSignal == SIGHUP) {
    this->Reload();
    return;
  }
  this->Leave();
}

void
PlatformProgram::Reload()
{
  auto loaded = LoadBootSettings(this->options.settingsPath);
  if (IsError(loaded)) {
    this->log.Log(LogLevel::Error, "settings_refused", { { "reason", ErrorOf(loaded).message } });
    return;
  }
  // Addresses hold for the life of a process; only the grace period can change under way.
  this->boot.gracePeriod = ValueOf(loaded).gracePeriod;
  this->log.Log(
    LogLevel::Info, "settings_reloaded", { { "grace_ms", this->boot.gracePeriod.count() } });
}

void
PlatformProgram::Leave()
{
  if (this->leavingSince) {
    return;
  }
  this->leavingSince = this->clock.Now();
  this->log.Log(LogLevel::Info, "leaving", { { "grace_ms", this->boot.gracePeriod.count() } });
  this->instance->Leave();
  this->LeaveTick();
}

void
PlatformProgram::LeaveTick()
{
  const auto elapsed = this->clock.Now() - *this->leavingSince;
  const auto serving = Milliseconds(static_cast<std::int64_t>(
    static_cast<double>(this->boot.gracePeriod.count()) * kServeWhileLeaving));
  if (elapsed >= serving && !this->isDrained) {
    this->isDrained = true;
    for (const auto& server : this->servers) {
      server->Drain();
    }
  }
  std::size_t open = 0;
  for (const auto& server : this->servers) {
    open += server->OpenRequests();
  }
  const bool isLast = elapsed + kExitMargin >= this->boot.gracePeriod;
  if ((this->isDrained && open == 0) || isLast) {
    this->log.Log(LogLevel::Info, "stopped", { { "open_requests", open } });
    this->control.stop();
    return;
  }
  this->timer.RunAfter(kLeaveTick, [this] { this->LeaveTick(); });
}

void
PlatformProgram::FlushLog()
{
  this->lines.Flush();
  this->timer.RunAfter(kLogFlush, [this] { this->FlushLog(); });
}

int
PlatformProgram::Run()
{
  const auto clients = this->MakeClients();
  if (IsError(clients)) {
    fmt::print(stderr, "zinc-entry: {}\n", ErrorOf(clients).message);
    return kExitFailed;
  }
  this->MakeInstance();
  const auto opened = this->OpenServers();
  if (IsError(opened)) {
    fmt::print(stderr, "zinc-entry: {}\n", ErrorOf(opened).message);
    return kExitFailed;
  }
  this->AwaitSignals();
  this->log.Log(LogLevel::Info,
                "started",
                { { "instance", this->boot.instance },
                  { "zone", this->boot.zone },
                  { "callers", this->boot.callers.port },
                  { "threads", this->options.trafficThreads } });
  const TrafficThreads threads(this->traffic, this->options.trafficThreads);
  this->instance->Start();
  this->relay->Start();
  this->FlushLog();
  this->control.run();
  return kExitOk;
}

}

int
RunOnPlatform(const PlatformProgramOptions& aOptions)
{
  auto boot = LoadBootSettings(aOptions.settingsPath);
  if (IsError(boot)) {
    fmt::print(stderr, "zinc-entry: {}: {}\n", aOptions.settingsPath, ErrorOf(boot).message);
    return kExitBadSettings;
  }
  // A reader of the log that goes away must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  PlatformProgram program(aOptions, std::move(ValueOf(boot)));
  return program.Run();
}

}
