#pragma once

/// @file
/// Gangs: jobs whose tasks start together.

#include <LibBase/Identifier.h>
#include <LibPlacement/Indices.h>
#include <unordered_map>
#include <vector>

namespace zinc {

/// A job whose tasks start together.
struct GangRecord
{
  JobId job;
  /// Number of members that must be waiting before any of them starts.
  std::uint32_t size = 0;
  std::vector<TaskIndex> members;
  /// True while the whole gang is queued, represented by its first member.
  bool isQueued = false;
  /// True once a member has started; from then on each member that ends reduces @ref size.
  bool hasStarted = false;
};

/// Owns the gang records; an index stays valid until its gang is erased.
class GangTable
{
public:
  /// @return the job's gang, which is created with @p aSize if there is none.
  GangIndex Ensure(const JobId& aJob, std::uint32_t aSize);
  void Erase(GangIndex aGang);

  /// @return the job's gang, or @ref kNoIndex.
  [[nodiscard]] GangIndex Find(const JobId& aJob) const;

  [[nodiscard]] GangRecord& operator[](GangIndex aGang) { return this->records[aGang]; }
  [[nodiscard]] const GangRecord& operator[](GangIndex aGang) const { return this->records[aGang]; }

private:
  std::vector<GangRecord> records;
  std::vector<GangIndex> freeIndices;
  std::unordered_map<JobId, GangIndex> indices;
};

}
