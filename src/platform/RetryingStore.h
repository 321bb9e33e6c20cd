#pragma once

#include "platform/ObjectStore.h"

namespace gwt {

/// \brief Timeouts and delays of RetryingStore.
struct StoreRetryOptions
{
    Milliseconds attemptTimeout{3000}; ///< longest wait for the reply to one attempt
    Milliseconds retryDelay{50}; ///< pause between two attempts
};

/// \brief Retries reads of another store that fail with a transient error, until their deadline.
///
/// Writes are attempted once, for \c attemptTimeout at most, because only the caller can find out
/// whether a write without a reply took effect. Watches are passed through.
class RetryingStore : public ObjectStore
{
public:
    explicit RetryingStore(ObjectStore &store, StoreRetryOptions options = {});

    Task<Outcome<StoredObject>> get(std::string key, TimePoint deadline) override;
    Task<Outcome<ObjectVersion>> put(std::string key, std::string value, ObjectVersion expected,
                                     TimePoint deadline) override;
    Task<Outcome<Done>> remove(std::string key, ObjectVersion expected,
                               TimePoint deadline) override;
    Task<Outcome<std::vector<ObjectInfo>>> list(std::string prefix, TimePoint deadline) override;
    Task<Outcome<WatchResult>> watch(std::string prefix, std::uint64_t revision,
                                     TimePoint deadline) override;

private:
    TimePoint attemptDeadline(TimePoint deadline) const;

    ObjectStore &m_store;
    StoreRetryOptions m_options;
};

} // namespace gwt
