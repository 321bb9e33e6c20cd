#pragma once

#include "common/Random.h"
#include "gateway/policy/AdmissionControl.h"
#include "gateway/policy/OverdueLane.h"
#include "gateway/routing/RouteTable.h"
#include "policy/RetryAdvice.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gwt {

/// \brief The admission of each set of shards, and when refused callers should come back.
class AdmissionTable
{
public:
    /// \brief What one set of shards is taken to carry.
    struct Bound
    {
        std::string firstShard;
        bool isBounded = false;
        double capacity = 0; ///< seconds of leg time a second
    };

    using Factory = std::function<std::unique_ptr<AdmissionControl>()>;

    /// \brief \a makeControl makes the control of a set of shards that is first asked for.
    explicit AdmissionTable(Factory makeControl);

    /// \brief True if a query of \a route may start; its legs take \a usual now.
    bool admit(const Route &route, Duration usual, TimePoint now);
    /// \brief True while callers that were refused over the shards of \a route may come back.
    bool hasRefusedLately(const Route &route, TimePoint now) const;
    /// \brief Half of the shards of a query of \a route have answered now.
    void noteHalf(const Route &route, TimePoint admittedAt, TimePoint now);
    /// \brief The caller of a query of \a route left before it showed the pressure.
    void noteAbandoned(const Route &route, TimePoint admittedAt, TimePoint now);
    /// \brief A query of \a route ended before half of its shards had answered.
    void noteStalled(const Route &route, TimePoint admittedAt, TimePoint now);

    /// \brief Where queries over the shards of \a route wait that are late already.
    OverdueLane &lane(const Route &route) { return m_lanes[setOf(route)]; }

    /// \brief Counts a request of \a route that was refused because of load.
    void noteRefusal(const Route &route, TimePoint now);
    /// \brief Counts a request of \a route that was served.
    void noteServed(const Route &route, TimePoint now);
    /// \brief When a refused caller of \a route, with \a timeLeft, should come back: when what was
    /// refused lately has been worked off, spread so that not all return at once.
    Milliseconds retryAfter(const Route &route, Duration timeLeft, TimePoint now);

    std::vector<Bound> bounds() const;
    /// \brief Forgets the sets of shards that \a routes does not name.
    void retain(const RouteTable &routes);

private:
    struct ShardSet
    {
        std::unique_ptr<AdmissionControl> control;
        bool isBounded = false; ///< as last logged
    };

    ShardSet &shardSet(const Route &route);
    AdmissionControl &control(const Route &route) { return *shardSet(route).control; }
    static void logBound(const std::string &firstShard, ShardSet &set);
    static const std::string &setOf(const Route &route);
    static std::string rankOf(const Route &route);

    const Factory m_makeControl;
    std::map<std::string, ShardSet> m_sets; ///< by first shard
    std::map<std::string, OverdueLane> m_lanes; ///< likewise
    std::map<std::string, TimePoint> m_refusedAt; ///< likewise, the last time
    std::map<std::string, Duration> m_work; ///< time of a leg by route, as of the last calm
    RankShareMeter m_served;
    RetryAdvice m_advice;
    RandomEngine m_random;
};

} // namespace gwt
