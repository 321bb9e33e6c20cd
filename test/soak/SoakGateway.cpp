#include "SoakGateway.h"

#include "LoopbackAddress.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

namespace gwt::test {

namespace {

std::string quoted(const Endpoint &endpoint)
{
    return "\"" + toString(endpoint) + "\"";
}

/// Returns a bit mask of the signals that \a pid catches or ignores; 0 if it has ended.
std::uint64_t handledSignals(pid_t pid)
{
    constexpr int hexadecimal = 16;
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::uint64_t handled = 0;
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("SigIgn:") || line.starts_with("SigCgt:"))
            handled |= std::stoull(line.substr(line.find(':') + 1), nullptr, hexadecimal);
    }
    return handled;
}

} // namespace

SoakGateway::SoakGateway(std::string folder, int number, Endpoint store, std::string extraSettings)
    : m_folder(std::move(folder))
    , m_name("gateway-" + std::to_string(number))
    , m_store(std::move(store))
    , m_callers(ownLoopbackAddress(number), 7001)
    , m_readiness(ownLoopbackAddress(number), 7002)
    , m_peer(peerOf(number))
    , m_extraSettings(std::move(extraSettings))
{ }

Endpoint SoakGateway::peerOf(int number)
{
    return {ownLoopbackAddress(number), 7003};
}

SoakGateway::~SoakGateway()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

void SoakGateway::writeSettings() const
{
    std::string seedList;
    for (const Endpoint &seed : m_seeds)
        seedList += (seedList.empty() ? "" : ", ") + quoted(seed);
    const int extraRepeats = 200 + m_reloads;
    std::ofstream(settingsPath()) << "nodeName = \"" << m_name << "\"\nzone = \"z\"\nseedNodes = ["
                                  << seedList << "]\n[listen]\nfront = " << quoted(m_callers)
                                  << "\nready = " << quoted(m_readiness)
                                  << "\ncontrolPlane = " << quoted(m_peer)
                                  << "\n[bounds]\ngraceS = 6\ndrainMs = 3000\n"
                                     "retryBudgetRatio = 0.2\nbudgetWindowS = 10\n"
                                     "retryBudgetExtra = "
                                  << extraRepeats
                                  << "\nquotaWindowS = 5\nquotaOverage = 0.1\nquotaSlack = 20"
                                  << "\nconfigApplyMs = " << s_updateLimit.count()
                                  << "\n[platform]\naddress = " << quoted(m_store)
                                  << "\nreadsPerS = 2000\n"
                                  << m_extraSettings;
}

void SoakGateway::reload()
{
    ++m_reloads;
    writeSettings();
    signalIfHandled(SIGHUP);
}

void SoakGateway::stop(int number)
{
    signalIfHandled(number);
}

void SoakGateway::start(const std::vector<Endpoint> &seeds)
{
    m_seeds = seeds;
    setDisturbedUntil(Clock::now());
    m_interruptedAt = Clock::now();
    writeSettings();
    const std::string log = m_folder + "/" + m_name + ".log";
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    // Sockets of this process that a gateway inherits would stay open after they are closed here.
    ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string program = GWT_BIN_DIR;
    program.append("/gwt-gateway");
    std::string variable = "GODWITTRAY_SETTINGS=";
    variable.append(settingsPath());
    char *arguments[] = {program.data(), nullptr};
    char *environment[] = {variable.data(), nullptr};
    const int failure
        = ::posix_spawn(&m_pid, program.c_str(), &actions, nullptr, arguments, environment);
    ::posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
        m_pid = 0;
    ++m_starts;
}

void SoakGateway::signal(int number)
{
    setDisturbedUntil(Clock::now());
    if (number != SIGHUP)
        m_interruptedAt = Clock::now();
    if (number == SIGKILL)
        m_killedAt = Clock::now();
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void SoakGateway::signalIfHandled(int number)
{
    if (((handledSignals(m_pid) >> (number - 1)) & 1U) != 0)
        signal(number);
}

std::optional<int> SoakGateway::reap()
{
    int status = 0;
    if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return std::nullopt;
    m_pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

} // namespace gwt::test
