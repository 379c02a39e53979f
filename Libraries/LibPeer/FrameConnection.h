#pragma once

/// @file
/// One TCP connection that carries length-prefixed messages.

#include <LibPeer/PeerServer.h>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace zinc::detail {

using PeerStrand = boost::asio::strand<boost::asio::io_context::executor_type>;
using PeerSocket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, PeerStrand>;

/// When a connection reads the next message.
enum class FrameOrder : std::uint8_t
{
  /// At once; messages in both directions are independent.
  Independent,
  /// When the one message that was sent after the last one read has been written. What the other
  /// end sends meanwhile waits there, so that it cannot fill this end's memory.
  AfterReply,
};

/// Reads and writes whole messages. Everything runs on the socket's strand.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
  using MessageHandler = std::function<void(std::string)>;
  using CloseHandler = std::function<void()>;

  explicit FrameConnection(PeerSocket aSocket, FrameOrder aOrder = FrameOrder::Independent);

  /// Starts reading. @p aOnClose runs once, when the connection has ended.
  void Start(MessageHandler aOnMessage, CloseHandler aOnClose);

  /// Queues a message; may be called from any thread.
  void Send(std::string aMessage);

  /// Closes the connection; may be called from any thread.
  void Close();

private:
  void ReadHeader();
  void StartBody();
  /// Makes room for as much as has arrived and reads it, so that what a header announces takes no
  /// memory by itself.
  void ReadBodyPiece();
  void OnBodyPiece();
  void WriteNext();
  void OnWritten();
  /// Keeps the connection while neither a read nor a write is outstanding.
  void AwaitLoss();
  void End();

  PeerSocket socket;
  FrameOrder order;
  MessageHandler onMessage;
  CloseHandler onClose;
  std::array<unsigned char, 4> header{};
  /// Size of the message that is being read, and what of it has arrived or is being read.
  std::size_t bodyBytes = 0;
  std::string body;
  std::deque<std::string> outgoing;
};

}
