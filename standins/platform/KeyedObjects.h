#pragma once

#include "platform/ObjectStore.h"
#include "standins/platform/StoreData.h"

#include <optional>
#include <string>
#include <vector>

namespace gwt {

/// \brief Gives tests access by key to the project's objects in the simulated store.
class KeyedObjects
{
public:
    explicit KeyedObjects(StoreData &data)
        : m_data(data)
    { }

    std::optional<StoredObject> get(const std::string &key) const;
    /// \brief Writes if the version is \a expected; returns the new version, or nullopt.
    std::optional<ObjectVersion> put(const std::string &key, const std::string &value,
                                     ObjectVersion expected);
    /// \brief Writes regardless of the current version.
    ObjectVersion overwrite(const std::string &key, const std::string &value);
    bool remove(const std::string &key, ObjectVersion expected);
    /// \brief Returns the objects of all kinds whose key starts with \a prefix.
    std::vector<ObjectInfo> list(const std::string &prefix) const;

private:
    StoreData &m_data;
};

} // namespace gwt
