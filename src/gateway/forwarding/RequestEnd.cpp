#include "gateway/forwarding/RequestEnd.h"

namespace gwt {

const char *toString(RequestEnd end)
{
    switch (end) {
    case RequestEnd::Served:
        return "served";
    case RequestEnd::Partial:
        return "partial";
    case RequestEnd::Refused:
        return "refused";
    case RequestEnd::Failed:
        return "failed";
    case RequestEnd::Abandoned:
        return "abandoned";
    }
    return "";
}

} // namespace gwt
