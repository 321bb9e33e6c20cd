#pragma once

#include "common/CancelToken.h"
#include "common/Metrics.h"
#include "common/OneShot.h"
#include "common/Outcome.h"
#include "entry/admission/AdmissionPolicy.h"
#include "membership/Member.h"
#include "policy/RetryAdvice.h"

#include <deque>
#include <map>
#include <mutex>
#include <set>

namespace gwt {

/// \brief Settings of admission control at an entry.
struct AdmissionOptions
{
    bool isRanked = true; ///< false: admits every query, as a baseline
    ConcurrencyOptions concurrency;
    std::size_t backgroundQueueLimit = 512; ///< max. queued background queries per index
};

class AdmissionGate;

/// \brief The shard requests in flight of one admitted query, one per service.
///
/// The destructor ends those that have not been finished.
class AdmissionTicket
{
public:
    AdmissionTicket(std::weak_ptr<AdmissionGate *> gate, std::vector<std::string> services,
                    double worth, std::vector<std::string> skipped);
    ~AdmissionTicket();
    AdmissionTicket(const AdmissionTicket &) = delete;
    AdmissionTicket &operator=(const AdmissionTicket &) = delete;

    /// \brief Overloaded services that the query leaves out.
    const std::vector<std::string> &skipped() const { return m_skipped; }
    /// \brief Ends the requests to \a services and applies the relay's load reports. Thread-safe.
    void finish(const std::vector<std::string> &services,
                const std::vector<ServiceLoadReport> &reports);

private:
    const std::weak_ptr<AdmissionGate *> m_gate; ///< may expire before the event loop ends
    std::mutex m_mutex; ///< locked before the gate's mutex
    const double m_worth; ///< worth of the query's rank
    std::set<std::string> m_inFlight;
    std::vector<std::string> m_skipped;
};

/// \brief Admits or refuses each query of an entry before it fans out. Thread-safe.
///
/// A query of a background rank that exceeds a concurrency limit waits in a bounded queue of its
/// index, if its expected wait fits its deadline.
class AdmissionGate
{
public:
    AdmissionGate(const MembershipView &membership, AdmissionOptions options, Metrics &metrics);

    /// \brief Admits \a query, at once or after a wait in the background queue.
    ///
    /// Errors: Overloaded with the reason of the refusal; Cancelled "cancelled".
    Task<Outcome<std::shared_ptr<AdmissionTicket>>> admit(AdmissionQuery query, CancelToken cancel);

    /// \brief Counts an admitted query that fans out again, to \a services. Never refuses.
    std::shared_ptr<AdmissionTicket> admitReplan(const std::vector<std::string> &services,
                                                 double worth);

    /// \brief Counts a search of \a rank that was refused for \a reason, by the gate or before it.
    void countRefusal(const std::string &rank, const std::string &reason);

    /// \brief Number of queries in the background queues.
    int queuedQueries() const;
    /// \brief How long a refused caller should wait, by the recent refusals and admissions.
    Duration retryAfter(const std::string &index, const std::string &rank) const;

private:
    friend class AdmissionTicket;
    using AdmissionResult = Outcome<std::vector<std::string>>; ///< the skipped services

    struct QueuedQuery
    {
        AdmissionQuery query;
        OneShot<AdmissionResult> result;
    };

    void finishRequests(const std::vector<std::string> &services, double worth,
                        const std::vector<ServiceLoadReport> &reports);
    void startQuery(const AdmissionQuery &query, const std::vector<std::string> &skipped,
                    TimePoint now);
    bool canQueue(const AdmissionQuery &query, TimePoint now) const;
    void admitQueued(TimePoint now);
    bool admitFront(std::deque<QueuedQuery> &queue, TimePoint now);
    int liveEntries() const;
    void recordRefusal(const AdmissionQuery &query, const std::string &reason);
    void countAdmission(const AdmissionQuery &query, const std::vector<std::string> &skipped,
                        Duration wait);

    const std::shared_ptr<AdmissionGate *> m_self = std::make_shared<AdmissionGate *>(this);
    const MembershipView &m_membership;
    const AdmissionOptions m_options;
    Metrics &m_metrics;
    const std::unique_ptr<const AdmissionPolicy> m_policy;
    mutable std::mutex m_mutex; ///< guards the members below
    ServiceLoadTable m_loads;
    RankShareMeter m_shares;
    RetryAdvice m_retryAdvice;
    std::map<std::string, std::deque<QueuedQuery>> m_queues; ///< by index, oldest first
};

/// \brief The services of \a query other than \a skipped.
std::vector<std::string> servicesWithout(const AdmissionQuery &query,
                                         const std::vector<std::string> &skipped);

} // namespace gwt
