#include <LibLimits/QuotaManager.h>
#include <LibLimits/TeamQuota.h>
#include <LibLimits/TeamQuotaRow.h>

#include <algorithm>
#include <map>

namespace zinc {

namespace {

constexpr std::size_t kRowsPerPage = 100;

/// A row together with its team.
struct TeamAndRow
{
  TeamId team;
  TeamQuotaRow row;
};

/// Reads the rows of all teams, page by page.
class RowLister : public std::enable_shared_from_this<RowLister>
{
public:
  using Handler = std::function<void(Result<std::vector<TeamAndRow>>)>;

  RowLister(Table& aTable, Handler aHandler)
    : table(aTable)
    , handler(std::move(aHandler))
  {
  }

  void ListAfter(std::string aKey)
  {
    ListRequest request{ .prefix = std::string(kTeamQuotaKeyPrefix),
                         .after = std::move(aKey),
                         .limit = kRowsPerPage };
    this->table.List(std::move(request), [self = this->shared_from_this()](const auto& aResult) {
      self->OnPage(aResult);
    });
  }

private:
  void OnPage(const Result<std::vector<Row>>& aResult)
  {
    if (IsError(aResult)) {
      this->handler(ErrorOf(aResult));
      return;
    }
    const std::vector<Row>& page = ValueOf(aResult);
    for (const Row& row : page) {
      Result<TeamQuotaRow> decoded = DecodeTeamQuotaRow(row.value);
      if (IsError(decoded)) {
        this->handler(ErrorOf(decoded));
        return;
      }
      this->rows.push_back({ .team = TeamFromKey(row.key), .row = std::move(ValueOf(decoded)) });
    }
    if (page.size() < kRowsPerPage) {
      this->handler(std::move(this->rows));
      return;
    }
    this->ListAfter(page.back().key);
  }

  Table& table;
  Handler handler;
  std::vector<TeamAndRow> rows;
};

std::vector<QuotaHolder>
CollectHolders(const std::vector<TeamAndRow>& aRows)
{
  std::map<EntryId, std::vector<TeamId>> teams;
  for (const TeamAndRow& named : aRows) {
    for (const Grant& grant : named.row.grants) {
      teams[grant.holder].push_back(named.team);
    }
  }
  std::vector<QuotaHolder> holders;
  for (auto& [entry, teamsOfEntry] : teams) {
    holders.push_back({ .entry = entry, .teams = std::move(teamsOfEntry) });
  }
  return holders;
}

/// Calls a handler after the given number of operations has finished.
struct CompletionCounter
{
  std::size_t pendingCount = 0;
  QuotaManager::Handler<Done> handler;

  void Finish()
  {
    if (--this->pendingCount == 0) {
      this->handler(Done{});
    }
  }
};

}

struct QuotaManager::State : std::enable_shared_from_this<QuotaManager::State>
{
  detail::QuotaContext context;
  std::map<TeamId, std::shared_ptr<detail::TeamQuota>> teams;
  std::map<TeamId, Resources> limits;
  std::uint64_t documentVersion = 0;

  explicit State(detail::QuotaContext aContext)
    : context(std::move(aContext))
  {
  }

  detail::TeamQuota& FindOrCreate(const TeamId& aTeam)
  {
    auto& quota = this->teams[aTeam];
    if (!quota) {
      quota = std::make_shared<detail::TeamQuota>(this->context, aTeam);
      quota->SetLimit(this->documentVersion, this->FindLimit(aTeam));
    }
    return *quota;
  }

  [[nodiscard]] Resources FindLimit(const TeamId& aTeam) const
  {
    const auto found = this->limits.find(aTeam);
    return found == this->limits.end() ? Resources{} : found->second;
  }

  void ListRows(RowLister::Handler aHandler)
  {
    ++this->context.statistics.reads;
    const auto guarded = [weak = this->weak_from_this(),
                          handler = std::move(aHandler)](Result<std::vector<TeamAndRow>> aResult) {
      if (weak.lock()) {
        handler(std::move(aResult));
      }
    };
    std::make_shared<RowLister>(this->context.environment.table, guarded)->ListAfter({});
  }

