#include "ProcessFleet.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <sys/socket.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <mutex>
#include <regex>
#include <thread>

namespace gwt {
namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

constexpr int fleetHosts = 3;
constexpr int callersPerEntry = 24;
constexpr Milliseconds idleClosePeriod{200}; ///< a request may cross the close of its connection

enum class RequestKind { Search, Booking, Readiness };

struct Request
{
    std::string text;
    std::string key; ///< of a booking
};

Request makeRequest(RequestKind kind, const std::string &rank, const std::string &key)
{
    if (kind == RequestKind::Readiness)
        return {"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n", ""};
    const bool isBooking = kind == RequestKind::Booking;
    const std::string body = R"({"index":"pots","rank":")" + rank + "\","
        + (isBooking ? R"("payload":{"order":")" + key + "\"}}" : R"("query":"beans"})");
    return {"POST " + std::string(isBooking ? "/v1/bookings" : "/v1/search")
                + " HTTP/1.1\r\nHost: h\r\n" + (isBooking ? "Idempotency-Key: " + key + "\r\n" : "")
                + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
            isBooking ? key : ""};
}

/// \brief A response as it came over the connection.
struct RawResponse
{
    int status = 0; ///< 0 if the connection closed before the response was complete
    bool mustClose = false;
    std::string text;
};

/// \brief A blocking connection of a caller.
class RawConnection
{
public:
    bool open(const Endpoint &remote)
    {
        boost::system::error_code failure;
        m_socket = tcp::socket(m_context);
        m_buffered.clear();
        m_socket.connect({asio::ip::make_address(remote.address), remote.port}, failure);
        const timeval timeout{20, 0};
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        return !failure;
    }

    RawResponse exchange(const std::string &request)
    {
        RawResponse response;
        boost::system::error_code failure;
        asio::write(m_socket, asio::buffer(request), failure);
        const std::size_t head
            = asio::read_until(m_socket, asio::dynamic_buffer(m_buffered), "\r\n\r\n", failure);
        static const std::regex lengthField("content-length: *([0-9]+)", std::regex::icase);
        std::smatch length;
        if (failure || !std::regex_search(m_buffered, length, lengthField)) {
            response.text = m_buffered + failure.message();
            return response;
        }
        const std::size_t size = head + std::stoul(length[1]);
        if (m_buffered.size() < size) {
            asio::read(m_socket, asio::dynamic_buffer(m_buffered),
                       asio::transfer_exactly(size - m_buffered.size()), failure);
        }
        response.text = m_buffered.substr(0, size);
        m_buffered.erase(0, size);
        if (!failure)
            response.status = std::stoi(response.text.substr(9, 3));
        response.mustClose = response.text.find("Connection: close") != std::string::npos;
        return response;
    }

private:
    asio::io_context m_context;
    tcp::socket m_socket{m_context};
    std::string m_buffered;
};

/// \brief A request that got no complete response.
struct LostRequest
{
    std::string key;
    Milliseconds age{0};
    bool isFirst = false; ///< on its connection
    std::string text;
};

/// \brief What all callers of one address saw.
struct CallerRecord
{
    std::mutex mutex; ///< guards the other members
    std::map<std::string, int> responses; ///< by status and state of the run
    std::vector<LostRequest> lost;
    int refused = 0; ///< connections
};

/// \brief Callers that keep their connection until the server closes it, and then reconnect at
/// once until they are stopped.
class PersistentCallers
{
public:
    PersistentCallers(Endpoint remote, std::string name, std::vector<RequestKind> kinds, int count)
        : m_remote(std::move(remote))
        , m_name(std::move(name))
        , m_kinds(std::move(kinds))
    {
        for (int i = 0; i < count; ++i)
            m_threads.emplace_back([this, i] { run(i); });
    }

    ~PersistentCallers() { stop(); }

    void stop()
    {
        m_isStopping = true;
        for (std::thread &thread : m_threads) {
            if (thread.joinable())
                thread.join();
        }
    }

