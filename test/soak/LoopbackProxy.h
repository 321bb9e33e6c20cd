#pragma once

#include "common/Endpoint.h"
#include "common/TimerQueue.h"

#include <boost/asio.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace gwt::test {

/// \brief Forwards TCP connections to one endpoint and injects faults on demand.
class LoopbackProxy
{
public:
    enum class Mode {
        Passes,
        Delays, ///< delays each chunk of data by 80 ms
        SilencesReplies, ///< drops replies; requests still pass
        SilencesAll,
        MutesConnections, ///< drops replies; connections that lose one stay open without any more
        Resets, ///< resets open connections now, and new ones on accept
        Refuses ///< resets open connections now, and refuses new ones
    };
    /// Changes bytes of a reply in place.
    using ReplyEdit = std::function<void(char *bytes, std::size_t count)>;

    LoopbackProxy(boost::asio::io_context &context, TimerQueue &timers, Endpoint target,
                  const Endpoint &local = {"127.0.0.1", 0}, ReplyEdit editReply = nullptr);

    Endpoint endpoint() const;
    void setMode(Mode mode);
    /// \brief True if all data has passed since \a time.
    bool hasPassedSince(TimePoint time) const
    {
        return m_mode == Mode::Passes && m_faultEndedAt < time;
    }

private:
    struct Link;

    void listen();
    void accept();
    void pump(const std::shared_ptr<Link> &link, bool isReply);
    void forward(const std::shared_ptr<Link> &link, bool isReply, std::size_t count);
    static void reset(Link &link);

    boost::asio::io_context &m_context;
    TimerQueue &m_timers;
    const Endpoint m_target;
    const ReplyEdit m_editReply;
    boost::asio::ip::tcp::acceptor m_acceptor;
    const boost::asio::ip::tcp::endpoint m_local;
    std::vector<std::weak_ptr<Link>> m_links;
    Mode m_mode = Mode::Passes;
    TimePoint m_faultEndedAt;
};

} // namespace gwt::test
