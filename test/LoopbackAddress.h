#pragma once

#include <string>

#include <unistd.h>

namespace gwt::test {

/// \brief Returns a loopback address that only this process uses. On a shared address, another
/// socket could bind a port between the check that it is free and its use.
/// \param number Distinguishes the addresses of one process, 0 to 244.
inline std::string ownLoopbackAddress(int number)
{
    const int process = static_cast<int>(::getpid());
    return "127." + std::to_string(100 + process / 250 % 100) + "." + std::to_string(process % 250)
        + "." + std::to_string(10 + number);
}

} // namespace gwt::test
