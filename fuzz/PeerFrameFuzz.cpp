#include "peer/internal/Http2Session.h"

#include <boost/asio/io_context.hpp>

#include <peer.pb.h>

#include <sys/socket.h>
#include <unistd.h>

#include <string_view>

namespace {

using gwt::internal::Http2Session;

constexpr std::string_view preface("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0", 33);
constexpr std::string_view settings("\0\0\0\4\0\0\0\0\0", 9);
constexpr std::chrono::seconds maxRunTime{5};

template <typename Message>
void decode(const std::string &body)
{
    Message message;
    if (message.ParseFromString(body))
        message.SerializeAsString();
}

void handleRequest(const std::shared_ptr<Http2Session> &session, std::int32_t stream,
                   const gwt::PeerRequest &request)
{
    decode<gwt::wire::SliceSearchRequest>(request.body);
    decode<gwt::wire::BookRequest>(request.body);
    decode<gwt::wire::BookLookupRequest>(request.body);
    decode<gwt::wire::ReserveRequest>(request.body);
    decode<gwt::wire::ExecuteRequest>(request.body);
    session->respond(stream, gwt::PeerReply(200, request.body));
}

/// \brief Feeds \a bytes and then end-of-file to a session; traps unless it closes and its call
/// completes.
void feedSession(std::string_view bytes, bool isServer)
{
    int ends[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM, 0, ends) != 0)
        __builtin_trap();
    gwt::asio::io_context context;
    gwt::asio::ip::tcp::socket socket(gwt::asio::make_strand(context));
    socket.assign(gwt::asio::ip::tcp::v4(), ends[0]);
    Http2Session::RequestHandler onRequest;
    if (isServer)
        onRequest = handleRequest;
    const auto session = std::make_shared<Http2Session>(std::move(socket), onRequest, nullptr);
    session->start();
    int replies = isServer ? 1 : 0;
    if (!isServer) {
        gwt::PeerRequest request("/path", "body", "id", gwt::Clock::now() + maxRunTime);
        session->call(std::move(request), [&replies](const auto &) { ++replies; });
        context.poll(); // writes the request
    }
    if (::write(ends[1], bytes.data(), bytes.size()) < 0)
        __builtin_trap();
    ::shutdown(ends[1], SHUT_WR);
    context.restart();
    context.run_for(maxRunTime);
    ::close(ends[1]);
    if (session->isOpen() || replies != 1)
        __builtin_trap();
}

} // namespace

/// \brief Checks that arbitrary frames at most end the session, and that each call completes once.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0)
        return 0;
    const bool isServer = data[0] % 2 == 0;
    const bool sendsPreface = data[0] % 4 < 2;
    const std::string_view expectedPreface = isServer ? preface : settings;
    std::string bytes(sendsPreface ? expectedPreface : "");
    bytes.append(reinterpret_cast<const char *>(data) + 1, size - 1);
    feedSession(bytes, isServer);
    return 0;
}
