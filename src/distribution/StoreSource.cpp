#include "distribution/StoreSource.h"

#include "control/ConfigKeys.h"

#include <config.pb.h>

namespace gwt {

StoreSource::StoreSource(ObjectStore &store)
    : m_store(store)
{ }

Task<Outcome<SourceHead>> StoreSource::head(TimePoint deadline)
{
    const Outcome<StoredObject> stored = co_await m_store.get(configHeadKey, deadline);
    if (!isOk(stored) && errorOf(stored).code == ErrorCode::NotFound)
        co_return SourceHead();
    if (!isOk(stored))
        co_return errorOf(stored);
    wire::ConfigHead message;
    if (!message.ParseFromString(valueOf(stored).value))
        co_return Error(ErrorCode::Malformed, "bad_head", configHeadKey);
    SourceHead head;
    head.generation = message.generation();
    head.manifestHash = message.manifest_hash();
    co_return head;
}

Task<Outcome<std::string>> StoreSource::content(std::string key, TimePoint deadline)
{
    Outcome<StoredObject> stored = co_await m_store.get(std::move(key), deadline);
    if (!isOk(stored))
        co_return errorOf(stored);
    co_return std::move(valueOf(stored).value);
}

} // namespace gwt
