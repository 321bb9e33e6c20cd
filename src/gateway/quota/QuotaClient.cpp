#include "gateway/quota/QuotaClient.h"

#include "common/Log.h"
#include "peer/PeerCodec.h"

#include <algorithm>

namespace gwt {

namespace {

/// After a call without a reply, requests are decided without a coordinator for so long, rather
/// than each of them waiting in vain.
constexpr Milliseconds silencePause{250};
constexpr int maxCalls = 3; ///< per request: a wrong host, the holder, and a holder that changed
const std::string callId = "quota";

QuotaDecision decisionOf(const wire::QuotaReply &reply)
{
    QuotaDecision decision;
    decision.excess = std::max(1.0, reply.excess());
    switch (reply.outcome()) {
    case wire::QuotaReply::GRANTED:
        decision.outcome = QuotaOutcome::Granted;
        break;
    case wire::QuotaReply::OVER_LIMIT:
        decision.outcome = QuotaOutcome::OverLimit;
        break;
    default:
        decision.outcome = QuotaOutcome::Unknown;
        break;
    }
    return decision;
}

} // namespace

QuotaClient::QuotaClient(boost::asio::io_context &context, const QuotaOptions &options,
                         QuotaService &service, PeerClient &peers, Metrics &metrics)
    : m_executor(context.get_executor())
    , m_self(options.self.name)
    , m_service(service)
    , m_peers(peers)
    , m_metrics(metrics)
    , m_rights(options.rules, options.self.name, Clock::now())
{ }

void QuotaClient::onMembers(const std::vector<FleetMember> &members)
{
    m_rights.setMembers(members);
    m_addresses.clear();
    for (const FleetMember &member : members)
        m_addresses[member.name] = member.peer;
}

void QuotaClient::count(const char *outcome)
{
    m_metrics
        .counter("gwt_gateway_quota_checks_total", "Checks of requests against quotas, by outcome",
                 {{"outcome", outcome}})
        .Increment();
}

QuotaDecision QuotaClient::unknown(const char *reason)
{
    count(reason);
    QuotaDecision decision;
    decision.outcome = QuotaOutcome::Unknown;
    decision.basis = reason;
    return decision;
}

void QuotaClient::acquire(const Team &team, TimePoint deadline, Handler handler)
{
    // A call takes a part of a short target, so rights are used first.
    const TimePoint now = Clock::now();
    if (m_service.mayUseRights(now) && m_rights.tryUse(team, now)) {
        count("standing");
        handler({});
        return;
    }
    const Coordinator &coordinator = m_coordinators[quotaRangeOf(team.name)];
    if (now < coordinator.silentUntil) {
        handler(unknown("silent"));
        return;
    }
    spawn(m_executor, ask(team, deadline, std::move(handler)));
}

Task<void> QuotaClient::ask(Team team, TimePoint deadline, Handler handler)
{
    const std::size_t range = quotaRangeOf(team.name);
    wire::QuotaRequest request;
    request.set_team(team.name);
    request.set_rate_per_second(team.quota.ratePerSecond);
    request.set_burst(team.quota.burst);
    request.set_config_version(m_configVersion);
    Coordinator &coordinator = m_coordinators[range];
    std::vector<std::string> hosts
        = m_service.candidates(range + coordinator.failures, Clock::now());
    if (!coordinator.host.empty())
        hosts.insert(hosts.begin(), coordinator.host);
    const char *reason = "no_coordinator";
    std::vector<std::string> asked;
    for (std::size_t i = 0; i < hosts.size() && asked.size() < maxCalls; ++i) {
        const std::string host = hosts[i];
        if (std::find(asked.begin(), asked.end(), host) != asked.end())
            continue;
        asked.push_back(host);
        wire::QuotaReply reply;
        if (host == m_self) {
            reply = m_service.handle(request);
        } else {
            const auto address = m_addresses.find(host);
            if (address == m_addresses.end())
                continue;
            const Endpoint remote = address->second;
            const CancelToken cancel;
            const auto outcome = co_await callPeer<wire::QuotaReply>(
                m_peers, remote, QuotaService::s_path, request, callId, deadline, cancel);
            if (!isOk(outcome)) {
                reason = "no_reply";
                m_service.checkHost(host);
                coordinator.host.clear();
                ++coordinator.failures;
                if (Clock::now() < deadline)
                    continue;
                break;
            }
            reply = valueOf(outcome);
        }
        if (reply.outcome() == wire::QuotaReply::NOT_HOLDER) {
            if (!reply.holder().empty())
                hosts.insert(hosts.begin() + static_cast<std::ptrdiff_t>(i) + 1, reply.holder());
            continue;
        }
        coordinator.host = host;
        if (reply.outcome() == wire::QuotaReply::UNKNOWN) {
            reason = "no_lease";
            coordinator.host.clear();
            continue;
        }
        // Concerns only this team, so the coordinator is asked for the others of the range.
        if (reply.outcome() == wire::QuotaReply::NOT_FILLED) {
            handler(unknown("not_filled"));
            co_return;
        }
        const QuotaDecision decision = decisionOf(reply);
        count(decision.outcome == QuotaOutcome::Granted ? "granted" : "over_limit");
        handler(decision);
        co_return;
    }
    coordinator.silentUntil = Clock::now() + silencePause;
    const QuotaDecision decision = unknown(reason);
    handler(decision);
}

} // namespace gwt
