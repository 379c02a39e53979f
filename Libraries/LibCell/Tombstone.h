#pragma once

/// @file
/// The row that keeps the place of a job that was cancelled before it was stored.

#include <LibBase/Identifier.h>
#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <LibCell/Ports.h>
#include <optional>
#include <string>
#include <string_view>

namespace zinc::cell {

/// How long a tombstone stays in the store: no write of a job that was on its way when the job was
/// cancelled is applied later.
inline constexpr Milliseconds kTombstoneRetention = kMaxWriteDelay;

/// Stored under the key of a job's specification when a cancellation finds no job. A job is only
/// written where that key is absent, so that no earlier write of the job can take effect any more.
struct Tombstone
{
  /// The workspace that cancelled the id; empty for a caller without a key.
  WorkspaceId workspace;
  /// Time of the write on the store's clock; 0 if the writer did not know it.
  Milliseconds writtenAt{ 0 };

  /// @return true if jobs of the workspace are not accepted under the id. As for stored jobs, a
  /// caller without a key on a public route cancels jobs of any workspace.
  [[nodiscard]] bool Covers(const WorkspaceId& aWorkspace) const
  {
    return this->workspace.IsEmpty() || this->workspace == aWorkspace;
  }
};

[[nodiscard]] std::string
EncodeTombstone(const Tombstone& aTombstone);

/// @return the tombstone, or nothing if the row is another one.
[[nodiscard]] std::optional<Tombstone>
DecodeTombstone(std::string_view aText);

/// @return the response to a submission under an id that was cancelled before.
[[nodiscard]] Verdict
CancelledBeforeSubmission();

}
