#include <LibClient/Json.h>

#include <LibPlatform/JsonBounds.h>
#include <algorithm>
#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>

namespace zinc {

std::unique_ptr<Json::Value>
ParseJson(std::string_view aText)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["strictRoot"] = false;
  builder["stackLimit"] = kJsonDepthLimit;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  auto value = std::make_unique<Json::Value>();
  try {
    if (!reader->parse(aText.data(), aText.data() + aText.size(), value.get(), nullptr)) {
      return {};
    }
  } catch (const Json::Exception&) {
    return {};
  }
  return value;
}

std::string
JsonText(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, aValue);
}

const Json::Value&
Member(const Json::Value& aValue, std::string_view aPath)
{
  const Json::Value* value = &aValue;
  while (!aPath.empty()) {
    const auto end = std::min(aPath.find('.'), aPath.size());
    const std::string name(aPath.substr(0, end));
    if (!value->isObject() || !value->isMember(name)) {
      return Json::Value::nullSingleton();
    }
    value = &(*value)[name];
    aPath.remove_prefix(std::min(end + 1, aPath.size()));
  }
  return *value;
}

std::string
TextOf(const Json::Value& aValue)
{
  if (aValue.isNull()) {
    return {};
  }
  return aValue.isString() ? aValue.asString() : JsonText(aValue);
}

}
