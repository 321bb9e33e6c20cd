#pragma once

#include "common/Time.h"
#include "gateway/backends/BackendRegistry.h"
#include "gateway/sharing/ConfigHistory.h"
#include "gateway/sharing/FleetMember.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace gwt {

/// \brief Takes what is learned of configuration, backend servers and fleet.
class StateObserver
{
public:
    virtual ~StateObserver() = default;

    virtual void onConfig(const RoutingConfig &config) = 0;
    virtual void onBackends(const std::vector<BackendEntry> &entries) = 0;
    /// \brief Changes that became known together, oldest first.
    virtual void onBackendChanges(const std::vector<BackendChange> &changes) = 0;
    virtual void onMembers(const std::vector<FleetMember> &members) = 0;
    /// \brief The registry answers again after an outage; entries may have lapsed there.
    virtual void onRegistryReturn() = 0;
};

/// \brief What one process knows of the fleet, with the registry's revisions.
///
/// News comes from the registry itself or from another process that follows it; the revisions are
/// the registry's in both cases, so that neither a late nor a repeated reply can lead back.
/// Processes tell each other what changed. Differences that do not lead to the digest of the
/// process that told them are not taken, and everything is asked for instead.
class FleetState
{
public:
    explicit FleetState(StateObserver &observer);

    /// \brief Takes \a config if it is newer than the one held.
    void setConfig(const RoutingConfig &config);
    /// \brief Takes all backend servers as they were at \a revision.
    void setBackends(const std::vector<BackendEntry> &entries, std::uint64_t revision);
    /// \brief Takes changes, oldest first; \a revision is that of the registry after them.
    ///
    /// They are told as one: when a whole index is repartitioned, hundreds of backend servers
    /// register within a second, and each news has a cost that grows with the fleet.
    void changeBackends(const std::vector<BackendChange> &changes, std::uint64_t revision);
    void setMembers(const std::vector<FleetMember> &members, std::uint64_t revision);
    void noteRegistryReturn(TimePoint now);

    /// \brief What is newer than \a request holds; the registry was heard \a registryAge ago.
    wire::FleetStateReply answer(const wire::FleetStateRequest &request, Duration registryAge,
                                 TimePoint now) const;
    bool hasNews(const wire::FleetStateRequest &request) const;
    /// \brief A request for everything newer than what is held here.
    wire::FleetStateRequest request(Milliseconds wait) const;
    /// \brief Takes the reply of another process.
    void take(const wire::FleetStateReply &reply, TimePoint now);

    /// \brief All processes, by name.
    const std::vector<FleetMember> &members() const { return m_members; }
    std::uint64_t memberRevision() const { return m_memberRevision; }
    std::uint64_t configVersion() const { return m_configs.current().version; }
    std::uint64_t backendRevision() const { return m_backendRevision; }
    /// \brief \a handler runs after each change of the state.
    void onNews(std::function<void()> handler) { m_newsHandler = std::move(handler); }

private:
    /// \brief What differences cannot be taken of, so that it is asked for whole.
    struct Whole
    {
        bool config = false;
        bool backends = false;
        bool members = false;
    };

    void tellBackends(std::uint64_t revision, wire::FleetStateReply &reply) const;
    void tellMembers(const wire::FleetStateRequest &request, wire::FleetStateReply &reply) const;
    void takeConfig(const wire::RoutingConfigMessage &message);
    void takeBackends(const wire::FleetStateReply &reply);
    void takeMembers(const wire::FleetStateReply &reply);
    void tellNews();

    StateObserver &m_observer;
    std::function<void()> m_newsHandler;
    ConfigHistory m_configs;
    std::map<std::string, BackendEntry> m_entries;
    VersionedSet m_backendSet;
    std::uint64_t m_backendRevision = 0;
    std::vector<FleetMember> m_members;
    VersionedSet m_memberSet;
    std::uint64_t m_memberRevision = 0;
    Whole m_whole;
    std::optional<TimePoint> m_returnedAt; ///< of the registry, after its last outage
};

} // namespace gwt
