#pragma once

/// @file
/// Settings of an entry instance.

#include <LibBase/Identifier.h>
#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <LibLog/Logger.h>
#include <LibPlatform/InstanceList.h>
#include <LibSettings/SettingOverride.h>
#include <LibYaml/Fault.h>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace zinc {

/// Verifier of an operator's key.
struct OperatorKey
{
  KeyId id;
  /// Hexadecimal.
  std::string salt;
  /// SHA-256 of salt and secret, hexadecimal.
  std::string hash;
};

/// Addresses of the platform's services.
struct PlatformEndpoints
{
  Endpoint table;
  Endpoint objectStore;
  Endpoint instanceList;
};

/// Everything that a process is told at its start.
struct EntrySettings
{
  std::string name;
  ZoneId zone;
  RackId rack;
  /// Callers' and operators' HTTP.
  Endpoint listen;
  /// The inner protocol.
  Endpoint peer;
  PlatformEndpoints platform;
  /// Entry instances to ask while the instance list is not to be had.
  std::vector<Endpoint> peers;
  /// Lease on a worker.
  Milliseconds lease{ 3000 };
  /// A worker stops its tasks this long after the last renewal by any holder.
  Milliseconds orphanTimeout{ 15000 };
  /// Between heartbeats to a peer.
  Milliseconds heartbeat{ 500 };
  /// A peer is taken for lost after this silence.
  Milliseconds peerTimeout{ 2000 };
  std::uint32_t ledgerShards = 16;
  /// Longest time that a record waits for others to share a table write.
  Milliseconds ledgerFlush{ 50 };
  /// Budget of this instance.
  std::uint32_t tableWritesPerSecond = 40;
  std::uint32_t trafficThreads = 2;
  std::uint64_t maxBodyBytes = 1U << 20U;
  /// Longest time for a request to arrive whole.
  Milliseconds requestTimeout{ 10000 };
  std::uint32_t maxConnections = 1000;
  /// Longest time that a graceful shutdown waits for requests in progress.
  Milliseconds drainTimeout{ 30000 };
  /// How long keys are honoured without confirmation that none was withdrawn.
  Milliseconds keyConfirmation{ 5000 };
  LogFormat logFormat = LogFormat::KeyValue;
  LogLevel logLevel = LogLevel::Info;
  std::vector<OperatorKey> operators;
};

/// Reads and checks settings.
/// @param aYaml text of the settings file; "{}" if there is none.
/// @param aOverrides values that replace those of the text; later ones win.
/// @return the settings, or every fault found; those of an override name its origin as path.
[[nodiscard]] std::variant<EntrySettings, Faults>
LoadEntrySettings(std::string_view aYaml, std::span<const SettingOverride> aOverrides = {});

/// @return the settings that can be overridden, with the help text of each.
[[nodiscard]] std::span<const SettingDescription>
EntrySettingDescriptions();

/// Verifies an operator's key in a time that does not depend on the secret.
/// @return the operator's id, or @ref ErrorCode::Unauthorized.
[[nodiscard]] Result<KeyId>
VerifyOperatorKey(std::span<const OperatorKey> aOperators, std::string_view aPresented);

}
