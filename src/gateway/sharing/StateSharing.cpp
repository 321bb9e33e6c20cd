#include "gateway/sharing/StateSharing.h"

#include "common/Log.h"
#include "common/Sleep.h"
#include "common/StoreRevision.h"
#include "peer/PeerCodec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace gwt {

namespace {

const std::string statePath = "/gateway/state";
const std::string requestId = "state";

constexpr Milliseconds connectTimeout{300};
/// Timeout of a poll that does not wait for an update; exceeds the connect timeout.
constexpr Milliseconds probeTimeout{400};
/// Interval at which a watcher checks whether it still has to be one.
constexpr Milliseconds watchCheckInterval{500};
/// Time after the start in which a source must prove to be current, in a large fleet. Otherwise
/// this process follows the registry, because without a configuration it refuses all requests.
constexpr Milliseconds startGrace{1800};
/// Up to this many members, each process follows the registry as it starts: if the whole fleet has
/// just started, its sources become current too late, and the calls are few.
constexpr std::size_t smallFleetSize = 12;
/// Pause after a poll that got no current reply.
constexpr Milliseconds failurePause{50};

/// Age of a proof for the log; -1 if there is none.
Milliseconds provenAge(TimePoint provenAt, TimePoint now)
{
    if (provenAt == TimePoint())
        return Milliseconds(-1);
    return std::chrono::duration_cast<Milliseconds>(now - provenAt);
}

} // namespace

StateSharing::StateSharing(asio::io_context &context, SharingOptions options, FleetState &state,
                           RegistryFeed &feed, Metrics &metrics)
    : m_options(std::move(options))
    , m_executor(context.get_executor())
    , m_state(state)
    , m_feed(feed)
    , m_metrics(metrics)
    , m_pollsFailed(metrics.counter("gwt_gateway_polls_failed_total",
                                    "Questions to other processes that got no useful answer"))
    , m_registryAge(metrics.gauge("gwt_gateway_registry_age_seconds",
                                  "Time since the state was last proved to be complete"))
    , m_tree(m_options.self.name)
    , m_reaper(m_options.self.name)
    , m_client(m_executor, connectTimeout)
    , m_server(m_executor)
    , m_staleAfter(m_options.limits.staleAfter(1))
{ }

Outcome<Endpoint> StateSharing::start()
{
    std::function<Task<wire::FleetStateReply>(wire::FleetStateRequest, PeerRequest)> handler
        = [this](wire::FleetStateRequest request, PeerRequest raw) {
              return serve(std::move(request), std::move(raw));
          };
    m_server.route(statePath, peerHandler(std::move(handler)));
    Outcome<Endpoint> bound = m_server.listen(m_options.self.peer);
    if (!isOk(bound))
        return bound;
    m_state.setUpdateHandler([this] { onUpdate(); });
    m_joinedAt = Clock::now();
    m_feed.join([this] { m_hasJoined = true; });
    spawn(m_executor, run());
    spawn(m_executor, reapMembers());
    return bound;
}

void StateSharing::onUpdate()
{
    for (asio::steady_timer &waiter : m_pendingPolls)
        waiter.cancel();
    logNewConfig(Clock::now());
    const std::vector<FleetMember> &members = m_state.members();
    // Sorting all members costs more than most updates, so it is done only if they changed.
    const std::uint64_t revision = m_state.memberRevision();
    if (std::exchange(m_memberRevision, revision) != revision) {
        m_tree.setMembers(members);
        m_reaper.setMembers(members);
    }
    checkMembership(Clock::now());
}

void StateSharing::checkMembership(TimePoint now)
{
    const std::vector<FleetMember> &members = m_state.members();
    if (members.empty())
        return;
    // Members stay listed when the store has returned from a copy without their registration.
    const std::uint64_t era = storeEraOf(m_state.memberRevision());
    if (era > std::exchange(m_memberEra, era).value_or(era))
        m_isRejoinDue = true;
    const bool isMember = std::any_of(members.begin(), members.end(), [&](const auto &member) {
        return member.name == m_options.self.name;
    });
    if ((isMember && !m_isRejoinDue) || now - m_joinedAt < m_options.minJoinInterval)
        return;
    m_isRejoinDue = false;
    if (!isMember)
        logWarning("membership_lost", {{"members", members.size()}});
    m_joinedAt = now;
    m_feed.rejoin();
}

