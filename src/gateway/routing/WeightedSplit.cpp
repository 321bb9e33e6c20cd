#include "gateway/routing/WeightedSplit.h"

namespace gwt {

const std::string &WeightedSplit::next(const Route &route)
{
    const std::vector<WeightedService> &services = route.services;
    if (services.size() == 1)
        return services.front().service;
    std::map<std::string, Credit> &credits = m_creditsByRoute[route.name];
    double total = 0;
    const WeightedService *chosen = nullptr;
    Credit *chosenCredit = nullptr;
    for (const WeightedService &candidate : services) {
        Credit &credit = credits[candidate.service];
        if (credit.weight != candidate.weight)
            credit = {candidate.weight, 0};
        total += candidate.weight;
        if (candidate.weight <= 0)
            continue;
        credit.credit += candidate.weight;
        if (!chosen || credit.credit > chosenCredit->credit) {
            chosen = &candidate;
            chosenCredit = &credit;
        }
    }
    if (!chosen)
        return services.front().service;
    chosenCredit->credit -= total;
    return chosen->service;
}

void WeightedSplit::retain(const std::set<std::string> &routeNames)
{
    std::erase_if(m_creditsByRoute,
                  [&](const auto &each) { return !routeNames.contains(each.first); });
}

} // namespace gwt
