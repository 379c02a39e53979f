#pragma once

/// @file
/// One entry instance's quota of every team.
///
/// A team has one upper limit across the fleet. It is split into grants, one for each entry
/// instance, which are stored together in the team's row of the platform's table. An entry instance
/// may run tasks of the team up to its usable quota, which is at most its grant, without accessing
/// the table.

#include <LibBase/Time.h>
#include <LibBase/Verdict.h>
#include <LibDocument/Document.h>
#include <LibLedger/WriteBudget.h>
#include <LibLimits/QuotaOptions.h>
#include <LibLimits/QuotaPolicy.h>
#include <LibPlatform/Table.h>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace zinc {

/// Message between entry instances that makes the receiver read a team's row before its next poll.
/// A lost hint only delays the read until that poll.
enum class QuotaHint : std::uint8_t
{
  /// The sender needs quota; receivers that can return some read the row.
  Wanted,
  /// The sender has returned quota that others need; receivers that need some read the row.
  Returned,
};

/// Receives changes of usable quotas and the hints to send.
class QuotaObserver
{
public:
  virtual ~QuotaObserver() = default;

  /// Called when the usable quota of the team has changed.
  virtual void OnQuotaChanged(const TeamId& aTeam, const Resources& aUsableQuota) = 0;

  /// Sends the hint to the other entry instances that serve the team, which pass it to
  /// @ref QuotaManager::OnHint. Delivery is best effort.
  virtual void SendHint(const TeamId& aTeam, QuotaHint aHint) = 0;
};

/// Collaborators of a @ref QuotaManager; all of them outlive it.
struct QuotaEnvironment
{
  Table& table;
  const Clock& clock;
  WriteBudget& budget;
  QuotaObserver& observer;
};

/// An entry instance and the teams in whose rows it has a grant.
struct QuotaHolder
{
  EntryId entry;
  std::vector<TeamId> teams;
};

/// Acquires and returns this entry instance's grants of all teams' limits. The rows change only by
/// compare-and-set, so that the grants of a team never exceed its limit except after the limit was
/// lowered. Not thread-safe. Handlers are called from handlers of the table, never from within the
/// call that they were passed to, and not after destruction. The observer may be called from within
/// any non-const call.
class QuotaManager
{
public:
  template<typename T>
  using Handler = std::function<void(Result<T>)>;

  /// @return the manager, or a verdict if an option is out of range.
  [[nodiscard]] static Result<std::unique_ptr<QuotaManager>> Create(QuotaOptions aOptions,
                                                                    QuotaEnvironment aEnvironment);
  ~QuotaManager();
  QuotaManager(const QuotaManager&) = delete;
  QuotaManager& operator=(const QuotaManager&) = delete;

  /// Applies the limits of a document; ignored unless its version is higher than that of the last
  /// one. The limit of a team that is not listed is zero.
  void SetLimits(std::uint64_t aDocumentVersion, std::span<const Team> aTeams);

  /// Reports what this entry instance has running and queued of the team.
  void ReportUsage(const TeamId& aTeam, const TeamUsage& aUsage);

  /// @return the amount that this entry instance may have running of the team.
  [[nodiscard]] Resources UsableQuota(const TeamId& aTeam) const;

  /// Accounts for tasks that were found on a worker whose lease this entry instance has acquired,
  /// whether they still run or not. Moves their amount from the grant of the previous leaseholder
  /// to the own grant, as far as that grant covers it, and records the rest as overcommitted.
  /// @pre the last @ref ReportUsage includes them
  /// @param aFrom the previous holder of the worker's lease
  /// @param aHandler called once the change is durable; writes are retried without a time limit
  void Adopt(const TeamId& aTeam,
             const EntryId& aFrom,
             const Resources& aAmount,
             Handler<Done> aHandler);

  /// Excludes from the usable quota the amount of tasks whose worker is now leased by another entry
  /// instance, which adopts them. Call it before @ref ReportUsage omits them.
  void Forfeit(const TeamId& aTeam, const Resources& aAmount);

  /// Reports that the @ref Adopt of forfeited tasks by the new leaseholder of their worker has
  /// completed. The part of their amount that it did not move from the own grant is then returned.
  void SettleForfeited(const TeamId& aTeam, const Resources& aAmount);

  /// Sets every usable quota to zero until the team's row has been read again. Call it after a
  /// process pause longer than the leases, during which others may have released the grants.
  void Invalidate();

  /// Handles a hint of another entry instance.
  void OnHint(const TeamId& aTeam, QuotaHint aHint);

  /// Removes all grants of a dead entry instance.
  /// @pre every task that it started and that may still run is accounted for by others: each worker
  /// that it could use is leased by an entry instance whose @ref Adopt has completed, or all its
  /// leases and the orphan timeout have expired.
  void ReleaseGrants(const EntryId& aHolder, Handler<Done> aHandler);

  /// Lists the entry instances that have grants, so that the caller can find the dead ones.
  void ListHolders(Handler<std::vector<QuotaHolder>> aHandler);

  /// Starts the reads and writes that are due. Call it several times per second.
  void Tick();

  [[nodiscard]] const QuotaStatistics& Statistics() const;

private:
  struct State;
  explicit QuotaManager(std::shared_ptr<State> aState);

  /// Handlers of the table hold a weak pointer to it.
  std::shared_ptr<State> state;
};

}
