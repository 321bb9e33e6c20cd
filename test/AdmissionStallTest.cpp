#include "gateway/policy/AdaptiveAdmission.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace gwt {
namespace {

using namespace std::chrono_literals;

constexpr Milliseconds queryTime{20}; ///< of a query outside the stall
constexpr Milliseconds target{150};
constexpr Milliseconds deadline{2500};
/// From the start of the process; later, queries have to be served again.
constexpr std::chrono::seconds recoveryTime{12};

struct StallCase
{
    Milliseconds calm; ///< from the start of the process to the stall
    Milliseconds stall;
    int repeats; ///< stalls in a row, each as long a pause after the one before
    double rate; ///< queries per second of each rank
    int ranks;
};

std::string nameOf(const testing::TestParamInfo<StallCase> &info)
{
    const StallCase &stall = info.param;
    return "calm" + std::to_string(stall.calm.count()) + "stall"
        + std::to_string(stall.stall.count()) + "x" + std::to_string(stall.repeats) + "rate"
        + std::to_string(static_cast<int>(stall.rate)) + "ranks" + std::to_string(stall.ranks);
}

/// \brief Backend servers without load that answer nothing during the stalls.
class StallModel
{
public:
    explicit StallModel(const StallCase &stall)
        : m_stall(stall)
    { }

    /// \brief Sends queries from \a begin to \a end, counted from the start of the process, and
    /// returns the share that is admitted.
    double admittedShare(Duration begin, Duration end)
    {
        int offered = 0;
        int admitted = 0;
        for (Duration at = begin; at < end; at += 1ms) {
            const TimePoint now = m_start + at;
            answer(now);
            for (int rank = 0; rank < m_stall.ranks; ++rank) {
                // The ranks send in turn.
                const double phase = static_cast<double>(rank) / m_stall.ranks;
                const double before = std::chrono::duration<double>(at).count() * m_stall.rate;
                const double after = before + m_stall.rate / 1000;
                if (static_cast<int>(after + phase) == static_cast<int>(before + phase))
                    continue;
                ++offered;
                if (!m_admission.admit(rank, queryTime, now))
                    continue;
                ++admitted;
                m_running.push_back({rank, now, answeredAt(at)});
            }
        }
        return offered == 0 ? 0 : static_cast<double>(admitted) / offered;
    }

private:
    struct Query
    {
        int rank;
        TimePoint sentAt;
        TimePoint answeredAt;
    };

    TimePoint answeredAt(Duration at) const
    {
        for (int repeat = 0; repeat < m_stall.repeats; ++repeat) {
            const Duration begin = m_stall.calm + 2 * repeat * m_stall.stall;
            if (at >= begin && at < begin + m_stall.stall)
                return m_start + std::min<Duration>(begin + m_stall.stall, at + deadline);
        }
        return m_start + at + queryTime;
    }
    void answer(TimePoint now)
    {
        std::erase_if(m_running, [&](const Query &query) {
            if (query.answeredAt > now)
                return false;
            const double pressure = std::chrono::duration<double>(now - query.sentAt)
                / std::chrono::duration<double>(target / 2);
            m_admission.record(query.rank, pressure, query.sentAt, now);
            return true;
        });
    }

    const StallCase m_stall;
    const TimePoint m_start = TimePoint() + 1h;
    AdaptiveAdmission m_admission;
    std::vector<Query> m_running;
};

class AdmissionStallTest : public testing::TestWithParam<StallCase>
{ };

// Guards against a process that refuses all queries for hours, because its backend servers were
// silent before it had seen normal traffic.
TEST_P(AdmissionStallTest, queriesAreAdmittedAgainAfterAStallThatFollowsTheStart)
{
    StallModel model(GetParam());
    model.admittedShare(0s, recoveryTime);
    EXPECT_GE(model.admittedShare(recoveryTime, recoveryTime + 10s), 0.95);
}

INSTANTIATE_TEST_SUITE_P(
    Stalls, AdmissionStallTest,
    testing::Values(StallCase{0ms, 500ms, 1, 20, 1}, StallCase{0ms, 1300ms, 1, 20, 1},
                    StallCase{0ms, 1600ms, 1, 20, 1}, StallCase{0ms, 2400ms, 1, 20, 1},
                    StallCase{0ms, 4500ms, 1, 20, 1}, StallCase{0ms, 8000ms, 1, 20, 1},
                    StallCase{0ms, 1600ms, 3, 20, 1}, StallCase{300ms, 1600ms, 1, 20, 1},
                    StallCase{1200ms, 1600ms, 1, 20, 1}, StallCase{3000ms, 2400ms, 1, 20, 1},
                    StallCase{0ms, 1600ms, 1, 3, 1}, StallCase{0ms, 1600ms, 1, 100, 1},
                    StallCase{0ms, 1600ms, 1, 10, 3}, StallCase{300ms, 2400ms, 2, 10, 3}),
    nameOf);

} // namespace
} // namespace gwt
