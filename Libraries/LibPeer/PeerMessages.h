#pragma once

/// @file
/// Calls between entry instances that are answered at once.

#include <LibMembership/PeerTable.h>
#include <LibPeer/Notice.h>
#include <LibPlacement/Decision.h>
#include <cstdint>
#include <string>

namespace zinc {

/// What an entry instance tells its peers several times a second.
struct PeerBeat
{
  Heartbeat self;
  /// Version of the document in force here.
  std::uint64_t documentVersion = 0;
  /// Time since the sender itself last read the document's row in the table.
  Milliseconds confirmationAge{ 0 };
  /// False while the sender may have accepted a document that it has not seen in the table yet.
  bool documentSettled = true;
  /// Workers whose lease the sender holds.
  std::uint32_t heldWorkers = 0;
  /// Acquired workers whose tasks are not counted in the sender's allowances yet.
  std::uint32_t openAdoptions = 0;
  SchedulerLoad load;
};

/// Reply to a request for the document in force.
struct DocumentCopy
{
  /// 0 if there is none yet.
  std::uint64_t version = 0;
  std::string yaml;
};

/// Receives calls from peers on the control thread.
class PeerHandler
{
public:
  virtual ~PeerHandler() = default;

  /// @return our own beat.
  [[nodiscard]] virtual PeerBeat OnBeat(const PeerBeat& aBeat) = 0;

  /// Handles notices; a batch that was handled before is ignored.
  /// @return a verdict if the batch is not for this process.
  [[nodiscard]] virtual Result<Done> OnNotices(NoticeBatch aBatch) = 0;

  /// @return the document in force.
  [[nodiscard]] virtual DocumentCopy OnDocumentAsked() = 0;
};

}
