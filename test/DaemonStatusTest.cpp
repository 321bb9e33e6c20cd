#include "daemon/DaemonStatus.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

namespace gwt {
namespace {

/// \brief A membership that doesn't retain its list, as if another thread replaced it at once.
class ReplacedMembership : public MembershipView
{
public:
    std::shared_ptr<const MemberList> members() const override
    {
        m_list.resize(2);
        m_list[0].id = "entry@host-1";
        m_list[1].id = "relay@host-2";
        return {&m_list, [](MemberList *list) { list->clear(); }};
    }

private:
    mutable MemberList m_list;
};

class IdleRole : public DaemonRole
{
public:
    Outcome<Done> start() override { return Done{}; }
    bool isReady() const override { return true; }
    void stopAccepting() override { }
    Task<void> handOver() override { co_return; }
    int requestsInProgress() const override { return 0; }
    std::string statusJson() const override { return R"({"waiting":3})"; }
};

TEST(DaemonStatusTest, listsMembersWhileTheMembershipReplacesItsList)
{
    const DaemonOptions options;
    const Readiness readiness;
    const ConfigHolder config;
    const ReplacedMembership membership;
    const IdleRole role;
    const DaemonStatus status(options, readiness, config, membership, role);
    const boost::json::value reported = boost::json::parse(status.json());
    const boost::json::array &members = reported.at("members").as_array();
    ASSERT_EQ(members.size(), 2U);
    EXPECT_EQ(members[0].at("id").as_string(), "entry@host-1");
    EXPECT_EQ(members[1].at("id").as_string(), "relay@host-2");
    EXPECT_EQ(reported.at("role").at("waiting").as_int64(), 3);
}

} // namespace
} // namespace gwt
