#pragma once

/// @file
/// One entry's allowances of the upper limits of all teams.

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

/// What entries tell one another to save the wait for the next read of a row. A lost hint costs
/// that wait and nothing else.
enum class QuotaHint : std::uint8_t
{
  /// An entry waits for allowance; who can return some reads the row.
  Wanted,
  /// An entry has returned allowance that others wait for; who waits reads the row.
  Returned,
};

/// Is told of changes.
class QuotaObserver
{
public:
  virtual ~QuotaObserver() = default;

  /// What the entry may have running of the team has changed.
  virtual void OnQuotaChanged(const TeamId& aTeam, const Resources& aAllowance) = 0;

  /// The other entries that serve the team are to be told, so that they call
  /// @ref AllowanceBook::Hint.
  virtual void SendHint(const TeamId& aTeam, QuotaHint aHint) = 0;
};

/// What a book works with; all of it outlives the book.
struct QuotaEnvironment
{
  Table& table;
  const Clock& clock;
  WriteBudget& budget;
  QuotaObserver& observer;
};

/// A holder of allowances with the teams of which it holds some.
struct QuotaHolder
{
  EntryId entry;
  std::vector<TeamId> teams;
};

/// Splits the upper limit of each team into grants, which entries hold in one row for each team and
/// move only by compare-and-set. What an entry holds it may use without the table. Not thread-safe.
/// Handlers run inside handlers of the table, never inside the call that was given them, and not
/// after destruction. The observer may be called inside any call that is not const.
class QuotaManager
{
public:
  template<typename T>
  using Handler = std::function<void(Result<T>)>;

  /// @return a verdict if an option is out of range.
  [[nodiscard]] static Result<std::unique_ptr<QuotaManager>> Create(QuotaOptions aOptions,
                                                                    QuotaEnvironment aEnvironment);
  ~QuotaManager();
  QuotaManager(const QuotaManager&) = delete;
  QuotaManager& operator=(const QuotaManager&) = delete;

  /// Takes over the limits of a document; a lower version than before is ignored. Teams that are
  /// not named have a limit of nothing.
  void SetLimits(std::uint64_t aDocumentVersion, std::span<const Team> aTeams);

  /// Reports what runs and waits here.
  void ReportUsage(const TeamId& aTeam, const TeamUsage& aUsage);

  /// @return what this entry may have running of the team.
  [[nodiscard]] Resources UsableQuota(const TeamId& aTeam) const;

  /// Counts tasks that were found running on a worker that was taken over, whether they still run
  /// or not: moves their amounts from the grant of the worker's last holder to the own one, as far
  /// as it holds them, and records the rest as uncovered. Call @ref ReportUse with them first.
  /// @param aHandler called once it is durable, however long that takes
  void Adopt(const TeamId& aTeam,
             const EntryId& aFrom,
             const Resources& aAmount,
             Handler<Done> aHandler);

  /// Stops using the amounts of tasks whose worker has been leased by another entry; that entry
  /// adopts them. Call it before @ref ReportUse leaves them out.
  void Forfeit(const TeamId& aTeam, const Resources& aAmount);

  /// Tells that forfeited tasks are counted by the entry that leases their worker now: its
  /// @ref Adopt of them has been answered. What was not moved from the own grant is then returned.
  void SettleForfeited(const TeamId& aTeam, const Resources& aAmount);

  /// Uses nothing until the rows have been read again. Call it when the entry finds that it was
  /// paused for longer than its leases, since others may have released its grants.
  void Invalidate();

  /// Takes note of another entry's hint.
  void OnHint(const TeamId& aTeam, QuotaHint aHint);

  /// Returns everything that a dead entry holds to the teams' limits. @pre all that may run of
  /// what the entry started is counted by others: every worker that it could use is leased by an
  /// entry whose @ref Adopt of what it found has been answered, or all its leases and the orphan
  /// timeout have lapsed.
  void ReleaseGrants(const EntryId& aHolder, Handler<Done> aHandler);

  /// Lists every entry that holds something, to find those that are dead.
  void ListHolders(Handler<std::vector<QuotaHolder>> aHandler);

  /// Sends what is due. Call it several times a second.
  void Tick();

  [[nodiscard]] const QuotaStatistics& Statistics() const;

private:
  struct State;
  explicit QuotaManager(std::shared_ptr<State> aState);

  /// Held weakly by handlers of the table.
  std::shared_ptr<State> state;
};

}
