#include "LoopbackProxy.h"

#include <array>

namespace gwt::test {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr Milliseconds delay{80};

} // namespace

struct LoopbackProxy::Link
{
    Link(asio::ip::tcp::socket accepted, asio::io_context &context)
        : caller(std::move(accepted))
        , server(context)
    { }

    asio::ip::tcp::socket caller;
    asio::ip::tcp::socket server;
    std::array<std::array<char, 16384>, 2> buffers{};
    bool isMuted = false; ///< has lost a reply
};

LoopbackProxy::LoopbackProxy(asio::io_context &context, TimerQueue &timers, Endpoint target,
                             const Endpoint &local, ReplyEdit editReply)
    : m_context(context)
    , m_timers(timers)
    , m_target(std::move(target))
    , m_editReply(std::move(editReply))
    , m_acceptor(context, {asio::ip::make_address(local.address), local.port})
    , m_local(m_acceptor.local_endpoint())
{
    accept();
}

Endpoint LoopbackProxy::endpoint() const
{
    return {m_local.address().to_string(), m_local.port()};
}

void LoopbackProxy::listen()
{
    m_acceptor.open(m_local.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(m_local);
    m_acceptor.listen();
    accept();
}

void LoopbackProxy::reset(Link &link)
{
    error_code ignored;
    link.caller.set_option(asio::socket_base::linger(true, 0), ignored);
    link.caller.close(ignored);
    link.server.close(ignored);
}

void LoopbackProxy::setMode(Mode mode)
{
    if (m_mode != Mode::Passes)
        m_faultEndedAt = Clock::now();
    m_mode = mode;
    if (mode == Mode::Refuses)
        m_acceptor.close();
    else if (!m_acceptor.is_open())
        listen();
    std::erase_if(m_links, [](const auto &weak) { return weak.expired(); });
    if (mode != Mode::Resets && mode != Mode::Refuses)
        return;
    for (const auto &weak : m_links) {
        if (const auto link = weak.lock())
            reset(*link);
    }
}

void LoopbackProxy::accept()
{
    m_acceptor.async_accept([this](const error_code &failure, asio::ip::tcp::socket socket) {
        if (failure)
            return;
        const auto link = std::make_shared<Link>(std::move(socket), m_context);
        m_links.push_back(link);
        accept();
        if (m_mode == Mode::Resets || m_mode == Mode::Refuses) {
            reset(*link);
            return;
        }
        link->server.async_connect({asio::ip::make_address(m_target.address), m_target.port},
                                   [this, link](const error_code &refused) {
                                       if (refused || m_mode == Mode::Refuses) {
                                           reset(*link);
                                           return;
                                       }
                                       pump(link, false);
                                       pump(link, true);
                                   });
    });
}

void LoopbackProxy::pump(const std::shared_ptr<Link> &link, bool isReply)
{
    auto &from = isReply ? link->server : link->caller;
    from.async_read_some(asio::buffer(link->buffers.at(isReply ? 1 : 0)),
                         [this, link, isReply](const error_code &failure, std::size_t count) {
                             if (failure) {
                                 error_code ignored;
                                 link->caller.close(ignored);
                                 link->server.close(ignored);
                                 return;
                             }
                             if (m_mode == Mode::Delays)
                                 m_timers.after(delay, [this, link, isReply, count] {
                                     forward(link, isReply, count);
                                 });
                             else
                                 forward(link, isReply, count);
                         });
}

void LoopbackProxy::forward(const std::shared_ptr<Link> &link, bool isReply, std::size_t count)
{
    link->isMuted = link->isMuted || (m_mode == Mode::MutesConnections && isReply);
    const bool isSilent = m_mode == Mode::SilencesAll
        || (isReply && (link->isMuted || m_mode == Mode::SilencesReplies));
    if (isSilent) {
        pump(link, isReply);
        return;
    }
    if (isReply && m_editReply)
        m_editReply(link->buffers.at(1).data(), count);
    // Asynchronous, since the receiver may be stopped and the sender endless.
    auto &to = isReply ? link->caller : link->server;
    asio::async_write(
        to, asio::buffer(link->buffers.at(isReply ? 1 : 0).data(), count),
        [this, link, isReply](const error_code &, std::size_t) { pump(link, isReply); });
}

} // namespace gwt::test
