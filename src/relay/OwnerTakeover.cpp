#include "relay/OwnerTakeover.h"

#include "common/Log.h"
#include "daemon/RefusalCheck.h"
#include "membership/Ownership.h"
#include "peer/ConnectAttempt.h"
#include "peer/PeerCodec.h"

namespace gwt {

namespace {

constexpr Milliseconds checkInterval{20}; ///< between two checks of one member
constexpr Milliseconds connectTimeout{100};
constexpr Milliseconds confirmTimeout{100}; ///< of all calls to the host of the first owner
const std::string checkId = "refusal-check";

} // namespace

OwnerTakeover::OwnerTakeover(const ConfigHolder &config, const SliceOwnership &ownership,
                             ReachableMembers &members, PeerClient &peers, Metrics &metrics)
    : m_config(config)
    , m_ownership(ownership)
    , m_members(members)
    , m_peers(peers)
    , m_metrics(metrics)
{ }

Task<void> OwnerTakeover::check(std::string service)
{
    const std::optional<Member> first = precedingOwner(service);
    if (!first || m_members.wasMarkedEnded(*first) || !isDue(first->id, Clock::now()))
        co_return;
    if (!co_await refusesConnections(first->peerAddress, connectTimeout)) {
        countCheck("not_proven");
        co_return;
    }
    if (!co_await isRefusalConfirmed(*first)) {
        countCheck("not_confirmed");
        co_return;
    }
    if (!m_members.markEnded(*first, Clock::now()))
        co_return;
    countCheck("ended");
    logInfo("owner_ended", {{"member", first->id}, {"service", service}});
}

Task<bool> OwnerTakeover::isRefusalConfirmed(Member relay)
{
    const std::shared_ptr<const MemberList> members = m_members.members();
    wire::RefusalCheckRequest request;
    request.set_address(toString(relay.peerAddress));
    const TimePoint deadline = Clock::now() + confirmTimeout;
    for (const Member &member : *members) {
        const bool isNeighbor = member.host == relay.host && member.id != relay.id
            && member.state == MemberState::Alive;
        if (!isNeighbor)
            continue;
        const CancelToken cancel;
        const Endpoint remote = member.peerAddress;
        const auto reply = co_await callPeer<wire::RefusalCheckReply>(
            m_peers, remote, RefusalCheck::s_path, request, checkId, deadline, cancel);
        if (isOk(reply))
            co_return valueOf(reply).refuses();
    }
    co_return false;
}

std::optional<Member> OwnerTakeover::precedingOwner(const std::string &service) const
{
    const ConfigPtr config = m_config.current();
    const Service *known = config->service(service);
    if (!known || m_ownership.rankOf(known->slice, *config) != OwnerRank::Second)
        return std::nullopt;
    const std::vector<Member> owners = ownersOf(known->slice, config->zoneOfSlice(known->slice),
                                                Role::Relay, *m_members.members(), 1);
    if (owners.empty())
        return std::nullopt;
    return owners.front();
}

bool OwnerTakeover::isDue(const std::string &member, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    TimePoint &next = m_nextChecks[member];
    if (now < next)
        return false;
    next = now + checkInterval;
    return true;
}

void OwnerTakeover::countCheck(const char *outcome)
{
    m_metrics
        .counter("gwt_relay_owner_checks_total",
                 "Checks by a second owner whether the first has ended", {{"outcome", outcome}})
        .Increment();
}

} // namespace gwt
