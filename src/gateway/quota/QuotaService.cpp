#include "gateway/quota/QuotaService.h"

#include "common/Sleep.h"
#include "gateway/sharing/MemberReaper.h"
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
/// Between two calls of a holder to each of its voters; a quarter of the lifetime of a vote.
constexpr Milliseconds voteInterval{275};
constexpr Milliseconds probeTimeout{300}; ///< above the time that a busy small host needs
/// Above the age of a proof while the store answers: two watches of 2 s each. A process with an
/// older one has lost the store, perhaps like all others, and takes no lease over.
constexpr Milliseconds recentProofAge{4500};
/// Age of its proof from which a holder lets a process that can prove the leases take over.
constexpr Milliseconds losingProofAge{5000};
/// Age of the list of members from which a host that is cut off uses no standing rights.
constexpr Duration maxMemberAge = MemberReaper::s_minSilence * 3 / 4;
/// Age of the list of members from which a host checks whether it is cut off.
constexpr Duration suspectMemberAge = MemberReaper::s_minSilence / 2;
const std::string probeId = "quota-probe";

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

QuotaService::QuotaService(boost::asio::io_context &context, QuotaOptions options,
                           LeaseStore &store, PeerClient &peers, Metrics &metrics)
    : m_executor(context.get_executor())
    , m_options(std::move(options))
    , m_store(store)
    , m_peers(peers)
    , m_log(metrics)
    , m_tree(m_options.self.name)
    , m_votes(m_options.leases)
    , m_electorate(m_options.leases, m_options.self, m_votes)
    , m_voter(m_options.leases, Clock::now())
{
    const LeaseKeeper::Identity self{m_options.self.name, m_options.incarnation};
    for (std::size_t i = 0; i < quotaRangeCount; ++i)
        m_ranges[i].keeper = std::make_unique<LeaseKeeper>(m_options.leases, self, i, m_votes);
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
    m_electorate.setMembers(members);
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
    const std::vector<std::string> names = candidates(0, now);
    const bool isCandidate = contains(names, m_options.self.name);
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
        for (const std::string &name : names)
            checkHost(name);
    }
    if (!isWatching) {
        if (m_stateAge() > suspectMemberAge)
            askForVotes(now);
        return;
    }
    // Without contact to the store a write would only fail, again and again.
    const bool reachesStore = now - m_store.provenAt() <= recentProofAge;
    for (std::size_t i = 0; i < quotaRangeCount; ++i) {
        LeaseKeeper &keeper = *m_ranges[i].keeper;
        keeper.setCandidates(names);
        keeper.setVoters(m_electorate.voters(now), m_electorate.isIsolated(now));
        withdrawOwnVote(i, now);
        if (const auto lease = reachesStore ? keeper.beginWrite(now) : std::nullopt)
            takeOver(i, *lease);
        else if (reachesStore)
            updateVoters(i, now);
        m_log.recordGrantState(i, keeper.grantState(m_store.provenAt(), now));
    }
    probeHosts(names, now);
}

void QuotaService::probeHosts(const std::vector<std::string> &candidates, TimePoint now)
{
    std::set<std::string> hosts;
    if (now - m_probedAt >= probeInterval) {
        m_probedAt = now;
        hosts.insert(candidates.begin(), candidates.end());
        for (const Range &range : m_ranges)
            hosts.insert(range.keeper->hostToProbe());
    }
    const bool asksForVotes = askForVotes(now);
    for (const Range &range : m_ranges) {
        const LeaseKeeper &keeper = *range.keeper;
        const bool asksVoters
            = keeper.isHolder() ? asksForVotes : !keeper.challengedProcess().empty();
        if (asksVoters)
            hosts.insert(keeper.voters().begin(), keeper.voters().end());
    }
    for (const std::string &host : hosts)
        checkHost(host);
}

bool QuotaService::askForVotes(TimePoint now)
{
    if (now - m_votesAskedAt < voteInterval)
        return false;
    m_votesAskedAt = now;
    for (const std::string &host : m_electorate.prospects(now))
        checkHost(host);
    return true;
}

bool QuotaService::mayUseRights(TimePoint now) const
{
    return m_stateAge() < maxMemberAge || !m_electorate.isIsolated(now);
}

void QuotaService::withdrawOwnVote(std::size_t range, TimePoint now)
{
    LeaseKeeper &keeper = *m_ranges[range].keeper;
    const std::string process = keeper.challengedProcess();
    if (!process.empty() && contains(keeper.voters(), m_options.self.name)
        && tryWithdraw(keeper.holder(), process, now))
        keeper.onWithdrawal(m_options.self.name, process, now);
}

bool QuotaService::tryWithdraw(const std::string &host, const std::string &incarnation,
                               TimePoint now)
{
    if (m_voter.withdraw(host, incarnation, now))
        return true;
    checkHost(host);
    return false;
}

