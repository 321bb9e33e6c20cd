#include "gateway/sharing/FleetState.h"

#include "gateway/sharing/StateCodec.h"

namespace gwt {

namespace {

/// Changes that are kept for others; who lags further behind gets a listing.
constexpr std::size_t maxLoggedChanges = 2048;
/// After this time the registry's return no longer matters to anyone.
constexpr std::chrono::seconds returnMatters{10};

} // namespace

FleetState::FleetState(StateObserver &observer)
    : m_observer(observer)
{ }

void FleetState::tellNews()
{
    if (m_newsHandler)
        m_newsHandler();
}

void FleetState::setConfig(const RoutingConfig &config)
{
    if (config.version <= m_config.version)
        return;
    m_config = config;
    m_observer.onConfig(m_config);
    tellNews();
}

void FleetState::setBackends(const std::vector<BackendEntry> &entries, std::uint64_t revision)
{
    if (revision < m_backendRevision)
        return;
    m_entries.clear();
    for (const BackendEntry &entry : entries)
        m_entries[entry.id] = entry;
    m_backendRevision = revision;
    m_changes.clear();
    m_changesSince = revision;
    m_observer.onBackends(entries);
    tellNews();
}

void FleetState::log(const BackendChange &change, std::uint64_t revision)
{
    m_changes.push_back({revision, change});
    if (m_changes.size() <= maxLoggedChanges)
        return;
    m_changesSince = m_changes.front().revision;
    m_changes.pop_front();
}

void FleetState::changeBackends(const std::vector<BackendChange> &changes, std::uint64_t revision)
{
    m_backendRevision = std::max(m_backendRevision, revision);
    for (const BackendChange &change : changes) {
        if (change.entry)
            m_entries[change.id] = *change.entry;
        else
            m_entries.erase(change.id);
        log(change, m_backendRevision);
    }
    m_observer.onBackendChanges(changes);
    tellNews();
}

void FleetState::setMembers(const std::vector<FleetMember> &members, std::uint64_t revision)
{
    if (revision < m_memberRevision || members == m_members)
        return;
    m_members = members;
    m_memberRevision = revision;
    m_observer.onMembers(m_members);
    tellNews();
}

void FleetState::noteRegistryReturn(TimePoint now)
{
    m_returnedAt = now;
    m_observer.onRegistryReturn();
}

bool FleetState::hasNews(const wire::FleetStateRequest &request) const
{
    return m_config.version > request.config_version()
        || m_backendRevision > request.backend_revision()
        || m_memberRevision > request.member_revision();
}

wire::FleetStateRequest FleetState::request(Milliseconds wait) const
{
    wire::FleetStateRequest request;
    request.set_config_version(m_config.version);
    request.set_backend_revision(m_backendRevision);
    request.set_member_revision(m_memberRevision);
    request.set_wait_ms(wait.count());
    return request;
}

wire::FleetStateReply FleetState::answer(const wire::FleetStateRequest &request,
                                         Duration registryAge, TimePoint now) const
{
    wire::FleetStateReply reply;
    reply.set_registry_age_ms(std::chrono::duration_cast<Milliseconds>(registryAge).count());
    if (m_config.version > request.config_version())
        encode(m_config, *reply.mutable_config());
    reply.set_backend_revision(m_backendRevision);
    if (m_backendRevision > request.backend_revision()) {
        const bool isListing = request.backend_revision() < m_changesSince;
        reply.set_is_listing(isListing);
        if (isListing) {
            for (const auto &[id, entry] : m_entries)
                encode({id, entry}, *reply.add_changes());
        } else {
            for (const LoggedChange &logged : m_changes) {
                if (logged.revision > request.backend_revision())
                    encode(logged.change, *reply.add_changes());
            }
        }
    }
    reply.set_member_revision(m_memberRevision);
    if (m_memberRevision > request.member_revision()) {
        for (const FleetMember &member : m_members)
            encode(member, *reply.add_members());
    }
    if (m_returnedAt && now - *m_returnedAt < returnMatters) {
        reply.set_registry_returned_ms(
            std::chrono::duration_cast<Milliseconds>(now - *m_returnedAt).count());
    }
    return reply;
}

void FleetState::take(const wire::FleetStateReply &reply, TimePoint now)
{
    if (reply.has_registry_returned_ms()) {
        const TimePoint returnedAt = now - Milliseconds(reply.registry_returned_ms());
        // The same return, told by two processes, differs by their delays only.
        if (!m_returnedAt || returnedAt > *m_returnedAt + std::chrono::seconds(1))
            noteRegistryReturn(returnedAt);
    }
    if (reply.has_config())
        setConfig(decode(reply.config()));
    if (reply.backend_revision() > m_backendRevision) {
        if (reply.is_listing()) {
            std::vector<BackendEntry> entries;
            for (const auto &message : reply.changes()) {
                if (auto change = decode(message); change.entry)
                    entries.push_back(std::move(*change.entry));
            }
            setBackends(entries, reply.backend_revision());
        } else {
            std::vector<BackendChange> changes;
            for (const auto &message : reply.changes())
                changes.push_back(decode(message));
            changeBackends(changes, reply.backend_revision());
        }
    }
    if (reply.member_revision() > m_memberRevision) {
        std::vector<FleetMember> members;
        for (const auto &message : reply.members())
            members.push_back(decode(message));
        setMembers(members, reply.member_revision());
    }
}

} // namespace gwt
