#pragma once

#include "common/CancelToken.h"
#include "common/OneShot.h"
#include "relay/BackendClient.h"

#include <mutex>

namespace gwt {

/// \brief The extra attempt that a search needs, if any.
enum class ExtraAttempt {
    None, ///< the first attempt was answered, or failed in a way no other replica would change
    Hedge, ///< the first attempt has held its slot for longer than the hedge delay
    Retry ///< the first attempt failed, and another replica may answer
};

/// \brief Race between the attempts of one search: the first complete reply wins. Thread-safe.
///
/// There are at most two attempts: the first, and a hedge or a retry. The search fails once the
/// first has failed and the second has failed or has been declined.
class AttemptRace
{
public:
    /// \brief Ends an attempt with a complete reply; true if this reply wins.
    bool succeed(BackendSearchReply reply);
    /// \brief Ends an attempt with \a error, which replaces that of an earlier one; \a due is the
    /// extra attempt that it calls for.
    void fail(const Error &error, ExtraAttempt due);
    /// \brief Records that the second attempt will not be made.
    void declineExtraAttempt();

    /// \brief Waits until an extra attempt is due: at \a hedgeTime, or sooner after a failure.
    Task<ExtraAttempt> waitForExtraAttempt(TimePoint hedgeTime);
    /// \brief Waits for the winning reply. Errors: that of the last attempt; Timeout "deadline".
    Task<Outcome<BackendSearchReply>> waitForReply(TimePoint deadline);

    bool isDecided() const { return m_result.isSet(); }
    const CancelToken &cancelToken() const { return m_cancel; }

private:
    void endAttempt();

    OneShot<Outcome<BackendSearchReply>> m_result;
    OneShot<ExtraAttempt> m_extraAttempt;
    CancelToken m_cancel;
    std::mutex m_mutex;
    int m_pendingAttempts = 2;
    Error m_error{ErrorCode::Internal, "no_attempt", ""};
};

} // namespace gwt
