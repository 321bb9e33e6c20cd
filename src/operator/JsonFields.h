#pragma once

#include <boost/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace gwt {

/// \brief Reads a field of a daemon's status. A field that is absent or of another type reads as
/// empty, zero or false.
std::string textOf(const boost::json::object &object, const char *key);
std::uint64_t numberOf(const boost::json::object &object, const char *key);
bool flagOf(const boost::json::object &object, const char *key);
/// \brief Returns the objects in the array \a key, without its other items.
std::vector<boost::json::object> objectsOf(const boost::json::object &object, const char *key);

} // namespace gwt
