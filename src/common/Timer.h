#pragma once

#include "common/Time.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace gwt {

/// \brief A timer that expires at a time point of Clock.
///
/// System timers don't advance while the host is suspended, so a timer fires late after a
/// suspension, by at most the time that remained when the suspension began.
using Timer = boost::asio::basic_waitable_timer<Clock>;

} // namespace gwt
