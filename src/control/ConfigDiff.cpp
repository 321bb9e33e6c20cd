#include "control/ConfigDiff.h"

#include <array>
#include <set>
#include <sstream>

namespace gwt {

namespace {

std::string text(double value)
{
    std::ostringstream stream;
    stream << value;
    return stream.str();
}

std::string text(Milliseconds value)
{
    return std::to_string(value.count());
}

std::string text(bool value)
{
    return value ? "true" : "false";
}

template <typename Object>
const Object *find(const CopyOnWriteMap<Object> &objects, const std::string &name)
{
    const auto found = objects.find(name);
    return found == objects.end() ? nullptr : &found->second;
}

template <typename Object>
bool areEqual(const Object *a, const Object *b)
{
    return a && b ? *a == *b : a == b;
}

/// \brief Returns the fields of \a after that differ from \a before; either may be null.
template <typename Object>
std::vector<FieldChange> diffFields(const Object *before, const Object *after)
{
    const FieldTexts oldTexts = before ? fieldTexts(*before) : FieldTexts();
    const FieldTexts newTexts = after ? fieldTexts(*after) : FieldTexts();
    std::vector<FieldChange> changes;
    for (std::size_t i = 0; i < newTexts.size(); ++i) {
        const std::string oldText = i < oldTexts.size() ? oldTexts[i].second : std::string();
        if (oldTexts.empty() || oldText != newTexts[i].second)
            changes.push_back({newTexts[i].first, oldText, newTexts[i].second});
    }
    return changes;
}

template <typename Object>
void diffKind(const std::string &kind, const CopyOnWriteMap<Object> &before,
              const CopyOnWriteMap<Object> &after, std::vector<ObjectChange> &changes)
{
    for (const auto &[name, object] : before) {
        if (!after.count(name))
            changes.push_back({ChangeKind::Removed, kind, name, {}});
    }
    for (const auto &[name, object] : after) {
        const Object *previous = find(before, name);
        if (areEqual(previous, &object))
            continue;
        const ChangeKind change = previous ? ChangeKind::Changed : ChangeKind::Added;
        changes.push_back({change, kind, name, diffFields(previous, &object)});
    }
}

template <typename Object>
void rebaseKind(const std::string &kind, const CopyOnWriteMap<Object> &base,
                const CopyOnWriteMap<Object> &wanted, CopyOnWriteMap<Object> &head,
                std::string &conflicts)
{
    std::set<std::string> names;
    for (const CopyOnWriteMap<Object> *objects : {&base, &wanted}) {
        for (const auto &[name, object] : *objects)
            names.insert(name);
    }
    for (const std::string &name : names) {
        const Object *baseObject = find(base, name);
        const Object *ours = find(wanted, name);
        const Object *theirs = find(head, name);
        if (areEqual(baseObject, ours) || areEqual(ours, theirs))
            continue;
        if (!areEqual(baseObject, theirs)) {
            conflicts += (conflicts.empty() ? "" : ", ") + kind + " " + name;
            continue;
        }
        if (ours)
            head.insert_or_assign(name, *ours);
        else
            head.erase(name);
    }
}

} // namespace

std::string_view toString(ChangeKind kind)
{
    static constexpr std::array<std::string_view, 3> names = {"added", "changed", "removed"};
    return names[static_cast<std::size_t>(kind)];
}

FieldTexts fieldTexts(const Place &place)
{
    return {{"region", place.region}, {"availability_zone", place.availabilityZone}};
}

FieldTexts fieldTexts(const Service &service)
{
    return {{"index", service.index},
            {"slice", service.slice},
            {"deadline_ms", text(service.deadline)}};
}

FieldTexts fieldTexts(const BackendServer &server)
{
    return {{"service", server.service},
            {"place", server.place},
            {"address", toString(server.address)},
            {"slots", std::to_string(server.slots)},
            {"connections", std::to_string(server.connections)},
            {"connect_time_ms", text(server.connectTime)},
            {"draining", text(server.isDraining)}};
}

FieldTexts fieldTexts(const Rank &rank)
{
    return {
        {"target_ms", text(rank.target)},       {"worth", text(rank.worth)},
        {"floor_share", text(rank.floorShare)}, {"minimum_coverage", text(rank.minimumCoverage)},
        {"hedging", text(rank.isHedged)},       {"background", text(rank.isBackground)}};
}

std::vector<ObjectChange> diffConfig(const ConfigSet &before, const ConfigSet &after)
{
    std::vector<ObjectChange> changes;
    diffKind("place", before.places, after.places, changes);
    diffKind("service", before.services, after.services, changes);
    diffKind("backend-server", before.backendServers, after.backendServers, changes);
    diffKind("rank", before.ranks, after.ranks, changes);
    return changes;
}

Outcome<ConfigSet> rebaseConfig(const ConfigSet &base, const ConfigSet &wanted,
                                const ConfigSet &head)
{
    ConfigSet merged = head;
    std::string conflicts;
    rebaseKind("place", base.places, wanted.places, merged.places, conflicts);
    rebaseKind("service", base.services, wanted.services, merged.services, conflicts);
    rebaseKind("backend-server", base.backendServers, wanted.backendServers, merged.backendServers,
               conflicts);
    rebaseKind("rank", base.ranks, wanted.ranks, merged.ranks, conflicts);
    if (!conflicts.empty())
        return Error(ErrorCode::Conflict, "object_changed_meanwhile", conflicts);
    return merged;
}

} // namespace gwt
