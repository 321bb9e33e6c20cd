#pragma once

#include <string>

#include <unistd.h>

namespace gwt::test {

/// \brief A loopback address that only this process uses. A port that was free a moment ago may go
/// to another socket before it is bound, if the address is shared.
/// \param number Tells apart the addresses of one process, 0 to 244.
inline std::string ownLoopbackAddress(int number)
{
    const int process = static_cast<int>(::getpid());
    return "127." + std::to_string(100 + process / 250 % 100) + "." + std::to_string(process % 250)
        + "." + std::to_string(10 + number);
}

} // namespace gwt::test
