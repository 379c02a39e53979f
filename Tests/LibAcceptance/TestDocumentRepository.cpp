#include <Fakes/MemoryTable.h>
#include <LibAcceptance/DocumentRepository.h>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>

namespace zinc {
namespace {

/// @return a valid document that starts with the given comment.
std::string
ValidYaml(const std::string& aComment)
{
  std::ifstream file(ZINC_EXAMPLES "/document.yaml");
  return "# " + aComment + "\n" + std::string(std::istreambuf_iterator<char>(file), {});
}

/// A repository with its own connection to the table.
struct RepositoryProcess
{
  RepositoryProcess(MemoryPlatform& aPlatform, const Clock& aClock, std::string aName, int aSeed)
    : table(aPlatform, this->link)
    , repository(
        { .self = std::move(aName), .seed = static_cast<std::uint64_t>(aSeed) },
        { .clock = aClock, .table = this->table, .apply = [this](const Document& aDocument) {
           this->applied.push_back(aDocument.version);
         } })
  {
  }

  void Accept(std::uint64_t aBase, const std::string& aYaml)
  {
    this->repository.Accept(aBase, aYaml, [this](Result<std::uint64_t> aResult) {
      this->results.push_back(std::move(aResult));
    });
  }

  std::shared_ptr<MemoryLink> link = std::make_shared<MemoryLink>();
  MemoryTable table;
  std::vector<std::uint64_t> applied;
  std::vector<Result<std::uint64_t>> results;
  DocumentRepository repository;
};

/// Two entry instances that share one table.
class DocumentRepositoryTest : public ::testing::Test
{
protected:
  /// Accepts a document while the given faults apply to the commit only.
  void AcceptWithFaults(const MemoryFaults& aFaults, RepositoryProcess& aProcess)
  {
    aProcess.Accept(0, ValidYaml("ours"));
    this->platform.SetFaults(aFaults);
    // The first step delivers the read; the second delivers its reply, which sends the commit.
    ASSERT_TRUE(this->platform.Step());
    ASSERT_TRUE(this->platform.Step());
    this->platform.SetFaults({});
  }

  /// Advances the clock by one read interval and completes the read that is then due.
  void RunReadInterval(RepositoryProcess& aProcess)
  {
    this->clock.Advance(Milliseconds{ 1000 });
    aProcess.repository.Tick();
    this->platform.Drain();
  }

  /// Overwrites the row of the current document without a repository.
  void WriteRow(std::string aValue)
  {
    MemoryTable table(this->platform);
    table.Commit(
      { .writes = { { .key = std::string(kCurrentDocumentKey), .value = std::move(aValue) } } },
      [](const Result<CommitOutcome>&) {});
    this->platform.Drain();
  }

