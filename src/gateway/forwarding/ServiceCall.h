#pragma once

#include "gateway/forwarding/ForwardingContext.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace gwt {

/// \brief Outcome of a ServiceCall.
struct ServiceReply
{
    std::optional<WireResponse> response; ///< a success, or the last error response
    bool isSuccess = false;
    bool mayHaveRun = false; ///< some backend server may have started to run the request
    std::string reason; ///< metric label; set if the call failed
};

/// \brief Sends a request to one service, with hedges and retries, and reports the outcome.
///
/// A non-idempotent request is sent again only if the earlier attempt is proven not to have run.
class ServiceCall : public std::enable_shared_from_this<ServiceCall>
{
public:
    using Handler = std::function<void(ServiceReply)>;

    ServiceCall(ForwardingContext &context, const RequestPlan &plan, std::string service,
                Handler handler);

    /// \brief Sends the request; the handler may run before this returns.
    void start();
    /// \brief Sends a hedge to another backend server if the only attempt has been in flight for
    /// \a minAge or longer.
    void hedge(Duration minAge);
    /// \brief Drops the handler and the queued attempts; attempts in flight run to completion.
    void detach();
    /// \brief Does the same as detach(), but cancel() can still stop the attempts in flight.
    void abandon();
    /// \brief Stops all attempts and closes their connections.
    void cancel();
    bool isPending() const { return static_cast<bool>(m_handler); }
    const std::string &service() const { return m_service; }
    int attemptCount() const { return m_attemptCount; }
    /// \brief True if some backend server may have started to run the request, or may still do so.
    bool mayHaveRun() const;
    /// \brief Ids of the backend servers that the request was sent to, separated by commas.
    std::string contactedServers() const;

private:
    bool maySend() const;
    /// \brief Sends to a backend server that was not tried yet, or to \a requiredServer if it is
    /// not empty.
    void send(const std::string &requiredServer = {});
    void onReply(const std::shared_ptr<BackendAttempt> &attempt, AttemptReply reply);
    bool retry(const AttemptReply &reply);
    void retryLater();
    bool retryAtConnectionLimit(const AttemptReply &reply, TimePoint now);
    void finish(ServiceReply reply);
    bool isSuccess(const WireResponse &response) const;
    bool spendRetryBudget(RetryKind kind, TimePoint now);
    void countRetry(const std::string &kind);

    ForwardingContext &m_context;
    const RequestPlan m_plan;
    ServicePool &m_pool;
    const std::string m_service;
    Handler m_handler; ///< empty once the call has ended
    std::vector<std::shared_ptr<BackendAttempt>> m_attempts; ///< not ended yet
    std::vector<std::string> m_triedServers;
    std::vector<std::string> m_contactedServers; ///< for logs, ended attempts only
    std::optional<WireResponse> m_lastError; ///< the last error response of a server
    std::string m_reason = "no_server";
    TimerQueue::Id m_retryTimer;
    int m_countedAttempts = 0; ///< ended attempts that count towards the route's maxAttempts
    bool m_mayHaveRun = false; ///< some ended attempt is not proven not to have run
    int m_attemptCount = 0;
};

} // namespace gwt
