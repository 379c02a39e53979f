#include <LibLog/Logger.h>

#include <LibLog/LineWriter.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <iterator>

namespace zinc {

namespace {

using Buffer = fmt::memory_buffer;

constexpr std::array<std::string_view, 4> kLevelNames = { "debug", "info", "warning", "error" };
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7F;

void
Append(Buffer& aBuffer, std::string_view aText)
{
  aBuffer.append(aText);
}

bool
IsControl(char aCharacter)
{
  const auto code = static_cast<unsigned char>(aCharacter);
  return code < kFirstPrintable || code == kDelete;
}

bool
NeedsQuotes(std::string_view aText)
{
  return aText.empty() || std::ranges::any_of(aText, [](char aCharacter) {
           return IsControl(aCharacter) || aCharacter == ' ' || aCharacter == '"' ||
                  aCharacter == '\\' || aCharacter == '=';
         });
}

/// Appends a text in quotes with the escapes of JSON.
void
AppendQuoted(Buffer& aBuffer, std::string_view aText)
{
  aBuffer.push_back('"');
  for (const char character : aText) {
    if (IsControl(character)) {
      fmt::format_to(
        std::back_inserter(aBuffer), "\\u{:04x}", static_cast<unsigned char>(character));
      continue;
    }
    if (character == '"' || character == '\\') {
      aBuffer.push_back('\\');
    }
    aBuffer.push_back(character);
  }
  aBuffer.push_back('"');
}

/// Appends a value, its text in quotes where the format asks for it.
class ValueWriter
{
public:
  ValueWriter(Buffer& aBuffer, LogFormat aFormat)
    : buffer(aBuffer)
    , format(aFormat)
  {
  }

  void operator()(std::string_view aText) const
  {
    if (this->format == LogFormat::Json || NeedsQuotes(aText)) {
      AppendQuoted(this->buffer, aText);
      return;
    }
    Append(this->buffer, aText);
  }

  void operator()(auto aNumber) const
  {
    fmt::format_to(std::back_inserter(this->buffer), "{}", aNumber);
  }

private:
  Buffer& buffer;
  LogFormat format;
};

void
AppendField(Buffer& aBuffer, LogFormat aFormat, const LogField& aField)
{
  if (aFormat == LogFormat::Json) {
    Append(aBuffer, aBuffer.size() == 0 ? "{" : ",");
    AppendQuoted(aBuffer, aField.name);
    aBuffer.push_back(':');
  } else {
    Append(aBuffer, aBuffer.size() == 0 ? "" : " ");
    Append(aBuffer, aField.name);
    aBuffer.push_back('=');
  }
  std::visit(ValueWriter(aBuffer, aFormat), aField.value);
}

std::string
CurrentTime()
{
  const auto now =
    std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                     (now - seconds).count());
}

}

void
Logger::Log(LogLevel aLevel, std::string_view aEvent, LogFields aFields) const
{
  if (aLevel < this->options.level) {
    return;
  }
  Buffer line;
  const LogFormat format = this->options.format;
  AppendField(line, format, { "time", CurrentTime() });
  AppendField(line, format, { "level", kLevelNames.at(static_cast<std::size_t>(aLevel)) });
  AppendField(line, format, { "event", aEvent });
  for (const auto& field : aFields) {
    AppendField(line, format, field);
  }
  Append(line, format == LogFormat::Json ? "}\n" : "\n");
  if (this->options.writer != nullptr) {
    this->options.writer->Write(aEvent, { line.data(), line.size() });
    return;
  }
  std::fwrite(line.data(), 1, line.size(), this->options.output);
}

}
