#pragma once

#include <cstddef>

namespace gwt {

/// \brief Limits the bytes that several buffers of one event loop hold together.
class ByteBudget
{
public:
    explicit ByteBudget(std::size_t limit)
        : m_limit(limit)
    { }

    /// \brief Reserves \a bytes; false, without effect, if they exceed what is left.
    bool tryReserve(std::size_t bytes)
    {
        if (bytes > m_limit - m_reserved)
            return false;
        m_reserved += bytes;
        return true;
    }
    void release(std::size_t bytes) { m_reserved -= bytes; }
    std::size_t reserved() const { return m_reserved; }

private:
    std::size_t m_limit;
    std::size_t m_reserved = 0;
};

/// \brief The part of a ByteBudget that one buffer holds; released with this object.
class ByteReservation
{
public:
    /// \brief \a budget may be null: no limit.
    explicit ByteReservation(ByteBudget *budget)
        : m_budget(budget)
    { }
    ~ByteReservation() { reset(); }
    ByteReservation(const ByteReservation &) = delete;
    ByteReservation &operator=(const ByteReservation &) = delete;

    /// \brief Extends the reservation to \a bytes; false if the budget does not allow it.
    bool tryGrowTo(std::size_t bytes)
    {
        if (!m_budget || bytes <= m_reserved)
            return true;
        if (!m_budget->tryReserve(bytes - m_reserved))
            return false;
        m_reserved = bytes;
        return true;
    }
    void reset()
    {
        if (m_budget)
            m_budget->release(m_reserved);
        m_reserved = 0;
    }

private:
    ByteBudget *m_budget;
    std::size_t m_reserved = 0;
};

} // namespace gwt
