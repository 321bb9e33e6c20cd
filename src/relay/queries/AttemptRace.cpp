#include "relay/queries/AttemptRace.h"

namespace gwt {

bool AttemptRace::succeed(BackendSearchReply reply)
{
    const bool hasWon = m_result.set(std::move(reply));
    m_extraAttempt.set(ExtraAttempt::None);
    return hasWon;
}

void AttemptRace::fail(const Error &error, ExtraAttempt due)
{
    {
        const std::lock_guard lock(m_mutex);
        m_error = error;
    }
    m_extraAttempt.set(due);
    endAttempt();
}

void AttemptRace::declineExtraAttempt()
{
    endAttempt();
}

void AttemptRace::endAttempt()
{
    Error error;
    {
        const std::lock_guard lock(m_mutex);
        if (--m_pendingAttempts > 0)
            return;
        error = m_error;
    }
    m_result.set(error);
}

Task<ExtraAttempt> AttemptRace::waitForExtraAttempt(TimePoint hedgeTime)
{
    co_return co_await m_extraAttempt.waitUntil(hedgeTime, ExtraAttempt::Hedge);
}

Task<Outcome<BackendSearchReply>> AttemptRace::waitForReply(TimePoint deadline)
{
    const Error timeout{ErrorCode::Timeout, "deadline", ""};
    co_return co_await m_result.waitUntil(deadline, timeout);
}

} // namespace gwt
