#pragma once

#include <algorithm>
#include <cstdint>

namespace gwt {

/// \brief Revisions of the platform's store, with its era.
///
/// When the store returns from an older copy, its era rises, and revisions go back and are assigned
/// again. States are therefore ordered by (era, revision). One number carries both, the era in its
/// upper 16 bits and the store's own revision in the lower 48, so that code which only compares
/// revisions needs no knowledge of eras. In era 0 it equals the store's own revision.
constexpr unsigned storeRevisionBits = 48;
constexpr std::uint64_t maxStoreEra = 0xFFFF;

/// \brief Combines an era and the store's own revision. An era above the highest counts as that.
constexpr std::uint64_t combineStoreRevision(std::uint64_t era, std::uint64_t ownRevision)
{
    return (std::min(era, maxStoreEra) << storeRevisionBits) + ownRevision;
}

/// \brief The era of a combined \a revision.
constexpr std::uint64_t storeEraOf(std::uint64_t revision)
{
    return revision >> storeRevisionBits;
}

/// \brief The store's own revision in a combined \a revision.
constexpr std::uint64_t ownStoreRevisionOf(std::uint64_t revision)
{
    return revision & ((std::uint64_t{1} << storeRevisionBits) - 1);
}

} // namespace gwt
