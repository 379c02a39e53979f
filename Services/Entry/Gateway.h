#pragma once

/// @file
/// The HTTP interface for callers and operators, as documented in docs/interface.md.

#include "Entry.h"
#include <LibTraffic/HttpServer.h>
#include <string>
#include <string_view>

namespace zinc {

/// Routes HTTP requests to the entry and writes its answers as responses. Requests are parsed on
/// traffic threads; the state of the entry is used on the control thread only.
class Gateway
{
public:
  /// @param aEntry and @param aControl must outlive the gateway
  Gateway(Entry& aEntry, boost::asio::io_context& aControl);

  /// Handles one request; called on a traffic thread.
  void Handle(IncomingRequest aRequest, Respond aRespond);

private:
  /// A request with the function that sends its response.
  struct Exchange
  {
    IncomingRequest request;
    Respond respond;
    /// The rest of the path after the route's prefix, e.g. a request id.
    std::string pathParameter;
  };

  using Handler = void (Gateway::*)(Exchange);

  /// Which credentials a route requires.
  enum class Access : std::uint8_t
  {
    Anyone,
    /// The API key of a team, which the handler checks; open queues need none.
    Caller,
    /// An operator's key, which @ref Handle checks.
    Operator,
  };

  struct Route
  {
    RequestMethod method;
    std::string_view path;
    /// True if @ref path is a prefix that a path parameter follows.
    bool hasPathParameter;
    Access access;
    Handler handler;
  };

  static const Route kRoutes[];

  /// @param aPathParameter receives the path parameter if the route has one
  /// @return null if no route matches the request's method and path.
  [[nodiscard]] const Route* FindRoute(const IncomingRequest& aRequest,
                                       std::string& aPathParameter) const;
  /// Runs a function on the control thread.
  void PostToControl(std::function<void()> aFunction);
  [[nodiscard]] Result<KeyId> AuthenticateOperator(const IncomingRequest& aRequest) const;

  void SubmitJob(Exchange aExchange);
  void AdmitJob(Exchange aExchange, Submission aSubmission);
  void QueryJob(Exchange aExchange);
  void CancelJob(Exchange aExchange);
  void ShowDocument(Exchange aExchange);
  void ShowHistory(Exchange aExchange);
  void PlanDocument(Exchange aExchange);
  void ReplaceDocument(Exchange aExchange);
  void GrantKey(Exchange aExchange);
  void WithdrawKey(Exchange aExchange);
  void ListWorkers(Exchange aExchange);
  void ListQueues(Exchange aExchange);
  void ListTeams(Exchange aExchange);
  void ListEntries(Exchange aExchange);
  void ShowMetrics(Exchange aExchange);
  void ShowHealth(Exchange aExchange);
  void ShowReadiness(Exchange aExchange);
  void ShowConsole(Exchange aExchange);

  /// Authenticates the caller of a request about a job.
  /// @return a submission with only the team and the request id set.
  [[nodiscard]] Result<Submission> IdentifyJob(const Exchange& aExchange) const;
  /// Responds with the state of a job.
  void RespondWithJob(const Respond& aRespond, const Result<JobAnswer>& aAnswer);
  /// Replaces document version @p aBase and responds once the zones have confirmed the new one.
  void AcceptDocument(std::uint64_t aBase, std::string aYaml, const Respond& aRespond);
  /// Waits for the zones to confirm a version and responds with the state of each.
  void RespondWhenConfirmed(const Respond& aRespond, std::uint64_t aVersion);

  Entry& entry;
  boost::asio::io_context& control;
};

}