    CallerRecord &record() { return m_record; }
    const std::string &name() const { return m_name; }

private:
    void run(int number)
    {
        RawConnection connection;
        bool isOpen = false;
        const RequestKind kind = m_kinds[static_cast<std::size_t>(number) % m_kinds.size()];
        const std::string prefix = m_name + "-" + std::to_string(number) + "-";
        for (int i = 0; !m_isStopping; ++i) {
            if (!isOpen && !connection.open(m_remote)) {
                const std::lock_guard lock(m_record.mutex);
                ++m_record.refused;
                std::this_thread::sleep_for(1ms);
                continue;
            }
            const bool isFirst = !isOpen;
            const Request request = makeRequest(kind, "desk", prefix + std::to_string(i));
            const TimePoint sentAt = Clock::now();
            const RawResponse response = connection.exchange(request.text);
            recordResponse(request, response, isFirst,
                           std::chrono::duration_cast<Milliseconds>(Clock::now() - sentAt));
            isOpen = response.status != 0 && !response.mustClose;
        }
    }

    void recordResponse(const Request &request, const RawResponse &response, bool isFirst,
                        Milliseconds age)
    {
        const std::lock_guard lock(m_record.mutex);
        if (response.status == 0) {
            m_record.lost.push_back({request.key, age, isFirst, response.text});
            return;
        }
        const bool isUnknown = response.text.find("\"unknown\"") != std::string::npos;
        ++m_record.responses[std::to_string(response.status) + (isUnknown ? " unknown" : "")];
    }

    const Endpoint m_remote;
    const std::string m_name;
    const std::vector<RequestKind> m_kinds;
    std::atomic<bool> m_isStopping = false;
    CallerRecord m_record;
    std::vector<std::thread> m_threads;
};

std::string logOf(const ProcessFleet &fleet, const std::string &name)
{
    std::ifstream log(fleet.folder() + "/" + name + ".log");
    return {std::istreambuf_iterator<char>(log), {}};
}

bool waitForJoin(ProcessFleet &fleet)
{
    for (int host = 1; host <= fleetHosts; ++host) {
        for (const std::string &name : ProcessFleet::daemonsOf(host)) {
            if (!fleet.waitForReadyMembers(name, fleetHosts * 3))
                return false;
        }
    }
    return true;
}

struct StopOrder
{
    std::string name;
    bool isOverlapping = false;
};

class DaemonStopTest : public testing::TestWithParam<StopOrder>
{
protected:
    DaemonStopTest()
        : m_fleet(ProcessFleetOptions{})
    { }

    void stopDaemons()
    {
        const std::vector<std::string> names = ProcessFleet::daemonsOf(1);
        for (const std::string &name : names) {
            m_fleet.signal(name, SIGTERM);
            if (!GetParam().isOverlapping)
                expectExit(name);
            std::this_thread::sleep_for(100ms);
        }
        for (const std::string &name : names) {
            if (GetParam().isOverlapping)
                expectExit(name);
        }
    }

    void expectExit(const std::string &name)
    {
        EXPECT_EQ(m_fleet.waitExit(name), 0) << name;
        EXPECT_NE(logOf(m_fleet, name).find("requests_cut=0"), std::string::npos) << name;
    }

    void expectNoneLost(PersistentCallers &callers)
    {
        CallerRecord &record = callers.record();
        std::cout << callers.name() << ": refused=" << record.refused
                  << " lost=" << record.lost.size();
        for (const auto &[kind, count] : record.responses)
            std::cout << " [" << kind << "]=" << count;
        for (const LostRequest &request : record.lost) {
            std::cout << " (lost after " << request.age.count() << " ms, first=" << request.isFirst
                      << ": " << request.text << ")";
        }
        std::cout << std::endl;
        EXPECT_FALSE(record.responses.empty()) << callers.name();
        for (const LostRequest &request : record.lost) {
            // These callers leave no connection idle, so that each kept one ends with a response.
            EXPECT_TRUE(request.isFirst) << callers.name() << " " << request.text;
            EXPECT_LT(request.age, idleClosePeriod) << callers.name() << " " << request.text;
            if (!request.key.empty()) {
                EXPECT_EQ(m_fleet.executions(request.key), 0) << request.key;
            }
        }
    }

