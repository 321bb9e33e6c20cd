#include "SimulatedQuotaHost.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

namespace gwt {
namespace {

using namespace std::chrono_literals;
using test::SharedLease;
using test::SimulatedHost;

const TimePoint start{1h};
const QuotaRules rules = test::quotaRules;

Team makeTeam(const std::string &name, double rate)
{
    return {name, {}, std::nullopt, {rate, rate}};
}

/// Requests that may run in each window.
double boundOf(const TeamQuota &quota)
{
    return quota.ratePerSecond * 5 + quota.burst + rules.toleranceOf(quota);
}

/// What disturbs the fleet in one run.
struct FleetCase
{
    std::string name;
    bool cutsHosts = false;
    bool cutsStore = false;
    bool kills = false;
    bool pauses = false;
    bool restoresStore = false; ///< from copies that are up to 20 s old
    double hotFactor = 7.5;
    double minServed = 0; ///< share of the requests of the other teams that is granted
    bool cutsZones = false; ///< a host's whole zone rather than the host; also from the store
    bool cutsPairs = false; ///< with a host, the next one; the two reach each other
    bool cutsInbound = false; ///< calls to a host, but not those of the host
    /// Longest time in which no candidate grants; nullopt: not checked.
    std::optional<Duration> longestOutage = std::nullopt;
};

class QuotaFleetTest : public testing::TestWithParam<FleetCase>
{
protected:
    static constexpr int s_hosts = 73;
    static constexpr int s_teams = 79;
    static constexpr std::size_t s_candidates = 3;
    static constexpr Milliseconds s_step{10};

    QuotaFleetTest()
    {
        for (int i = 0; i < s_hosts; ++i) {
            m_members.push_back({"host-" + std::to_string(i), {}, "z" + std::to_string(i % 3)});
            m_hosts.push_back(std::make_unique<SimulatedHost>(m_members.back(), 0, start));
        }
        for (const auto &host : m_hosts)
            prepare(*host);
        m_teams.push_back(makeTeam("hot", 24));
        for (int i = 1; i < s_teams; ++i)
            m_teams.push_back(makeTeam("team-" + std::to_string(i), 5));
        m_ran.resize(m_teams.size());
    }

    void prepare(SimulatedHost &host)
    {
        host.rights.setMembers(m_members);
        host.electorate.setMembers(m_members);
        std::vector<std::string> candidates;
        for (std::size_t i = 0; i < s_candidates; ++i)
            candidates.push_back(m_members[i].name);
        host.keeper.setCandidates(candidates);
    }

    bool canCall(const SimulatedHost &from, const SimulatedHost &to) const
    {
        const bool isLinked = from.network == to.network && !to.isDeaf;
        return &from == &to || (isLinked && to.runs(m_now));
    }

    SimulatedHost &hostOf(const std::string &name)
    {
        for (const auto &host : m_hosts) {
            if (host->name == name)
                return *host;
        }
        return *m_hosts.front();
    }

    void runCandidate(SimulatedHost &host)
    {
        if (!host.runs(m_now))
            return;
        if (host.reachesStore) {
            if (host.provenAt != TimePoint() && storeEraOf(m_lease.revision()) > host.era)
                host.keeper.onNewEra(host.provenAt, m_now);
            host.era = storeEraOf(m_lease.revision());
            host.provenAt = m_now;
            host.keeper.onLease(m_lease.lease(), m_lease.revision(), m_now);
        }
        if (!host.keeper.grantsFrom() && !host.keeper.mayRetake())
            host.ledger.reset();
        if (m_now - host.probedAt >= 400ms) {
            host.probedAt = m_now;
            for (std::size_t i = 0; i < s_candidates; ++i)
                probe(host, *m_hosts[i]);
        }
        askVoters(host);
        host.keeper.setVoters(host.electorate.voters(m_now), host.electorate.isIsolated(m_now));
        const auto update = host.keeper.beginWrite(m_now);
        if (!update) {
            renewVoters(host);
            return;
        }
        host.votersChangedAt = m_now;
        const bool isRetaken = host.keeper.mayRetake() && host.ledger;
        host.keeper.onWritten(host.reachesStore ? m_lease.write(*update, m_now) : std::nullopt,
                              m_now);
        if (const auto from = host.keeper.grantsFrom(); from && !isRetaken)
            host.ledger.emplace(rules, *from);
    }

