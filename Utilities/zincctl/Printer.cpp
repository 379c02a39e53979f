#include <zincctl/Printer.h>

#include <LibClient/Json.h>
#include <algorithm>
#include <fmt/format.h>
#include <json/value.h>
#include <ostream>

namespace zinc {

namespace {

Json::Value
ToJson(const Verdict& aVerdict)
{
  Json::Value error;
  error["code"] = std::string(ToString(aVerdict.code));
  error["message"] = aVerdict.message;
  error["run"] = std::string(ToString(aVerdict.run));
  if (aVerdict.retryAfter) {
    error["retry_after_ms"] = static_cast<Json::Int64>(aVerdict.retryAfter->count());
  }
  Json::Value body;
  body["error"] = error;
  return body;
}

Json::Value
ToJson(const Faults& aFaults)
{
  Json::Value list(Json::arrayValue);
  for (const auto& fault : aFaults) {
    Json::Value item;
    item["line"] = fault.line;
    item["path"] = fault.path;
    item["message"] = fault.message;
    item["expected"] = fault.expected;
    list.append(item);
  }
  return list;
}

using TableRow = std::vector<std::string>;

std::vector<TableRow>
RowsOf(const Json::Value& aRows, std::span<const Column> aColumns)
{
  std::vector<TableRow> rows(1);
  for (const auto& column : aColumns) {
    rows.front().emplace_back(column.title);
  }
  if (!aRows.isArray()) {
    return rows;
  }
  for (const auto& item : aRows) {
    TableRow row;
    for (const auto& column : aColumns) {
      row.push_back(TextOf(Member(item, column.path)));
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

std::vector<std::size_t>
WidthsOf(const std::vector<TableRow>& aRows)
{
  std::vector<std::size_t> widths(aRows.front().size());
  for (const auto& row : aRows) {
    for (std::size_t index = 0; index < row.size(); ++index) {
      widths[index] = std::max(widths[index], row[index].size());
    }
  }
  return widths;
}

}

void
Printer::PrintJson(const Json::Value& aValue)
{
  this->output << JsonText(aValue) << '\n';
}

void
Printer::PrintText(std::string_view aText)
{
  this->output << aText;
}

void
Printer::PrintRemark(std::string_view aText)
{
  this->error << aText << '\n' << std::flush;
}

void
Printer::PrintObject(const Json::Value& aObject, std::span<const Column> aMembers)
{
  if (this->IsJson()) {
    this->PrintJson(aObject);
    return;
  }
  for (const auto& member : aMembers) {
    const std::string text = TextOf(Member(aObject, member.path));
    if (!text.empty()) {
      this->output << member.title << ": " << text << '\n';
    }
  }
}

void
Printer::PrintTable(const Json::Value& aRows, std::span<const Column> aColumns)
{
  const auto rows = RowsOf(aRows, aColumns);
  const auto widths = WidthsOf(rows);
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t index = 0; index < row.size(); ++index) {
      line += fmt::format("{:<{}}  ", row[index], widths[index]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    this->output << line << '\n';
  }
}

void
Printer::PrintError(const Verdict& aVerdict)
{
  if (this->IsJson()) {
    this->PrintJson(ToJson(aVerdict));
    return;
  }
  const std::string retry =
    aVerdict.retryAfter ? fmt::format("; ask again after {} ms", aVerdict.retryAfter->count()) : "";
  this->error << fmt::format("error: {} ({}, {}{})\n",
                             aVerdict.message,
                             ToString(aVerdict.code),
                             ToString(aVerdict.run),
                             retry);
}

void
Printer::PrintFaults(const Json::Value& aFaults)
{
  if (this->IsJson()) {
    Json::Value body;
    body["valid"] = false;
    body["faults"] = aFaults;
    this->PrintJson(body);
    return;
  }
  for (const auto& fault : aFaults) {
    this->error << fmt::format("line {}: {}: {}; expected {}\n",
                               TextOf(Member(fault, "line")),
                               TextOf(Member(fault, "path")),
                               TextOf(Member(fault, "message")),
                               TextOf(Member(fault, "expected")));
  }
}

void
Printer::PrintFaults(const Faults& aFaults)
{
  this->PrintFaults(ToJson(aFaults));
}

}
