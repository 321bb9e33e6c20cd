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

/// \brief True if HTTP defines a class for \a status, whether or not the code has a name.
constexpr bool isValidStatus(unsigned status)
{
    const StatusClass statusClass = statusClassOf(status);
    return statusClass >= StatusClass::Informational && statusClass <= StatusClass::ServerError;
}

} // namespace gwt
