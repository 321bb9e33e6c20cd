#include "platform/BackendDecoder.h"
#include "platform/ConfigDecoder.h"
#include "platform/HostDecoder.h"
#include "platform/KeyMapping.h"
#include "platform/StoreCodec.h"

#include <cstdlib>

using namespace gwt;

namespace {

void decodeAsEveryKind(const platform::StoreObject &object)
{
    platform::decodeBackend(object);
    platform::decodeConfig(object.spec);
    platform::decodeHost(object);
    platform::decodeValue(object.spec);
}

void requireSameAfterRoundTrip(std::string_view bytes)
{
    if (platform::decodeValue(platform::encodeValue(bytes)) != bytes)
        std::abort();
    if (platform::keyOf(platform::locationOf(bytes)) != bytes)
        std::abort();
}

} // namespace

/// \brief Decodes any bytes as replies of the platform's store; must not crash.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view body(reinterpret_cast<const char *>(data), size);
    const auto page = platform::decodePage(body);
    if (isOk(page)) {
        for (const platform::StoreObject &object : valueOf(page).listing.objects)
            decodeAsEveryKind(object);
    }
    const auto changes = platform::decodeChanges(body);
    if (isOk(changes)) {
        for (const platform::StoreChange &change : valueOf(changes).changes)
            decodeAsEveryKind(change.object);
    }
    platform::decodeObject(body);
    requireSameAfterRoundTrip(body);
    platform::percentEncode(body);
    return 0;
}
