#include <LibPeer/PeerServer.h>

#include <LibNet/OpenAcceptor.h>
#include <LibPeer/FrameConnection.h>
#include <LibPeer/PeerDispatcher.h>
#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <list>
#include <mutex>

namespace zinc {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;
using detail::FrameConnection;
using detail::FrameOrder;
using detail::PeerSocket;
using Timer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                         asio::wait_traits<std::chrono::steady_clock>,
                                         detail::PeerStrand>;

/// Time until the next attempt to accept after one that failed, e.g. for want of descriptors.
constexpr Milliseconds kAcceptRetryDelay{ 100 };

/// The server behind @ref PeerServer::Create.
class FramedPeerServer final
  : public PeerServer
  , public std::enable_shared_from_this<FramedPeerServer>
{
public:
  FramedPeerServer(PeerServerOptions aOptions, PeerHandler& aHandler)
    : options(std::move(aOptions))
    , acceptor(asio::make_strand(this->options.traffic))
    , retryTimer(this->acceptor.get_executor())
    , dispatcher(aHandler)
  {
  }

  Result<Done> Open()
  {
    const auto opened = OpenAcceptor(this->acceptor, this->options.listen);
    if (IsError(opened)) {
      return ErrorOf(opened);
    }
    this->port = ValueOf(opened);
    return Done{};
  }

  void AcceptNext()
  {
    this->acceptor.async_accept(
      asio::make_strand(this->options.traffic),
      [self = this->shared_from_this()](error_code aError, PeerSocket aSocket) {
        if (!self->acceptor.is_open()) {
          return;
        }
        if (aError) {
          self->AcceptLater();
          return;
        }
        self->Serve(std::move(aSocket));
        self->AcceptNext();
      });
  }

  void Stop() override
  {
    asio::post(this->acceptor.get_executor(), [self = this->shared_from_this()] {
      error_code ignored;
      self->acceptor.close(ignored);
      self->retryTimer.cancel();
    });
    const std::scoped_lock lock(this->mutex);
    for (const auto& weak : this->connections) {
      if (const auto connection = weak.lock()) {
        connection->Close();
      }
    }
  }

  std::uint16_t Port() const override { return this->port; }

private:
  void AcceptLater()
  {
    this->retryTimer.expires_after(kAcceptRetryDelay);
    this->retryTimer.async_wait([self = this->shared_from_this()](error_code aError) {
      if (!aError && self->acceptor.is_open()) {
        self->AcceptNext();
      }
    });
  }

  void Serve(PeerSocket aSocket)
  {
    const auto connection =
      std::make_shared<FrameConnection>(std::move(aSocket), FrameOrder::AfterReply);
    this->Remember(connection);
    connection->Start(
      [self = this->shared_from_this(), weak = std::weak_ptr(connection)](std::string aCall) {
        self->NoteMessage(weak);
        self->Dispatch(weak, std::move(aCall));
      },
      [] {});
  }

  void Dispatch(std::weak_ptr<FrameConnection> aConnection, std::string aCall)
  {
    asio::post(
      this->options.control,
      [self = this->shared_from_this(), weak = std::move(aConnection), call = std::move(aCall)] {
        const auto connection = weak.lock();
        if (connection) {
          connection->Send(self->dispatcher.Dispatch(call));
        }
      });
  }

  void Remember(const std::shared_ptr<FrameConnection>& aConnection)
  {
    const std::scoped_lock lock(this->mutex);
    std::erase_if(this->connections, [](const auto& aWeak) { return aWeak.expired(); });
    while (!this->connections.empty() && this->connections.size() >= this->options.maxConnections) {
      if (const auto silent = this->connections.front().lock()) {
        silent->Close();
      }
      this->connections.pop_front();
    }
    this->connections.push_back(aConnection);
  }

  /// Makes a connection the one that has sent a message last.
  void NoteMessage(const std::weak_ptr<FrameConnection>& aConnection)
  {
    const std::scoped_lock lock(this->mutex);
    const auto found = std::ranges::find_if(this->connections, [&](const auto& aWeak) {
      return !aWeak.owner_before(aConnection) && !aConnection.owner_before(aWeak);
    });
    if (found != this->connections.end()) {
      this->connections.splice(this->connections.end(), this->connections, found);
    }
  }

  PeerServerOptions options;
  asio::basic_socket_acceptor<Tcp, detail::PeerStrand> acceptor;
  Timer retryTimer;
  /// Used on the control thread only.
  detail::PeerDispatcher dispatcher;
  std::uint16_t port = 0;
  std::mutex mutex;
  /// The one that has sent no message for longest comes first.
  std::list<std::weak_ptr<FrameConnection>> connections;
};

}

Result<std::shared_ptr<PeerServer>>
PeerServer::Create(PeerServerOptions aOptions, PeerHandler& aHandler)
{
  auto server = std::make_shared<FramedPeerServer>(std::move(aOptions), aHandler);
  const auto opened = server->Open();
  if (IsError(opened)) {
    return ErrorOf(opened);
  }
  server->AcceptNext();
  return std::shared_ptr<PeerServer>(std::move(server));
}

}
