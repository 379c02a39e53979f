#include <LibCell/CallerPort.h>

namespace zinc::cell {

Result<AdmittedCall>
Admit(const CellPolicy& aPolicy,
      std::string_view aHost,
      std::string_view aPath,
      std::string_view aKey)
{
  const auto* route = aPolicy.FindRoute(aHost, aPath);
  if (route == nullptr) {
    return NotRun(ErrorCode::NotFound, "There is no such queue.");
  }
  AdmittedCall call{ .route = route, .rest = aPath.substr(route->pathPrefix.size()) };
  const auto owner = aPolicy.workspaceByKey.find(std::string(aKey));
  if (owner != aPolicy.workspaceByKey.end()) {
    call.workspace = owner->second;
  } else if (!route->isPublic) {
    return NotRun(ErrorCode::Unauthorized, "The key is not known.");
  }
  return call;
}

}
