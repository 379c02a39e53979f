#include <Crowd/Crowd.h>

#include <LibBase/Time.h>
#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace zinc::crowd {

namespace {

/// A server that reads nothing for this long has stopped reading.
constexpr Milliseconds kStallBound{ 1000 };
constexpr Milliseconds kPollInterval{ 2 };

sockaddr_in
AddressOf(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port);
  ::inet_pton(AF_INET, aEndpoint.address.c_str(), &address.sin_addr);
  return address;
}

}

Crowd::Crowd(Endpoint aServer)
  : server(std::move(aServer))
{
}

Crowd::~Crowd()
{
  for (const auto& connection : this->connections) {
    ::close(connection.socket);
  }
}

std::size_t
Crowd::Connect(std::size_t aCount)
{
  const auto address = AddressOf(this->server);
  std::size_t connected = 0;
  for (std::size_t number = 0; number < aCount; ++number) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
      ::close(socket);
      continue;
    }
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) | O_NONBLOCK);
    this->connections.push_back({ .socket = socket });
    ++connected;
  }
  return connected;
}

bool
Crowd::Advance(Connection& aConnection,
               std::string_view aText,
               std::string_view aFiller,
               std::size_t aTotal)
{
  bool hasSent = false;
  while (aConnection.socket >= 0 && aConnection.sent < aTotal) {
    const auto inFiller = aConnection.sent - std::min(aConnection.sent, aText.size());
    auto next = aConnection.sent < aText.size() ? aText.substr(aConnection.sent)
                                                : aFiller.substr(inFiller % aFiller.size());
    next = next.substr(0, aTotal - aConnection.sent);
    const auto count = ::send(aConnection.socket, next.data(), next.size(), MSG_NOSIGNAL);
    if (count < 0) {
      const bool isBusy = errno == EAGAIN || errno == EWOULDBLOCK;
      // What the server closed has nothing more to send, but keeps its descriptor until the end.
      aConnection.sent = isBusy ? aConnection.sent : aTotal;
      return hasSent;
    }
    aConnection.sent += static_cast<std::size_t>(count);
    hasSent = true;
  }
  return hasSent;
}

void
Crowd::Send(std::string_view aText, std::string_view aFiller, std::size_t aFillerBytes)
{
  const auto total = aText.size() + aFillerBytes;
  for (auto& connection : this->connections) {
    connection.sent = 0;
  }
  auto lastProgress = SteadyClock().Now();
  const auto isDone = [total](const Connection& aConnection) { return aConnection.sent >= total; };
  while (!std::ranges::all_of(this->connections, isDone) &&
         SteadyClock().Now() - lastProgress < kStallBound) {
    bool hasSent = false;
    for (auto& connection : this->connections) {
      hasSent = Advance(connection, aText, aFiller, total) || hasSent;
    }
    if (hasSent) {
      lastProgress = SteadyClock().Now();
    } else {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  this->AwaitRead();
}

void
Crowd::AwaitRead() const
{
  auto unread = this->CountUnreadBytes();
  auto lastChange = SteadyClock().Now();
  while (unread > 0 && SteadyClock().Now() - lastChange < kStallBound) {
    std::this_thread::sleep_for(kPollInterval);
    const auto now = this->CountUnreadBytes();
    lastChange = now == unread ? lastChange : SteadyClock().Now();
    unread = now;
  }
}

std::size_t
Crowd::CountUnreadBytes() const
{
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  std::size_t unread = 0;
  while (std::getline(table, line)) {
    // "sl local_address rem_address st tx_queue:rx_queue ...", all numbers hexadecimal.
    std::istringstream words(line);
    std::string index;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    words >> index >> local >> remote >> state >> queues;
    constexpr int kHexadecimal = 16;
    const bool isOfServer =
      std::stoul(local.substr(local.find(':') + 1), nullptr, kHexadecimal) == this->server.port;
    if (isOfServer) {
      unread += std::stoul(queues.substr(queues.find(':') + 1), nullptr, kHexadecimal);
    }
  }
  return unread;
}

}
