#include "gateway/forwarding/RecordMerge.h"

#include <algorithm>
#include <functional>

namespace gwt {

FixedSizeMerge::FixedSizeMerge(std::size_t recordBytes)
    : m_recordBytes(recordBytes)
{ }

std::string FixedSizeMerge::merge(const std::vector<std::string_view> &parts,
                                  std::size_t count) const
{
    std::vector<std::string_view> records;
    for (const std::string_view part : parts) {
        for (std::size_t at = 0; at + m_recordBytes <= part.size(); at += m_recordBytes)
            records.push_back(part.substr(at, m_recordBytes));
    }
    // std::string_view compares bytes as unsigned values.
    const std::size_t kept = std::min(count, records.size());
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept),
                      records.end(), std::greater<>());
    std::string merged;
    merged.reserve(kept * m_recordBytes);
    for (std::size_t i = 0; i < kept; ++i)
        merged += records[i];
    return merged;
}

} // namespace gwt