Task<void> StateSharing::reapMembers()
{
    for (;;) {
        co_await sleepFor(MemberReaper::s_probeInterval);
        const TimePoint now = Clock::now();
        const auto member = m_tree.isCoordinator(now) && m_feed.isCurrent()
            ? m_reaper.nextMember(now)
            : std::nullopt;
        if (!member)
            continue;
        const wire::FleetStateRequest request = m_state.buildRequest(Milliseconds(0));
        const CancelToken cancel;
        const TimePoint deadline
            = now + m_options.limits.pollWait() + FreshnessLimits::s_replyMargin;
        const auto reply = co_await callPeer<wire::FleetStateReply>(
            m_client, member->peer, statePath, request, requestId, deadline, cancel);
        if (!m_reaper.recordProbe(member->name, isOk(reply), Clock::now()))
            continue;
        logWarning("member_removed", {{"member", member->name}});
        m_feed.deregister(member->name);
    }
}

std::vector<FleetMember> StateSharing::sources(TimePoint now) const
{
    std::vector<FleetMember> sources = m_tree.sources(now);
    if (!sources.empty() || m_feed.isCurrent())
        return sources;
    // A watcher that has lost the registry polls the other watchers.
    sources = m_tree.fallbackSources(now);
    if (!sources.empty())
        return sources;
    for (const Endpoint &seed : m_options.seeds) {
        if (seed != m_options.self.peer)
            sources.push_back({toString(seed), seed, ""});
    }
    return sources;
}

TimePoint StateSharing::provenAt() const
{
    return std::max(m_sourceProvenAt, m_feed.provenAt());
}

void StateSharing::logNewConfig(TimePoint now)
{
    const std::uint64_t version = m_state.configVersion();
    if (version == m_loggedVersion)
        return;
    logInfo("config_received",
            {{"version", version},
             {"previous", m_loggedVersion},
             {"source", m_updateSource.empty() ? "registry" : m_updateSource},
             {"proven_ms_ago", provenAge(provenAt(), now).count()}});
    m_loggedVersion = version;
}

void StateSharing::logFreshness(TimePoint now)
{
    const Milliseconds age = provenAge(provenAt(), now);
    if (age.count() >= 0)
        m_registryAge.Set(std::chrono::duration<double>(age).count());
    const bool isOutdated = m_loggedVersion > 0 && age > m_options.limits.updateLimit();
    if (isOutdated == std::exchange(m_isOutdated, isOutdated))
        return;
    if (isOutdated)
        logWarning("state_outdated",
                   {{"version", m_loggedVersion},
                    {"proven_ms_ago", age.count()},
                    {"is_watcher", m_isWatching ? "yes" : "no"}});
    else
        logInfo("state_current", {{"version", m_loggedVersion}});
}

void StateSharing::setWatching(bool isWatching, const char *reason)
{
    if (isWatching == m_isWatching)
        return;
    m_isWatching = isWatching;
    logInfo("registry_watch",
            {{"is_watcher", isWatching ? "yes" : "no"},
             {"reason", reason},
             {"members", m_state.members().size()},
             {"proven_ms_ago", provenAge(provenAt(), Clock::now()).count()}});
    if (isWatching)
        m_feed.startWatching();
    else
        m_feed.stopWatching();
}

Task<void> StateSharing::run()
{
    while (!m_hasJoined)
        co_await sleepFor(FreshnessLimits::s_batchPause);
    if (m_state.members().size() > smallFleetSize)
        m_takeoverFrom = Clock::now() + startGrace;
    for (;;) {
        const TimePoint now = Clock::now();
        const std::vector<FleetMember> candidates = sources(now);
        m_staleAfter = m_options.limits.staleAfter(std::max(1, m_tree.hops(now)));
        const bool isWatcher = m_tree.isWatcher(now);
        // Without a current source, this process follows the registry until there is one.
        const bool isStale = now >= takeoverAt();
        const char *reason = isStale ? "stale" : "current";
        setWatching(isWatcher || isStale, isWatcher ? "order" : reason);
        logFreshness(now);
        // A store that returns from an older copy loses registrations that were made just before.
        // No further update may come once they are due again.
        if (storeEraOf(m_state.memberRevision()) > 0)
            checkMembership(now);
        if (candidates.empty()) {
            co_await sleepFor(watchCheckInterval);
            continue;
        }
        const FleetMember &source = candidates[m_nextSource++ % candidates.size()];
        PollResult result = co_await pollSource(source);
        if (result == PollResult::Incomplete)
            result = co_await pollSource(source);
        const bool isCurrent = result == PollResult::Current;
        co_await sleepFor(isCurrent ? FreshnessLimits::s_batchPause : failurePause);
    }
}

