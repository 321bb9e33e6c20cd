#include "distribution/ConfigDistributor.h"

#include "common/Gather.h"
#include "common/Log.h"
#include "common/Sleep.h"
#include "control/ConfigCodec.h"
#include "control/ConfigKeys.h"
#include "distribution/WatcherSelection.h"

#include <distribution.pb.h>

#include <algorithm>

namespace gwt {

namespace {

constexpr Milliseconds watchRetryDelay{250};
const std::string storeName = "store";
const std::string peerName = "peer";

/// \brief Heads that peers returned to a quorum poll.
struct QuorumReplies
{
    std::vector<std::pair<Member, SourceHead>> heads;
};

Task<void> fetchHead(PeerClient &client, Member peer, TimePoint deadline,
                     Gather<QuorumReplies> replies)
{
    PeerSource source(client, peer.peerAddress);
    const Outcome<SourceHead> head = co_await source.head(deadline);
    replies.add([&](QuorumReplies &all) {
        if (isOk(head))
            all.heads.emplace_back(peer, valueOf(head));
    });
}

} // namespace

ConfigDistributor::ConfigDistributor(Executor executor, ObjectStore &store, ConfigHolder &holder,
                                     const MembershipView &membership, PeerClient &client,
                                     PeerServer &server, Metrics &metrics,
                                     DistributionOptions options)
    : m_executor(asio::make_strand(executor))
    , m_store(store)
    , m_holder(holder)
    , m_membership(membership)
    , m_client(client)
    , m_metrics(metrics)
    , m_options(std::move(options))
    , m_policy(m_options)
    , m_random(makeSeededEngine())
    , m_indexes(std::make_shared<const IndexSnapshot>())
{
    registerRoutes(server);
}

void ConfigDistributor::registerRoutes(PeerServer &server)
{
    server.route(configHeadPath,
                 [this](PeerRequest) -> Task<PeerReply> { co_return answerHead(); });
    server.route(configChunkPath, [this](PeerRequest request) -> Task<PeerReply> {
        wire::ConfigChunkRequest message;
        if (!message.ParseFromString(request.body))
            co_return PeerReply(400, "");
        co_return answerChunk(message.key());
    });
    server.route(configIndexesPath,
                 [this](PeerRequest) -> Task<PeerReply> { co_return answerIndexes(); });
}

void ConfigDistributor::start(std::function<void()> onChange)
{
    m_onChange = std::move(onChange);
    const WatchTarget head{configHeadKey, m_options.configWatchTimeout, true,
                           &ConfigDistributor::readStoreHead};
    const WatchTarget versions{indexPrefix, m_options.indexWatchTimeout, false,
                               &ConfigDistributor::readStoreIndexes};
    spawn(m_executor, watchLoop(head));
    spawn(m_executor, watchLoop(versions));
    spawn(m_executor, pullLoop());
}

VerifiedGenerationPtr ConfigDistributor::generation() const
{
    const std::lock_guard lock(m_mutex);
    return m_generation;
}

IndexSnapshotPtr ConfigDistributor::indexes() const
{
    const std::lock_guard lock(m_mutex);
    return m_indexes;
}

std::optional<Milliseconds> ConfigDistributor::storeAge() const
{
    const std::lock_guard lock(m_mutex);
    if (!m_freshAt)
        return std::nullopt;
    return std::chrono::duration_cast<Milliseconds>(timeLeft(Clock::now(), *m_freshAt));
}

void ConfigDistributor::recordFreshness(TimePoint freshAt)
{
    m_policy.recordFreshness(freshAt, *m_membership.members(), m_random);
    const std::lock_guard lock(m_mutex);
    m_freshAt = m_policy.freshAt();
}

PeerReply ConfigDistributor::answerHead() const
{
    const VerifiedGenerationPtr current = generation();
    const IndexSnapshotPtr versions = indexes();
    wire::ConfigHeadReply reply;
    if (current) {
        reply.set_generation(current->config->generation());
        reply.set_manifest_hash(current->manifestHash);
    }
    reply.set_index_revision(versions->revision);
    reply.set_index_digest(versions->digest);
    if (const std::optional<Milliseconds> age = storeAge())
        reply.set_store_age_ms(static_cast<std::uint64_t>(age->count()));
    return {200, reply.SerializeAsString()};
}

PeerReply ConfigDistributor::answerChunk(const std::string &key) const
{
    const VerifiedGenerationPtr current = generation();
    wire::ConfigChunkReply reply;
    if (current) {
        const auto found = current->contents.find(key);
        reply.set_found(found != current->contents.end());
        if (reply.found())
            reply.set_content(*found->second);
    }
    return {200, reply.SerializeAsString()};
}

PeerReply ConfigDistributor::answerIndexes() const
{
    const IndexSnapshotPtr versions = indexes();
    wire::IndexVersionsReply reply;
    reply.set_revision(versions->revision);
    for (const IndexVersion &version : versions->versions)
        reply.add_versions(encodeIndexVersion(version));
    return {200, reply.SerializeAsString()};
}

bool ConfigDistributor::isWatching() const
{
    return isWatcher(m_options.selfId, m_options.availabilityZone, *m_membership.members(),
                     m_options.watchersPerZone);
}

void ConfigDistributor::countPull(const std::string &source, const std::string &reason)
{
    const MetricLabels labels{{"source", source}, {"reason", reason}};
    m_metrics
        .counter("gwt_control_pulls_total", "Pulls of a configuration by source and outcome",
                 labels)
        .Increment();
}

bool ConfigDistributor::applyGeneration(VerifiedGenerationPtr loaded, const std::string &source)
{
    if (!m_holder.updateIfNewer(loaded->config)) {
        countPull(source, "not_higher");
        return false;
    }
    const std::uint64_t applied = loaded->config->generation();
    const std::size_t objects = loaded->config->set().size();
    {
        const std::lock_guard lock(m_mutex);
        m_generation = std::move(loaded);
    }
    countPull(source, "taken");
    logInfo("config_taken", {{"generation", applied}, {"objects", objects}, {"source", source}});
    m_onChange();
    return true;
}

void ConfigDistributor::applyIndexes(IndexSnapshot loaded, const std::string &source)
{
    const IndexSnapshotPtr current = indexes();
    if (loaded.revision <= current->revision)
        return;
    const bool isChanged = loaded.digest != current->digest;
    if (isChanged) {
        m_holder.setIndexVersions(loaded.versions);
        logInfo("index_versions_taken",
                {{"revision", loaded.revision},
                 {"versions", loaded.versions.size()},
                 {"source", source}});
    }
    auto next = std::make_shared<const IndexSnapshot>(std::move(loaded));
    const std::lock_guard lock(m_mutex);
    m_indexes = std::move(next);
}

Task<bool> ConfigDistributor::pull(std::unique_ptr<ConfigSource> source, SourceHead head,
                                   std::string sourceName)
{
    const VerifiedGenerationPtr current = generation();
    if (head.generation <= (current ? current->config->generation() : 0))
        co_return true;
    const TimePoint deadline = Clock::now() + m_options.loadTimeout;
    Outcome<VerifiedGenerationPtr> loaded
        = co_await loadGeneration(*source, head, current, deadline);
    if (!isOk(loaded)) {
        countPull(sourceName, errorOf(loaded).reason);
        logWarning("config_pull_failed",
                   {{"source", sourceName},
                    {"generation", head.generation},
                    {"reason", errorOf(loaded).reason},
                    {"detail", errorOf(loaded).detail}});
        co_return false;
    }
    applyGeneration(std::move(valueOf(loaded)), sourceName);
    co_return true;
}

Task<bool> ConfigDistributor::readStoreHead(std::uint64_t)
{
    auto source = std::make_unique<StoreSource>(m_store);
    const TimePoint requestedAt = Clock::now();
    const Outcome<SourceHead> head = co_await source->head(requestedAt + m_options.storeTimeout);
    if (!isOk(head)) {
        countPull(storeName, errorOf(head).reason);
        co_return false;
    }
    const bool isUpToDate = co_await pull(std::move(source), valueOf(head), storeName);
    if (isUpToDate)
        recordFreshness(requestedAt);
    co_return isUpToDate;
}

Task<bool> ConfigDistributor::readStoreIndexes(std::uint64_t revision)
{
    const TimePoint deadline = Clock::now() + m_options.loadTimeout;
    const auto listed = co_await m_store.list(indexPrefix, deadline);
    if (!isOk(listed))
        co_return false;
    std::map<std::string, std::pair<ObjectVersion, IndexVersion>> current;
    for (const ObjectInfo &info : valueOf(listed)) {
        const auto cached = m_storedIndexes.find(info.key);
        if (cached != m_storedIndexes.end() && cached->second.first == info.version) {
            current.insert(*cached);
            continue;
        }
        const Outcome<StoredObject> stored = co_await m_store.get(info.key, deadline);
        if (!isOk(stored) && errorOf(stored).code == ErrorCode::NotFound)
            continue;
        if (!isOk(stored))
            co_return false;
        const Outcome<IndexVersion> version = decodeIndexVersion(valueOf(stored).value);
        if (!isOk(version)) {
            countPull(storeName, errorOf(version).reason);
            logWarning("index_version_unreadable", {{"key", info.key}});
            continue;
        }
        current[info.key] = {valueOf(stored).version, valueOf(version)};
    }
    m_storedIndexes = std::move(current);
    IndexSnapshot loaded;
    loaded.revision = revision;
    for (const auto &[key, entry] : m_storedIndexes)
        loaded.versions.push_back(entry.second);
    loaded.digest = indexDigest(loaded.versions);
    applyIndexes(std::move(loaded), storeName);
    co_return true;
}

Task<void> ConfigDistributor::readStore()
{
    co_await readStoreHead(0);
    const auto result = co_await m_store.watch(indexPrefix, 0, Clock::now() + m_options.tick);
    if (isOk(result))
        co_await readStoreIndexes(valueOf(result).revision);
}

Task<void> ConfigDistributor::watchLoop(WatchTarget target)
{
    std::uint64_t revision = 0;
    bool isCurrent = false;
    while (true) {
        if (!isWatching()) {
            isCurrent = false;
            co_await sleepFor(m_options.tick);
            continue;
        }
        const TimePoint requestedAt = Clock::now();
        const TimePoint deadline = requestedAt + (isCurrent ? target.timeout : m_options.tick);
        const auto result = co_await m_store.watch(target.prefix, revision, deadline);
        if (isOk(result)) {
            revision = valueOf(result).revision;
            if (!valueOf(result).changes.empty() || !isCurrent)
                isCurrent = co_await (this->*target.read)(revision);
            else if (target.isHead)
                recordFreshness(requestedAt);
        }
        if (!isOk(result) || !isCurrent)
            co_await sleepFor(watchRetryDelay);
    }
}

Task<void> ConfigDistributor::pullIndexes(Endpoint remote, SourceHead head)
{
    const IndexSnapshotPtr current = indexes();
    if (head.indexRevision <= current->revision)
        co_return;
    if (head.indexDigest == current->digest) {
        IndexSnapshot same = *current;
        same.revision = head.indexRevision;
        applyIndexes(std::move(same), peerName);
        co_return;
    }
    PeerSource source(m_client, std::move(remote));
    Outcome<IndexSnapshot> loaded = co_await source.indexes(Clock::now() + m_options.peerTimeout);
    if (isOk(loaded))
        applyIndexes(std::move(valueOf(loaded)), peerName);
    else
        countPull(peerName, errorOf(loaded).reason);
}

Task<void> ConfigDistributor::pollPeer(Member peer)
{
    auto source = std::make_unique<PeerSource>(m_client, peer.peerAddress);
    const TimePoint requestedAt = Clock::now();
    const Outcome<SourceHead> head = co_await source->head(requestedAt + m_options.peerTimeout);
    if (!isOk(head)) {
        countPull(peerName, errorOf(head).reason);
        co_return;
    }
    const SourceHead peerHead = valueOf(head);
    const bool isUpToDate = co_await pull(std::move(source), peerHead, peerName);
    if (isUpToDate && peerHead.storeAge)
        recordFreshness(requestedAt - *peerHead.storeAge);
    co_await pullIndexes(peer.peerAddress, peerHead);
}

Task<void> ConfigDistributor::pollQuorum(MemberList peers)
{
    const TimePoint deadline = Clock::now() + m_options.peerTimeout;
    const Gather<QuorumReplies> replies(static_cast<int>(peers.size()));
    for (const Member &peer : peers)
        spawn(m_executor, fetchHead(m_client, peer, deadline, replies));
    const QuorumReplies received = co_await replies.take(deadline);
    if (!PullPolicy::isQuorum(received.heads.size(), peers.size())) {
        countPull(peerName, "no_quorum");
        co_return;
    }
    const auto highest = std::max_element(
        received.heads.begin(), received.heads.end(),
        [](const auto &a, const auto &b) { return a.second.generation < b.second.generation; });
    if (highest->second.generation == 0)
        co_return;
    auto source = std::make_unique<PeerSource>(m_client, highest->first.peerAddress);
    co_await pull(std::move(source), highest->second, peerName);
    const auto newest = std::max_element(received.heads.begin(), received.heads.end(),
                                         [](const auto &a, const auto &b) {
                                             return a.second.indexRevision < b.second.indexRevision;
                                         });
    co_await pullIndexes(newest->first.peerAddress, newest->second);
}

Task<void> ConfigDistributor::pullLoop()
{
    while (true) {
        const std::shared_ptr<const MemberList> members = m_membership.members();
        const std::uint64_t current = m_holder.current()->generation();
        const PullStep step = m_policy.next(current, *members, Clock::now(), m_random);
        if (step.action == PullAction::PollPeer)
            co_await pollPeer(step.peers.front());
        else if (step.action == PullAction::PollQuorum)
            co_await pollQuorum(step.peers);
        else if (step.action == PullAction::ReadStore)
            co_await readStore();
        co_await sleepFor(m_options.tick);
    }
}

} // namespace gwt
