#include <LibCell/CallerPort.h>

namespace zinc::cell {

Result<AuthorizedRequest>
AuthorizeRequest(const CellPolicy& aPolicy,
                 std::string_view aHost,
                 std::string_view aPath,
                 std::string_view aKey)
{
  const auto* route = aPolicy.FindRoute(aHost, aPath);
  if (route == nullptr) {
    return NotRun(ErrorCode::NotFound, "No queue has this host and path.");
  }
  AuthorizedRequest request{ .route = route, .subpath = aPath.substr(route->pathPrefix.size()) };
  const auto workspace = aPolicy.workspaceByApiKey.find(std::string(aKey));
  if (workspace != aPolicy.workspaceByApiKey.end()) {
    request.workspace = workspace->second;
  } else if (!route->isPublic) {
    return NotRun(ErrorCode::Unauthorized, "The API key is missing or invalid.");
  }
  return request;
}

}
