/// \file
/// \brief The part of CallerConnection that accounts for its memory and frees it.

#include "gateway/callers/CallerConnection.h"
#include "gateway/callers/ConnectionExchange.h"
#include "gateway/forwarding/Refusal.h"

namespace gwt {

using boost::system::error_code;

namespace {

/// Copies of a request that are held while it is forwarded: as received, as shared by all attempts,
/// and as sent. A hedge's copy is not counted.
constexpr std::size_t forwardCopies = 3;
/// Retry-After of a request for which there is no memory. The caller then reaches another host.
constexpr Milliseconds memoryRetryAfter{500};

} // namespace

std::size_t CallerConnection::forwardedBytes() const
{
    return forwardCopies * m_requests.requestBytes();
}

bool CallerConnection::isAdmitted()
{
    const std::size_t bytes = forwardedBytes() + m_requests.waitingBytes();
    return !m_context.memory || m_context.memory->admit(m_memoryId, bytes);
}

std::pair<int, TimePoint> CallerConnection::closePreference()
{
    if (m_state == State::Lingering)
        return {0, m_progressAt};
    return {isBusy() && !isNew() ? 2 : 1, m_progressAt};
}

bool CallerConnection::closeForAnother()
{
    if (m_state == State::Handling)
        return false;
    close();
    return true;
}

void CallerConnection::recordProgress()
{
    m_progressAt = Clock::now();
    if (m_context.memory)
        m_context.memory->recordProgress(m_memoryId);
}

void CallerConnection::updateMemory()
{
    if (!m_context.memory || m_state == State::Closed)
        return;
    std::size_t bytes = m_requests.heldBytes() + m_exchangeBytes;
    if (m_output.capacity() > s_keptBufferBytes)
        bytes += m_output.capacity();
    if (m_isPaused)
        bytes += unreadBytes();
    const MemoryUse use = m_state == State::Handling ? MemoryUse::Running : MemoryUse::Exchange;
    m_context.memory->setBytes(m_memoryId, bytes, use);
}

std::size_t CallerConnection::unreadBytes()
{
    error_code failure;
    const std::size_t count = m_socket.available(failure);
    return failure ? 0 : count;
}

void CallerConnection::pauseReading()
{
    if (!m_context.memory)
        return;
    m_isPaused = true;
    if (!std::exchange(m_isListedAsPaused, true))
        m_context.memory->pause(shared_from_this());
}

void CallerConnection::resumeReading()
{
    m_isPaused = false;
    m_isListedAsPaused = false;
    updateMemory();
    read();
}

void CallerConnection::refuseForMemory()
{
    m_context.memory->recordRefusal(m_memoryId, "whole", m_requests.heldBytes());
    write(makeRefusal(503, "memory", memoryRetryAfter), false, false);
    m_requests.clear();
    updateMemory();
}

std::string CallerConnection::freeMemory()
{
    const auto self = shared_from_this();
    switch (m_state) {
    case State::Receiving:
        if (!m_hasRequestBytes)
            return "";
        write(makeRefusal(408, "memory"), false, false);
        m_requests.clear();
        updateMemory();
        return "receiving";
    case State::Handling: {
        const auto exchange = m_currentExchange;
        exchange->notifyEnd("memory");
        return m_state == State::Handling ? "" : "running";
    }
    case State::Responding:
        close();
        return "responding";
    case State::Lingering:
    case State::Closed:
        return "";
    }
    return "";
}

} // namespace gwt
