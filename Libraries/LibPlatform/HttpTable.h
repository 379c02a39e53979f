#pragma once

/// @file
/// The table service over HTTP.

#include <LibPlatform/HttpOptions.h>
#include <LibPlatform/Table.h>
#include <memory>

namespace zinc {

class HttpClient;

/// Client of the table service over HTTP; see docs/platform.md for its endpoints.
class HttpTable final : public Table
{
public:
  using Options = HttpOptions;

  /// @return the client, or @ref ErrorCode::BadRequest if an address is not an IP address.
  [[nodiscard]] static Result<std::shared_ptr<HttpTable>> Create(Options aOptions);

  void Commit(Transaction aTransaction, Handler<CommitOutcome> aHandler) override;
  void Read(std::string aKey, Handler<std::optional<Row>> aHandler) override;
  void List(ListRequest aRequest, Handler<std::vector<Row>> aHandler) override;

private:
  explicit HttpTable(std::shared_ptr<HttpClient> aClient);

  std::shared_ptr<HttpClient> client;
};

}
