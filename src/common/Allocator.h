#pragma once

namespace gwt {

/// \brief Makes the allocator return large buffers to the system as soon as they are freed.
///
/// It would otherwise raise its threshold for that to the size of the largest buffer freed so far,
/// and then keep the gaps between large buffers when a crowd of callers has left. Call it before
/// any thread is started.
void returnLargeBuffers();

} // namespace gwt
