#pragma once

/// @file
/// Clients that do not keep to the limits of a server.

#include <LibPlatform/InstanceList.h>
#include <cstddef>
#include <string_view>
#include <vector>

namespace zinc::crowd {

/// Connections on which one thread sends, without reading. They stay open until the crowd goes.
class Crowd
{
public:
  explicit Crowd(Endpoint aServer);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Opens connections.
  /// @return how many the system has connected
  std::size_t Connect(std::size_t aCount);

  /// Sends a text on every connection that is open, then a filler until the connection has sent
  /// this many bytes of it. Ends once each connection has sent all, is closed by the server or is
  /// no longer read, and the server has read what it reads of it.
  void Send(std::string_view aText, std::string_view aFiller = {}, std::size_t aFillerBytes = 0);

  /// @return the bytes that have arrived at the server's port and were not read
  [[nodiscard]] std::size_t CountUnreadBytes() const;

private:
  struct Connection
  {
    int socket = -1;
    std::size_t sent = 0;
  };

  /// Waits until the server has read what was sent, or reads no more of it.
  void AwaitRead() const;
  /// Sends as much as the connection takes.
  /// @return true if it took any byte
  static bool Advance(Connection& aConnection,
                      std::string_view aText,
                      std::string_view aFiller,
                      std::size_t aTotal);

  Endpoint server;
  std::vector<Connection> connections;
};

}
