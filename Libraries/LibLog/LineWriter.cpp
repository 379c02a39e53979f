#include <LibLog/LineWriter.h>

#include <cerrno>
#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

namespace zinc {

LineWriter::LineWriter(LineWriterOptions aOptions)
  : options(std::move(aOptions))
  , second(this->options.now())
{
  const int flags = ::fcntl(this->options.descriptor, F_GETFL);
  if (flags < 0 || ::fcntl(this->options.descriptor, F_SETFL, flags | O_NONBLOCK) < 0) {
    this->collected += fmt::format("level=warning event=log_may_block errno={}\n", errno);
  }
}

LineWriter::~LineWriter()
{
  this->Flush();
}

void
LineWriter::Write(std::string_view aEvent, std::string_view aLine)
{
  const std::lock_guard lock(this->mutex);
  const auto now = this->options.now();
  if (now - this->second >= std::chrono::seconds(1)) {
    this->BeginSecond(now);
  }
  auto found = this->kinds.find(aEvent);
  if (found == this->kinds.end()) {
    found = this->kinds.emplace(std::string(aEvent), Kind{}).first;
  }
  auto& kind = found->second;
  const auto extra =
    kind.lines < this->options.rareLinesPerEvent ? this->options.rareBytes : std::size_t{ 0 };
  const bool isBeyond =
    kind.lines >= this->options.linesPerEvent ||
    this->bytesThisSecond + aLine.size() > this->options.bytesPerSecond + extra ||
    this->collected.size() + aLine.size() > this->options.waitingBytes + extra;
  if (isBeyond) {
    ++kind.leftOut;
    ++this->leftOut;
    return;
  }
  ++kind.lines;
  this->bytesThisSecond += aLine.size();
  this->collected += aLine;
  if (this->collected.size() >= this->options.collectBytes) {
    this->Drain();
  }
}

void
LineWriter::BeginSecond(std::chrono::steady_clock::time_point aNow)
{
  this->second = aNow;
  this->bytesThisSecond = 0;
  for (auto& [event, kind] : this->kinds) {
    kind.lines = 0;
    if (kind.leftOut > 0 && this->collected.size() < this->options.waitingBytes) {
      this->collected +=
        fmt::format("level=warning event=lines_left_out kind={} lines={}\n", event, kind.leftOut);
      kind.leftOut = 0;
    }
  }
}

void
LineWriter::Drain()
{
  while (!this->collected.empty()) {
    const auto written =
      ::write(this->options.descriptor, this->collected.data(), this->collected.size());
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
      // The reader is gone: nobody will take the lines.
      this->collected.clear();
      return;
    }
    if (written <= 0) {
      return;
    }
    this->collected.erase(0, static_cast<std::size_t>(written));
  }
}

void
LineWriter::Flush()
{
  const std::lock_guard lock(this->mutex);
  this->Drain();
}

std::uint64_t
LineWriter::LeftOut() const
{
  const std::lock_guard lock(this->mutex);
  return this->leftOut;
}

}
