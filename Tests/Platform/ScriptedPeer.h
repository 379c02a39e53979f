#pragma once

/// @file
/// An HTTP server for tests of the platform's clients: replies from a script, records its requests.

#include <LibPlatform/HttpClient.h>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace zinc::platform::test {

/// A request as it arrived.
struct ReceivedRequest
{
  std::string method;
  std::string target;
  std::string body;
  std::string expectedInstance;
};

/// Serves one connection at a time on its own thread.
class ScriptedPeer
{
public:
  /// Status 0 closes the connection without a reply.
  struct Reply
  {
    unsigned status = 200;
    std::string body = "{}";
  };

  explicit ScriptedPeer(std::function<Reply(const ReceivedRequest&)> aScript);
  ~ScriptedPeer();
  ScriptedPeer(const ScriptedPeer&) = delete;
  ScriptedPeer& operator=(const ScriptedPeer&) = delete;

  [[nodiscard]] std::uint16_t Port() const { return this->port; }
  [[nodiscard]] std::vector<ReceivedRequest> Requests() const;

private:
  void Serve();
  void ServeConnection(boost::asio::ip::tcp::socket& aSocket);

  std::function<Reply(const ReceivedRequest&)> script;
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor;
  std::uint16_t port = 0;
  std::atomic<bool> isStopped = false;
  mutable std::mutex mutex;
  std::vector<ReceivedRequest> requests;
  std::thread thread;
};

/// Runs a client's calls on the thread of the test.
class AdapterFixture : public testing::Test
{
protected:
  [[nodiscard]] HttpOptions OptionsFor(const ScriptedPeer& aPeer)
  {
    return { .endpoints = { { .address = "127.0.0.1", .port = aPeer.Port() } },
             .connections = 1,
             .requestTimeout = Milliseconds{ 2000 },
             .traffic = this->context,
             .control = this->context.get_executor() };
  }

  /// Starts a call and waits for its result.
  template<typename T>
  Result<T> Await(const std::function<void(std::function<void(Result<T>)>)>& aStart)
  {
    std::optional<Result<T>> result;
    aStart([&result](Result<T> aResult) { result = std::move(aResult); });
    this->context.restart();
    while (!result) {
      this->context.run_one();
    }
    return std::move(*result);
  }

  boost::asio::io_context context;
};

}
