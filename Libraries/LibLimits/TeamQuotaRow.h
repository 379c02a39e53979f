#pragma once

/// @file
/// The row in which a team's upper limit is split into grants.

#include <LibBase/Identifier.h>
#include <LibBase/Resources.h>
#include <LibBase/Verdict.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinc {

/// What one entry may have running of a team.
struct Grant
{
  EntryId holder;
  Resources amount;
  /// Found running beyond the amount when workers were taken over; counts against the limit too.
  Resources overcommitted;
  /// Demand that the holder could not be granted; asks others to return what they do not use.
  Resources unmetDemand;
  /// Taken from the holder by adoption since it last took account of that.
  Resources transferred;
  /// Number of the holder's last write; tells it after a lost reply what became of the write.
  std::uint64_t lastWriteNumber = 0;

  /// @return true if it has no amounts of any kind.
  [[nodiscard]] bool IsEmpty() const;

  friend bool operator==(const Grant&, const Grant&) = default;
};

/// The value of a team's row. The granted amounts add up to at most the limit, but for the time
/// after the limit was lowered until holders have returned the difference.
struct TeamQuotaRow
{
  /// Version of the document from which the limit was taken.
  std::uint64_t documentVersion = 0;
  Resources limit;
  std::vector<Grant> grants;

  /// @return the holder's grant, or an empty one.
  [[nodiscard]] Grant FindGrant(const EntryId& aHolder) const;

  /// @return true if there is a grant of the holder, be it empty.
  [[nodiscard]] bool HasGrant(const EntryId& aHolder) const;

  /// Replaces the holder's grant.
  void SetGrant(Grant aGrant);

  void RemoveGrant(const EntryId& aHolder);

  /// @return what is neither granted nor running uncovered; negative where these exceed the limit.
  [[nodiscard]] Resources Ungranted() const;

  friend bool operator==(const TeamQuotaRow&, const TeamQuotaRow&) = default;
};

/// Prefix of the keys of all team rows.
inline constexpr std::string_view kTeamQuotaKeyPrefix = "limits/";

[[nodiscard]] std::string
TeamQuotaKey(const TeamId& aTeam);

/// @return the team of a row's key. @pre the key starts with @ref kTeamRowPrefix
[[nodiscard]] TeamId
TeamFromKey(std::string_view aKey);

[[nodiscard]] std::string
EncodeTeamQuotaRow(const TeamQuotaRow& aRow);

/// @return the row, or a verdict if the value is not one.
[[nodiscard]] Result<TeamQuotaRow>
DecodeTeamQuotaRow(std::string_view aValue);

}
