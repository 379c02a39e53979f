#include <LibLedger/JsonArray.h>

#include <LibPlatform/JsonBounds.h>
#include <memory>

namespace zinc::detail {

namespace {

Json::StreamWriterBuilder
CompactWriter()
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return builder;
}

Json::CharReaderBuilder
BoundedReader()
{
  Json::CharReaderBuilder builder;
  builder["stackLimit"] = kJsonDepthLimit;
  return builder;
}

}

std::string
WriteJson(const Json::Value& aValue)
{
  static const Json::StreamWriterBuilder kWriter = CompactWriter();
  return Json::writeString(kWriter, aValue);
}

std::optional<Json::Value>
ReadJson(std::string_view aText)
{
  static const Json::CharReaderBuilder kBuilder = BoundedReader();
  const std::unique_ptr<Json::CharReader> reader(kBuilder.newCharReader());
  Json::Value value;
  std::string faults;
  try {
    if (!reader->parse(aText.data(), aText.data() + aText.size(), &value, &faults)) {
      return {};
    }
  } catch (const Json::Exception&) {
    // The parser throws where the nesting is too deep.
    return {};
  }
  return value;
}

}