TimePoint StateSharing::takeoverAt() const
{
    return std::max(m_sourceProvenAt + m_staleAfter, m_takeoverFrom);
}

Duration StateSharing::pollTimeout(TimePoint now) const
{
    if (m_isSearching)
        return probeTimeout;
    const Duration longest = m_options.limits.pollWait() + FreshnessLimits::s_replyMargin;
    // A poll that lasts longer would delay the takeover.
    return m_isWatching ? longest : std::clamp<Duration>(takeoverAt() - now, probeTimeout, longest);
}

Task<StateSharing::PollResult> StateSharing::pollSource(FleetMember source)
{
    const TimePoint polledAt = Clock::now();
    const Duration timeout = pollTimeout(polledAt);
    const Duration wait = std::max(timeout - FreshnessLimits::s_replyMargin, Duration::zero());
    const wire::FleetStateRequest request
        = m_state.buildRequest(std::chrono::duration_cast<Milliseconds>(wait));
    const TimePoint deadline = polledAt + timeout;
    const CancelToken cancel;
    const auto reply = co_await callPeer<wire::FleetStateReply>(
        m_client, source.peer, statePath, request, requestId, deadline, cancel);
    const TimePoint now = Clock::now();
    m_isSearching = !isOk(reply);
    if (!isOk(reply)) {
        m_pollsFailed.Increment();
        const auto waited = std::chrono::duration_cast<Milliseconds>(now - polledAt);
        logInfo("source_silent",
                {{"source", source.name},
                 {"reason", errorOf(reply).reason},
                 {"waited_ms", waited.count()},
                 {"proven_ms_ago", provenAge(provenAt(), now).count()}});
        m_tree.recordFailure(source.name, now - polledAt, now);
        co_return PollResult::Outdated;
    }
    m_updateSource = source.name;
    const bool isComplete = m_state.apply(valueOf(reply), now);
    m_updateSource.clear();
    const Milliseconds age(valueOf(reply).registry_age_ms());
    if (isComplete)
        m_sourceProvenAt = std::max(m_sourceProvenAt, now - age);
    if (valueOf(reply).has_lost_registry()) {
        // Excluded, so that the members after it move up and follow the registry in its place.
        m_pollsFailed.Increment();
        logInfo("source_outdated", {{"source", source.name}, {"registry_age_ms", age.count()}});
        m_tree.recordFailure(source.name, Duration::zero(), now);
        co_return PollResult::Outdated;
    }
    m_tree.recordSuccess(source.name);
    if (!isComplete)
        co_return PollResult::Incomplete;
    co_return age <= m_staleAfter ? PollResult::Current : PollResult::Outdated;
}

Task<void> StateSharing::waitForUpdate(Duration limit)
{
    m_pendingPolls.emplace_back(m_executor, limit);
    const auto waiter = std::prev(m_pendingPolls.end());
    co_await waiter->async_wait(asTuple);
    m_pendingPolls.erase(waiter);
}

void StateSharing::countSentBytes(const wire::FleetStateReply &reply)
{
    const std::size_t config = reply.has_config() ? reply.config().ByteSizeLong() : 0;
    std::size_t backends = 0;
    for (const auto &change : reply.changes())
        backends += change.ByteSizeLong();
    std::size_t members = 0;
    for (const auto &member : reply.members())
        members += member.ByteSizeLong();
    const std::array<std::pair<const char *, std::size_t>, 3> parts{
        {{"configuration", config}, {"backends", backends}, {"members", members}}};
    for (const auto &[part, bytes] : parts) {
        if (bytes == 0)
            continue;
        m_metrics
            .counter("gwt_gateway_told_bytes_total", "Bytes of news told to other processes",
                     {{"part", part}})
            .Increment(static_cast<double>(bytes));
    }
}

Task<wire::FleetStateReply> StateSharing::serve(wire::FleetStateRequest request, PeerRequest)
{
    // A process without a configuration has just started and gets its state soon.
    const bool isStale = m_feed.isLost()
        || (registryAge(Clock::now()) > m_staleAfter && m_state.configVersion() > 0);
    if (!isStale && !m_state.hasUpdates(request)) {
        const Milliseconds requestedWait(request.wait_ms());
        co_await waitForUpdate(std::min(requestedWait, m_options.limits.pollWait()));
    }
    const TimePoint now = Clock::now();
    wire::FleetStateReply reply = m_state.buildReply(request, registryAge(now), now);
    reply.set_has_lost_registry(m_isWatching && m_feed.isLost());
    countSentBytes(reply);
    co_return reply;
}

} // namespace gwt
