#include "ProcessFleet.h"

#include "TaskRunner.h"

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

namespace gwt {

namespace json = boost::json;

namespace {

constexpr int firstNetwork = 40;
constexpr int networkCount = 180;
constexpr std::uint16_t guardPort = 6999;
constexpr std::chrono::seconds startTimeout{30};
constexpr Milliseconds pollInterval{20};
const std::map<std::string, int> roleDigits = {{"entry", 1}, {"relay", 2}, {"booking", 3}};

int bindGuard(const std::string &address)
{
    const int guard = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(guardPort);
    ::inet_pton(AF_INET, address.c_str(), &name.sin_addr);
    if (::bind(guard, reinterpret_cast<const sockaddr *>(&name), sizeof name) == 0
        && ::listen(guard, 1) == 0)
        return guard;
    ::close(guard);
    return -1;
}

std::string roleOf(const std::string &name)
{
    return name.substr(0, name.find('-'));
}

int hostOf(const std::string &name)
{
    return std::atoi(name.substr(name.find('-') + 1).c_str());
}

std::string zoneOf(int host)
{
    return "az" + std::to_string((host - 1) % 3 + 1);
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

} // namespace

ProcessFleet::ProcessFleet(ProcessFleetOptions options)
    : m_options(std::move(options))
    , m_pool(2)
    , m_client(m_pool.executor())
{
    std::string pattern = (std::filesystem::temp_directory_path() / "gwt-fleet-XXXXXX").string();
    m_folder = ::mkdtemp(pattern.data());
}

ProcessFleet::~ProcessFleet()
{
    for (const auto &[name, pid] : m_processes) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    m_pool.stop();
    if (m_guard >= 0)
        ::close(m_guard);
    if (!std::getenv("GWT_KEEP_LOGS"))
        std::filesystem::remove_all(m_folder);
}

Endpoint ProcessFleet::address(int host, std::uint16_t port) const
{
    return {m_network + ".0." + std::to_string(host), port};
}

Endpoint ProcessFleet::admin(const std::string &name) const
{
    return address(hostOf(name), static_cast<std::uint16_t>(7100 + roleDigits.at(roleOf(name))));
}

std::vector<std::string> ProcessFleet::daemonsOf(int host)
{
    const std::string suffix = "-" + std::to_string(host);
    return {"entry" + suffix, "relay" + suffix, "booking" + suffix};
}

bool ProcessFleet::reserveNetwork()
{
    for (int i = 0; i < networkCount && m_guard < 0; ++i) {
        m_network = "127." + std::to_string(firstNetwork + (::getpid() + i) % networkCount);
        m_guard = bindGuard(m_network + ".0.250");
    }
    return m_guard >= 0;
}

void ProcessFleet::writeSet() const
{
    std::filesystem::create_directories(setFolder());
    std::string text;
    for (int zone = 1; zone <= 3; ++zone) {
        const std::string name = zoneOf(zone);
        text += "[place." + name + "]\nregion = \"test\"\navailability_zone = \"" + name + "\"\n";
    }
    text += "[rank.urgent]\ntarget_ms = 200\nworth = 100\nfloor_share = 0.3\nhedging = true\n"
            "[rank.desk]\ntarget_ms = 500\nworth = 10\nfloor_share = 0.3\nminimum_coverage = 0.5\n"
            "[rank.background]\ntarget_ms = 10000\nworth = 1\nfloor_share = 0.1\n"
            "background = true\n";
    int number = 1;
    for (int service = 1; service <= m_options.services; ++service) {
        const std::string name = "pots-" + std::to_string(service);
        text += "[service." + name + "]\nindex = \"pots\"\nslice = \"pots-s"
            + std::to_string(service % 2 + 1) + "\"\n";
        for (int replica = 0; replica < m_options.replicas; ++replica, ++number) {
            text += "[backend-server." + name + "-" + std::to_string(replica) + "]\nservice = \""
                + name + "\"\nplace = \"" + zoneOf(service + replica) + "\"\naddress = \""
                + toString(backend(number)) + "\"\nslots = " + std::to_string(m_options.slots)
                + "\nconnections = 25\n";
        }
    }
    writeFile(setFolder() + "/set.toml", text);
}

std::string ProcessFleet::daemonSettings(const std::string &role, int host) const
{
    const std::string name = std::to_string(host);
    const std::string ip = address(host, 0).address;
    const std::string digit = std::to_string(roleDigits.at(role));
    return "[daemon]\nname = \"" + role + "@host-" + name + "\"\nhost = \"host-" + name
        + "\"\navailability_zone = \"" + zoneOf(host) + "\"\nadmin = \"" + ip + ":710" + digit
        + "\"\npeer = \"" + ip + ":730" + digit + "\"\nlog_level = \"" + m_options.logLevel
        + "\"\ndrain_interval_ms = " + std::to_string(m_options.drainIntervalMs)
        + "\ndrain_bound_ms = " + std::to_string(m_options.drainBoundMs)
        + "\n[platform]\naddress = \"" + toString(platform()) + "\"\n" + seedSettings();
}

std::string ProcessFleet::seedSettings() const
{
    if (!m_options.hasSeeds)
        return {};
    std::string seeds;
    for (int host = 1; host <= 2; ++host) {
        for (const auto &[role, digit] : roleDigits) {
            const Endpoint seed = address(host, static_cast<std::uint16_t>(7200 + digit));
            seeds += (seeds.empty() ? "\"" : ", \"") + toString(seed) + "\"";
        }
    }
    return "[membership]\nseeds = [" + seeds + "]\n";
}

void ProcessFleet::writeSettings() const
{
    writeFile(m_folder + "/platform.toml",
              "[platform]\nlisten = \"" + toString(platform()) + "\"\nadmin = \""
                  + toString(platformAdmin()) + "\"\nbuild_indexes_of = \"" + setFolder() + "\"\n");
    writeFile(m_folder + "/backend.toml",
              "[backend]\nadmin = \"" + toString(backendAdmin()) + "\"\nset = \"" + setFolder()
                  + "\"\nservice_time_ms = " + std::to_string(m_options.serviceTimeMs)
                  + "\nservice_time_sigma = " + std::to_string(m_options.serviceTimeSigma) + "\n");
    for (int host = 1; host <= m_options.hosts; ++host) {
        const std::string file = "-" + std::to_string(host) + ".toml";
        writeFile(m_folder + "/relay" + file,
                  daemonSettings("relay", host) + m_options.extraRelaySettings);
        writeFile(m_folder + "/booking" + file,
                  daemonSettings("booking", host) + m_options.extraBookingSettings);
        writeFile(m_folder + "/entry" + file,
                  daemonSettings("entry", host) + "[entry]\nlisten = \"" + toString(entry(host))
                      + "\"\n" + m_options.extraEntrySettings);
    }
}

void ProcessFleet::spawn(const std::string &name)
{
    const bool isStandin = name == "platform" || name == "backend";
    const std::string program
        = std::string(GWT_BIN_DIR) + "/gwt-" + (isStandin ? "fake-" + name : roleOf(name));
    const std::string settings = m_folder + "/" + name + ".toml";
    const std::string log = m_folder + "/" + name + ".log";
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
    std::string option = "--config";
    std::vector<char *> arguments = {const_cast<char *>(program.c_str()), option.data(),
                                     const_cast<char *>(settings.c_str()), nullptr};
    pid_t pid = 0;
    const int failure
        = ::posix_spawn(&pid, program.c_str(), &actions, nullptr, arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (failure == 0)
        m_processes[name] = pid;
}

bool ProcessFleet::waitHttp(const Endpoint &remote, const std::string &target)
{
    const TimePoint deadline = Clock::now() + startTimeout;
    while (Clock::now() < deadline) {
        if (get(remote, target).status == 200)
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

bool ProcessFleet::waitReady(const std::string &name)
{
    return waitHttp(admin(name), "/readyz");
}

bool ProcessFleet::start()
{
    if (!reserveNetwork())
        return false;
    writeSet();
    writeSettings();
    spawn("platform");
    spawn("backend");
    if (!waitHttp(platformAdmin(), "/healthz") || !waitHttp(backendAdmin(), "/healthz"))
        return false;
    json::array hosts;
    for (int host = 1; host <= m_options.hosts; ++host) {
        hosts.push_back(json::object{{"name", "host-" + std::to_string(host)},
                                     {"address", address(host, 0).address},
                                     {"availability_zone", zoneOf(host)}});
    }
    post(platformAdmin(), "/admin/hosts", json::serialize(hosts));
    for (int host = 1; host <= m_options.hosts; ++host) {
        for (const std::string &name : daemonsOf(host))
            spawn(name);
    }
    if (!publish())
        return false;
    for (int host = 1; host <= m_options.hosts; ++host) {
        for (const std::string &name : daemonsOf(host)) {
            if (!waitReady(name))
                return false;
        }
    }
    return true;
}

bool ProcessFleet::publish()
{
    const std::string command = std::string(GWT_BIN_DIR) + "/gwtctl publish " + setFolder()
        + " --platform " + toString(platform()) + " >" + m_folder + "/publish.log 2>&1";
    return std::system(command.c_str()) == 0;
}

void ProcessFleet::signal(const std::string &name, int signalNumber)
{
    const auto found = m_processes.find(name);
    if (found != m_processes.end())
        ::kill(found->second, signalNumber);
}

pid_t ProcessFleet::pid(const std::string &name) const
{
    const auto found = m_processes.find(name);
    return found == m_processes.end() ? 0 : found->second;
}

int ProcessFleet::waitExit(const std::string &name)
{
    const auto found = m_processes.find(name);
    if (found == m_processes.end())
        return -1;
    int status = 0;
    ::waitpid(found->second, &status, 0);
    m_processes.erase(found);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

HttpResponse ProcessFleet::send(const Endpoint &remote, const std::string &method,
                                const std::string &target, const std::string &body,
                                const HttpHeaders &headers, Milliseconds timeout)
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.headers = headers;
    const auto response
        = runTask(m_pool, m_client.send(remote, std::move(request), Clock::now() + timeout));
    if (isOk(response))
        return valueOf(response);
    HttpResponse none;
    none.status = 0;
    none.body = errorOf(response).reason + ": " + errorOf(response).detail;
    return none;
}

HttpResponse ProcessFleet::post(const Endpoint &remote, const std::string &target,
                                const std::string &body)
{
    return send(remote, "POST", target, body);
}

HttpResponse ProcessFleet::get(const Endpoint &remote, const std::string &target)
{
    return send(remote, "GET", target);
}

HttpResponse ProcessFleet::search(int host, const std::string &rank)
{
    return post(entry(host), "/v1/search",
                R"({"index":"pots","query":"beans","rank":")" + rank + "\"}");
}

HttpResponse ProcessFleet::book(int host, const std::string &key)
{
    return send(entry(host), "POST", "/v1/bookings",
                R"({"index":"pots","rank":"urgent","payload":{"order":")" + key + "\"}}",
                {{"Idempotency-Key", key}});
}

HttpResponse ProcessFleet::lookUp(int host, const std::string &key)
{
    return get(entry(host), "/v1/bookings/" + key);
}

int ProcessFleet::readyMembers(const std::string &observer)
{
    const HttpResponse response = get(admin(observer), "/status");
    boost::system::error_code failure;
    const json::value status = json::parse(response.body, failure);
    if (failure)
        return -1;
    int ready = 0;
    for (const json::value &member : status.at("members").as_array()) {
        const bool isAlive = member.at("state").as_string() == "alive";
        ready += isAlive && member.at("ready").as_bool() ? 1 : 0;
    }
    return ready;
}

bool ProcessFleet::waitForReadyMembers(const std::string &observer, int count)
{
    constexpr int attempts = 500;
    for (int i = 0; i < attempts; ++i) {
        if (readyMembers(observer) == count)
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

int ProcessFleet::executions(const std::string &key)
{
    const json::value ledger = json::parse(get(backendAdmin(), "/admin/bookings").body);
    const json::value *entry = ledger.as_object().if_contains(key);
    return entry ? entry->at("executions").to_number<int>() : 0;
}

} // namespace gwt
