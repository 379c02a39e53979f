#include <LibCell/Tombstone.h>

#include <charconv>
#include <fmt/format.h>

namespace zinc::cell {

namespace {

constexpr std::string_view kPrefix = "tombstone ";

}

std::string
EncodeTombstone(const Tombstone& aTombstone)
{
  // The name goes last, since it may contain spaces.
  return fmt::format("{}{} {}", kPrefix, aTombstone.writtenAt.count(), aTombstone.workspace.value);
}

std::optional<Tombstone>
DecodeTombstone(std::string_view aText)
{
  if (!aText.starts_with(kPrefix)) {
    return {};
  }
  aText.remove_prefix(kPrefix.size());
  std::int64_t writtenAt = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), writtenAt);
  const auto digits = static_cast<std::size_t>(end - aText.data());
  if (error != std::errc() || writtenAt < 0 || digits >= aText.size() || aText[digits] != ' ') {
    return {};
  }
  return Tombstone{ .workspace = { std::string(aText.substr(digits + 1)) },
                    .writtenAt = Milliseconds(writtenAt) };
}

Verdict
CancelledBeforeSubmission()
{
  return NotRun(ErrorCode::Cancelled, "The job was cancelled before it was submitted.");
}

}
