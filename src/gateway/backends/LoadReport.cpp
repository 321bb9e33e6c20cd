#include "gateway/backends/LoadReport.h"

#include <array>
#include <charconv>

namespace gwt {

std::optional<LoadReport> parseLoadReport(std::string_view text)
{
    constexpr int maxValue = 1'000'000;
    std::array<int, 4> values{};
    const char *next = text.data();
    const char *const end = next + text.size();
    for (std::size_t i = 0; i < values.size(); ++i) {
        const auto [after, code] = std::from_chars(next, end, values[i]);
        const bool isLast = i + 1 == values.size();
        const bool isEndRight = isLast ? after == end : after != end && *after == ',';
        if (code != std::errc() || !isEndRight || values[i] < 0 || values[i] > maxValue)
            return std::nullopt;
        next = isLast ? after : after + 1;
    }
    if (values[2] == 0 || values[3] == 0)
        return std::nullopt;
    return LoadReport{values[0], values[1], values[2], static_cast<double>(values[3])};
}

} // namespace gwt
