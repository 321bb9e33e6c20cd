#include "TaskRunner.h"
#include "entry/Entry.h"

#include <gtest/gtest.h>

namespace gwt {
namespace {

class EmptyMembershipView : public MembershipView
{
public:
    std::shared_ptr<const MemberList> members() const override
    {
        return std::make_shared<const MemberList>();
    }
};

struct BodyCase
{
    std::string name;
    std::string body;
    int status;
    std::string expectedText; ///< in the response
};

class BookingBodyTest : public testing::TestWithParam<BodyCase>
{ };

TEST_P(BookingBodyTest, invalidBodiesAreRefusedNamingTheField)
{
    WorkerPool pool(1);
    ConfigHolder config;
    const EmptyMembershipView members;
    PeerClient peers(pool.executor(), Milliseconds(1000));
    Metrics metrics;
    BookingService bookings(config, members, peers, metrics);
    HttpRequest request;
    request.headers["idempotency-key"] = "k";
    request.body = GetParam().body;
    const HttpResponse response = runTask(pool, bookings.book(std::move(request)));
    EXPECT_EQ(response.status, GetParam().status);
    EXPECT_NE(response.body.find(GetParam().expectedText), std::string::npos) << response.body;
    EXPECT_NE(response.body.find("\"run\":\"notRun\""), std::string::npos);
    pool.stop();
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, BookingBodyTest,
    testing::Values(
        BodyCase{"notJson", "{", 400, "bad_json"}, BodyCase{"list", "[]", 400, "bad_json"},
        BodyCase{"unknownField", R"({"index":"i","rank":"r","payload":1,"servise":"s"})", 400,
                 "servise: unknown field"},
        BodyCase{"wrongType", R"({"index":"i","rank":"r","payload":1,"service":7})", 400,
                 "service: must be a non-empty text"},
        BodyCase{"noRank", R"({"index":"i","payload":1})", 400, "rank: is required"},
        BodyCase{"noPayload", R"({"index":"i","rank":"r"})", 400, "payload: is required"},
        BodyCase{"valid", R"({"index":"i","rank":"r","payload":1})", 404, "unknown_index"}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace gwt
