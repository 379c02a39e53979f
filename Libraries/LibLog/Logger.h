#pragma once

/// @file
/// Structured log lines.

#include <concepts>
#include <cstdint>
#include <cstdio>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace zinc {

class LineWriter;

/// Weight of a line.
enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/// Form of a line.
enum class LogFormat : std::uint8_t
{
  /// time=... level=info event=... name=value
  KeyValue,
  /// One JSON object a line.
  Json,
};

/// A named value of a line; its texts have to live until the line is written.
struct LogField
{
  using Value = std::variant<std::string_view, std::int64_t, double, bool>;

  LogField(std::string_view aName, std::string_view aText)
    : name(aName)
    , value(aText)
  {
  }
  LogField(std::string_view aName, const std::string& aText)
    : LogField(aName, std::string_view(aText))
  {
  }
  LogField(std::string_view aName, const char* aText)
    : LogField(aName, std::string_view(aText))
  {
  }
  LogField(std::string_view aName, std::integral auto aNumber)
    : name(aName)
    , value(static_cast<std::int64_t>(aNumber))
  {
  }
  LogField(std::string_view aName, bool aFlag)
    : name(aName)
    , value(aFlag)
  {
  }
  LogField(std::string_view aName, double aNumber)
    : name(aName)
    , value(aNumber)
  {
  }

  std::string_view name;
  Value value;
};

using LogFields = std::initializer_list<LogField>;

/// Writes each line with a single call, so that lines of several threads do not mix. Meant for
/// changes of state; what happens often is counted instead.
class Logger
{
public:
  struct Options
  {
    LogFormat format = LogFormat::KeyValue;
    /// Lines below it are dropped.
    LogLevel level = LogLevel::Info;
    /// Has to outlive the logger.
    std::FILE* output = stderr;
    /// Takes the lines instead if it is set; has to outlive the logger.
    LineWriter* writer = nullptr;
  };

  Logger() = default;
  explicit Logger(Options aOptions)
    : options(aOptions)
  {
  }

  /// @param aEvent name of the change, e.g. "worker_quarantined".
  void Log(LogLevel aLevel, std::string_view aEvent, LogFields aFields = {}) const;

private:
  Options options;
};

}
