#pragma once

#include "common/Time.h"
#include "gateway/backends/BackendRegistry.h"
#include "gateway/sharing/ConfigHistory.h"
#include "gateway/sharing/FleetMember.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gwt {

/// \brief Receives updates of the configuration, the backend servers and the fleet members.
class StateObserver
{
public:
    virtual ~StateObserver() = default;

    virtual void onConfig(const RoutingConfig &config) = 0;
    virtual void onBackends(const std::vector<BackendEntry> &entries) = 0;
    /// \brief A batch of changes, oldest first.
    virtual void onBackendChanges(const std::vector<BackendChange> &changes) = 0;
    virtual void onMembers(const std::vector<FleetMember> &members) = 0;
    /// \brief Nothing more may be sent to backend servers of these availability zones.
    virtual void onEvacuations(const std::set<std::string> & /*zones*/) { }
    /// \brief The registry answers again after an outage, during which entries may have expired.
    virtual void onRegistryRecovery() = 0;
};

/// \brief Holds configuration, backend servers and members, each with the registry's revision.
///
/// Updates come from the registry itself or from another process that follows it. Both carry the
/// registry's revisions, so a late or repeated reply never replaces newer state. Revisions include
/// the era of the registry (common/StoreRevision.h).
/// Processes exchange deltas. A delta whose result does not match the sender's digest is rejected,
/// and the full state is requested instead.
class FleetState
{
public:
    explicit FleetState(StateObserver &observer);

    /// \brief Applies \a config if it is newer than the current one.
    void setConfig(const RoutingConfig &config);
    /// \brief Replaces all backend servers by those at \a revision, unless a newer one is held.
    void setBackends(const std::vector<BackendEntry> &entries, std::uint64_t revision);
    /// \brief Applies changes, oldest first; \a revision is the registry's after the last one.
    /// Ignores them if the state at that revision is already held.
    ///
    /// They are published as one update: when a whole index is repartitioned, hundreds of backend
    /// servers register within a second, and the cost of an update grows with the fleet.
    void applyBackendChanges(const std::vector<BackendChange> &changes, std::uint64_t revision);
    void setMembers(const std::vector<FleetMember> &members, std::uint64_t revision);
    /// \brief Replaces the evacuated availability zones by those at \a revision, unless a newer set
    /// is held.
    void setEvacuations(const std::set<std::string> &zones, std::uint64_t revision);
    void recordRegistryRecovery(TimePoint now);

    /// \brief Builds the reply to \a request; the registry last answered \a registryAge ago.
    wire::FleetStateReply buildReply(const wire::FleetStateRequest &request, Duration registryAge,
                                     TimePoint now) const;
    bool hasUpdates(const wire::FleetStateRequest &request) const;
    /// \brief Builds a request for everything newer than this state.
    wire::FleetStateRequest buildRequest(Milliseconds wait) const;
    /// \brief Applies the reply of another process; false if a delta in it was rejected, so that
    /// the next request is for the full state of that part.
    bool apply(const wire::FleetStateReply &reply, TimePoint now);

    /// \brief All processes, by name.
    const std::vector<FleetMember> &members() const { return m_members; }
    std::uint64_t memberRevision() const { return m_memberRevision; }
    /// \brief Availability zones to whose backend servers nothing more may be sent.
    const std::set<std::string> &evacuations() const { return m_evacuations; }
    std::uint64_t configVersion() const { return m_configs.current().version; }
    std::uint64_t backendRevision() const { return m_backendRevision; }
    /// \brief All registered backend servers, by id.
    const std::map<std::string, BackendEntry> &backends() const { return m_entries; }
    /// \brief Sets the handler that runs after each change of the state.
    void setUpdateHandler(std::function<void()> handler) { m_updateHandler = std::move(handler); }

private:
    /// \brief The parts whose last delta was rejected, which are requested in full until they are
    /// updated from any side.
    struct RejectedParts
    {
        bool config = false;
        bool backends = false;
        bool members = false;
    };

    void encodeBackends(std::uint64_t revision, wire::FleetStateReply &reply) const;
    void encodeMembers(const wire::FleetStateRequest &request, wire::FleetStateReply &reply) const;
    void applyConfig(const wire::RoutingConfigMessage &message);
    void applyBackends(const wire::FleetStateReply &reply);
    void applyMembers(const wire::FleetStateReply &reply);
    void notifyUpdate();

    StateObserver &m_observer;
    std::function<void()> m_updateHandler;
    ConfigHistory m_configs;
    std::map<std::string, BackendEntry> m_entries;
    VersionedSet m_backendSet;
    std::uint64_t m_backendRevision = 0;
    std::vector<FleetMember> m_members;
    VersionedSet m_memberSet;
    std::uint64_t m_memberRevision = 0;
    std::set<std::string> m_evacuations;
    std::uint64_t m_evacuationRevision = 0;
    RejectedParts m_rejected;
    std::optional<TimePoint> m_recoveredAt; ///< end of the registry's last outage
};

} // namespace gwt
