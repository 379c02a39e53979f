#include <LibSettings/EntrySettings.h>

#include <LibDocument/KeyVerifier.h>
#include <LibDocument/VerifierRules.h>
#include <LibSettings/EndpointText.h>
#include <LibYaml/MappingReader.h>

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <unordered_set>
#include <utility>

namespace zinc {

namespace {

constexpr IntegerRange kTimeoutRange{ .min = 10, .max = 3'600'000 };
constexpr IntegerRange kFlushRange{ .min = 1, .max = 10'000 };
constexpr IntegerRange kShardsRange{ .min = 1, .max = 1024 };
constexpr IntegerRange kWritesRange{ .min = 1, .max = 10'000 };
constexpr IntegerRange kThreadsRange{ .min = 1, .max = 64 };
constexpr IntegerRange kBodyBytesRange{ .min = 1024, .max = 64 * 1024 * 1024 };
constexpr IntegerRange kConnectionsRange{ .min = 1, .max = 100'000 };
/// Heartbeats that may be lost before a peer is taken for lost.
constexpr int kMinHeartbeatsPerTimeout = 2;

constexpr std::array<NamedValue<LogFormat>, 2> kLogFormatNames{ {
  { "key_value", LogFormat::KeyValue },
  { "json", LogFormat::Json },
} };

constexpr std::array<NamedValue<LogLevel>, 4> kLogLevelNames{ {
  { "debug", LogLevel::Debug },
  { "info", LogLevel::Info },
  { "warning", LogLevel::Warning },
  { "error", LogLevel::Error },
} };

constexpr std::array kDescriptions{
  SettingDescription{ "name", "Name of this entry instance" },
  SettingDescription{ "zone", "Availability zone of this entry instance" },
  SettingDescription{ "rack", "Rack of this entry instance" },
  SettingDescription{ "listen", "Address and port for callers and operators" },
  SettingDescription{ "peer", "Address and port for other entry instances" },
  SettingDescription{ "platform.table", "Address and port of the table service" },
  SettingDescription{ "platform.object_store", "Address and port of the object store" },
  SettingDescription{ "platform.instance_list", "Address and port of the instance list" },
  SettingDescription{ "peers", "Peers to ask at start, separated by commas", SettingShape::List },
  SettingDescription{ "lease_ms", "Lease on a worker in milliseconds (3000)" },
  SettingDescription{ "orphan_timeout_ms",
                      "Milliseconds after which a worker nobody leases stops its tasks (15000)" },
  SettingDescription{ "heartbeat_ms", "Milliseconds between heartbeats to a peer (500)" },
  SettingDescription{ "peer_timeout_ms", "Silence after which a peer is lost, in ms (2000)" },
  SettingDescription{ "ledger_shards", "Shards of the ledger (16)" },
  SettingDescription{ "ledger_flush_ms", "Longest wait to share a table write, in ms (50)" },
  SettingDescription{ "table_writes_per_second", "Table writes of this instance a second (40)" },
  SettingDescription{ "traffic_threads", "Threads for traffic (2)" },
  SettingDescription{ "max_body_bytes", "Largest request body in bytes (1048576)" },
  SettingDescription{ "request_timeout_ms", "Longest time for a request to arrive (10000)" },
  SettingDescription{ "max_connections", "Connections from callers at once (1000)" },
  SettingDescription{ "drain_timeout_ms", "Longest graceful shutdown in ms (30000)" },
  SettingDescription{ "key_confirmation_ms",
                      "Milliseconds that keys are honoured without confirmation (5000)" },
  SettingDescription{ "log_format", "key_value or json (key_value)" },
  SettingDescription{ "log_level", "debug, info, warning or error (info)" },
};

/// Reads one settings mapping.
class SettingsReader
{
public:
  SettingsReader(const YamlNode& aRoot, Faults& aFaults)
    : root(aRoot, "", aFaults)
  {
  }

  EntrySettings Read()
  {
    this->ReadIdentity();
    this->ReadAddresses();
    this->ReadTimes();
    this->ReadCapacities();
    this->ReadLogging();
    this->ReadOperators();
    this->root.RefuseUnknownKeys();
    return std::move(this->settings);
  }

private:
  void ReadIdentity()
  {
    this->root.ReadText("name", Presence::Required, kNameRule, this->settings.name);
    this->root.ReadText("zone", Presence::Required, kNameRule, this->settings.zone.value);
    this->root.ReadText("rack", Presence::Optional, kNameRule, this->settings.rack.value);
  }

  void ReadAddresses()
  {
    ReadEndpoint(this->root, "listen", this->settings.listen);
    ReadEndpoint(this->root, "peer", this->settings.peer);
    this->root.ReadMapping("platform", Presence::Required, [this](MappingReader& aPlatform) {
      ReadEndpoint(aPlatform, "table", this->settings.platform.table);
      ReadEndpoint(aPlatform, "object_store", this->settings.platform.objectStore);
      ReadEndpoint(aPlatform, "instance_list", this->settings.platform.instanceList);
    });
    this->root.ReadTexts(
      "peers", Presence::Optional, kEndpointRule, [this](std::string_view aText, int /*aLine*/) {
        this->settings.peers.push_back(*ParseEndpoint(aText));
      });
    if (!this->settings.listen.address.empty() && this->settings.listen == this->settings.peer) {
      this->root.AddFaultAt("peer", "peer is the same address as listen", "another port");
    }
  }

  static void ReadEndpoint(MappingReader& aReader, std::string_view aKey, Endpoint& aEndpoint)
  {
    std::string text;
    if (aReader.ReadText(aKey, Presence::Required, kEndpointRule, text)) {
      aEndpoint = *ParseEndpoint(text);
    }
  }

  void ReadTimes()
  {
    this->ReadTime("lease_ms", this->settings.lease);
    this->ReadTime("orphan_timeout_ms", this->settings.orphanTimeout);
    this->ReadTime("heartbeat_ms", this->settings.heartbeat);
    this->ReadTime("peer_timeout_ms", this->settings.peerTimeout);
    this->ReadTime("request_timeout_ms", this->settings.requestTimeout);
    this->ReadTime("drain_timeout_ms", this->settings.drainTimeout);
    this->ReadTime("key_confirmation_ms", this->settings.keyConfirmation);
    this->root.ReadMilliseconds(
      "ledger_flush_ms", Presence::Optional, kFlushRange, this->settings.ledgerFlush);
    this->CheckTimes();
  }

  void ReadTime(std::string_view aKey, Milliseconds& aTime)
  {
    this->root.ReadMilliseconds(aKey, Presence::Optional, kTimeoutRange, aTime);
  }

  void CheckTimes()
  {
    if (this->settings.orphanTimeout < this->settings.lease) {
      this->root.AddFaultAt("orphan_timeout_ms",
                            "orphan_timeout_ms is shorter than a lease",
                            fmt::format("at least lease_ms, {}", this->settings.lease.count()));
    }
    const Milliseconds minTimeout = this->settings.heartbeat * kMinHeartbeatsPerTimeout;
    if (this->settings.peerTimeout < minTimeout) {
      this->root.AddFaultAt("peer_timeout_ms",
                            "peer_timeout_ms is shorter than two heartbeats",
                            fmt::format("at least {}", minTimeout.count()));
    }
  }

  void ReadCapacities()
  {
    this->ReadCount("ledger_shards", kShardsRange, this->settings.ledgerShards);
    this->ReadCount("table_writes_per_second", kWritesRange, this->settings.tableWritesPerSecond);
    this->ReadCount("traffic_threads", kThreadsRange, this->settings.trafficThreads);
    this->ReadCount("max_body_bytes", kBodyBytesRange, this->settings.maxBodyBytes);
    this->ReadCount("max_connections", kConnectionsRange, this->settings.maxConnections);
  }

  template<typename Integer>
  void ReadCount(std::string_view aKey, IntegerRange aRange, Integer& aCount)
  {
    this->root.ReadInteger(aKey, Presence::Optional, aRange, aCount);
  }

  void ReadLogging()
  {
    this->root.ReadChoice(
      "log_format", Presence::Optional, kLogFormatNames, this->settings.logFormat);
    this->root.ReadChoice("log_level", Presence::Optional, kLogLevelNames, this->settings.logLevel);
  }

  void ReadOperators()
  {
    std::unordered_set<std::string> ids;
    this->root.ReadMappings("operators", Presence::Optional, [&](MappingReader& aReader) {
      OperatorKey key;
      const bool read = aReader.ReadText("id", Presence::Required, kNameRule, key.id.value);
      if (read && !ids.insert(key.id.value).second) {
        aReader.AddFaultAt("id", fmt::format("id {} appears twice", key.id.value), "another id");
      }
      aReader.ReadText("salt", Presence::Required, kSaltRule, key.salt);
      aReader.ReadText("hash", Presence::Required, kHashRule, key.hash);
      this->settings.operators.push_back(std::move(key));
    });
  }

  MappingReader root;
  EntrySettings settings;
};

}

std::variant<EntrySettings, Faults>
LoadEntrySettings(std::string_view aYaml, std::span<const SettingOverride> aOverrides)
{
  auto tree = ParseYaml(aYaml);
  if (std::holds_alternative<Faults>(tree)) {
    return std::get<Faults>(std::move(tree));
  }
  YamlNode& root = std::get<YamlNode>(tree);
  ApplyOverrides(kDescriptions, aOverrides, root);
  Faults faults;
  EntrySettings settings = SettingsReader(root, faults).Read();
  if (!faults.empty()) {
    NameOrigins(aOverrides, faults);
    return faults;
  }
  return settings;
}

std::span<const SettingDescription>
EntrySettingDescriptions()
{
  return kDescriptions;
}

Result<KeyId>
VerifyOperatorKey(std::span<const OperatorKey> aOperators, std::string_view aPresented)
{
  const PresentedKey presented = SplitPresentedKey(aPresented);
  const auto found = std::ranges::find_if(
    aOperators, [&presented](const OperatorKey& aKey) { return aKey.id.value == presented.id; });
  const SecretVerifier verifier = found == aOperators.end()
                                    ? kUnknownKeyVerifier
                                    : SecretVerifier{ .salt = found->salt, .hash = found->hash };
  const bool matches = SecretMatches(verifier, presented.secret);
  if (found == aOperators.end() || !matches) {
    return NotRun(ErrorCode::Unauthorized, "This call needs an operator's key.");
  }
  return found->id;
}

}
