#include <LibDocument/Names.h>
#include <LibDocument/Parser.h>
#include <LibDocument/VerifierRules.h>
#include <LibYaml/MappingReader.h>
#include <LibYaml/YamlNode.h>

#include <fmt/format.h>
#include <string_view>
#include <unordered_set>

namespace zinc {

namespace {

using namespace detail;

constexpr IntegerRange kAmountRange{ .min = 0, .max = 1'000'000'000'000 };
constexpr NumberRange kShareRange{ .min = 0.0, .max = 1'000'000.0, .excludesMin = true };
constexpr NumberRange kFractionRange{ .min = 0.0, .max = 1.0 };
/// One week.
constexpr IntegerRange kDeadlineRange{ .min = 1, .max = 604'800'000 };
constexpr IntegerRange kPreemptAfterRange{ .min = 0, .max = 604'800'000 };
constexpr IntegerRange kMaxQueuedRange{ .min = 1, .max = 1'000'000 };
constexpr IntegerRange kMaxAttemptsRange{ .min = 1, .max = 100 };
constexpr IntegerRange kMaxPreemptionsRange{ .min = 0, .max = 100 };

/// Identifiers seen so far in one section.
using Names = std::unordered_set<std::string>;

/// Reads the sections of a document in the order of their references.
class DocumentReader
{
public:
  DocumentReader(const YamlNode& aRoot, Faults& aFaults)
    : root(aRoot, "", aFaults)
  {
  }

  Document Read()
  {
    this->ReadSection("workspaces", &DocumentReader::ReadWorkspace);
    this->ReadSection("teams", &DocumentReader::ReadTeam);
    this->ReadSection("keys", &DocumentReader::ReadKey);
    this->ReadSection("queues", &DocumentReader::ReadQueue);
    this->root.ReadMapping("placement", Presence::Required, [this](MappingReader& aReader) {
      this->ReadPlacement(aReader);
    });
    this->root.RefuseUnknownKeys();
    return std::move(this->document);
  }

private:
  using ItemReader = void (DocumentReader::*)(MappingReader&);

  /// A section is required even if empty, so that a truncated text is not taken for a deletion.
  void ReadSection(std::string_view aKey, ItemReader aItemReader)
  {
    this->root.ReadMappings(aKey, Presence::Required, [this, aItemReader](MappingReader& aReader) {
      (this->*aItemReader)(aReader);
    });
  }

  void ReadWorkspace(MappingReader& aReader)
  {
    Workspace workspace;
    ReadId(aReader, workspace.id.value, this->workspaces);
    this->document.workspaces.push_back(std::move(workspace));
  }

  void ReadTeam(MappingReader& aReader)
  {
    Team team;
    ReadId(aReader, team.id.value, this->teams);
    ReadReference(aReader, "workspace", team.workspace.value, this->workspaces);
    aReader.ReadNumber("share", Presence::Optional, kShareRange, team.share);
    aReader.ReadMapping("limit", Presence::Required, [&team](MappingReader& aLimit) {
      ReadResources(aLimit, team.limit);
    });
    this->document.teams.push_back(std::move(team));
  }

  void ReadKey(MappingReader& aReader)
  {
    Key key;
    ReadId(aReader, key.id.value, this->keys);
    ReadReference(aReader, "team", key.team.value, this->teams);
    aReader.ReadText("salt", Presence::Required, kSaltRule, key.salt);
    aReader.ReadText("hash", Presence::Required, kHashRule, key.hash);
    this->document.keys.push_back(std::move(key));
  }

  void ReadQueue(MappingReader& aReader)
  {
    Queue queue;
    ReadId(aReader, queue.id.value, this->queues);
    aReader.ReadChoice("access", Presence::Required, kQueueAccessNames, queue.access);
    this->ReadQueueTeams(aReader, queue);
    aReader.ReadChoice("class", Presence::Required, kWorkClassNames, queue.workClass);
    aReader.ReadChoice("urgent", Presence::Optional, kUrgencyNames, queue.urgency);
    aReader.ReadChoice("idempotent", Presence::Optional, kIdempotenceNames, queue.idempotence);
    aReader.ReadChoice("reach", Presence::Optional, kQueueReachNames, queue.reach);
    Milliseconds deadline{ 0 };
    if (aReader.ReadMilliseconds("deadline_ms", Presence::Optional, kDeadlineRange, deadline)) {
      queue.deadline = deadline;
    }
    aReader.ReadInteger("max_queued", Presence::Optional, kMaxQueuedRange, queue.maxQueued);
    aReader.ReadNumber("retry_budget", Presence::Optional, kFractionRange, queue.retryBudget);
    ReadMaxAttempts(aReader, queue);
    this->document.queues.push_back(std::move(queue));
  }

