#include "control/ConfigChecker.h"
#include "control/ConfigParser.h"

/// \brief Feeds arbitrary text to the parser and the checker of the operator's object files; it
/// must be parsed or rejected with faults, without a crash.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    gwt::ParsedConfig parsed;
    const std::string text(reinterpret_cast<const char *>(data), size);
    gwt::parseConfigText(text, "fuzz.toml", parsed);
    gwt::checkConfig(parsed.set, parsed.origins);
    const gwt::Config config(1, parsed.set);
    return config.set().size() > size ? 1 : 0;
}
