#include <LibAcceptance/AcceptedDocument.h>

#include <LibPlatform/Codec.h>
#include <LibPlatform/Json.h>
#include <fmt/format.h>
#include <json/json.h>

namespace zinc {

std::string
EncodeAcceptedDocument(const AcceptedDocument& aDocument)
{
  Json::Value value(Json::objectValue);
  value["version"] = static_cast<Json::UInt64>(aDocument.version);
  value["accepted_by"] = aDocument.acceptedBy;
  value["acceptance_id"] = aDocument.acceptanceId;
  value["yaml"] = aDocument.yaml;
  return WriteJson(value);
}

Result<AcceptedDocument>
DecodeAcceptedDocument(std::string_view aText)
{
  const auto parsed = ParseJson(aText);
  if (IsError(parsed)) {
    return ErrorOf(parsed);
  }
  JsonFields fields(ValueOf(parsed), "accepted document");
  AcceptedDocument document;
  document.version = fields.Unsigned("version");
  document.acceptedBy = fields.Text("accepted_by", kIdentifierBytesLimit);
  document.acceptanceId = fields.Text("acceptance_id", kIdentifierBytesLimit);
  document.yaml = fields.Text("yaml", kRowBytesLimit);
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return document;
}

std::string
HistoryKey(std::uint64_t aVersion)
{
  return fmt::format("{}{:016x}", kDocumentHistoryPrefix, aVersion);
}

}
