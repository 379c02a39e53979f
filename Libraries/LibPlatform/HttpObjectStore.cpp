#include <LibPlatform/HttpObjectStore.h>

#include <LibPlatform/HttpExchange.h>
#include <LibPlatform/Url.h>

namespace zinc {

namespace {

/// @return the path of an object; slashes in its name stay as they are.
std::string
PathOf(std::string_view aName)
{
  std::string path = "/objects";
  while (true) {
    const std::size_t slash = aName.find('/');
    path += "/" + PercentEncode(aName.substr(0, slash));
    if (slash == std::string_view::npos) {
      return path;
    }
    aName.remove_prefix(slash + 1);
  }
}

Result<std::string>
DecodeContent(HttpReply aReply)
{
  if (!detail::IsSuccess(aReply)) {
    return detail::VerdictOf(aReply);
  }
  return std::move(aReply.body);
}

}

HttpObjectStore::HttpObjectStore(std::shared_ptr<HttpClient> aClient)
  : client(std::move(aClient))
{
}

Result<std::shared_ptr<HttpObjectStore>>
HttpObjectStore::Create(Options aOptions)
{
  Result<std::shared_ptr<HttpClient>> client = HttpClient::Create(std::move(aOptions));
  if (IsError(client)) {
    return ErrorOf(client);
  }
  return std::shared_ptr<HttpObjectStore>(new HttpObjectStore(std::move(ValueOf(client))));
}

void
HttpObjectStore::Put(std::string aName, std::string aContent, Handler<Done> aHandler)
{
  detail::Exchange<Done>(
    this->client,
    [name = std::move(aName), content = std::move(aContent)]() mutable {
      return HttpRequest{ .method = HttpMethod::Put,
                          .target = PathOf(name),
                          .body = std::move(content) };
    },
    Milliseconds(0),
    detail::DecodeDone,
    std::move(aHandler));
}

void
HttpObjectStore::Fetch(std::string aName, Handler<std::string> aHandler)
{
  detail::Exchange<std::string>(
    this->client,
    [name = std::move(aName)] {
      return HttpRequest{ .method = HttpMethod::Get, .target = PathOf(name) };
    },
    Milliseconds(0),
    DecodeContent,
    std::move(aHandler));
}

void
HttpObjectStore::Remove(std::string aName, Handler<Done> aHandler)
{
  detail::Exchange<Done>(
    this->client,
    [name = std::move(aName)] {
      return HttpRequest{ .method = HttpMethod::Delete, .target = PathOf(name) };
    },
    Milliseconds(0),
    detail::DecodeDone,
    std::move(aHandler));
}
}
