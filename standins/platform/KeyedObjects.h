#pragma once

#include "platform/ObjectStore.h"
#include "standins/platform/StoreData.h"

#include <optional>
#include <string>
#include <vector>

namespace gwt {

/// \brief The project's objects in the stand-in's store, by key, as tests look at and change them.
class KeyedObjects
{
public:
    explicit KeyedObjects(StoreData &data)
        : m_data(data)
    { }

    std::optional<StoredObject> get(const std::string &key) const;
    /// \brief Writes if the version is \a expected; yields the new version, or nullopt.
    std::optional<ObjectVersion> put(const std::string &key, const std::string &value,
                                     ObjectVersion expected);
    /// \brief Writes whatever the version.
    ObjectVersion overwrite(const std::string &key, const std::string &value);
    bool remove(const std::string &key, ObjectVersion expected);
    /// \brief The objects whose key starts with \a prefix, of whatever kind.
    std::vector<ObjectInfo> list(const std::string &prefix) const;

private:
    StoreData &m_data;
};

} // namespace gwt
