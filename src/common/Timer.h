#pragma once

#include "common/Time.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace gwt {

/// \brief A timer that is set to a time of Clock.
///
/// The system's timers leave suspensions out, so that one fires late after a suspension, by what
/// was left until it at most.
using Timer = boost::asio::basic_waitable_timer<Clock>;

} // namespace gwt
