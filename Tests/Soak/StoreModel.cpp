#include <Soak/StoreModel.h>

#include <LibBase/Time.h>
#include <algorithm>
#include <platform/Base64.h>
#include <set>

namespace zinc::soak {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kForbidden = 403;
constexpr unsigned kGone = 410;
constexpr unsigned kConditionFailed = 412;
/// Entries of one transaction, from the platform's pages.
constexpr std::size_t kEntriesLimit = 100;
/// Rows of one answer, from the platform's pages.
constexpr Json::ArrayIndex kRowsLimit = 500;
constexpr const char* kLists[] = { "ExpectedRev", "Writes", "Remove" };

}

StoreModel::RowName
StoreModel::NameOf(const Json::Value& aEntry)
{
  return { aEntry["Table"].asString(), aEntry["part"].asString(), aEntry["Key"].asString() };
}

unsigned
StoreModel::CheckForm(const Json::Value& aRequest)
{
  std::size_t entries = 0;
  std::set<std::string> parts;
  for (const char* list : kLists) {
    for (const auto& entry : aRequest[list]) {
      const auto [table, part, key] = NameOf(entry);
      const bool isRead = list == kLists[0];
      if (!isRead && (table == "op" || table == "servers")) {
        return kForbidden;
      }
      parts.insert(part);
      ++entries;
    }
  }
  const bool isSpread = parts.size() > 1 && !aRequest["Across"].asBool();
  return entries > kEntriesLimit || entries == 0 || isSpread ? kBadRequest : 0;
}

bool
StoreModel::HoldsConditions(const Json::Value& aConditions) const
{
  return std::all_of(aConditions.begin(), aConditions.end(), [&](const Json::Value& aEntry) {
    const auto found = this->rows.find(NameOf(aEntry));
    const auto standing = found == this->rows.end() ? 0 : found->second.version;
    return standing == aEntry["Ver"].asUInt64();
  });
}

Json::Value
StoreModel::Envelope() const
{
  Json::Value body(Json::objectValue);
  body["rows"] = Json::Value(Json::arrayValue);
  body["Ver"] = Json::UInt64(this->version);
  body["NowMs"] = Json::Int64(
    std::chrono::duration_cast<Milliseconds>(SteadyClock().Now().time_since_epoch()).count());
  return body;
}

Json::Value
StoreModel::Encode(const RowName& aName) const
{
  Json::Value row(Json::objectValue);
  row["Table"] = std::get<0>(aName);
  row["part"] = std::get<1>(aName);
  row["Key"] = std::get<2>(aName);
  const auto found = this->rows.find(aName);
  if (found == this->rows.end()) {
    row["Deleted"] = true;
    return row;
  }
  row["Value"] = found->second.value;
  row["Ver"] = Json::UInt64(found->second.version);
  return row;
}

void
StoreModel::Write(const RowName& aName, std::string aValue)
{
  this->rows[aName] = { .value = std::move(aValue), .version = this->version };
  this->changes.push_back({ .name = aName, .version = this->version });
}

void
StoreModel::Erase(const RowName& aName)
{
  if (this->rows.erase(aName) > 0) {
    this->changes.push_back({ .name = aName, .version = this->version });
  }
}

StoreReply
StoreModel::Transact(const Json::Value& aRequest)
{
  if (const auto fault = CheckForm(aRequest); fault != 0) {
    return { .status = fault };
  }
  const auto& conditions = aRequest["ExpectedRev"];
  if (!this->HoldsConditions(conditions)) {
    StoreReply reply{ .status = kConditionFailed, .body = this->Envelope() };
    for (const auto& entry : conditions) {
      if (this->rows.contains(NameOf(entry))) {
        reply.body["rows"].append(this->Encode(NameOf(entry)));
      }
    }
    return reply;
  }
  ++this->version;
  for (const auto& entry : aRequest["Writes"]) {
    this->Write(NameOf(entry), entry["Value"].asString());
  }
  for (const auto& entry : aRequest["Remove"]) {
    this->Erase(NameOf(entry));
  }
  return { .body = this->Envelope() };
}

StoreReply
StoreModel::Read(const ReadRange& aRange) const
{
  StoreReply reply{ .body = this->Envelope() };
  auto row = this->rows.lower_bound({ aRange.table, aRange.part, aRange.from });
  for (; row != this->rows.end(); ++row) {
    const auto& [table, part, key] = row->first;
    const bool isPast = !aRange.to.empty() && key >= aRange.to;
    if (table != aRange.table || part != aRange.part || isPast) {
      break;
    }
    if (reply.body["rows"].size() == kRowsLimit) {
      reply.body["HasMore"] = true;
      break;
    }
    reply.body["rows"].append(this->Encode(row->first));
  }
  return reply;
}

std::optional<StoreReply>
StoreModel::Changes(const std::string& aTable, std::uint64_t aAfter) const
{
  if (aAfter < this->forgotten) {
    return StoreReply{ .status = kGone };
  }
  StoreReply reply{ .body = this->Envelope() };
  const auto first = std::find_if(this->changes.begin(),
                                  this->changes.end(),
                                  [&](const Change& aChange) { return aChange.version > aAfter; });
  std::set<RowName> named;
  for (auto change = first; change != this->changes.end(); ++change) {
    if (std::get<0>(change->name) == aTable && named.insert(change->name).second) {
      auto row = this->Encode(change->name);
      row["Ver"] = row.isMember("Ver") ? row["Ver"] : Json::UInt64(change->version);
      reply.body["rows"].append(std::move(row));
    }
  }
  return named.empty() ? std::nullopt : std::optional(std::move(reply));
}

void
StoreModel::DropHistory()
{
  this->changes.clear();
  this->forgotten = this->version;
}

void
StoreModel::Put(const std::string& aTable, const std::string& aKey, std::string_view aText)
{
  ++this->version;
  this->Write({ aTable, "", aKey }, platform::EncodeBase64(aText));
}

void
StoreModel::Remove(const std::string& aTable, const std::string& aKey)
{
  ++this->version;
  this->Erase({ aTable, "", aKey });
}

}
