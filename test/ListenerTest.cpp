#include "common/Listener.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

using boost::asio::ip::tcp;

TEST(ListenerTest, listenSucceedsOnRetryAfterThePortIsFreed)
{
    boost::asio::io_context context;
    tcp::acceptor first(context);
    const Outcome<Endpoint> bound = openListener(first, {"127.0.0.1", 0});
    ASSERT_TRUE(isOk(bound));
    tcp::acceptor second(context);
    EXPECT_FALSE(isOk(openListener(second, valueOf(bound))));
    first.close();
    EXPECT_TRUE(isOk(openListener(second, valueOf(bound))));
}

} // namespace
} // namespace gwt
