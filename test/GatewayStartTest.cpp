#include <gtest/gtest.h>

#include <fcntl.h>
#include <spawn.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <string>

namespace gwt::test {
namespace {

constexpr int exitUsage = 2; ///< exit status for invalid settings

/// \brief A named pipe in place of the settings file, so that reading the settings blocks.
class SettingsPipe
{
public:
    SettingsPipe()
    {
        std::string pattern
            = (std::filesystem::temp_directory_path() / "gwt-start-XXXXXX").string();
        m_folder = ::mkdtemp(pattern.data());
        EXPECT_EQ(::mkfifo(path().c_str(), S_IRUSR | S_IWUSR), 0);
    }
    ~SettingsPipe() { std::filesystem::remove_all(m_folder); }
    SettingsPipe(const SettingsPipe &) = delete;
    SettingsPipe &operator=(const SettingsPipe &) = delete;

    std::string path() const { return m_folder + "/settings.toml"; }

private:
    std::string m_folder;
};

pid_t startGateway(const std::string &settingsPath)
{
    std::string program = GWT_BIN_DIR "/gwt-gateway";
    std::string variable = "GODWITTRAY_SETTINGS=" + settingsPath;
    char *arguments[] = {program.data(), nullptr};
    char *environment[] = {variable.data(), nullptr};
    pid_t pid = 0;
    EXPECT_EQ(::posix_spawn(&pid, program.c_str(), nullptr, nullptr, arguments, environment), 0);
    return pid;
}

TEST(GatewayStartTest, aReloadSignalWhileTheSettingsAreReadDoesNotEndTheProcess)
{
    const SettingsPipe settings;
    const pid_t gateway = startGateway(settings.path());
    ASSERT_GT(gateway, 0);
    const int writer = ::open(settings.path().c_str(), O_WRONLY); // blocks until the gateway reads
    ASSERT_GE(writer, 0);
    ASSERT_EQ(::kill(gateway, SIGHUP), 0);
    ::close(writer); // settings without a name
    int status = 0;
    ASSERT_EQ(::waitpid(gateway, &status, 0), gateway);
    ASSERT_TRUE(WIFEXITED(status)) << "ended by signal " << WTERMSIG(status);
    EXPECT_EQ(WEXITSTATUS(status), exitUsage);
}

} // namespace
} // namespace gwt::test