    ProcessFleet m_fleet;
};

TEST_P(DaemonStopTest, eachRequestReadIsAnswered)
{
    ASSERT_TRUE(m_fleet.start());
    ASSERT_TRUE(waitForJoin(m_fleet));
    std::vector<std::unique_ptr<PersistentCallers>> all;
    for (int host = 1; host <= fleetHosts; ++host) {
        all.push_back(std::make_unique<PersistentCallers>(
            m_fleet.entry(host), "entry-" + std::to_string(host),
            std::vector{RequestKind::Search, RequestKind::Booking}, callersPerEntry));
    }
    for (const std::string &name : ProcessFleet::daemonsOf(1)) {
        all.push_back(std::make_unique<PersistentCallers>(m_fleet.admin(name), "admin of " + name,
                                                          std::vector{RequestKind::Readiness}, 2));
    }
    std::this_thread::sleep_for(500ms);
    stopDaemons();
    std::this_thread::sleep_for(300ms);
    for (const auto &callers : all)
        callers->stop();
    for (const auto &callers : all)
        expectNoneLost(*callers);
}

INSTANTIATE_TEST_SUITE_P(Orders, DaemonStopTest,
                         testing::Values(StopOrder{"inSeries", false},
                                         StopOrder{"overlapping", true}),
                         [](const auto &info) { return info.param.name; });

struct UnfinishedRequest
{
    std::string name;
    RequestKind kind = RequestKind::Search;
};

class DrainBoundTest : public testing::TestWithParam<UnfinishedRequest>
{
protected:
    static ProcessFleetOptions options()
    {
        ProcessFleetOptions options;
        options.drainBoundMs = 500;
        return options;
    }

    DrainBoundTest()
        : m_fleet(options())
    { }

    bool waitForRequests(int count)
    {
        const std::string part = "\"requests_in_progress\":" + std::to_string(count);
        for (int i = 0; i < 500; ++i) {
            if (m_fleet.get(m_fleet.admin("entry-1"), "/status").body.find(part)
                != std::string::npos)
                return true;
            std::this_thread::sleep_for(5ms);
        }
        return false;
    }

    ProcessFleet m_fleet;
};

// Frozen relays never reply, so that the requests can't finish before the bound.
TEST_P(DrainBoundTest, requestsInProgressAreAnswered)
{
    constexpr int requests = 8;
    ASSERT_TRUE(m_fleet.start());
    ASSERT_TRUE(waitForJoin(m_fleet));
    for (const std::string name : {"relay-1", "relay-2", "relay-3"})
        m_fleet.signal(name, SIGSTOP);
    std::vector<RawResponse> responses(requests);
    std::vector<std::thread> callers;
    callers.reserve(responses.size());
    for (int i = 0; i < requests; ++i) {
        callers.emplace_back([this, i, &response = responses[static_cast<std::size_t>(i)]] {
            RawConnection connection;
            if (connection.open(m_fleet.entry(1))) {
                response = connection.exchange(
                    makeRequest(GetParam().kind, "background", "k-" + std::to_string(i)).text);
            }
        });
    }
    EXPECT_TRUE(waitForRequests(requests));
    m_fleet.signal("entry-1", SIGTERM);
    EXPECT_EQ(m_fleet.waitExit("entry-1"), 1);
    for (std::thread &caller : callers)
        caller.join();
    for (const RawResponse &response : responses) {
        EXPECT_EQ(response.status, 504) << response.text;
        EXPECT_TRUE(response.mustClose) << response.text;
        EXPECT_NE(response.text.find(R"("code":"stopping")"), std::string::npos) << response.text;
        EXPECT_NE(response.text.find(R"("run":"unknown")"), std::string::npos) << response.text;
    }
    const std::string log = logOf(m_fleet, "entry-1");
    EXPECT_NE(log.find("requests_cut=" + std::to_string(requests)), std::string::npos) << log;
}

INSTANTIATE_TEST_SUITE_P(Kinds, DrainBoundTest,
                         testing::Values(UnfinishedRequest{"search", RequestKind::Search},
                                         UnfinishedRequest{"booking", RequestKind::Booking}),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt
