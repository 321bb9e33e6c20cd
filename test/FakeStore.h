#pragma once

#include "ScriptedServer.h"

#include <boost/json.hpp>

#include <deque>
#include <map>

namespace gwt::test {

/// \brief A stand-in of the platform's store: lists, watches and creates objects.
class FakeStore
{
public:
    /// \brief What the store does with the calls that come.
    enum class Mode { Answers, Unavailable, Resets, Silent };

    FakeStore(boost::asio::io_context &context, TimerQueue &timers);

    Endpoint endpoint() const { return m_server.endpoint(); }
    /// \brief Writes an object as the operator or a backend server does.
    void put(const std::string &kind, const std::string &name, const boost::json::value &spec);
    void remove(const std::string &kind, const std::string &name);
    void setMode(Mode mode);

private:
    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        boost::json::object event;
    };

    ScriptedReply answer(const ServerRequest &request);
    ScriptedReply list(const std::string &kind) const;
    ScriptedReply watch(const std::string &kind, std::uint64_t revision) const;
    ScriptedReply create(const std::string &kind, const ServerRequest &request);
    boost::json::object describe(const std::string &name, const boost::json::value &spec) const;

    ScriptedServer m_server;
    Mode m_mode = Mode::Answers;
    std::uint64_t m_revision = 1;
    std::map<std::string, std::map<std::string, boost::json::value>> m_objects; ///< by kind, name
    std::deque<Change> m_changes;
};

} // namespace gwt::test
