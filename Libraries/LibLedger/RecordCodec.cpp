#include <LibLedger/JsonArray.h>
#include <LibLedger/RecordCodec.h>
#include <LibLedger/RecordJson.h>

namespace zinc {

namespace {

Verdict
Malformed(std::string_view aWhat)
{
  return { .code = ErrorCode::Internal,
           .run = RunState::NotRun,
           .message = std::string("malformed ") + std::string(aWhat) };
}

}

std::string
EncodeRecord(const Record& aRecord)
{
  return detail::WriteJson(detail::RecordToJson(aRecord));
}

std::string
EncodeBatch(std::string_view aId, const EntryId& aWriter, std::span<const std::string> aRecords)
{
  std::string value = "[";
  value += detail::WriteJson(Json::Value(std::string(aId)));
  value += ',';
  value += detail::WriteJson(Json::Value(aWriter.value));
  value += ",[";
  for (std::size_t index = 0; index < aRecords.size(); ++index) {
    if (index > 0) {
      value += ',';
    }
    value += aRecords[index];
  }
  value += "]]";
  return value;
}

Result<Batch>
DecodeBatch(std::string_view aValue)
{
  const auto json = detail::ReadJson(aValue);
  if (!json) {
    return Malformed("ledger row");
  }
  detail::JsonArrayReader reader(*json);
  Batch batch;
  batch.id = reader.Text();
  batch.writer.value = reader.Text();
  const Json::Value& records = reader.Nested();
  if (!reader.IsValid() || !records.isArray()) {
    return Malformed("ledger row");
  }
  for (const Json::Value& value : records) {
    auto record = detail::RecordFromJson(value);
    if (!record) {
      return Malformed("ledger record");
    }
    batch.records.push_back(std::move(*record));
  }
  return batch;
}

std::string
EncodeBase(const LogBase& aBase)
{
  return detail::WriteJson(detail::JsonArrayWriter()
                             .Number64(aBase.sequence)
                             .Number64(aBase.oldestRow)
                             .Text(aBase.object)
                             .Take());
}

Result<LogBase>
DecodeBase(std::string_view aValue)
{
  const auto json = detail::ReadJson(aValue);
  if (!json) {
    return Malformed("ledger base");
  }
  detail::JsonArrayReader reader(*json);
  LogBase base;
  base.sequence = reader.Number64<Sequence>();
  base.oldestRow = reader.Number64<Sequence>();
  base.object = reader.Text();
  if (!reader.IsValid()) {
    return Malformed("ledger base");
  }
  return base;
}

}