  ManualClock clock;
  MemoryPlatform platform{ 20261203 };
  RepositoryProcess one{ this->platform, this->clock, "one", 1 };
  RepositoryProcess two{ this->platform, this->clock, "two", 2 };
};

TEST_F(DocumentRepositoryTest, LostCommitReplyIsResolvedByReadingTheHistoryRow)
{
  this->AcceptWithFaults({ .loseReply = 1.0 }, this->one);
  this->platform.Drain();
  ASSERT_EQ(this->one.results.size(), 1U);
  ASSERT_FALSE(IsError(this->one.results.front()));
  EXPECT_EQ(ValueOf(this->one.results.front()), 1U);
  EXPECT_EQ(this->one.repository.Current().version, 1U);
  this->RunReadInterval(this->one);
  EXPECT_TRUE(this->one.repository.IsSettled());
  EXPECT_EQ(this->one.applied, std::vector<std::uint64_t>{ 1 });
}

TEST_F(DocumentRepositoryTest, CommitOfUnknownOutcomeIsReportedAsMayHaveRun)
{
  this->AcceptWithFaults({ .loseRequest = 1.0 }, this->one);
  this->platform.Drain();
  ASSERT_EQ(this->one.results.size(), 1U);
  ASSERT_TRUE(IsError(this->one.results.front()));
  EXPECT_EQ(ErrorOf(this->one.results.front()).run, RunState::MayHaveRun);
  EXPECT_FALSE(this->one.repository.IsSettled());
  this->RunReadInterval(this->one);
  EXPECT_TRUE(this->one.repository.IsSettled());
}

TEST_F(DocumentRepositoryTest, LostCommitThatAnotherPrecededIsReportedAsNotRun)
{
  this->AcceptWithFaults({ .loseRequest = 1.0 }, this->one);
  this->one.link->isFrozen = true;
  this->two.Accept(0, ValidYaml("theirs"));
  this->platform.Drain();
  this->one.link->isFrozen = false;
  this->platform.Drain();
  ASSERT_EQ(this->one.results.size(), 1U);
  ASSERT_TRUE(IsError(this->one.results.front()));
  EXPECT_EQ(ErrorOf(this->one.results.front()).code, ErrorCode::StaleVersion);
  EXPECT_EQ(ErrorOf(this->one.results.front()).run, RunState::NotRun);
}

TEST_F(DocumentRepositoryTest, OnlyOneOfTwoConcurrentAcceptancesSucceeds)
{
  this->one.Accept(0, ValidYaml("ours"));
  this->two.Accept(0, ValidYaml("theirs"));
  this->platform.Drain();
  ASSERT_EQ(this->one.results.size() + this->two.results.size(), 2U);
  const auto& first = this->one.results.front();
  const auto& second = this->two.results.front();
  ASSERT_NE(IsError(first), IsError(second));
  const auto& rejection = IsError(first) ? first : second;
  EXPECT_EQ(ErrorOf(rejection).code, ErrorCode::StaleVersion);
  EXPECT_EQ(ErrorOf(rejection).run, RunState::NotRun);
  this->RunReadInterval(this->one);
  this->RunReadInterval(this->two);
  EXPECT_EQ(this->one.repository.Yaml(), this->two.repository.Yaml());
}

TEST_F(DocumentRepositoryTest, OlderVersionIsNeverPutInForce)
{
  ASSERT_FALSE(IsError(this->one.repository.ApplyIfNewer(5, ValidYaml("newer"))));
  ASSERT_FALSE(IsError(this->one.repository.ApplyIfNewer(3, ValidYaml("older"))));
  ASSERT_FALSE(IsError(this->one.repository.ApplyIfNewer(5, ValidYaml("other"))));
  EXPECT_EQ(this->one.applied, std::vector<std::uint64_t>{ 5 });
  EXPECT_EQ(this->one.repository.Yaml(), ValidYaml("newer"));
}

TEST_F(DocumentRepositoryTest, InvalidTextIsRejected)
{
  EXPECT_TRUE(IsError(this->one.repository.ApplyIfNewer(7, "no document")));
  EXPECT_EQ(this->one.repository.Current().version, 0U);
}

TEST_F(DocumentRepositoryTest, UndecodableRowNeitherReplacesNorConfirmsTheDocument)
{
  this->one.Accept(0, ValidYaml("ours"));
  this->platform.Drain();
  this->WriteRow("damaged");
  this->RunReadInterval(this->one);
  EXPECT_EQ(this->one.repository.Current().version, 1U);
  EXPECT_EQ(this->one.repository.ReadAge(), Milliseconds{ 1000 })
    << "The row may hold a document that withdraws keys.";
}

TEST_F(DocumentRepositoryTest, HistoryLongerThanOnePageIsListedCompletely)
{
  constexpr std::uint64_t kVersions = 2500;
  Transaction transaction;
  for (std::uint64_t version = 1; version <= kVersions; ++version) {
    transaction.writes.push_back(
      { .key = HistoryKey(version), .value = EncodeAcceptedDocument({ .version = version }) });
  }
  this->one.table.Commit(std::move(transaction), [](const Result<CommitOutcome>&) {});
  this->platform.Drain();
  std::vector<DocumentVersion> versions;
  this->one.repository.ListVersions([&versions](Result<std::vector<DocumentVersion>> aVersions) {
    versions = std::move(ValueOf(aVersions));
  });
  this->platform.Drain();
  ASSERT_EQ(versions.size(), kVersions);
  EXPECT_EQ(versions.back().version, kVersions);
}

TEST_F(DocumentRepositoryTest, AcceptanceWithUnavailableTableIsRejectedWithoutEffect)
{
  this->platform.SetAvailability(MemoryAvailability::Down);
  this->one.Accept(0, ValidYaml("ours"));
  this->platform.Drain();
  ASSERT_EQ(this->one.results.size(), 1U);
  ASSERT_TRUE(IsError(this->one.results.front()));
  EXPECT_EQ(ErrorOf(this->one.results.front()).run, RunState::NotRun);
  EXPECT_TRUE(this->platform.Rows().empty());
  EXPECT_EQ(this->one.repository.ReadAge(), std::nullopt);
}

}
}