    void probe(SimulatedHost &from, SimulatedHost &to)
    {
        if (&from == &to)
            return;
        ProbeResult result = canCall(from, to) ? ProbeResult::Reached : ProbeResult::NoReply;
        const auto lease = m_lease.lease();
        const bool isReplaced
            = lease && lease->holder == to.name && lease->incarnation != to.incarnation;
        if (result == ProbeResult::Reached && isReplaced)
            result = ProbeResult::Ended;
        from.keeper.onProbe(to.name, result, m_now, m_now);
    }

    /// Asks for votes, or for withdrawals from a holder that does not answer.
    void askVoters(SimulatedHost &host)
    {
        const std::string challenged = host.keeper.challengedProcess();
        const Duration interval = challenged.empty() ? 280ms : 100ms;
        if (m_now - host.votersAskedAt < interval)
            return;
        host.votersAskedAt = m_now;
        std::vector<std::string> voters = host.keeper.voters();
        for (const std::string &prospect : host.electorate.prospects(m_now))
            voters.push_back(prospect);
        for (const std::string &name : voters) {
            SimulatedHost &voter = hostOf(name);
            if (&voter != &host && canCall(host, voter)
                && voter.voter.vote(host.incarnation, m_now))
                host.votes.record(name, m_now);
            else if (&voter != &host)
                host.electorate.recordFailure(name, m_now);
            if (challenged.empty() || !canCall(host, voter))
                continue;
            const std::string &holder = host.keeper.holder();
            voter.voter.recordProbe(holder, canCall(voter, hostOf(holder)), m_now);
            if (voter.voter.withdraw(holder, challenged, m_now))
                host.keeper.onWithdrawal(name, challenged, m_now);
        }
    }

    void renewVoters(SimulatedHost &host)
    {
        if (!host.keeper.grantsFrom())
            return;
        const auto voters = host.electorate.replacement(host.keeper.voters(),
                                                        m_now - host.votersChangedAt, m_now);
        const auto lease = voters ? host.keeper.beginRenewal(*voters) : std::nullopt;
        if (!lease)
            return;
        host.votersChangedAt = m_now;
        host.keeper.onWritten(host.reachesStore ? m_lease.write(*lease, m_now) : std::nullopt,
                              m_now);
    }

    /// Sends a request of a team to a host; true if it runs.
    bool request(std::size_t team, SimulatedHost &host)
    {
        if (!host.runs(m_now))
            return false;
        const Team &sender = m_teams[team];
        if (host.rights.tryUse(sender, m_now)) {
            recordRun(team);
            return true;
        }
        for (std::size_t i = 0; i < s_candidates; ++i) {
            SimulatedHost &coordinator = *m_hosts[i];
            if (!coordinator.ledger || !canCall(host, coordinator)
                || !coordinator.keeper.mayGrant(coordinator.provenAt, m_now))
                continue;
            const auto decision = coordinator.ledger->take(sender.name, sender.quota, 1, m_now);
            if (decision.outcome == QuotaOutcome::Unknown)
                continue;
            if (decision.outcome == QuotaOutcome::Granted)
                recordRun(team);
            return decision.outcome == QuotaOutcome::Granted;
        }
        return false;
    }

    bool hasCoordinator() const
    {
        return std::any_of(m_hosts.begin(), m_hosts.begin() + s_candidates, [&](const auto &host) {
            return host->runs(m_now) && !host->isDeaf
                && host->keeper.mayGrant(host->provenAt, m_now);
        });
    }

    void recordRun(std::size_t team)
    {
        std::deque<TimePoint> &ran = m_ran[team];
        ran.push_back(m_now);
        while (m_now - ran.front() > rules.window)
            ran.pop_front();
        EXPECT_LE(static_cast<double>(ran.size()), boundOf(m_teams[team].quota))
            << m_teams[team].name << " at " << (m_now - start) / 1ms << " ms";
    }

