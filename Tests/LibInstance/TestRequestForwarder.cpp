#include "ManualTimer.h"
#include <LibInstance/RequestForwarder.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <json/json.h>
#include <set>

namespace zinc {

namespace {

constexpr unsigned kUnavailable = 503;
constexpr unsigned kOk = 200;

/// A forwarder with eight peers, of which four reach the store.
class RequestForwarderTest : public testing::Test
{
protected:
  RequestForwarderTest()
    : timer(this->clock)
    , forwarder(
        { .timer = this->timer,
          .clock = this->clock,
          .log = this->log,
          .isStoreReachable = [this] { return this->isStoreReachable; },
          .listPeers = [this] { return this->peers; },
          .onPeerReachesStore =
            [this](const std::string& aPeer) { this->reportedPeers.insert(aPeer); },
          .probePeer =
            [this](const std::string& aPeer, const std::function<void(Result<bool>)>& aHandler) {
              ++this->probeCount;
              aHandler(this->peersWithStore.contains(aPeer));
            },
          .documentVersion = [this] { return this->localDocumentVersion; },
          .forward =
            [this](const std::string& aPeer,
                   const ForwardedRequest& aRequest,
                   const std::function<void(Result<ForwardedResponse>)>& aHandler) {
              this->forwardedTo.push_back(aPeer);
              if (this->peerError) {
                aHandler(*this->peerError);
                return;
              }
              if (this->peerDocumentVersion < aRequest.minDocumentVersion) {
                aHandler(NotRun(ErrorCode::StaleVersion, "older"));
                return;
              }
              aHandler(ForwardedResponse{ .response = { .status = kOk },
                                          .documentVersion = this->peerDocumentVersion });
            },
          .handleLocally =
            [this](const IncomingRequest&, const Respond& aRespond) {
              ++this->locallyHandledCount;
              aRespond({ .status = this->isStoreReachable ? kOk : kUnavailable });
            } },
        1)
  {
    this->forwarder.Start();
  }

  /// @return the status of the response to a request.
  unsigned Submit(RequestMethod aMethod = RequestMethod::Post)
  {
    unsigned status = 0;
    this->forwarder.Handle(
      { .method = aMethod, .path = "/queue/1" },
      [&status](const OutgoingResponse& aResponse) { status = aResponse.status; });
    return status;
  }

  /// Long enough for several probe rounds.
  static constexpr Milliseconds kSeveralProbeRounds{ 2000 };

