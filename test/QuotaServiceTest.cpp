#include "ScriptedServer.h"
#include "gateway/quota/QuotaClient.h"
#include "peer/PeerCodec.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using namespace std::chrono_literals;
using test::runUntil;

/// The leases of a store that always answers at once.
class MemoryLeaseStore : public LeaseStore
{
public:
    void startWatching(TableHandler handler, EraHandler) override
    {
        m_handler = std::move(handler);
        notify();
    }
    std::string holderOf(const std::string &name) const { return m_leases.at(name).holder; }
    void stopWatching() override { m_handler = nullptr; }
    bool isWatched() const { return m_handler != nullptr; }
    TimePoint provenAt() const override { return Clock::now() - m_age; }
    void setAge(Duration age) { m_age = age; }
    void write(const std::string &name, const Lease &lease, WriteHandler handler) override
    {
        Lease written = lease;
        written.revision = ++m_revision;
        m_leases[name] = written;
        handler(written);
        notify();
    }

private:
    void notify()
    {
        if (m_handler)
            m_handler(m_leases, m_revision);
    }

    TableHandler m_handler;
    LeaseTable m_leases;
    std::uint64_t m_revision = 1;
    Duration m_age{0}; ///< of the proof
};

/// A host that coordinates all ranges, and asks itself.
class QuotaServiceTest : public testing::Test
{
protected:
    QuotaServiceTest()
    {
        RoutingConfig config;
        config.version = 1;
        config.teams = {makeTeam("hot")};
        m_service.onConfig(config);
        setMembers({m_options.self});
        m_service.start();
        runUntil(m_context, [&] {
            return m_service.handle(requestOf("hot")).holder() == "self"
                || m_service.handle(requestOf("hot")).excess() > 0;
        });
    }

    static Team makeTeam(const std::string &name) { return {name, {}, std::nullopt, {100, 1}}; }
    static wire::QuotaRequest requestOf(const std::string &team)
    {
        wire::QuotaRequest request;
        request.set_team(team);
        request.set_rate_per_second(100);
        request.set_burst(1);
        return request;
    }
    void setMembers(const std::vector<FleetMember> &members)
    {
        m_service.onMembers(members);
        m_client.onMembers(members);
    }
    QuotaOutcome acquire(const std::string &team)
    {
        std::optional<QuotaOutcome> outcome;
        m_client.acquire(makeTeam(team), Clock::now() + 1s,
                         [&](const QuotaDecision &decision) { outcome = decision.outcome; });
        runUntil(m_context, [&] { return outcome.has_value(); });
        return outcome.value_or(QuotaOutcome::Unknown);
    }

    boost::asio::io_context m_context;
    Metrics m_metrics;
    MemoryLeaseStore m_store;
    PeerClient m_peers{m_context.get_executor(), 300ms};
    const QuotaOptions m_options{{"self", {"127.0.0.1", 1}, "z"}, "self-1", {5s, 0, 0}, {}};
    QuotaService m_service{m_context, m_options, m_store, m_peers, m_metrics};
    QuotaClient m_client{m_context, m_options, m_service, m_peers, m_metrics};
};

// After a change of the coordinator, a team that sends far more than its quota must not cost the
// other teams of its range their service.
TEST_F(QuotaServiceTest, anEmptyBucketOfOneTeamDoesNotAffectTheOthers)
{
    std::string other = "other";
    while (quotaRangeOf(other) != quotaRangeOf("hot"))
        other += "x";
    runUntil(
        m_context, [] { return false; }, 100ms);
    QuotaOutcome last = QuotaOutcome::Granted;
    for (int i = 0; i < 200 && last == QuotaOutcome::Granted; ++i)
        last = acquire("hot");
    ASSERT_EQ(last, QuotaOutcome::Unknown);
    EXPECT_EQ(acquire(other), QuotaOutcome::Granted);
}

// A holder that others reach is not challenged. If it stopped following its lease because hosts
// before it in the order have joined, its ranges would have no coordinator from then on.
TEST_F(QuotaServiceTest, aHolderFollowsItsLeaseAlsoWhenItIsNoLongerACandidate)
{
    ASSERT_TRUE(m_store.isWatched());
    std::vector<FleetMember> members{m_options.self};
    DisseminationTree tree("self");
    for (int i = 0; tree.isWatcher(Clock::now()); ++i) {
        members.push_back({"host-" + std::to_string(i), {"127.0.0.1", 1}, "z"});
        tree.setMembers(members);
    }
    setMembers(members);
    runUntil(
        m_context, [] { return false; }, 150ms);
    EXPECT_TRUE(m_store.isWatched());
}

struct RightsCase
{
    std::string name;
    Duration stateAge;
    std::size_t others; ///< members that do not answer
    bool mayUse;
};

class RightsOfACutOffHostTest : public QuotaServiceTest,
                                public testing::WithParamInterface<RightsCase>
{ };

// Guards against rights that are used twice: the others remove a member that has not answered for a
// minute and divide its rights, while it still uses them if it is only cut off.
TEST_P(RightsOfACutOffHostTest, endBeforeItsRegistrationMayBeRemoved)
{
    std::vector<FleetMember> members{m_options.self};
    for (std::size_t i = 0; i < GetParam().others; ++i)
        members.push_back({"host-" + std::to_string(i), {"127.0.0.1", 1}, "z"});
    setMembers(members);
    m_service.setStateAge([] { return GetParam().stateAge; });
    EXPECT_EQ(m_service.mayUseRights(Clock::now()), GetParam().mayUse);
}

