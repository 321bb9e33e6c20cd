#include "platform/RetryingStore.h"

#include "common/Sleep.h"

namespace gwt {

namespace {

bool isTransient(const Error &error)
{
    switch (error.code) {
    case ErrorCode::Unavailable:
    case ErrorCode::Overloaded:
    case ErrorCode::Timeout:
    case ErrorCode::Unknown:
        return true;
    default:
        return false;
    }
}

template <typename T>
bool isFinal(const Outcome<T> &outcome, TimePoint deadline)
{
    return isOk(outcome) || !isTransient(errorOf(outcome)) || Clock::now() >= deadline;
}

} // namespace

RetryingStore::RetryingStore(ObjectStore &store, StoreRetryOptions options)
    : m_store(store)
    , m_options(options)
{ }

TimePoint RetryingStore::attemptDeadline(TimePoint deadline) const
{
    return std::min(deadline, Clock::now() + m_options.attemptTimeout);
}

Task<Outcome<StoredObject>> RetryingStore::get(std::string key, TimePoint deadline)
{
    while (true) {
        Outcome<StoredObject> stored = co_await m_store.get(key, attemptDeadline(deadline));
        if (isFinal(stored, deadline))
            co_return stored;
        co_await sleepFor(m_options.retryDelay);
    }
}

Task<Outcome<ObjectVersion>> RetryingStore::put(std::string key, std::string value,
                                                ObjectVersion expected, TimePoint deadline)
{
    co_return co_await m_store.put(std::move(key), std::move(value), expected,
                                   attemptDeadline(deadline));
}

Task<Outcome<Done>> RetryingStore::remove(std::string key, ObjectVersion expected,
                                          TimePoint deadline)
{
    co_return co_await m_store.remove(std::move(key), expected, attemptDeadline(deadline));
}

Task<Outcome<std::vector<ObjectInfo>>> RetryingStore::list(std::string prefix, TimePoint deadline)
{
    while (true) {
        Outcome<std::vector<ObjectInfo>> listed
            = co_await m_store.list(prefix, attemptDeadline(deadline));
        if (isFinal(listed, deadline))
            co_return listed;
        co_await sleepFor(m_options.retryDelay);
    }
}

Task<Outcome<WatchResult>> RetryingStore::watch(std::string prefix, std::uint64_t revision,
                                                TimePoint deadline)
{
    co_return co_await m_store.watch(std::move(prefix), revision, deadline);
}

} // namespace gwt
