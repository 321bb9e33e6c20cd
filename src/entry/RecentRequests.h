#pragma once

#include "common/Time.h"
#include "entry/queries/SliceMerge.h"

#include <deque>
#include <mutex>
#include <optional>
#include <string>

namespace gwt {

/// \brief Outcome of one search, for operators.
struct RequestTrace
{
    std::string requestId;
    std::string index;
    std::string rank;
    std::string refusalReason; ///< why the search was not run; empty if it was
    Duration elapsed{0}; ///< from request to response
    SearchResult result; ///< without its hits
};

/// \brief Traces of the most recent searches of this process. Thread-safe.
///
/// Complete searches and refused or partial ones are retained apart, so that many complete searches
/// do not evict the few that an operator asks about.
class RecentRequests
{
public:
    /// \brief Retains at most \a capacity searches of each of the two kinds.
    explicit RecentRequests(std::size_t capacity);

    void add(RequestTrace trace);
    std::optional<RequestTrace> find(const std::string &requestId) const;

private:
    using Traces = std::deque<RequestTrace>;

    void push(Traces &traces, RequestTrace trace) const;

    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    Traces m_complete;
    Traces m_refusedOrPartial;
};

/// \brief Returns \a trace as a JSON object.
std::string toJson(const RequestTrace &trace);

} // namespace gwt
