#include "daemon/Readiness.h"

#include <array>

namespace gwt {

std::string_view toString(ReadyState state)
{
    static constexpr std::array<std::string_view, 3> names = {"priming", "ready", "draining"};
    return names[static_cast<std::size_t>(state)];
}

void Readiness::markReady()
{
    ReadyState expected = ReadyState::Priming;
    m_state.compare_exchange_strong(expected, ReadyState::Ready);
}

} // namespace gwt
