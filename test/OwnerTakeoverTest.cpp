#include "TaskRunner.h"
#include "daemon/RefusalCheck.h"
#include "membership/Membership.h"
#include "peer/Peer.h"
#include "relay/Relay.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>

#include <list>

namespace gwt {
namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

constexpr Milliseconds proofLifetime{5000};
const Endpoint selfAddress{"127.0.0.1", 7302};
const Endpoint otherAddress{"127.0.0.1", 0};

class MutableMembershipView : public MembershipView
{
public:
    explicit MutableMembershipView(MemberList members)
        : m_members(std::make_shared<const MemberList>(std::move(members)))
    { }
    std::shared_ptr<const MemberList> members() const override { return m_members; }
    void update(void (*apply)(Member &))
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
    member.host = "host-" + id;
    member.peerAddress = address;
    member.isReady = true;
    member.incarnation = 7;
    return member;
}

struct ProofCase
{
    const char *name;
    void (*update)(Member &); ///< applied to the member after the proof
    Milliseconds elapsed;
    bool isExcluded;
};

class ReachableMembersTest : public testing::TestWithParam<ProofCase>
{ };

TEST_P(ReachableMembersTest, aProofAppliesToOneIncarnationForABoundedTime)
{
    const TimePoint start(1h);
    MutableMembershipView all({makeRelay("a", otherAddress), makeRelay("b", selfAddress)});
    ReachableMembers members(all, proofLifetime);
    EXPECT_EQ(members.membersAt(start)->size(), 2U);
    EXPECT_TRUE(members.markEnded(all.members()->front(), start));
    EXPECT_EQ(members.membersAt(start)->size(), 1U);
    EXPECT_EQ(members.membersAt(start)->front().id, "b");
    if (GetParam().update)
        all.update(GetParam().update);
    const TimePoint checkTime = start + GetParam().elapsed;
    EXPECT_EQ(members.membersAt(checkTime)->size(), GetParam().isExcluded ? 1U : 2U);
    EXPECT_EQ(members.membersAt(checkTime), members.membersAt(checkTime))
        << "a new list although nothing changed";
    // An expired proof cannot be renewed: the membership has had time to detect the death itself.
    EXPECT_EQ(members.markEnded(makeRelay("a", otherAddress), checkTime),
              GetParam().update != nullptr);
}

INSTANTIATE_TEST_SUITE_P(
    Proofs, ReachableMembersTest,
    testing::Values(ProofCase{"immediately", nullptr, 0ms, true},
                    ProofCase{"beforeExpiry", nullptr, proofLifetime - 1ms, true},
                    ProofCase{"expired", nullptr, proofLifetime, false},
                    ProofCase{"newIncarnation", [](Member &m) { ++m.incarnation; }, 1ms, false}),
    [](const auto &info) { return std::string(info.param.name); });

/// \brief State of the first owner. The kernel completes connections to a suspended process, as to
/// a serving one, until its listen queue is full.
enum class FirstOwner { Ended, Listening, QueueFull };

/// \brief What another daemon on the host of the first owner states.
enum class Neighbor { Absent, Silent, Confirms, Denies };

struct FirstOwnerCase
{
    const char *name;
    FirstOwner first;
    Neighbor neighbor;
    bool isSelfSecondOwner;
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

    /// \brief Adds a daemon on the host of the first owner to \a members.
    void addNeighbor(MemberList &members)
    {
        const Neighbor neighbor = GetParam().neighbor;
        if (neighbor == Neighbor::Absent)
            return;
        Member member = makeRelay("n", {"127.0.0.1", 1});
        member.role = Role::Entry;
        for (const Member &relay : members) {
            if (relay.peerAddress != selfAddress)
                member.host = relay.host;
        }
        if (neighbor != Neighbor::Silent) {
            m_neighbor.route(RefusalCheck::s_path,
                             peerHandler<wire::RefusalCheckRequest, wire::RefusalCheckReply>(
                                 [neighbor](wire::RefusalCheckRequest,
                                            PeerRequest) -> Task<wire::RefusalCheckReply> {
                                     wire::RefusalCheckReply reply;
                                     reply.set_refuses(neighbor == Neighbor::Confirms);
                                     co_return reply;
                                 }));
            member.peerAddress = valueOf(m_neighbor.listen({"127.0.0.1", 0}));
        }
        members.push_back(member);
    }

