#include <LibPlatform/HttpTable.h>

#include <LibPlatform/Codec.h>
#include <LibPlatform/HttpExchange.h>
#include <LibPlatform/Json.h>
#include <LibPlatform/Url.h>
#include <fmt/format.h>
#include <json/json.h>

namespace zinc {

namespace {

Result<CommitOutcome>
CommitOutcomeFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "commit");
  const auto outcome = CommitOutcomeFromString(fields.Text("outcome", kIdentifierBytesLimit));
  if (!outcome) {
    fields.AddFault("outcome", "has an unknown value");
  }
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return *outcome;
}

Result<std::optional<Row>>
OptionalRowFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "read");
  if (fields.Fault()) {
    return *fields.Fault();
  }
  if (!fields.Has("row")) {
    return std::optional<Row>{};
  }
  Result<Row> row = RowFromJson(fields.Member("row"));
  if (IsError(row)) {
    return ErrorOf(row);
  }
  return std::optional(std::move(ValueOf(row)));
}

Result<std::vector<Row>>
RowsFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "list");
  std::vector<Row> rows;
  for (const Json::Value& element : fields.Array("rows")) {
    Result<Row> row = RowFromJson(element);
    if (IsError(row)) {
      return ErrorOf(row);
    }
    rows.push_back(std::move(ValueOf(row)));
  }
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return rows;
}

}

HttpTable::HttpTable(std::shared_ptr<HttpClient> aClient)
  : client(std::move(aClient))
{
}

Result<std::shared_ptr<HttpTable>>
HttpTable::Create(Options aOptions)
{
  Result<std::shared_ptr<HttpClient>> client = HttpClient::Create(std::move(aOptions));
  if (IsError(client)) {
    return ErrorOf(client);
  }
  return std::shared_ptr<HttpTable>(new HttpTable(std::move(ValueOf(client))));
}

void
HttpTable::Commit(Transaction aTransaction, Handler<CommitOutcome> aHandler)
{
  detail::Exchange<CommitOutcome>(
    this->client,
    [transaction = std::move(aTransaction)] {
      return HttpRequest{ .method = HttpMethod::Post,
                          .target = "/table/commit",
                          .body = WriteJson(ToJson(transaction)) };
    },
    Milliseconds(0),
    [](const HttpReply& aReply) { return detail::DecodeReply(aReply, CommitOutcomeFromJson); },
    std::move(aHandler));
}

void
HttpTable::Read(std::string aKey, Handler<std::optional<Row>> aHandler)
{
  detail::Exchange<std::optional<Row>>(
    this->client,
    [key = std::move(aKey)] {
      return HttpRequest{ .method = HttpMethod::Get,
                          .target = "/table/row?key=" + PercentEncode(key) };
    },
    Milliseconds(0),
    [](const HttpReply& aReply) { return detail::DecodeReply(aReply, OptionalRowFromJson); },
    std::move(aHandler));
}

void
HttpTable::List(ListRequest aRequest, Handler<std::vector<Row>> aHandler)
{
  detail::Exchange<std::vector<Row>>(
    this->client,
    [request = std::move(aRequest)] {
      return HttpRequest{ .method = HttpMethod::Get,
                          .target = fmt::format("/table/list?prefix={}&after={}&limit={}",
                                                PercentEncode(request.prefix),
                                                PercentEncode(request.after),
                                                request.limit) };
    },
    Milliseconds(0),
    [](const HttpReply& aReply) { return detail::DecodeReply(aReply, RowsFromJson); },
    std::move(aHandler));
}
}
