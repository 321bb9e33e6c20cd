#include "CostRoutingModel.h"

#include "gateway/backends/CostSample.h"
#include "gateway/backends/LatencyPicker.h"
#include "gateway/backends/WorkLeftPicker.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace gwt {

namespace {

const std::string routeName = "query";
constexpr Milliseconds routeTarget{120};

Duration fromMs(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

std::unique_ptr<BackendPicker> makePicker(PickerKind kind)
{
    if (kind == PickerKind::WorkLeft)
        return std::make_unique<WorkLeftPicker>();
    return std::make_unique<LatencyPicker>();
}

KindLatency summarize(std::vector<double> &latencies)
{
    std::sort(latencies.begin(), latencies.end());
    const auto at = [&](double quantile) {
        if (latencies.empty())
            return 0.0;
        return latencies[static_cast<std::size_t>(quantile
                                                  * static_cast<double>(latencies.size()))];
    };
    return {at(0.5), at(0.99), at(0.999)};
}

} // namespace

CostRoutingModel::CostRoutingModel(CostScenario scenario, PickerKind picker)
    : m_scenario(std::move(scenario))
    , m_picker(makePicker(picker))
    , m_hosts(static_cast<std::size_t>(m_scenario.hosts))
    , m_latencies(m_scenario.kinds.size())
    , m_arrivals(m_scenario.seed)
{
    for (const double pace : m_scenario.paces)
        m_servers.push_back({pace, 0, {}, 0});
    for (Host &host : m_hosts) {
        for (std::size_t i = 0; i < m_servers.size(); ++i)
            host.views.emplace_back();
    }
    for (int i = 0; i < m_scenario.requests; ++i)
        m_requests.push_back(draw(static_cast<std::size_t>(i)));
}

void CostRoutingModel::schedule(TimePoint time, bool isArrival, std::size_t request)
{
    m_events.push({time, m_nextSequence++, isArrival, request});
}

Duration CostRoutingModel::meanInterval() const
{
    double capacity = 0;
    for (const double pace : m_scenario.paces)
        capacity += m_scenario.slots / pace;
    double meanMs = 0;
    double shares = 0;
    for (const RequestKind &kind : m_scenario.kinds) {
        meanMs += kind.share * kind.meanMs;
        shares += kind.share;
    }
    return fromMs(meanMs / shares / capacity / m_scenario.load);
}

CostRoutingModel::Request CostRoutingModel::draw(std::size_t index)
{
    RandomEngine random(m_scenario.seed * 1'000'003 + index);
    std::vector<double> shares;
    for (const RequestKind &kind : m_scenario.kinds)
        shares.push_back(kind.share);
    Request request;
    request.kind = std::discrete_distribution<std::size_t>(shares.begin(), shares.end())(random);
    request.host = std::uniform_int_distribution<std::size_t>(0, m_hosts.size() - 1)(random);
    const RequestKind &kind = m_scenario.kinds[request.kind];
    if (kind.onlyHost >= 0)
        request.host = static_cast<std::size_t>(kind.onlyHost);
    const bool isSwapped = m_scenario.swapsCosts && request.kind < 2
        && index * 2 >= static_cast<std::size_t>(m_scenario.requests);
    const double meanMs = m_scenario.kinds[isSwapped ? 1 - request.kind : request.kind].meanMs;
    const double mu = std::log(meanMs) - kind.sigma * kind.sigma / 2;
    request.cost = fromMs(std::lognormal_distribution<double>(mu, kind.sigma)(random));
    return request;
}

CostKind CostRoutingModel::kindOf(const Request &request) const
{
    const RequestKind &kind = m_scenario.kinds[request.kind];
    return {routeName, "POST", kind.bodyBytes, kind.team};
}

std::size_t CostRoutingModel::choose(const Request &request, Host &host)
{
    std::size_t best = 0;
    Duration least = Duration::max();
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        const View &view = host.views[i];
        const Duration oldest
            = view.sentTimes.empty() ? Duration::zero() : m_now - *view.sentTimes.begin();
        const ServerLoad load{view.score,       view.work, static_cast<int>(view.sentTimes.size()),
                              m_scenario.slots, oldest,    false};
        const Duration expected
            = m_picker->expected(load, request.typicalLatency, request.estimate, m_now);
        if (expected < least) {
            least = expected;
            best = i;
        }
    }
    return best;
}

