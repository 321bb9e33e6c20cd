#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>

namespace gwt {

namespace asio = boost::asio;

/// \brief A coroutine that returns \a T. It resumes on the executor it was spawned on.
template <typename T>
using Task = asio::awaitable<T>;

using Executor = asio::any_io_executor;

/// \brief Completion token that returns the error code as a value instead of throwing it.
inline constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// \brief Starts \a task on \a executor without waiting for it.
///
/// An exception that escapes a task is a programming error and terminates the process.
inline void spawn(const Executor &executor, Task<void> task)
{
    asio::co_spawn(executor, std::move(task), [](std::exception_ptr failure) {
        if (failure)
            std::rethrow_exception(failure);
    });
}

} // namespace gwt
