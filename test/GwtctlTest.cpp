#include "common/Random.h"
#include "control/Control.h"
#include "http/HttpServer.h"
#include "operator/Operator.h"
#include "platform/StoreAccess.h"
#include "standins/platform/FakePlatform.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace gwt {
namespace {

using namespace std::chrono_literals;

const std::string validConfig = R"(
[place.north]
region = "r"
availability_zone = "az1"

[service.wares]
index = "wares"
slice = "wares-s1"

[backend-server.wares-a]
service = "wares"
place = "north"
address = "10.0.0.1:9000"
slots = 2
connections = 4

[rank.urgent]
target_ms = 200
)";

/// \brief Returns \a text with its first \a from replaced by \a to.
std::string replaceText(std::string text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

class GwtctlTest : public testing::Test
{
protected:
    GwtctlTest()
        : m_pool(2)
        , m_platform(m_pool.executor())
        , m_daemon(m_pool.executor(), HttpServerLimits{},
                   [this](HttpRequest request) -> Task<HttpResponse> {
                       if (request.path() == "/requests/r-1" && !m_trace.empty())
                           co_return HttpResponse::json(200, m_trace);
                       const bool isStatus = request.path() == "/status";
                       co_return HttpResponse::json(isStatus ? 200 : 404, m_status);
                   })
        , m_folder(testing::TempDir() + "gwtctl-" + makeUniqueId())
    {
        std::filesystem::create_directory(m_folder);
        m_options.platform = valueOf(m_platform.listen({"127.0.0.1", 0}));
        m_options.adminEndpoints = {valueOf(m_daemon.listen({"127.0.0.1", 0}))};
        m_options.author = "ana";
        write(validConfig);
    }

    ~GwtctlTest() override
    {
        m_pool.stop();
        std::filesystem::remove_all(m_folder);
    }

    void write(const std::string &text) { std::ofstream(m_folder + "/set.toml") << text; }

    using CommandFunction = OperatorReport (*)(OperatorContext &, const OperatorOptions &);

    OperatorReport run(CommandFunction command, const std::vector<std::string> &arguments)
    {
        m_options.arguments = arguments;
        OperatorContext context(m_options, platform::StoreAccess::connect);
        return command(context, m_options);
    }

    WorkerPool m_pool;
    FakePlatform m_platform;
    std::string m_status = "{}";
    std::string m_trace;
    HttpServer m_daemon;
    std::string m_folder;
    OperatorOptions m_options;
};

TEST_F(GwtctlTest, checkListsEveryFaultWithItsLocationAndAHint)
{
    write(replaceText(replaceText(validConfig, "\"wares\"\nplace", "\"ware\"\nplace"), "200",
                      "\"fast\""));
    const OperatorReport report = run(runCheck, {m_folder});
    EXPECT_EQ(report.exitStatus, exitFailure);
    EXPECT_NE(report.text.find("did you mean \"wares\"?"), std::string::npos) << report.text;
    EXPECT_NE(report.text.find("target_ms"), std::string::npos) << report.text;
    EXPECT_NE(report.text.find("set.toml:"), std::string::npos) << report.text;
    EXPECT_GE(report.json.at("faults").as_array().size(), 2U);
}

TEST_F(GwtctlTest, planListsAddedChangedAndRemovedObjectsWithTheirFields)
{
    ASSERT_EQ(run(runPublish, {m_folder}).exitStatus, exitOk);
    EXPECT_EQ(run(runPlan, {m_folder}).json.at("changes").as_array().size(), 0U);
    write(replaceText(replaceText(validConfig, "rank.urgent", "rank.desk"), "slots = 2",
                      "slots = 3"));
    const OperatorReport plan = run(runPlan, {m_folder});
    EXPECT_EQ(plan.exitStatus, exitOk);
    EXPECT_NE(plan.text.find("changed backend-server wares-a\n  slots: 2 -> 3\n"),
              std::string::npos)
        << plan.text;
    EXPECT_NE(plan.text.find("removed rank urgent\n"), std::string::npos) << plan.text;
    EXPECT_NE(plan.text.find("added rank desk\n  target_ms: 200\n"), std::string::npos)
        << plan.text;
    EXPECT_EQ(plan.json.at("base").to_number<int>(), 1);
}

TEST_F(GwtctlTest, publishListsTheDaemonsWhereTheGenerationIsNotInForce)
{
    m_status = R"({"name":"relay@host-1","state":"ready","generation":1})";
    m_options.wait = 300ms;
    EXPECT_EQ(run(runPublish, {m_folder}).exitStatus, exitOk);
    m_options.adminEndpoints.emplace_back("127.0.0.1", 1);
    const OperatorReport report = run(runPublish, {m_folder});
    EXPECT_EQ(report.exitStatus, exitFailure);
    EXPECT_EQ(report.text,
              "published generation 2\n"
              "not in force on relay@host-1, which has generation 1\n"
              "not in force on 127.0.0.1:1, which does not answer at 127.0.0.1:1\n");
}

TEST_F(GwtctlTest, rollbackPublishesAnOldSetAsANewGeneration)
{
    run(runPublish, {m_folder});
    write(replaceText(validConfig, "200", "300"));
    run(runPublish, {m_folder});
    ASSERT_EQ(run(runRollback, {"1"}).exitStatus, exitOk);
    EXPECT_NE(run(runShow, {"rank", "urgent"}).text.find("target_ms: 200"), std::string::npos);
    const OperatorReport history = run(runHistory, {});
    EXPECT_EQ(history.json.at("generations").as_array().size(), 3U);
    EXPECT_NE(history.text.find("ana  rollback to 1"), std::string::npos) << history.text;
    EXPECT_EQ(run(runRollback, {"9"}).exitStatus, exitFailure);
    EXPECT_EQ(run(runRollback, {"x"}).exitStatus, exitFailure);
}

TEST_F(GwtctlTest, explainPrintsTheOwnerOfAServiceOrBooking)
{
    run(runPublish, {m_folder});
    m_status = R"({"name":"relay@host-1","state":"ready","generation":1,"members":[)"
               R"({"id":"relay@host-1","role":"relay","availability_zone":"az1","state":"alive",)"
               R"("ready":true},{"id":"booking@host-1","role":"booking",)"
               R"("availability_zone":"az1","state":"alive","ready":true}]})";
    const OperatorReport service = run(runExplain, {"wares"});
    EXPECT_EQ(service.exitStatus, exitOk);
    EXPECT_NE(service.text.find("owner: relay@host-1 in az1"), std::string::npos) << service.text;
    const OperatorReport booking = run(runExplain, {"booking", "order-1"});
    EXPECT_NE(booking.text.find("owner: booking@host-1"), std::string::npos) << booking.text;
    EXPECT_NE(run(runExplain, {"ware"}).text.find("did you mean \"wares\"?"), std::string::npos);
}

TEST_F(GwtctlTest, statusFailsIfADaemonIsNotReadyOrUnreachable)
{
    m_status = R"({"name":"relay@host-1","state":"ready","generation":3})";
    EXPECT_EQ(run(runStatus, {}).exitStatus, exitOk);
    m_status = R"({"name":"relay@host-1","state":"priming","generation":0})";
    EXPECT_EQ(run(runStatus, {}).exitStatus, exitFailure);
    m_options.adminEndpoints = {Endpoint("127.0.0.1", 1)};
    EXPECT_EQ(run(runStatus, {}).exitStatus, exitFailure);
}

TEST_F(GwtctlTest, statusPrintsRegistryServicesAndAdmissionOfAGateway)
{
    m_status = R"({"name":"front-1","role":"gateway","state":"ready","generation":7,)"
               R"("registry":{"heard_ms_ago":40},"fleet":[{"name":"front-1"}],)"
               R"("services":[{"service":"a","usable":2,"paused":0},)"
               R"({"service":"b","usable":2,"paused":1}],)"
               R"("admission":[{"first_shard":"a","is_bounded":true}]})";
    const OperatorReport report = run(runStatus, {});
    EXPECT_EQ(report.exitStatus, exitOk);
    EXPECT_EQ(report.text,
              "front-1  ready  generation 7\n"
              "  registry heard 40 ms ago, 1 gateways, 2 services\n"
              "  service b: 2 usable servers, 1 of them paused\n"
              "  queries over a and others are refused in part\n"
              "1 daemons, 0 of them not ready on generation 7\n");
}

TEST_F(GwtctlTest, backendsPrintsTheServersOfAService)
{
    m_status = R"({"name":"front-1","generation":7,"summary":{"waiting":1,"open_legs":3,)"
               R"("repeats":{"allowed":28.6,"hedges":4,"repairs":2}},"servers":[{"id":"i-1",)"
               R"("address":"10.0.0.1:80","is_usable":true,"is_paused":true,"connections":2,)"
               R"("in_flight":1,"oldest_ms":70,"slowness":1.5,"failure_rate":0.25}]})";
    const OperatorReport report = run(runBackends, {"s"});
    EXPECT_EQ(report.exitStatus, exitOk);
    EXPECT_EQ(report.text,
              "front-1\n"
              "  waiting 1  open legs 3  hedges 4.00 and repairs 2.00 of 28.60\n"
              "  i-1  10.0.0.1:80  paused  connections 2  in flight 1  oldest 70 ms  "
              "slowness 1.50  failures 0.25\n");
    m_status = R"({"name":"front-1","servers":[]})";
    EXPECT_EQ(run(runBackends, {"s"}).text, "front-1\n  knows no such service\n");
    m_options.adminEndpoints = {Endpoint("127.0.0.1", 1)};
    EXPECT_EQ(run(runBackends, {"s"}).exitStatus, exitFailure);
    m_options.adminEndpoints.clear();
    EXPECT_EQ(run(runBackends, {"s"}).exitStatus, exitUsage);
}

TEST_F(GwtctlTest, statusListsTheBookingsOfUnknownOutcome)
{
    m_status = R"({"name":"booking@host-1","state":"ready","generation":3,"role":{"unsettled":[)"
               R"({"key":"order-7","service":"wares","sent_ms":1000,"relay":"relay@host-2"}]}})";
    const OperatorReport report = run(runStatus, {});
    EXPECT_NE(report.text.find("booking order-7 of service wares: outcome unknown, sent "),
              std::string::npos)
        << report.text;
    EXPECT_NE(report.text.find("through relay@host-2, held by booking@host-1"), std::string::npos)
        << report.text;
    EXPECT_EQ(report.json.at("unsettled").as_array().size(), 1U);
    m_status = R"({"name":"booking@host-1","state":"ready","generation":3,"role":{}})";
    EXPECT_EQ(run(runStatus, {}).json.at("unsettled").as_array().size(), 0U);
}

TEST_F(GwtctlTest, explainRequestPrintsTheTraceOfASearch)
{
    m_status = R"({"name":"entry@host-1","state":"ready","generation":1})";
    EXPECT_EQ(run(runExplain, {"request", "r-1"}).exitStatus, exitFailure);
    m_trace = R"({"request_id":"r-1","index":"wares","rank":"desk","refused":"","snapshot":4,)"
              R"("shards":2,"answered":1,"missing":[{"service":"wares-2","reason":"late"}],)"
              R"("extra_legs":1,"total_ms":7.5,"slices":[{"slice":"wares-s1",)"
              R"("relay":"relay@host-2","calls":2,"outcome":"answered"}]})";
    const OperatorReport report = run(runExplain, {"request", "r-1"});
    EXPECT_EQ(report.exitStatus, exitOk);
    EXPECT_EQ(report.text,
              "search of index wares, rank desk, at entry@host-1\n"
              "snapshot 4, 1 of 2 shards answered, 1 extra legs\n"
              "missing wares-2: late\n"
              "slice wares-s1: relay@host-2, answered after 2 calls\n");
    m_trace = R"({"request_id":"r-1","index":"wares","rank":"desk","refused":"limit"})";
    EXPECT_NE(run(runExplain, {"request", "r-1"}).text.find("refused before any relay was asked"),
              std::string::npos);
}

struct UsageCase
{
    std::string name;
    std::vector<std::string> arguments;
    int exitStatus;
};

class GwtctlUsageTest : public testing::TestWithParam<UsageCase>
{ };

TEST_P(GwtctlUsageTest, commandLineGivesExitStatus)
{
    std::vector<std::string> arguments = GetParam().arguments;
    arguments.insert(arguments.begin(), "gwtctl");
    std::vector<char *> pointers;
    pointers.reserve(arguments.size());
    for (std::string &argument : arguments)
        pointers.push_back(argument.data());
    EXPECT_EQ(runOperator(static_cast<int>(pointers.size()), pointers.data(),
                          platform::StoreAccess::connect),
              GetParam().exitStatus);
}

INSTANTIATE_TEST_SUITE_P(
    All, GwtctlUsageTest,
    testing::Values(UsageCase{"help", {"--help"}, exitOk},
                    UsageCase{"version", {"--version"}, exitOk},
                    UsageCase{"nothing", {}, exitUsage},
                    UsageCase{"unknownCommand", {"chek", "x"}, exitUsage},
                    UsageCase{"unknownOption", {"check", "x", "--frob"}, exitUsage},
                    UsageCase{"missingArgument", {"check"}, exitUsage},
                    UsageCase{"missingPlatform", {"publish", "x"}, exitUsage},
                    UsageCase{"badPlatform", {"publish", "x", "--platform", "y"}, exitUsage},
                    UsageCase{"badOutput", {"check", "x", "--output", "xml"}, exitUsage},
                    UsageCase{"noSuchFolder", {"check", "/no/such/folder"}, exitFailure}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt
