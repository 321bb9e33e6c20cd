#pragma once

#include "common/Outcome.h"

#include <peer.pb.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace gwt {

/// \brief The calls that were made for one slice, and their outcome.
struct SliceCall
{
    std::string relay; ///< the last relay called; empty if there was none
    int calls = 0; ///< calls made, to all owners of the slice
    std::string outcome; ///< "answered", "no_reply_in_time" or the error
};

/// \brief The merged result of one query.
struct SearchResult
{
    std::uint64_t version = 0;
    std::vector<wire::Hit> hits;
    std::set<std::string> answered; ///< services whose hits are merged
    std::map<std::string, std::string> missing; ///< reason, by service
    std::uint32_t extraAttempts = 0; ///< hedges and retries that the relays sent
    std::map<std::string, int> rejected; ///< number of rejected replies, by reason
    std::map<std::string, SliceCall> calls; ///< by slice
};

/// \brief Merges the reply to \a request into \a result.
///
/// Each service of the request becomes either answered or missing. A reply with the request id, leg
/// id or version of another request, or with a hit of another version or of a service that it does
/// not list as answered, is rejected as a whole and counted in SearchResult::rejected.
void mergeReply(const wire::SliceSearchRequest &request,
                const Outcome<wire::SliceSearchReply> &reply, SearchResult &result);

/// \brief Marks \a services as missing for \a reason, except those already answered or missing.
void markMissing(const std::vector<std::string> &services, const std::string &reason,
                 SearchResult &result);

/// \brief Sorts the hits by descending score, then id, and truncates them to \a limit.
void retainTopHits(std::size_t limit, SearchResult &result);

} // namespace gwt
