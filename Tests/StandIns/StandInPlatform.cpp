#include <StandIns/StandInPlatform.h>

#include <LibPlatform/Codec.h>
#include <LibPlatform/Json.h>
#include <StandIns/TableModel.h>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <deque>
#include <fmt/format.h>
#include <json/json.h>
#include <map>
#include <pcg_random.hpp>
#include <random>

namespace zinc {

namespace {

constexpr std::string_view kObjectsPath = "/objects/";
constexpr std::size_t kListLimit = 10000;
/// Longer values are cut in the history.
constexpr std::size_t kHistoryValueBytes = 65536;
/// Snapshots of the instance list older than the largest lag are dropped.
constexpr Milliseconds kListLagLimit{ 600000 };

TimePoint
Now()
{
  return SteadyClock().Now();
}

template<typename T>
Json::Value
ListJson(const char* aName, const std::vector<T>& aList)
{
  Json::Value array(Json::arrayValue);
  for (const T& element : aList) {
    array.append(ToJson(element));
  }
  Json::Value value(Json::objectValue);
  value[aName] = std::move(array);
  return value;
}

std::optional<std::size_t>
ParseLimit(const std::string& aText)
{
  std::size_t limit = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, status] = std::from_chars(aText.data(), end, limit);
  if (status != std::errc{} || stop != end || limit == 0) {
    return {};
  }
  return std::min(limit, kListLimit);
}

ServerMode
ReadMode(JsonFields& aFields)
{
  const std::string mode = aFields.OptionalText("mode", kIdentifierBytesLimit);
  if (mode == "refusing") {
    return ServerMode::Refusing;
  }
  if (mode == "holding") {
    return ServerMode::Holding;
  }
  if (!mode.empty() && mode != "serving") {
    aFields.AddFault("mode", "must be serving, refusing or holding");
  }
  return ServerMode::Serving;
}

}

Result<PlatformFault>
PlatformFault::FromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "fault");
  const auto duration = [&fields](const char* aField) {
    return Milliseconds(fields.OptionalInteger(aField, 0, kListLagLimit.count()).value_or(0));
  };
  PlatformFault fault;
  fault.mode = ReadMode(fields);
  fault.loseCommitReply = fields.Number("lose_commit_reply", 0, 0, 1);
  fault.leastDelay = duration("least_delay_ms");
  fault.mostDelay = std::max(fault.leastDelay, duration("most_delay_ms"));
  fault.slowPart = fields.Number("slow_part", 0, 0, 1);
  fault.slowDelay = duration("slow_delay_ms");
  fault.listLag = duration("list_lag_ms");
  for (const Json::Value& zone : fields.Array("cut_zones")) {
    if (!zone.isString()) {
      fields.AddFault("cut_zones", "must hold names of availability zones");
      break;
    }
    fault.cutZones.push_back({ zone.asString() });
  }
  fault.silenceOpenConnections = fields.Boolean("silence_open_connections");
  fault.seed = static_cast<std::uint64_t>(fields.OptionalInteger("seed").value_or(1));
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return fault;
}

class StandInPlatform::Core : public std::enable_shared_from_this<StandInPlatform::Core>
{
public:
  explicit Core(Options aOptions)
    : options(std::move(aOptions))
  {
    this->snapshots.push_back({ .since = Now() });
  }

  std::optional<Verdict> Listen();
  void Close() { this->server.reset(); }
  [[nodiscard]] Endpoint Address() const { return this->options.listen; }
  void Apply(const PlatformFault& aFault);
  void Register(const Instance& aInstance);
  void Unregister(const std::string& aName);

private:
  using Route = void (Core::*)(const HttpCallPointer&);
  using InstanceMap = std::map<std::string, Instance>;

  struct RouteEntry
  {
    std::string_view method;
    std::string_view path;
    Route route;
  };

  /// The instance list from a point in time on.
  struct Snapshot
  {
    TimePoint since;
    InstanceMap instances;
  };

