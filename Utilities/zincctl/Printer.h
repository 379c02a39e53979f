#pragma once

/// @file
/// Results and errors as text or JSON.

#include <LibBase/Verdict.h>
#include <LibSettings/ClientSettings.h>
#include <LibYaml/Fault.h>
#include <iosfwd>
#include <json/forwards.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace zinc {

/// One column of a table.
struct Column
{
  std::string_view title;
  /// Path of the value in a row, e.g. "used.slots".
  std::string_view path;
};

/// Prints in the chosen format: results to the output, errors to the error stream; in JSON both go
/// to the output.
class Printer
{
public:
  Printer(OutputFormat aFormat, std::ostream& aOutput, std::ostream& aError)
    : format(aFormat)
    , output(aOutput)
    , error(aError)
  {
  }

  [[nodiscard]] bool IsJson() const { return this->format == OutputFormat::Json; }

  /// Prints a value as JSON, whatever the format.
  void PrintJson(const Json::Value& aValue);
  /// Prints text as it is.
  void PrintText(std::string_view aText);
  /// Prints a remark beside the result.
  void PrintRemark(std::string_view aText);
  /// Prints an object: as JSON, or its listed members one a line.
  void PrintObject(const Json::Value& aObject, std::span<const Column> aMembers);
  /// Prints the rows of an array as a table.
  void PrintTable(const Json::Value& aRows, std::span<const Column> aColumns);
  void PrintError(const Verdict& aVerdict);
  /// Prints faults as the interface gives them.
  void PrintFaults(const Json::Value& aFaults);
  void PrintFaults(const Faults& aFaults);

private:
  OutputFormat format;
  std::ostream& output;
  std::ostream& error;
};

}
