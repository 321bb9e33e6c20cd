#pragma once

#include <cstdint>
#include <string>

namespace gwt {

/// \brief Number of hash ranges of booking keys.
inline constexpr int bookingRangeCount = 256;

/// \brief Returns the hash range of \a key, 0 to bookingRangeCount - 1.
int bookingRangeOf(const std::string &key);

/// \brief Returns the object store key of a range's journal.
std::string journalKey(int range);

/// \brief Returns a digest of the content of a booking request; one idempotency key must not be
/// reused with a different digest.
std::string bookingDigest(const std::string &index, const std::string &service,
                          const std::string &payload);

} // namespace gwt
