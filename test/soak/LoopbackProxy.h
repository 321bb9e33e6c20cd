#pragma once

#include "common/Endpoint.h"
#include "common/TimerQueue.h"

#include <boost/asio.hpp>

#include <memory>
#include <vector>

namespace gwt::test {

/// \brief Passes TCP connections on to one endpoint, and disturbs them on demand.
class LoopbackProxy
{
public:
    enum class Mode {
        Passes,
        Delays, ///< each piece comes 80 ms later
        SilencesReplies, ///< nothing comes back; the other way works
        SilencesAll,
        Resets ///< open connections now, new ones at once
    };

    LoopbackProxy(boost::asio::io_context &context, TimerQueue &timers, Endpoint target);

    Endpoint endpoint() const;
    void setMode(Mode mode);

private:
    struct Link;

    void accept();
    void pump(const std::shared_ptr<Link> &link, bool isReply);
    void forward(const std::shared_ptr<Link> &link, bool isReply, std::size_t count);
    static void reset(Link &link);

    boost::asio::io_context &m_context;
    TimerQueue &m_timers;
    const Endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<Link>> m_links;
    Mode m_mode = Mode::Passes;
};

} // namespace gwt::test
