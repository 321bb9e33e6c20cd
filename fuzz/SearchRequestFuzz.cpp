#include "entry/queries/SearchRequest.h"

/// \brief Parses any input as the JSON body of a search.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string body(reinterpret_cast<const char *>(data), size);
    gwt::parseSearchRequest(body);
    return 0;
}
