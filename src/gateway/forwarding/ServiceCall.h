#pragma once

#include "gateway/forwarding/ForwardingContext.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace gwt {

/// \brief How the call of a service ended.
struct ServiceReply
{
    std::optional<WireResponse> response; ///< a success, or the last failure that a server sent
    bool isSuccess = false;
    bool mayHaveRun = false; ///< some backend server may have begun to work on it
    std::string reason; ///< of a call without success, as metric label
};

/// \brief Gets the answer of one service to a request: the first send, second sends, retries.
///
/// A request that may run once is sent again only if the earlier send is proven not to have run.
class ServiceCall : public std::enable_shared_from_this<ServiceCall>
{
public:
    using Handler = std::function<void(ServiceReply)>;

    ServiceCall(ForwardingContext &context, const RequestPlan &plan, std::string service,
                Handler handler);

    /// \brief Sends the request; the handler may run before this returns.
    void start();
    /// \brief Sends it to one more backend server if a send is out for \a age or longer.
    void hedge(Duration age);
    /// \brief Nobody waits for the answer; what was sent runs on.
    void detach();
    /// \brief Nobody waits any more and nothing further is sent; cancel() may follow.
    void abandon();
    /// \brief Drops what was sent and closes its connections.
    void cancel();
    bool isOpen() const { return static_cast<bool>(m_handler); }
    const std::string &service() const { return m_service; }
    int sends() const { return m_sends; }
    /// \brief True if some backend server may have begun to work on it, or still may.
    bool mayHaveRun() const;
    /// \brief The backend servers that were asked, separated by commas.
    std::string asked() const;

private:
    bool maySend() const;
    /// \brief Sends to any backend server that was not tried, or \a only to one.
    void send(const std::string &only = {});
    void onReply(const std::shared_ptr<Leg> &leg, LegReply reply);
    bool retry(const LegReply &reply);
    void retryLater();
    bool retryOverLimit(const LegReply &reply, TimePoint now);
    void finish(ServiceReply reply);
    bool isSuccess(const WireResponse &response) const;
    bool takeRepeat(RetryKind kind, TimePoint now);
    void countRepeat(const std::string &kind);

    ForwardingContext &m_context;
    const RequestPlan m_plan;
    ServicePool &m_pool;
    const std::string m_service;
    Handler m_handler; ///< empty once the call has ended
    std::vector<std::shared_ptr<Leg>> m_legs; ///< those that have not ended
    std::vector<std::string> m_tried;
    std::vector<std::string> m_asked; ///< for logs: every server that got a send
    std::optional<WireResponse> m_failure; ///< the last error response of a server
    std::string m_reason = "no_server";
    TimerQueue::Id m_retryTimer;
    int m_runs = 0; ///< sends that count as attempts of the route
    bool m_mayHaveRun = false; ///< some send is not proven not to have run
    int m_sends = 0;
};

} // namespace gwt
