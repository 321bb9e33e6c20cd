#pragma once

#include "common/Time.h"
#include "membership/GossipCounts.h"
#include "membership/internal/GossipSender.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gwt::internal {

/// \brief Probes one member after another, directly and then through others, and sends indirect
/// probes on request of others.
///
/// A member that does not answer is probed again in the next interval, in addition to the next
/// member. It is suspected only after several intervals without an answer: otherwise lost datagrams
/// alone would start more suspicions than a large fleet can propagate and refute.
class MemberProber
{
public:
    /// \brief Keeps references to all four arguments.
    MemberProber(const GossipOptions &options, const MemberTable &table, GossipSender &sender,
                 GossipCounts &counts);

    /// \brief Ends the probes of an interval. Returns the ids of members that have not answered for
    /// failuresToSuspect() intervals.
    std::vector<std::string> endInterval();
    /// \brief Probes the next member, those that have not answered yet, and some suspects.
    void startInterval(TimePoint now, RandomEngine &random, GossipOutputs &outputs);
    /// \brief Repeats probes through other members once the probe timeout has passed.
    void sendIndirectProbes(TimePoint now, RandomEngine &random, GossipOutputs &outputs);
    /// \brief Discards all own probes; called after a pause of this process.
    void clearProbes() { m_probes.clear(); }
    /// \brief Discards probes for others that were not answered in time.
    void expireRelayedProbes(TimePoint now);

    void onPing(const Endpoint &source, const GossipMessage &message, GossipOutputs &outputs);
    /// \brief Processes an answer. Returns the id of the probed member if the probe is our own.
    std::optional<std::string> onAck(const GossipMessage &message, GossipOutputs &outputs);
    void onPingRequest(const Endpoint &source, const GossipMessage &message, TimePoint now,
                       GossipOutputs &outputs);

    /// \brief Intervals without an answer after which a member is suspected.
    int failuresToSuspect() const;

private:
    struct Probe
    {
        std::string id;
        std::uint64_t sequence = 0; ///< the same in all intervals, so that a late answer counts
        TimePoint sentAt;
        bool isIndirect = false;
        bool isAnswered = false;
        int failures = 0; ///< intervals that ended without an answer
    };

    /// \brief A probe sent on request of another member.
    struct RelayedProbe
    {
        Endpoint requester;
        std::uint64_t sequence = 0;
        TimePoint expiry;
    };

    const Member *nextTarget(RandomEngine &random);
    void sendProbe(Probe &probe, TimePoint now, GossipOutputs &outputs);
    void requestIndirectProbes(const Probe &probe, RandomEngine &random, GossipOutputs &outputs);
    void pingSuspects(GossipOutputs &outputs);
    void ping(const Member &target, std::uint64_t sequence, GossipOutputs &outputs);
    bool isProbed(const std::string &id) const;

    const GossipOptions &m_options;
    const MemberTable &m_table;
    GossipSender &m_sender;
    GossipCounts &m_counts;
    std::vector<std::string> m_probeOrder;
    std::vector<Probe> m_probes;
    std::map<std::uint64_t, RelayedProbe> m_relayedProbes;
    std::uint64_t m_nextSequence = 1;
};

} // namespace gwt::internal
