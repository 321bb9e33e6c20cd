#pragma once

#include "control/ConfigSet.h"

#include <map>
#include <string>
#include <vector>

namespace gwt {

/// \brief A validation error in a set of objects, reported to the operator.
struct ConfigFault
{
    std::string file;
    int line = 0; ///< 0 if the fault isn't in a single line
    std::string object; ///< "kind name"
    std::string field;
    std::string problem;

    bool operator==(const ConfigFault &) const = default;
};

/// \brief Formats \a fault as "file:line: object: field: problem".
std::string toString(const ConfigFault &fault);

/// \brief File and line where each object is defined, by "kind name", and where its fields are, by
/// fieldOrigin().
using ConfigOrigins = std::map<std::string, std::pair<std::string, int>>;

/// \brief Returns the key of a field in ConfigOrigins; \a object is "kind name".
std::string fieldOrigin(const std::string &object, const std::string &field);

/// \brief The result of parsing a set of files; valid only if \c faults is empty.
struct ParsedConfig
{
    ConfigSet set;
    ConfigOrigins origins;
    std::vector<ConfigFault> faults;
};

/// \brief Parses all .toml files of a directory as one set and validates it. Faults are sorted by
/// file and line.
///
/// \sa checkConfig()
ParsedConfig parseConfigDirectory(const std::string &directory);

/// \brief Parses the \a text of one file into \a parsed; faults name it as \a file. Returns false
/// if it isn't valid TOML, in which case nothing is known of its objects.
bool parseConfigText(const std::string &text, const std::string &file, ParsedConfig &parsed);

} // namespace gwt
