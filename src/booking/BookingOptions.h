#pragma once

#include "common/Settings.h"
#include "common/Time.h"

namespace gwt {

/// \brief Settings of the booking role.
struct BookingOptions
{
    Milliseconds retention{86'400'000}; ///< how long a record with an outcome is kept
    Milliseconds hold{2000}; ///< how long a relay keeps a reserved slot for a booking
    Milliseconds commitTimeout{1000}; ///< longest wait for a journal write

    static BookingOptions read(Settings &settings);
};

} // namespace gwt
