#include "entry/queries/SearchResponse.h"

#include <boost/json.hpp>

namespace gwt {

namespace json = boost::json;

namespace {

json::array toJson(const std::vector<wire::Hit> &hits)
{
    json::array list;
    for (const wire::Hit &hit : hits) {
        list.push_back(json::object{{"id", hit.id()},
                                    {"score", hit.score()},
                                    {"text", hit.text()},
                                    {"service", hit.service()},
                                    {"version", hit.version()}});
    }
    return list;
}

json::object coverageOf(const SearchResult &result, std::size_t shards, const Rank &rank)
{
    json::array missing;
    for (const auto &[service, reason] : result.missing)
        missing.push_back(json::object{{"service", service}, {"reason", reason}});
    const double share = shards == 0
        ? 0.0
        : static_cast<double>(result.answered.size()) / static_cast<double>(shards);
    return json::object{{"shards", shards},
                        {"answered", result.answered.size()},
                        {"missing", std::move(missing)},
                        {"meets_minimum", share >= rank.minimumCoverage}};
}

} // namespace

std::string toJson(const SearchResult &result, std::size_t shards, const std::string &requestId,
                   const SearchRequest &request, const Rank &rank, Duration elapsed)
{
    const double milliseconds = std::chrono::duration<double, std::milli>(elapsed).count();
    const json::object timing{{"total_ms", milliseconds}, {"target_ms", rank.target.count()}};
    const json::object body{{"request_id", requestId},
                            {"index", request.index},
                            {"rank", request.rank},
                            {"snapshot", result.version},
                            {"hits", toJson(result.hits)},
                            {"coverage", coverageOf(result, shards, rank)},
                            {"timing", timing},
                            {"extra_legs", result.extraAttempts}};
    return json::serialize(body);
}

} // namespace gwt
