#include "common/Log.h"
#include "common/Time.h"

#include <gtest/gtest.h>

#include <unistd.h>

namespace gwt {
namespace {

TEST(LogPipeTest, unreadPipeDropsLinesInsteadOfBlocking)
{
    int ends[2];
    ASSERT_EQ(::pipe(ends), 0);
    const int savedStderr = ::dup(STDERR_FILENO);
    ASSERT_NE(::dup2(ends[1], STDERR_FILENO), -1);
    initializeLog("test", "info", LogTarget::StandardError);
    const std::string text(1000, 'x');
    for (int i = 0; i < 5000; ++i)
        logInfo("flood", {{"text", text}});
    const std::uint64_t dropped = droppedLogLines();
    ::dup2(savedStderr, STDERR_FILENO);
    ::close(savedStderr);
    ::close(ends[0]);
    ::close(ends[1]);
    EXPECT_GT(dropped, 1000U);
    EXPECT_LT(dropped, 5000U) << "lines up to the limit are buffered";
}

} // namespace
} // namespace gwt
