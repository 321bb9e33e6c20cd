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

Outcome<std::vector<Target>> targetsOf(OperatorContext &context, const OperatorOptions &options)
{
    std::vector<Target> targets;
    for (const Endpoint &admin : options.admins)
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

Task<void> askOne(HttpClient &client, Target target, std::string page, std::size_t place,
                  Gather<std::vector<DaemonStatus>> gather)
{
    HttpRequest request;
    request.target = std::move(page);
    const Outcome<HttpResponse> response
        = co_await client.send(target.admin, std::move(request), Clock::now() + statusTimeout);
    DaemonStatus status;
    status.label = target.label;
    status.admin = target.admin;
    boost::system::error_code failure;
    json::value body;
    if (isOk(response) && valueOf(response).status == 200)
        body = json::parse(valueOf(response).body, failure);
    if (body.is_object()) {
        status.isAnswering = true;
        status.json = body.get_object();
        status.label = textOf(status.json, "name");
        status.state = textOf(status.json, "state");
        status.generation = numberOf(status.json, "generation");
    }
    gather.add([&](std::vector<DaemonStatus> &all) {
        all.resize(std::max(all.size(), place + 1));
        all[place] = std::move(status);
    });
}

Task<std::vector<DaemonStatus>> askAll(HttpClient &client, std::vector<Target> targets,
                                       std::string page)
{
    const Gather<std::vector<DaemonStatus>> gather(static_cast<int>(targets.size()));
    const Executor executor = co_await asio::this_coro::executor;
    for (std::size_t place = 0; place < targets.size(); ++place)
        spawn(executor, askOne(client, targets[place], page, place, gather));
    co_return co_await gather.take(Clock::now() + 2 * statusTimeout);
}

template <typename Enum, std::size_t count>
Enum parseName(const std::string &name, const std::array<Enum, count> &all)
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
    member.role = parseName(textOf(object, "role"), roles);
    member.availabilityZone = textOf(object, "availability_zone");
    member.state = parseName(textOf(object, "state"), states);
    member.isReady = flagOf(object, "ready");
    return member;
}

} // namespace

Outcome<std::vector<DaemonStatus>> askFleet(OperatorContext &context,
                                            const OperatorOptions &options, const std::string &page)
{
    const Outcome<std::vector<Target>> targets = targetsOf(context, options);
    if (!isOk(targets))
        return errorOf(targets);
    return context.run(askAll(context.client(), valueOf(targets), page));
}

MemberList membersOf(const std::vector<DaemonStatus> &fleet)
{
    std::map<std::string, Member> members;
    for (const DaemonStatus &daemon : fleet) {
        for (const json::object &item : objectsOf(daemon.json, "members")) {
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
