#pragma once

#include "common/internal/TomlScan.h"

#include <toml++/toml.h>

#include <string>
#include <variant>

namespace gwt {

/// \brief A TOML syntax error.
struct TomlSyntaxError
{
    int line = 0;
    std::string problem;
};

/// \brief Parses \a text; source positions of nodes name \a name as the file.
inline std::variant<toml::table, TomlSyntaxError> parseToml(const std::string &text,
                                                            const std::string &name)
{
    if (const auto line = internal::lineOfUnquotedNonAscii(text))
        return TomlSyntaxError{
            *line, "non-ASCII characters are allowed only in quoted strings and comments"};
    try {
        return toml::parse(text, name);
    } catch (const toml::parse_error &fault) {
        return TomlSyntaxError{static_cast<int>(fault.source().begin.line),
                               std::string(fault.description())};
    }
}

} // namespace gwt
