#pragma once

/// @file
/// The platform's list of instances, which lags behind the truth.

#include <LibBase/Identifier.h>
#include <LibBase/Resources.h>
#include <LibBase/Verdict.h>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

namespace zinc {

/// What runs on an instance.
enum class InstanceRole : std::uint8_t
{
  Entry,
  Worker,
};

/// What the platform last said of an instance.
enum class InstanceState : std::uint8_t
{
  Live,
  Leaving,
};

/// IP address and port.
struct Endpoint
{
  std::string address;
  std::uint16_t port = 0;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
  friend bool operator<(const Endpoint& aLeft, const Endpoint& aRight)
  {
    return std::tie(aLeft.address, aLeft.port) < std::tie(aRight.address, aRight.port);
  }
  friend bool operator>(const Endpoint& aLeft, const Endpoint& aRight) { return aRight < aLeft; }
  friend bool operator<=(const Endpoint& aLeft, const Endpoint& aRight)
  {
    return !(aRight < aLeft);
  }
  friend bool operator>=(const Endpoint& aLeft, const Endpoint& aRight)
  {
    return !(aLeft < aRight);
  }
};

/// One line of the list.
struct Instance
{
  /// Name of the instance; for workers also their @ref WorkerId.
  std::string name;
  InstanceRole role = InstanceRole::Worker;
  InstanceState state = InstanceState::Live;
  /// The worker's address, or the peer address of an entry instance.
  Endpoint endpoint;
  ZoneId zone;
  RackId rack;
  /// Zero for entry instances.
  Resources capacity;
};

/// Asynchronous client of the instance list. Handlers run on the control thread.
class InstanceList
{
public:
  using Handler = std::function<void(Result<std::vector<Instance>>)>;

  virtual ~InstanceList() = default;

  /// Fetches the whole list.
  virtual void Fetch(Handler aHandler) = 0;
};

}
