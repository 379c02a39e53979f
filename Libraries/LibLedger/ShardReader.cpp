#include <LibLedger/LedgerKeys.h>
#include <LibLedger/RecordCodec.h>
#include <LibLedger/ShardReader.h>
#include <LibLedger/ShardSnapshot.h>

namespace zinc::detail {

namespace {

constexpr std::size_t kRowsPerPage = 64;
constexpr std::uint32_t kMaxRereads = 16;

}

ShardReader::ShardReader(ShardIndex aShard,
                         Table& aTable,
                         ObjectStore& aObjects,
                         LedgerStatistics& aStatistics,
                         ShardSink& aSink)
  : shard(aShard)
  , table(aTable)
  , objects(aObjects)
  , statistics(aStatistics)
  , sink(aSink)
{
}

void
ShardReader::CatchUp(DoneHandler aHandler)
{
  this->handler = std::move(aHandler);
  this->rereads = 0;
  this->isBaseFresh = false;
  this->isListEmpty = false;
  if (this->isLoaded && !this->isBaseSuspect) {
    this->ListRows();
    return;
  }
  this->ReadBase();
}

void
ShardReader::ReadBase()
{
  ++this->statistics.reads;
  this->table.Read(BaseKey(this->shard), [weak = this->weak_from_this()](const auto& aResult) {
    if (const auto self = weak.lock()) {
      self->OnBase(aResult);
    }
  });
}

void
ShardReader::OnBase(const Result<std::optional<Row>>& aResult)
{
  if (IsError(aResult)) {
    this->Finish(ErrorOf(aResult));
    return;
  }
  const std::optional<Row>& row = ValueOf(aResult);
  if (!row) {
    this->UseBase({});
    return;
  }
  const Result<LogBase> decoded = DecodeBase(row->value);
  if (IsError(decoded)) {
    this->Finish(ErrorOf(decoded));
    return;
  }
  this->UseBase({ .base = ValueOf(decoded), .version = row->version });
}

void
ShardReader::UseBase(const VersionedBase& aBase)
{
  if (aBase.base.sequence > this->applied) {
    this->FetchSnapshot(aBase);
    return;
  }
  this->base = aBase.base;
  this->baseVersion = aBase.version;
  this->isBaseFresh = true;
  this->isBaseSuspect = false;
  this->isLoaded = true;
  if (this->isListEmpty) {
    this->Finish(Done{});
    return;
  }
  this->ListRows();
}

void
ShardReader::FetchSnapshot(VersionedBase aBase)
{
  const std::string object = aBase.base.object;
  this->objects.Fetch(
    object, [weak = this->weak_from_this(), base = std::move(aBase)](const auto& aResult) {
      if (const auto self = weak.lock()) {
        self->OnSnapshot(base, aResult);
      }
    });
}

void
ShardReader::OnSnapshot(const VersionedBase& aBase, const Result<std::string>& aResult)
{
  if (IsError(aResult)) {
    // A newer snapshot may have replaced this one in the meantime.
    if (ErrorOf(aResult).code == ErrorCode::NotFound) {
      this->Reread();
      return;
    }
    this->Finish(ErrorOf(aResult));
    return;
  }
  Result<ShardImage> image = DecodeSnapshot(ValueOf(aResult));
  if (IsError(image)) {
    this->Finish(ErrorOf(image));
    return;
  }
  this->applied = aBase.base.sequence;
  this->isListEmpty = false;
  this->sink.Restart(this->applied, std::move(ValueOf(image)));
  this->UseBase(aBase);
}

void
ShardReader::ListRows()
{
  ++this->statistics.reads;
  ListRequest request{ .prefix = LogPrefix(this->shard),
                       .after = LogKey(this->shard, this->applied),
                       .limit = kRowsPerPage };
  this->table.List(std::move(request), [weak = this->weak_from_this()](const auto& aResult) {
    if (const auto self = weak.lock()) {
      self->OnRows(aResult);
    }
  });
}

void
ShardReader::OnRows(const Result<std::vector<Row>>& aResult)
{
  if (IsError(aResult)) {
    this->Finish(ErrorOf(aResult));
    return;
  }
  const std::vector<Row>& rows = ValueOf(aResult);
  for (const Row& row : rows) {
    const std::optional<Sequence> sequence = SequenceOfKey(row.key);
    if (sequence != this->applied + 1) {
      this->Reread();
      return;
    }
    const Result<Batch> batch = DecodeBatch(row.value);
    if (IsError(batch)) {
      this->Finish(ErrorOf(batch));
      return;
    }
    this->applied = *sequence;
    this->sink.ApplyRow(*sequence, ValueOf(batch));
  }
  if (rows.size() >= kRowsPerPage) {
    this->ListRows();
    return;
  }
  if (rows.empty()) {
    this->OnEmptyList();
    return;
  }
  this->Finish(Done{});
}

void
ShardReader::OnEmptyList()
{
  if (this->isBaseFresh) {
    this->Finish(Done{});
    return;
  }
  // The rows may have been compacted away, which only the base tells.
  this->isListEmpty = true;
  this->ReadBase();
}

void
ShardReader::Reread()
{
  if (++this->rereads > kMaxRereads) {
    this->Finish(NotRun(ErrorCode::Unavailable, "the log was compacted while it was read"));
    return;
  }
  this->isListEmpty = false;
  this->ReadBase();
}

void
ShardReader::Finish(Result<Done> aResult)
{
  const DoneHandler finished = std::move(this->handler);
  this->handler = nullptr;
  finished(std::move(aResult));
}

}
