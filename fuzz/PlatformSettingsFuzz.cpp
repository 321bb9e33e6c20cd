#include "platform/PlatformSettings.h"

/// \brief The platform's settings file: any text is read or refused, never a crash.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    gwt::platform::parsePlatformSettings(text, "fuzz.toml");
    return 0;
}
