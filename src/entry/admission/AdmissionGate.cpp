#include "entry/admission/AdmissionGate.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr Milliseconds shareWindow{2000};
// The HTTP API returns Retry-After in whole seconds.
constexpr std::chrono::seconds minRetryAfter{1};
constexpr std::chrono::seconds maxRetryAfter{30};
/// Maximum share of the time to the deadline that a query may spend in the background queue.
constexpr double maxQueueTimeShare = 0.5;

std::unique_ptr<const AdmissionPolicy> makePolicy(const AdmissionOptions &options)
{
    if (options.isRanked)
        return std::make_unique<RankedAdmission>();
    return std::make_unique<AdmitAllPolicy>();
}

} // namespace

std::vector<std::string> servicesWithout(const AdmissionQuery &query,
                                         const std::vector<std::string> &skipped)
{
    std::vector<std::string> services;
    for (const std::string &service : query.services) {
        if (std::find(skipped.begin(), skipped.end(), service) == skipped.end())
            services.push_back(service);
    }
    return services;
}

AdmissionTicket::AdmissionTicket(std::weak_ptr<AdmissionGate *> gate,
                                 std::vector<std::string> services, double worth,
                                 std::vector<std::string> skipped)
    : m_gate(std::move(gate))
    , m_worth(worth)
    , m_inFlight(services.begin(), services.end())
    , m_skipped(std::move(skipped))
{ }

AdmissionTicket::~AdmissionTicket()
{
    finish({m_inFlight.begin(), m_inFlight.end()}, {});
}

void AdmissionTicket::finish(const std::vector<std::string> &services,
                             const std::vector<ServiceLoadReport> &reports)
{
    std::vector<std::string> ended;
    const std::lock_guard lock(m_mutex);
    for (const std::string &service : services) {
        if (m_inFlight.erase(service) > 0)
            ended.push_back(service);
    }
    if (const auto gate = m_gate.lock())
        (*gate)->finishRequests(ended, m_worth, reports);
}

AdmissionGate::AdmissionGate(const MembershipView &membership, AdmissionOptions options,
                             Metrics &metrics)
    : m_membership(membership)
    , m_options(options)
    , m_metrics(metrics)
    , m_policy(makePolicy(options))
    , m_loads(options.concurrency)
    , m_shares(shareWindow)
    , m_retryAdvice(shareWindow, minRetryAfter, maxRetryAfter)
{ }

Task<Outcome<std::shared_ptr<AdmissionTicket>>> AdmissionGate::admit(AdmissionQuery query,
                                                                     CancelToken cancel)
{
    OneShot<AdmissionResult> result;
    const TimePoint now = Clock::now();
    {
        const std::lock_guard lock(m_mutex);
        const AdmissionDecision decision = m_policy->decide(query, m_loads, m_shares, now);
        if (decision.verdict == AdmissionVerdict::Admitted) {
            startQuery(query, decision.skipped, now);
            result.set(decision.skipped);
        } else if (decision.verdict == AdmissionVerdict::Refused || !query.rank.isBackground) {
            result.set(Error{ErrorCode::Overloaded, decision.reason, ""});
        } else if (!canQueue(query, now)) {
            result.set(Error{ErrorCode::Overloaded, "background_queue_full", ""});
        } else {
            m_queues[query.index].push_back(QueuedQuery{query, result});
        }
    }
    const auto registration = cancel.onCancel([result] {
        result.set(Error{ErrorCode::Cancelled, "cancelled", ""});
    });
    const AdmissionResult expired = Error{ErrorCode::Overloaded, "expired_in_queue", ""};
    const AdmissionResult admission = co_await result.waitUntil(query.deadline, expired);
    if (!isOk(admission)) {
        recordRefusal(query, errorOf(admission).reason);
        co_return errorOf(admission);
    }
    countAdmission(query, valueOf(admission), Clock::now() - now);
    co_return std::make_shared<AdmissionTicket>(m_self, servicesWithout(query, valueOf(admission)),
                                                query.rank.worth, valueOf(admission));
}

std::shared_ptr<AdmissionTicket>
AdmissionGate::admitReplan(const std::vector<std::string> &services, double worth)
{
    {
        const std::lock_guard lock(m_mutex);
        m_loads.addInFlight(services, worth);
    }
    return std::make_shared<AdmissionTicket>(m_self, services, worth, std::vector<std::string>{});
}

