#include <LibInstance/CallRelay.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <json/json.h>
#include <set>

namespace zinc {

namespace {

constexpr unsigned kAnsweredHere = 503;
constexpr unsigned kAnsweredThere = 200;

/// Runs functions when their time has come.
class ManualTimer final : public cell::TimerPort
{
public:
  explicit ManualTimer(ManualClock& aClock)
    : clock(aClock)
  {
  }

  void RunAfter(Milliseconds aDelay, std::function<void()> aFunction) override
  {
    this->due.emplace(this->clock.Now() + aDelay, std::move(aFunction));
  }

  void Advance(Milliseconds aTime)
  {
    const auto until = this->clock.Now() + aTime;
    while (!this->due.empty() && this->due.begin()->first <= until) {
      auto next = this->due.extract(this->due.begin());
      this->clock.Advance(std::max(Milliseconds{ 0 }, next.key() - this->clock.Now()));
      next.mapped()();
    }
    this->clock.Advance(until - this->clock.Now());
  }

private:
  ManualClock& clock;
  std::multimap<TimePoint, std::function<void()>> due;
};

/// An instance with eight peers, of which some reach the store.
class CallRelayTest : public testing::Test
{
protected:
  CallRelayTest()
    : timer(this->clock)
    , relay(
        { .timer = this->timer,
          .clock = this->clock,
          .log = this->log,
          .reachesStore = [this] { return this->reachesStore; },
          .peers = [this] { return this->peers; },
          .onReachable = [this](const std::string& aPeer) { this->reported.insert(aPeer); },
          .ask =
            [this](const std::string& aPeer, const std::function<void(Result<bool>)>& aHandler) {
              ++this->questions;
              aHandler(this->serving.contains(aPeer));
            },
          .documentVersion = [this] { return this->documentHere; },
          .pass =
            [this](const std::string& aPeer,
                   const PassedRequest& aRequest,
                   const std::function<void(Result<PassedResponse>)>& aHandler) {
              this->passedTo.push_back(aPeer);
              if (this->failure) {
                aHandler(*this->failure);
                return;
              }
              if (this->documentThere < aRequest.leastDocument) {
                aHandler(NotRun(ErrorCode::StaleVersion, "older"));
                return;
              }
              aHandler(PassedResponse{ .response = { .status = kAnsweredThere },
                                       .document = this->documentThere });
            },
          .answer =
            [this](const IncomingRequest&, const Respond& aRespond) {
              ++this->answeredHere;
              aRespond({ .status = this->reachesStore ? kAnsweredThere : kAnsweredHere });
            } },
        1)
  {
    this->relay.Start();
  }

  /// @return the status of the answer to a submission.
  unsigned Submit(RequestMethod aMethod = RequestMethod::Post)
  {
    unsigned status = 0;
    this->relay.Handle({ .method = aMethod, .path = "/queue/1" },
                       [&status](const OutgoingResponse& aResponse) { status = aResponse.status; });
    return status;
  }

  /// Time in which several rounds of questions are asked.
  static constexpr Milliseconds kRounds{ 2000 };

