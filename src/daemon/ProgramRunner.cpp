#include "daemon/ProgramRunner.h"

#include "common/Log.h"
#include "daemon/CommandLine.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <future>

namespace gwt {

int runUntilStopped(WorkerPool &pool, const std::vector<Outcome<Endpoint>> &listeners)
{
    for (const Outcome<Endpoint> &listener : listeners) {
        if (!isOk(listener)) {
            logError("start_failed",
                     {{"reason", errorOf(listener).reason}, {"detail", errorOf(listener).detail}});
            return exitFailure;
        }
    }
    asio::signal_set signals(pool.executor(), SIGTERM, SIGINT);
    std::promise<void> stopped;
    signals.async_wait([&](const boost::system::error_code &, int) { stopped.set_value(); });
    logInfo("started");
    stopped.get_future().wait();
    logInfo("stopped");
    pool.stop();
    return exitOk;
}

} // namespace gwt
