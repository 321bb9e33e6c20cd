#include "control/ConfigCodec.h"

/// \brief Feeds arbitrary bytes to the decoders of values in the object store; they must be decoded
/// or rejected without a crash.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string content(reinterpret_cast<const char *>(data), size);
    gwt::ConfigSet set;
    if (gwt::isOk(gwt::decodeChunk(content, set)))
        gwt::encodeConfig(set);
    gwt::decodeIndexVersion(content);
    return 0;
}
