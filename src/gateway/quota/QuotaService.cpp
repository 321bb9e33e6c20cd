#include "gateway/quota/QuotaService.h"

#include "common/Log.h"
#include "common/Sleep.h"
#include "peer/ConnectAttempt.h"
#include "peer/PeerCodec.h"

#include <algorithm>

namespace gwt {

namespace {

/// Between two looks at the leases; a fraction of the silence after which one is challenged.
constexpr Milliseconds tickInterval{100};
constexpr Milliseconds probeInterval{400};
/// Between two calls to each candidate. They keep a session open, so that requests need not wait
/// for a connect, and find out about a candidate that is lost.
constexpr Milliseconds sessionCheckInterval{5000};
constexpr Milliseconds probeTimeout{300}; ///< above the time that a busy small host needs
/// Above the age of a proof while the store answers: two watches of 2 s each. A process with an
/// older one has lost the store, perhaps like all others, and takes no lease over.
constexpr Milliseconds recentProofAge{4500};
/// Age of its proof from which a holder lets a process that can prove the leases take over.
constexpr Milliseconds losingProofAge{5000};
const std::string probeId = "quota-probe";

} // namespace

QuotaService::QuotaService(boost::asio::io_context &context, QuotaOptions options,
                           LeaseStore &store, PeerClient &peers, Metrics &metrics)
    : m_executor(context.get_executor())
    , m_options(std::move(options))
    , m_store(store)
    , m_peers(peers)
    , m_metrics(metrics)
    , m_tree(m_options.self.name)
{
    const LeaseKeeper::Identity self{m_options.self.name, m_options.incarnation};
    for (std::size_t i = 0; i < quotaRangeCount; ++i)
        m_ranges[i].keeper = std::make_unique<LeaseKeeper>(m_options.leases, self, i);
}

void QuotaService::onConfig(const RoutingConfig &config)
{
    m_isActive = std::any_of(config.teams.begin(), config.teams.end(),
                             [](const Team &team) { return team.quota.isLimited(); });
    runWhileActive();
}

void QuotaService::onMembers(const std::vector<FleetMember> &members)
{
    m_tree.setMembers(members);
    m_addresses.clear();
    for (const FleetMember &member : members)
        m_addresses[member.name] = member.peer;
}

void QuotaService::start()
{
    m_isStarted = true;
    runWhileActive();
}

void QuotaService::runWhileActive()
{
    if (m_isStarted && m_isActive && !std::exchange(m_isRunning, true))
        spawn(m_executor, run());
}

Task<void> QuotaService::run()
{
    // Without quotas the process is not woken up.
    while (m_isActive || m_isWatching) {
        co_await sleepFor(tickInterval);
        tick(Clock::now());
    }
    m_isRunning = false;
}

void QuotaService::tick(TimePoint now)
{
    if (!m_isActive && !m_isWatching)
        return;
    std::vector<std::string> names;
    for (const FleetMember &member : m_tree.watchers(now))
        names.push_back(member.name);
    const bool isCandidate
        = std::find(names.begin(), names.end(), m_options.self.name) != names.end();
    // A holder that others reach is not challenged, so it follows its lease until it is replaced.
    const bool isWatching = m_isActive && (isCandidate || isHolder()) && !m_isStopping;
    if (isWatching != std::exchange(m_isWatching, isWatching)) {
        if (isWatching)
            m_store.startWatching([this](const LeaseTable &leases,
                                         std::uint64_t revision) { onLeases(leases, revision); },
                                  [this] { onNewEra(); });
        else
            m_store.stopWatching();
    }
    if (m_isActive && now >= m_nextSessionCheck) {
        m_nextSessionCheck = now + sessionCheckInterval;
        for (const std::string &name : names) {
            if (name != m_options.self.name)
                checkHost(name);
        }
    }
    if (!isWatching)
        return;
    const bool isProbeDue = now - m_probedAt >= probeInterval;
    if (isProbeDue)
        m_probedAt = now;
    std::set<std::string> hosts;
    for (std::size_t i = 0; i < quotaRangeCount; ++i) {
        LeaseKeeper &keeper = *m_ranges[i].keeper;
        keeper.setCandidates(names);
        if (isProbeDue && !keeper.hostToProbe().empty())
            hosts.insert(keeper.hostToProbe());
        // Without contact to the store a write would only fail, again and again.
        const bool reachesStore = now - m_store.provenAt() <= recentProofAge;
        if (const auto lease = reachesStore ? keeper.beginWrite(now) : std::nullopt)
            write(i, *lease);
    }
    if (isProbeDue) {
        for (const std::string &name : names)
            hosts.insert(name);
        hosts.erase(m_options.self.name);
        for (const std::string &host : hosts)
            checkHost(host);
    }
}

bool QuotaService::hasReplacedHolder(std::size_t range, const std::string &host,
                                     const std::string &incarnation) const
{
    const auto lease = m_leases.find(quotaLeaseName(range));
    return lease != m_leases.end() && lease->second.holder == host
        && lease->second.incarnation != incarnation;
}

Task<void> QuotaService::probe(std::string host)
{
    const auto address = m_addresses.find(host);
    if (address == m_addresses.end()) {
        m_probedHosts.erase(host);
        co_return;
    }
    const Endpoint remote = address->second;
    const TimePoint sentAt = Clock::now();
    wire::QuotaRequest request;
    request.set_takes_over(m_isWatching && sentAt - m_store.provenAt() <= recentProofAge);
    const CancelToken cancel;
    const auto reply = co_await callPeer<wire::QuotaReply>(m_peers, remote, s_path, request,
                                                           probeId, sentAt + probeTimeout, cancel);
    ProbeResult result = ProbeResult::Reached;
    if (!isOk(reply)) {
        const bool hasEnded = co_await refusesConnections(remote, probeTimeout);
        result = hasEnded ? ProbeResult::Ended : ProbeResult::NoReply;
        m_tree.recordFailure(host, Duration::zero(), Clock::now());
    } else {
        m_tree.recordSuccess(host);
    }
    m_probedHosts.erase(host);
    const TimePoint now = Clock::now();
    const bool hasYielded = isOk(reply) && valueOf(reply).outcome() == wire::QuotaReply::YIELDED;
    for (std::size_t i = 0; i < quotaRangeCount; ++i) {
        LeaseKeeper &keeper = *m_ranges[i].keeper;
        const bool isReplaced
            = isOk(reply) && hasReplacedHolder(i, host, valueOf(reply).incarnation());
        const bool hasGivenUp = hasYielded && keeper.holder() == host;
        const ProbeResult rangeResult = isReplaced || hasGivenUp ? ProbeResult::Ended : result;
        keeper.onProbe(host, rangeResult, sentAt, now);
    }
}

void QuotaService::onNewEra()
{
    const TimePoint now = Clock::now();
    for (Range &range : m_ranges)
        range.keeper->onNewEra(m_store.provenAt(), now);
}

void QuotaService::onLeases(const LeaseTable &leases, std::uint64_t revision)
{
    m_leases = leases;
    const TimePoint now = Clock::now();
    for (std::size_t i = 0; i < quotaRangeCount; ++i) {
        const auto lease = leases.find(quotaLeaseName(i));
        const bool exists = lease != leases.end();
        m_ranges[i].keeper->onLease(exists ? std::optional(lease->second) : std::nullopt, revision,
                                    now);
        if (!m_ranges[i].keeper->grantsFrom() && !m_ranges[i].keeper->mayRetake())
            m_ranges[i].ledger.reset();
        logHolder(i);
    }
}

void QuotaService::write(std::size_t range, const Lease &lease)
{
    m_store.write(quotaLeaseName(range), lease, [this, range](const Outcome<Lease> &outcome) {
        LeaseKeeper &keeper = *m_ranges[range].keeper;
        const bool isRetaken = keeper.mayRetake() && m_ranges[range].ledger;
        keeper.onWritten(isOk(outcome) ? std::optional(valueOf(outcome)) : std::nullopt,
                         Clock::now());
        if (!isOk(outcome)) {
            logInfo("quota_lease_missed", {{"range", range}, {"reason", errorOf(outcome).reason}});
            return;
        }
        if (m_isStopping) {
            release(range);
            return;
        }
        m_leases[quotaLeaseName(range)] = valueOf(outcome);
        const auto from = keeper.grantsFrom();
        if (!from)
            m_ranges[range].ledger.reset();
        else if (!isRetaken)
            m_ranges[range].ledger.emplace(m_options.rules, *from);
        logHolder(range);
    });
}

void QuotaService::logHolder(std::size_t range)
{
    const LeaseKeeper &keeper = *m_ranges[range].keeper;
    if (std::exchange(m_ranges[range].knownHolder, keeper.holder()) == keeper.holder())
        return;
    m_metrics
        .counter("gwt_gateway_quota_holder_changes_total",
                 "Changes of the coordinator of a range of teams that this process has seen")
        .Increment();
    logInfo("quota_holder",
            {{"range", range},
             {"holder", keeper.holder()},
             {"term", keeper.term()},
             {"is_self", keeper.grantsFrom() ? "yes" : "no"}});
}

void QuotaService::stop()
{
    m_isStopping = true;
    for (std::size_t i = 0; i < quotaRangeCount; ++i) {
        m_ranges[i].ledger.reset();
        release(i);
    }
}

void QuotaService::release(std::size_t range)
{
    const auto lease = m_ranges[range].keeper->release();
    if (lease && m_isActive)
        m_store.write(quotaLeaseName(range), *lease, [](const Outcome<Lease> &) {});
}

std::vector<std::string> QuotaService::candidates(std::size_t range, TimePoint now) const
{
    std::vector<std::string> names;
    for (const FleetMember &member : m_tree.watchers(now))
        names.push_back(member.name);
    if (!names.empty())
        std::rotate(names.begin(),
                    names.begin() + static_cast<std::ptrdiff_t>(range % names.size()), names.end());
    return names;
}

void QuotaService::checkHost(const std::string &host)
{
    if (m_probedHosts.insert(host).second)
        spawn(m_executor, probe(host));
}

bool QuotaService::isHolder() const
{
    return std::any_of(m_ranges.begin(), m_ranges.end(),
                       [](const Range &range) { return range.keeper->isHolder(); });
}

bool QuotaService::isLosingProof(TimePoint now) const
{
    return isHolder() && now - m_store.provenAt() > losingProofAge;
}

wire::QuotaReply QuotaService::handle(const wire::QuotaRequest &request)
{
    wire::QuotaReply reply;
    reply.set_incarnation(m_options.incarnation);
    reply.set_outcome(wire::QuotaReply::UNKNOWN);
    const TimePoint now = Clock::now();
    if (request.team().empty()) {
        const bool isLosing = isLosingProof(now);
        if (isLosing && request.takes_over()) {
            for (Range &range : m_ranges) {
                range.keeper->yield();
                range.ledger.reset();
            }
            reply.set_outcome(wire::QuotaReply::YIELDED);
        } else if (!isLosing) {
            reply.set_outcome(wire::QuotaReply::GRANTED);
        }
        return reply;
    }
    Range &range = m_ranges[quotaRangeOf(request.team())];
    if (!range.ledger) {
        reply.set_outcome(wire::QuotaReply::NOT_HOLDER);
        if (range.keeper->holder() != m_options.self.name)
            reply.set_holder(range.keeper->holder());
        return reply;
    }
    if (!range.keeper->mayGrant(m_store.provenAt(), now))
        return reply;
    const TeamQuota quota{request.rate_per_second(), request.burst()};
    const QuotaDecision decision
        = range.ledger->take(request.team(), quota, request.config_version(), now);
    reply.set_excess(decision.excess);
    if (decision.outcome == QuotaOutcome::Granted)
        reply.set_outcome(wire::QuotaReply::GRANTED);
    else if (decision.outcome == QuotaOutcome::OverLimit)
        reply.set_outcome(wire::QuotaReply::OVER_LIMIT);
    else
        reply.set_outcome(wire::QuotaReply::NOT_FILLED);
    return reply;
}

} // namespace gwt
