#pragma once

namespace gwt {

/// \brief Class of a status code by its first digit.
///
/// The classes of Boost.Beast cover only the codes that it has names for.
enum class StatusClass {
    Informational = 1,
    Successful = 2,
    Redirection = 3,
    ClientError = 4,
    ServerError = 5
};

constexpr StatusClass statusClassOf(unsigned status)
{
    return static_cast<StatusClass>(status / 100);
}

} // namespace gwt
