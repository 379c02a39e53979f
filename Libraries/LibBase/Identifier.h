#pragma once

/// @file
/// Distinct string identifiers for the things that the system names.

#include <functional>
#include <string>

namespace zinc {

/// A string that cannot be confused with an identifier of another kind.
template<typename Tag>
struct Identifier
{
  std::string value;

  friend bool operator==(const Identifier&, const Identifier&) = default;
  friend bool operator<(const Identifier& aLeft, const Identifier& aRight)
  {
    return aLeft.value < aRight.value;
  }
  friend bool operator>(const Identifier& aLeft, const Identifier& aRight)
  {
    return aRight < aLeft;
  }
  friend bool operator<=(const Identifier& aLeft, const Identifier& aRight)
  {
    return !(aRight < aLeft);
  }
  friend bool operator>=(const Identifier& aLeft, const Identifier& aRight)
  {
    return !(aLeft < aRight);
  }
  [[nodiscard]] bool IsEmpty() const { return this->value.empty(); }
};

using WorkspaceId = Identifier<struct WorkspaceTag>;
using TeamId = Identifier<struct TeamTag>;
using KeyId = Identifier<struct KeyTag>;
using QueueId = Identifier<struct QueueTag>;
using ZoneId = Identifier<struct ZoneTag>;
using RackId = Identifier<struct RackTag>;
using WorkerId = Identifier<struct WorkerTag>;
/// Names an entry instance for one life of its process; a restarted process has a new one.
using EntryId = Identifier<struct EntryTag>;
/// Chosen by the caller; scoped to its team.
using RequestId = Identifier<struct RequestTag>;
using JobId = Identifier<struct JobTag>;
using TaskId = Identifier<struct TaskTag>;

}

template<typename Tag>
struct std::hash<zinc::Identifier<Tag>>
{
  std::size_t operator()(const zinc::Identifier<Tag>& aIdentifier) const noexcept
  {
    return std::hash<std::string>{}(aIdentifier.value);
  }
};
