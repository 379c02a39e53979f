#include <LibAcceptance/DocumentRepository.h>

#include <LibDocument/Parser.h>
#include <algorithm>
#include <fmt/format.h>

namespace zinc {

namespace {

Verdict
SupersededError()
{
  return NotRun(ErrorCode::StaleVersion, "Another document was accepted after the base version.");
}

}

DocumentRepository::DocumentRepository(DocumentRepositoryOptions aOptions,
                                       DocumentRepositoryEnvironment aEnvironment)
  : options(std::move(aOptions))
  , environment(std::move(aEnvironment))
{
}

void
DocumentRepository::Tick()
{
  if (!this->isReading && this->environment.clock.Now() >= this->nextRead) {
    this->Read({});
  }
}

Result<Done>
DocumentRepository::ApplyIfNewer(std::uint64_t aVersion, std::string_view aYaml)
{
  if (aVersion <= this->document.version) {
    return Done{};
  }
  auto parsed = ParseDocument(aYaml);
  if (!std::holds_alternative<Document>(parsed)) {
    return NotRun(ErrorCode::BadRequest, "The text is not a valid document.");
  }
  this->document = std::move(std::get<Document>(parsed));
  this->document.version = aVersion;
  this->yaml = std::string(aYaml);
  this->environment.apply(this->document);
  return Done{};
}

void
DocumentRepository::Accept(std::uint64_t aBase, std::string aYaml, Handler<std::uint64_t> aHandler)
{
  this->Read([this, aBase, yaml = std::move(aYaml), handler = std::move(aHandler)](
               const Result<Done>& aReadResult) mutable {
    if (IsError(aReadResult)) {
      auto verdict = ErrorOf(aReadResult);
      verdict.run = RunState::NotRun;
      handler(std::move(verdict));
      return;
    }
    this->Commit(aBase, std::move(yaml), std::move(handler));
  });
}

void
DocumentRepository::Commit(std::uint64_t aBase, std::string aYaml, Handler<std::uint64_t> aHandler)
{
  if (aBase != this->document.version) {
    aHandler(SupersededError());
    return;
  }
  AcceptedDocument accepted{ .version = aBase + 1,
                             .acceptedBy = this->options.self,
                             .acceptanceId = fmt::format(
                               "{:016x}-{}", this->options.seed, ++this->acceptanceCount),
                             .yaml = std::move(aYaml) };
  const auto text = EncodeAcceptedDocument(accepted);
  Transaction transaction;
  transaction.conditions.push_back(
    { .key = HistoryKey(accepted.version), .version = kAbsentVersion });
  transaction.conditions.push_back(
    { .key = std::string(kCurrentDocumentKey), .version = this->rowVersion });
  transaction.writes.push_back({ .key = std::string(kCurrentDocumentKey), .value = text });
  transaction.writes.push_back({ .key = HistoryKey(accepted.version), .value = text });
  ++this->commitsInFlight;
  this->environment.table.Commit(
    std::move(transaction),
    [this, accepted = std::move(accepted), handler = std::move(aHandler)](
      const Result<CommitOutcome>& aReply) { this->OnCommitted(accepted, aReply, handler); });
}

void
DocumentRepository::ListVersions(Handler<std::vector<DocumentVersion>> aHandler)
{
  this->ListVersionsAfter({}, {}, std::move(aHandler));
}

void
DocumentRepository::ListVersionsAfter(std::string aAfter,
                                      std::vector<DocumentVersion> aVersions,
                                      Handler<std::vector<DocumentVersion>> aHandler)
{
  this->environment.table.List(
    { .prefix = std::string(kDocumentHistoryPrefix), .after = std::move(aAfter) },
    [this, versions = std::move(aVersions), handler = std::move(aHandler)](
      const Result<std::vector<Row>>& aReply) mutable {
      if (IsError(aReply)) {
        handler(ErrorOf(aReply));
        return;
      }
      for (const auto& row : ValueOf(aReply)) {
        const auto accepted = DecodeAcceptedDocument(row.value);
        if (!IsError(accepted)) {
          versions.push_back(
            { .version = ValueOf(accepted).version, .acceptedBy = ValueOf(accepted).acceptedBy });
        }
      }
      if (ValueOf(aReply).empty()) {
        handler(std::move(versions));
        return;
      }
      this->ListVersionsAfter(ValueOf(aReply).back().key, std::move(versions), std::move(handler));
    });
}

std::optional<Milliseconds>
DocumentRepository::ReadAge() const
{
  if (!this->lastRead) {
    return {};
  }
  return std::chrono::duration_cast<Milliseconds>(this->environment.clock.Now() - *this->lastRead);
}

void
DocumentRepository::Read(ReadHandler aHandler)
{
  const auto sentAt = this->environment.clock.Now();
  this->isReading = true;
  this->nextRead = sentAt + this->options.readInterval;
  this->environment.table.Read(
    std::string(kCurrentDocumentKey),
    [this, sentAt, handler = std::move(aHandler)](const Result<std::optional<Row>>& aReply) {
      this->OnRead(sentAt, aReply);
      if (handler) {
        handler(IsError(aReply) ? Result<Done>(ErrorOf(aReply)) : Result<Done>(Done{}));
      }
    });
}

void
DocumentRepository::OnRead(TimePoint aSentAt, const Result<std::optional<Row>>& aReply)
{
  this->isReading = false;
  const bool isInForce = !IsError(aReply) && this->ApplyRow(ValueOf(aReply));
  if (!isInForce) {
    return;
  }
  this->lastRead = std::max(this->lastRead.value_or(aSentAt), aSentAt);
  if (this->unsettledSince && *this->unsettledSince < aSentAt) {
    this->unsettledSince.reset();
  }
}

bool
DocumentRepository::ApplyRow(const std::optional<Row>& aRow)
{
  if (!aRow || aRow->version <= this->rowVersion) {
    return true;
  }
  const auto accepted = DecodeAcceptedDocument(aRow->value);
  if (IsError(accepted)) {
    return false;
  }
  const auto applied = this->ApplyIfNewer(ValueOf(accepted).version, ValueOf(accepted).yaml);
  if (IsError(applied)) {
    return false;
  }
  this->rowVersion = aRow->version;
  return true;
}

void
DocumentRepository::OnCommitted(AcceptedDocument aDocument,
                                const Result<CommitOutcome>& aReply,
                                Handler<std::uint64_t> aHandler)
{
  --this->commitsInFlight;
  if (IsError(aReply) && ErrorOf(aReply).run == RunState::MayHaveRun) {
    this->unsettledSince = this->environment.clock.Now();
    this->VerifyCommit(std::move(aDocument), std::move(aHandler));
    return;
  }
  if (IsError(aReply)) {
    aHandler(ErrorOf(aReply));
    return;
  }
  this->Read({});
  if (ValueOf(aReply) == CommitOutcome::ConditionFailed) {
    aHandler(SupersededError());
    return;
  }
  // The text was validated before the commit, so parsing it does not fail.
  (void)this->ApplyIfNewer(aDocument.version, aDocument.yaml);
  aHandler(aDocument.version);
}

void
DocumentRepository::VerifyCommit(AcceptedDocument aDocument, Handler<std::uint64_t> aHandler)
{
  const auto key = HistoryKey(aDocument.version);
  this->environment.table.Read(
    key,
    [this, document = std::move(aDocument), handler = std::move(aHandler)](
      const Result<std::optional<Row>>& aReply) {
      if (IsError(aReply)) {
        handler(
          MayHaveRun(ErrorCode::Unavailable,
                     "The platform's table did not answer; the document may have been accepted."));
        return;
      }
      const auto& row = ValueOf(aReply);
      if (!row) {
        // The commit may still be in flight.
        handler(MayHaveRun(ErrorCode::Unavailable,
                           "The platform's table has no row of this version yet; the document may "
                           "still be accepted."));
        return;
      }
      const auto stored = DecodeAcceptedDocument(row->value);
      const bool isOurs = !IsError(stored) && ValueOf(stored).acceptanceId == document.acceptanceId;
      if (!isOurs) {
        handler(SupersededError());
        return;
      }
      (void)this->ApplyIfNewer(document.version, document.yaml);
      handler(document.version);
    });
}

}
