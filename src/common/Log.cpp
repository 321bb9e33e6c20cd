#include "common/Log.h"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <mutex>

namespace gwt {

namespace {

/// Limit on the bytes buffered for a slow reader of a pipe; about two thousand lines.
constexpr std::size_t maxBufferedBytes = 512U << 10U;

std::atomic<std::uint64_t> droppedLines = 0;

/// Writes to a file descriptor without blocking on its reader.
class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit NonBlockingSink(int descriptor)
        : m_descriptor(descriptor)
    {
        struct stat status
        { };
        const bool mayBlock = ::fstat(descriptor, &status) == 0
            && (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode));
        if (mayBlock)
            ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        if (!m_buffer.empty())
            writeBuffered();
        if (m_buffer.size() >= maxBufferedBytes) {
            ++droppedLines;
            return;
        }
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        m_buffer.append(line.data(), line.size());
        writeBuffered();
    }
    void flush_() override { writeBuffered(); }

private:
    void writeBuffered()
    {
        while (!m_buffer.empty()) {
            const ssize_t written = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written < 0) {
                // On EAGAIN the rest stays buffered; on other errors no reader is left, so drop it.
                if (errno != EAGAIN)
                    m_buffer.clear();
                return;
            }
            m_buffer.erase(0, static_cast<std::size_t>(written));
        }
    }

    const int m_descriptor;
    std::string m_buffer;
};

std::string quoted(const std::string &value)
{
    const bool isPlain = !value.empty() && value.find_first_of(" \t\r\n\"=\\") == std::string::npos;
    if (isPlain)
        return value;
    std::string result = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            result += '\\';
        result += (c == '\n' || c == '\r') ? ' ' : c;
    }
    return result + "\"";
}

template <typename Fields>
void write(spdlog::level::level_enum level, std::string_view event, const Fields &fields)
{
    if (!spdlog::should_log(level))
        return;
    std::string line = "event=" + std::string(event);
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        line += quoted(field.value);
    }
    spdlog::log(level, line);
}

} // namespace

void initializeLog(const std::string &program, const std::string &level, LogTarget target)
{
    const int descriptor = target == LogTarget::StandardOutput ? STDOUT_FILENO : STDERR_FILENO;
    auto logger
        = std::make_shared<spdlog::logger>(program, std::make_shared<NonBlockingSink>(descriptor));
    logger->set_pattern("ts=%Y-%m-%dT%H:%M:%S.%eZ level=%l program=%n %v",
                        spdlog::pattern_time_type::utc);
    logger->set_level(spdlog::level::from_str(level));
    spdlog::set_default_logger(logger);
}

std::uint64_t droppedLogLines()
{
    return droppedLines;
}

void logDebug(std::string_view event, LogFields fields)
{
    write(spdlog::level::debug, event, fields);
}

void logInfo(std::string_view event, LogFields fields)
{
    write(spdlog::level::info, event, fields);
}

void logInfo(std::string_view event, const std::vector<LogField> &fields)
{
    write(spdlog::level::info, event, fields);
}

void logWarning(std::string_view event, LogFields fields)
{
    write(spdlog::level::warn, event, fields);
}

void logError(std::string_view event, LogFields fields)
{
    write(spdlog::level::err, event, fields);
}

} // namespace gwt
