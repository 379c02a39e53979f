#include <LibPlatform/HttpInstanceList.h>

#include <LibPlatform/Codec.h>
#include <LibPlatform/HttpExchange.h>
#include <LibPlatform/Json.h>
#include <json/json.h>

namespace zinc {

namespace {

Result<std::vector<Instance>>
InstancesFromJson(const Json::Value& aValue)
{
  JsonFields fields(aValue, "list");
  std::vector<Instance> instances;
  for (const Json::Value& element : fields.Array("instances")) {
    Result<Instance> instance = InstanceFromJson(element);
    if (IsError(instance)) {
      return ErrorOf(instance);
    }
    instances.push_back(std::move(ValueOf(instance)));
  }
  if (fields.Fault()) {
    return *fields.Fault();
  }
  return instances;
}

}

HttpInstanceList::HttpInstanceList(std::shared_ptr<HttpClient> aClient)
  : client(std::move(aClient))
{
}

Result<std::shared_ptr<HttpInstanceList>>
HttpInstanceList::Create(Options aOptions)
{
  Result<std::shared_ptr<HttpClient>> client = HttpClient::Create(std::move(aOptions));
  if (IsError(client)) {
    return ErrorOf(client);
  }
  return std::shared_ptr<HttpInstanceList>(new HttpInstanceList(std::move(ValueOf(client))));
}

void
HttpInstanceList::Fetch(Handler aHandler)
{
  detail::Exchange<std::vector<Instance>>(
    this->client,
    [] { return HttpRequest{ .method = HttpMethod::Get, .target = "/instances" }; },
    Milliseconds(0),
    [](const HttpReply& aReply) { return detail::DecodeReply(aReply, InstancesFromJson); },
    std::move(aHandler));
}
}
