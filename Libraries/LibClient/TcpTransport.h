#pragma once

/// @file
/// HTTP over a new TCP connection for each exchange.

#include <LibClient/HttpTransport.h>

namespace zinc {

/// Opens a connection for each request, since one left open may have gone silent.
class TcpTransport final : public HttpTransport
{
public:
  [[nodiscard]] Result<HttpResponse> Send(const Endpoint& aServer,
                                          const HttpRequest& aRequest,
                                          Milliseconds aTimeout) override;
};

}
