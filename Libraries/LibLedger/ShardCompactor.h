#pragma once

/// @file
/// Snapshots of a shard's log and the deletion of the rows that they replace.

#include <LibLedger/ShardContext.h>
#include <LibLedger/ShardReader.h>
#include <LibLedger/ShardState.h>
#include <memory>
#include <string>

namespace zinc::detail {

/// Stores a snapshot, moves the base to it and deletes older rows, in this order. Any entry that
/// knows the state may do so, since the state after a sequence number is the same for all; the
/// shard log lets only the driver. Handlers hold it weakly.
class ShardCompactor : public std::enable_shared_from_this<ShardCompactor>
{
public:
  ShardCompactor(ShardContext& aContext, ShardIndex aShard);

  /// Begins a snapshot unless one is under way.
  void Store(Sequence aSequence, const ShardState& aState);

  /// @return true if no snapshot is under way and the last failure is long enough ago.
  [[nodiscard]] bool IsReady() const;

  /// @return true if a snapshot waits for its publication.
  [[nodiscard]] bool IsStored() const { return this->phase == Phase::Stored; }

  /// @return the transaction that moves the base to the stored snapshot. @pre IsStored()
  [[nodiscard]] Transaction Publication(const LogBase& aBase, std::uint64_t aBaseVersion);

  /// Takes note of the base in force after a publication was tried or another entry's was read.
  void Settle(const LogBase& aBase);

  /// Deletes replaced rows as far as the write budget has rows to spare.
  void DeleteRows();

private:
  enum class Phase : std::uint8_t
  {
    Idle,
    Storing,
    Stored,
  };

  void OnStored(const Result<Done>& aResult);
  void OnDeleted(Sequence aNext, const Result<CommitOutcome>& aResult);
  void Fail();
  [[nodiscard]] std::size_t TakeDeletions();

  ShardContext& context;
  ShardIndex shard;
  Phase phase = Phase::Idle;
  Sequence sequence = 0;
  /// First row that may still stand and first that must stay.
  Sequence deleteFrom = 0;
  Sequence deleteUpTo = 0;
  std::string replacedObject;
  bool isDeleting = false;
  std::uint32_t failures = 0;
  TimePoint retryAt{};
};

}
