#pragma once

#include "control/ConfigParser.h"

#include <vector>

namespace gwt {

/// \brief Validates references, sums and duplicates of a whole set. Returns no faults if it is
/// valid.
///
/// \a origins holds where objects were defined; faults of objects without an origin name no file.
std::vector<ConfigFault> checkConfig(const ConfigSet &set, const ConfigOrigins &origins);

/// \brief Returns true if \a next is valid, given that \a base is valid and that the two differ
/// only in the objects \a changed.
///
/// Checks only these objects and those that refer to them. May return false for a valid set: only
/// checkConfig() is conclusive then.
bool isValidChange(const Config &base, const Config &next, const ChangedNames &changed);

/// \brief Returns the candidate nearest to \a name by edit distance, or empty if none is near.
std::string nearestName(const std::string &name, const std::vector<std::string> &candidates);

} // namespace gwt
