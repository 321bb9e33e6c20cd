#include "GatewayFixture.h"

namespace gwt::test {
namespace {

struct TokenCase
{
    std::string name;
    std::string authorization;
    std::string token;
};

class BearerTokenTest : public testing::TestWithParam<TokenCase>
{ };

// A key that is cut wrongly locks its callers out.
TEST_P(BearerTokenTest, returnsTheKeyAlone)
{
    EXPECT_EQ(bearerToken(GetParam().authorization), GetParam().token);
}

INSTANTIATE_TEST_SUITE_P(Fields, BearerTokenTest,
                         testing::Values(TokenCase{"plain", "Bearer k1", "k1"},
                                         TokenCase{"lowerCase", "bearer k1", "k1"},
                                         TokenCase{"blanksAround", "Bearer  k1 ", "k1"},
                                         TokenCase{"otherScheme", "Basic k1", ""},
                                         TokenCase{"noBlank", "Bearerk1", ""},
                                         TokenCase{"noKey", "Bearer ", ""},
                                         TokenCase{"empty", "", ""}),
                         [](const auto &info) { return info.param.name; });

/// Answers all requests alike.
class FixedQuota : public QuotaGate
{
public:
    explicit FixedQuota(QuotaOutcome outcome, double excess = 1)
        : m_outcome(outcome)
        , m_excess(excess)
    { }
    void acquire(const Team &, TimePoint deadline, Handler handler) override
    {
        m_wait = deadline - Clock::now();
        handler({m_outcome, m_excess});
    }
    /// \brief Time that the last request left for the check.
    Duration lastWait() const { return m_wait; }

private:
    QuotaOutcome m_outcome;
    double m_excess;
    Duration m_wait{0};
};

class TeamKeyTest : public GatewayTest
{
protected:
    TeamKeyTest()
    {
        addSingleRoute(true);
        addServer("s", {okResponse("body")});
        addServer("a", {okResponse(std::string(16, 'a'))});
        addServer("b", {okResponse(std::string(16, 'b'))});
        addQueryRoute({"a", "b"}, 1);
        m_config.hasTeams = true;
        m_config.teams = {makeTeam("red", "k1"), makeTeam("blue", "k2")};
    }
    static Team makeTeam(const std::string &name, const std::string &key)
    {
        return {name, {digestOfKey(key)}, std::nullopt, {}};
    }
};

struct AccessCase
{
    std::string name;
    std::string path;
    bool allowsAnonymous = false;
    std::string fields;
    unsigned status = 200;
    std::string team; ///< that the backend server is told
};

class TeamAccessTest : public TeamKeyTest, public testing::WithParamInterface<AccessCase>
{ };

// Backend servers trust the name of the team, and a key that reaches them can be used by others.
TEST_P(TeamAccessTest, backendServersGetTheTeamAndNeverTheKey)
{
    for (Route &route : m_config.routes)
        route.allowsAnonymous = GetParam().allowsAnonymous;
    start();
    const WireResponse response = sendRequest(GetParam().path, GetParam().fields);
    EXPECT_EQ(response.result_int(), GetParam().status);
    for (const auto &server : m_servers) {
        for (const ServerRequest &request : server->requests()) {
            EXPECT_EQ(request.count("Authorization"), 0U);
            EXPECT_EQ(request["X-Tenant"], GetParam().team);
            EXPECT_EQ(request.count("X-Tenant"), GetParam().team.empty() ? 0U : 1U);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
    Requests, TeamAccessTest,
    testing::Values(
        AccessCase{"knownKey", "/one/1", false, "Authorization: Bearer k2\r\n", 200, "blue"},
        AccessCase{"shardQuery", "/all/1", false, "Authorization: Bearer k1\r\n", 200, "red"},
        AccessCase{"forgedTeam", "/one/1", false, "Authorization: Bearer k1\r\nx-tenant: blue\r\n",
                   200, "red"},
        AccessCase{"unknownKey", "/one/1", false, "Authorization: Bearer k3\r\n", 401, ""},
        AccessCase{"noKey", "/one/1", false, "", 401, ""},
        AccessCase{"shardQueryWithoutKey", "/all/1", false, "", 401, ""},
        AccessCase{"twoKeys", "/one/1", false,
                   "Authorization: Bearer k1\r\nAuthorization: Bearer k2\r\n", 401, ""},
        AccessCase{"anonymous", "/one/1", true, "X-Tenant: red\r\n", 200, ""},
        AccessCase{"anonymousWithUnknownKey", "/all/1", true, "Authorization: Bearer k3\r\n", 200,
                   ""},
        AccessCase{"anonymousRouteWithKey", "/one/1", true, "Authorization: Bearer k1\r\n", 200,
                   "red"}),
    [](const auto &info) { return info.param.name; });

// Deployments without teams forward their own Authorization fields.
TEST_F(TeamKeyTest, withoutTeamsTheFieldsAreForwardedUnchanged)
{
    m_config.hasTeams = false;
    m_config.teams.clear();
    start();
    sendRequest("/one/1", "Authorization: Bearer k3\r\nX-Tenant: own\r\n");
    ASSERT_EQ(m_servers[0]->requests().size(), 1U);
    EXPECT_EQ(m_servers[0]->requests()[0]["Authorization"], "Bearer k3");
    EXPECT_EQ(m_servers[0]->requests()[0]["X-Tenant"], "own");
}

// A caller that stays connected must not keep a key that was removed.
TEST_F(TeamKeyTest, aRemovedKeyIsRejectedByTheNextVersion)
{
    start();
    EXPECT_EQ(sendRequest("/one/1", "Authorization: Bearer k1\r\n").result_int(), 200U);
    m_config.version = 2;
    m_config.teams[0].keys = {digestOfKey("k9")};
    m_core.onConfig(m_config);
    EXPECT_EQ(sendRequest("/one/1", "Authorization: Bearer k1\r\n").result_int(), 401U);
    EXPECT_EQ(sendRequest("/one/1", "Authorization: Bearer k9\r\n").result_int(), 200U);
}

struct ProofCase
{
    std::string name;
    std::optional<Milliseconds> limit;
    std::string fields;
    unsigned status;
};

class KeyProofTest : public TeamKeyTest, public testing::WithParamInterface<ProofCase>
{ };

// A host without contact to the store cannot know that a key was removed.
TEST_P(KeyProofTest, keysNeedARecentProofOnlyWhereItIsAskedFor)
{
    m_config.routes[0].allowsAnonymous = true;
    start();
    m_core.setConfigAge([] { return Duration(6s); });
    m_core.setKeyProofLimit(GetParam().limit);
    const WireResponse response = sendRequest("/one/1", GetParam().fields);
    EXPECT_EQ(response.result_int(), GetParam().status);
}

INSTANTIATE_TEST_SUITE_P(
    Settings, KeyProofTest,
    testing::Values(ProofCase{"notAskedFor", std::nullopt, "Authorization: Bearer k1\r\n", 200},
                    ProofCase{"tooOld", 5s, "Authorization: Bearer k1\r\n", 503},
                    ProofCase{"recentEnough", 7s, "Authorization: Bearer k1\r\n", 200},
                    ProofCase{"anonymous", 5s, "", 200}),
    [](const auto &info) { return info.param.name; });

struct QuotaCase
{
    std::string name;
    QuotaOutcome outcome;
    double rate;
    unsigned status;
    std::size_t requests; ///< that reach the backend server
};

class QuotaAnswerTest : public TeamKeyTest, public testing::WithParamInterface<QuotaCase>
{ };

// 429 and 503 promise that the request has not run.
TEST_P(QuotaAnswerTest, onlyAGrantedRequestIsSent)
{
    FixedQuota quota(GetParam().outcome);
    GatewayCore core(m_context, m_timers, m_options, m_headerNames, m_metrics, &quota);
    CallerServer callers(m_context,
                         CallerContext{m_timers, core, m_metrics, core.limits(), m_headerNames});
    m_gatewayEndpoint = valueOf(callers.listen({"127.0.0.1", 0}));
    m_config.teams[0].quota = {GetParam().rate, 1};
    start();
    core.onConfig(m_config);
    core.onBackends(m_entries);
    const WireResponse response = sendRequest("/one/1", "Authorization: Bearer k1\r\n");
    EXPECT_EQ(response.result_int(), GetParam().status);
    EXPECT_EQ(response.count("Retry-After"), GetParam().status == 200 ? 0U : 1U);
    EXPECT_EQ(m_servers[0]->requests().size(), GetParam().requests);
    runUntil(m_context, [&] { return core.openAttempts() == 0; });
    callers.stopAccepting();
    runFor(5ms); // the handlers of the listener refer to it
}

INSTANTIATE_TEST_SUITE_P(Outcomes, QuotaAnswerTest,
                         testing::Values(QuotaCase{"granted", QuotaOutcome::Granted, 5, 200, 1},
                                         QuotaCase{"overLimit", QuotaOutcome::OverLimit, 5, 429, 0},
                                         QuotaCase{"unknown", QuotaOutcome::Unknown, 5, 503, 0},
                                         QuotaCase{"teamWithoutQuota", QuotaOutcome::OverLimit, 0,
                                                   200, 1}),
                         [](const auto &info) { return info.param.name; });

/// Keeps the requests without a decision.
class PendingQuota : public QuotaGate
{
public:
    void acquire(const Team &, TimePoint, Handler handler) override
    {
        m_handlers.push_back(std::move(handler));
    }
    const std::vector<Handler> &handlers() const { return m_handlers; }

private:
    std::vector<Handler> m_handlers;
};

// Nobody would get the result, and the caller may have sent the request again.
TEST_F(TeamKeyTest, theRequestOfACallerThatLeftDuringTheCheckIsNotSent)
{
    PendingQuota quota;
    GatewayCore core(m_context, m_timers, m_options, m_headerNames, m_metrics, &quota);
    CallerServer callers(m_context,
                         CallerContext{m_timers, core, m_metrics, core.limits(), m_headerNames});
    m_gatewayEndpoint = valueOf(callers.listen({"127.0.0.1", 0}));
    m_config.teams[0].quota = {5, 1};
    start();
    core.onConfig(m_config);
    core.onBackends(m_entries);
    auto caller = connectRaw();
    boost::asio::write(caller,
                       boost::asio::buffer(request("/one/1", "Authorization: Bearer k1\r\n")));
    ASSERT_TRUE(runUntil(m_context, [&] { return quota.handlers().size() == 1; }));
    caller.close();
    runFor(20ms);
    quota.handlers()[0]({});
    runFor(20ms);
    EXPECT_TRUE(m_servers[0]->requests().empty());
    runUntil(m_context, [&] { return core.openAttempts() == 0; });
    callers.stopAccepting();
    runFor(5ms); // the handlers of the listener refer to it
}

// A caller that takes its time to send a body must not make the coordinator seem silent, because
// this host then refuses the requests of other teams.
TEST_F(TeamKeyTest, aSlowBodyLeavesTheWholeTimeToCheckTheQuota)
{
    FixedQuota quota(QuotaOutcome::Granted);
    GatewayCore core(m_context, m_timers, m_options, m_headerNames, m_metrics, &quota);
    CallerServer callers(m_context,
                         CallerContext{m_timers, core, m_metrics, core.limits(), m_headerNames});
    m_gatewayEndpoint = valueOf(callers.listen({"127.0.0.1", 0}));
    m_config.teams[0].quota = {5, 1};
    start();
    core.onConfig(m_config);
    core.onBackends(m_entries);
    auto caller = connectRaw();
    const std::string bytes
        = request("/one/1", "Authorization: Bearer k1\r\nContent-Length: 2\r\n", "b");
    boost::asio::write(caller, boost::asio::buffer(bytes));
    runFor(60ms);
    boost::asio::write(caller, boost::asio::buffer("b", 1));
    runUntil(m_context, [&] { return !m_servers[0]->requests().empty(); });
    EXPECT_GT(quota.lastWait(), 20ms);
    runUntil(m_context, [&] { return core.openAttempts() == 0; });
    callers.stopAccepting();
    runFor(5ms); // the handlers of the listener refer to it
}

// The excess that the coordinator reports has to reach the admission of queries. Of three queries
// at once the third meets a rank half of whose unanswered queries are in use; one in four is
// admitted.
TEST_F(TeamKeyTest, theExcessOfATeamReachesAdmission)
{
    FixedQuota quota(QuotaOutcome::Granted, 1e6);
    GatewayCore core(m_context, m_timers, m_options, m_headerNames, m_metrics, &quota);
    CallerServer callers(m_context,
                         CallerContext{m_timers, core, m_metrics, core.limits(), m_headerNames});
    m_gatewayEndpoint = valueOf(callers.listen({"127.0.0.1", 0}));
    m_config.teams[0].quota = {1000, 1};
    start();
    core.onConfig(m_config);
    core.onBackends(m_entries);
    int refused = 0;
    constexpr int maxRounds = 20;
    for (int round = 0; round < maxRounds && refused == 0; ++round) {
        int answered = 0;
        std::vector<std::shared_ptr<ClientConnection>> connections{connect(), connect(), connect()};
        for (const auto &connection : connections) {
            connection->exchange(request("/all/1", "Authorization: Bearer k1\r\n"), false, nullptr,
                                 [&](Outcome<WireResponse> outcome) {
                                     ++answered;
                                     ASSERT_TRUE(isOk(outcome));
                                     refused += valueOf(outcome).result_int() == 503 ? 1 : 0;
                                 });
        }
        ASSERT_TRUE(runUntil(m_context, [&] { return answered == 3; }));
    }
    EXPECT_GT(refused, 0);
    runUntil(m_context, [&] { return core.openAttempts() == 0; });
    callers.stopAccepting();
    runFor(5ms); // the handlers of the listener refer to it
}

// A label value per team that ever existed would let the metrics grow without a limit.
TEST_F(TeamKeyTest, requestsAreCountedForTheTeamsInForceOnly)
{
    start();
    sendRequest("/one/1", "Authorization: Bearer k1\r\n");
    sendRequest("/all/1", "Authorization: Bearer k2\r\n");
    const auto countOf = [&](const std::string &team) {
        const std::string text = m_metrics.text();
        const std::string line
            = "gwt_gateway_team_requests_total{end=\"served\",team=\"" + team + "\"} 1";
        return text.find(line) != std::string::npos;
    };
    EXPECT_TRUE(countOf("red"));
    EXPECT_TRUE(countOf("blue"));
    m_config.version = 2;
    m_config.teams.erase(m_config.teams.begin());
    m_core.onConfig(m_config);
    EXPECT_FALSE(countOf("red"));
    EXPECT_TRUE(countOf("blue"));
}

} // namespace
} // namespace gwt::test
