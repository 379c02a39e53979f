#pragma once

/// @file
/// The object store over HTTP.

#include <LibPlatform/HttpOptions.h>
#include <LibPlatform/ObjectStore.h>
#include <memory>

namespace zinc {

class HttpClient;

/// Client of the object store over HTTP; see docs/platform.md for its endpoints.
class HttpObjectStore final : public ObjectStore
{
public:
  using Options = HttpOptions;

  /// @return the client, or @ref ErrorCode::BadRequest if an address is not an IP address.
  [[nodiscard]] static Result<std::shared_ptr<HttpObjectStore>> Create(Options aOptions);

  void Put(std::string aName, std::string aContent, Handler<Done> aHandler) override;
  void Fetch(std::string aName, Handler<std::string> aHandler) override;
  void Remove(std::string aName, Handler<Done> aHandler) override;

private:
  explicit HttpObjectStore(std::shared_ptr<HttpClient> aClient);

  std::shared_ptr<HttpClient> client;
};

}