void QuotaService::updateVoters(std::size_t range, TimePoint now)
{
    Range &held = m_ranges[range];
    if (!held.keeper->grantsFrom())
        return;
    const auto voters
        = m_electorate.replacement(held.keeper->voters(), now - held.votersChangedAt, now);
    const auto lease = voters ? held.keeper->beginRenewal(*voters) : std::nullopt;
    if (!lease)
        return;
    held.votersChangedAt = now;
    renew(range, *lease);
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
    const wire::QuotaRequest request = buildProbe(host, sentAt);
    const CancelToken cancel;
    const auto outcome = co_await callPeer<wire::QuotaReply>(
        m_peers, remote, s_path, request, probeId, sentAt + probeTimeout, cancel);
    m_probedHosts.erase(host);
    // The address may have passed to another host.
    const bool isOther
        = isOk(outcome) && !valueOf(outcome).host().empty() && valueOf(outcome).host() != host;
    onProbeReply(host, isOk(outcome) && !isOther ? &valueOf(outcome) : nullptr, sentAt);
}

wire::QuotaRequest QuotaService::buildProbe(const std::string &host, TimePoint now) const
{
    wire::QuotaRequest request;
    request.set_caller_incarnation(m_options.incarnation);
    if (!m_isWatching)
        return request;
    request.set_takes_over(now - m_store.provenAt() <= recentProofAge);
    for (const Range &range : m_ranges) {
        const std::string process = range.keeper->challengedProcess();
        if (process.empty() || !contains(range.keeper->voters(), host))
            continue;
        wire::SilentHolder &holder = *request.add_withdraw_from();
        holder.set_host(range.keeper->holder());
        holder.set_incarnation(process);
    }
    return request;
}

void QuotaService::onProbeReply(const std::string &host, const wire::QuotaReply *reply,
                                TimePoint sentAt)
{
    const TimePoint now = Clock::now();
    m_voter.recordProbe(host, reply != nullptr, now);
    if (reply)
        m_tree.recordSuccess(host);
    else
        m_tree.recordFailure(host, Duration::zero(), now);
    if (reply && reply->votes())
        m_votes.record(host, sentAt);
    else
        m_electorate.recordFailure(host, sentAt);
    for (std::size_t i = 0; i < quotaRangeCount; ++i) {
        LeaseKeeper &keeper = *m_ranges[i].keeper;
        if (!reply) {
            keeper.onProbe(host, ProbeResult::NoReply, sentAt, now);
            continue;
        }
        for (const std::string &process : reply->withdrawn_from())
            keeper.onWithdrawal(host, process, sentAt);
        const bool isReplaced
            = !reply->host().empty() && hasReplacedHolder(i, host, reply->incarnation());
        const bool hasYielded
            = reply->outcome() == wire::QuotaReply::YIELDED && keeper.holder() == host;
        keeper.onProbe(host, isReplaced || hasYielded ? ProbeResult::Ended : ProbeResult::Reached,
                       sentAt, now);
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
        m_log.recordHolder(i, *m_ranges[i].keeper);
    }
}

void QuotaService::takeOver(std::size_t range, const Lease &lease)
{
    m_ranges[range].votersChangedAt = Clock::now();
    m_store.write(quotaLeaseName(range), lease, [this, range](const Outcome<Lease> &outcome) {
        LeaseKeeper &keeper = *m_ranges[range].keeper;
        const bool isRetaken = keeper.mayRetake() && m_ranges[range].ledger;
        const TimePoint now = Clock::now();
        keeper.onWritten(isOk(outcome) ? std::optional(valueOf(outcome)) : std::nullopt, now);
        if (!isOk(outcome)) {
            m_log.recordMissed(range, errorOf(outcome).reason);
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
        m_log.recordHolder(range, keeper);
        if (from)
            m_log.recordTakeover(range, keeper, now);
    });
}

void QuotaService::renew(std::size_t range, const Lease &lease)
{
    m_store.write(quotaLeaseName(range), lease, [this, range](const Outcome<Lease> &outcome) {
        LeaseKeeper &keeper = *m_ranges[range].keeper;
        keeper.onWritten(isOk(outcome) ? std::optional(valueOf(outcome)) : std::nullopt,
                         Clock::now());
        if (isOk(outcome))
            m_leases[quotaLeaseName(range)] = valueOf(outcome);
        if (m_isStopping)
            release(range);
        m_log.recordRenewal(range, keeper, isOk(outcome) ? "written" : errorOf(outcome).reason);
    });
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
    const bool isOther = !host.empty() && host != m_options.self.name;
    if (isOther && m_probedHosts.insert(host).second)
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
    reply.set_host(m_options.self.name);
    reply.set_incarnation(m_options.incarnation);
    reply.set_outcome(wire::QuotaReply::UNKNOWN);
    const TimePoint now = Clock::now();
    if (request.team().empty()) {
        if (!request.caller_incarnation().empty())
            reply.set_votes(m_voter.vote(request.caller_incarnation(), now));
        for (const wire::SilentHolder &holder : request.withdraw_from()) {
            if (tryWithdraw(holder.host(), holder.incarnation(), now))
                reply.add_withdrawn_from(holder.incarnation());
        }
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
