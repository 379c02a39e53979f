#pragma once

/// @file
/// The document in force at an entry instance, and its accepted versions in the platform's table.

#include <LibAcceptance/AcceptedDocument.h>
#include <LibBase/Time.h>
#include <LibPlatform/Table.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace zinc {

/// Settings that do not change after construction.
struct DocumentRepositoryOptions
{
  /// Name of this entry instance.
  std::string self;
  /// Time between reads of the row with the current document.
  Milliseconds readInterval{ 1000 };
  /// Prefix of acceptance ids; unique to the process.
  std::uint64_t seed = 1;
};

/// Dependencies of a repository; all of them outlive it.
struct DocumentRepositoryEnvironment
{
  const Clock& clock;
  Table& table;
  /// Called with every document that comes into force, in ascending order of versions.
  std::function<void(const Document&)> apply;
};

/// An entry of the version history.
struct DocumentVersion
{
  std::uint64_t version = 0;
  std::string acceptedBy;
};

/// Polls the row of the current document, applies newer versions and accepts new documents by
/// conditional commits. Not thread-safe; used on the control thread.
class DocumentRepository
{
public:
  template<typename T>
  using Handler = std::function<void(Result<T>)>;

  DocumentRepository(DocumentRepositoryOptions aOptions,
                     DocumentRepositoryEnvironment aEnvironment);

  /// Starts a read of the current document's row if the read interval has passed.
  void Tick();

  /// Puts a document from a peer in force if its version is higher than the current one.
  /// @return @ref ErrorCode::BadRequest if the document is newer and its text is invalid.
  [[nodiscard]] Result<Done> ApplyIfNewer(std::uint64_t aVersion, std::string_view aYaml);

  /// Replaces version @p aBase by a new document.
  /// @param aYaml the text of a valid document; the caller validates it
  /// @param aHandler receives the new version, or @ref ErrorCode::StaleVersion if another document
  /// was accepted first
  void Accept(std::uint64_t aBase, std::string aYaml, Handler<std::uint64_t> aHandler);

  /// Lists all accepted versions, oldest first. Rows that cannot be decoded are left out.
  void ListVersions(Handler<std::vector<DocumentVersion>> aHandler);

  /// @return the document in force; its version is 0 before the first one.
  [[nodiscard]] const Document& Current() const { return this->document; }

  /// @return the text of the document in force.
  [[nodiscard]] const std::string& Yaml() const { return this->yaml; }

  /// @return the time since the start of the last read that confirmed the document in force; empty
  /// before the first.
  [[nodiscard]] std::optional<Milliseconds> ReadAge() const;

  /// @return false while a commit of this instance may have stored a document that is not in force
  /// here yet.
  [[nodiscard]] bool IsSettled() const
  {
    return this->commitsInFlight == 0 && !this->unsettledSince;
  }

private:
  /// Called after the result of a read has been applied.
  using ReadHandler = std::function<void(Result<Done>)>;

  void Read(ReadHandler aHandler);
  void OnRead(TimePoint aSentAt, const Result<std::optional<Row>>& aReply);

  /// Puts the row's document in force if it is newer.
  /// @return false if the row is newer and cannot be decoded or parsed.
  [[nodiscard]] bool ApplyRow(const std::optional<Row>& aRow);
  void Commit(std::uint64_t aBase, std::string aYaml, Handler<std::uint64_t> aHandler);
  void OnCommitted(AcceptedDocument aDocument,
                   const Result<CommitOutcome>& aReply,
                   Handler<std::uint64_t> aHandler);
  /// Lists the history rows whose keys follow @p aAfter, page by page.
  void ListVersionsAfter(std::string aAfter,
                         std::vector<DocumentVersion> aVersions,
                         Handler<std::vector<DocumentVersion>> aHandler);
  /// Reads the history row of a document after the reply to its commit was lost, and reports
  /// whether the commit took effect.
  void VerifyCommit(AcceptedDocument aDocument, Handler<std::uint64_t> aHandler);

  DocumentRepositoryOptions options;
  DocumentRepositoryEnvironment environment;
  Document document;
  std::string yaml;
  std::uint64_t rowVersion = kAbsentVersion;
  std::optional<TimePoint> lastRead;
  TimePoint nextRead{};
  bool isReading = false;
  std::size_t commitsInFlight = 0;
  /// When the reply to a commit was last lost; empty once a later read has succeeded.
  std::optional<TimePoint> unsettledSince;
  std::uint64_t acceptanceCount = 0;
};

}
