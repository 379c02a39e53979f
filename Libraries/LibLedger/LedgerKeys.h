#pragma once

/// @file
/// Names of the ledger's rows and objects, and the shard of a request or job.

#include <LibBase/Identifier.h>
#include <LibLedger/Record.h>
#include <optional>
#include <string>

namespace zinc {

/// @return the shard of a request.
[[nodiscard]] ShardIndex
ShardOfRequest(const TeamId& aTeam, const RequestId& aRequest, std::uint32_t aShardCount);

/// @return a job identifier that names its shard.
[[nodiscard]] JobId
MakeJobId(ShardIndex aShard, std::uint64_t aRandom);

/// @return the shard that a job identifier names; empty if it was not made by @ref MakeJobId.
[[nodiscard]] std::optional<ShardIndex>
ShardOfJob(const JobId& aJob);

/// @return the prefix of a shard's log rows.
[[nodiscard]] std::string
LogPrefix(ShardIndex aShard);

/// @return the key of one log row.
[[nodiscard]] std::string
LogKey(ShardIndex aShard, Sequence aSequence);

/// @return the sequence number in a log row's key.
[[nodiscard]] std::optional<Sequence>
SequenceOfKey(const std::string& aKey);

/// @return the key of the row that holds a shard's @ref LogBase.
[[nodiscard]] std::string
BaseKey(ShardIndex aShard);

/// @return the name of the object that holds a shard's snapshot.
[[nodiscard]] std::string
SnapshotName(ShardIndex aShard, Sequence aSequence);

}
