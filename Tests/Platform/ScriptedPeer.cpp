#include "ScriptedPeer.h"

#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace zinc::platform::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

ScriptedPeer::ScriptedPeer(std::function<Reply(const ReceivedRequest&)> aScript)
  : script(std::move(aScript))
  , acceptor(this->context, { asio::ip::make_address("127.0.0.1"), 0 })
  , port(this->acceptor.local_endpoint().port())
  , thread([this] { this->Serve(); })
{
}

ScriptedPeer::~ScriptedPeer()
{
  this->isStopped = true;
  // Unblocks the thread, which waits for a connection.
  boost::system::error_code ignored;
  Tcp::socket wakeUpSocket(this->context);
  wakeUpSocket.connect({ asio::ip::make_address("127.0.0.1"), this->port }, ignored);
  wakeUpSocket.close(ignored);
  this->thread.join();
}

std::vector<ReceivedRequest>
ScriptedPeer::Requests() const
{
  const std::lock_guard lock(this->mutex);
  return this->requests;
}

void
ScriptedPeer::Serve()
{
  while (!this->isStopped) {
    boost::system::error_code error;
    Tcp::socket socket(this->context);
    this->acceptor.accept(socket, error);
    if (!error && !this->isStopped) {
      this->ServeConnection(socket);
    }
  }
}

void
ScriptedPeer::ServeConnection(Tcp::socket& aSocket)
{
  boost::beast::flat_buffer buffer;
  boost::system::error_code error;
  while (!error) {
    http::request<http::string_body> request;
    http::read(aSocket, buffer, request, error);
    if (error) {
      return;
    }
    ReceivedRequest received{ .method = std::string(request.method_string()),
                              .target = std::string(request.target()),
                              .body = request.body(),
                              .expectedInstance = std::string(request["X-Expect-Instance"]) };
    {
      const std::lock_guard lock(this->mutex);
      this->requests.push_back(received);
    }
    const auto reply = this->script(received);
    if (reply.status == 0) {
      return;
    }
    http::response<http::string_body> response;
    response.version(11);
    response.result(reply.status);
    response.body() = reply.body;
    // One exchange per connection, so that the thread is accepting when the next call comes.
    response.keep_alive(false);
    response.prepare_payload();
    http::write(aSocket, response, error);
    return;
  }
}

}