    /// \brief Fills the listen queue, so that further connections get no answer.
    void fillListenQueue()
    {
        constexpr int connections = 4;
        m_acceptor.listen(0);
        for (int i = 0; i < connections; ++i) {
            tcp::socket &socket = m_pendingConnections.emplace_back(m_pool.executor(), tcp::v4());
            socket.async_connect(m_acceptor.local_endpoint(),
                                 [](const boost::system::error_code &) {});
        }
    }

    /// \brief Two relays, of which this one is the first or the second owner of the slice.
    MemberList membersFor(bool isSelfSecondOwner) const
    {
        const Endpoint other(otherAddress.address, m_acceptor.local_endpoint().port());
        MemberList members = {makeRelay("a", other), makeRelay("b", selfAddress)};
        const bool isFirstOwnerA = ownersOf("slice", "", Role::Relay, members, 1).front().id == "a";
        if (isFirstOwnerA == isSelfSecondOwner)
            return members;
        return {makeRelay("a", selfAddress), makeRelay("b", other)};
    }

    WorkerPool m_pool;
    tcp::acceptor m_acceptor;
    std::list<tcp::socket> m_pendingConnections;
    ConfigHolder m_config;
    Metrics m_metrics;
    PeerClient m_peers{m_pool.executor(), Milliseconds(100)};
    PeerServer m_neighbor{m_pool.executor()};
};

// A cut between the two owners refuses connections, too. If the second owner took over, both would
// use all slots of the backend servers.
TEST_P(OwnerTakeoverTest, onlyARefusalThatTheHostOfTheFirstOwnerConfirmsTriggersTakeover)
{
    MemberList list = membersFor(GetParam().isSelfSecondOwner);
    addNeighbor(list);
    const MutableMembershipView all(list);
    ReachableMembers members(all, proofLifetime);
    const SliceOwnership ownership(members, selfAddress);
    OwnerTakeover takeover(m_config, ownership, members, m_peers, m_metrics);
    if (GetParam().first == FirstOwner::Ended)
        m_acceptor.close();
    else if (GetParam().first == FirstOwner::QueueFull)
        fillListenQueue();
    runTask(m_pool, takeover.check("shard"));
    EXPECT_EQ(ownership.rankOf("slice", *m_config.current()), GetParam().rankAfter);
}

INSTANTIATE_TEST_SUITE_P(
    FirstOwners, OwnerTakeoverTest,
    testing::Values(
        FirstOwnerCase{"ended", FirstOwner::Ended, Neighbor::Confirms, true, OwnerRank::First},
        FirstOwnerCase{"cutOff", FirstOwner::Ended, Neighbor::Denies, true, OwnerRank::Second},
        FirstOwnerCase{"hostCutOff", FirstOwner::Ended, Neighbor::Silent, true, OwnerRank::Second},
        FirstOwnerCase{"hostUnknown", FirstOwner::Ended, Neighbor::Absent, true, OwnerRank::Second},
        FirstOwnerCase{"frozen", FirstOwner::Listening, Neighbor::Denies, true, OwnerRank::Second},
        FirstOwnerCase{"frozenWithFullQueue", FirstOwner::QueueFull, Neighbor::Denies, true,
                       OwnerRank::Second},
        FirstOwnerCase{"selfIsFirstOwner", FirstOwner::Ended, Neighbor::Confirms, false,
                       OwnerRank::First}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace gwt
