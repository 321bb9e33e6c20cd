#include "common/Settings.h"

/// \brief Fuzzes settings files: any text is either accepted or rejected, without a crash.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    auto outcome = gwt::Settings::fromText(text, "fuzz.toml");
    if (!gwt::isOk(outcome))
        return 0;
    gwt::Settings &settings = gwt::valueOf(outcome);
    settings.text("a");
    settings.integer("b", 1, 0, 9);
    settings.endpoint("c.d");
    settings.endpoints("c.e");
    settings.tableNames("f");
    settings.faults();
    return 0;
}
