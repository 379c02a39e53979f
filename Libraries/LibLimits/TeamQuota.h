#pragma once

/// @file
/// One entry instance's quota of one team.

#include <LibLimits/QuotaManager.h>
#include <LibLimits/TeamQuotaRow.h>
#include <deque>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <vector>

namespace zinc::detail {

/// State shared by all teams of one @ref QuotaManager.
struct QuotaContext
{
  QuotaOptions options;
  QuotaEnvironment environment;
  QuotaStatistics statistics;
  pcg64 random;

  [[nodiscard]] TimePoint Now() const { return this->environment.clock.Now(); }

  /// @return a random time between 0.5 and 1.5 times @p aTime.
  [[nodiscard]] Milliseconds ApplyJitter(Milliseconds aTime);

  /// @return a jittered delay that doubles with every consecutive failure.
  [[nodiscard]] Milliseconds ComputeRetryDelay(std::uint32_t aFailures);
};

/// Reads and writes one team's row; the methods implement those of @ref QuotaManager. While the
/// outcome of writes is unknown, the usable quota is the minimum of the amounts that may be
/// granted. Handlers of the table hold a weak pointer to it.
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

  /// A write whose outcome is unknown. It can take effect only while the row has the version that
  /// was read before it.
  struct PendingWrite
  {
    std::uint64_t number = 0;
    TeamQuotaRow row;
    /// @ref PendingAdoption::id of the adoption that it includes; 0 if none.
    std::uint64_t adoptionId = 0;
    bool yieldsToOthers = false;
    /// Forfeited amount that it returns from the own grant.
    Resources returnedForfeit;
  };

  [[nodiscard]] bool IsReadDue() const;
  [[nodiscard]] bool IsActive() const;
  [[nodiscard]] bool HasUnmetDemand() const;
  [[nodiscard]] bool CanReturnQuota() const;
  /// @return the current time between reads; empty if no periodic reads are needed.
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
  /// @return forfeited amounts that are still part of the own grant.
  [[nodiscard]] Resources UnadoptedForfeit(const Grant& aOwn) const;
  /// @return forfeited amounts that the next write can return.
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
  /// Totals since this entry instance first had a grant: forfeited amounts, those of them that new
  /// leaseholders account for, and those of them returned by the own writes. @ref
  /// Grant::transferred has the total moved by adoptions.
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
  /// Random factor of the poll interval, drawn again after every read.
  double pollJitterFactor = 1.0;
  TimePoint nextWriteAt{};
  TimePoint nextRequestAt{};
  WriteBudget rowWriteBudget;
  /// When the own grant began to exceed the demand; empty while it does not.
  std::optional<TimePoint> idleSince;
};

}
