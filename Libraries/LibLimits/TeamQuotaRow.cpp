#include <LibLedger/JsonArray.h>
#include <LibLimits/ResourceArithmetic.h>
#include <LibLimits/TeamQuotaRow.h>

#include <algorithm>

namespace zinc {

namespace {

using detail::JsonArrayReader;
using detail::JsonArrayWriter;

Json::Value
ToJson(const Resources& aAmounts)
{
  JsonArrayWriter writer;
  for (const auto amount : detail::kResourceFields) {
    writer.Number64(aAmounts.*amount);
  }
  return writer.Take();
}

Resources
ReadAmounts(JsonArrayReader& aReader)
{
  JsonArrayReader nested(aReader.Nested());
  Resources amounts;
  for (const auto amount : detail::kResourceFields) {
    amounts.*amount = nested.Number64<std::int64_t>();
  }
  if (!nested.IsValid()) {
    aReader.Fail();
  }
  return amounts;
}

Json::Value
ToJson(const Grant& aGrant)
{
  return JsonArrayWriter()
    .Text(aGrant.holder.value)
    .Nested(ToJson(aGrant.amount))
    .Nested(ToJson(aGrant.overcommitted))
    .Nested(ToJson(aGrant.unmetDemand))
    .Nested(ToJson(aGrant.transferred))
    .Number64(aGrant.lastWriteNumber)
    .Take();
}

Grant
ReadGrant(JsonArrayReader& aReader)
{
  Grant grant;
  grant.holder.value = aReader.Text();
  grant.amount = ReadAmounts(aReader);
  grant.overcommitted = ReadAmounts(aReader);
  grant.unmetDemand = ReadAmounts(aReader);
  grant.transferred = ReadAmounts(aReader);
  grant.lastWriteNumber = aReader.Number64<std::uint64_t>();
  return grant;
}

Verdict
Malformed()
{
  return NotRun(ErrorCode::Internal, "a stored team quota row is malformed");
}

}

Grant
TeamQuotaRow::FindGrant(const EntryId& aHolder) const
{
  const auto found = std::ranges::find(this->grants, aHolder, &Grant::holder);
  return found == this->grants.end() ? Grant{ .holder = aHolder } : *found;
}

bool
TeamQuotaRow::HasGrant(const EntryId& aHolder) const
{
  return std::ranges::find(this->grants, aHolder, &Grant::holder) != this->grants.end();
}

void
TeamQuotaRow::SetGrant(Grant aGrant)
{
  this->RemoveGrant(aGrant.holder);
  this->grants.push_back(std::move(aGrant));
}

bool
Grant::IsEmpty() const
{
  return detail::IsZero(this->amount) && detail::IsZero(this->overcommitted) &&
         detail::IsZero(this->unmetDemand) && detail::IsZero(this->transferred);
}

void
TeamQuotaRow::RemoveGrant(const EntryId& aHolder)
{
  std::erase_if(this->grants, [&](const Grant& aGrant) { return aGrant.holder == aHolder; });
}

Resources
TeamQuotaRow::Ungranted() const
{
  Resources free = this->limit;
  for (const Grant& grant : this->grants) {
    free -= grant.amount + grant.overcommitted;
  }
  return free;
}

std::string
TeamQuotaKey(const TeamId& aTeam)
{
  return std::string(kTeamQuotaKeyPrefix) + aTeam.value;
}

TeamId
TeamFromKey(std::string_view aKey)
{
  return { std::string(aKey.substr(kTeamQuotaKeyPrefix.size())) };
}

std::string
EncodeTeamQuotaRow(const TeamQuotaRow& aRow)
{
  JsonArrayWriter grants;
  for (const Grant& grant : aRow.grants) {
    grants.Nested(ToJson(grant));
  }
  return detail::WriteJson(JsonArrayWriter()
                             .Number64(aRow.documentVersion)
                             .Nested(ToJson(aRow.limit))
                             .Nested(grants.Take())
                             .Take());
}

Result<TeamQuotaRow>
DecodeTeamQuotaRow(std::string_view aValue)
{
  const auto json = detail::ReadJson(aValue);
  if (!json) {
    return Malformed();
  }
  JsonArrayReader reader(*json);
  TeamQuotaRow row;
  row.documentVersion = reader.Number64<std::uint64_t>();
  row.limit = ReadAmounts(reader);
  const Json::Value& grants = reader.Nested();
  if (!reader.IsValid() || !grants.isArray()) {
    return Malformed();
  }
  for (const Json::Value& value : grants) {
    JsonArrayReader nested(value);
    row.grants.push_back(ReadGrant(nested));
    if (!nested.IsValid()) {
      return Malformed();
    }
  }
  return row;
}

}
