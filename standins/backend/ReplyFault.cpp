#include "standins/backend/ReplyFault.h"

#include <array>

namespace gwt {

namespace {

constexpr const char *markName = "x-reply-fault";
constexpr std::array<const char *, 3> markValues{"dropped", "truncated", "duplicated"};

std::string markOf(ReplyFault fault)
{
    return markValues.at(static_cast<std::size_t>(fault));
}

std::string markLine(ReplyFault fault)
{
    return std::string(markName) + ": " + markOf(fault) + "\r\n";
}

HttpWireBytes apply(ReplyFault fault, std::string bytes)
{
    if (fault == ReplyFault::Dropped)
        return HttpWireBytes{{}, true};
    if (fault == ReplyFault::Duplicated)
        return HttpWireBytes{bytes + bytes, false};
    const std::size_t body = bytes.find("\r\n\r\n") + 4;
    bytes.resize(body + (bytes.size() - body) / 2);
    return HttpWireBytes{std::move(bytes), true};
}

} // namespace

void setReplyFault(HttpResponse &response, ReplyFault fault)
{
    response.headers[markName] = markOf(fault);
}

HttpWireBytes withReplyFault(HttpWireBytes wire)
{
    for (const ReplyFault fault :
         {ReplyFault::Dropped, ReplyFault::Truncated, ReplyFault::Duplicated}) {
        const std::string mark = markLine(fault);
        const std::size_t at = wire.bytes.find(mark);
        if (at == std::string::npos)
            continue;
        wire.bytes.erase(at, mark.size());
        return apply(fault, std::move(wire.bytes));
    }
    return wire;
}

} // namespace gwt
