#pragma once

namespace gwt {

/// \brief Position of a relay among a slice's owners, as computed from its view of the membership.
enum class OwnerRank { First, Second, None };

/// \brief Splits a backend server's limits between the first and second owner of its slice.
///
/// The two shares sum to the limit. The second owner gets a quarter of the slots, rounded down.
/// With 2 or 3 slots it gets none: one slot of two would permanently cost half of the capacity to
/// serve only the short time of a takeover.
struct OwnerShare
{
    static int slots(OwnerRank owner, int limit);
    /// \brief As slots(), but at least one, so that the second owner can connect before a takeover,
    /// unless an owner would then have fewer connections than its share of the server's \a slots.
    static int connections(OwnerRank owner, int limit, int slots);
};

} // namespace gwt
