#include "gateway/policy/AdaptiveAdmission.h"

#include <gtest/gtest.h>

#include <array>
#include <numeric>
#include <vector>

namespace gwt {
namespace {

using namespace std::chrono_literals;

constexpr Duration target = 100ms;
constexpr double floodFactor = 7.5; ///< rate of the flooding team in relation to its usual rate

/// Teams of one rank with equal usual rates.
struct RankTraffic
{
    int teams;
    double rate; ///< queries per second of each team
};

struct FairnessCase
{
    const char *name;
    std::vector<RankTraffic> ranks; ///< most urgent first; the first team of the first one floods
    double capacity; ///< queries per second that the shards can answer
    Duration calm; ///< before the flood
    double
        minOthers; ///< least share of the other teams' queries of the first rank that is admitted
    double minLessUrgent; ///< the same of the second rank
    /// Most queries of the flooding team that are admitted, in those of another team of its rank.
    double maxOfFlood;
    /// Queries that the code without weights admitted (ee7145f), with seeds 1 to 3.
    std::array<int, 3> unweighted;
};

struct TeamOutcome
{
    int rank = 0;
    int offered = 0;
    int admitted = 0;

    double share() const { return static_cast<double>(admitted) / offered; }
};

TeamOutcome operator+(TeamOutcome sum, const TeamOutcome &other)
{
    sum.offered += other.offered;
    sum.admitted += other.admitted;
    return sum;
}

/// \brief Simulates one host and its shards, which answer in order of arrival.
class TeamModel
{
public:
    TeamModel(const FairnessCase &load, std::uint64_t seed)
        : m_load(load)
        , m_random(seed)
        , m_admission({}, RandomEngine(seed + 1))
    { }

    /// \brief Runs the calm and 30 s of the flood; outcomes are those of its last 25 s.
    ///
    /// Admission is told \a excess for the queries of the flooding team.
    std::vector<TeamOutcome> run(double excess)
    {
        const Duration countedFrom = m_load.calm + 5s;
        for (Duration at = 0s; at < m_load.calm + 30s; at += 1ms) {
            answer(TimePoint() + 1h + at);
            std::size_t team = 0;
            for (std::size_t rank = 0; rank < m_load.ranks.size(); ++rank) {
                for (int i = 0; i < m_load.ranks[rank].teams; ++i, ++team) {
                    m_outcomes.resize(std::max(m_outcomes.size(), team + 1));
                    const bool floods = team == 0 && at >= m_load.calm;
                    const double rate = m_load.ranks[rank].rate * (floods ? floodFactor : 1);
                    if (std::bernoulli_distribution(rate / 1000)(m_random))
                        arrive(team, static_cast<int>(rank), floods ? excess : 1, at,
                               at >= countedFrom);
                }
            }
        }
        return m_outcomes;
    }

private:
    struct Query
    {
        int rank;
        TimePoint arrived;
        TimePoint done;
    };

    void arrive(std::size_t team, int rank, double excess, Duration at, bool isCounted)
    {
        const TimePoint now = TimePoint() + 1h + at;
        const auto work = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(1 / m_load.capacity));
        const bool isAdmitted = m_admission.admit(rank, work, excess, now);
        if (isCounted) {
            m_outcomes[team].rank = rank;
            ++m_outcomes[team].offered;
            m_outcomes[team].admitted += isAdmitted ? 1 : 0;
        }
        if (!isAdmitted)
            return;
        m_busyUntil = std::max(m_busyUntil, now) + work;
        m_running.push_back({rank, now, m_busyUntil});
    }
    void answer(TimePoint now)
    {
        std::erase_if(m_running, [&](const Query &query) {
            if (query.done > now)
                return false;
            const double pressure = std::chrono::duration<double>(query.done - query.arrived)
                / std::chrono::duration<double>(target / 2);
            m_admission.record(query.rank, pressure, query.arrived, now);
            return true;
        });
    }

