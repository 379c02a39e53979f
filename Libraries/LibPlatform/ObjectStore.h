#pragma once

/// @file
/// The platform's object store.

#include <LibBase/Verdict.h>
#include <functional>
#include <string>

namespace zinc {

/// Asynchronous client of the object store. Handlers run on the control thread.
class ObjectStore
{
public:
  template<typename T>
  using Handler = std::function<void(Result<T>)>;

  virtual ~ObjectStore() = default;

  /// Stores an object; replaces one of the same name.
  virtual void Put(std::string aName, std::string aContent, Handler<Done> aHandler) = 0;

  /// Fetches an object; fails with @ref ErrorCode::NotFound if there is none.
  virtual void Fetch(std::string aName, Handler<std::string> aHandler) = 0;

  /// Deletes an object; succeeds if there is none.
  virtual void Remove(std::string aName, Handler<Done> aHandler) = 0;
};

}
