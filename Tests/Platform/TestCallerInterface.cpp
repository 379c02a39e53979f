#include <gtest/gtest.h>
#include <platform/CallerInterface.h>

namespace zinc::platform::test {

namespace {

/// An instance whose results the test sets.
class ScriptedCaller final : public cell::CallerPort
{
public:
  [[nodiscard]] std::shared_ptr<const cell::CellPolicy> Policy() const override
  {
    return this->policy;
  }
  [[nodiscard]] bool IsReady() const override { return this->policy != nullptr; }
  void Submit(const cell::JobSpecification& aSpec, cell::Handler<Done> aHandler) override
  {
    this->submitted.push_back(aSpec);
    aHandler(this->submitResult);
  }
  void QueryStatus(const JobId&,
                   const WorkspaceId& aWorkspace,
                   cell::Handler<cell::CallerJobState> aHandler) override
  {
    this->workspace = aWorkspace;
    aHandler(this->statusResult);
  }
  void Cancel(const JobId&, const WorkspaceId&, cell::Handler<cell::CancelResult> aHandler) override
  {
    aHandler(this->cancelResult);
  }
  [[nodiscard]] Result<std::uint64_t> CountPendingJobs(const QueueId&) const override
  {
    return Result<std::uint64_t>(std::uint64_t{ 12 });
  }

  std::shared_ptr<cell::CellPolicy> policy;
  std::vector<cell::JobSpecification> submitted;
  Result<Done> submitResult = Done{};
  Result<cell::CallerJobState> statusResult = cell::CallerJobState::Succeeded;
  Result<cell::CancelResult> cancelResult = cell::CancelResult::Recorded;
  WorkspaceId workspace;
};

class CallerInterfaceTest : public testing::Test
{
protected:
  CallerInterfaceTest()
  {
    this->caller.policy = std::make_shared<cell::CellPolicy>();
    cell::QueueRoute route{ .host = "h", .pathPrefix = "/q/" };
    route.queue.name = { "queue" };
    this->caller.policy->AddRoute(route);
    route.pathPrefix = "/open/";
    route.isPublic = true;
    this->caller.policy->AddRoute(route);
    this->caller.policy->workspaceByApiKey["key"] = { "team" };
  }

  OutgoingResponse Call(RequestMethod aMethod,
                        const std::string& aPath,
                        const std::string& aKey = "key",
                        const std::string& aBody = R"({"Phases":[{"Count":1}]})")
  {
    OutgoingResponse response;
    IncomingRequest request{ .method = aMethod, .path = aPath, .bearer = aKey, .host = "h" };
    request.body = aBody;
    this->interface.Handle(
      request, [&response](OutgoingResponse aResponse) { response = std::move(aResponse); });
    return response;
  }

  ScriptedCaller caller;
  Logger log{ { .level = LogLevel::Error } };
  MetricRegistry metrics;
  CallerInterface interface {
    {
      .caller = this->caller, .log = this->log, .metrics = this->metrics,
      .wallClock = [] { return cell::WallTime{}; }
    }
  };
};

const std::string kJob = "/q/0123456789abcdef";

}

TEST_F(CallerInterfaceTest, AcceptsAJobForTheWorkspaceOfItsKey)
{
  EXPECT_EQ(this->Call(RequestMethod::Post, kJob).status, 200U);
  ASSERT_EQ(this->caller.submitted.size(), 1U);
  EXPECT_EQ(this->caller.submitted[0].workspace.value, "team");
  EXPECT_EQ(this->caller.submitted[0].id.value, "0123456789abcdef");
}

TEST_F(CallerInterfaceTest, RejectsUnauthorizedAndMalformedRequests)
{
  EXPECT_EQ(this->Call(RequestMethod::Post, kJob, "other").status, 401U);
  EXPECT_EQ(this->Call(RequestMethod::Post, kJob, "").status, 401U);
  EXPECT_EQ(this->Call(RequestMethod::Post, "/none/0123456789abcdef").status, 404U);
  EXPECT_EQ(this->Call(RequestMethod::Post, "/q/short").status, 400U);
  EXPECT_EQ(this->Call(RequestMethod::Post, kJob, "key", "nonsense").status, 400U);
  EXPECT_TRUE(this->caller.submitted.empty());
  EXPECT_EQ(this->Call(RequestMethod::Post, "/open/0123456789abcdef", "").status, 200U);
}

TEST_F(CallerInterfaceTest, RejectsAllRequestsBeforeTheDocumentIsRead)
{
  this->caller.policy = nullptr;
  EXPECT_EQ(this->Call(RequestMethod::Post, kJob).status, 503U);
  OutgoingResponse readiness;
  this->interface.HandleReadiness(
    {}, [&readiness](OutgoingResponse aResponse) { readiness = aResponse; });
  EXPECT_EQ(readiness.status, 503U);
}

TEST_F(CallerInterfaceTest, RespondsWithARejectionOnlyIfTheJobNeverRuns)
{
  this->caller.submitResult = NotRun(ErrorCode::Unavailable, "away", Milliseconds{ 1000 });
  const auto rejected = this->Call(RequestMethod::Post, kJob);
  EXPECT_EQ(rejected.status, 503U);
  EXPECT_EQ(rejected.retryAfter, Milliseconds{ 1000 });
  // A job that the admission gate refuses.
  this->caller.submitResult = NotRun(ErrorCode::Overloaded, "full", Milliseconds{ 4321 });
  const auto refused = this->Call(RequestMethod::Post, kJob);
  EXPECT_EQ(refused.status, 429U);
  EXPECT_EQ(refused.retryAfter, Milliseconds{ 4321 });
  // An id that was cancelled before: it makes no sense to come back.
  this->caller.submitResult = cell::CancelledBeforeSubmission();
  const auto cancelled = this->Call(RequestMethod::Post, kJob);
  EXPECT_EQ(cancelled.status, 503U);
  EXPECT_FALSE(cancelled.retryAfter.has_value());
  this->caller.submitResult = MayHaveRun(ErrorCode::Timeout, "lost");
  EXPECT_EQ(this->Call(RequestMethod::Post, kJob).status, 504U);
}

TEST_F(CallerInterfaceTest, ReportsTheStateOfAJob)
{
  EXPECT_EQ(this->Call(RequestMethod::Fetch, kJob).body, R"({"State":"done"})");
  EXPECT_EQ(this->caller.workspace.value, "team");
  this->caller.statusResult = NotRun(ErrorCode::NotFound, "none");
  EXPECT_EQ(this->Call(RequestMethod::Fetch, kJob).status, 410U);
  this->caller.statusResult = NotRun(ErrorCode::Unavailable, "away");
  EXPECT_EQ(this->Call(RequestMethod::Fetch, kJob).status, 503U);
  EXPECT_EQ(this->Call(RequestMethod::Fetch, "/q/").body, R"({"Waiting":12})");
}

TEST_F(CallerInterfaceTest, CancelsAJob)
{
  EXPECT_EQ(this->Call(RequestMethod::Delete, kJob).status, 200U);
  this->caller.cancelResult = cell::CancelResult::UnknownJob;
  EXPECT_EQ(this->Call(RequestMethod::Delete, kJob).status, 410U);
  // Too many unknown ids: nothing was done.
  this->caller.cancelResult = NotRun(ErrorCode::Overloaded, "full", Milliseconds{ 4321 });
  const auto refused = this->Call(RequestMethod::Delete, kJob);
  EXPECT_EQ(refused.status, 429U);
  EXPECT_EQ(refused.retryAfter, Milliseconds{ 4321 });
}

}
