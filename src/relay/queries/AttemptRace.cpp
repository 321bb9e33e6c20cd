#include "relay/queries/AttemptRace.h"

namespace gwt {

bool AttemptRace::win(SearchLegReply reply)
{
    const bool isFirst = m_result.set(std::move(reply));
    m_extra.set(ExtraCause::None);
    return isFirst;
}

void AttemptRace::fail(const Error &error, ExtraCause cause)
{
    {
        const std::lock_guard lock(m_mutex);
        m_error = error;
    }
    m_extra.set(cause);
    endOne();
}

void AttemptRace::declineExtra()
{
    endOne();
}

void AttemptRace::endOne()
{
    Error error;
    {
        const std::lock_guard lock(m_mutex);
        if (--m_pending > 0)
            return;
        error = m_error;
    }
    m_result.set(error);
}

Task<ExtraCause> AttemptRace::waitForExtra(TimePoint hedgeTime)
{
    co_return co_await m_extra.waitUntil(hedgeTime, ExtraCause::Slow);
}

Task<Outcome<SearchLegReply>> AttemptRace::wait(TimePoint deadline)
{
    const Error late{ErrorCode::Timeout, "deadline", ""};
    co_return co_await m_result.waitUntil(deadline, late);
}

} // namespace gwt
