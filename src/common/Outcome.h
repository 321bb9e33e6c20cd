#pragma once

#include "common/Error.h"

#include <utility>
#include <variant>

namespace gwt {

/// \brief Either a value of type \a T or an Error. Outcomes are values; nothing is thrown.
template <typename T>
using Outcome = std::variant<T, Error>;

/// \brief The value of an operation that succeeds without a result.
struct Done
{ };

template <typename T>
bool isOk(const Outcome<T> &outcome)
{
    return std::holds_alternative<T>(outcome);
}

/// \brief The value of \a outcome. \pre isOk(outcome)
template <typename T>
T &valueOf(Outcome<T> &outcome)
{
    return std::get<T>(outcome);
}

template <typename T>
const T &valueOf(const Outcome<T> &outcome)
{
    return std::get<T>(outcome);
}

/// \brief The error of \a outcome. \pre !isOk(outcome)
template <typename T>
const Error &errorOf(const Outcome<T> &outcome)
{
    return std::get<Error>(outcome);
}

} // namespace gwt
