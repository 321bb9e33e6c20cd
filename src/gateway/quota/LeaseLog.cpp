#include "gateway/quota/LeaseLog.h"

#include "common/Log.h"

#include <utility>

namespace gwt {

namespace {

const char *nameOf(TakeoverBasis basis)
{
    switch (basis) {
    case TakeoverBasis::Vacant:
        return "vacant";
    case TakeoverBasis::SameHost:
        return "same_host";
    case TakeoverBasis::Stated:
        return "stated";
    case TakeoverBasis::Withdrawn:
        return "withdrawn";
    case TakeoverBasis::Wait:
        break;
    }
    return "wait";
}

const char *nameOf(GrantState state)
{
    switch (state) {
    case GrantState::Granting:
        return "granting";
    case GrantState::Waiting:
        return "waiting";
    case GrantState::NoProof:
        return "no_proof";
    case GrantState::NoVotes:
        return "no_votes";
    case GrantState::NotHolder:
        break;
    }
    return "not_holder";
}

} // namespace

LeaseLog::LeaseLog(Metrics &metrics)
    : m_metrics(metrics)
{ }

void LeaseLog::recordHolder(std::size_t range, const LeaseKeeper &keeper)
{
    if (std::exchange(m_holders.at(range), keeper.holder()) == keeper.holder())
        return;
    m_metrics
        .counter("gwt_gateway_quota_holder_changes_total",
                 "Changes of the coordinator of a range of teams that this process has seen")
        .Increment();
    logInfo("quota_holder",
            {{"range", range},
             {"holder", keeper.holder()},
             {"term", keeper.term()},
             {"is_self", keeper.grantsFrom() ? "yes" : "no"}});
}

void LeaseLog::recordGrantState(std::size_t range, GrantState state)
{
    if (std::exchange(m_states.at(range), state) == state)
        return;
    m_metrics
        .counter("gwt_gateway_quota_grant_states_total",
                 "Times that this process began or ceased to grant in a range, by its new state",
                 {{"state", nameOf(state)}})
        .Increment();
    logInfo("quota_grant_state", {{"range", range}, {"state", nameOf(state)}});
}

void LeaseLog::recordTakeover(std::size_t range, const LeaseKeeper &keeper, TimePoint now)
{
    const char *basis = nameOf(keeper.takeoverBasis());
    m_metrics
        .counter("gwt_gateway_quota_takeovers_total",
                 "Leases that this process has taken, by what proves that nobody else grants",
                 {{"basis", basis}})
        .Increment();
    const auto wait = std::chrono::duration_cast<Milliseconds>(*keeper.grantsFrom() - now);
    logInfo("quota_lease_taken",
            {{"range", range},
             {"term", keeper.term()},
             {"basis", basis},
             {"wait_ms", wait.count()},
             {"voters", keeper.voters().size()}});
}

void LeaseLog::recordMissed(std::size_t range, const std::string &reason)
{
    logInfo("quota_lease_missed", {{"range", range}, {"reason", reason}});
}

void LeaseLog::recordRenewal(std::size_t range, const LeaseKeeper &keeper,
                             const std::string &outcome)
{
    logInfo("quota_voters",
            {{"range", range}, {"voters", keeper.voters().size()}, {"outcome", outcome}});
}

} // namespace gwt
