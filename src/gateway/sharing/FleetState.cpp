#include "gateway/sharing/FleetState.h"

#include "common/Log.h"
#include "common/StoreRevision.h"
#include "gateway/sharing/StateCodec.h"

#include <algorithm>

namespace gwt {

namespace {

/// How long replies report that the registry has returned; later it no longer matters.
constexpr std::chrono::seconds recoveryReportPeriod{10};

std::uint64_t digestOfEntry(const BackendEntry &entry)
{
    wire::BackendChangeMessage message;
    encode({entry.id, entry}, message);
    return digestOf(message);
}

VersionedSet::Digests digestsOf(const std::vector<FleetMember> &members)
{
    VersionedSet::Digests digests;
    for (const FleetMember &member : members) {
        wire::MemberMessage message;
        encode(member, message);
        digests[member.name] = digestOf(message);
    }
    return digests;
}

VersionedSet::Changes digestsOf(const std::vector<BackendChange> &changes)
{
    VersionedSet::Changes digests;
    for (const BackendChange &change : changes) {
        digests[change.id]
            = change.entry ? std::optional(digestOfEntry(*change.entry)) : std::nullopt;
    }
    return digests;
}

void logRejectedDelta(const char *part, std::uint64_t held, std::uint64_t received)
{
    logWarning("difference_refused", {{"part", part}, {"held", held}, {"told", received}});
}

} // namespace

FleetState::FleetState(StateObserver &observer)
    : m_observer(observer)
{ }

void FleetState::notifyUpdate()
{
    if (m_updateHandler)
        m_updateHandler();
}

void FleetState::setConfig(const RoutingConfig &config)
{
    if (config.version <= configVersion())
        return;
    m_rejected.config = false;
    m_configs.replace(config);
    m_observer.onConfig(m_configs.current());
    notifyUpdate();
}

void FleetState::setBackends(const std::vector<BackendEntry> &entries, std::uint64_t revision)
{
    if (revision < m_backendRevision)
        return;
    // Entries that are missing in an older copy of the registry are about to be written again.
    if (m_backendRevision > 0 && storeEraOf(revision) > storeEraOf(m_backendRevision))
        m_observer.onRegistryRecovery();
    m_rejected.backends = false;
    VersionedSet::Digests digests;
    m_entries.clear();
    for (const BackendEntry &entry : entries) {
        m_entries[entry.id] = entry;
        digests[entry.id] = digestOfEntry(entry);
    }
    m_backendRevision = revision;
    m_backendSet.apply(m_backendSet.differences(digests), revision);
    m_observer.onBackends(entries);
    notifyUpdate();
}

void FleetState::applyBackendChanges(const std::vector<BackendChange> &changes,
                                     std::uint64_t revision)
{
    // A watch may report what another process has already sent.
    if (revision <= m_backendRevision)
        return;
    m_rejected.backends = false;
    m_backendRevision = revision;
    for (const BackendChange &change : changes) {
        if (change.entry)
            m_entries[change.id] = *change.entry;
        else
            m_entries.erase(change.id);
    }
    m_backendSet.apply(digestsOf(changes), m_backendRevision);
    m_observer.onBackendChanges(changes);
    notifyUpdate();
}

void FleetState::setMembers(const std::vector<FleetMember> &members, std::uint64_t revision)
{
    if (revision < m_memberRevision)
        return;
    m_rejected.members = false;
    // Even if nothing else changed: with an older revision, this process would be sent the same
    // members again and again without a wait.
    m_memberRevision = revision;
    if (members == m_members)
        return;
    m_members = members;
    m_memberSet.apply(m_memberSet.differences(digestsOf(members)), revision);
    m_observer.onMembers(m_members);
    notifyUpdate();
}

void FleetState::setEvacuations(const std::set<std::string> &zones, std::uint64_t revision)
{
    if (revision < m_evacuationRevision)
        return;
    m_evacuationRevision = revision;
    if (zones == m_evacuations)
        return;
    m_evacuations = zones;
    m_observer.onEvacuations(m_evacuations);
    notifyUpdate();
}

void FleetState::recordRegistryRecovery(TimePoint now)
{
    m_recoveredAt = now;
    m_observer.onRegistryRecovery();
}

bool FleetState::hasUpdates(const wire::FleetStateRequest &request) const
{
    return configVersion() > request.config_version()
        || m_backendRevision > request.backend_revision()
        || m_memberRevision > request.member_revision()
        || (request.takes_evacuations() && m_evacuationRevision > request.evacuation_revision());
}

wire::FleetStateRequest FleetState::buildRequest(Milliseconds wait) const
{
    wire::FleetStateRequest request;
    request.set_config_version(m_rejected.config ? 0 : configVersion());
    request.set_backend_revision(m_rejected.backends ? 0 : m_backendRevision);
    request.set_member_revision(m_rejected.members ? 0 : m_memberRevision);
    request.set_wait_ms(wait.count());
    request.set_takes_differences(true);
    request.set_evacuation_revision(m_evacuationRevision);
    request.set_takes_evacuations(true);
    return request;
}

void FleetState::encodeBackends(std::uint64_t revision, wire::FleetStateReply &reply) const
{
    const auto changed = m_backendSet.changedAfter(revision);
    reply.set_is_listing(!changed);
    reply.set_backend_digest(m_backendSet.digest());
    if (!changed) {
        for (const auto &[id, entry] : m_entries)
            encode({id, entry}, *reply.add_changes());
        return;
    }
    for (const std::string &id : *changed) {
        const auto entry = m_entries.find(id);
        const bool isRegistered = entry != m_entries.end();
        encode({id, isRegistered ? std::optional(entry->second) : std::nullopt},
               *reply.add_changes());
    }
}

void FleetState::encodeMembers(const wire::FleetStateRequest &request,
                               wire::FleetStateReply &reply) const
{
    auto changed = request.takes_differences() ? m_memberSet.changedAfter(request.member_revision())
                                               : std::nullopt;
    reply.set_member_digest(m_memberSet.digest());
    if (changed)
        reply.set_member_base(request.member_revision());
    for (const FleetMember &member : m_members) {
        if (!changed || changed->erase(member.name) > 0)
            encode(member, *reply.add_members());
    }
    if (changed)
        reply.mutable_removed_members()->Assign(changed->begin(), changed->end());
}

wire::FleetStateReply FleetState::buildReply(const wire::FleetStateRequest &request,
                                             Duration registryAge, TimePoint now) const
{
    wire::FleetStateReply reply;
    reply.set_registry_age_ms(std::chrono::duration_cast<Milliseconds>(registryAge).count());
    if (configVersion() > request.config_version()) {
        if (request.takes_differences())
            m_configs.encodeSince(request.config_version(), *reply.mutable_config());
        else
            m_configs.encodeFull(*reply.mutable_config());
    }
    reply.set_backend_revision(m_backendRevision);
    if (m_backendRevision > request.backend_revision())
        encodeBackends(request.backend_revision(), reply);
    reply.set_member_revision(m_memberRevision);
    if (m_memberRevision > request.member_revision())
        encodeMembers(request, reply);
    if (request.takes_evacuations() && m_evacuationRevision > request.evacuation_revision()) {
        reply.set_evacuation_revision(m_evacuationRevision);
        reply.mutable_evacuated_zones()->Assign(m_evacuations.begin(), m_evacuations.end());
    }
    if (m_recoveredAt && now - *m_recoveredAt < recoveryReportPeriod) {
        reply.set_registry_returned_ms(
            std::chrono::duration_cast<Milliseconds>(now - *m_recoveredAt).count());
    }
    return reply;
}

bool FleetState::apply(const wire::FleetStateReply &reply, TimePoint now)
{
    if (reply.has_registry_returned_ms()) {
        const TimePoint recoveredAt = now - Milliseconds(reply.registry_returned_ms());
        // Reports of the same return by two processes differ only by their delays.
        if (!m_recoveredAt || recoveredAt > *m_recoveredAt + std::chrono::seconds(1))
            recordRegistryRecovery(recoveredAt);
    }
    if (reply.has_config())
        applyConfig(reply.config());
    if (reply.backend_revision() > m_backendRevision)
        applyBackends(reply);
    else
        m_rejected.backends = false;
    if (reply.member_revision() > m_memberRevision)
        applyMembers(reply);
    else
        m_rejected.members = false;
    if (reply.evacuation_revision() > m_evacuationRevision) {
        const auto &zones = reply.evacuated_zones();
        setEvacuations({zones.begin(), zones.end()}, reply.evacuation_revision());
    }
    return !m_rejected.config && !m_rejected.backends && !m_rejected.members;
}

void FleetState::applyConfig(const wire::RoutingConfigMessage &message)
{
    if (message.version() <= configVersion()) {
        m_rejected.config = false;
        return;
    }
    m_rejected.config = !isOk(m_configs.apply(message));
    if (m_rejected.config) {
        logRejectedDelta("configuration", configVersion(), message.version());
        return;
    }
    m_observer.onConfig(m_configs.current());
    notifyUpdate();
}

void FleetState::applyBackends(const wire::FleetStateReply &reply)
{
    std::vector<BackendChange> changes;
    for (const auto &message : reply.changes())
        changes.push_back(decode(message));
    if (!reply.is_listing()) {
        const bool isChecked = reply.backend_digest() != 0;
        const std::uint64_t result = m_backendSet.digestAfter(digestsOf(changes));
        m_rejected.backends = isChecked && result != reply.backend_digest();
        if (m_rejected.backends)
            logRejectedDelta("backends", m_backendRevision, reply.backend_revision());
        else
            applyBackendChanges(changes, reply.backend_revision());
        return;
    }
    std::vector<BackendEntry> entries;
    for (BackendChange &change : changes) {
        if (change.entry)
            entries.push_back(std::move(*change.entry));
    }
    setBackends(entries, reply.backend_revision());
}

void FleetState::applyMembers(const wire::FleetStateReply &reply)
{
    std::map<std::string, FleetMember> members;
    if (reply.member_base() > 0) {
        for (const FleetMember &member : m_members)
            members[member.name] = member;
    }
    for (const std::string &name : reply.removed_members())
        members.erase(name);
    for (const auto &message : reply.members())
        members[message.name()] = decode(message);
    std::vector<FleetMember> list;
    list.reserve(members.size());
    for (const auto &[name, member] : members)
        list.push_back(member);
    if (reply.member_base() > 0) {
        const auto changes = m_memberSet.differences(digestsOf(list));
        m_rejected.members = m_memberSet.digestAfter(changes) != reply.member_digest();
        if (m_rejected.members) {
            logRejectedDelta("members", m_memberRevision, reply.member_revision());
            return;
        }
    }
    setMembers(list, reply.member_revision());
}

} // namespace gwt
