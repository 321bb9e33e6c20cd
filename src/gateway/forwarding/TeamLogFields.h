#pragma once

#include "common/Log.h"
#include "gateway/forwarding/ForwardingContext.h"

namespace gwt {

/// \brief Adds the team of \a plan to \a fields, and its excess if it sends more than usual.
inline void addTeamFields(std::vector<LogField> &fields, const RequestPlan &plan)
{
    if (!plan.team)
        return;
    fields.emplace_back("team", plan.team->name);
    if (plan.excess > 1)
        fields.emplace_back("excess", plan.excess);
}

} // namespace gwt
