#pragma once

#include "common/Metrics.h"
#include "distribution/GenerationLoader.h"
#include "distribution/PeerSource.h"
#include "distribution/PullPolicy.h"
#include "distribution/StoreSource.h"
#include "peer/PeerServer.h"
#include "platform/ObjectStore.h"

#include <functional>
#include <mutex>
#include <optional>

namespace gwt {

/// \brief Keeps a ConfigHolder up to date and serves its configuration to peers.
///
/// In each availability zone, a few watchers watch the object store. The other daemons learn of a
/// higher generation by gossip or by polling a peer at intervals, and pull what they lack from that
/// peer. A generation is applied only if it is higher and was completely verified.
class ConfigDistributor
{
public:
    /// \brief Registers the handlers for peer requests at \a server, which must not listen yet.
    ConfigDistributor(Executor executor, ObjectStore &store, ConfigHolder &holder,
                      const MembershipView &membership, PeerClient &client, PeerServer &server,
                      Metrics &metrics, DistributionOptions options);

    /// \brief Starts the watch and pull loops; \a onChange runs after each applied generation.
    void start(std::function<void()> onChange);

private:
    /// \brief Key prefix that is watched in the store, and how its objects are read.
    struct WatchTarget
    {
        std::string prefix;
        Milliseconds timeout;
        bool isHead; ///< a watch without changes proves that the current generation is the newest
        Task<bool> (ConfigDistributor::*read)(std::uint64_t revision);
    };

    void registerRoutes(PeerServer &server);
    std::optional<Milliseconds> storeAge() const;
    PeerReply answerHead() const;
    PeerReply answerChunk(const std::string &key) const;
    PeerReply answerIndexes() const;

    Task<void> watchLoop(WatchTarget target);
    Task<void> pullLoop();

    Task<void> pollPeer(Member peer);
    Task<void> pollQuorum(MemberList peers);
    Task<bool> readStoreHead(std::uint64_t revision);
    Task<void> readStore();
    Task<bool> readStoreIndexes(std::uint64_t revision);
    Task<bool> pull(std::unique_ptr<ConfigSource> source, SourceHead head, std::string sourceName);
    Task<void> pullIndexes(Endpoint remote, SourceHead head);

    /// \brief Records that the current configuration was the newest in the store at \a freshAt.
    void recordFreshness(TimePoint freshAt);
    bool isWatching() const;
    bool applyGeneration(VerifiedGenerationPtr loaded, const std::string &source);
    void applyIndexes(IndexSnapshot indexes, const std::string &source);
    void countPull(const std::string &source, const std::string &reason);
    VerifiedGenerationPtr generation() const;
    IndexSnapshotPtr indexes() const;

    Executor m_executor;
    ObjectStore &m_store;
    ConfigHolder &m_holder;
    const MembershipView &m_membership;
    PeerClient &m_client;
    Metrics &m_metrics;
    DistributionOptions m_options;
    PullPolicy m_policy;
    RandomEngine m_random;
    std::function<void()> m_onChange;
    std::map<std::string, std::pair<ObjectVersion, IndexVersion>> m_storedIndexes;
    mutable std::mutex m_mutex; ///< guards the members below
    VerifiedGenerationPtr m_generation;
    IndexSnapshotPtr m_indexes;
    std::optional<TimePoint> m_freshAt; ///< copy of PullPolicy::freshAt()
};

} // namespace gwt
