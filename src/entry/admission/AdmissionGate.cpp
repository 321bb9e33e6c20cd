#include "entry/admission/AdmissionGate.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr Milliseconds shareWindow{2000};
// The HTTP API returns Retry-After in whole seconds.
constexpr std::chrono::seconds shortestRetry{1};
constexpr std::chrono::seconds longestRetry{30};
/// Maximum share of the time to the deadline that a query may spend in the background queue.
constexpr double largestWaitShare = 0.5;

std::unique_ptr<const AdmissionPolicy> makePolicy(const AdmissionOptions &options)
{
    if (options.isRanked)
        return std::make_unique<RankedAdmission>();
    return std::make_unique<OpenAdmission>();
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
    , m_open(services.begin(), services.end())
    , m_skipped(std::move(skipped))
{ }

AdmissionTicket::~AdmissionTicket()
{
    finish({m_open.begin(), m_open.end()}, {});
}

void AdmissionTicket::finish(const std::vector<std::string> &services,
                             const std::vector<ServiceLoadReport> &reports)
{
    std::vector<std::string> ended;
    const std::lock_guard lock(m_mutex);
    for (const std::string &service : services) {
        if (m_open.erase(service) > 0)
            ended.push_back(service);
    }
    if (const auto gate = m_gate.lock())
        (*gate)->finish(ended, m_worth, reports);
}

AdmissionGate::AdmissionGate(const MembershipView &membership, AdmissionOptions options,
                             Metrics &metrics)
    : m_membership(membership)
    , m_options(options)
    , m_metrics(metrics)
    , m_policy(makePolicy(options))
    , m_loads(options.concurrency)
    , m_shares(shareWindow)
    , m_retryAdvice(shareWindow, shortestRetry, longestRetry)
{ }

Task<Outcome<std::shared_ptr<AdmissionTicket>>> AdmissionGate::admit(AdmissionQuery query,
                                                                     CancelToken cancel)
{
    OneShot<Verdict> verdict;
    const TimePoint now = Clock::now();
    {
        const std::lock_guard lock(m_mutex);
        const AdmissionDecision decision = m_policy->decide(query, m_loads, m_shares, now);
        if (decision.verdict == AdmissionVerdict::Admitted) {
            start(query, decision.skipped, now);
            verdict.set(decision.skipped);
        } else if (decision.verdict == AdmissionVerdict::Refused || !query.rank.isBackground) {
            verdict.set(Error{ErrorCode::Overloaded, decision.reason, ""});
        } else if (!mayWait(query, now)) {
            verdict.set(Error{ErrorCode::Overloaded, "background_queue_full", ""});
        } else {
            m_waiting[query.index].push_back(Waiter{query, verdict});
        }
    }
    const auto registration = cancel.onCancel([verdict] {
        verdict.set(Error{ErrorCode::Cancelled, "cancelled", ""});
    });
    const Verdict late = Error{ErrorCode::Overloaded, "expired_in_queue", ""};
    const Verdict settled = co_await verdict.waitUntil(query.deadline, late);
    if (!isOk(settled)) {
        noteRefusal(query, errorOf(settled).reason);
        co_return errorOf(settled);
    }
    countAdmission(query, valueOf(settled), Clock::now() - now);
    co_return std::make_shared<AdmissionTicket>(m_self, servicesWithout(query, valueOf(settled)),
                                                query.rank.worth, valueOf(settled));
}

std::shared_ptr<AdmissionTicket> AdmissionGate::readmit(const std::vector<std::string> &services,
                                                        double worth)
{
    {
        const std::lock_guard lock(m_mutex);
        m_loads.start(services, worth);
    }
    return std::make_shared<AdmissionTicket>(m_self, services, worth, std::vector<std::string>{});
}

bool AdmissionGate::mayWait(const AdmissionQuery &query, TimePoint now) const
{
    const auto waiters = m_waiting.find(query.index);
    const std::size_t waiting = waiters == m_waiting.end() ? 0 : waiters->second.size();
    if (waiting >= m_options.backgroundQueue)
        return false;
    const double rate = m_shares.rateOf(query.index, query.rank.name, now);
    const double secondsLeft = std::chrono::duration<double>(query.deadline - now).count();
    const double mostWaiting = std::max(1.0, rate * secondsLeft * largestWaitShare);
    return rate <= 0 || static_cast<double>(waiting) < mostWaiting;
}

void AdmissionGate::start(const AdmissionQuery &query, const std::vector<std::string> &skipped,
                          TimePoint now)
{
    m_loads.start(servicesWithout(query, skipped), query.rank.worth);
    m_shares.add(query.index, query.rank.name, now);
}

void AdmissionGate::finish(const std::vector<std::string> &services, double worth,
                           const std::vector<ServiceLoadReport> &reports)
{
    const int entries = liveEntries();
    const TimePoint now = Clock::now();
    const std::lock_guard lock(m_mutex);
    for (const ServiceLoadReport &report : reports)
        m_loads.report(report, entries, now);
    m_loads.finish(services, worth);
    admitWaiting(now);
}

void AdmissionGate::admitWaiting(TimePoint now)
{
    for (auto &[index, waiters] : m_waiting) {
        while (!waiters.empty() && admitFirst(waiters, now))
            waiters.pop_front();
    }
}

bool AdmissionGate::admitFirst(std::deque<Waiter> &waiters, TimePoint now)
{
    const Waiter &first = waiters.front();
    if (first.verdict.isSet())
        return true;
    const AdmissionDecision decision = m_policy->decide(first.query, m_loads, m_shares, now);
    if (decision.verdict == AdmissionVerdict::Blocked)
        return false;
    if (decision.verdict == AdmissionVerdict::Refused)
        first.verdict.set(Error{ErrorCode::Overloaded, decision.reason, ""});
    else if (first.verdict.set(decision.skipped))
        start(first.query, decision.skipped, now);
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

int AdmissionGate::waiting() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t waiting = 0;
    for (const auto &[index, waiters] : m_waiting)
        waiting += waiters.size();
    return static_cast<int>(waiting);
}

Duration AdmissionGate::retryAfter(const std::string &index, const std::string &rank) const
{
    const TimePoint now = Clock::now();
    const std::lock_guard lock(m_mutex);
    return m_retryAdvice.retryAfter(index, rank, m_shares.rateOf(index, rank, now), now);
}

void AdmissionGate::noteRefusal(const AdmissionQuery &query, const std::string &reason)
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
