#include "standins/platform/KeyedObjects.h"

#include "platform/KeyMapping.h"

namespace gwt {

using platform::locationOf;

std::optional<StoredObject> KeyedObjects::get(const std::string &key) const
{
    const platform::ObjectLocation place = locationOf(key);
    const auto object = m_data.get(place.kind, place.name);
    auto value = object ? platform::decodeValue(object->spec) : std::nullopt;
    if (!value)
        return std::nullopt;
    return StoredObject{std::move(*value), object->revision};
}

std::optional<ObjectVersion> KeyedObjects::put(const std::string &key, const std::string &value,
                                               ObjectVersion expected)
{
    const platform::ObjectLocation place = locationOf(key);
    const boost::json::value spec = platform::encodeValue(value);
    const StoreWrite write = expected == 0 ? m_data.create(place.kind, place.name, spec)
                                           : m_data.replace(place.kind, place.name, expected, spec);
    if (write.verdict != StoreWrite::Verdict::Done)
        return std::nullopt;
    return write.object.revision;
}

ObjectVersion KeyedObjects::overwrite(const std::string &key, const std::string &value)
{
    const platform::ObjectLocation place = locationOf(key);
    return m_data.overwrite(place.kind, place.name, platform::encodeValue(value));
}

bool KeyedObjects::remove(const std::string &key, ObjectVersion expected)
{
    const platform::ObjectLocation place = locationOf(key);
    return m_data.remove(place.kind, place.name, expected).verdict == StoreWrite::Verdict::Done;
}

std::vector<ObjectInfo> KeyedObjects::list(const std::string &prefix) const
{
    std::vector<ObjectInfo> listed;
    for (const std::string &kind : m_data.kinds()) {
        RecordPage page;
        std::string after;
        do {
            page = m_data.list(kind, after);
            for (const ObjectRecord &record : page.records) {
                after = record.name;
                const std::string key = platform::keyOf({kind, record.name});
                if (key.starts_with(prefix))
                    listed.push_back({key, record.revision});
            }
        } while (page.hasMore);
    }
    return listed;
}

} // namespace gwt
