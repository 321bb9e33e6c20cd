#pragma once

#include "common/Metrics.h"
#include "common/TimerQueue.h"
#include "gateway/backends/BackendPicker.h"
#include "gateway/backends/CostRecorder.h"
#include "gateway/backends/HoldTracker.h"
#include "gateway/forwarding/HeaderNames.h"
#include "http/ByteBudget.h"

#include <boost/asio/io_context.hpp>

#include <set>
#include <string>

namespace gwt {

/// \brief State shared by all service pools of a process.
struct PoolContext
{
    boost::asio::io_context &ioContext;
    TimerQueue &timers;
    const HeaderNames &headerNames;
    Metrics &metrics;
    std::string availabilityZone; ///< of this process
    ByteBudget &replyBytes; ///< for the bodies of all replies that are being received
    HoldTracker &holds;
    const BackendPicker &picker;
    CostRecorder *costs = nullptr; ///< null: costs are not learned
    std::set<std::string> evacuatedZones = {}; ///< to whose servers nothing may be sent
};

} // namespace gwt
