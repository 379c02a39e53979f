#pragma once

/// @file
/// The workers whose reports a new leader needs before the jobs of its predecessor may go on.

#include <LibBase/Identifier.h>
#include <LibBase/Time.h>
#include <LibCell/Records.h>
#include <LibCell/TermSnapshot.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace zinc::cell {

/// Times that the platform sets.
struct UnreadWorkersOptions
{
  /// Rows that expired during an outage of the store reappear within this time after it recovers.
  Milliseconds rowRestoreTimeout{ 0 };
  /// How much longer a worker that has started again lately may carry out the predecessor's orders
  /// for its previous incarnation.
  Milliseconds maxOrderDelay{ 0 };
};

/// The workers at which runs of a predecessor, or ends that it did not store, may exist, and that
/// have not reported during this term.
class UnreadWorkers
{
public:
  explicit UnreadWorkers(UnreadWorkersOptions aOptions)
    : options(aOptions)
  {
  }

  /// Takes over the workers of the predecessor, if there was one. Others got no task from it.
  void Begin(const TermSnapshot& aSnapshot, TimePoint aNow);
  /// Sets the time at which all leases of the predecessors have expired.
  void SetLeasesExpiry(TimePoint aExpiry) { this->leasesExpiry = aExpiry; }
  [[nodiscard]] TimePoint LeasesExpiry() const { return this->leasesExpiry; }
  /// @return until when runs of the predecessors may exist at unread workers. One that has started
  /// again may carry out an order late, and its deadline means nothing there.
  [[nodiscard]] TimePoint AwaitedUntil() const;
  /// @return how many of the workers may carry out orders for an earlier incarnation
  [[nodiscard]] std::size_t CountUnfenced() const;
  /// Called for a listed worker that has started lately.
  /// @param aIncarnation its start, Unix ms
  void OnStartedLately(const WorkerId& aWorker, std::int64_t aIncarnation);
  /// Called when a worker's row is removed.
  void OnUnlisted(const WorkerId& aWorker) { this->unfenced.erase(aWorker); }
  /// Called while changes of workers' rows cannot be read. A row that is missing meanwhile does not
  /// prove that its worker is gone.
  void OnRowsUnavailable(TimePoint aNow) { this->rowsCurrentSince = aNow; }
  /// Called when a worker's row appears.
  void OnListed(const WorkerId& aWorker) { this->unlisted.erase(aWorker); }
  /// Removes a worker that has reported, or whose runs have ended.
  /// @return true if the worker was unread, and only jobs at draining workers have to wait now
  [[nodiscard]] bool MarkRead(const WorkerId& aWorker);
  /// Removes all workers.
  void Clear() { this->workers.clear(); }
  /// @return once each of the workers without a row since the term began whose leases were not
  /// renewed by the predecessor and have expired; the caller marks them as read
  [[nodiscard]] std::vector<WorkerId> TakePresumedGone(TimePoint aNow);

  [[nodiscard]] bool IsEmpty() const { return this->workers.empty(); }
  [[nodiscard]] std::size_t Size() const { return this->workers.size(); }
  [[nodiscard]] bool Contains(const WorkerId& aWorker) const
  {
    return this->workers.contains(aWorker);
  }
  [[nodiscard]] const std::set<WorkerId>& All() const { return this->workers; }
  /// @return true if the worker was draining, so that it knows only of the jobs it then had
  [[nodiscard]] bool IsRestricted(const WorkerId& aWorker) const
  {
    return this->drainingJobs.contains(aWorker);
  }
  /// @return true if one of the workers may know of any job
  [[nodiscard]] bool HasUnrestricted() const;
  /// @return true if one of the workers may have a run of the job, or know of an end of one
  [[nodiscard]] bool MayKnowOf(const JobId& aJob) const;
  /// @return those that were draining, with the jobs that they may know of
  [[nodiscard]] DrainingJobs Draining() const;
  /// @return those that the predecessor knew to be fenced, with their incarnations
  [[nodiscard]] FencedIncarnations Fenced() const;
  /// @return when the leases of an unread worker have expired
  [[nodiscard]] TimePoint LeaseExpiryOf(const WorkerId& aWorker) const;

private:
  UnreadWorkersOptions options;
  std::set<WorkerId> workers;
  DrainingJobs drainingJobs;
  /// Workers without a row since the term began.
  std::set<WorkerId> unlisted;
  /// Workers that the predecessor knew to carry out no order for an earlier incarnation.
  FencedIncarnations fencedIncarnations;
  /// Listed workers, read or not, that have started lately and may carry out such orders.
  std::set<WorkerId> unfenced;
  /// When the leases have expired that the predecessor did not renew. A missing row alone proves
  /// nothing of a lease: the worker may be cut off from the store only.
  std::map<WorkerId, TimePoint> suspendedLeases;
  TimePoint leasesExpiry{};
  /// Since then all changes of workers' rows have been read.
  TimePoint rowsCurrentSince{};
};

}
