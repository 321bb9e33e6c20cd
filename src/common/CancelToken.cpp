#include "common/CancelToken.h"

#include <utility>

namespace gwt {

struct CancelState
{
    std::mutex mutex;
    bool isCancelled = false;
    unsigned long nextId = 1;
    std::map<unsigned long, CancelToken::Callback> callbacks;
};

CancelToken::CancelToken()
    : m_state(std::make_shared<CancelState>())
{ }

void CancelToken::cancel() const
{
    std::map<unsigned long, Callback> callbacks;
    {
        const std::lock_guard lock(m_state->mutex);
        if (m_state->isCancelled)
            return;
        m_state->isCancelled = true;
        callbacks.swap(m_state->callbacks);
    }
    for (const auto &[id, callback] : callbacks)
        callback();
}

bool CancelToken::isCancelled() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->isCancelled;
}

CancelToken::Registration CancelToken::onCancel(Callback callback) const
{
    Registration registration;
    {
        const std::lock_guard lock(m_state->mutex);
        if (!m_state->isCancelled) {
            registration.m_state = m_state;
            registration.m_id = m_state->nextId++;
            m_state->callbacks.emplace(registration.m_id, std::move(callback));
            return registration;
        }
    }
    callback();
    return registration;
}

CancelToken::Registration &CancelToken::Registration::operator=(Registration &&other) noexcept
{
    if (this != &other) {
        reset();
        m_state = std::move(other.m_state);
        m_id = std::exchange(other.m_id, 0);
    }
    return *this;
}

CancelToken::Registration::~Registration()
{
    reset();
}

void CancelToken::Registration::reset()
{
    const auto state = m_state.lock();
    if (!state)
        return;
    const std::lock_guard lock(state->mutex);
    state->callbacks.erase(m_id);
}

} // namespace gwt
