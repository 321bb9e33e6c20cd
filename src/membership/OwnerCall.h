#pragma once

#include "common/Sleep.h"
#include "membership/Member.h"
#include "peer/PeerCodec.h"

#include <functional>
#include <vector>

namespace gwt {

/// \brief Reply of an owner and the address of that owner.
template <typename Reply>
struct OwnerAnswer
{
    Outcome<Reply> reply = Error(ErrorCode::NotRun, "no_owner");
    Endpoint owner;
    int calls = 0; ///< made to all owners so far

    OwnerAnswer() = default;
};

/// \brief Backoff after all owners have refused once; it doubles up to \c maxOwnerBackoff.
inline constexpr Milliseconds initialOwnerBackoff{10};
inline constexpr Milliseconds maxOwnerBackoff{160};

/// \brief Calls the owners of a key one after another until one accepts the request.
///
/// When an owner leaves or dies, the views of the membership differ for a moment, and daemons may
/// disagree on the owner. The next owner is called only if the previous one proved that it executed
/// nothing: by its error, or by a reply for which \a isRefused holds. \a owners is evaluated again
/// for each round. Once the deadline leaves no time for a backoff, the last refusal is returned.
template <typename Reply, typename Request>
Task<OwnerAnswer<Reply>> callOwner(PeerClient &peers, std::function<std::vector<Member>()> owners,
                                   std::string path, Request request, std::string requestId,
                                   TimePoint deadline, CancelToken cancel,
                                   bool (*isRefused)(const Reply &))
{
    OwnerAnswer<Reply> answer;
    Milliseconds backoff = initialOwnerBackoff;
    while (true) {
        const std::vector<Member> candidates = owners();
        for (const Member &candidate : candidates) {
            answer.owner = candidate.peerAddress;
            ++answer.calls;
            answer.reply = co_await callPeer<Reply>(peers, candidate.peerAddress, path, request,
                                                    requestId, deadline, cancel);
            const bool isNotExecuted = isOk(answer.reply)
                ? isRefused(valueOf(answer.reply))
                : provesNotRun(errorOf(answer.reply).code);
            if (!isNotExecuted || cancel.isCancelled())
                co_return answer;
        }
        if (Clock::now() + backoff >= deadline || cancel.isCancelled())
            co_return answer;
        co_await sleepFor(backoff);
        backoff = std::min(backoff * 2, maxOwnerBackoff);
    }
}

} // namespace gwt
