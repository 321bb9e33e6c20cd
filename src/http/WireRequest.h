#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace gwt {

/// \brief A request as it was received.
///
/// Its fields have no limit of their own, unlike those of Boost.Beast, which end at 64 KiB.
struct WireRequest
{
    struct Field
    {
        std::string name;
        std::string value;
    };

    std::string method;
    std::string target;
    std::vector<Field> fields; ///< of the header, in the order received
    std::string body;
    bool hasBody = false; ///< the header announces a body, which may be empty
    bool keepAlive = true; ///< the connection may be used again after the response

    /// \brief Returns the value of the first field called \a name, in any case; empty if there is
    /// none.
    std::string_view field(std::string_view name) const;
    /// \brief Returns the number of fields called \a name, in any case.
    std::size_t count(std::string_view name) const;
};

} // namespace gwt
