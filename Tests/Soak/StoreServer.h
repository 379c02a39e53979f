#pragma once

/// @file
/// The platform's store on a socket, with the faults of a store.

#include <LibBase/Time.h>
#include <Soak/StoreModel.h>
#include <StandIns/HttpServer.h>
#include <boost/asio/io_context.hpp>
#include <list>
#include <memory>
#include <pcg_random.hpp>

namespace zinc::soak {

/// What is wrong with the store at the moment.
struct StoreFault
{
  /// Calls are refused, with nothing done.
  bool isDown = false;
  /// Half of the transactions get no answer; their connection closes.
  bool losesAnswers = false;
  /// Half of the transactions get no answer and are performed after this time.
  Milliseconds lateness{ 0 };
  /// Time that every call takes.
  Milliseconds delay{ 0 };
};

/// Lives on one thread of the context.
class StoreServer : public std::enable_shared_from_this<StoreServer>
{
public:
  [[nodiscard]] static Result<std::shared_ptr<StoreServer>>
  Create(boost::asio::io_context& aContext, const Endpoint& aListen, std::uint64_t aSeed);

  [[nodiscard]] const Endpoint& Address() const { return this->listen; }
  void Apply(const StoreFault& aFault) { this->fault = aFault; }
  void DropHistory() { this->model.DropHistory(); }
  /// Writes a row on behalf of the operator or a worker and tells followers.
  void Put(const std::string& aTable, const std::string& aKey, std::string_view aText);
  void Remove(const std::string& aTable, const std::string& aKey);

private:
  using Handler = void (StoreServer::*)(const HttpCallPointer&);

  struct Route
  {
    std::string_view path;
    Handler handler;
  };

  /// A call that waits for a change.
  struct Follower
  {
    HttpCallPointer call;
    std::string table;
    std::uint64_t after = 0;
    TimePoint until;
  };

  StoreServer(boost::asio::io_context& aContext, Endpoint aListen, std::uint64_t aSeed);

  static const Route kRoutes[];

  void Handle(HttpCallPointer aCall);
  void Perform(const HttpCallPointer& aCall);
  void Transact(const HttpCallPointer& aCall);
  void Read(const HttpCallPointer& aCall);
  void Follow(const HttpCallPointer& aCall);
  /// Answers the followers whose table changed, and those whose time is over.
  void ServeFollowers();
  void Tick();
  /// Runs a function on the context after a time.
  void After(Milliseconds aDelay, std::function<void()> aFunction);
  [[nodiscard]] bool Toss();

  boost::asio::io_context& context;
  Endpoint listen;
  pcg32 random;
  StoreModel model;
  StoreFault fault;
  std::shared_ptr<HttpServer> server;
  std::list<Follower> followers;
};

}
