#include "common/StoreRevision.h"
#include "gateway/quota/LeaseKeeper.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;

const TimePoint start{1h};

struct RestoredCase
{
    std::string name;
    std::optional<Lease> restored; ///< in the copy
    Duration proofAge; ///< of the holder, when it learns of the new era
    std::optional<Duration> grantsAfter; ///< of the holder; nullopt: not within 20 s
};

class RestoredLeaseTest : public testing::TestWithParam<RestoredCase>
{ };

// Guards against two processes that grant for the same range after the store has lost the lease of
// the holder: the restored lease does not tell who held it last.
TEST_P(RestoredLeaseTest, onlyAHolderWithAFreshProofGrantsWithoutWait)
{
    const LeaseVotes votes{LeaseRules{}};
    LeaseKeeper keeper(LeaseRules{}, {"a", "a-2"}, 0, votes);
    keeper.setCandidates({"a", "b"});
    keeper.onLease(std::nullopt, 50, start);
    const auto first = keeper.beginWrite(start);
    ASSERT_TRUE(first);
    keeper.onWritten(Lease{"a", "a-2", 1, 51, 0}, start);
    ASSERT_TRUE(keeper.mayGrant(start, start));
    const TimePoint learnedAt = start + GetParam().proofAge;
    keeper.onNewEra(start, learnedAt);
    EXPECT_FALSE(keeper.mayGrant(learnedAt, learnedAt));
    std::uint64_t revision = combineStoreRevision(1, 40);
    keeper.onLease(GetParam().restored, revision, learnedAt);
    EXPECT_FALSE(keeper.mayGrant(learnedAt, learnedAt)) << "a restored lease gives no right";
    std::optional<Duration> grantsAfter;
    for (TimePoint now = learnedAt; now < learnedAt + 20s && !grantsAfter; now += 100ms) {
        if (auto lease = keeper.beginWrite(now)) {
            lease->revision = ++revision;
            keeper.onWritten(lease, now);
        }
        if (keeper.mayGrant(now, now))
            grantsAfter = now - learnedAt;
    }
    EXPECT_EQ(grantsAfter, GetParam().grantsAfter);
}

const Lease restoredOwn{"a", "a-2", 1, combineStoreRevision(1, 30), 0};
const Lease restoredFormer{"a", "a-1", 1, combineStoreRevision(1, 30), 0};
const Lease restoredOther{"b", "b-1", 1, combineStoreRevision(1, 30), 0};
const Lease writtenInNewEra{"b", "b-1", 1, combineStoreRevision(1, 35), 1};

INSTANTIATE_TEST_SUITE_P(
    Copies, RestoredLeaseTest,
    testing::Values(RestoredCase{"own", restoredOwn, 2s, 0s},
                    RestoredCase{"none", std::nullopt, 2s, 0s},
                    RestoredCase{"other", restoredOther, 2s, 0s},
                    RestoredCase{"ownWithOldProof", restoredOwn, 11s, LeaseRules{}.proofLimit},
                    RestoredCase{"formerProcessWithOldProof", restoredFormer, 11s,
                                 LeaseRules{}.proofLimit},
                    RestoredCase{"otherWithOldProof", restoredOther, 11s, LeaseRules{}.proofLimit},
                    RestoredCase{"takenInNewEra", writtenInNewEra, 2s, std::nullopt}),
    [](const auto &info) { return info.param.name; });

// Guards against two processes that grant: the update of a challenger was lost with the store's
// older copy, and the holder has taken its lease back in the new era, of which the challenger knows
// nothing.
TEST(LeaseWaitTest, afterAWaitOnlyAProofFromAfterItCounts)
{
    const LeaseVotes votes{LeaseRules{}};
    LeaseKeeper keeper(LeaseRules{}, {"b", "b-1"}, 0, votes);
    keeper.setCandidates({"a", "b"});
    keeper.onLease(Lease{"a", "a-1", 1, 5, 0}, 5, start);
    keeper.onProbe("a", ProbeResult::NoReply, start, start);
    const TimePoint writtenAt = start + 1s;
    auto lease = keeper.beginWrite(writtenAt);
    ASSERT_TRUE(lease);
    lease->revision = 6;
    keeper.onWritten(lease, writtenAt);
    const TimePoint end = writtenAt + LeaseRules{}.proofLimit;
    EXPECT_FALSE(keeper.mayGrant(end - 1ms, end));
    EXPECT_TRUE(keeper.mayGrant(end, end));
}

} // namespace
} // namespace gwt
