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

/// \brief Settings of the admission at an entry.
struct AdmissionOptions
{
    bool isRanked = true; ///< false: the baseline, which admits all
    ConcurrencyOptions concurrency;
    std::size_t backgroundQueue = 512; ///< background queries that may wait, per index
};

class AdmissionGate;

/// \brief The legs in flight of one admitted query; those without a reply end with it.
class AdmissionTicket
{
public:
    AdmissionTicket(std::weak_ptr<AdmissionGate *> gate, std::vector<std::string> services,
                    double worth, std::vector<std::string> skipped);
    ~AdmissionTicket();
    AdmissionTicket(const AdmissionTicket &) = delete;
    AdmissionTicket &operator=(const AdmissionTicket &) = delete;

    /// \brief Services that the query does without.
    const std::vector<std::string> &skipped() const { return m_skipped; }
    /// \brief Ends the legs of \a services and takes what their relay reported. Thread-safe.
    void finish(const std::vector<std::string> &services,
                const std::vector<ServiceLoadReport> &reports);

private:
    const std::weak_ptr<AdmissionGate *> m_gate; ///< gone if the event loop ends after the gate
    std::mutex m_mutex; ///< taken before the gate's
    const double m_worth; ///< of the query's rank
    std::set<std::string> m_open;
    std::vector<std::string> m_skipped;
};

/// \brief Admits or refuses each query of an entry once, before it fans out.
///
/// Queries of a background rank wait in a bounded queue instead of being refused at once, as long
/// as their wait fits their deadline. Thread-safe.
class AdmissionGate
{
public:
    AdmissionGate(const MembershipView &membership, AdmissionOptions options, Metrics &metrics);

    /// \brief Errors: Overloaded with the reason of the refusal; Cancelled "cancelled".
    Task<Outcome<std::shared_ptr<AdmissionTicket>>> admit(AdmissionQuery query, CancelToken cancel);

    /// \brief Counts an admitted query that fans out again to \a services; decides nothing.
    std::shared_ptr<AdmissionTicket> readmit(const std::vector<std::string> &services,
                                             double worth);

    /// \brief Counts a search of \a rank that was refused for \a reason, here or before.
    void countRefusal(const std::string &rank, const std::string &reason);

    int waiting() const;
    /// \brief When a refused caller should ask again, from the recent refusals and admissions.
    Duration retryAfter(const std::string &index, const std::string &rank) const;

private:
    friend class AdmissionTicket;
    using Verdict = Outcome<std::vector<std::string>>; ///< the skipped services

    struct Waiter
    {
        AdmissionQuery query;
        OneShot<Verdict> verdict;
    };

    void finish(const std::vector<std::string> &services, double worth,
                const std::vector<ServiceLoadReport> &reports);
    void start(const AdmissionQuery &query, const std::vector<std::string> &skipped, TimePoint now);
    bool mayWait(const AdmissionQuery &query, TimePoint now) const;
    void admitWaiting(TimePoint now);
    bool admitFirst(std::deque<Waiter> &waiters, TimePoint now);
    int liveEntries() const;
    void noteRefusal(const AdmissionQuery &query, const std::string &reason);
    void countAdmission(const AdmissionQuery &query, const std::vector<std::string> &skipped,
                        Duration wait);

    const std::shared_ptr<AdmissionGate *> m_self = std::make_shared<AdmissionGate *>(this);
    const MembershipView &m_membership;
    const AdmissionOptions m_options;
    Metrics &m_metrics;
    const std::unique_ptr<const AdmissionPolicy> m_policy;
    mutable std::mutex m_mutex; ///< guards all below
    SliceLoadTable m_loads;
    RankShareMeter m_shares;
    RetryAdvice m_retryAdvice;
    std::map<std::string, std::deque<Waiter>> m_waiting; ///< by index, oldest first
};

/// \brief The services of \a query other than \a skipped.
std::vector<std::string> servicesWithout(const AdmissionQuery &query,
                                         const std::vector<std::string> &skipped);

} // namespace gwt
