#include "common/Random.h"

#include <array>
#include <cstdio>

namespace gwt {

RandomEngine makeSeededEngine()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return RandomEngine(seed);
}

std::string makeUniqueId()
{
    thread_local RandomEngine engine = makeSeededEngine();
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(engine()),
                  static_cast<unsigned long long>(engine()));
    return text.data();
}

} // namespace gwt
