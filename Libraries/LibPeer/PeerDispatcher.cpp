#include <LibPeer/PeerDispatcher.h>

#include <LibPeer/PeerCodec.h>
#include <json/json.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

namespace zinc::detail {

namespace {

/// Hands call texts over to the library without a transport of its own.
class DirectConnector final : public jsonrpc::AbstractServerConnector
{
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }

  bool SendResponse(const std::string& aResponse, void* aTarget) override
  {
    *static_cast<std::string*>(aTarget) = aResponse;
    return true;
  }
};

[[noreturn]] void
Reject(const Verdict& aVerdict)
{
  throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, aVerdict.message);
}

/// The methods that peers call.
class PeerMethods final : public jsonrpc::AbstractServer<PeerMethods>
{
public:
  PeerMethods(DirectConnector& aConnector, PeerHandler& aHandler)
    : jsonrpc::AbstractServer<PeerMethods>(aConnector, jsonrpc::JSONRPC_SERVER_V2)
    , handler(aHandler)
  {
    this->Bind("beat", &PeerMethods::Beat);
    this->Bind("deliver", &PeerMethods::Deliver);
    this->Bind("document", &PeerMethods::Document);
  }

  void Beat(const Json::Value& aParameters, Json::Value& aReply)
  {
    const auto beat = PeerBeatFromJson(aParameters["message"]);
    if (IsError(beat)) {
      Reject(ErrorOf(beat));
    }
    aReply = ToJson(this->handler.OnBeat(ValueOf(beat)));
  }

  void Deliver(const Json::Value& aParameters, Json::Value& aReply)
  {
    auto batch = NoticeBatchFromJson(aParameters["message"]);
    if (IsError(batch)) {
      Reject(ErrorOf(batch));
    }
    const auto handled = this->handler.OnNotices(std::move(ValueOf(batch)));
    if (IsError(handled)) {
      Reject(ErrorOf(handled));
    }
    aReply = Json::Value(Json::objectValue);
  }

  void Document(const Json::Value&, Json::Value& aReply)
  {
    aReply = ToJson(this->handler.OnDocumentAsked());
  }

private:
  using Method = void (PeerMethods::*)(const Json::Value&, Json::Value&);

  void Bind(const char* aName, Method aMethod)
  {
    const jsonrpc::Procedure procedure(aName,
                                       jsonrpc::PARAMS_BY_NAME,
                                       jsonrpc::JSON_OBJECT,
                                       "message",
                                       jsonrpc::JSON_OBJECT,
                                       nullptr);
    this->bindAndAddMethod(procedure, aMethod);
  }

  PeerHandler& handler;
};

}

struct PeerDispatcher::Server
{
  explicit Server(PeerHandler& aHandler)
    : methods(this->connector, aHandler)
  {
  }

  DirectConnector connector;
  PeerMethods methods;
};

PeerDispatcher::PeerDispatcher(PeerHandler& aHandler)
  : server(std::make_unique<Server>(aHandler))
{
}

PeerDispatcher::~PeerDispatcher() = default;

std::string
PeerDispatcher::Dispatch(const std::string& aCall)
{
  std::string reply;
  this->server->connector.OnRequest(aCall, &reply);
  return reply;
}

}
