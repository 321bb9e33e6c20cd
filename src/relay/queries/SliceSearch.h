#pragma once

#include "common/Gather.h"
#include "common/Metrics.h"
#include "peer/PeerMessage.h"
#include "relay/queries/ShardSearchRunner.h"

#include <peer.pb.h>

namespace gwt {

/// \brief Searches the services of one slice and merges their hits.
class SliceSearch
{
public:
    SliceSearch(Executor executor, const ConfigHolder &config, ServiceTable &services,
                BackendClient &backends, Metrics &metrics, double extraLoadShare);

    /// \brief Runs \a request until \a deadline; the reply always lists each service as answered or
    /// missing. If this relay owns none of them, \c refused is "not_owner" and nothing was run.
    Task<wire::SliceSearchReply> run(wire::SliceSearchRequest request, TimePoint deadline,
                                     CancelToken cancel);

private:
    struct MergedReplies
    {
        std::vector<wire::Hit> hits;
        std::vector<std::string> answered;
        std::map<std::string, std::string> missing; ///< reason by service
    };

    using ExtraAttemptCounter = std::shared_ptr<std::atomic<std::uint32_t>>;

    Task<void> runService(wire::SliceSearchRequest request, std::string service, TimePoint deadline,
                          CancelToken cancel, Gather<MergedReplies> gather,
                          ExtraAttemptCounter extraAttempts);
    bool ownsNoneOf(const wire::SliceSearchRequest &request);
    wire::SliceSearchReply makeReply(const wire::SliceSearchRequest &request, MergedReplies merged);
    wire::ServiceState stateOf(const std::string &service);

    Executor m_executor;
    ServiceTable &m_services;
    SearchMetrics m_metrics;
    ShardSearchRunner m_runner;
};

/// \brief Keeps the best \a limit of \a hits, by score and then by id, best first.
void retainTopHits(std::vector<wire::Hit> &hits, std::size_t limit);

} // namespace gwt
