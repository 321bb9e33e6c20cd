#include "common/WorkerPool.h"
#include "membership/Membership.h"

#include "LoopbackAddress.h"

#include <boost/asio/ip/udp.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace gwt {
namespace {

using namespace std::chrono_literals;
using asio::ip::udp;

/// \brief A host list whose contents the test sets.
class FakeHostList : public HostList
{
public:
    void set(std::vector<Host> hosts)
    {
        const std::lock_guard lock(m_mutex);
        m_hosts = std::move(hosts);
    }
    Task<Outcome<std::vector<Host>>> hosts(TimePoint) override
    {
        const std::lock_guard lock(m_mutex);
        co_return m_hosts;
    }

private:
    std::mutex m_mutex;
    std::vector<Host> m_hosts;
};

constexpr std::uint16_t gossipPort = 7004; ///< of every member; each has its own address

Endpoint gossipAddress(int number)
{
    return {test::ownLoopbackAddress(number), gossipPort};
}

/// \brief The membership of one daemon with its own threads, as in a separate process.
struct RunningMember
{
    RunningMember(int number, std::vector<Endpoint> seeds)
        : pool(1)
        , membership(pool.executor(), hosts, metrics, member(number),
                     GossipSeeds{std::move(seeds), "host-", {}}, GossipOptions{})
    {
        EXPECT_TRUE(isOk(membership.start()));
    }
    ~RunningMember() { pool.stop(); }

    static Member member(int number)
    {
        Member self;
        self.id = "relay@host-" + std::to_string(number);
        self.role = Role::Relay;
        self.host = "host-" + std::to_string(number);
        self.availabilityZone = "az";
        self.peerAddress = {"127.0.0.1", 1};
        self.gossipAddress = gossipAddress(number);
        return self;
    }

    std::optional<Member> find(int number) const
    {
        const auto members = membership.members();
        for (const Member &one : *members) {
            if (one.host == "host-" + std::to_string(number))
                return one;
        }
        return std::nullopt;
    }

    WorkerPool pool;
    FakeHostList hosts;
    Metrics metrics;
    GossipMembership membership;
};

bool waitFor(const std::function<bool()> &isTrue)
{
    for (int i = 0; i < 3000 && !isTrue(); ++i)
        std::this_thread::sleep_for(10ms);
    return isTrue();
}

constexpr int memberCount = 4;

class GossipMembershipTest : public testing::Test
{
protected:
    GossipMembershipTest()
    {
        for (int i = 0; i < memberCount; ++i)
            start(i);
    }

    void start(int number)
    {
        m_members[number] = std::make_unique<RunningMember>(
            number, std::vector<Endpoint>{gossipAddress(0), gossipAddress(1)});
    }

    bool waitForAll(int subject,
                    const std::function<bool(const std::optional<Member> &)> &isExpected)
    {
        return waitFor([&] {
            return std::all_of(m_members.begin(), m_members.end(), [&](const auto &member) {
                return isExpected(member.second->find(subject));
            });
        });
    }

    static bool isPresent(const std::optional<Member> &member) { return member.has_value(); }
    static bool isAbsent(const std::optional<Member> &member) { return !member; }

    std::map<int, std::unique_ptr<RunningMember>> m_members;
};

TEST_F(GossipMembershipTest, membersDiscoverEachOtherAndPropagateChanges)
{
    for (int i = 0; i < memberCount; ++i)
        EXPECT_TRUE(waitForAll(i, isPresent));
    EXPECT_TRUE(waitFor([&] { return m_members[3]->membership.isSynced(); }));
    m_members[2]->membership.announceReady(true);
    m_members[2]->membership.announceGeneration(5);
    EXPECT_TRUE(waitForAll(
        2, [](const auto &member) { return member->isReady && member->generation == 5; }));
    m_members[2]->membership.announceLeaving();
    EXPECT_TRUE(
        waitForAll(2, [](const auto &member) { return member->state == MemberState::Leaving; }));
}

TEST_F(GossipMembershipTest, lostMemberIsRemovedAndRejoinsWithHigherIncarnation)
{
    ASSERT_TRUE(waitForAll(3, isPresent));
    const std::uint64_t formerIncarnation = m_members[3]->find(3)->incarnation;
    m_members.erase(3);
    EXPECT_TRUE(waitForAll(3, isAbsent));
    start(3);
    EXPECT_TRUE(waitForAll(
        3, [&](const auto &member) { return member && member->incarnation > formerIncarnation; }));
}

TEST_F(GossipMembershipTest, departedMemberIsRemoved)
{
    ASSERT_TRUE(waitForAll(3, isPresent));
    m_members[3]->membership.depart();
    EXPECT_TRUE(waitFor([&] { return !m_members[0]->find(3); }));
}

TEST_F(GossipMembershipTest, memberOnLeavingHostIsShownAsLeaving)
{
    ASSERT_TRUE(waitForAll(2, isPresent));
    m_members[0]->hosts.set({{"host-2", "127.0.0.1", "az", HostState::Leaving}});
    EXPECT_TRUE(waitFor([&] { return m_members[0]->find(2)->state == MemberState::Leaving; }));
    EXPECT_EQ(m_members[1]->find(2)->state, MemberState::Alive);
}

TEST_F(GossipMembershipTest, malformedDatagramsAreCountedAndDropped)
{
    asio::io_context context;
    udp::socket socket(context, udp::v4());
    const Endpoint first = gossipAddress(0);
    const udp::endpoint target(asio::ip::make_address(first.address), first.port);
    for (int i = 0; i < 50; ++i)
        socket.send_to(asio::buffer("not a datagram of ours " + std::to_string(i)), target);
    EXPECT_TRUE(waitFor([&] {
        return m_members[0]->metrics.text().find(
                   "gwt_membership_malformed_total{reason=\"bad_datagram\"} 50")
            != std::string::npos;
    }));
    EXPECT_TRUE(waitForAll(1, isPresent));
}

} // namespace
} // namespace gwt
