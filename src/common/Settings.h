#pragma once

#include "common/Endpoint.h"
#include "common/Outcome.h"
#include "common/Time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace gwt {

/// \brief A TOML settings file; all errors are collected, with file, line and key.
///
/// Keys are dotted paths ("entry.listen"). A key that was never read is reported as unknown, so
/// call faults() only after all settings have been read.
class Settings
{
public:
    /// \brief Parses the file \a path; an Error names the file and the line of a syntax error.
    static Outcome<Settings> fromFile(const std::string &path);
    /// \brief Parses \a text; error messages name \a name as the file.
    static Outcome<Settings> fromText(const std::string &text, const std::string &name);

    Settings(Settings &&) noexcept;
    Settings &operator=(Settings &&) noexcept;
    ~Settings();

    std::string text(const std::string &key);
    std::string text(const std::string &key, const std::string &fallback);
    /// \brief One of \a allowed; \a fallback if absent.
    std::string choice(const std::string &key, const std::string &fallback,
                       const std::vector<std::string> &allowed);
    std::int64_t integer(const std::string &key, std::int64_t fallback, std::int64_t min,
                         std::int64_t max);
    double number(const std::string &key, double fallback, double min, double max);
    bool flag(const std::string &key, bool fallback);
    /// \brief A whole number of milliseconds; the key ends in "_ms".
    Milliseconds duration(const std::string &key, Milliseconds fallback, Milliseconds min,
                          Milliseconds max);
    Endpoint endpoint(const std::string &key);
    std::vector<Endpoint> endpoints(const std::string &key);
    std::vector<std::string> texts(const std::string &key);

    /// \brief Names of the tables below \a key: each NAME of a [key.NAME].
    std::vector<std::string> tableNames(const std::string &key);

    /// \brief All errors, including unknown keys, in file order where the line is known.
    std::vector<std::string> faults() const;

private:
    struct Data;
    explicit Settings(std::unique_ptr<Data> data);

    std::unique_ptr<Data> m_data;
};

} // namespace gwt
