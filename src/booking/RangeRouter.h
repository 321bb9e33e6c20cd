#pragma once

#include "booking/BookingReplies.h"
#include "booking/RangeTable.h"
#include "peer/PeerClient.h"
#include "peer/PeerCodec.h"

#include <functional>
#include <string>

namespace gwt {

/// \brief Number of forwards after which a request fails.
inline constexpr std::uint32_t maxForwards = 3;
/// \brief Time reserved to return a forwarded reply to the caller.
inline constexpr Milliseconds forwardMargin{50};

/// \brief Routes a request to the holder of its key's range: this process or another.
class RangeRouter
{
public:
    RangeRouter(RangeTable &ranges, PeerClient &peers, Metrics &metrics);

    /// \brief Serves one kind of request on the strand of a held range.
    template <typename Request>
    using Handler = std::function<Task<wire::BookReply>(RangePtr, Request, TimePoint)>;

    /// \brief Serves \a request by \a handle, or forwards it to \a path of the range's holder.
    ///
    /// \a failureState is the state of the reply if no holder could be reached.
    template <typename Request>
    Task<wire::BookReply> route(std::string path, Request request, TimePoint deadline,
                                wire::RunState failureState, Handler<Request> handle)
    {
        const int number = bookingRangeOf(request.key());
        const RangePtr range = m_ranges.range(number);
        const std::optional<Member> owner = m_ranges.preferredHolder(number);
        const bool isOwnedElsewhere = owner && owner->id != m_ranges.self().id;
        if (isOwnedElsewhere && !range->isHeld() && request.forwards() == 0) {
            request.set_forwards(1);
            const wire::BookReply reply
                = co_await forward(owner->peerAddress, path, request, deadline);
            if (!isRangeLost(reply))
                co_return reply;
        }
        auto serving
            = serveLocally(range, path, std::move(request), deadline, failureState, handle);
        co_return co_await asio::co_spawn(range->strand(), std::move(serving), asio::use_awaitable);
    }

private:
    template <typename Request>
    Task<wire::BookReply> serveLocally(RangePtr range, std::string path, Request request,
                                       TimePoint deadline, wire::RunState failureState,
                                       Handler<Request> handle)
    {
        while (Clock::now() < deadline) {
            const Outcome<Done> held = co_await range->acquire(deadline);
            if (isOk(held)) {
                const wire::BookReply reply = co_await handle(range, request, deadline);
                if (!isRangeLost(reply))
                    co_return reply;
                continue;
            }
            const bool isHeldByOther = errorOf(held).reason == "held_by_other";
            const Outcome<Endpoint> holder = parseEndpoint(errorOf(held).detail);
            if (!isHeldByOther || !isOk(holder) || request.forwards() >= maxForwards)
                co_return failureReply(errorOf(held).reason, failureState);
            request.set_forwards(request.forwards() + 1);
            const wire::BookReply reply
                = co_await forward(valueOf(holder), path, request, deadline);
            if (!isRangeLost(reply))
                co_return reply;
            range->clearCachedHolder();
            co_return failureReply("holder_unreachable", failureState);
        }
        co_return failureReply("deadline", failureState);
    }

    /// \brief The holder's reply; rangeLostReply() if the request provably did not run there.
    template <typename Request>
    Task<wire::BookReply> forward(Endpoint holder, std::string path, Request request,
                                  TimePoint deadline)
    {
        countForward();
        const Outcome<wire::BookReply> reply = co_await callPeer<wire::BookReply>(
            m_peers, std::move(holder), std::move(path), std::move(request), "",
            deadline - forwardMargin, {});
        if (isOk(reply))
            co_return valueOf(reply);
        if (provesNotRun(errorOf(reply).code))
            co_return rangeLostReply();
        co_return unknownReply("holder_lost");
    }

    wire::BookReply failureReply(const std::string &reason, wire::RunState failureState) const;
    void countForward();

    RangeTable &m_ranges;
    PeerClient &m_peers;
    Metrics &m_metrics;
};

} // namespace gwt
