#include "distribution/PullPolicy.h"

#include "distribution/WatcherSelection.h"

#include <algorithm>

namespace gwt {

namespace {

/// \brief Maximum number of peers that a daemon without a generation polls at once.
constexpr std::size_t maxQuorumPeers = 64;
/// \brief Mean interval between the store reads of the whole fleet while its information is stale.
constexpr Milliseconds fleetReadSpacing{50};

/// \brief Returns a random time from 0.5 to 1.5 times \a mean.
Milliseconds jittered(Milliseconds mean, RandomEngine &random)
{
    std::uniform_int_distribution<std::int64_t> jitter(mean.count() / 2, mean.count() * 3 / 2);
    return Milliseconds(jitter(random));
}

/// \brief Returns a random time from zero to twice the spacing for the reads of all \a members.
Milliseconds storeReadJitter(const MemberList &members, RandomEngine &random)
{
    const auto count = static_cast<std::int64_t>(members.size());
    std::uniform_int_distribution<std::int64_t> jitter(0, 2 * fleetReadSpacing.count() * count);
    return Milliseconds(jitter(random));
}

const Member &pickRandom(const MemberList &members, RandomEngine &random)
{
    std::uniform_int_distribution<std::size_t> index(0, members.size() - 1);
    return members[index(random)];
}

MemberList withoutSelf(const MemberList &members, const std::string &selfId)
{
    MemberList others;
    for (const Member &member : members) {
        if (member.id != selfId && member.state != MemberState::Dead)
            others.push_back(member);
    }
    return others;
}

} // namespace

PullPolicy::PullPolicy(DistributionOptions options)
    : m_options(std::move(options))
{ }

PullStep PullPolicy::pollPeer(const MemberList &others, const MemberList &watchers,
                              RandomEngine &random)
{
    const MemberList &from = m_prefersWatcher && !watchers.empty() ? watchers : others;
    m_prefersWatcher = !m_prefersWatcher;
    return {PullAction::PollPeer, {pickRandom(from, random)}};
}

PullStep PullPolicy::next(std::uint64_t generation, const MemberList &members, TimePoint now,
                          RandomEngine &random)
{
    if (!m_hasStarted) {
        m_hasStarted = true;
        postponeStoreRead(now, members, random);
    }
    if (now >= m_nextStoreRead) {
        postponeStoreRead(now, members, random);
        return {PullAction::ReadStore, {}};
    }
    MemberList others = withoutSelf(members, m_options.selfId);
    if (others.empty())
        return {};
    MemberList newer;
    for (const Member &member : others) {
        if (generation > 0 && member.generation > generation)
            newer.push_back(member);
    }
    if (newer.empty() && now < m_nextPoll)
        return {};
    m_nextPoll = now + jittered(m_options.peerInterval, random);
    if (!newer.empty())
        return {PullAction::PollPeer, {pickRandom(newer, random)}};
    if (generation == 0) {
        std::shuffle(others.begin(), others.end(), random);
        others.resize(std::min(others.size(), maxQuorumPeers));
        return {PullAction::PollQuorum, std::move(others)};
    }
    const MemberList watchers = withoutSelf(
        selectWatchers(m_options.availabilityZone, members, m_options.watchersPerZone),
        m_options.selfId);
    return pollPeer(others, watchers, random);
}

void PullPolicy::recordFreshness(TimePoint freshAt, const MemberList &members, RandomEngine &random)
{
    if (m_freshAt && freshAt <= *m_freshAt)
        return;
    m_freshAt = freshAt;
    postponeStoreRead(freshAt, members, random);
}

void PullPolicy::postponeStoreRead(TimePoint from, const MemberList &members, RandomEngine &random)
{
    const bool isAlone = members.empty();
    const Milliseconds interval = isAlone ? m_options.peerInterval : m_options.storeInterval;
    m_nextStoreRead = from + interval + storeReadJitter(members, random);
}

bool PullPolicy::isQuorum(std::size_t replies, std::size_t polled)
{
    return polled > 0 && replies * 2 > polled;
}

} // namespace gwt
