#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace gwt {

/// \brief One key=value pair of a log line.
struct LogField
{
    std::string_view key;
    std::string value;

    LogField(std::string_view name, std::string_view text)
        : key(name)
        , value(text)
    { }
    LogField(std::string_view name, const std::string &text)
        : key(name)
        , value(text)
    { }
    LogField(std::string_view name, const char *text)
        : key(name)
        , value(text)
    { }
    template <typename Number>
    requires std::integral<Number> || std::floating_point<Number> LogField(std::string_view name,
                                                                           Number number)
        : key(name)
        , value(std::to_string(number))
    { }
};

using LogFields = std::initializer_list<LogField>;

/// \brief Stream the log goes to: daemons use standard output; tools print their results there.
enum class LogTarget { StandardOutput, StandardError };

/// \brief Initializes the process-wide logger, which writes a line of key=value pairs per event.
///
/// \a level is one of debug, info, warn, error. Writing never blocks: if the reader of a pipe is
/// too slow, lines are buffered up to a limit and then dropped.
void initializeLog(const std::string &program, const std::string &level,
                   LogTarget target = LogTarget::StandardOutput);

/// \brief Number of lines dropped so far because the buffer was full.
std::uint64_t droppedLogLines();

void logDebug(std::string_view event, LogFields fields = {});
void logInfo(std::string_view event, LogFields fields = {});
void logInfo(std::string_view event, const std::vector<LogField> &fields);
void logWarning(std::string_view event, LogFields fields = {});
void logError(std::string_view event, LogFields fields = {});

} // namespace gwt