  ManualClock clock;
  ManualTimer timer;
  Logger log{ { .level = LogLevel::Error } };
  bool reachesStore = true;
  std::vector<std::string> peers = { "a", "b", "c", "d", "e", "f", "g", "h" };
  std::set<std::string> serving = { "a", "b", "c", "d" };
  std::uint64_t documentHere = 5;
  std::uint64_t documentThere = 5;
  std::optional<Verdict> failure;
  std::vector<std::string> passedTo;
  std::set<std::string> reported;
  std::uint32_t answeredHere = 0;
  std::uint32_t questions = 0;
  CallRelay relay;
};

}

TEST_F(CallRelayTest, AnswersItselfWhileItReachesTheStore)
{
  this->timer.Advance(kRounds);
  EXPECT_EQ(this->Submit(), kAnsweredThere);
  EXPECT_EQ(this->answeredHere, 1U);
  EXPECT_EQ(this->questions, 0U);
}

TEST_F(CallRelayTest, HasPeersServeTheCallersOfAnInstanceThatIsTurnedAway)
{
  this->reachesStore = false;
  this->timer.Advance(kRounds);
  constexpr int kCallers = 40;
  for (int caller = 0; caller < kCallers; ++caller) {
    EXPECT_EQ(this->Submit(), kAnsweredThere);
  }
  EXPECT_EQ(this->answeredHere, 0U);
  EXPECT_FALSE(this->reported.empty());
  for (const auto& peer : this->passedTo) {
    EXPECT_TRUE(this->serving.contains(peer));
  }
  // The load is spread, not put on the first that answered.
  const std::set<std::string> distinct(this->passedTo.begin(), this->passedTo.end());
  EXPECT_GT(distinct.size(), 1U);
}

TEST_F(CallRelayTest, RefusesAtOnceWhileNobodyReachesTheStore)
{
  this->reachesStore = false;
  this->serving.clear();
  this->timer.Advance(kRounds);
  EXPECT_EQ(this->Submit(), kAnsweredHere);
  EXPECT_TRUE(this->reported.empty());
  EXPECT_TRUE(this->passedTo.empty());
}

TEST_F(CallRelayTest, AsksFewPeersWhileTheStoreIsAway)
{
  this->reachesStore = false;
  this->serving.clear();
  this->timer.Advance(Milliseconds{ 10'000 });
  // Four peers each 400 ms.
  EXPECT_LE(this->questions, 104U);
}

TEST_F(CallRelayTest, DoesNotBelieveAnOldAnswer)
{
  this->reachesStore = false;
  this->timer.Advance(kRounds);
  this->serving.clear();
  this->peers.clear();
  this->timer.Advance(kRounds);
  EXPECT_EQ(this->Submit(), kAnsweredHere);
}

TEST_F(CallRelayTest, TriesAnotherPeerOnlyIfTheFirstHasDoneNothing)
{
  this->reachesStore = false;
  this->timer.Advance(kRounds);
  this->failure = NotRun(ErrorCode::Unavailable, "not reached");
  EXPECT_EQ(this->Submit(), kAnsweredHere);
  EXPECT_GT(this->passedTo.size(), 1U);
  EXPECT_LE(this->passedTo.size(), 3U);

  this->timer.Advance(kRounds);
  this->passedTo.clear();
  this->failure = MayHaveRun(ErrorCode::Timeout, "no answer");
  constexpr unsigned kOutcomeUnknown = 504;
  EXPECT_EQ(this->Submit(), kOutcomeUnknown);
  EXPECT_EQ(this->passedTo.size(), 1U);
}

// The pattern: while some instances do not reach the store they also miss new documents.
TEST_F(CallRelayTest, LetsNoPeerWithAnOlderDocumentAnswer)
{
  this->reachesStore = false;
  this->documentThere = 4;
  this->timer.Advance(kRounds);
  EXPECT_EQ(this->Submit(), kAnsweredHere);
  EXPECT_EQ(this->answeredHere, 1U);
}

TEST_F(CallRelayTest, DoesNotGoBackToItsOwnOlderDocument)
{
  this->reachesStore = false;
  this->documentThere = 6;
  this->timer.Advance(kRounds);
  EXPECT_EQ(this->Submit(), kAnsweredThere);

  // The store is back; the newer document is not read yet, and no peer is known any more.
  this->reachesStore = true;
  this->timer.Advance(kRounds);
  EXPECT_EQ(this->Submit(), kAnsweredHere);
  EXPECT_EQ(this->answeredHere, 0U);
  this->documentHere = 6;
  EXPECT_EQ(this->Submit(), kAnsweredThere);
  EXPECT_EQ(this->answeredHere, 1U);
}

TEST_F(CallRelayTest, RepeatsAQuestionThatMayHaveBeenAnswered)
{
  this->reachesStore = false;
  this->timer.Advance(kRounds);
  this->failure = MayHaveRun(ErrorCode::Timeout, "no answer");
  EXPECT_EQ(this->Submit(RequestMethod::Fetch), kAnsweredHere);
  EXPECT_GT(this->passedTo.size(), 1U);
}

}
