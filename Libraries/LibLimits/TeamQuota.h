#pragma once

/// @file
/// One entry's allowance of one team.

#include <LibLimits/QuotaManager.h>
#include <LibLimits/TeamQuotaRow.h>
#include <deque>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <vector>

namespace zinc::detail {

/// What the allowances of one book share.
struct QuotaContext
{
  QuotaOptions options;
  QuotaEnvironment environment;
  QuotaStatistics statistics;
  pcg64 random;

  [[nodiscard]] TimePoint Now() const { return this->environment.clock.Now(); }

  /// @return a time from half to one and a half of this long.
  [[nodiscard]] Milliseconds ApplyJitter(Milliseconds aTime);

  /// @return a jittered wait that doubles with every failure in a row.
  [[nodiscard]] Milliseconds ComputeRetryDelay(std::uint32_t aFailures);
};

/// Reads and writes one team's row. While the fate of a write is unknown, the entry uses the
/// smallest of what it may have been granted. Handlers of the table hold it weakly.
class TeamQuota : public std::enable_shared_from_this<TeamQuota>
{
public:
  using DoneHandler = std::function<void(Result<Done>)>;

  TeamQuota(QuotaContext& aContext, TeamId aTeam);

  void SetLimit(std::uint64_t aDocumentVersion, const Resources& aLimit);
  void ReportUsage(const TeamUsage& aUsage);
  void Adopt(const EntryId& aFrom, const Resources& aAmount, DoneHandler aHandler);
  void Forfeit(const Resources& aAmount);
  void SettleForfeited(const Resources& aAmount);
  void Invalidate();
  void OnHint(QuotaHint aHint);
  void ReleaseGrants(const EntryId& aHolder, DoneHandler aHandler);
  void Tick();

  [[nodiscard]] const Resources& UsableQuota() const { return this->usableQuota; }

private:
  enum class Phase : std::uint8_t
  {
    Idle,
    Reading,
    Writing,
  };

  struct PendingAdoption
  {
    std::uint64_t id = 0;
    EntryId from;
    Resources amount;
    DoneHandler handler;
  };

  struct PendingRelease
  {
    EntryId holder;
    DoneHandler handler;
  };

  /// A write whose fate is not known. It can take effect only while the row is at the version at
  /// which it was read.
  struct PendingWrite
  {
    std::uint64_t number = 0;
    TeamQuotaRow row;
    /// Adoption that it carries out; 0 if none.
    std::uint64_t adoptionId = 0;
    bool yieldsToOthers = false;
    /// Part of the own grant that was forfeited and is returned.
    Resources returnedForfeit;
  };

  [[nodiscard]] bool IsReadDue() const;
  [[nodiscard]] bool IsActive() const;
  [[nodiscard]] bool HasUnmetDemand() const;
  [[nodiscard]] bool CanReturnQuota() const;
  /// @return the time between reads; nothing if there is no need to read.
  [[nodiscard]] std::optional<Milliseconds> PollInterval() const;
  void ReadRow();
  void OnRowRead(const Result<std::optional<Row>>& aResult);
  void ApplyRow(TeamQuotaRow aRow, std::uint64_t aVersion);
  void ResolvePendingWrites();

  void WriteIfDue();
  [[nodiscard]] TeamQuotaRow BuildNextRow(PendingWrite& aWrite);
  void ApplyAdoption(TeamQuotaRow& aRow, PendingWrite& aWrite);
  void ApplyPlan(TeamQuotaRow& aRow, PendingWrite& aWrite);
  [[nodiscard]] bool NeedsWrite(const TeamQuotaRow& aNext) const;
  void SendWrite(PendingWrite aWrite);
  void OnWriteFinished(std::uint64_t aNumber, const Result<CommitOutcome>& aResult);
  void OnWriteCommitted(std::uint64_t aNumber);

  void CompleteWrite(const PendingWrite& aWrite);
  [[nodiscard]] Resources UnadoptedForfeit(const Grant& aOwn) const;
  [[nodiscard]] Resources ReturnableForfeit(const Grant& aOwn) const;
  void CompleteReleases();
  void UpdateIdleSince();
  void UpdateUsableQuota();

  QuotaContext& context;
  TeamId team;

  std::uint64_t documentVersion = 0;
  Resources limit;
  TeamUsage usage;

  TeamQuotaRow row;
  std::uint64_t rowVersion = kAbsentVersion;
  std::vector<PendingWrite> pendingWrites;
  std::uint64_t lastWriteNumber = 0;
  /// Totals since the grant was first held: given up, of that counted by others, and of that
  /// returned. What others have moved away by adoption stands in the row.
  Resources forfeitedTotal;
  Resources settledTotal;
  Resources returnedTotal;
  Resources usableQuota;
  bool hasValidRow = false;
  bool needsRead = true;

  std::deque<PendingAdoption> pendingAdoptions;
  std::uint64_t lastAdoptionId = 0;
  std::vector<PendingRelease> pendingReleases;

  Phase phase = Phase::Idle;
  std::uint32_t consecutiveFailures = 0;
  TimePoint retryAt{};
  TimePoint lastReadAt{};
  std::optional<TimePoint> hintedReadAt;
  /// Factor of the poll interval, drawn anew for every read.
  double pollJitterFactor = 1.0;
  TimePoint nextWriteAt{};
  TimePoint nextRequestAt{};
  WriteBudget rowWriteBudget;
  /// Since when more is held than is in demand; empty while it is not.
  std::optional<TimePoint> idleSince;
};

}
