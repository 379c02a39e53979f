#pragma once

/// @file
/// The threads that run the HTTP and peer connections.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <thread>
#include <vector>

namespace zinc {

/// A thread pool that runs an I/O context until the pool is destroyed.
class TrafficThreads
{
public:
  /// @param aTraffic must outlive the pool, which stops the context on destruction
  TrafficThreads(boost::asio::io_context& aTraffic, std::uint32_t aCount)
    : traffic(aTraffic)
    , guard(aTraffic.get_executor())
  {
    for (std::uint32_t index = 0; index < aCount; ++index) {
      this->threads.emplace_back([this] { this->traffic.run(); });
    }
  }

  ~TrafficThreads() { this->traffic.stop(); }
  TrafficThreads(const TrafficThreads&) = delete;
  TrafficThreads& operator=(const TrafficThreads&) = delete;

private:
  boost::asio::io_context& traffic;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
  std::vector<std::jthread> threads;
};

}