  void Serve(const HttpCallPointer& aCall);
  void ServeCommit(const HttpCallPointer& aCall);
  void ServeRow(const HttpCallPointer& aCall);
  void ServeList(const HttpCallPointer& aCall);
  void ServeInstances(const HttpCallPointer& aCall);
  void ServeRegister(const HttpCallPointer& aCall);
  void ServeUnregister(const HttpCallPointer& aCall);
  void ServeObject(const HttpCallPointer& aCall);

  [[nodiscard]] bool IsCut(const std::string& aUserAgent) const;
  [[nodiscard]] bool Draws(double aProbability);
  void Send(const HttpCallPointer& aCall, unsigned aStatus, std::string aBody);
  void SendJson(const HttpCallPointer& aCall, const Json::Value& aValue);
  void RecordCommit(const Transaction& aTransaction, CommitOutcome aOutcome);
  void PushSnapshot(InstanceMap aInstances);

  Options options;
  std::shared_ptr<HttpServer> server;
  TableModel table;
  std::map<std::string, std::string> objects;
  std::deque<Snapshot> snapshots;
  std::vector<HttpCallPointer> swallowed;
  PlatformFault fault;
  pcg64 random;
};

std::optional<Verdict>
StandInPlatform::Core::Listen()
{
  auto created = HttpServer::Create({
    .context = this->options.context,
    .listen = this->options.listen,
    .handler =
      [weak = this->weak_from_this()](const HttpCallPointer& aCall) {
        if (const auto self = weak.lock()) {
          self->Serve(aCall);
        }
      },
  });
  if (IsError(created)) {
    return ErrorOf(created);
  }
  this->server = std::move(ValueOf(created));
  this->options.listen.port = this->server->Port();
  return {};
}

void
StandInPlatform::Core::Apply(const PlatformFault& aFault)
{
  this->fault = aFault;
  this->random.seed(aFault.seed);
  std::erase_if(this->swallowed, [this](const HttpCallPointer& aCall) {
    const bool isHealed = !this->IsCut(aCall->headers["User-Agent"]);
    if (isHealed) {
      aCall->Drop();
    }
    return isHealed;
  });
  this->server->SetMode(aFault.mode);
  if (aFault.silenceOpenConnections) {
    this->server->SilenceOpenConnections();
  }
}

void
StandInPlatform::Core::Serve(const HttpCallPointer& aCall)
{
  static constexpr std::array kRoutes = {
    RouteEntry{ "POST", "/table/commit", &Core::ServeCommit },
    RouteEntry{ "GET", "/table/row", &Core::ServeRow },
    RouteEntry{ "GET", "/table/list", &Core::ServeList },
    RouteEntry{ "GET", "/instances", &Core::ServeInstances },
    RouteEntry{ "POST", "/instances", &Core::ServeRegister },
    RouteEntry{ "DELETE", "/instances", &Core::ServeUnregister },
  };
  if (this->IsCut(aCall->headers["User-Agent"])) {
    this->swallowed.push_back(aCall);
    return;
  }
  for (const RouteEntry& entry : kRoutes) {
    if (entry.method == aCall->method && entry.path == aCall->target.path) {
      (this->*entry.route)(aCall);
      return;
    }
  }
  if (aCall->target.path.starts_with(kObjectsPath)) {
    this->ServeObject(aCall);
    return;
  }
  ReplyVerdict(*aCall, NotRun(ErrorCode::NotFound, "There is no such path."));
}

