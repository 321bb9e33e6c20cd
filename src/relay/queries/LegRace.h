#pragma once

#include "common/CancelToken.h"
#include "common/OneShot.h"
#include "relay/BackendClient.h"

#include <mutex>

namespace gwt {

/// \brief Why a leg may need an extra attempt.
enum class ExtraCause {
    None, ///< it was answered, or failed in a way that no other replica can mend
    Slow, ///< it has been in its slot for longer than the hedge delay
    Failed ///< another replica may answer
};

/// \brief The attempts of one leg: the first whole reply wins. Thread-safe.
///
/// At most two attempts: the first, and a hedge or a retry. The race is lost once both have failed
/// or the second has been declined.
class LegRace
{
public:
    /// \brief Ends an attempt with a whole reply; true if it is the one that counts.
    bool win(BackendSearchReply reply);
    /// \brief Ends an attempt with \a error; a later attempt's error replaces it.
    void fail(const Error &error, ExtraCause cause);
    /// \brief The second attempt will not be made.
    void declineExtra();

    /// \brief Waits until an extra attempt is due: at \a hedgeTime, or sooner after a failure.
    Task<ExtraCause> waitForExtra(TimePoint hedgeTime);
    /// \brief Waits for the reply that counts. Errors: of the last attempt; Timeout "deadline".
    Task<Outcome<BackendSearchReply>> wait(TimePoint deadline);

    bool isOver() const { return m_result.isSet(); }
    const CancelToken &cancelToken() const { return m_cancel; }

private:
    void endOne();

    OneShot<Outcome<BackendSearchReply>> m_result;
    OneShot<ExtraCause> m_extra;
    CancelToken m_cancel;
    std::mutex m_mutex;
    int m_pending = 2;
    Error m_error{ErrorCode::Internal, "no_attempt", ""};
};

} // namespace gwt
