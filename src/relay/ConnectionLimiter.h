#pragma once

namespace gwt {

/// \brief Limits the connections to one backend server. Has no I/O and reads no clock.
///
/// A connection counts from the decision to open it until the server is known to have closed it.
class ConnectionLimiter
{
public:
    /// \brief Concurrent connection attempts; a new connection costs the server more than a
    /// request.
    static constexpr int s_maxOpening = 2;

    /// \brief Whether one more connection may be opened.
    enum class Decision {
        Open, ///< counted from now on; the caller has to call recordOpened() or recordFailed()
        AtLimit, ///< the connection limit is reached
        AtOpeningLimit ///< s_maxOpening connections are being opened
    };

    /// \brief Sets the connection limit; open connections above it are not closed.
    void setLimit(int limit) { m_limit = limit; }
    Decision tryOpen();
    /// \brief Records that a connection has been established.
    void recordOpened() { --m_opening; }
    /// \brief Records that a connection could not be established.
    void recordFailed();
    /// \brief Records that an established connection has been closed.
    void recordClosed() { --m_count; }
    /// \brief Number of established connections and of those being opened.
    int count() const { return m_count; }

private:
    int m_limit = 0;
    int m_count = 0;
    int m_opening = 0;
};

} // namespace gwt
