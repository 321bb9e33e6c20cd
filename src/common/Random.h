#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace gwt {

using RandomEngine = std::mt19937_64;

/// \brief Returns an engine seeded with entropy from the operating system.
RandomEngine makeSeededEngine();

/// \brief Returns a new random 128-bit id in hexadecimal. Thread-safe.
std::string makeUniqueId();

} // namespace gwt
