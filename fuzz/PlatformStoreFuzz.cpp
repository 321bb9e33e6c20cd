#include "platform/BackendDecoder.h"
#include "platform/ConfigDecoder.h"
#include "platform/StoreCodec.h"

using namespace gwt;

/// \brief Replies of the platform's store: any bytes are read or refused, never a crash.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view body(reinterpret_cast<const char *>(data), size);
    const auto page = platform::decodePage(body);
    if (isOk(page)) {
        for (const platform::StoreObject &object : valueOf(page).listing.objects) {
            platform::decodeBackend(object);
            platform::decodeConfig(object.spec);
        }
    }
    const auto changes = platform::decodeChanges(body);
    if (isOk(changes)) {
        for (const platform::StoreChange &change : valueOf(changes).changes) {
            platform::decodeBackend(change.object);
            platform::decodeConfig(change.object.spec);
        }
    }
    platform::percentEncode(body);
    return 0;
}
