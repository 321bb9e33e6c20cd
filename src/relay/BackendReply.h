#pragma once

#include "common/Outcome.h"
#include "http/HttpMessage.h"

#include <peer.pb.h>

#include <string>
#include <vector>

namespace gwt {

/// \brief One search request as sent to a backend server.
struct BackendSearchRequest
{
    std::string requestId;
    std::uint64_t attemptId = 0;
    std::string index;
    std::string service;
    std::uint64_t version = 0;
    std::string rank;
    std::string query;
    std::uint32_t limit = 10;
};

/// \brief A backend server's complete reply to a search request.
struct BackendSearchReply
{
    std::vector<wire::Hit> hits;
    std::uint64_t newestVersion = 0;
    bool isDraining = false;
};

/// \brief One booking as sent to a backend server.
struct BackendBookingRequest
{
    std::string requestId;
    std::string key;
    std::string attempt;
    std::string service;
    std::string payload;
};

/// \brief Parses a backend server's reply to \a request. Errors: as BackendClient::search().
Outcome<BackendSearchReply> parseSearchReply(const HttpResponse &response,
                                             const BackendSearchRequest &request);

/// \brief Parses the booking result from a reply to \a request. Errors: as BackendClient::book().
Outcome<std::string> parseBookingReply(const HttpResponse &response,
                                       const BackendBookingRequest &request);

} // namespace gwt
