#include "daemon/DaemonStatus.h"

#include <boost/json.hpp>

namespace gwt {

namespace json = boost::json;

namespace {

json::object toJson(const Member &member)
{
    return {{"id", member.id},
            {"host", member.host},
            {"role", std::string(toString(member.role))},
            {"availability_zone", member.availabilityZone},
            {"state", std::string(toString(member.state))},
            {"incarnation", member.incarnation},
            {"ready", member.isReady},
            {"generation", member.generation}};
}

} // namespace

DaemonStatus::DaemonStatus(const DaemonOptions &options, const Readiness &readiness,
                           const ConfigHolder &config, const MembershipView &membership,
                           const DaemonRole &role)
    : m_options(options)
    , m_readiness(readiness)
    , m_config(config)
    , m_membership(membership)
    , m_role(role)
{ }

std::string DaemonStatus::json() const
{
    const ConfigPtr config = m_config.current();
    json::object status;
    status["name"] = m_options.name;
    status["host"] = m_options.host;
    status["availability_zone"] = m_options.availabilityZone;
    status["version"] = GWT_VERSION;
    status["state"] = std::string(toString(m_readiness.state()));
    status["generation"] = config->generation();
    status["objects"] = config->set().size();
    // Keeps the list alive: the membership can replace it at any time.
    const std::shared_ptr<const MemberList> members = m_membership.members();
    json::array list;
    for (const Member &member : *members)
        list.push_back(toJson(member));
    status["members"] = std::move(list);
    boost::system::error_code failure;
    status["role"] = json::parse(m_role.statusJson(), failure);
    return json::serialize(status);
}

} // namespace gwt
