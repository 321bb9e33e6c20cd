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
    /// \brief The best \a count records of \a parts, best first.
    virtual std::string merge(const std::vector<std::string_view> &parts,
                              std::size_t count) const = 0;
};

/// \brief Records of a fixed size that are ordered by their bytes, greatest first.
///
/// Equal records all count. A remainder shorter than a record is left out.
class FixedSizeMerge : public RecordMerge
{
public:
    explicit FixedSizeMerge(std::size_t recordBytes);

    std::string merge(const std::vector<std::string_view> &parts, std::size_t count) const override;

private:
    const std::size_t m_recordBytes;
};

} // namespace gwt
