#include "distribution/ConfigDistributor.h"

#include "common/Gather.h"
#include "common/Log.h"
#include "common/Sleep.h"
#include "control/ConfigCodec.h"
#include "control/ConfigKeys.h"
#include "distribution/WatcherChoice.h"

#include <distribution.pb.h>

#include <algorithm>

namespace gwt {

namespace {

constexpr Milliseconds watchRetryDelay{250};
const std::string storeName = "store";
const std::string peerName = "peer";

/// \brief The answers of a quorum, with who gave them.
struct QuorumAnswers
{
    std::vector<std::pair<Member, SourceHead>> heads;
};

Task<void> askHead(PeerClient &client, Member peer, TimePoint deadline,
                   Gather<QuorumAnswers> answers)
{
    PeerSource source(client, peer.peerAddress);
    const Outcome<SourceHead> head = co_await source.head(deadline);
    answers.add([&](QuorumAnswers &all) {
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
    , m_indexes(std::make_shared<const HeldIndexes>())
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
    const Watched head{configHeadKey, m_options.configWatchTimeout, true,
                       &ConfigDistributor::readStoreHead};
    const Watched versions{indexPrefix, m_options.indexWatchTimeout, false,
                           &ConfigDistributor::readStoreIndexes};
    spawn(m_executor, watchLoop(head));
    spawn(m_executor, watchLoop(versions));
    spawn(m_executor, pullLoop());
}

HeldGenerationPtr ConfigDistributor::generation() const
{
    const std::lock_guard lock(m_mutex);
    return m_generation;
}

HeldIndexesPtr ConfigDistributor::indexes() const
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

void ConfigDistributor::noteFresh(TimePoint freshAt)
{
    m_policy.heard(freshAt, *m_membership.members(), m_random);
    const std::lock_guard lock(m_mutex);
    m_freshAt = m_policy.freshAt();
}

PeerReply ConfigDistributor::answerHead() const
{
    const HeldGenerationPtr held = generation();
    const HeldIndexesPtr versions = indexes();
    wire::ConfigHeadReply reply;
    if (held) {
        reply.set_generation(held->config->generation());
        reply.set_manifest_hash(held->manifestHash);
    }
    reply.set_index_revision(versions->revision);
    reply.set_index_digest(versions->digest);
    if (const std::optional<Milliseconds> age = storeAge())
        reply.set_store_age_ms(static_cast<std::uint64_t>(age->count()));
    return {200, reply.SerializeAsString()};
}

PeerReply ConfigDistributor::answerChunk(const std::string &key) const
{
    const HeldGenerationPtr held = generation();
    wire::ConfigChunkReply reply;
    if (held) {
        const auto found = held->contents.find(key);
        reply.set_found(found != held->contents.end());
        if (reply.found())
            reply.set_content(*found->second);
    }
    return {200, reply.SerializeAsString()};
}

PeerReply ConfigDistributor::answerIndexes() const
{
    const HeldIndexesPtr versions = indexes();
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

void ConfigDistributor::count(const std::string &source, const std::string &reason)
{
    const MetricLabels labels{{"source", source}, {"reason", reason}};
    m_metrics
        .counter("gwt_control_pulls_total", "Pulls of a configuration by source and outcome",
                 labels)
        .Increment();
}

bool ConfigDistributor::take(HeldGenerationPtr loaded, const std::string &source)
{
    if (!m_holder.updateIfNewer(loaded->config)) {
        count(source, "not_higher");
        return false;
    }
    const std::uint64_t taken = loaded->config->generation();
    const std::size_t objects = loaded->config->set().size();
    {
        const std::lock_guard lock(m_mutex);
        m_generation = std::move(loaded);
    }
    count(source, "taken");
    logInfo("config_taken", {{"generation", taken}, {"objects", objects}, {"source", source}});
    m_onChange();
    return true;
}

void ConfigDistributor::takeIndexes(HeldIndexes loaded, const std::string &source)
{
    const HeldIndexesPtr held = indexes();
    if (loaded.revision <= held->revision)
        return;
    const bool isChanged = loaded.digest != held->digest;
    if (isChanged) {
        m_holder.setIndexVersions(loaded.versions);
        logInfo("index_versions_taken",
                {{"revision", loaded.revision},
                 {"versions", loaded.versions.size()},
                 {"source", source}});
    }
    auto next = std::make_shared<const HeldIndexes>(std::move(loaded));
    const std::lock_guard lock(m_mutex);
    m_indexes = std::move(next);
}

Task<bool> ConfigDistributor::pull(std::unique_ptr<ConfigSource> source, SourceHead head,
                                   std::string sourceName)
{
    const HeldGenerationPtr held = generation();
    if (head.generation <= (held ? held->config->generation() : 0))
        co_return true;
    const TimePoint deadline = Clock::now() + m_options.loadTimeout;
    Outcome<HeldGenerationPtr> loaded = co_await loadGeneration(*source, head, held, deadline);
    if (!isOk(loaded)) {
        count(sourceName, errorOf(loaded).reason);
        logWarning("config_pull_failed",
                   {{"source", sourceName},
                    {"generation", head.generation},
                    {"reason", errorOf(loaded).reason},
                    {"detail", errorOf(loaded).detail}});
        co_return false;
    }
    take(std::move(valueOf(loaded)), sourceName);
    co_return true;
}

Task<bool> ConfigDistributor::readStoreHead(std::uint64_t)
{
    auto source = std::make_unique<StoreSource>(m_store);
    const TimePoint asked = Clock::now();
    const Outcome<SourceHead> head = co_await source->head(asked + m_options.storeTimeout);
    if (!isOk(head)) {
        count(storeName, errorOf(head).reason);
        co_return false;
    }
    const bool isHeld = co_await pull(std::move(source), valueOf(head), storeName);
    if (isHeld)
        noteFresh(asked);
    co_return isHeld;
}

Task<bool> ConfigDistributor::readStoreIndexes(std::uint64_t revision)
{
    const TimePoint deadline = Clock::now() + m_options.loadTimeout;
    const auto listed = co_await m_store.list(indexPrefix, deadline);
    if (!isOk(listed))
        co_return false;
    std::map<std::string, std::pair<ObjectVersion, IndexVersion>> current;
    for (const ObjectInfo &info : valueOf(listed)) {
        const auto known = m_storedIndexes.find(info.key);
        if (known != m_storedIndexes.end() && known->second.first == info.version) {
            current.insert(*known);
            continue;
        }
        const Outcome<StoredObject> stored = co_await m_store.get(info.key, deadline);
        if (!isOk(stored) && errorOf(stored).code == ErrorCode::NotFound)
            continue;
        if (!isOk(stored))
            co_return false;
        const Outcome<IndexVersion> version = decodeIndexVersion(valueOf(stored).value);
        if (!isOk(version)) {
            count(storeName, errorOf(version).reason);
            logWarning("index_version_unreadable", {{"key", info.key}});
            continue;
        }
        current[info.key] = {valueOf(stored).version, valueOf(version)};
    }
    m_storedIndexes = std::move(current);
    HeldIndexes loaded;
    loaded.revision = revision;
    for (const auto &[key, entry] : m_storedIndexes)
        loaded.versions.push_back(entry.second);
    loaded.digest = indexDigest(loaded.versions);
    takeIndexes(std::move(loaded), storeName);
    co_return true;
}

Task<void> ConfigDistributor::readStoreWhole()
{
    co_await readStoreHead(0);
    const auto seen = co_await m_store.watch(indexPrefix, 0, Clock::now() + m_options.tick);
    if (isOk(seen))
        co_await readStoreIndexes(valueOf(seen).revision);
}

Task<void> ConfigDistributor::watchLoop(Watched watched)
{
    std::uint64_t revision = 0;
    bool isCurrent = false;
    while (true) {
        if (!isWatching()) {
            isCurrent = false;
            co_await sleepFor(m_options.tick);
            continue;
        }
        const TimePoint asked = Clock::now();
        const TimePoint deadline = asked + (isCurrent ? watched.timeout : m_options.tick);
        const auto seen = co_await m_store.watch(watched.prefix, revision, deadline);
        if (isOk(seen)) {
            revision = valueOf(seen).revision;
            if (!valueOf(seen).changes.empty() || !isCurrent)
                isCurrent = co_await (this->*watched.read)(revision);
            else if (watched.isHead)
                noteFresh(asked);
        }
        if (!isOk(seen) || !isCurrent)
            co_await sleepFor(watchRetryDelay);
    }
}

Task<void> ConfigDistributor::pullIndexes(Endpoint remote, SourceHead head)
{
    const HeldIndexesPtr held = indexes();
    if (head.indexRevision <= held->revision)
        co_return;
    if (head.indexDigest == held->digest) {
        HeldIndexes same = *held;
        same.revision = head.indexRevision;
        takeIndexes(std::move(same), peerName);
        co_return;
    }
    PeerSource source(m_client, std::move(remote));
    Outcome<HeldIndexes> loaded = co_await source.indexes(Clock::now() + m_options.peerTimeout);
    if (isOk(loaded))
        takeIndexes(std::move(valueOf(loaded)), peerName);
    else
        count(peerName, errorOf(loaded).reason);
}

Task<void> ConfigDistributor::askOne(Member peer)
{
    auto source = std::make_unique<PeerSource>(m_client, peer.peerAddress);
    const TimePoint asked = Clock::now();
    const Outcome<SourceHead> head = co_await source->head(asked + m_options.peerTimeout);
    if (!isOk(head)) {
        count(peerName, errorOf(head).reason);
        co_return;
    }
    const SourceHead told = valueOf(head);
    const bool isHeld = co_await pull(std::move(source), told, peerName);
    if (isHeld && told.storeAge)
        noteFresh(asked - *told.storeAge);
    co_await pullIndexes(peer.peerAddress, told);
}

Task<void> ConfigDistributor::askQuorum(MemberList peers)
{
    const TimePoint deadline = Clock::now() + m_options.peerTimeout;
    const Gather<QuorumAnswers> answers(static_cast<int>(peers.size()));
    for (const Member &peer : peers)
        spawn(m_executor, askHead(m_client, peer, deadline, answers));
    const QuorumAnswers told = co_await answers.take(deadline);
    if (!PullPolicy::isQuorum(told.heads.size(), peers.size())) {
        count(peerName, "no_quorum");
        co_return;
    }
    const auto highest
        = std::max_element(told.heads.begin(), told.heads.end(), [](const auto &a, const auto &b) {
              return a.second.generation < b.second.generation;
          });
    if (highest->second.generation == 0)
        co_return;
    auto source = std::make_unique<PeerSource>(m_client, highest->first.peerAddress);
    co_await pull(std::move(source), highest->second, peerName);
    const auto newest
        = std::max_element(told.heads.begin(), told.heads.end(), [](const auto &a, const auto &b) {
              return a.second.indexRevision < b.second.indexRevision;
          });
    co_await pullIndexes(newest->first.peerAddress, newest->second);
}

Task<void> ConfigDistributor::pullLoop()
{
    while (true) {
        const std::shared_ptr<const MemberList> members = m_membership.members();
        const std::uint64_t held = m_holder.current()->generation();
        const PullStep step = m_policy.next(held, *members, Clock::now(), m_random);
        if (step.action == PullAction::AskOne)
            co_await askOne(step.peers.front());
        else if (step.action == PullAction::AskQuorum)
            co_await askQuorum(step.peers);
        else if (step.action == PullAction::ReadStore)
            co_await readStoreWhole();
        co_await sleepFor(m_options.tick);
    }
}

} // namespace gwt
