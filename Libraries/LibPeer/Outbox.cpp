#include <LibPeer/Outbox.h>

#include <iterator>

namespace zinc {

namespace {

constexpr std::size_t kNoticesPerBatch = 500;
/// Payloads and results of a batch, in bytes. JSON takes up to six times as many, which leaves room
/// for the rest in a message; a notice alone may have as much.
constexpr std::size_t kTextBytesPerBatch = std::size_t{ 2 } << 20;
constexpr Milliseconds kRetryDelay{ 100 };

std::size_t
TextBytesOf(const Notice& aNotice)
{
  if (const auto* place = std::get_if<PlaceTask>(&aNotice)) {
    return place->task.payload.size() + place->task.progress.size();
  }
  if (const auto* ended = std::get_if<TaskEnded>(&aNotice)) {
    return ended->result.size() + ended->progress.size();
  }
  if (const auto* ask = std::get_if<Ask>(&aNotice)) {
    return ask->submission.payload.size();
  }
  if (const auto* reply = std::get_if<Reply>(&aNotice)) {
    return IsError(reply->answer) ? 0 : ValueOf(reply->answer).result.size();
  }
  return 0;
}

/// @return how many of the notices, which are not empty, make the next batch.
std::ptrdiff_t
CountForBatch(const std::deque<Notice>& aNotices)
{
  std::size_t count = 0;
  std::size_t bytes = 0;
  for (const Notice& notice : aNotices) {
    bytes += TextBytesOf(notice);
    if (count == kNoticesPerBatch || (count > 0 && bytes > kTextBytesPerBatch)) {
      break;
    }
    ++count;
  }
  return static_cast<std::ptrdiff_t>(count);
}

}

Outbox::Outbox(EntryId aFrom, EntryId aTo)
  : from(std::move(aFrom))
  , to(std::move(aTo))
{
}

void
Outbox::Add(Notice aNotice)
{
  this->waiting.push_back(std::move(aNotice));
}

const NoticeBatch*
Outbox::Next(TimePoint aNow)
{
  if (this->state == State::InFlight) {
    return nullptr;
  }
  if (this->state == State::Failed) {
    if (aNow < this->retryAt) {
      return nullptr;
    }
    this->state = State::InFlight;
    return &*this->current;
  }
  if (this->waiting.empty()) {
    return nullptr;
  }
  const auto count = CountForBatch(this->waiting);
  const auto first = std::make_move_iterator(this->waiting.begin());
  this->current =
    NoticeBatch{ .from = this->from, .to = this->to, .sequence = ++this->lastSequence };
  this->current->notices.assign(first, first + count);
  this->waiting.erase(this->waiting.begin(), this->waiting.begin() + count);
  this->state = State::InFlight;
  return &*this->current;
}

void
Outbox::Acknowledge(std::uint64_t aSequence)
{
  if (!this->IsInFlight(aSequence)) {
    return;
  }
  this->current.reset();
  this->state = State::Idle;
}

void
Outbox::Fail(std::uint64_t aSequence, TimePoint aNow)
{
  if (!this->IsInFlight(aSequence)) {
    return;
  }
  this->state = State::Failed;
  this->retryAt = aNow + kRetryDelay;
}

bool
Outbox::IsInFlight(std::uint64_t aSequence) const
{
  return this->state == State::InFlight && this->current->sequence == aSequence;
}

void
Outbox::Clear()
{
  this->waiting.clear();
  this->current.reset();
  this->state = State::Idle;
}

}
