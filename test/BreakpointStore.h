#pragma once

#include "ForwardingStore.h"
#include "TaskBreakpoint.h"

#include <journal.pb.h>

#include <set>

namespace gwt {

/// \brief A booking daemon's store that calls a TaskBreakpoint before and after journal updates.
class BreakpointStore : public ForwardingStore
{
public:
    BreakpointStore(ObjectStore &store, TaskBreakpoint &breakpoint)
        : ForwardingStore(store)
        , m_breakpoint(breakpoint)
    { }

    Task<Outcome<ObjectVersion>> put(std::string key, std::string value, ObjectVersion expected,
                                     TimePoint deadline) override
    {
        const std::optional<Points> points = pointsOf(key, value);
        if (points)
            co_await m_breakpoint.reach(points->before);
        const Outcome<ObjectVersion> written
            = co_await ForwardingStore::put(std::move(key), std::move(value), expected, deadline);
        if (points && isOk(written) && co_await m_breakpoint.reach(points->after))
            co_return Error{ErrorCode::Unknown, "reply_lost", ""};
        co_return written;
    }

private:
    struct Points
    {
        FaultPoint before;
        FaultPoint after;
    };

    /// \brief The points of a journal update, by what it changes in the journal.
    std::optional<Points> pointsOf(const std::string &key, const std::string &value)
    {
        wire::BookingJournal journal;
        if (!journal.ParseFromString(value))
            return std::nullopt;
        if (journal.holder().empty())
            return Points{FaultPoint::BeforeRelease, FaultPoint::AfterRelease};
        if (m_claimed.insert(key).second)
            return Points{FaultPoint::BeforeAcquire, FaultPoint::AfterAcquire};
        for (const wire::BookingRecord &record : journal.records()) {
            const bool isSent = record.state() == wire::BookingRecord::SENT;
            if (!m_writtenStates.insert(record.attempt() + (isSent ? " sent" : " settled")).second)
                continue;
            return isSent ? Points{FaultPoint::BeforeSent, FaultPoint::AfterSent}
                          : Points{FaultPoint::BeforeResult, FaultPoint::AfterResult};
        }
        return std::nullopt;
    }

    TaskBreakpoint &m_breakpoint;
    std::set<std::string> m_claimed; ///< journals that were claimed through this store
    std::set<std::string> m_writtenStates; ///< written attempts with their states
};

} // namespace gwt
