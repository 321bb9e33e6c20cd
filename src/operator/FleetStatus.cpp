#include "operator/FleetStatus.h"

#include "common/Gather.h"
#include "operator/JsonFields.h"

#include <algorithm>
#include <array>

namespace gwt {

namespace json = boost::json;

namespace {

constexpr std::chrono::seconds statusTimeout{2};

struct Target
{
    std::string label;
    Endpoint admin;
};

Outcome<std::vector<Target>> resolveTargets(OperatorContext &context,
                                            const OperatorOptions &options)
{
    std::vector<Target> targets;
    for (const Endpoint &admin : options.adminEndpoints)
        targets.push_back({toString(admin), admin});
    if (!targets.empty())
        return targets;
    const auto hosts = context.run(context.hostList().hosts(OperatorContext::deadline()));
    if (!isOk(hosts))
        return errorOf(hosts);
    const std::array<std::pair<const char *, std::uint16_t>, 3> roles{
        {{"entry", entryAdminPort}, {"relay", relayAdminPort}, {"booking", bookingAdminPort}}};
    for (const Host &host : valueOf(hosts)) {
        if (host.name.rfind(options.hostPrefix, 0) != 0 || host.state == HostState::Leaving)
            continue;
        for (const auto &[role, port] : roles)
            targets.push_back({std::string(role) + "@" + host.name, {host.address, port}});
    }
    return targets;
}

Task<void> queryDaemon(HttpClient &client, Target target, std::string page, std::size_t index,
                       Gather<std::vector<DaemonReply>> gather)
{
    HttpRequest request;
    request.target = std::move(page);
    const Outcome<HttpResponse> response
        = co_await client.send(target.admin, std::move(request), Clock::now() + statusTimeout);
    DaemonReply reply;
    reply.label = target.label;
    reply.admin = target.admin;
    boost::system::error_code failure;
    json::value body;
    if (isOk(response) && valueOf(response).status == 200)
        body = json::parse(valueOf(response).body, failure);
    if (body.is_object()) {
        reply.hasReplied = true;
        reply.body = body.get_object();
        reply.label = textOf(reply.body, "name");
        reply.state = textOf(reply.body, "state");
        reply.generation = numberOf(reply.body, "generation");
    }
    gather.add([&](std::vector<DaemonReply> &all) {
        all.resize(std::max(all.size(), index + 1));
        all[index] = std::move(reply);
    });
}

Task<std::vector<DaemonReply>> queryDaemons(HttpClient &client, std::vector<Target> targets,
                                            std::string page)
{
    const Gather<std::vector<DaemonReply>> gather(static_cast<int>(targets.size()));
    const Executor executor = co_await asio::this_coro::executor;
    for (std::size_t index = 0; index < targets.size(); ++index)
        spawn(executor, queryDaemon(client, targets[index], page, index, gather));
    co_return co_await gather.take(Clock::now() + 2 * statusTimeout);
}

template <typename Enum, std::size_t count>
Enum parseEnum(const std::string &name, const std::array<Enum, count> &all)
{
    for (const Enum value : all) {
        if (toString(value) == name)
            return value;
    }
    return all[0];
}

Member toMember(const json::object &object)
{
    constexpr std::array roles{Role::Entry, Role::Relay, Role::Booking};
    constexpr std::array states{MemberState::Alive, MemberState::Suspect, MemberState::Leaving,
                                MemberState::Dead};
    Member member;
    member.id = textOf(object, "id");
    member.role = parseEnum(textOf(object, "role"), roles);
    member.availabilityZone = textOf(object, "availability_zone");
    member.state = parseEnum(textOf(object, "state"), states);
    member.isReady = flagOf(object, "ready");
    return member;
}

} // namespace

Outcome<std::vector<DaemonReply>>
queryFleet(OperatorContext &context, const OperatorOptions &options, const std::string &page)
{
    const Outcome<std::vector<Target>> targets = resolveTargets(context, options);
    if (!isOk(targets))
        return errorOf(targets);
    return context.run(queryDaemons(context.client(), valueOf(targets), page));
}

MemberList membersOf(const std::vector<DaemonReply> &fleet)
{
    std::map<std::string, Member> members;
    for (const DaemonReply &daemon : fleet) {
        for (const json::object &item : objectsOf(daemon.body, "members")) {
            Member member = toMember(item);
            members.emplace(member.id, std::move(member));
        }
    }
    MemberList result;
    for (auto &[id, member] : members)
        result.push_back(std::move(member));
    return result;
}

} // namespace gwt
