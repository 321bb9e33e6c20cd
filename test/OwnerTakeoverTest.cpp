#include "TaskRunner.h"
#include "membership/Membership.h"
#include "relay/Relay.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>

#include <list>

namespace gwt {
namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

constexpr Milliseconds trust{5000};
const Endpoint selfAddress{"127.0.0.1", 7302};
const Endpoint otherAddress{"127.0.0.1", 0};

class FixedMembers : public MembershipView
{
public:
    explicit FixedMembers(MemberList members)
        : m_members(std::make_shared<const MemberList>(std::move(members)))
    { }
    std::shared_ptr<const MemberList> members() const override { return m_members; }
    void change(void (*apply)(Member &))
    {
        MemberList members = *m_members;
        apply(members.front());
        m_members = std::make_shared<const MemberList>(std::move(members));
    }

private:
    std::shared_ptr<const MemberList> m_members;
};

Member makeRelay(const std::string &id, const Endpoint &address)
{
    Member member;
    member.id = id;
    member.role = Role::Relay;
    member.peerAddress = address;
    member.isReady = true;
    member.incarnation = 7;
    return member;
}

struct ProofCase
{
    const char *name;
    void (*change)(Member &); ///< of the member, after the proof
    Milliseconds later;
    bool isLeftOut;
};

class ReachableMembersTest : public testing::TestWithParam<ProofCase>
{ };

TEST_P(ReachableMembersTest, aProofHoldsForOneIncarnationAndABoundedTime)
{
    const TimePoint start(1h);
    FixedMembers all({makeRelay("a", otherAddress), makeRelay("b", selfAddress)});
    ReachableMembers members(all, trust);
    EXPECT_EQ(members.membersAt(start)->size(), 2U);
    EXPECT_TRUE(members.noteEnded(all.members()->front(), start));
    EXPECT_EQ(members.membersAt(start)->size(), 1U);
    EXPECT_EQ(members.membersAt(start)->front().id, "b");
    if (GetParam().change)
        all.change(GetParam().change);
    const TimePoint later = start + GetParam().later;
    EXPECT_EQ(members.membersAt(later)->size(), GetParam().isLeftOut ? 1U : 2U);
    EXPECT_EQ(members.membersAt(later), members.membersAt(later)) << "unchanged, yet a new list";
    // A lapsed proof cannot be renewed: the membership has had its time to find the death.
    EXPECT_EQ(members.noteEnded(makeRelay("a", otherAddress), later), GetParam().change != nullptr);
}

INSTANTIATE_TEST_SUITE_P(Proofs, ReachableMembersTest,
                         testing::Values(ProofCase{"atOnce", nullptr, 0ms, true},
                                         ProofCase{"within", nullptr, trust - 1ms, true},
                                         ProofCase{"lapsed", nullptr, trust, false},
                                         ProofCase{"newIncarnation",
                                                   [](Member &m) { ++m.incarnation; }, 1ms, false}),
                         [](const auto &info) { return std::string(info.param.name); });

/// \brief A stopped process still listens, as does a serving one, until its queue is full.
enum class FirstOwner { Ended, Listening, QueueFull };

struct FirstOwnerCase
{
    const char *name;
    FirstOwner first;
    bool isSelfSecond;
    OwnerRank rankAfter;
};

class OwnerTakeoverTest : public testing::TestWithParam<FirstOwnerCase>
{
protected:
    OwnerTakeoverTest()
        : m_pool(2)
        , m_acceptor(m_pool.executor(),
                     tcp::endpoint(asio::ip::make_address(otherAddress.address), otherAddress.port))
    {
        ConfigSet set;
        set.services["shard"] = Service{"shard", "pots", "slice"};
        m_config.updateIfNewer(std::make_shared<Config>(1, set));
    }
    ~OwnerTakeoverTest() override { m_pool.stop(); }

    /// \brief Further connections to the listener get no answer.
    void fillQueue()
    {
        constexpr int connections = 4;
        m_acceptor.listen(0);
        for (int i = 0; i < connections; ++i) {
            tcp::socket &socket = m_waiting.emplace_back(m_pool.executor(), tcp::v4());
            socket.async_connect(m_acceptor.local_endpoint(),
                                 [](const boost::system::error_code &) {});
        }
    }

    /// \brief Two relays, of which this one owns the slice first or second.
    MemberList membersFor(bool isSelfSecond) const
    {
        const Endpoint other(otherAddress.address, m_acceptor.local_endpoint().port());
        MemberList either = {makeRelay("a", other), makeRelay("b", selfAddress)};
        const bool isFirstA = ownersOf("slice", "", Role::Relay, either, 1).front().id == "a";
        if (isFirstA == isSelfSecond)
            return either;
        return {makeRelay("a", selfAddress), makeRelay("b", other)};
    }

    WorkerPool m_pool;
    tcp::acceptor m_acceptor;
    std::list<tcp::socket> m_waiting;
    ConfigHolder m_config;
    Metrics m_metrics;
};

TEST_P(OwnerTakeoverTest, onlyARefusedConnectionProvesAnEnd)
{
    const FixedMembers all(membersFor(GetParam().isSelfSecond));
    ReachableMembers members(all, trust);
    const SliceOwnership ownership(members, selfAddress);
    OwnerTakeover takeover(m_config, ownership, members, m_metrics);
    if (GetParam().first == FirstOwner::Ended)
        m_acceptor.close();
    else if (GetParam().first == FirstOwner::QueueFull)
        fillQueue();
    runTask(m_pool, takeover.check("shard"));
    EXPECT_EQ(ownership.rankOf("slice", *m_config.current()), GetParam().rankAfter);
}

INSTANTIATE_TEST_SUITE_P(
    FirstOwners, OwnerTakeoverTest,
    testing::Values(FirstOwnerCase{"ended", FirstOwner::Ended, true, OwnerRank::First},
                    FirstOwnerCase{"frozen", FirstOwner::Listening, true, OwnerRank::Second},
                    FirstOwnerCase{"frozenWithFullQueue", FirstOwner::QueueFull, true,
                                   OwnerRank::Second},
                    FirstOwnerCase{"itself", FirstOwner::Ended, false, OwnerRank::First}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace gwt
