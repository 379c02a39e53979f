#include <LibPeer/PeerClient.h>

#include <LibPeer/FrameConnection.h>
#include <LibPeer/PeerCodec.h>
#include <LibPlatform/Json.h>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <json/json.h>
#include <map>
#include <vector>

namespace zinc {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;
using detail::FrameConnection;
using detail::PeerSocket;
using detail::PeerStrand;
using Timer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                         asio::wait_traits<std::chrono::steady_clock>,
                                         PeerStrand>;

/// Called on the strand with the `result` member of a reply.
using Completion = std::function<void(Result<Json::Value>)>;

/// A call that waits for its reply.
struct Call
{
  std::string text;
  /// Size of the text, also after it was sent.
  std::size_t bytes = 0;
  Completion completion;
  std::chrono::steady_clock::time_point deadline;
};

std::string
CallText(std::uint64_t aId, const char* aMethod, Json::Value aMessage)
{
  Json::Value call(Json::objectValue);
  call["jsonrpc"] = "2.0";
  call["id"] = static_cast<Json::UInt64>(aId);
  call["method"] = aMethod;
  call["params"]["message"] = std::move(aMessage);
  return WriteJson(call);
}

/// The client behind @ref PeerClient::Create; its state is used on its strand.
class FramedPeerClient final
  : public PeerClient
  , public std::enable_shared_from_this<FramedPeerClient>
{
public:
  FramedPeerClient(PeerClientOptions aOptions, Tcp::endpoint aEndpoint)
    : options(std::move(aOptions))
    , endpoint(std::move(aEndpoint))
    , strand(asio::make_strand(this->options.traffic))
    , timer(this->strand)
  {
  }

  void SendBeat(const PeerBeat& aBeat, Handler<PeerBeat> aHandler) override
  {
    this->Send("beat", ToJson(aBeat), this->Decoding(PeerBeatFromJson, std::move(aHandler)));
  }

  void Deliver(const NoticeBatch& aBatch, Handler<Done> aHandler) override
  {
    const auto decode = [](const Json::Value&) -> Result<Done> { return Done{}; };
    this->Send("deliver", ToJson(aBatch), this->Decoding<Done>(decode, std::move(aHandler)));
  }

  void FetchDocument(Handler<DocumentCopy> aHandler) override
  {
    this->Send("document",
               Json::Value(Json::objectValue),
               this->Decoding(DocumentCopyFromJson, std::move(aHandler)));
  }

  void Close() override
  {
    asio::post(this->strand,
               [self = this->shared_from_this()] { self->Drop(RunState::MayHaveRun); });
  }

private:
  template<typename T>
  Completion Decoding(Result<T> (*aDecode)(const Json::Value&), Handler<T> aHandler)
  {
    return [control = this->options.control, aDecode, handler = std::move(aHandler)](
             Result<Json::Value> aReply) {
      auto outcome = IsError(aReply) ? Result<T>(ErrorOf(aReply)) : aDecode(ValueOf(aReply));
      asio::post(control, [handler, outcome = std::move(outcome)]() mutable {
        handler(std::move(outcome));
      });
    };
  }

  void Send(const char* aMethod, Json::Value aMessage, Completion aCompletion)
  {
    asio::post(this->strand,
               [self = this->shared_from_this(),
                aMethod,
                message = std::move(aMessage),
                completion = std::move(aCompletion)]() mutable {
                 self->Enqueue(aMethod, std::move(message), std::move(completion));
               });
  }

  void Enqueue(const char* aMethod, Json::Value aMessage, Completion aCompletion)
  {
    const auto id = this->nextId++;
    auto text = CallText(id, aMethod, std::move(aMessage));
    const auto bytes = text.size();
    if (!this->calls.empty() && this->waitingBytes + bytes > this->options.waitingBytesLimit) {
      aCompletion(NotRun(ErrorCode::Overloaded,
                         fmt::format("Too many calls wait for the peer at {}:{}.",
                                     this->options.peer.address,
                                     this->options.peer.port)));
      return;
    }
    this->waitingBytes += bytes;
    const auto [call, inserted] = this->calls.emplace(
      id,
      Call{ .text = std::move(text),
            .bytes = bytes,
            .completion = std::move(aCompletion),
            .deadline = std::chrono::steady_clock::now() + this->options.callTimeout });
    if (this->calls.size() == 1) {
      this->StartTimer();
    }
    if (this->connection) {
      this->connection->Send(std::move(call->second.text));
      return;
    }
    if (!this->connecting) {
      this->Connect();
    }
  }

  void Connect()
  {
    auto socket = std::make_shared<PeerSocket>(this->strand);
    this->connecting = socket;
    socket->async_connect(this->endpoint,
                          [self = this->shared_from_this(), socket](error_code aError) {
                            self->OnConnected(socket, aError);
                          });
  }

  void OnConnected(const std::shared_ptr<PeerSocket>& aSocket, error_code aError)
  {
    if (this->connecting != aSocket) {
      return;
    }
    this->connecting = nullptr;
    if (aError) {
      this->FailAll(NotRun(ErrorCode::Unavailable,
                           fmt::format("Cannot connect to the peer at {}:{}.",
                                       this->options.peer.address,
                                       this->options.peer.port)));
      return;
    }
    this->connection = std::make_shared<FrameConnection>(std::move(*aSocket));
    this->connection->Start(
      [weak = this->weak_from_this()](std::string aReply) {
        if (const auto self = weak.lock()) {
          self->OnReply(std::move(aReply));
        }
      },
      [weak = this->weak_from_this(), connection = this->connection.get()] {
        const auto self = weak.lock();
        if (self && self->connection.get() == connection) {
          self->Drop(RunState::MayHaveRun);
        }
      });
    for (auto& [id, call] : this->calls) {
      this->connection->Send(std::move(call.text));
    }
  }

  void OnReply(std::string aReply)
  {
    const auto parsed = ParseJson(aReply);
    if (IsError(parsed) || !ValueOf(parsed).isObject() || !ValueOf(parsed)["id"].isUInt64()) {
      this->Drop(RunState::MayHaveRun);
      return;
    }
    const auto& reply = ValueOf(parsed);
    const auto found = this->calls.find(reply["id"].asUInt64());
    if (found == this->calls.end()) {
      return;
    }
    auto completion = std::move(found->second.completion);
    this->waitingBytes -= found->second.bytes;
    this->calls.erase(found);
    if (reply.isMember("result")) {
      completion(reply["result"]);
      return;
    }
    completion(NotRun(ErrorCode::BadRequest, "The peer did not understand the call."));
  }

  void StartTimer()
  {
    if (this->calls.empty()) {
      return;
    }
    this->timer.expires_at(this->calls.begin()->second.deadline);
    this->timer.async_wait([weak = this->weak_from_this()](error_code aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        self->OnTimer();
      }
    });
  }

