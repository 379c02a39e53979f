#include <Soak/StoreServer.h>

#include <LibPlatform/Json.h>
#include <Soak/RunLater.h>
#include <charconv>

namespace zinc::soak {

namespace {

constexpr unsigned kNotFound = 404;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnavailable = 503;
/// Time of a transaction, from the site files' `TxMs`.
constexpr Milliseconds kCallTime{ 4 };
/// Granularity of the followers' time limits.
constexpr Milliseconds kTick{ 50 };

void
Answer(HttpCall& aCall, const StoreReply& aReply)
{
  aCall.Reply(aReply.status, WriteJson(aReply.body));
}

std::uint64_t
NumberOf(const HttpCall& aCall, std::string_view aName)
{
  const auto text = aCall.target.Query(aName).value_or("0");
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::string
TextOf(const HttpCall& aCall, std::string_view aName)
{
  return aCall.target.Query(aName).value_or("");
}

}

const StoreServer::Route StoreServer::kRoutes[] = {
  { "/v1/rows-tx", &StoreServer::Transact },
  { "/v1/rows-get", &StoreServer::Read },
  { "/v1/rows-feed", &StoreServer::Follow },
};

StoreServer::StoreServer(boost::asio::io_context& aContext, Endpoint aListen, std::uint64_t aSeed)
  : context(aContext)
  , listen(std::move(aListen))
  , random(aSeed)
{
}

Result<std::shared_ptr<StoreServer>>
StoreServer::Create(boost::asio::io_context& aContext, const Endpoint& aListen, std::uint64_t aSeed)
{
  std::shared_ptr<StoreServer> made(new StoreServer(aContext, aListen, aSeed));
  auto server = HttpServer::Create(
    { .context = aContext,
      .listen = aListen,
      .handler = [self = made.get()](HttpCallPointer aCall) { self->Handle(std::move(aCall)); } });
  if (IsError(server)) {
    return ErrorOf(server);
  }
  made->server = std::move(ValueOf(server));
  made->Tick();
  return made;
}

void
StoreServer::After(Milliseconds aDelay, std::function<void()> aFunction)
{
  RunLater(this->context, aDelay, this->weak_from_this(), std::move(aFunction));
}

bool
StoreServer::Toss()
{
  return this->random(2) == 0;
}

void
StoreServer::Tick()
{
  this->ServeFollowers();
  this->After(kTick, [this] { this->Tick(); });
}

void
StoreServer::Put(const std::string& aTable, const std::string& aKey, std::string_view aText)
{
  this->model.Put(aTable, aKey, aText);
  this->ServeFollowers();
}

void
StoreServer::Remove(const std::string& aTable, const std::string& aKey)
{
  this->model.Remove(aTable, aKey);
  this->ServeFollowers();
}

void
StoreServer::Handle(HttpCallPointer aCall)
{
  this->After(kCallTime + this->fault.delay, [this, call = std::move(aCall)] {
    if (this->fault.isDown) {
      call->Reply(kUnavailable, "{}");
      return;
    }
    this->Perform(call);
  });
}

void
StoreServer::Perform(const HttpCallPointer& aCall)
{
  for (const auto& route : kRoutes) {
    if (route.path == aCall->target.path) {
      (this->*route.handler)(aCall);
      return;
    }
  }
  aCall->Reply(kNotFound, "{}");
}

void
StoreServer::Transact(const HttpCallPointer& aCall)
{
  const auto parsed = ParseJson(aCall->body);
  if (IsError(parsed)) {
    aCall->Reply(kBadRequest, "{}");
    return;
  }
  const auto& request = ValueOf(parsed);
  if (this->fault.lateness.count() > 0 && this->Toss()) {
    aCall->Drop();
    this->After(this->fault.lateness, [this, request] {
      // The caller gave up on the call; nobody waits for this answer.
      static_cast<void>(this->model.Transact(request));
      this->ServeFollowers();
    });
    return;
  }
  const auto reply = this->model.Transact(request);
  if (this->fault.losesAnswers && this->Toss()) {
    aCall->Drop();
  } else {
    Answer(*aCall, reply);
  }
  this->ServeFollowers();
}

void
StoreServer::Read(const HttpCallPointer& aCall)
{
  Answer(*aCall,
         this->model.Read({ .table = TextOf(*aCall, "Table"),
                            .part = TextOf(*aCall, "part"),
                            .from = TextOf(*aCall, "From"),
                            .to = TextOf(*aCall, "Target") }));
}

void
StoreServer::Follow(const HttpCallPointer& aCall)
{
  this->followers.push_back(
    { .call = aCall,
      .table = TextOf(*aCall, "Table"),
      .after = NumberOf(*aCall, "After"),
      .until = SteadyClock().Now() + Milliseconds(NumberOf(*aCall, "WaitMs")) });
  this->ServeFollowers();
}

void
StoreServer::ServeFollowers()
{
  const auto now = SteadyClock().Now();
  for (auto follower = this->followers.begin(); follower != this->followers.end();) {
    auto reply = this->model.Changes(follower->table, follower->after);
    if (!reply && now >= follower->until) {
      // A range in which no row lies: the answer names the newest version only.
      reply = this->model.Read({ .table = follower->table, .part = "-" });
    }
    if (!reply) {
      ++follower;
      continue;
    }
    Answer(*follower->call, *reply);
    follower = this->followers.erase(follower);
  }
}

}
