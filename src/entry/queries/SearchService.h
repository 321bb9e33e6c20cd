#pragma once

#include "common/CancelToken.h"
#include "common/Gather.h"
#include "common/Metrics.h"
#include "control/ConfigHolder.h"
#include "entry/RecentRequests.h"
#include "entry/admission/AdmissionGate.h"
#include "entry/queries/SearchRequest.h"
#include "entry/queries/SliceMerge.h"
#include "entry/queries/SnapshotPlanner.h"
#include "http/HttpMessage.h"
#include "membership/Member.h"
#include "peer/PeerClient.h"

#include <peer.pb.h>

#include <atomic>
#include <string>

namespace gwt {

/// \brief Runs searches: selects an index version, passes admission control, fans out to the relays
/// and merges their replies.
class SearchService
{
public:
    SearchService(Executor executor, const ConfigHolder &config, const MembershipView &membership,
                  PeerClient &peers, AdmissionGate &gate, Metrics &metrics);

    /// \brief Answers POST /v1/search.
    Task<HttpResponse> answer(HttpRequest request);

    const RecentRequests &recentRequests() const { return m_recentRequests; }

private:
    /// \brief A parsed search whose index and rank exist.
    struct Query
    {
        std::string requestId;
        SearchRequest request;
        ConfigPtr config;
        Rank rank;
        TimePoint deadline; ///< for the replies of the relays
        CancelToken cancel; ///< set when the caller disconnects
    };
    using TicketPtr = std::shared_ptr<AdmissionTicket>;

    static RequestTrace makeTrace(const Query &query, TimePoint start);
    /// \brief Adds the refused search to the recent requests; returns the error response.
    HttpResponse recordRefusal(const Error &error, RequestTrace trace, Duration retryAfter);
    std::string relayIdAt(const Endpoint &address) const;
    Outcome<Query> parse(const HttpRequest &request, const std::string &requestId,
                         TimePoint start) const;
    AdmissionQuery toAdmissionQuery(const Query &query, const IndexVersion &version) const;
    /// \brief Fans out \a query, and once more on another version if a shard has lost \a version.
    Task<SearchResult> searchWithReplan(Query query, std::shared_ptr<const IndexVersion> version,
                                        TicketPtr ticket);
    /// \brief Calls a relay for each slice and merges the replies that come before the deadline.
    Task<SearchResult> scatter(Query query, SnapshotPlan plan, TicketPtr ticket);
    /// \brief Calls the owners of \a slice until one runs \a request; adds its reply to \a gather.
    Task<void> searchSlice(wire::SliceSearchRequest request, ConfigPtr config, std::string slice,
                           TimePoint deadline, CancelToken cancel, Gather<SearchResult> gather,
                           TicketPtr ticket);
    void recordReply(const wire::SliceSearchRequest &request,
                     const Outcome<wire::SliceSearchReply> &reply, AdmissionTicket &ticket);
    void countResult(const Query &query, const SearchResult &result, std::size_t shards,
                     Duration elapsed);

    Executor m_executor;
    const ConfigHolder &m_config;
    const MembershipView &m_membership;
    PeerClient &m_peers;
    AdmissionGate &m_gate;
    Metrics &m_metrics;
    VersionTable m_versionTable;
    RecentRequests m_recentRequests;
    std::atomic<std::uint64_t> m_nextSliceRequestId = 1;
};

} // namespace gwt
