#include "control/BookingKeys.h"

#include "control/ConfigCodec.h"

#include <xxhash.h>

namespace gwt {

int bookingRangeOf(const std::string &key)
{
    return static_cast<int>(XXH3_64bits(key.data(), key.size()) % bookingRangeCount);
}

std::string journalKey(int range)
{
    return "bookings/" + std::to_string(range);
}

std::string bookingDigest(const std::string &index, const std::string &service,
                          const std::string &payload)
{
    const std::string separator(1, '\0');
    return contentHash(index + separator + service + separator + payload);
}

} // namespace gwt
