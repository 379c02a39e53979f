#include <LibTraffic/HttpServer.h>
#include <boost/asio/ip/tcp.hpp>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

namespace zinc {

namespace {

using Tcp = boost::asio::ip::tcp;

/// Takes all descriptors that the process may still open, until the end of the scope.
class DescriptorShortage
{
public:
  DescriptorShortage()
  {
    constexpr rlim_t kMaxDescriptors = 256;
    ::getrlimit(RLIMIT_NOFILE, &this->before);
    const rlimit lowered{ .rlim_cur = kMaxDescriptors, .rlim_max = this->before.rlim_max };
    ::setrlimit(RLIMIT_NOFILE, &lowered);
    for (int file = ::open("/dev/null", O_RDONLY); file >= 0; file = ::dup(file)) {
      this->files.push_back(file);
    }
  }
  ~DescriptorShortage()
  {
    for (const int file : this->files) {
      ::close(file);
    }
    ::setrlimit(RLIMIT_NOFILE, &this->before);
  }
  DescriptorShortage(const DescriptorShortage&) = delete;
  DescriptorShortage& operator=(const DescriptorShortage&) = delete;

private:
  rlimit before{};
  std::vector<int> files;
};

}

// Guards against a thread that accepts without end while no descriptor is left, and serves nothing
// else.
TEST(AcceptFailure, IsNotRetriedAtOnce)
{
  boost::asio::io_context context;
  const auto created = HttpServer::Create(
    context, { .listen = { .address = "127.0.0.1", .port = 0 } }, [](auto, auto) {});
  ASSERT_FALSE(IsError(created));
  boost::asio::io_context clientContext;
  Tcp::socket client(clientContext, Tcp::v4());
  const DescriptorShortage shortage;
  client.connect({ boost::asio::ip::make_address("127.0.0.1"), ValueOf(created)->Port() });
  constexpr int kMaxHandlers = 100;
  int handlers = 0;
  while (handlers < kMaxHandlers && context.poll_one() > 0) {
    ++handlers;
  }
  EXPECT_LT(handlers, kMaxHandlers) << "there is always another failed attempt to handle";
}

}
