#include "StragglerModel.h"

#include <cmath>

namespace gwt {

namespace {

const std::string rankName = "urgent";

Duration fromMs(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

std::string replicaName(std::size_t service, int replica)
{
    return "s" + std::to_string(service) + "-" + std::to_string(replica);
}

} // namespace

StragglerModel::StragglerModel(StragglerScenario scenario, const RelayOptions &options)
    : m_scenario(scenario)
    , m_budget(options.extraLoadShare)
    , m_arrivals(scenario.seed)
    , m_choices(scenario.seed + 1)
{
    for (std::size_t service = 0; service < static_cast<std::size_t>(scenario.services);
         ++service) {
        std::vector<Replica> replicas;
        for (int i = 0; i < scenario.replicas; ++i) {
            Replica replica;
            replica.name = replicaName(service, i);
            replica.slots = scenario.slots;
            replicas.push_back(std::move(replica));
            if (!scenario.isPinned && i + 1 < scenario.replicas)
                continue;
            auto scheduler = std::make_unique<ServiceScheduler>(options, scenario.seed + service);
            scheduler->replicas().configure(replicas);
            m_services.push_back(std::move(scheduler));
            replicas.clear();
        }
    }
}

void StragglerModel::schedule(TimePoint time, Kind kind, std::size_t request, int attempt)
{
    Event event;
    event.time = time;
    event.sequence = m_nextSequence++;
    event.kind = kind;
    event.request = request;
    event.attempt = attempt;
    m_events.push(event);
}

Duration StragglerModel::serviceTime(std::size_t request, int attempt,
                                     const std::string &replica) const
{
    RandomEngine random(m_scenario.seed * 1'000'003 + request * 2
                        + static_cast<std::size_t>(attempt));
    const double mu = std::log(m_scenario.meanServiceMs) - m_scenario.sigma * m_scenario.sigma / 2;
    double time = std::lognormal_distribution<double>(mu, m_scenario.sigma)(random);
    if (std::uniform_real_distribution<double>(0, 1)(random) < m_scenario.slowReplyShare)
        time *= m_scenario.slowReplyFactor;
    if (replica == replicaName(0, 0))
        time *= m_scenario.slowReplicaFactor;
    return fromMs(time);
}

void StragglerModel::enqueue(std::size_t index, int attempt)
{
    ShardRequest &request = m_requests[index];
    QueuedAttempt waiting;
    waiting.id = index * 2 + static_cast<std::size_t>(attempt);
    waiting.rank = rankName;
    waiting.deadline = m_now + std::chrono::hours(1);
    waiting.isExtra = attempt == 1;
    if (attempt == 1)
        waiting.excludedReplica = request.attempts[0].replica;
    request.attempts[attempt].isQueued = true;
    m_services[request.service]->push(std::move(waiting), m_now);
    grant(request.service);
}

void StragglerModel::grant(std::size_t service)
{
    std::vector<AttemptId> expired;
    while (const auto granted = m_services[service]->grantNext(m_now, expired)) {
        const std::size_t index = granted->attempt.id / 2;
        const int number = static_cast<int>(granted->attempt.id % 2);
        Attempt &attempt = m_requests[index].attempts[number];
        attempt.isQueued = false;
        attempt.isRunning = true;
        attempt.replica = granted->replica;
        attempt.start = m_now;
        schedule(m_now + serviceTime(index, number, granted->replica), Kind::AttemptEnd, index,
                 number);
        if (number == 1) {
            ++m_extraAttempts;
            continue;
        }
        m_budget.recordFirstAttempt();
        const auto delay = m_services[service]->hedgeDelay(rankName, true, granted->replica, m_now);
        if (delay)
            schedule(m_now + *delay, Kind::HedgeDue, index);
    }
}

std::size_t StragglerModel::schedulerOf(std::size_t service)
{
    if (!m_scenario.isPinned)
        return service;
    const auto replicas = static_cast<std::size_t>(m_scenario.replicas);
    return service * replicas + m_choices() % replicas;
}

void StragglerModel::arrive()
{
    m_queries.push_back({m_now, m_scenario.services});
    for (std::size_t service = 0; service < static_cast<std::size_t>(m_scenario.services);
         ++service) {
        ShardRequest request;
        request.query = m_queries.size() - 1;
        request.service = schedulerOf(service);
        m_requests.push_back(std::move(request));
        enqueue(m_requests.size() - 1, 0);
    }
    if (m_queries.size() == static_cast<std::size_t>(m_scenario.queries))
        return;
    const double requestsPerMs
        = m_scenario.load * m_scenario.replicas * m_scenario.slots / m_scenario.meanServiceMs;
    schedule(m_now + fromMs(std::exponential_distribution<double>(requestsPerMs)(m_arrivals)),
             Kind::Arrival);
}

void StragglerModel::hedge(std::size_t index)
{
    const bool isDue = !m_requests[index].isDone
        && m_services[m_requests[index].service]->load(m_now).liveReplicas > 1;
    if (isDue && m_budget.tryAcquire())
        enqueue(index, 1);
}

void StragglerModel::endAttempt(std::size_t index, int number)
{
    ShardRequest &request = m_requests[index];
    Attempt &attempt = request.attempts[number];
    if (!attempt.isRunning)
        return;
    attempt.isRunning = false;
    if (m_services[request.service]->finish(attempt.replica, rankName, AttemptOutcome::Answered,
                                            m_now - attempt.start, m_now))
        ++m_ejections;
    if (!request.isDone)
        completeRequest(request, index);
    grant(request.service);
}

void StragglerModel::completeRequest(ShardRequest &request, std::size_t index)
{
    request.isDone = true;
    for (int number = 0; number < 2; ++number) {
        Attempt &loser = request.attempts[number];
        if (loser.isQueued) {
            m_services[request.service]->remove(index * 2 + static_cast<std::size_t>(number));
            m_budget.refund();
            loser.isQueued = false;
        }
        if (!loser.isRunning)
            continue;
        loser.isRunning = false;
        const AttemptOutcome end = number == 0 ? AttemptOutcome::Overrun : AttemptOutcome::Neutral;
        if (m_services[request.service]->finish(loser.replica, rankName, end, m_now - loser.start,
                                                m_now))
            ++m_ejections;
    }
    Query &query = m_queries[request.query];
    if (--query.pending == 0)
        m_latencies.push_back(
            std::chrono::duration<double, std::milli>(m_now - query.arrival).count());
}

StragglerResult StragglerModel::run()
{
    schedule(m_now, Kind::Arrival);
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        switch (event.kind) {
        case Kind::Arrival:
            arrive();
            break;
        case Kind::AttemptEnd:
            endAttempt(event.request, event.attempt);
            break;
        case Kind::HedgeDue:
            hedge(event.request);
            break;
        }
    }
    std::sort(m_latencies.begin(), m_latencies.end());
    const auto at = [this](double q) {
        return m_latencies[static_cast<std::size_t>(q * static_cast<double>(m_latencies.size()))];
    };
    StragglerResult result;
    result.p50Ms = at(0.5);
    result.p99Ms = at(0.99);
    result.p999Ms = at(0.999);
    result.extraShare
        = static_cast<double>(m_extraAttempts) / static_cast<double>(m_requests.size());
    result.ejections = static_cast<double>(m_ejections);
    return result;
}

} // namespace gwt
