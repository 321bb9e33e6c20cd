#pragma once

#include "common/Time.h"
#include "control/ConfigObjects.h"
#include "entry/queries/SearchRequest.h"
#include "entry/queries/SliceMerge.h"

#include <string>

namespace gwt {

/// \brief Returns the JSON body of a completed search.
///
/// \a shards is the number of shards of the index version that was searched.
std::string toJson(const SearchResult &result, std::size_t shards, const std::string &requestId,
                   const SearchRequest &request, const Rank &rank, Duration elapsed);

} // namespace gwt
