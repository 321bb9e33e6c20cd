#pragma once

#include "common/Task.h"
#include "common/Time.h"

#include <boost/asio/steady_timer.hpp>

namespace gwt {

/// \brief Suspends the calling task for \a duration.
inline Task<void> sleepFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asTuple);
}

} // namespace gwt