    const FairnessCase m_load;
    RandomEngine m_random;
    AdaptiveAdmission m_admission;
    std::vector<TeamOutcome> m_outcomes;
    std::vector<Query> m_running;
    TimePoint m_busyUntil;
};

TeamOutcome sumOf(const std::vector<TeamOutcome> &teams, std::size_t first, int rank)
{
    return std::accumulate(teams.begin() + static_cast<std::ptrdiff_t>(first), teams.end(),
                           TeamOutcome{}, [&](const TeamOutcome &sum, const TeamOutcome &team) {
                               return team.rank == rank ? sum + team : sum;
                           });
}

class TeamFloodTest : public testing::TestWithParam<FairnessCase>
{ };

// Guards against a team that slows all others by sending many times its usual rate.
TEST_P(TeamFloodTest, aFloodOfOneTeamIsHeldToItsPartAndNoTeamIsStarved)
{
    const FairnessCase &load = GetParam();
    const int others = load.ranks.front().teams - 1;
    for (std::uint64_t seed = 1; seed <= load.unweighted.size(); ++seed) {
        const auto teams = TeamModel(load, seed).run(floodFactor);
        const auto baseline = TeamModel(load, seed).run(1);
        const TeamOutcome rest = sumOf(teams, 1, 0);
        const TeamOutcome whole = sumOf(teams, 0, 0);
        EXPECT_GE(rest.share(), load.minOthers);
        EXPECT_LE(teams[0].admitted * others, load.maxOfFlood * rest.admitted);
        for (std::size_t team = 0; team < teams.size(); ++team) {
            const double ofRank = teams[team].rank == 0 ? whole.share() : 0;
            EXPECT_GE(teams[team].share(), 0.25 * ofRank) << team;
        }
        const TeamOutcome lessUrgent = sumOf(teams, 0, 1);
        EXPECT_GE(lessUrgent.admitted, load.minLessUrgent * lessUrgent.offered);
        const int all = whole.admitted + lessUrgent.admitted;
        const int allUnweighted = load.unweighted.at(seed - 1);
        EXPECT_GE(all, 0.88 * allUnweighted);
        // Deployments without teams: with weight 1 the decisions are those from before the weights.
        EXPECT_EQ((sumOf(baseline, 0, 0) + sumOf(baseline, 0, 1)).admitted, allUnweighted);
        // While the excess is unknown the flooding team gets as many times the room as it sends
        // requests.
        EXPECT_GE(baseline[0].admitted * others, 5 * sumOf(baseline, 1, 0).admitted);
        EXPECT_LT(sumOf(baseline, 1, 0).share(), load.minOthers);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Loads, TeamFloodTest,
    testing::Values(
        FairnessCase{"manyTeamsOfOneRank", {{20, 5}}, 66, 10s, 0.49, 0, 3.5, {1455, 1491, 1496}},
        FairnessCase{"floodFromTheStart", {{20, 5}}, 66, 0s, 0.49, 0, 3.8, {1479, 1517, 1532}},
        FairnessCase{
            "capacityForMostOfTheFlood", {{20, 5}}, 115, 10s, 0.9, 0, 5, {2789, 2803, 2766}},
        FairnessCase{"twoRanks", {{5, 4}, {10, 5}}, 60, 10s, 0.9, 0.45, 2.2, {1199, 1178, 1187}},
        FairnessCase{"fewTeams", {{6, 6}}, 50, 10s, 0.7, 0, 3.5, {1019, 1006, 1024}}),
    [](const auto &info) { return std::string(info.param.name); });

// Without a bound nothing changes, whatever a team sends.
TEST(TeamFairnessTest, withoutScarcityATeamWithExcessIsAdmitted)
{
    AdaptiveAdmission admission;
    TimePoint now = TimePoint() + 1h;
    for (int i = 0; i < 500; ++i, now += 20ms) {
        EXPECT_TRUE(admission.admit(0, 10ms, 50, now));
        admission.record(0, 0.9, now, now + 10ms);
    }
}

} // namespace
} // namespace gwt
