#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace gwt {

/// \brief Propagates the cancellation of a request to its parts. Copies share the state.
///
/// Thread-safe. Each callback runs at most once, on the thread that calls cancel().
class CancelToken
{
public:
    using Callback = std::function<void()>;

    CancelToken();

    void cancel() const;
    bool isCancelled() const;

    /// \brief Unregisters its callback on destruction.
    class Registration
    {
    public:
        Registration() = default;
        Registration(Registration &&other) noexcept = default;
        Registration &operator=(Registration &&other) noexcept;
        Registration(const Registration &) = delete;
        Registration &operator=(const Registration &) = delete;
        ~Registration();

    private:
        friend class CancelToken;
        void reset();

        std::weak_ptr<struct CancelState> m_state;
        unsigned long m_id = 0;
    };

    /// \brief Registers \a callback; it runs immediately if the token is already cancelled.
    [[nodiscard]] Registration onCancel(Callback callback) const;

private:
    std::shared_ptr<struct CancelState> m_state;
};

} // namespace gwt
