#pragma once

/// @file
/// Callers that hand jobs in, ask about them and cancel some.

#include <LibPlatform/InstanceList.h>
#include <Soak/Event.h>
#include <Soak/SoakCell.h>
#include <atomic>
#include <pcg_random.hpp>
#include <thread>
#include <vector>

namespace zinc::soak {

/// A number of callers, each on a thread of its own.
class SoakCallers
{
public:
  struct Options
  {
    const SoakCell& cell;
    Recorder& recorder;
    std::uint64_t seed = 1;
    std::size_t callers = 4;
    /// Time between two jobs of a caller.
    Milliseconds pause{ 250 };
  };

  explicit SoakCallers(Options aOptions);
  ~SoakCallers();
  SoakCallers(const SoakCallers&) = delete;
  SoakCallers& operator=(const SoakCallers&) = delete;

  /// Hands in no more jobs and returns when the calls under way have ended.
  void Stop();

  /// Asks for the jobs that were accepted until each has ended.
  /// @param aBound longest time to go on asking
  void AwaitEnds(Milliseconds aBound);

private:
  /// A job that was accepted.
  struct Accepted
  {
    std::string id;
    std::size_t workspace = 0;
  };

  enum class SubmitOutcome : std::uint8_t
  {
    Accepted,
    Refused,
    Unanswered,
    /// The last call got no answer, and the caller no longer wants the job.
    GivenUp,
  };

  void Serve(std::uint64_t aNumber);
  [[nodiscard]] JobPlan Draw(pcg32& aRandom, std::size_t aWorkspace) const;
  /// Hands a job in, again after calls without an answer, until the caller gives up.
  /// @param aPatience draws whether it does
  [[nodiscard]] SubmitOutcome Submit(const JobPlan& aPlan,
                                     std::size_t aWorkspace,
                                     pcg32& aRandom,
                                     pcg32& aPatience);
  void Cancel(const Accepted& aJob, pcg32& aRandom);
  /// @return the state shown; empty if none was.
  std::string Ask(const Accepted& aJob, std::size_t aInstance);

  Options options;
  std::atomic<bool> isOver{ false };
  std::mutex mutex;
  std::vector<Accepted> accepted;
  std::vector<std::thread> threads;
};

}