INSTANTIATE_TEST_SUITE_P(Ages, RightsOfACutOffHostTest,
                         testing::Values(RightsCase{"shortCut", 30s, 3, true},
                                         RightsCase{"longCut", 50s, 3, false},
                                         RightsCase{"theOnlyMember", 50s, 0, true}),
                         [](const auto &info) { return info.param.name; });

struct SilentHolderCase
{
    std::string name;
    bool hasListener; ///< another host has the address of the holder
};

class SilentHolderTest : public testing::TestWithParam<SilentHolderCase>
{ };

// Guards against a second coordinator: a cut refuses connections too, and an address may pass to
// another host, while the holder goes on (review case 11).
TEST_P(SilentHolderTest, isNotTakenForOneThatHasEnded)
{
    boost::asio::io_context context;
    Metrics metrics;
    PeerServer other(context.get_executor());
    std::function<Task<wire::QuotaReply>(wire::QuotaRequest, PeerRequest)> reply
        = [](wire::QuotaRequest, PeerRequest) -> Task<wire::QuotaReply> {
        wire::QuotaReply reached;
        reached.set_host("c");
        reached.set_incarnation("c-1");
        reached.set_outcome(wire::QuotaReply::GRANTED);
        co_return reached;
    };
    other.route(QuotaService::s_path, peerHandler(std::move(reply)));
    const Endpoint address = GetParam().hasListener ? valueOf(other.listen({"127.0.0.1", 0}))
                                                    : Endpoint{"127.0.0.1", 1};
    MemoryLeaseStore store;
    store.write("quota-0", {"b", "b-1", 1, 0}, [](const Outcome<Lease> &) {});
    PeerClient peers(context.get_executor(), 300ms);
    const QuotaOptions options{{"a", {"127.0.0.1", 1}, "z"}, "a-1", {5s, 0, 0}, {}};
    QuotaService service(context, options, store, peers, metrics);
    RoutingConfig config;
    config.teams = {{"t", {}, std::nullopt, {5, 5}}};
    service.onConfig(config);
    service.onMembers({options.self, {"b", address, "z"}});
    service.start();
    runUntil(
        context, [&] { return store.holderOf("quota-0") == "a"; }, 2500ms);
    EXPECT_EQ(store.holderOf("quota-0"), "b");
}

INSTANTIATE_TEST_SUITE_P(Addresses, SilentHolderTest,
                         testing::Values(SilentHolderCase{"refuses", false},
                                         SilentHolderCase{"passedToAnotherHost", true}),
                         [](const auto &info) { return info.param.name; });

// A holder that has lost the store, but not the other hosts, grants nothing and answers calls.
TEST(QuotaServiceChallengeTest, aHolderThatCannotProveItsLeaseIsReplaced)
{
    boost::asio::io_context context;
    Metrics metrics;
    PeerServer holder(context.get_executor());
    std::function<Task<wire::QuotaReply>(wire::QuotaRequest, PeerRequest)> reply
        = [](wire::QuotaRequest request, PeerRequest) -> Task<wire::QuotaReply> {
        wire::QuotaReply unproven;
        unproven.set_incarnation("b-1");
        unproven.set_outcome(request.takes_over() ? wire::QuotaReply::YIELDED
                                                  : wire::QuotaReply::UNKNOWN);
        co_return unproven;
    };
    holder.route(QuotaService::s_path, peerHandler(std::move(reply)));
    const Endpoint address = valueOf(holder.listen({"127.0.0.1", 0}));
    MemoryLeaseStore store;
    store.write("quota-0", {"b", "b-1", 1, 0}, [](const Outcome<Lease> &) {});
    PeerClient peers(context.get_executor(), 300ms);
    const QuotaOptions options{{"a", {"127.0.0.1", 1}, "z"}, "a-1", {5s, 0, 0}, {}};
    QuotaService service(context, options, store, peers, metrics);
    RoutingConfig config;
    config.teams = {{"t", {}, std::nullopt, {5, 5}}};
    service.onConfig(config);
    service.onMembers({options.self, {"b", address, "z"}});
    service.start();
    runUntil(
        context, [&] { return store.holderOf("quota-0") == "a"; }, 5s);
    EXPECT_EQ(store.holderOf("quota-0"), "a");
}

// Other hosts replace a holder that has lost the store, and only such a one.
TEST_F(QuotaServiceTest, tellsOtherHostsWhetherItsLeasesAreProven)
{
    const wire::QuotaRequest probe;
    EXPECT_EQ(m_service.handle(probe).outcome(), wire::QuotaReply::GRANTED);
    m_store.setAge(6s);
    EXPECT_EQ(m_service.handle(probe).outcome(), wire::QuotaReply::UNKNOWN);
}

// If it went on granting after that, two coordinators would grant at the same time.
TEST_F(QuotaServiceTest, aHolderThatYieldsGrantsNothingMore)
{
    const wire::QuotaRequest request = requestOf("fresh");
    runUntil(m_context,
             [&] { return m_service.handle(request).outcome() == wire::QuotaReply::GRANTED; });
    wire::QuotaRequest takeover;
    takeover.set_takes_over(true);
    EXPECT_EQ(m_service.handle(takeover).outcome(), wire::QuotaReply::GRANTED);
    m_store.setAge(6s);
    EXPECT_EQ(m_service.handle(takeover).outcome(), wire::QuotaReply::YIELDED);
    m_store.setAge(0s);
    const wire::QuotaReply reply = m_service.handle(request);
    EXPECT_EQ(reply.outcome(), wire::QuotaReply::NOT_HOLDER);
    EXPECT_EQ(reply.holder(), ""); // else callers would come back to this host
}

} // namespace
} // namespace gwt
