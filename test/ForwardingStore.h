#pragma once

#include "platform/ObjectStore.h"

namespace gwt {

/// \brief Forwards every call to another store; tests override calls to inject faults.
class ForwardingStore : public ObjectStore
{
public:
    explicit ForwardingStore(ObjectStore &store)
        : m_store(store)
    { }

    Task<Outcome<StoredObject>> get(std::string key, TimePoint deadline) override
    {
        return m_store.get(std::move(key), deadline);
    }

    Task<Outcome<ObjectVersion>> put(std::string key, std::string value, ObjectVersion expected,
                                     TimePoint deadline) override
    {
        return m_store.put(std::move(key), std::move(value), expected, deadline);
    }

    Task<Outcome<Done>> remove(std::string key, ObjectVersion expected, TimePoint deadline) override
    {
        return m_store.remove(std::move(key), expected, deadline);
    }

    Task<Outcome<std::vector<ObjectInfo>>> list(std::string prefix, TimePoint deadline) override
    {
        return m_store.list(std::move(prefix), deadline);
    }

    Task<Outcome<WatchResult>> watch(std::string prefix, std::uint64_t revision,
                                     TimePoint deadline) override
    {
        return m_store.watch(std::move(prefix), revision, deadline);
    }

private:
    ObjectStore &m_store;
};

} // namespace gwt
