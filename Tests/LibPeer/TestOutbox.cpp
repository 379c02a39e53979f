#include <LibPeer/Outbox.h>
#include <LibPeer/PeerCodec.h>
#include <LibPeer/PeerServer.h>
#include <LibPlatform/Codec.h>
#include <LibPlatform/Json.h>
#include <array>
#include <gtest/gtest.h>
#include <json/json.h>

namespace zinc {
namespace {

Notice
Numbered(int aNumber)
{
  return StopTask{ .attempt = { .task = { std::to_string(aNumber) } } };
}

const std::string&
NameOf(const Notice& aNotice)
{
  return std::get<StopTask>(aNotice).attempt.task.value;
}

class OutboxTest : public ::testing::Test
{
protected:
  TimePoint now{};
  Outbox outbox{ { "us" }, { "them" } };
};

TEST_F(OutboxTest, FailedBatchIsRepeatedUnderItsSequenceWithoutLaterNotices)
{
  this->outbox.Add(Numbered(1));
  ASSERT_NE(this->outbox.Next(this->now), nullptr);
  this->outbox.Add(Numbered(2));
  EXPECT_EQ(this->outbox.Next(this->now), nullptr) << "One batch is in flight.";
  this->outbox.Fail(1, this->now);
  EXPECT_EQ(this->outbox.Next(this->now), nullptr) << "A repeat waits.";
  const auto* again = this->outbox.Next(this->now + Milliseconds{ 1000 });
  ASSERT_NE(again, nullptr);
  EXPECT_EQ(again->sequence, 1U);
  ASSERT_EQ(again->notices.size(), 1U);
  EXPECT_EQ(NameOf(again->notices.front()), "1");
}

TEST_F(OutboxTest, NoticesAreDeliveredOnceAndInOrder)
{
  constexpr int kNotices = 1201;
  for (int number = 0; number < kNotices; ++number) {
    this->outbox.Add(Numbered(number));
  }
  int expected = 0;
  std::uint64_t sequence = 0;
  while (const auto* batch = this->outbox.Next(this->now)) {
    EXPECT_EQ(batch->sequence, ++sequence);
    for (const auto& notice : batch->notices) {
      EXPECT_EQ(NameOf(notice), std::to_string(expected++));
    }
    this->outbox.Acknowledge(sequence);
  }
  EXPECT_EQ(expected, kNotices);
  EXPECT_TRUE(this->outbox.IsEmpty());
}

// The failure: a batch longer than a message is refused by its receiver and repeated for ever, and
// nothing behind it arrives, once callers submit 16 jobs with the longest payload.
TEST_F(OutboxTest, BatchesOfLongNoticesFitIntoAMessage)
{
  constexpr int kNotices = 12;
  /// Alternatives of Notice in the order in which they are added.
  constexpr std::array<std::size_t, 4> kKinds{ 0, 5, 8, 9 };
  // Takes six bytes for each in JSON.
  const std::string longest(kPayloadBytesLimit, '\x01');
  for (int number = 0; number < kNotices; ++number) {
    const TaskId task{ std::to_string(number) };
    switch (number % 4) {
      case 0:
        this->outbox.Add(PlaceTask{ .task = { .id = task, .payload = longest } });
        break;
      case 1:
        this->outbox.Add(TaskEnded{ .attempt = { task }, .result = longest, .progress = longest });
        break;
      case 2:
        this->outbox.Add(Ask{ .submission = { .payload = longest } });
        break;
      default:
        this->outbox.Add(Reply{ .answer = JobAnswer{ .result = longest } });
        break;
    }
  }
  std::size_t delivered = 0;
  std::uint64_t sequence = 0;
  while (const auto* batch = this->outbox.Next(this->now)) {
    EXPECT_LE(WriteJson(ToJson(*batch)).size(), kPeerMessageBytesLimit);
    for (const auto& notice : batch->notices) {
      EXPECT_EQ(notice.index(), kKinds.at(delivered % kKinds.size()));
      ++delivered;
    }
    this->outbox.Acknowledge(++sequence);
  }
  EXPECT_EQ(delivered, kNotices);
  EXPECT_LT(sequence, kNotices);
}

TEST_F(OutboxTest, SequenceGoesOnAfterClear)
{
  this->outbox.Add(Numbered(1));
  ASSERT_NE(this->outbox.Next(this->now), nullptr);
  this->outbox.Clear();
  EXPECT_TRUE(this->outbox.IsEmpty());
  this->outbox.Add(Numbered(2));
  const auto* batch = this->outbox.Next(this->now);
  ASSERT_NE(batch, nullptr);
  EXPECT_EQ(batch->sequence, 2U) << "The receiver would ignore a repeated number.";
  EXPECT_EQ(NameOf(batch->notices.front()), "2");
}

TEST_F(OutboxTest, LateReplyToAClearedBatchDoesNotAcknowledgeTheNext)
{
  this->outbox.Add(Numbered(1));
  ASSERT_NE(this->outbox.Next(this->now), nullptr);
  this->outbox.Clear();
  this->outbox.Add(Numbered(2));
  ASSERT_NE(this->outbox.Next(this->now), nullptr);
  // The reply to the first batch comes only now.
  this->outbox.Acknowledge(1);
  EXPECT_FALSE(this->outbox.IsEmpty()) << "The second batch was never answered.";
}

}
}