bool AdmissionGate::canQueue(const AdmissionQuery &query, TimePoint now) const
{
    const auto queue = m_queues.find(query.index);
    const std::size_t queued = queue == m_queues.end() ? 0 : queue->second.size();
    if (queued >= m_options.backgroundQueueLimit)
        return false;
    const double rate = m_shares.rateOf(query.index, query.rank.name, now);
    const double secondsLeft = std::chrono::duration<double>(query.deadline - now).count();
    const double maxQueued = std::max(1.0, rate * secondsLeft * maxQueueTimeShare);
    return rate <= 0 || static_cast<double>(queued) < maxQueued;
}

void AdmissionGate::startQuery(const AdmissionQuery &query, const std::vector<std::string> &skipped,
                               TimePoint now)
{
    m_loads.addInFlight(servicesWithout(query, skipped), query.rank.worth);
    m_shares.add(query.index, query.rank.name, now);
}

void AdmissionGate::finishRequests(const std::vector<std::string> &services, double worth,
                                   const std::vector<ServiceLoadReport> &reports)
{
    const int entries = liveEntries();
    const TimePoint now = Clock::now();
    const std::lock_guard lock(m_mutex);
    for (const ServiceLoadReport &report : reports)
        m_loads.applyReport(report, entries, now);
    m_loads.removeInFlight(services, worth);
    admitQueued(now);
}

void AdmissionGate::admitQueued(TimePoint now)
{
    for (auto &[index, queue] : m_queues) {
        while (!queue.empty() && admitFront(queue, now))
            queue.pop_front();
    }
}

bool AdmissionGate::admitFront(std::deque<QueuedQuery> &queue, TimePoint now)
{
    const QueuedQuery &first = queue.front();
    if (first.result.isSet())
        return true;
    const AdmissionDecision decision = m_policy->decide(first.query, m_loads, m_shares, now);
    if (decision.verdict == AdmissionVerdict::AtLimit)
        return false;
    if (decision.verdict == AdmissionVerdict::Refused)
        first.result.set(Error{ErrorCode::Overloaded, decision.reason, ""});
    else if (first.result.set(decision.skipped))
        startQuery(first.query, decision.skipped, now);
    return true;
}

int AdmissionGate::liveEntries() const
{
    const auto members = m_membership.members();
    const auto isLive = [](const Member &member) {
        return member.role == Role::Entry && member.isReady && member.state != MemberState::Dead
            && member.state != MemberState::Leaving;
    };
    return static_cast<int>(std::count_if(members->begin(), members->end(), isLive));
}

int AdmissionGate::queuedQueries() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t queued = 0;
    for (const auto &[index, queue] : m_queues)
        queued += queue.size();
    return static_cast<int>(queued);
}

Duration AdmissionGate::retryAfter(const std::string &index, const std::string &rank) const
{
    const TimePoint now = Clock::now();
    const std::lock_guard lock(m_mutex);
    return m_retryAdvice.retryAfter(index, rank, m_shares.rateOf(index, rank, now), now);
}

void AdmissionGate::recordRefusal(const AdmissionQuery &query, const std::string &reason)
{
    countRefusal(query.rank.name, reason);
    const std::lock_guard lock(m_mutex);
    m_retryAdvice.addRefusal(query.index, query.rank.name, Clock::now());
}

void AdmissionGate::countRefusal(const std::string &rank, const std::string &reason)
{
    m_metrics
        .counter("gwt_entry_refusals_total", "Searches refused before they fanned out",
                 {{"rank", rank}, {"reason", reason}})
        .Increment();
}

void AdmissionGate::countAdmission(const AdmissionQuery &query,
                                   const std::vector<std::string> &skipped, Duration wait)
{
    m_metrics
        .latency("gwt_entry_admission_wait_seconds",
                 "Time that admitted searches waited for admission", {{"rank", query.rank.name}})
        .Observe(std::chrono::duration<double>(wait).count());
    m_metrics
        .counter("gwt_entry_admissions_total", "Searches admitted", {{"rank", query.rank.name}})
        .Increment();
    if (skipped.empty())
        return;
    m_metrics
        .counter("gwt_entry_skipped_shards_total",
                 "Overloaded shards left out of admitted searches", {{"rank", query.rank.name}})
        .Increment(static_cast<double>(skipped.size()));
}

} // namespace gwt
