#pragma once

#include <optional>
#include <string_view>

namespace gwt {

/// \brief What a backend server states about its load. It may be wrong.
struct LoadReport
{
    int running = 0; ///< requests, of all senders
    int waiting = 0; ///< requests, of all senders
    int slots = 1;
    double pace = 100; ///< of the machine; 100: as usual, 50: half as fast
};

/// \brief Parses "running,waiting,slots,pace", whole numbers from 0 to 1000000; nullopt if \a text
/// is anything else, or slots or pace are 0.
std::optional<LoadReport> parseLoadReport(std::string_view text);

} // namespace gwt
