#include "ProcessFleet.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace gwt {
namespace {

using namespace std::chrono_literals;
namespace json = boost::json;

constexpr int hosts = 3;

ProcessFleetOptions debugLogFleet()
{
    ProcessFleetOptions options;
    options.hosts = hosts;
    options.logLevel = "debug";
    return options;
}

/// \brief Returns whether the daemon's log has \a event for the request \a requestId.
bool logContains(const ProcessFleet &fleet, const std::string &name, const std::string &event,
                 const std::string &requestId)
{
    std::ifstream log(fleet.folder() + "/" + name + ".log");
    std::string line;
    while (std::getline(log, line)) {
        if (line.find("event=" + event) != std::string::npos
            && line.find("request_id=" + requestId) != std::string::npos)
            return true;
    }
    return false;
}

/// \brief Converts a daemon name to its process name in the fleet: "relay@host-2" to "relay-2".
std::string processNameOf(const std::string &daemon)
{
    return daemon.substr(0, daemon.find('@')) + daemon.substr(daemon.rfind('-'));
}

class ExplainRequestTest : public testing::Test
{
protected:
    ExplainRequestTest()
        : m_fleet(debugLogFleet())
    { }

    void SetUp() override { ASSERT_TRUE(m_fleet.start()); }

    json::object search()
    {
        const HttpResponse response = m_fleet.search(1, "desk");
        EXPECT_EQ(response.status, 200) << response.body;
        return json::parse(response.body).as_object();
    }

    json::object fetchTrace(const std::string &requestId)
    {
        const HttpResponse response
            = m_fleet.get(m_fleet.admin("entry-1"), "/requests/" + requestId);
        EXPECT_EQ(response.status, 200);
        return json::parse(response.body).as_object();
    }

    ProcessFleet m_fleet;
};

TEST_F(ExplainRequestTest, traceNamesTheRelaysThatLoggedTheRequest)
{
    const json::object answer = search();
    const std::string id(answer.at("request_id").as_string());
    const json::object trace = fetchTrace(id);
    EXPECT_EQ(trace.at("answered"), answer.at("coverage").at("answered"));
    EXPECT_TRUE(logContains(m_fleet, "entry-1", "search_answered", id));
    ASSERT_EQ(trace.at("slices").as_array().size(), 2U);
    for (const json::value &slice : trace.at("slices").as_array()) {
        const std::string relay(slice.at("relay").as_string());
        EXPECT_EQ(slice.at("outcome").as_string(), "answered");
        EXPECT_TRUE(logContains(m_fleet, processNameOf(relay), "slice_answered", id)) << relay;
    }
    EXPECT_EQ(m_fleet.get(m_fleet.admin("entry-2"), "/requests/" + id).status, 404);
}

TEST_F(ExplainRequestTest, traceNamesAFrozenRelayAndItsMissingShards)
{
    const json::object healthyTrace
        = fetchTrace(std::string(search().at("request_id").as_string()));
    const json::value &firstSlice = healthyTrace.at("slices").as_array().front();
    const std::string relay(firstSlice.at("relay").as_string());
    m_fleet.signal(processNameOf(relay), SIGSTOP);
    const json::object answer = search();
    m_fleet.signal(processNameOf(relay), SIGCONT);
    const json::object trace = fetchTrace(std::string(answer.at("request_id").as_string()));
    EXPECT_EQ(trace.at("missing"), answer.at("coverage").at("missing"));
    EXPECT_FALSE(trace.at("missing").as_array().empty());
    bool isRelayListed = false;
    for (const json::value &slice : trace.at("slices").as_array())
        isRelayListed
            |= slice.at("relay") == firstSlice.at("relay") && slice.at("outcome") != "answered";
    EXPECT_TRUE(isRelayListed) << json::serialize(trace);
}

} // namespace
} // namespace gwt