  void OnTimer()
  {
    const bool expired = !this->calls.empty() &&
                         this->calls.begin()->second.deadline <= std::chrono::steady_clock::now();
    if (expired) {
      this->Drop(this->connection ? RunState::MayHaveRun : RunState::NotRun);
      return;
    }
    this->StartTimer();
  }

  void Drop(RunState aRun)
  {
    if (this->connecting) {
      error_code ignored;
      this->connecting->close(ignored);
      this->connecting = nullptr;
    }
    if (this->connection) {
      std::exchange(this->connection, nullptr)->Close();
    }
    this->FailAll({ .code = ErrorCode::Timeout,
                    .run = aRun,
                    .message = fmt::format("The peer at {}:{} did not answer.",
                                           this->options.peer.address,
                                           this->options.peer.port) });
  }

  void FailAll(const Verdict& aVerdict)
  {
    const auto failed = std::exchange(this->calls, {});
    this->waitingBytes = 0;
    this->timer.cancel();
    for (const auto& [id, call] : failed) {
      call.completion(aVerdict);
    }
  }

  PeerClientOptions options;
  Tcp::endpoint endpoint;
  PeerStrand strand;
  Timer timer;
  std::shared_ptr<PeerSocket> connecting;
  std::shared_ptr<FrameConnection> connection;
  /// Calls by id, hence also by deadline.
  std::map<std::uint64_t, Call> calls;
  std::size_t waitingBytes = 0;
  std::uint64_t nextId = 1;
};

}

Result<std::shared_ptr<PeerClient>>
PeerClient::Create(PeerClientOptions aOptions)
{
  error_code error;
  const auto address = asio::ip::make_address(aOptions.peer.address, error);
  if (error) {
    return NotRun(ErrorCode::BadRequest,
                  fmt::format("{} is not an IP address.", aOptions.peer.address));
  }
  const Tcp::endpoint endpoint(address, aOptions.peer.port);
  return std::shared_ptr<PeerClient>(
    std::make_shared<FramedPeerClient>(std::move(aOptions), endpoint));
}

}