  void ReadQueueTeams(MappingReader& aReader, Queue& aQueue)
  {
    Names listed;
    aReader.ReadTexts(
      "teams", Presence::Optional, kNameRule, [&](std::string_view aTeam, int aLine) {
        this->CheckQueueTeam(aReader, aTeam, aLine, listed);
        aQueue.teams.push_back({ std::string(aTeam) });
      });
    if (aQueue.access == QueueAccess::Open && aQueue.teams.size() != 1) {
      aReader.AddFaultAt(
        "teams", "an open queue must name the team that is charged", "a list of exactly one team");
    }
  }

  void CheckQueueTeam(MappingReader& aReader, std::string_view aTeam, int aLine, Names& aListed)
  {
    const std::string name(aTeam);
    const std::string path = aReader.Path() + ".teams";
    if (!this->teams.contains(name)) {
      AddFault(aReader.FaultList(),
               { .line = aLine,
                 .path = path,
                 .message = fmt::format("there is no team {}", name),
                 .expected = "the id of a team of this document" });
    }
    if (!aListed.insert(name).second) {
      AddFault(aReader.FaultList(),
               { .line = aLine,
                 .path = path,
                 .message = fmt::format("team {} is listed twice", name),
                 .expected = "each team once" });
    }
  }

  static void ReadMaxAttempts(MappingReader& aReader, Queue& aQueue)
  {
    const bool repeatable = aQueue.idempotence == Idempotence::Idempotent;
    if (!repeatable) {
      aQueue.maxAttempts = 1;
    }
    const bool read = aReader.ReadInteger(
      "max_attempts", Presence::Optional, kMaxAttemptsRange, aQueue.maxAttempts);
    if (read && !repeatable && aQueue.maxAttempts != 1) {
      aReader.AddFaultAt(
        "max_attempts", "work that is not idempotent is started at most once", "1");
    }
  }

  static void ReadResources(MappingReader& aReader, Resources& aResources)
  {
    aReader.ReadInteger("milli_cores", Presence::Required, kAmountRange, aResources.milliCores);
    aReader.ReadInteger("memory_mib", Presence::Required, kAmountRange, aResources.memoryMiB);
    aReader.ReadInteger("accelerators", Presence::Optional, kAmountRange, aResources.accelerators);
    aReader.ReadInteger("slots", Presence::Required, kAmountRange, aResources.slots);
  }

  void ReadPlacement(MappingReader& aReader)
  {
    PlacementPolicy& policy = this->document.placement;
    ReadClassPolicy(aReader, "check", policy.check);
    ReadClassPolicy(aReader, "batch", policy.batch);
    ReadClassPolicy(aReader, "all_at_once", policy.allAtOnce);
    ReadClassPolicy(aReader, "service", policy.service);
    aReader.ReadMilliseconds(
      "preempt_after_ms", Presence::Optional, kPreemptAfterRange, policy.preemptAfter);
    aReader.ReadInteger(
      "max_preemptions", Presence::Optional, kMaxPreemptionsRange, policy.maxPreemptions);
    aReader.ReadNumber(
      "max_quarantined", Presence::Optional, kFractionRange, policy.maxQuarantined);
  }

  static void ReadClassPolicy(MappingReader& aReader, std::string_view aKey, ClassPolicy& aPolicy)
  {
    aReader.ReadMapping(aKey, Presence::Optional, [&aPolicy](MappingReader& aClass) {
      aClass.ReadChoice("strategy", Presence::Optional, kStrategyNames, aPolicy.strategy);
      aClass.ReadChoice("spread", Presence::Optional, kSpreadNames, aPolicy.spread);
    });
  }

  static void ReadId(MappingReader& aReader, std::string& aId, Names& aNames)
  {
    const bool read = aReader.ReadText("id", Presence::Required, kNameRule, aId);
    if (read && !aNames.insert(aId).second) {
      aReader.AddFaultAt("id", fmt::format("id {} appears twice", aId), "an id used once");
    }
  }

  static void ReadReference(MappingReader& aReader,
                            std::string_view aKey,
                            std::string& aId,
                            const Names& aNames)
  {
    const bool read = aReader.ReadText(aKey, Presence::Required, kNameRule, aId);
    if (read && !aNames.contains(aId)) {
      aReader.AddFaultAt(aKey,
                         fmt::format("there is no {} {}", aKey, aId),
                         fmt::format("the id of a {} of this document", aKey));
    }
  }

  MappingReader root;
  Document document;
  Names workspaces;
  Names teams;
  Names keys;
  Names queues;
};

}

std::variant<Document, Faults>
ParseDocument(std::string_view aYaml)
{
  auto tree = ParseYaml(aYaml, { .maxBytes = kMaxDocumentBytes });
  if (std::holds_alternative<Faults>(tree)) {
    return std::get<Faults>(std::move(tree));
  }
  Faults faults;
  Document document = DocumentReader(std::get<YamlNode>(tree), faults).Read();
  if (!faults.empty()) {
    return faults;
  }
  return document;
}

}
