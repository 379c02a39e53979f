#include <LibClient/TcpTransport.h>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>
#include <zincctl/Run.h>

int
main(int aCount, char** aWords)
{
  const std::vector<std::string> arguments(aWords + 1, aWords + aCount);
  zinc::TcpTransport transport;
  const zinc::SteadyClock clock;
  zinc::Surroundings surroundings{ .input = std::cin,
                                   .output = std::cout,
                                   .error = std::cerr,
                                   .variables = environ,
                                   .transport = transport,
                                   .clock = clock,
                                   .sleep = [](zinc::Milliseconds aTime) {
                                     std::cout.flush();
                                     std::this_thread::sleep_for(aTime);
                                   } };
  return static_cast<int>(zinc::RunZincctl(arguments, surroundings));
}
