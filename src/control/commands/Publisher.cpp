#include "control/commands/Publisher.h"

#include "common/Random.h"
#include "common/Sleep.h"
#include "control/ConfigChecker.h"
#include "control/ConfigCodec.h"
#include "control/ConfigDiff.h"
#include "control/ConfigKeys.h"

#include <config.pb.h>

#include <algorithm>
#include <set>

namespace gwt {

namespace {

constexpr int maxRecentPublishIds = 16;
constexpr Milliseconds retryDelay{50};
const std::string headConflictReason = "published_by_another";

std::uint64_t wallClockMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
}

} // namespace

/// \brief The head as read, and the generation that it refers to.
struct Publisher::Head
{
    wire::ConfigHead message;
    ObjectVersion version = 0; ///< 0: nothing has been published yet
    GenerationInfo info;
};

Publisher::Publisher(ObjectStore &store)
    : m_store(store)
    , m_reader(m_store)
{ }

Task<Outcome<Done>> Publisher::putImmutable(std::string key, std::string value, TimePoint deadline)
{
    while (true) {
        const Outcome<ObjectVersion> written = co_await m_store.put(key, value, 0, deadline);
        // The key is a hash of the content: a conflict means that the content is already stored.
        if (isOk(written) || errorOf(written).code == ErrorCode::Conflict)
            co_return Done{};
        if (Clock::now() >= deadline)
            co_return errorOf(written);
        co_await sleepFor(retryDelay);
    }
}

Task<Outcome<Publisher::Head>> Publisher::readHead(TimePoint deadline)
{
    Head head;
    const Outcome<StoredObject> stored = co_await m_store.get(configHeadKey, deadline);
    if (!isOk(stored) && errorOf(stored).code == ErrorCode::NotFound)
        co_return head;
    if (!isOk(stored))
        co_return errorOf(stored);
    if (!head.message.ParseFromString(valueOf(stored).value))
        co_return Error(ErrorCode::Malformed, "bad_head", configHeadKey);
    head.version = valueOf(stored).version;
    Outcome<GenerationInfo> info
        = co_await m_reader.readManifest(head.message.manifest_hash(), deadline);
    if (!isOk(info))
        co_return errorOf(info);
    head.info = std::move(valueOf(info));
    co_return head;
}

Task<Outcome<std::uint64_t>> Publisher::publish(ConfigSet set, PublishInfo info, TimePoint deadline)
{
    std::vector<ConfigFault> faults = checkConfig(set, {});
    if (!faults.empty())
        co_return Error(ErrorCode::InvalidArgument, "set_has_faults", toString(faults.front()));
    Outcome<Head> head = co_await readHead(deadline);
    if (!isOk(head))
        co_return errorOf(head);
    GenerationInfo base = valueOf(head).info;
    if (info.baseGeneration != 0) {
        Outcome<GenerationInfo> found = co_await m_reader.find(info.baseGeneration, deadline);
        if (!isOk(found))
            co_return errorOf(found);
        base = std::move(valueOf(found));
    }
    while (true) {
        Outcome<ConfigSet> merged = set;
        if (valueOf(head).info.generation != base.generation)
            merged = co_await rebase(set, base, valueOf(head).info, deadline);
        if (!isOk(merged))
            co_return errorOf(merged);
        const Outcome<std::uint64_t> published
            = co_await tryPublish(valueOf(merged), valueOf(head), info, deadline);
        if (isOk(published) || errorOf(published).reason != headConflictReason
            || Clock::now() >= deadline)
            co_return published;
        head = co_await readHead(deadline);
        if (!isOk(head))
            co_return errorOf(head);
    }
}

Task<Outcome<ConfigSet>> Publisher::rebase(ConfigSet wanted, GenerationInfo base,
                                           GenerationInfo head, TimePoint deadline)
{
    ConfigSet baseSet;
    if (base.generation != 0) {
        const auto loaded = co_await m_reader.load(base, deadline);
        if (!isOk(loaded))
            co_return errorOf(loaded);
        baseSet = valueOf(loaded)->set();
    }
    const auto loaded = co_await m_reader.load(head, deadline);
    if (!isOk(loaded))
        co_return errorOf(loaded);
    Outcome<ConfigSet> merged = rebaseConfig(baseSet, wanted, valueOf(loaded)->set());
    if (!isOk(merged)) {
        co_return Error(ErrorCode::Conflict, errorOf(merged).reason,
                        errorOf(merged).detail + ": changed from generation "
                            + std::to_string(base.generation) + " by this change and by generation "
                            + std::to_string(head.generation));
    }
    const std::vector<ConfigFault> faults = checkConfig(valueOf(merged), {});
    if (!faults.empty())
        co_return Error(ErrorCode::InvalidArgument, "set_has_faults", toString(faults.front()));
    co_return merged;
}

