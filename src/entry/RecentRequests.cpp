#include "entry/RecentRequests.h"

#include <boost/json.hpp>

#include <algorithm>

namespace gwt {

namespace json = boost::json;

RecentRequests::RecentRequests(std::size_t capacity)
    : m_capacity(capacity)
{ }

void RecentRequests::add(RequestTrace trace)
{
    trace.result.hits.clear();
    const bool isRefusedOrPartial = !trace.refusalReason.empty() || !trace.result.missing.empty();
    const std::lock_guard lock(m_mutex);
    push(isRefusedOrPartial ? m_refusedOrPartial : m_complete, std::move(trace));
}

void RecentRequests::push(Traces &traces, RequestTrace trace) const
{
    traces.push_back(std::move(trace));
    if (traces.size() > m_capacity)
        traces.pop_front();
}

std::optional<RequestTrace> RecentRequests::find(const std::string &requestId) const
{
    const std::lock_guard lock(m_mutex);
    for (const Traces *traces : {&m_refusedOrPartial, &m_complete}) {
        const auto found
            = std::find_if(traces->begin(), traces->end(),
                           [&](const RequestTrace &trace) { return trace.requestId == requestId; });
        if (found != traces->end())
            return *found;
    }
    return std::nullopt;
}

std::string toJson(const RequestTrace &trace)
{
    const SearchResult &result = trace.result;
    json::array calls;
    for (const auto &[slice, call] : result.calls) {
        calls.push_back(json::object{{"slice", slice},
                                     {"relay", call.relay},
                                     {"calls", call.calls},
                                     {"outcome", call.outcome}});
    }
    json::array missing;
    for (const auto &[service, reason] : result.missing)
        missing.push_back(json::object{{"service", service}, {"reason", reason}});
    const double milliseconds = std::chrono::duration<double, std::milli>(trace.elapsed).count();
    const json::object object{{"request_id", trace.requestId},
                              {"index", trace.index},
                              {"rank", trace.rank},
                              {"refused", trace.refusalReason},
                              {"snapshot", result.version},
                              {"shards", result.answered.size() + result.missing.size()},
                              {"answered", result.answered.size()},
                              {"missing", std::move(missing)},
                              {"extra_legs", result.extraAttempts},
                              {"total_ms", milliseconds},
                              {"slices", std::move(calls)}};
    return json::serialize(object);
}

} // namespace gwt
