#include "SoakBackend.h"

#include <array>

namespace gwt::test {

namespace {

constexpr std::size_t recordBytes = 16;
constexpr int recordsOfAShard = 6;
constexpr Milliseconds slowWork{300};
constexpr std::uint64_t shortWork = 6; ///< milliseconds at most
constexpr std::uint64_t longWork = 600; ///< milliseconds at most, at the service "long"
const std::string leavingField = "Server-Leaving: 1\r\n";
constexpr std::chrono::seconds sheddingPause{1};
constexpr std::uint64_t longestSurplusDelay = 30; ///< milliseconds; often behind the next request

} // namespace

SoakBackend::SoakBackend(boost::asio::io_context &context, TimerQueue &timers, std::string service,
                         std::string id, ExecutionCounts &runs, NoticeCheck &notices,
                         std::uint64_t seed)
    : m_service(std::move(service))
    , m_id(std::move(id))
    , m_executions(runs)
    , m_notices(notices)
    , m_random(seed)
    , m_server(context, timers, [this](const ServerRequest &request) { return answer(request); })
    , m_proxy(context, timers, m_server.endpoint())
{ }

std::string SoakBackend::records(const std::string &service, const std::string &id)
{
    RandomEngine random(std::hash<std::string>{}(service + id));
    std::string bytes;
    for (std::size_t i = 0; i < recordsOfAShard * recordBytes; ++i)
        bytes += static_cast<char>('a' + random() % 26);
    return bytes;
}

std::string SoakBackend::signature(const std::string &service, const std::string &id)
{
    return "signed." + service + "." + id;
}

ScriptedReply SoakBackend::endlessReply(const std::string &fields)
{
    const std::string filler(512, 'x');
    const std::string start = "HTTP/1.1 200 OK\r\n" + fields;
    const std::array<ScriptedReply, 3> replies{
        ScriptedReply{start, Duration::zero(), false, "X-Filler: " + filler + "\r\n"},
        ScriptedReply{start + "\r\n", Duration::zero(), false, filler},
        ScriptedReply{start + "Transfer-Encoding: chunked\r\n\r\n0\r\n", Duration::zero(), false,
                      "X-Filler: " + filler + "\r\n"}};
    return replies.at(m_random() % replies.size());
}

void SoakBackend::restart()
{
    ++m_born;
    m_isLeaving = false;
    m_notices.forget(m_id);
    m_server.closeAll();
}

ScriptedReply SoakBackend::refusal(const ServerRequest &request, int status, std::string fields)
{
    if (m_isLeaving) {
        fields += leavingField;
        m_notices.recordLeaving(m_id, request, m_proxy);
    }
    return {httpResponse(status, fields, "")};
}

ScriptedReply SoakBackend::answer(const ServerRequest &request)
{
    const std::string id(request["X-Request-Id"]);
    if (request["X-Target-Instance"] != m_id)
        return refusal(request, 421, "X-Instance-Id: " + m_id + "\r\n");
    m_notices.checkRequest(m_id, request);
    if (m_mode == Mode::Full)
        return refusal(request, 503, "X-Not-Executed: 1\r\n");
    if (m_mode == Mode::Sheds) {
        m_notices.recordPause(m_id, request, sheddingPause, m_proxy);
        return refusal(request, 503,
                       "X-Not-Executed: 1\r\nRetry-After: " + std::to_string(sheddingPause.count())
                           + "\r\n");
    }
    ++m_executions[id];
    m_onExecution(id);
    std::string fields = "X-Server-Stamp: " + signature(m_service, id) + "\r\nX-Request-Id: " + id
        + "\r\nX-Instance-Id: " + m_id + "\r\n";
    if (m_isLeaving) {
        fields += leavingField;
        if (m_mode == Mode::Serves || m_mode == Mode::Fails)
            m_notices.recordLeaving(m_id, request, m_proxy);
    }
    const std::string good = httpResponse(200, fields, records(m_service, id));
    const std::uint64_t longestWork = m_service == "long" ? longWork : shortWork;
    const Milliseconds work(1 + static_cast<int>(m_random() % longestWork));
    switch (m_mode) {
    case Mode::Slow:
        return {good, slowWork};
    case Mode::Fails:
        return {httpResponse(500, fields, "failed"), work};
    case Mode::RefusesAfterwards: {
        constexpr std::array<int, 3> statuses{408, 429, 503};
        return {httpResponse(statuses.at(m_random() % statuses.size()), fields, "failed"), work};
    }
    case Mode::LosesReplies:
        return {"", work, true};
    case Mode::RepeatsReplies:
        return {good + good, work};
    case Mode::SendsSurplus: {
        const std::string surplus = httpResponse(503, "X-Not-Executed: 1\r\n", "");
        const Milliseconds lateDelay(1 + static_cast<int>(m_random() % longestSurplusDelay));
        return {good, work, false, "", surplus, lateDelay};
    }
    case Mode::NeverEndsReplies:
        return endlessReply(fields);
    case Mode::Serves:
    case Mode::Full:
    case Mode::Sheds:
        break;
    }
    return {good, work};
}

} // namespace gwt::test
