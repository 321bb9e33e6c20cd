#pragma once

#include "common/Random.h"
#include "gateway/backends/BackendPicker.h"
#include "gateway/policy/HedgeTimer.h"

#include <deque>
#include <memory>
#include <queue>
#include <set>
#include <vector>

namespace gwt {

/// \brief Requests of one kind within a CostScenario, all of the same route.
struct RequestKind
{
    double share = 1; ///< of the requests
    double meanMs = 8; ///< at a server of pace 1
    double sigma = 0.25; ///< of the log-normal cost
    std::size_t bodyBytes = 0;
    std::string team;
    int onlyHost = -1; ///< the only host that sends it; -1: all do
};

/// \brief Parameters of a simulation.
struct CostScenario
{
    std::string name;
    std::vector<RequestKind> kinds{{0.9, 4, 0.25, 100, "", -1}, {0.1, 40, 0.25, 30'000, "", -1}};
    std::vector<double> paces{1, 1, 1}; ///< of the servers; 2: half as fast
    int slots = 2;
    int hosts = 1; ///< gateway processes, which share no state
    double load = 0.6; ///< of the servers' capacity
    int requests = 20'000;
    bool swapsCosts = false; ///< the first two kinds swap their costs after half of the requests
    double estimateError = 1; ///< estimates are multiplied or divided by it, at random
    bool reportsLoad = false; ///< servers send load reports
    int lyingServer = -1; ///< claims to be idle and fast; -1: none
    std::uint64_t seed = 1;
};

/// \brief Latency of the requests of one kind.
struct KindLatency
{
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
};

struct CostRoutingResult
{
    std::vector<KindLatency> kinds; ///< in the order of the scenario
    std::vector<double> workShares; ///< of the servers, in requests
    double estimateRatio = 0; ///< sum of the estimates over the sum of the costs as observed
};

/// \brief Simulates gateway processes that choose among the servers of one service, in virtual
/// time.
///
/// Requests arrive as a Poisson process. Each server serves first come, first served on its slots.
/// Costs are drawn by request, so all pickers get the same ones. The first tenth of the requests
/// is not measured.
class CostRoutingModel
{
public:
    CostRoutingModel(CostScenario scenario, PickerKind picker);

    CostRoutingResult run();

private:
    struct Request
    {
        std::size_t kind = 0;
        std::size_t host = 0;
        std::size_t server = 0;
        Duration cost{0}; ///< at a server of pace 1
        Duration typicalLatency{0};
        CostEstimate estimate;
        TimePoint sentAt;
    };

    /// What one host knows of one server.
    struct View
    {
        BackendScore score;
        ServerWork work;
        std::multiset<TimePoint> sentTimes;
    };

    struct Host
    {
        std::vector<View> views;
        CostEstimator costs;
        HedgeTimer latencies;
    };

    struct Server
    {
        double pace = 1;
        int running = 0;
        std::deque<std::size_t> waiting;
        std::size_t served = 0;
    };

    struct Event
    {
        TimePoint time;
        std::uint64_t sequence = 0;
        bool isArrival = false;
        std::size_t request = 0;
        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    void schedule(TimePoint time, bool isArrival, std::size_t request);
    Duration meanInterval() const;
    Request draw(std::size_t index);
    void arrive(std::size_t index);
    std::size_t choose(const Request &request, Host &host);
    void startNext(Server &server);
    void end(std::size_t index);
    void learn(std::size_t index);
    CostKind kindOf(const Request &request) const;

    const CostScenario m_scenario;
    const std::unique_ptr<BackendPicker> m_picker;
    std::vector<Host> m_hosts;
    std::vector<Server> m_servers;
    std::vector<Request> m_requests;
    std::priority_queue<Event> m_events;
    std::vector<std::vector<double>> m_latencies; ///< by kind, in milliseconds
    TimePoint m_now{std::chrono::hours(1)};
    std::uint64_t m_nextSequence = 0;
    RandomEngine m_arrivals;
};

} // namespace gwt
