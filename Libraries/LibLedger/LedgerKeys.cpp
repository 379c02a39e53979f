#include <LibLedger/LedgerKeys.h>

#include <charconv>
#include <fmt/format.h>
#include <xxhash.h>

namespace zinc {

namespace {

constexpr int kHexadecimal = 16;
constexpr std::size_t kShardDigits = 4;
constexpr std::size_t kSequenceDigits = 16;

template<typename Number>
std::optional<Number>
ParseHexadecimal(std::string_view aDigits)
{
  Number number = 0;
  const char* const end = aDigits.data() + aDigits.size();
  const auto [stop, error] = std::from_chars(aDigits.data(), end, number, kHexadecimal);
  if (error != std::errc{} || stop != end) {
    return {};
  }
  return number;
}

}

ShardIndex
ShardOfRequest(const TeamId& aTeam, const RequestId& aRequest, std::uint32_t aShardCount)
{
  const std::string name = fmt::format("{}\n{}", aTeam.value, aRequest.value);
  return static_cast<ShardIndex>(XXH3_64bits(name.data(), name.size()) % aShardCount);
}

JobId
MakeJobId(ShardIndex aShard, std::uint64_t aRandom)
{
  return { fmt::format("{:04x}-{:016x}", aShard, aRandom) };
}

std::optional<ShardIndex>
ShardOfJob(const JobId& aJob)
{
  if (aJob.value.size() <= kShardDigits || aJob.value[kShardDigits] != '-') {
    return {};
  }
  return ParseHexadecimal<ShardIndex>(std::string_view(aJob.value).substr(0, kShardDigits));
}

std::string
LogPrefix(ShardIndex aShard)
{
  return fmt::format("ledger/{:04x}/log/", aShard);
}

std::string
LogKey(ShardIndex aShard, Sequence aSequence)
{
  return fmt::format("ledger/{:04x}/log/{:016x}", aShard, aSequence);
}

std::optional<Sequence>
SequenceOfKey(const std::string& aKey)
{
  if (aKey.size() < kSequenceDigits) {
    return {};
  }
  return ParseHexadecimal<Sequence>(std::string_view(aKey).substr(aKey.size() - kSequenceDigits));
}

std::string
BaseKey(ShardIndex aShard)
{
  return fmt::format("ledger/{:04x}/base", aShard);
}

std::string
SnapshotName(ShardIndex aShard, Sequence aSequence)
{
  return fmt::format("ledger/{:04x}/snapshot-{:016x}", aShard, aSequence);
}

}
