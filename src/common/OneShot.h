#pragma once

#include "common/Task.h"
#include "common/Timer.h"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

namespace gwt {

/// \brief A value that is set at most once, from any thread, and awaited by at most one task.
///
/// Copies share the value. The first set() wins; later ones return false.
template <typename T>
class OneShot
{
public:
    OneShot()
        : m_state(std::make_shared<State>())
    { }

    /// \brief Sets the value; returns false if it was already set.
    bool set(T value) const
    {
        std::function<void(T)> resume;
        {
            const std::lock_guard lock(m_state->mutex);
            if (m_state->isSet)
                return false;
            m_state->isSet = true;
            if (!m_state->resume) {
                m_state->value.emplace(std::move(value));
                return true;
            }
            resume = std::move(m_state->resume);
        }
        resume(std::move(value));
        return true;
    }

    bool isSet() const
    {
        const std::lock_guard lock(m_state->mutex);
        return m_state->isSet;
    }

    /// \brief Waits for the value.
    Task<T> wait() const
    {
        // A named variable: g++ 12 destroys the captures of a temporary closure twice in co_await.
        auto initiate = [state = m_state](auto handler) { arm(*state, std::move(handler)); };
        co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(T)>(
            std::move(initiate), asio::use_awaitable);
    }

    /// \brief Waits for the value; sets it to \a fallback if it is not set by \a deadline.
    Task<T> waitUntil(TimePoint deadline, T fallback) const
    {
        Timer timer(co_await asio::this_coro::executor, deadline);
        timer.async_wait(
            [waiter = Waiter(m_state), late = std::move(fallback)](auto failure) mutable {
                if (!failure)
                    OneShot(waiter.state).set(std::move(late));
            });
        co_return co_await wait();
    }

private:
    struct State
    {
        std::mutex mutex;
        bool isSet = false;
        std::optional<T> value;
        std::function<void(T)> resume;
    };

    /// \brief Releases the waiting task if the event loop is destroyed before the deadline.
    ///
    /// The task may own the object that holds this value; the reference cycle would leak both.
    struct Waiter
    {
        explicit Waiter(std::shared_ptr<State> waitedFor)
            : state(std::move(waitedFor))
        { }
        Waiter(Waiter &&) noexcept = default;
        Waiter &operator=(Waiter &&) = delete;
        ~Waiter()
        {
            if (!state)
                return;
            std::function<void(T)> task;
            const std::lock_guard lock(state->mutex);
            task.swap(state->resume);
        }

        std::shared_ptr<State> state;
    };

    explicit OneShot(std::shared_ptr<State> state)
        : m_state(std::move(state))
    { }

    template <typename Handler>
    static void arm(State &state, Handler handler)
    {
        auto executor = asio::get_associated_executor(handler);
        auto shared = std::make_shared<Handler>(std::move(handler));
        auto resume = [executor, shared](T value) {
            asio::post(executor, [shared, result = std::move(value)]() mutable {
                (*shared)(std::move(result));
            });
        };
        std::optional<T> ready;
        {
            const std::lock_guard lock(state.mutex);
            if (state.isSet)
                ready = std::move(state.value);
            else
                state.resume = resume;
        }
        if (ready)
            resume(std::move(*ready));
    }

    std::shared_ptr<State> m_state;
};

} // namespace gwt
