#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gwt {

/// \brief Merges the records of several shards into one answer.
class RecordMerge
{
public:
    virtual ~RecordMerge() = default;
    /// \brief Returns the best \a count records of \a parts, best first.
    virtual std::string merge(const std::vector<std::string_view> &parts,
                              std::size_t count) const = 0;
};

/// \brief Merges fixed-size records, ordered by their bytes as unsigned values, greatest first.
///
/// Duplicates are kept. A trailing remainder shorter than a record is ignored.
class FixedSizeMerge : public RecordMerge
{
public:
    explicit FixedSizeMerge(std::size_t recordBytes);

    std::string merge(const std::vector<std::string_view> &parts, std::size_t count) const override;

private:
    const std::size_t m_recordBytes;
};

} // namespace gwt
