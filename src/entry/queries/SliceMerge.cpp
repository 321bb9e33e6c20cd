#include "entry/queries/SliceMerge.h"

#include <algorithm>

namespace gwt {

namespace {

/// \brief Why \a reply does not match \a request; empty if it does.
std::string mismatchOf(const wire::SliceSearchRequest &request, const wire::SliceSearchReply &reply)
{
    if (reply.request_id() != request.request_id() || reply.leg_id() != request.leg_id())
        return "foreign_reply";
    if (reply.version() != request.version())
        return "wrong_version";
    const std::set<std::string> requested(request.services().begin(), request.services().end());
    std::set<std::string> answered;
    for (const std::string &service : reply.answered()) {
        const bool isNew = answered.insert(service).second;
        if (!isNew || requested.count(service) == 0)
            return "foreign_service";
    }
    for (const wire::MissingShard &missing : reply.missing()) {
        if (requested.count(missing.service()) == 0)
            return "foreign_service";
    }
    for (const wire::Hit &hit : reply.hits()) {
        if (hit.version() != request.version())
            return "wrong_version";
        if (answered.count(hit.service()) == 0)
            return "foreign_service";
    }
    return {};
}

std::string missingReason(const Error &error)
{
    return error.code == ErrorCode::Timeout ? "late" : "relay_lost";
}

} // namespace

void mergeReply(const wire::SliceSearchRequest &request,
                const Outcome<wire::SliceSearchReply> &reply, SearchResult &result)
{
    const std::vector<std::string> services(request.services().begin(), request.services().end());
    if (!isOk(reply)) {
        markMissing(services, missingReason(errorOf(reply)), result);
        return;
    }
    const wire::SliceSearchReply &message = valueOf(reply);
    const std::string mismatch = mismatchOf(request, message);
    if (!mismatch.empty()) {
        ++result.rejected[mismatch];
        markMissing(services, "bad_reply", result);
        return;
    }
    result.hits.insert(result.hits.end(), message.hits().begin(), message.hits().end());
    result.answered.insert(message.answered().begin(), message.answered().end());
    for (const wire::MissingShard &missing : message.missing())
        markMissing({missing.service()}, missing.reason(), result);
    const bool isRefused = !message.refused().empty();
    markMissing(services, isRefused ? message.refused() : "relay_lost", result);
    result.extraAttempts += message.extra_legs();
}

void markMissing(const std::vector<std::string> &services, const std::string &reason,
                 SearchResult &result)
{
    for (const std::string &service : services) {
        if (result.answered.count(service) == 0)
            result.missing.emplace(service, reason);
    }
}

void retainTopHits(std::size_t limit, SearchResult &result)
{
    const auto isBetter = [](const wire::Hit &a, const wire::Hit &b) {
        return a.score() != b.score() ? a.score() > b.score() : a.id() < b.id();
    };
    std::sort(result.hits.begin(), result.hits.end(), isBetter);
    if (result.hits.size() > limit)
        result.hits.resize(limit);
}

} // namespace gwt
