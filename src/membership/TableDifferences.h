#pragma once

#include "common/Random.h"
#include "membership/MemberTable.h"

#include <cstdint>
#include <vector>

namespace gwt {

/// \brief Buckets in which \a digests differ from those of \a table; all if their numbers differ.
std::vector<std::size_t> differingBuckets(const MemberTable &table,
                                          const std::vector<std::uint64_t> &digests);

/// \brief The members of \a buckets in at most \a maxGroups groups, each of at most \a maxBytes
/// when encoded. If not all fit, it is random which are left out.
std::vector<MemberList> membersInGroups(const MemberTable &table, std::vector<std::size_t> buckets,
                                        std::size_t maxBytes, std::size_t maxGroups,
                                        RandomEngine &random);

} // namespace gwt
