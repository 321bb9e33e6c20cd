#include "NoticeCheck.h"

namespace gwt::test {

namespace {

const std::string callerPrefix = "caller-";
/// Well within the time for which a server that is leaving goes on serving.
constexpr Milliseconds leavingMargin{1000};
constexpr Milliseconds pauseMargin{500};
constexpr int maxRequestsInPause = 2;
/// Time in which a reply reaches a gateway, on a busy machine.
constexpr Milliseconds replyTime{250};

} // namespace

NoticeCheck::NoticeCheck(const std::vector<std::unique_ptr<SoakGateway>> &gateways,
                         std::vector<std::string> &violations)
    : m_gateways(gateways)
    , m_violations(violations)
{ }

const SoakGateway &NoticeCheck::gatewayOf(const ServerRequest &request) const
{
    const std::string id(request["X-Request-Id"]);
    return *m_gateways.at(std::stoul(id.substr(callerPrefix.size())) % m_gateways.size());
}

void NoticeCheck::record(const std::string &backend, const ServerRequest &request,
                         const Notice &notice)
{
    ++m_notices;
    if (notice.proxy->hasPassedSince(notice.statedAt - replyTime))
        m_stated.emplace(Key(backend, &gatewayOf(request)), notice);
}

void NoticeCheck::recordLeaving(const std::string &backend, const ServerRequest &request,
                                const LoopbackProxy &proxy)
{
    record(backend, request, {Clock::now(), Duration::zero(), &proxy});
}

void NoticeCheck::recordPause(const std::string &backend, const ServerRequest &request,
                              Duration pause, const LoopbackProxy &proxy)
{
    record(backend, request, {Clock::now(), pause, &proxy});
}

bool NoticeCheck::isBinding(const Notice &notice, const SoakGateway &gateway)
{
    return gateway.interruptedAt() < notice.statedAt - replyTime
        && notice.proxy->hasPassedSince(notice.statedAt);
}

void NoticeCheck::checkRequest(const std::string &backend, const ServerRequest &request)
{
    const TimePoint now = Clock::now();
    const SoakGateway &gateway = gatewayOf(request);
    const auto [first, last] = m_stated.equal_range(Key(backend, &gateway));
    for (auto it = first; it != last; ++it) {
        Notice &notice = it->second;
        if (!isBinding(notice, gateway))
            continue;
        const bool isLeaving = notice.pause == Duration::zero();
        const Duration age = now - notice.statedAt;
        const bool isTooLate
            = isLeaving ? age > leavingMargin : age > pauseMargin && age < notice.pause;
        if (!isTooLate)
            continue;
        ++notice.requests;
        if (isLeaving || notice.requests > maxRequestsInPause) {
            const auto ageMs = std::chrono::duration_cast<Milliseconds>(age);
            m_violations.push_back(backend + (isLeaving ? " is leaving" : " wants no requests")
                                   + " and got one of " + gateway.name() + " "
                                   + std::to_string(ageMs.count())
                                   + " ms later: " + std::string(request["X-Request-Id"]));
        }
    }
}

void NoticeCheck::forget(const std::string &backend)
{
    std::erase_if(m_stated, [&](const auto &each) { return each.first.first == backend; });
}

} // namespace gwt::test
