#include "distribution/VerifiedConfig.h"

#include "control/ConfigCodec.h"

namespace gwt {

std::string indexDigest(const std::vector<IndexVersion> &versions)
{
    std::string all;
    for (const IndexVersion &version : versions) {
        const std::string content = encodeIndexVersion(version);
        all += std::to_string(content.size()) + ":" + content;
    }
    return contentHash(all);
}

} // namespace gwt
