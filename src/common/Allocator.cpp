#include "common/Allocator.h"

#include <malloc.h>

namespace gwt {

namespace {

constexpr int largeBufferBytes = 131'072; ///< the initial threshold of the GNU C library

} // namespace

void returnLargeBuffers()
{
    ::mallopt(M_MMAP_THRESHOLD, largeBufferBytes);
}

} // namespace gwt
