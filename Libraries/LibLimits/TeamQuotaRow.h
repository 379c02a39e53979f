#pragma once

/// @file
/// The stored row that splits a team's limit into grants.

#include <LibBase/Identifier.h>
#include <LibBase/Resources.h>
#include <LibBase/Verdict.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinc {

/// One entry instance's part of a team's limit.
struct Grant
{
  EntryId holder;
  Resources amount;
  /// Running tasks in excess of @ref amount, found on acquired workers. Counts against the limit.
  Resources overcommitted;
  /// Demand in excess of @ref amount; makes others return what they do not use.
  Resources unmetDemand;
  /// Total that adoptions by other entry instances have taken from @ref amount.
  Resources transferred;
  /// Number of the holder's last write. Shows after a lost reply which write took effect.
  std::uint64_t lastWriteNumber = 0;

  /// @return true if all amounts are zero.
  [[nodiscard]] bool IsEmpty() const;

  friend bool operator==(const Grant&, const Grant&) = default;
};

/// The value of a team's row. The sum of the granted amounts exceeds the limit only after the limit
/// was lowered, until the holders have returned the difference.
struct TeamQuotaRow
{
  /// Version of the document that set the limit.
  std::uint64_t documentVersion = 0;
  Resources limit;
  std::vector<Grant> grants;

  /// @return the holder's grant, or an empty grant if it has none.
  [[nodiscard]] Grant FindGrant(const EntryId& aHolder) const;

  /// @return true if the row has a grant of the holder, including an empty one.
  [[nodiscard]] bool HasGrant(const EntryId& aHolder) const;

  /// Adds the grant or replaces that of the same holder.
  void SetGrant(Grant aGrant);

  void RemoveGrant(const EntryId& aHolder);

  /// @return the limit minus all granted and overcommitted amounts; negative where these exceed
  /// the limit.
  [[nodiscard]] Resources Ungranted() const;

  friend bool operator==(const TeamQuotaRow&, const TeamQuotaRow&) = default;
};

/// Key prefix of all teams' rows.
inline constexpr std::string_view kTeamQuotaKeyPrefix = "limits/";

[[nodiscard]] std::string
TeamQuotaKey(const TeamId& aTeam);

/// @return the team that a row's key names. @pre the key starts with @ref kTeamQuotaKeyPrefix
[[nodiscard]] TeamId
TeamFromKey(std::string_view aKey);

[[nodiscard]] std::string
EncodeTeamQuotaRow(const TeamQuotaRow& aRow);

/// @return the row, or a verdict if the value is malformed.
[[nodiscard]] Result<TeamQuotaRow>
DecodeTeamQuotaRow(std::string_view aValue);

}
