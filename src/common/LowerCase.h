#pragma once

#include <cctype>
#include <string>
#include <string_view>

namespace gwt {

/// \brief Returns \a text with its ASCII letters in lower case.
inline std::string lowerCase(std::string_view text)
{
    std::string result(text);
    for (char &c : result)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return result;
}

} // namespace gwt
