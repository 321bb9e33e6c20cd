#include "membership/TableDifferences.h"

#include "membership/GossipCodec.h"

#include <algorithm>

namespace gwt {

std::vector<std::size_t> differingBuckets(const MemberTable &table,
                                          const std::vector<std::uint64_t> &digests)
{
    const MemberTable::Digests ownDigests = table.digests();
    std::vector<std::size_t> buckets;
    for (std::size_t i = 0; i < ownDigests.size(); ++i) {
        if (digests.size() != ownDigests.size() || digests[i] != ownDigests[i])
            buckets.push_back(i);
    }
    return buckets;
}

std::vector<MemberList> membersInGroups(const MemberTable &table, std::vector<std::size_t> buckets,
                                        std::size_t maxBytes, std::size_t maxGroups,
                                        RandomEngine &random)
{
    std::shuffle(buckets.begin(), buckets.end(), random);
    std::vector<MemberList> groups;
    std::size_t size = maxBytes;
    for (const std::size_t bucket : buckets) {
        for (const Member *member : table.bucket(bucket)) {
            const std::size_t bytes = maxEncodedSize(*member);
            if (groups.empty() || size + bytes > maxBytes) {
                if (groups.size() == maxGroups)
                    return groups;
                groups.emplace_back();
                size = 0;
            }
            size += bytes;
            groups.back().push_back(*member);
        }
    }
    return groups;
}

} // namespace gwt