  void ReleaseGrants(const EntryId& aHolder,
                     const std::vector<QuotaHolder>& aHolders,
                     Handler<Done> aHandler)
  {
    const auto holder = std::ranges::find(aHolders, aHolder, &QuotaHolder::entry);
    if (holder == aHolders.end()) {
      aHandler(Done{});
      return;
    }
    auto counter = std::make_shared<CompletionCounter>(
      CompletionCounter{ .pendingCount = holder->teams.size(), .handler = std::move(aHandler) });
    for (const TeamId& team : holder->teams) {
      this->FindOrCreate(team).ReleaseGrants(aHolder,
                                             [counter](const Result<Done>&) { counter->Finish(); });
    }
  }
};

Result<std::unique_ptr<QuotaManager>>
QuotaManager::Create(QuotaOptions aOptions, QuotaEnvironment aEnvironment)
{
  if (aOptions.self.IsEmpty()) {
    return NotRun(ErrorCode::BadRequest, "the name of the entry instance is empty");
  }
  if (aOptions.policy.quantaPerLimit <= 0 || aOptions.policy.headroomFraction < 0.0 ||
      aOptions.minWriteInterval <= Milliseconds(0) || aOptions.writeBurst < 1.0) {
    return NotRun(ErrorCode::BadRequest,
                  "quota option out of range: quantaPerLimit, headroomFraction, minWriteInterval "
                  "or writeBurst");
  }
  const std::uint64_t seed = aOptions.seed;
  detail::QuotaContext context{ .options = std::move(aOptions),
                                .environment = aEnvironment,
                                .random = pcg64(seed) };
  return std::unique_ptr<QuotaManager>(
    new QuotaManager(std::make_shared<State>(std::move(context))));
}

QuotaManager::QuotaManager(std::shared_ptr<State> aState)
  : state(std::move(aState))
{
}

QuotaManager::~QuotaManager() = default;

void
QuotaManager::SetLimits(std::uint64_t aDocumentVersion, std::span<const Team> aTeams)
{
  if (aDocumentVersion <= this->state->documentVersion) {
    return;
  }
  this->state->documentVersion = aDocumentVersion;
  this->state->limits.clear();
  for (const Team& team : aTeams) {
    this->state->limits[team.id] = team.limit;
  }
  for (const auto& [team, quota] : this->state->teams) {
    quota->SetLimit(aDocumentVersion, this->state->FindLimit(team));
  }
}

void
QuotaManager::ReportUsage(const TeamId& aTeam, const TeamUsage& aUsage)
{
  this->state->FindOrCreate(aTeam).ReportUsage(aUsage);
}

Resources
QuotaManager::UsableQuota(const TeamId& aTeam) const
{
  const auto found = this->state->teams.find(aTeam);
  return found == this->state->teams.end() ? Resources{} : found->second->UsableQuota();
}

void
QuotaManager::Adopt(const TeamId& aTeam,
                    const EntryId& aFrom,
                    const Resources& aAmount,
                    Handler<Done> aHandler)
{
  this->state->FindOrCreate(aTeam).Adopt(aFrom, aAmount, std::move(aHandler));
}

void
QuotaManager::Forfeit(const TeamId& aTeam, const Resources& aAmount)
{
  this->state->FindOrCreate(aTeam).Forfeit(aAmount);
}

void
QuotaManager::SettleForfeited(const TeamId& aTeam, const Resources& aAmount)
{
  this->state->FindOrCreate(aTeam).SettleForfeited(aAmount);
}

void
QuotaManager::Invalidate()
{
  for (const auto& [team, quota] : this->state->teams) {
    quota->Invalidate();
  }
}

void
QuotaManager::OnHint(const TeamId& aTeam, QuotaHint aHint)
{
  const auto found = this->state->teams.find(aTeam);
  if (found != this->state->teams.end()) {
    found->second->OnHint(aHint);
  }
}

void
QuotaManager::ReleaseGrants(const EntryId& aHolder, Handler<Done> aHandler)
{
  this->state->ListRows(
    [this, aHolder, handler = std::move(aHandler)](const Result<std::vector<TeamAndRow>>& aResult) {
      if (IsError(aResult)) {
        handler(ErrorOf(aResult));
        return;
      }
      this->state->ReleaseGrants(aHolder, CollectHolders(ValueOf(aResult)), handler);
    });
}

void
QuotaManager::ListHolders(Handler<std::vector<QuotaHolder>> aHandler)
{
  this->state->ListRows(
    [handler = std::move(aHandler)](const Result<std::vector<TeamAndRow>>& aResult) {
      if (IsError(aResult)) {
        handler(ErrorOf(aResult));
        return;
      }
      handler(CollectHolders(ValueOf(aResult)));
    });
}

void
QuotaManager::Tick()
{
  for (const auto& [team, quota] : this->state->teams) {
    quota->Tick();
  }
}

const QuotaStatistics&
QuotaManager::Statistics() const
{
  return this->state->context.statistics;
}

}