  ManualClock clock;
  ManualTimer timer;
  Logger log{ { .level = LogLevel::Error } };
  bool isStoreReachable = true;
  std::vector<std::string> peers = { "a", "b", "c", "d", "e", "f", "g", "h" };
  std::set<std::string> peersWithStore = { "a", "b", "c", "d" };
  std::uint64_t localDocumentVersion = 5;
  std::uint64_t peerDocumentVersion = 5;
  std::optional<Verdict> peerError;
  std::vector<std::string> forwardedTo;
  std::set<std::string> reportedPeers;
  std::uint32_t locallyHandledCount = 0;
  std::uint32_t probeCount = 0;
  RequestForwarder forwarder;
};

}

TEST_F(RequestForwarderTest, HandlesRequestsLocallyWhileTheStoreIsReachable)
{
  this->timer.Advance(kSeveralProbeRounds);
  EXPECT_EQ(this->Submit(), kOk);
  EXPECT_EQ(this->locallyHandledCount, 1U);
  EXPECT_EQ(this->probeCount, 0U);
}

TEST_F(RequestForwarderTest, ForwardsRequestsToPeersThatReachTheStore)
{
  this->isStoreReachable = false;
  this->timer.Advance(kSeveralProbeRounds);
  constexpr int kCallers = 40;
  for (int caller = 0; caller < kCallers; ++caller) {
    EXPECT_EQ(this->Submit(), kOk);
  }
  EXPECT_EQ(this->locallyHandledCount, 0U);
  EXPECT_FALSE(this->reportedPeers.empty());
  for (const auto& peer : this->forwardedTo) {
    EXPECT_TRUE(this->peersWithStore.contains(peer));
  }
  // The load is spread over the peers, not put on the first that responded.
  const std::set<std::string> distinct(this->forwardedTo.begin(), this->forwardedTo.end());
  EXPECT_GT(distinct.size(), 1U);
}

TEST_F(RequestForwarderTest, RejectsAtOnceWhileNoPeerReachesTheStore)
{
  this->isStoreReachable = false;
  this->peersWithStore.clear();
  this->timer.Advance(kSeveralProbeRounds);
  EXPECT_EQ(this->Submit(), kUnavailable);
  EXPECT_TRUE(this->reportedPeers.empty());
  EXPECT_TRUE(this->forwardedTo.empty());
}

TEST_F(RequestForwarderTest, LimitsProbesWhileTheStoreIsUnreachable)
{
  this->isStoreReachable = false;
  this->peersWithStore.clear();
  this->timer.Advance(Milliseconds{ 10'000 });
  // At most four peers every 400 ms.
  EXPECT_LE(this->probeCount, 104U);
}

TEST_F(RequestForwarderTest, IgnoresExpiredProbeResults)
{
  this->isStoreReachable = false;
  this->timer.Advance(kSeveralProbeRounds);
  this->peersWithStore.clear();
  this->peers.clear();
  this->timer.Advance(kSeveralProbeRounds);
  EXPECT_EQ(this->Submit(), kUnavailable);
}

TEST_F(RequestForwarderTest, RetriesASubmissionOnlyIfThePeerDidNotRunIt)
{
  this->isStoreReachable = false;
  this->timer.Advance(kSeveralProbeRounds);
  this->peerError = NotRun(ErrorCode::Unavailable, "not reached");
  EXPECT_EQ(this->Submit(), kUnavailable);
  EXPECT_GT(this->forwardedTo.size(), 1U);
  EXPECT_LE(this->forwardedTo.size(), 3U);

  this->timer.Advance(kSeveralProbeRounds);
  this->forwardedTo.clear();
  this->peerError = MayHaveRun(ErrorCode::Timeout, "no answer");
  constexpr unsigned kOutcomeUnknown = 504;
  EXPECT_EQ(this->Submit(), kOutcomeUnknown);
  EXPECT_EQ(this->forwardedTo.size(), 1U);
}

// Instances that do not reach the store also miss new versions of the document.
TEST_F(RequestForwarderTest, DoesNotUseAPeerWithAnOlderDocument)
{
  this->isStoreReachable = false;
  this->peerDocumentVersion = 4;
  this->timer.Advance(kSeveralProbeRounds);
  EXPECT_EQ(this->Submit(), kUnavailable);
  EXPECT_EQ(this->locallyHandledCount, 1U);
}

TEST_F(RequestForwarderTest, DoesNotFallBackToItsOwnOlderDocument)
{
  this->isStoreReachable = false;
  this->peerDocumentVersion = 6;
  this->timer.Advance(kSeveralProbeRounds);
  EXPECT_EQ(this->Submit(), kOk);

  // The store is reachable again, but the newer document is not read yet and no peer is known.
  this->isStoreReachable = true;
  this->timer.Advance(kSeveralProbeRounds);
  EXPECT_EQ(this->Submit(), kUnavailable);
  EXPECT_EQ(this->locallyHandledCount, 0U);
  this->localDocumentVersion = 6;
  EXPECT_EQ(this->Submit(), kOk);
  EXPECT_EQ(this->locallyHandledCount, 1U);
}

TEST_F(RequestForwarderTest, RetriesAReadWhoseOutcomeIsUnknown)
{
  this->isStoreReachable = false;
  this->timer.Advance(kSeveralProbeRounds);
  this->peerError = MayHaveRun(ErrorCode::Timeout, "no answer");
  EXPECT_EQ(this->Submit(RequestMethod::Fetch), kUnavailable);
  EXPECT_GT(this->forwardedTo.size(), 1U);
}

}
