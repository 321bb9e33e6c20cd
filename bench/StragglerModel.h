#pragma once

#include "relay/ExtraLoadBudget.h"
#include "relay/ServiceScheduler.h"

#include <deque>
#include <queue>

namespace gwt {

/// \brief Parameters of a simulation.
struct StragglerScenario
{
    int services = 20;
    int replicas = 2;
    int slots = 2;
    double load = 0.45; ///< of the capacity without stragglers
    double meanServiceMs = 8;
    double sigma = 1; ///< of the log-normal service time
    double slowReplicaFactor = 1; ///< of the first replica of the first service
    double slowReplyShare = 0; ///< share of replies that take slowReplyFactor times as long
    double slowReplyFactor = 20;
    int queries = 30'000;
    bool isPinned = false; ///< a request draws its replica on arrival and waits for that one
    std::uint64_t seed = 1;
};

/// \brief Latency of complete queries and the extra load of the policy.
struct StragglerResult
{
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    double extraShare = 0; ///< extra attempts per first attempt
    double ejections = 0;
};

/// \brief Simulates a relay's scheduling in virtual time over simulated replicas.
///
/// Queries arrive as a Poisson process; each sends one request to each service and ends with the
/// last reply. Service times are drawn by request and attempt, so all policies get the same ones.
class StragglerModel
{
public:
    StragglerModel(StragglerScenario scenario, const RelayOptions &options);

    StragglerResult run();

private:
    enum class Kind { Arrival, AttemptEnd, HedgeDue };

    struct Event
    {
        TimePoint time;
        std::uint64_t sequence = 0;
        Kind kind = Kind::Arrival;
        std::size_t request = 0;
        int attempt = 0;
        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    struct Attempt
    {
        std::string replica;
        TimePoint start;
        bool isRunning = false;
        bool isQueued = false;
    };

    struct ShardRequest
    {
        std::size_t query = 0;
        std::size_t service = 0; ///< index of its scheduler
        bool isDone = false;
        Attempt attempts[2];
    };

    struct Query
    {
        TimePoint arrival;
        int pending = 0;
    };

    std::size_t schedulerOf(std::size_t service);
    void schedule(TimePoint time, Kind kind, std::size_t request = 0, int attempt = 0);
    void arrive();
    void hedge(std::size_t request);
    void endAttempt(std::size_t request, int attempt);
    void completeRequest(ShardRequest &request, std::size_t index);
    void grant(std::size_t service);
    void enqueue(std::size_t request, int attempt);
    Duration serviceTime(std::size_t request, int attempt, const std::string &replica) const;

    StragglerScenario m_scenario;
    std::vector<std::unique_ptr<ServiceScheduler>> m_services;
    ExtraLoadBudget m_budget;
    std::priority_queue<Event> m_events;
    std::deque<ShardRequest> m_requests;
    std::deque<Query> m_queries;
    std::vector<double> m_latencies;
    RandomEngine m_arrivals;
    RandomEngine m_choices;
    TimePoint m_now{std::chrono::hours(1)};
    std::uint64_t m_nextSequence = 0;
    std::uint64_t m_extraAttempts = 0;
    std::uint64_t m_ejections = 0;
};

} // namespace gwt
