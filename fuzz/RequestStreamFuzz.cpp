#include "http/RequestStream.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <vector>

namespace {

struct ParsedRequests
{
    std::vector<std::string> requests; ///< as one text each
    bool isMalformed = false;

    bool operator==(const ParsedRequests &) const = default;
};

std::string textOf(const gwt::WireRequest &request)
{
    std::string text = request.method + ' ' + request.target + '\n';
    for (const auto &[name, value] : request.fields)
        text += name + ':' + value + '\n';
    return text + (request.keepAlive ? "keep" : "close") + '\n' + request.body;
}

/// \brief Parses \a bytes as a connection would that receives \a pieceSize bytes at a time.
ParsedRequests parse(const gwt::RequestSizeLimits &limits, std::string_view bytes,
                     std::size_t pieceSize)
{
    using Status = gwt::RequestStream::Status;
    gwt::RequestStream stream(limits);
    ParsedRequests parsed;
    while (!bytes.empty()) {
        const std::string_view piece = bytes.substr(0, pieceSize);
        bytes.remove_prefix(piece.size());
        stream.append(piece.data(), piece.size());
        Status status = Status::Complete;
        while (status == Status::Complete) {
            stream.skipEmptyLines();
            status = stream.parse();
            if (status == Status::Complete)
                parsed.requests.push_back(textOf(stream.take()));
        }
        if (status == Status::Malformed) {
            parsed.isMalformed = true;
            break;
        }
    }
    return parsed;
}

} // namespace

/// \brief Parses any bytes of a caller; must not crash or throw, and the requests must not depend
/// on how the bytes are split.
///
/// The first byte selects the size of the pieces and whether fields may exceed 64 KiB.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    gwt::RequestSizeLimits limits;
    limits.maxHeaderBytes = (data[0] & 1U) != 0 ? 1U << 20U : 512;
    limits.maxBodyBytes = 1024;
    const std::size_t pieceSize = 1 + (data[0] >> 1U);
    std::string bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    // A run of 'F' stands for a long one, which an input of few bytes could not contain.
    const std::size_t run = bytes.find("FFFF");
    if (run != std::string::npos)
        bytes.replace(run, 4, std::string(70'000, 'F'));
    const ParsedRequests whole = parse(limits, bytes, bytes.size());
    const ParsedRequests split = parse(limits, bytes, bytes.size() > size ? 4096 : pieceSize);
    if (whole.requests != split.requests)
        std::abort();
    return 0;
}
