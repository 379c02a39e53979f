#pragma once

/// @file
/// Writes log lines without ever waiting for their reader, within a budget.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace zinc {

/// Bounds of what is written.
struct LineWriterOptions
{
  /// Where the lines go; made non-blocking.
  int descriptor = 1;
  /// Lines of one event a second; more than a leader starts tasks at its largest size.
  std::size_t linesPerEvent = 2000;
  /// Bytes of all lines a second.
  std::size_t bytesPerSecond = std::size_t{ 512 } * 1024;
  /// The first lines of an event in a second may use @ref rareBytes beyond the other limits, so
  /// that frequent events do not displace rare ones.
  std::size_t rareLinesPerEvent = 4;
  std::size_t rareBytes = std::size_t{ 64 } * 1024;
  /// Lines are collected up to this size, so that a line does not cost a system call.
  std::size_t collectBytes = 4096;
  /// Bytes that wait for a slow reader; lines beyond are left out.
  std::size_t waitingBytes = std::size_t{ 256 } * 1024;
  /// The time; replaced in tests.
  std::function<std::chrono::steady_clock::time_point()> now = [] {
    return std::chrono::steady_clock::now();
  };
};

/// A bounded writer. May be used on any thread.
class LineWriter
{
public:
  explicit LineWriter(LineWriterOptions aOptions);
  ~LineWriter();
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  /// Takes a line, or leaves it out and counts it.
  /// @param aEvent the kind of line that its budget is kept for
  void Write(std::string_view aEvent, std::string_view aLine);
  /// Writes what was collected, as far as the reader takes it.
  void Flush();
  /// @return lines left out since the start.
  [[nodiscard]] std::uint64_t LeftOut() const;

private:
  struct Kind
  {
    std::size_t lines = 0;
    std::uint64_t leftOut = 0;
  };

  void BeginSecond(std::chrono::steady_clock::time_point aNow);
  void Drain();

  LineWriterOptions options;
  mutable std::mutex mutex;
  std::chrono::steady_clock::time_point second;
  std::size_t bytesThisSecond = 0;
  std::map<std::string, Kind, std::less<>> kinds;
  std::string collected;
  std::uint64_t leftOut = 0;
};

}
