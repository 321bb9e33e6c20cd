#pragma once

#include "common/Time.h"
#include "gateway/backends/BackendRegistry.h"
#include "gateway/routing/Route.h"
#include "gateway/sharing/FleetMember.h"

#include <gateway.pb.h>

#include <deque>
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

    const std::vector<FleetMember> &members() const { return m_members; }
    std::uint64_t configVersion() const { return m_config.version; }
    std::uint64_t backendRevision() const { return m_backendRevision; }
    /// \brief \a handler runs after each change of the state.
    void onNews(std::function<void()> handler) { m_newsHandler = std::move(handler); }

private:
    struct LoggedChange
    {
        std::uint64_t revision = 0;
        BackendChange change;
    };

    void log(const BackendChange &change, std::uint64_t revision);
    void tellNews();

    StateObserver &m_observer;
    std::function<void()> m_newsHandler;
    RoutingConfig m_config;
    std::map<std::string, BackendEntry> m_entries;
    std::uint64_t m_backendRevision = 0;
    std::deque<LoggedChange> m_changes; ///< oldest first
    std::uint64_t m_changesSince = 0; ///< the log holds all changes after this revision
    std::vector<FleetMember> m_members;
    std::uint64_t m_memberRevision = 0;
    std::optional<TimePoint> m_returnedAt; ///< of the registry, after its last outage
};

} // namespace gwt
