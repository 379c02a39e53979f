#pragma once

/// @file
/// Opening a TCP port.

#include <LibBase/Verdict.h>
#include <LibPlatform/InstanceList.h>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <fmt/format.h>

namespace zinc {

/// Binds an acceptor to an address and listens.
/// @return the port, which the system chose if 0 was asked for, or @ref ErrorCode::Unavailable.
template<typename Acceptor>
[[nodiscard]] Result<std::uint16_t>
OpenAcceptor(Acceptor& aAcceptor, const Endpoint& aListen)
{
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(aListen.address, error);
  const boost::asio::ip::tcp::endpoint endpoint(address, aListen.port);
  if (!error) {
    aAcceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    aAcceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    aAcceptor.bind(endpoint, error);
  }
  if (!error) {
    aAcceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return NotRun(
      ErrorCode::Unavailable,
      fmt::format("Cannot listen on {}:{}: {}", aListen.address, aListen.port, error.message()));
  }
  return aAcceptor.local_endpoint().port();
}

}
