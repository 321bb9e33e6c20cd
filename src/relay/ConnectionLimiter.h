#pragma once

namespace gwt {

/// \brief Bounds the connections to one backend server; pure decision code.
///
/// A connection counts from the decision to open it until the server is known to have closed it.
class ConnectionLimiter
{
public:
    /// \brief Openings at the same time: a new connection costs the server more than a request.
    static constexpr int s_maxOpening = 2;

    /// \brief Answer to the wish for one more connection.
    enum class Verdict {
        Open, ///< it is counted; opened() or closed() has to follow
        AtLimit, ///< all that this relay may have are open
        Paced ///< enough are being opened
    };

    /// \brief Sets how many this relay may have; open ones above it are not taken away.
    void setLimit(int limit) { m_limit = limit; }
    Verdict tryOpen();
    /// \brief An opening has succeeded.
    void opened() { --m_opening; }
    /// \brief An opening has failed.
    void failed();
    /// \brief An open connection has been closed.
    void closed() { --m_count; }
    /// \brief Connections that count, those being opened among them.
    int count() const { return m_count; }

private:
    int m_limit = 0;
    int m_count = 0;
    int m_opening = 0;
};

} // namespace gwt
