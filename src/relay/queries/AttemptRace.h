#pragma once

#include "common/CancelToken.h"
#include "common/OneShot.h"
#include "relay/BackendClient.h"

#include <mutex>

namespace gwt {

/// \brief Why a search may need an extra attempt.
enum class ExtraCause {
    None, ///< it was answered, or failed in a way that no other replica would change
    Slow, ///< hedge: the first attempt has held its slot for longer than the hedge delay
    Failed ///< retry: the first attempt failed, and another replica may answer
};

/// \brief Race between the attempts of one search: the first complete reply wins. Thread-safe.
///
/// There are at most two attempts: the first, and a hedge or a retry. The search fails once the
/// first has failed and the second has failed or has been declined.
class AttemptRace
{
public:
    /// \brief Ends an attempt with a complete reply; true if this reply wins.
    bool win(SearchLegReply reply);
    /// \brief Ends an attempt with \a error, which replaces that of an earlier one.
    void fail(const Error &error, ExtraCause cause);
    /// \brief Records that the second attempt will not be made.
    void declineExtra();

    /// \brief Waits until an extra attempt is due: at \a hedgeTime, or sooner after a failure.
    Task<ExtraCause> waitForExtra(TimePoint hedgeTime);
    /// \brief Waits for the winning reply. Errors: that of the last attempt; Timeout "deadline".
    Task<Outcome<SearchLegReply>> wait(TimePoint deadline);

    bool isOver() const { return m_result.isSet(); }
    const CancelToken &cancelToken() const { return m_cancel; }

private:
    void endOne();

    OneShot<Outcome<SearchLegReply>> m_result;
    OneShot<ExtraCause> m_extra;
    CancelToken m_cancel;
    std::mutex m_mutex;
    int m_pending = 2;
    Error m_error{ErrorCode::Internal, "no_attempt", ""};
};

} // namespace gwt