    void disturb()
    {
        const FleetCase &fleet = GetParam();
        if (fleet.restoresStore && m_random() % 2 == 0)
            m_lease.returnToCopyOf(m_now - Milliseconds(m_random() % 20'000));
        // Coordinators and their candidates are hit more often than the other hosts.
        std::uniform_int_distribution<std::size_t> any(0, 2 * s_candidates);
        std::uniform_int_distribution<int> time(500, 12'000);
        for (const auto &host : m_hosts) {
            host->network = 0;
            host->isDeaf = false;
            host->reachesStore = true;
        }
        const std::size_t hit = any(m_random);
        // Voters need a moment to be spread over the zones again.
        const bool isPause = ++m_disturbances % 2 == 0 && (fleet.cutsZones || fleet.cutsPairs);
        if (hit >= s_candidates || isPause)
            return;
        SimulatedHost &host = *m_hosts[hit];
        if (fleet.cutsHosts)
            host.network = 1;
        host.isDeaf = fleet.cutsInbound;
        if (fleet.cutsStore)
            host.reachesStore = false;
        for (std::size_t i = hit; fleet.cutsZones && i < m_hosts.size(); i += 3) {
            m_hosts[i]->network = 1;
            m_hosts[i]->reachesStore = false;
        }
        for (std::size_t i = hit; fleet.cutsPairs && i < hit + 2; ++i) {
            m_hosts[i]->network = 1;
            m_hosts[i]->reachesStore = false;
        }
        if (fleet.pauses)
            host.pausedUntil = m_now + Milliseconds(time(m_random));
        if (fleet.kills) {
            m_hosts[hit] = std::make_unique<SimulatedHost>(m_members[hit], ++m_processes, m_now);
            prepare(*m_hosts[hit]);
            m_hosts[hit]->downUntil = m_now + Milliseconds(time(m_random));
        }
    }

    TimePoint m_now = start;
    std::vector<FleetMember> m_members;
    std::vector<std::unique_ptr<SimulatedHost>> m_hosts;
    std::vector<Team> m_teams;
    std::vector<std::deque<TimePoint>> m_ran; ///< of each team, within the last window
    SharedLease m_lease;
    std::mt19937 m_random{7};
    int m_processes = 0;
    int m_disturbances = 0;
};

// A team must not get more than its quota by spreading its requests over many hosts, however hosts
// fail, and a team within its quota must not be refused because another exceeds its own.
TEST_P(QuotaFleetTest, noTeamExceedsItsQuotaAndTheOthersAreServed)
{
    std::uniform_int_distribution<std::size_t> anyHost(0, s_hosts - 1);
    std::uniform_int_distribution<std::size_t> anyTeam(1, s_teams - 1);
    std::uniform_real_distribution<double> chance(0, 1);
    const double hotPerStep = 15 * GetParam().hotFactor * 0.01;
    int offered = 0;
    int granted = 0;
    TimePoint coordinatedAt = start;
    Duration longestOutage{0};
    for (int step = 0; step < 12'000; ++step, m_now += s_step) {
        if (step % 700 == 699)
            disturb();
        for (std::size_t i = 0; i < s_candidates; ++i)
            runCandidate(*m_hosts[i]);
        if (hasCoordinator())
            coordinatedAt = m_now;
        longestOutage = std::max(longestOutage, m_now - coordinatedAt);
        for (double due = hotPerStep; due > 0 && chance(m_random) < due; due -= 1)
            request(0, *m_hosts[anyHost(m_random)]);
        if (step < 600 || chance(m_random) > 0.2)
            continue;
        ++offered;
        granted += request(anyTeam(m_random), *m_hosts[anyHost(m_random)]) ? 1 : 0;
    }
    EXPECT_GE(granted, GetParam().minServed * offered);
    EXPECT_LE(longestOutage, GetParam().longestOutage.value_or(Duration::max()))
        << longestOutage / 1ms << " ms";
}

/// The lifetime of a vote, the calls that find it expired, and the write; well below the proof
/// limit.
constexpr Duration longestTakeover = 2s;

/// Votes also have to be suspended first.
constexpr Duration longestSuspension = 3s;

INSTANTIATE_TEST_SUITE_P(
    Disturbances, QuotaFleetTest,
    testing::Values(FleetCase{"calm", false, false, false, false, false, 1, 1},
                    FleetCase{"oneHotTeam", false, false, false, false, false, 7.5, 1},
                    FleetCase{"hostsCutOff", true, false, false, false, false, 7.5, 0.9, false,
                              false, false, longestTakeover},
                    FleetCase{"storeCutOff", false, true, false, false, false, 7.5, 0.99},
                    FleetCase{"killed", false, false, true, false, false, 7.5, 0.9, false, false,
                              false, longestTakeover},
                    FleetCase{"paused", false, false, false, true, false, 7.5, 0.9, false, false,
                              false, longestTakeover},
                    FleetCase{"cutOffFromAll", true, true, false, false, false, 7.5, 0.9, false,
                              false, false, longestTakeover},
                    FleetCase{"zoneCutOff", false, false, false, false, false, 7.5, 0, true, false,
                              false, longestTakeover},
                    FleetCase{"twoCutOff", false, false, false, false, false, 7.5, 0, false, true,
                              false, longestTakeover},
                    FleetCase{"inboundCut", false, true, false, false, false, 7.5, 0.8, false,
                              false, true, longestSuspension},
                    FleetCase{"everything", true, true, true, true, false, 7.5, 0},
                    FleetCase{"zonesCutAndKilled", false, false, true, false, false, 7.5, 0, true},
                    FleetCase{"storeRestored", false, false, false, false, true, 7.5, 0.99},
                    FleetCase{"storeRestoredWhileCutOff", true, true, false, false, true, 7.5, 0},
                    FleetCase{"everythingAndRestored", true, true, true, true, true, 7.5, 0}),
    [](const auto &info) { return info.param.name; });

struct LimitCase
{
    std::string name;
    std::uint64_t version; ///< of the second limit
    double rate;
    int granted; ///< of 30 requests at once, after the second limit
};

class LimitChangeTest : public testing::TestWithParam<LimitCase>
{ };

// A lowered limit binds at once, and a host with an older configuration must not raise it again.
TEST_P(LimitChangeTest, theQuotaOfTheNewestVersionHolds)
{
    const QuotaRules exact{5s, 0, 0};
    QuotaLedger ledger(exact, start);
    const TimePoint now = start + 1min;
    ledger.take("t", {20, 20}, 5, now);
    int granted = 0;
    for (int i = 0; i < 30; ++i) {
        const auto decision
            = ledger.take("t", {GetParam().rate, GetParam().rate}, GetParam().version, now);
        granted += decision.outcome == QuotaOutcome::Granted ? 1 : 0;
    }
    EXPECT_EQ(granted, GetParam().granted);
}

INSTANTIATE_TEST_SUITE_P(Limits, LimitChangeTest,
                         testing::Values(LimitCase{"lowered", 6, 2, 2},
                                         LimitCase{"olderVersion", 4, 2, 19},
                                         LimitCase{"raised", 6, 40, 19}),
                         [](const auto &info) { return info.param.name; });

// What a predecessor has granted in the window is unknown, so a new coordinator that began with a
// full bucket would exceed the quota of a team that had been idle before.
TEST(QuotaLedgerTest, aNewBucketIsEmptyAndHoldsTheBurst)
{
    const TeamQuota quota{5, 6};
    const auto grantedAt = [&](Duration age) {
        QuotaLedger ledger(rules, start);
        int granted = 0;
        while (ledger.take("t", quota, 1, start + age).outcome == QuotaOutcome::Granted)
            ++granted;
        return granted;
    };
    EXPECT_EQ(grantedAt(0s), 0);
    EXPECT_EQ(grantedAt(1s), 5);
    EXPECT_EQ(grantedAt(1min), static_cast<int>(quota.burst));
}

// Fair sharing relies on the excess of a team that sends many times its usual rate.
TEST(QuotaLedgerTest, reportsTheExcessOfATeamOverItsUsualRate)
{
    QuotaLedger ledger(rules, start);
    TimePoint now = start;
    for (int i = 0; i < 600; ++i, now += 100ms)
        EXPECT_LT(ledger.take("t", {24, 24}, 1, now).excess, 1.5);
    double excess = 0;
    for (int i = 0; i < 400; ++i, now += 12ms)
        excess = ledger.take("t", {24, 24}, 1, now).excess;
    EXPECT_GT(excess, 3);
}

// Without this, each host would admit requests of a small team while its coordinator is lost.
TEST(StandingRightsTest, theFleetSharesAPartOfTheTolerance)
{
    std::vector<FleetMember> members;
    members.reserve(73);
    for (int i = 0; i < 73; ++i)
        members.push_back({"host-" + std::to_string(i), {}, "z"});
    const Team team = makeTeam("t", 5);
    std::size_t total = 0;
    for (const FleetMember &member : members) {
        StandingRights rights(rules, member.name, start);
        rights.setMembers(members);
        total += rights.rightsFor(team);
    }
    EXPECT_EQ(total,
              static_cast<std::size_t>(standingToleranceShare * rules.toleranceOf(team.quota)));
}

// The process before this one may have used the rights of the host, and a host that restarts again
// and again would use them as often.
TEST(StandingRightsTest, aNewProcessHasNoneForOneWindow)
{
    const Team team = makeTeam("t", 5);
    StandingRights rights(rules, "host", start);
    rights.setMembers({{"host", {}, "z"}});
    EXPECT_FALSE(rights.tryUse(team, start + rules.window - 1ms));
    EXPECT_TRUE(rights.tryUse(team, start + rules.window));
}

} // namespace
} // namespace gwt
