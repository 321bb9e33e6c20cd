#include "http/WireRequest.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace gwt {

namespace {

bool hasName(const WireRequest::Field &field, std::string_view name)
{
    return boost::beast::iequals({field.name.data(), field.name.size()},
                                 {name.data(), name.size()});
}

} // namespace

std::string_view WireRequest::field(std::string_view name) const
{
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [&](const Field &field) { return hasName(field, name); });
    return found == fields.end() ? std::string_view() : std::string_view(found->value);
}

std::size_t WireRequest::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(
        fields.begin(), fields.end(), [&](const Field &field) { return hasName(field, name); }));
}

} // namespace gwt