Task<Outcome<std::string>> Publisher::writeManifest(ConfigSet set, GenerationInfo parent,
                                                    PublishInfo info, TimePoint deadline)
{
    const Outcome<std::vector<std::string>> parentChunks
        = co_await m_reader.chunkHashes(parent, deadline);
    if (!isOk(parentChunks))
        co_return errorOf(parentChunks);
    GenerationInfo next;
    next.generation = parent.generation + 1;
    next.author = info.author;
    next.note = info.note;
    next.timeMs = wallClockMs();
    next.parentHash = parent.manifestHash;
    std::set<std::string> storedHashes(valueOf(parentChunks).begin(), valueOf(parentChunks).end());
    for (const ConfigChunk &chunk : encodeConfig(set)) {
        next.chunkHashes.push_back(chunk.hash);
        if (storedHashes.count(chunk.hash))
            continue;
        const Outcome<Done> written
            = co_await putImmutable(chunkKey(chunk.hash), chunk.content, deadline);
        if (!isOk(written))
            co_return errorOf(written);
    }
    storedHashes.insert(parent.pageHashes.begin(), parent.pageHashes.end());
    for (const ConfigChunk &page : splitIntoPages(next)) {
        if (storedHashes.count(page.hash))
            continue;
        const Outcome<Done> written
            = co_await putImmutable(pageKey(page.hash), page.content, deadline);
        if (!isOk(written))
            co_return errorOf(written);
    }
    const std::string content = encodeManifest(next);
    std::string hash = contentHash(content);
    const Outcome<Done> written = co_await putImmutable(manifestKey(hash), content, deadline);
    if (!isOk(written))
        co_return errorOf(written);
    co_return hash;
}

Task<Outcome<std::uint64_t>> Publisher::tryPublish(ConfigSet set, Head head, PublishInfo info,
                                                   TimePoint deadline)
{
    const Outcome<std::string> manifest
        = co_await writeManifest(std::move(set), head.info, std::move(info), deadline);
    if (!isOk(manifest))
        co_return errorOf(manifest);
    const std::uint64_t generation = head.info.generation + 1;
    const std::string publishId = makeUniqueId();
    head.message.set_generation(generation);
    head.message.set_manifest_hash(valueOf(manifest));
    head.message.set_publish_id(publishId);
    head.message.add_recent_publish_ids(publishId);
    while (head.message.recent_publish_ids_size() > maxRecentPublishIds)
        head.message.mutable_recent_publish_ids()->DeleteSubrange(0, 1);
    const std::string content = head.message.SerializeAsString();
    while (true) {
        const Outcome<ObjectVersion> updated
            = co_await m_store.put(configHeadKey, content, head.version, deadline);
        if (isOk(updated))
            co_return generation;
        // After a conflict, the head shows whether an earlier attempt took effect.
        if (errorOf(updated).code == ErrorCode::Conflict)
            co_return co_await resolveOutcome(publishId, generation, deadline);
        if (Clock::now() >= deadline)
            co_return errorOf(updated);
        co_await sleepFor(retryDelay);
    }
}

Task<Outcome<std::uint64_t>> Publisher::resolveOutcome(std::string publishId,
                                                       std::uint64_t generation, TimePoint deadline)
{
    while (true) {
        const Outcome<StoredObject> current = co_await m_store.get(configHeadKey, deadline);
        wire::ConfigHead head;
        if (isOk(current) && head.ParseFromString(valueOf(current).value)) {
            const auto &ids = head.recent_publish_ids();
            if (std::find(ids.begin(), ids.end(), publishId) != ids.end())
                co_return generation;
            co_return Error{ErrorCode::Conflict, headConflictReason,
                            "generation " + std::to_string(head.generation())
                                + " was published in the meantime"};
        }
        if (Clock::now() >= deadline) {
            co_return Error{ErrorCode::Timeout, "outcome_not_known",
                            "the head could not be read back"};
        }
        co_await sleepFor(retryDelay);
    }
}

} // namespace gwt
