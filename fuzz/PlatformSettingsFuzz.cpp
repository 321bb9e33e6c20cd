#include "platform/PlatformSettings.h"

/// \brief Parses any text as the platform's settings file; must not crash.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    gwt::platform::parsePlatformSettings(text, "fuzz.toml");
    return 0;
}
