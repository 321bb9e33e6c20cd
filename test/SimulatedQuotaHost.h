#pragma once

#include "common/StoreRevision.h"
#include "gateway/quota/LeaseElectorate.h"
#include "gateway/quota/LeaseKeeper.h"
#include "gateway/quota/LeaseVoter.h"
#include "gateway/quota/QuotaLedger.h"
#include "gateway/quota/StandingRights.h"

#include <optional>
#include <string>
#include <vector>

namespace gwt::test {

inline const QuotaRules quotaRules{std::chrono::seconds(5), 0.1, 20};

/// The leases of a store, with conditional updates.
class SharedLease
{
public:
    std::optional<Lease> lease() const { return m_lease; }
    std::uint64_t revision() const { return m_revision; }
    std::optional<Lease> write(Lease lease, TimePoint now)
    {
        if (lease.revision != (m_lease ? m_lease->revision : 0))
            return std::nullopt;
        lease.revision = ++m_revision;
        m_copies.push_back({now, m_lease});
        m_lease = lease;
        return m_lease;
    }
    /// Loses the writes after \a time. All revisions are assigned again.
    void returnToCopyOf(TimePoint time)
    {
        while (!m_copies.empty() && m_copies.back().replacedAt > time) {
            m_lease = m_copies.back().lease;
            m_copies.pop_back();
        }
        const std::uint64_t era = storeEraOf(m_revision) + 1;
        m_revision = combineStoreRevision(era, m_copies.size() + 1);
        if (m_lease)
            m_lease->revision = combineStoreRevision(era, ownStoreRevisionOf(m_lease->revision));
    }

private:
    struct Copy
    {
        TimePoint replacedAt;
        std::optional<Lease> lease;
    };

    std::optional<Lease> m_lease;
    std::vector<Copy> m_copies; ///< oldest first
    std::uint64_t m_revision = 1;
};

/// A host of a fleet in virtual time. All teams are in one range.
struct SimulatedHost
{
    SimulatedHost(const FleetMember &member, int processNumber, TimePoint startedAt)
        : name(member.name)
        , incarnation(name + "-" + std::to_string(processNumber))
        , electorate(LeaseRules{}, member, votes)
        , voter(LeaseRules{}, startedAt)
        , keeper(LeaseRules{}, {name, incarnation}, 0, votes)
        , rights(quotaRules, name, startedAt)
    { }

    std::string name;
    std::string incarnation;
    LeaseVotes votes{LeaseRules{}};
    LeaseElectorate electorate;
    LeaseVoter voter;
    LeaseKeeper keeper;
    std::optional<QuotaLedger> ledger;
    StandingRights rights;
    TimePoint provenAt;
    std::uint64_t era = 0; ///< of the store, as known
    TimePoint probedAt;
    TimePoint votersAskedAt;
    TimePoint votersChangedAt;
    int network = 0; ///< hosts reach only those with the same number
    bool isDeaf = false; ///< reaches other hosts, which do not reach it
    bool reachesStore = true;
    TimePoint pausedUntil;
    TimePoint downUntil;

    bool runs(TimePoint now) const { return now >= pausedUntil && now >= downUntil; }
};

} // namespace gwt::test
