#pragma once

/// @file
/// The instance list over HTTP.

#include <LibPlatform/HttpOptions.h>
#include <LibPlatform/InstanceList.h>
#include <memory>

namespace zinc {

class HttpClient;

/// Client of the instance list over HTTP; see docs/platform.md for its endpoints.
class HttpInstanceList final : public InstanceList
{
public:
  using Options = HttpOptions;

  /// @return the client, or @ref ErrorCode::BadRequest if an address is not an IP address.
  [[nodiscard]] static Result<std::shared_ptr<HttpInstanceList>> Create(Options aOptions);

  void Fetch(Handler aHandler) override;

private:
  explicit HttpInstanceList(std::shared_ptr<HttpClient> aClient);

  std::shared_ptr<HttpClient> client;
};

}