void
StandInPlatform::Core::ServeCommit(const HttpCallPointer& aCall)
{
  const Result<Json::Value> json = ParseJson(aCall->body);
  if (IsError(json)) {
    ReplyVerdict(*aCall, ErrorOf(json));
    return;
  }
  const Result<Transaction> transaction = TransactionFromJson(ValueOf(json));
  if (IsError(transaction)) {
    ReplyVerdict(*aCall, ErrorOf(transaction));
    return;
  }
  const CommitOutcome outcome = this->table.Commit(ValueOf(transaction));
  this->RecordCommit(ValueOf(transaction), outcome);
  if (this->Draws(this->fault.loseCommitReply)) {
    aCall->Drop();
    return;
  }
  Json::Value reply(Json::objectValue);
  reply["outcome"] = std::string(ToString(outcome));
  this->SendJson(aCall, reply);
}

void
StandInPlatform::Core::RecordCommit(const Transaction& aTransaction, CommitOutcome aOutcome)
{
  if (!this->options.history.IsOn()) {
    return;
  }
  Json::Value line(Json::objectValue);
  line["event"] = "commit";
  line["outcome"] = std::string(ToString(aOutcome));
  line["version"] = Json::Value::UInt64(this->table.LastVersion());
  line["writes"] = Json::Value(Json::arrayValue);
  for (const Write& write : aTransaction.writes) {
    Json::Value entry(Json::objectValue);
    entry["key"] = write.key;
    if (write.value) {
      entry["value"] = write.value->substr(0, kHistoryValueBytes);
    }
    line["writes"].append(std::move(entry));
  }
  this->options.history.Record(std::move(line));
}

void
StandInPlatform::Core::ServeRow(const HttpCallPointer& aCall)
{
  const auto key = aCall->target.Query("key");
  if (!key) {
    ReplyVerdict(*aCall, NotRun(ErrorCode::BadRequest, "The key is missing."));
    return;
  }
  Json::Value reply(Json::objectValue);
  if (const std::optional<Row> row = this->table.Read(*key)) {
    reply["row"] = ToJson(*row);
  }
  this->SendJson(aCall, reply);
}

void
StandInPlatform::Core::ServeList(const HttpCallPointer& aCall)
{
  const Target& target = aCall->target;
  const auto limit = ParseLimit(target.Query("limit").value_or("1000"));
  if (!limit) {
    ReplyVerdict(*aCall, NotRun(ErrorCode::BadRequest, "The limit is malformed."));
    return;
  }
  const ListRequest request{ .prefix = target.Query("prefix").value_or(""),
                             .after = target.Query("after").value_or(""),
                             .limit = *limit };
  this->SendJson(aCall, ListJson("rows", this->table.List(request)));
}

void
StandInPlatform::Core::ServeInstances(const HttpCallPointer& aCall)
{
  const TimePoint shown = Now() - this->fault.listLag;
  const Snapshot* snapshot = &this->snapshots.front();
  for (const Snapshot& candidate : this->snapshots) {
    if (candidate.since <= shown) {
      snapshot = &candidate;
    }
  }
  std::vector<Instance> instances;
  for (const auto& [name, instance] : snapshot->instances) {
    instances.push_back(instance);
  }
  this->SendJson(aCall, ListJson("instances", instances));
}

void
StandInPlatform::Core::ServeRegister(const HttpCallPointer& aCall)
{
  const Result<Json::Value> json = ParseJson(aCall->body);
  if (IsError(json)) {
    ReplyVerdict(*aCall, ErrorOf(json));
    return;
  }
  const Result<Instance> instance = InstanceFromJson(ValueOf(json));
  if (IsError(instance)) {
    ReplyVerdict(*aCall, ErrorOf(instance));
    return;
  }
  this->Register(ValueOf(instance));
  this->SendJson(aCall, Json::Value(Json::objectValue));
}

void
StandInPlatform::Core::ServeUnregister(const HttpCallPointer& aCall)
{
  this->Unregister(aCall->target.Query("name").value_or(""));
  this->SendJson(aCall, Json::Value(Json::objectValue));
}