void CostRoutingModel::arrive(std::size_t index)
{
    Request &request = m_requests[index];
    Host &host = m_hosts[request.host];
    request.sentAt = m_now;
    request.typicalLatency = host.latencies.typicalLatency(routeName, routeTarget);
    request.estimate = host.costs.estimate(kindOf(request), request.typicalLatency, m_now);
    const double error
        = m_arrivals() % 2 == 0 ? m_scenario.estimateError : 1 / m_scenario.estimateError;
    request.estimate.mean = std::chrono::duration_cast<Duration>(request.estimate.mean * error);
    request.server = choose(request, host);
    View &view = host.views[request.server];
    view.work.begin(index, request.estimate, m_scenario.slots, m_now);
    view.sentTimes.insert(m_now);
    Server &server = m_servers[request.server];
    server.waiting.push_back(index);
    startNext(server);
    if (index + 1 < m_requests.size()) {
        const double meanMs = std::chrono::duration<double, std::milli>(meanInterval()).count();
        const double wait = std::exponential_distribution<double>(1 / meanMs)(m_arrivals);
        schedule(m_now + fromMs(wait), true, index + 1);
    }
}

void CostRoutingModel::startNext(Server &server)
{
    if (server.waiting.empty() || server.running >= m_scenario.slots)
        return;
    const std::size_t index = server.waiting.front();
    server.waiting.pop_front();
    ++server.running;
    const auto time = std::chrono::duration_cast<Duration>(m_requests[index].cost * server.pace);
    schedule(m_now + time, false, index);
}

void CostRoutingModel::learn(std::size_t index)
{
    const Request &request = m_requests[index];
    Host &host = m_hosts[request.host];
    const Server &server = m_servers[request.server];
    View &view = host.views[request.server];
    const Duration elapsed = m_now - request.sentAt;
    view.score.record(SendResult::Served, elapsed, request.typicalLatency, m_now);
    host.latencies.record(routeName, elapsed);
    std::vector<double> paces;
    for (const View &each : host.views)
        paces.push_back(each.work.pace(m_now));
    const CostSample sample
        = makeCostSample(elapsed, view.work.waited(index, m_now), request.estimate.mean,
                         view.work.pace(m_now), medianPace(std::move(paces)));
    view.work.recordPace(sample.paceRatio, sample.paceWeight, m_now);
    host.costs.record(kindOf(request), request.estimate, sample.cost, m_now);
    if (!m_scenario.reportsLoad)
        return;
    const bool isLying = static_cast<int>(request.server) == m_scenario.lyingServer;
    LoadReport report{server.running, static_cast<int>(server.waiting.size()), m_scenario.slots,
                      100 / server.pace};
    if (isLying)
        report = {0, 0, m_scenario.slots, 1000};
    view.work.recordReport(report, m_now);
}

void CostRoutingModel::end(std::size_t index)
{
    const Request &request = m_requests[index];
    Server &server = m_servers[request.server];
    Host &host = m_hosts[request.host];
    --server.running;
    ++server.served;
    startNext(server);
    View &view = host.views[request.server];
    learn(index);
    view.work.end(index, m_now);
    view.sentTimes.erase(view.sentTimes.find(request.sentAt));
    if (index * 10 >= m_requests.size()) {
        m_latencies[request.kind].push_back(
            std::chrono::duration<double, std::milli>(m_now - request.sentAt).count());
    }
}

CostRoutingResult CostRoutingModel::run()
{
    schedule(m_now, true, 0);
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        if (event.isArrival)
            arrive(event.request);
        else
            end(event.request);
    }
    CostRoutingResult result;
    for (std::vector<double> &latencies : m_latencies)
        result.kinds.push_back(summarize(latencies));
    for (const Server &server : m_servers)
        result.workShares.push_back(static_cast<double>(server.served)
                                    / static_cast<double>(m_requests.size()));
    Duration estimated{0};
    Duration actual{0};
    for (const Host &host : m_hosts) {
        for (const auto &[route, summary] : host.costs.summaries()) {
            estimated += summary.estimated;
            actual += summary.actual;
        }
    }
    result.estimateRatio = std::chrono::duration<double>(estimated).count()
        / std::chrono::duration<double>(actual).count();
    return result;
}

} // namespace gwt
