#pragma once

#include "distribution/ConfigSource.h"
#include "platform/ObjectStore.h"

namespace gwt {

/// \brief Reads generations from the object store.
class StoreSource : public ConfigSource
{
public:
    explicit StoreSource(ObjectStore &store);

    /// \brief Reads the published head; generation 0 if none was ever published. The index fields
    /// stay unset. Errors: Malformed, those of ObjectStore.
    Task<Outcome<SourceHead>> head(TimePoint deadline) override;
    Task<Outcome<std::string>> content(std::string key, TimePoint deadline) override;

private:
    ObjectStore &m_store;
};

} // namespace gwt
