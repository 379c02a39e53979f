#include <LibBase/Verdict.h>

#include <array>

namespace zinc {

namespace {

constexpr std::array kErrorNames = {
  std::pair{ ErrorCode::BadRequest, std::string_view("bad_request") },
  std::pair{ ErrorCode::PayloadTooLarge, std::string_view("payload_too_large") },
  std::pair{ ErrorCode::Unauthorized, std::string_view("unauthorized") },
  std::pair{ ErrorCode::Forbidden, std::string_view("forbidden") },
  std::pair{ ErrorCode::NotFound, std::string_view("not_found") },
  std::pair{ ErrorCode::Conflict, std::string_view("conflict") },
  std::pair{ ErrorCode::Impossible, std::string_view("impossible") },
  std::pair{ ErrorCode::Overloaded, std::string_view("overloaded") },
  std::pair{ ErrorCode::LimitReached, std::string_view("limit_reached") },
  std::pair{ ErrorCode::DeadlineExceeded, std::string_view("deadline_exceeded") },
  std::pair{ ErrorCode::Cancelled, std::string_view("cancelled") },
  std::pair{ ErrorCode::Draining, std::string_view("draining") },
  std::pair{ ErrorCode::Unavailable, std::string_view("unavailable") },
  std::pair{ ErrorCode::StaleTerm, std::string_view("stale_term") },
  std::pair{ ErrorCode::StaleVersion, std::string_view("stale_version") },
  std::pair{ ErrorCode::WorkerLost, std::string_view("worker_lost") },
  std::pair{ ErrorCode::TaskFailed, std::string_view("task_failed") },
  std::pair{ ErrorCode::Timeout, std::string_view("timeout") },
  std::pair{ ErrorCode::Internal, std::string_view("internal") },
};

constexpr std::array kRunStateNames = {
  std::pair{ RunState::NotRun, std::string_view("not run") },
  std::pair{ RunState::MayHaveRun, std::string_view("may have run") },
  std::pair{ RunState::Ran, std::string_view("ran") },
};

template<typename Names, typename Value>
std::string_view
NameOf(const Names& aNames, Value aValue)
{
  for (const auto& [value, name] : aNames) {
    if (value == aValue) {
      return name;
    }
  }
  return "unknown";
}

template<typename Value, std::size_t Count>
std::optional<Value>
ValueWithName(const std::array<std::pair<Value, std::string_view>, Count>& aNames,
              std::string_view aName)
{
  for (const auto& [value, name] : aNames) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

}

std::string_view
ToString(ErrorCode aCode)
{
  return NameOf(kErrorNames, aCode);
}

std::string_view
ToString(RunState aState)
{
  return NameOf(kRunStateNames, aState);
}

std::optional<ErrorCode>
ErrorCodeFromString(std::string_view aName)
{
  return ValueWithName(kErrorNames, aName);
}

std::optional<RunState>
RunStateFromString(std::string_view aName)
{
  return ValueWithName(kRunStateNames, aName);
}

}
