#include "standins/platform/StoreData.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr std::size_t pageObjects = 500; ///< page size of the real platform
constexpr std::size_t maxHistory = 20000; ///< changes; no test reads further back

} // namespace

ObjectRecord *StoreData::find(const std::string &kind, const std::string &name)
{
    const auto objects = m_objects.find(kind);
    if (objects == m_objects.end())
        return nullptr;
    const auto object = objects->second.find(name);
    return object == objects->second.end() ? nullptr : &object->second;
}

void StoreData::recordChange(const std::string &kind, const ObjectRecord &object, bool isRemoved,
                             std::optional<ObjectRecord> previous)
{
    m_undoLog.push_back({Clock::now(), m_revision, kind, object.name, std::move(previous)});
    if (m_undoLog.size() > maxHistory)
        m_undoLog.pop_front();
    m_history.push_back({m_revision, kind, object, isRemoved});
    if (m_history.size() <= maxHistory)
        return;
    m_historyFrom = m_history.front().revision;
    m_history.pop_front();
}

std::optional<ObjectRecord> StoreData::get(const std::string &kind, const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const ObjectRecord *object = const_cast<StoreData *>(this)->find(kind, name);
    return object ? std::optional(*object) : std::nullopt;
}

StoreWrite StoreData::create(const std::string &kind, const std::string &name,
                             boost::json::value spec)
{
    const std::lock_guard lock(m_mutex);
    if (const ObjectRecord *existing = find(kind, name))
        return {StoreWrite::Verdict::Conflict, *existing};
    ObjectRecord &object = m_objects[kind][name];
    object.name = name;
    object.revision = ++m_revision;
    object.createdRevision = m_revision;
    object.spec = std::move(spec);
    recordChange(kind, object, false, std::nullopt);
    return {StoreWrite::Verdict::Done, object};
}

StoreWrite StoreData::change(const std::string &kind, const std::string &name, Expected revision,
                             const std::function<bool(ObjectRecord &)> &apply)
{
    const std::lock_guard lock(m_mutex);
    ObjectRecord *object = find(kind, name);
    if (!object)
        return {StoreWrite::Verdict::Missing, {}};
    if (revision && *revision != object->revision)
        return {StoreWrite::Verdict::Conflict, *object};
    const ObjectRecord previous = *object;
    if (!apply(*object))
        return {StoreWrite::Verdict::Done, *object};
    object->revision = ++m_revision;
    StoreWrite write{StoreWrite::Verdict::Done, *object};
    const bool isRemoved = object->isDeleting && object->finalizers.empty();
    recordChange(kind, *object, isRemoved, previous);
    if (isRemoved)
        m_objects[kind].erase(name);
    return write;
}

StoreWrite StoreData::replace(const std::string &kind, const std::string &name, Expected revision,
                              boost::json::value spec, boost::json::array finalizers)
{
    return change(kind, name, revision, [&](ObjectRecord &object) {
        if (object.spec == spec && object.finalizers == finalizers)
            return false;
        object.spec = std::move(spec);
        object.finalizers = std::move(finalizers);
        return true;
    });
}

StoreWrite StoreData::replaceStatus(const std::string &kind, const std::string &name,
                                    Expected revision, boost::json::value status)
{
    return change(kind, name, revision, [&](ObjectRecord &object) {
        if (object.status == status)
            return false;
        object.status = std::move(status);
        return true;
    });
}

StoreWrite StoreData::remove(const std::string &kind, const std::string &name, Expected revision)
{
    return change(kind, name, revision, [](ObjectRecord &object) {
        if (object.isDeleting)
            return false;
        object.isDeleting = true;
        return true;
    });
}

std::uint64_t StoreData::overwrite(const std::string &kind, const std::string &name,
                                   boost::json::value spec)
{
    const StoreWrite replaced = replace(kind, name, std::nullopt, spec);
    if (replaced.verdict != StoreWrite::Verdict::Missing)
        return replaced.object.revision;
    return create(kind, name, std::move(spec)).object.revision;
}

RecordPage StoreData::list(const std::string &kind, const std::string &after) const
{
    const std::lock_guard lock(m_mutex);
    RecordPage page;
    page.revision = m_revision;
    const auto objects = m_objects.find(kind);
    if (objects == m_objects.end())
        return page;
    for (auto it = objects->second.upper_bound(after); it != objects->second.end(); ++it) {
        if (page.records.size() == pageObjects) {
            page.hasMore = true;
            break;
        }
        page.records.push_back(it->second);
    }
    return page;
}

std::optional<std::vector<RecordChange>> StoreData::changesAfter(const std::string &kind,
                                                                 std::uint64_t revision) const
{
    const std::lock_guard lock(m_mutex);
    if (revision < m_historyFrom || revision > m_revision)
        return std::nullopt;
    std::vector<RecordChange> changes;
    for (const RecordChange &change : m_history) {
        if (change.revision > revision && change.kind == kind)
            changes.push_back(change);
    }
    return changes;
}

std::uint64_t StoreData::revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_revision;
}

std::vector<std::string> StoreData::kinds() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> kinds;
    for (const auto &[kind, objects] : m_objects)
        kinds.push_back(kind);
    return kinds;
}

void StoreData::dropHistory()
{
    const std::lock_guard lock(m_mutex);
    m_history.clear();
    m_historyFrom = m_revision;
}

void StoreData::returnToCopy(Duration age)
{
    const std::lock_guard lock(m_mutex);
    const TimePoint copiedAt = Clock::now() - age;
    while (!m_undoLog.empty() && m_undoLog.back().time > copiedAt) {
        const UndoEntry &change = m_undoLog.back();
        if (change.previous)
            m_objects[change.kind][change.name] = *change.previous;
        else
            m_objects[change.kind].erase(change.name);
        m_revision = change.revision - 1;
        m_undoLog.pop_back();
    }
    while (!m_history.empty() && m_history.back().revision > m_revision)
        m_history.pop_back();
    m_historyFrom = std::min(m_historyFrom, m_revision);
    ++m_era;
}

std::uint64_t StoreData::era() const
{
    const std::lock_guard lock(m_mutex);
    return m_era;
}

} // namespace gwt