void
StandInPlatform::Core::ServeObject(const HttpCallPointer& aCall)
{
  const std::string name = aCall->target.path.substr(kObjectsPath.size());
  if (aCall->method == "PUT") {
    this->objects[name] = aCall->body;
    this->Send(aCall, 200, "{}");
    return;
  }
  if (aCall->method == "DELETE") {
    this->objects.erase(name);
    this->Send(aCall, 200, "{}");
    return;
  }
  const auto found = this->objects.find(name);
  if (found == this->objects.end()) {
    ReplyVerdict(*aCall, NotRun(ErrorCode::NotFound, "There is no such object."));
    return;
  }
  this->Send(aCall, 200, found->second);
}

void
StandInPlatform::Core::Register(const Instance& aInstance)
{
  InstanceMap instances = this->snapshots.back().instances;
  instances[aInstance.name] = aInstance;
  this->PushSnapshot(std::move(instances));
}

void
StandInPlatform::Core::Unregister(const std::string& aName)
{
  InstanceMap instances = this->snapshots.back().instances;
  instances.erase(aName);
  this->PushSnapshot(std::move(instances));
}

void
StandInPlatform::Core::PushSnapshot(InstanceMap aInstances)
{
  const TimePoint now = Now();
  // Without a lag nobody will look at the past.
  if (this->fault.listLag.count() == 0) {
    this->snapshots.clear();
  }
  while (this->snapshots.size() > 1 && this->snapshots[1].since + kListLagLimit < now) {
    this->snapshots.pop_front();
  }
  this->snapshots.push_back({ .since = now, .instances = std::move(aInstances) });
}

bool
StandInPlatform::Core::IsCut(const std::string& aUserAgent) const
{
  for (const ZoneId& zone : this->fault.cutZones) {
    const std::string mark = "zone/" + zone.value;
    const std::size_t found = aUserAgent.find(mark);
    const std::size_t end = found + mark.size();
    if (found != std::string::npos && (end == aUserAgent.size() || aUserAgent[end] == ' ')) {
      return true;
    }
  }
  return false;
}

bool
StandInPlatform::Core::Draws(double aProbability)
{
  return aProbability > 0 &&
         std::uniform_real_distribution<double>(0, 1)(this->random) < aProbability;
}

void
StandInPlatform::Core::SendJson(const HttpCallPointer& aCall, const Json::Value& aValue)
{
  this->Send(aCall, 200, WriteJson(aValue));
}

void
StandInPlatform::Core::Send(const HttpCallPointer& aCall, unsigned aStatus, std::string aBody)
{
  const PlatformFault& current = this->fault;
  std::uniform_int_distribution<std::int64_t> range(current.leastDelay.count(),
                                                    current.mostDelay.count());
  const Milliseconds delay =
    this->Draws(current.slowPart) ? current.slowDelay : Milliseconds(range(this->random));
  if (delay.count() == 0) {
    aCall->Reply(aStatus, std::move(aBody));
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(this->options.context, delay);
  timer->async_wait([timer, call = aCall, aStatus, body = std::move(aBody)](
                      const boost::system::error_code&) { call->Reply(aStatus, body); });
}

StandInPlatform::StandInPlatform(std::shared_ptr<Core> aCore)
  : core(std::move(aCore))
{
}

StandInPlatform::~StandInPlatform()
{
  this->core->Close();
}

Result<std::shared_ptr<StandInPlatform>>
StandInPlatform::Create(Options aOptions)
{
  auto core = std::make_shared<Core>(std::move(aOptions));
  if (const std::optional<Verdict> failure = core->Listen()) {
    return *failure;
  }
  return std::shared_ptr<StandInPlatform>(new StandInPlatform(std::move(core)));
}

Endpoint
StandInPlatform::Address() const
{
  return this->core->Address();
}

void
StandInPlatform::Apply(const PlatformFault& aFault)
{
  this->core->Apply(aFault);
}

void
StandInPlatform::Register(const Instance& aInstance)
{
  this->core->Register(aInstance);
}

void
StandInPlatform::Unregister(const std::string& aName)
{
  this->core->Unregister(aName);
}

}
