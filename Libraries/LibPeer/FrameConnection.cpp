#include <LibPeer/FrameConnection.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace zinc::detail {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Room for the first part of a message; each further part is as long as what has arrived.
constexpr std::size_t kFirstPieceBytes = std::size_t{ 64 } << 10;

std::string
Framed(std::string_view aMessage)
{
  const auto size = static_cast<std::uint32_t>(aMessage.size());
  std::string frame;
  frame.reserve(aMessage.size() + sizeof(size));
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame += static_cast<char>((size >> shift) & 0xff);
  }
  frame += aMessage;
  return frame;
}

std::uint32_t
SizeOf(const std::array<unsigned char, 4>& aHeader)
{
  std::uint32_t size = 0;
  for (const auto byte : aHeader) {
    size = (size << 8) | byte;
  }
  return size;
}

}

FrameConnection::FrameConnection(PeerSocket aSocket, FrameOrder aOrder)
  : socket(std::move(aSocket))
  , order(aOrder)
{
  error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void
FrameConnection::Start(MessageHandler aOnMessage, CloseHandler aOnClose)
{
  this->onMessage = std::move(aOnMessage);
  this->onClose = std::move(aOnClose);
  asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
    self->AwaitLoss();
    self->ReadHeader();
  });
}

void
FrameConnection::Send(std::string aMessage)
{
  asio::post(this->socket.get_executor(),
             [self = this->shared_from_this(), frame = Framed(aMessage)]() mutable {
               self->outgoing.push_back(std::move(frame));
               if (self->outgoing.size() == 1) {
                 self->WriteNext();
               }
             });
}

void
FrameConnection::Close()
{
  asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->End(); });
}

void
FrameConnection::ReadHeader()
{
  asio::async_read(this->socket,
                   asio::buffer(this->header),
                   [self = this->shared_from_this()](error_code aError, std::size_t) {
                     if (aError) {
                       self->End();
                       return;
                     }
                     self->StartBody();
                   });
}

void
FrameConnection::StartBody()
{
  this->bodyBytes = SizeOf(this->header);
  if (this->bodyBytes > kPeerMessageBytesLimit) {
    this->End();
    return;
  }
  this->body.clear();
  this->ReadBodyPiece();
}

void
FrameConnection::ReadBodyPiece()
{
  const auto have = this->body.size();
  const auto piece = std::min(this->bodyBytes - have, std::max(have, kFirstPieceBytes));
  this->body.resize(have + piece);
  asio::async_read(this->socket,
                   asio::buffer(&this->body[have], piece),
                   [self = this->shared_from_this()](error_code aError, std::size_t) {
                     if (aError) {
                       self->End();
                       return;
                     }
                     self->OnBodyPiece();
                   });
}

void
FrameConnection::OnBodyPiece()
{
  if (this->body.size() < this->bodyBytes) {
    this->ReadBodyPiece();
    return;
  }
  this->onMessage(std::move(this->body));
  if (this->order == FrameOrder::Independent) {
    this->ReadHeader();
  }
}

void
FrameConnection::WriteNext()
{
  asio::async_write(this->socket,
                    asio::buffer(this->outgoing.front()),
                    [self = this->shared_from_this()](error_code aError, std::size_t) {
                      if (aError) {
                        self->End();
                        return;
                      }
                      self->OnWritten();
                    });
}

void
FrameConnection::OnWritten()
{
  this->outgoing.pop_front();
  if (!this->outgoing.empty()) {
    this->WriteNext();
    return;
  }
  if (this->order == FrameOrder::AfterReply) {
    this->ReadHeader();
  }
}

void
FrameConnection::AwaitLoss()
{
  if (this->order == FrameOrder::Independent) {
    return;
  }
  this->socket.async_wait(asio::socket_base::wait_error,
                          [self = this->shared_from_this()](error_code) { self->End(); });
}

void
FrameConnection::End()
{
  error_code ignored;
  this->socket.close(ignored);
  const auto handler = std::exchange(this->onClose, nullptr);
  if (handler) {
    handler();
  }
}

}
