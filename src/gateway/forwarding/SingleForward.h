#pragma once

#include "gateway/forwarding/ServiceCall.h"

namespace gwt {

/// \brief Forwards one request to a service and returns the response to the caller.
class SingleForward : public std::enable_shared_from_this<SingleForward>
{
public:
    SingleForward(ForwardingContext &context, RequestPlan plan, std::string service);

    void start();

private:
    void onReply(ServiceReply reply);
    void answer(const WireResponse &response);
    /// \brief Fails the request with 504 if it may have run, else with 503.
    void giveUp(const std::string &reason);
    void fail(unsigned status, const std::string &reason);
    void scheduleHedge();
    void onCallerDisconnected();
    void stopTimers();

    ForwardingContext &m_context;
    const RequestPlan m_plan;
    const std::string m_service;
    std::shared_ptr<ServiceCall> m_call;
    bool m_isEnded = false;
    TimerQueue::Id m_hedgeTimer;
    TimerQueue::Id m_deadlineTimer;
};

} // namespace gwt
