#include "platform/BackendDecoder.h"
#include "platform/ConfigDecoder.h"
#include "platform/HostDecoder.h"
#include "platform/JsonSplitter.h"
#include "platform/KeyMapping.h"
#include "platform/StoreCodec.h"

#include <cstdlib>

using namespace gwt;

namespace {

void decodeAsEveryKind(const platform::StoreObject &object)
{
    platform::decodeBackend(object);
    std::vector<std::string> faults;
    platform::decodeConfig(object.spec, faults);
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

/// Requires the two objects around \a element in a listing and in a watch, unless \a element is
/// several elements or none.
void requireOthersBeside(const std::string &element)
{
    const auto split = platform::splitArray("[" + element + "]");
    if (!split || split->size() > 1)
        return;
    const std::string first = R"({"meta":{"name":"first"}})";
    const std::string last = R"({"meta":{"name":"last"}})";
    const auto page = platform::decodePage(R"({"items":[)" + first + "," + element + "," + last
                                           + R"(],"asOf":9})");
    if (!isOk(page) || valueOf(page).listing.asOf != 9)
        std::abort();
    const auto &objects = valueOf(page).listing.objects;
    if (objects.size() < 2 || objects.front().name != "first" || objects.back().name != "last")
        std::abort();
    const auto watched
        = platform::decodeChanges(R"({"events":[{"object":)" + first + R"(},{"object":)" + element
                                  + R"(},{"object":)" + last + R"(}],"asOf":9})");
    if (!isOk(watched) || valueOf(watched).asOf != 9)
        std::abort();
    const auto &changes = valueOf(watched).changes;
    if (changes.size() < 2 || changes.front().object.name != "first"
        || changes.back().object.name != "last")
        std::abort();
}

} // namespace

/// \brief Decodes any bytes as replies of the platform's store; must not crash, and no element of a
/// reply may hide another.
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
    requireOthersBeside(std::string(body));
    requireSameAfterRoundTrip(body);
    platform::percentEncode(body);
    return 0;
}
