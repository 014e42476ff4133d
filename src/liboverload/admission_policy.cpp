#include "admission_policy.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace wagtailhead {

namespace {

/// Demand fades with this time constant.
constexpr double demandSeconds = 2.0;
/// Accounts and routes without requests for this time are forgotten.
constexpr Duration idleTime = seconds(10);
/// A small share of everything is admitted, so that free capacity is noticed.
constexpr double mostRefused = 0.97;
/// Costs within this ratio count as the same: the figures of each node are moving averages.
constexpr double classRatio = 1.4;
/// Cost of a request whose cost is not known yet, in milliseconds.
constexpr double assumedCost = 50;

auto decide(std::mt19937_64& random, double share) -> bool
{
    return share > 0 && std::uniform_real_distribution<>(0, 1)(random) < share;
}

} // namespace

auto RankAdmission::shouldRefuse(const AdmissionRequest& request, TimePoint /*now*/) -> bool
{
    return decide(random_, refusedShare(request.level_, request.ranksBelow_));
}

auto CostAdmission::workOf(const Demand& demand, TimePoint now) -> double
{
    const std::chrono::duration<double> passed = now - demand.updated_;
    return demand.work_ * std::exp(-std::max(passed.count(), 0.0) / demandSeconds);
}

auto CostAdmission::add(Demand& demand, double work, TimePoint now) -> void
{
    demand.work_ = workOf(demand, now) + work;
    demand.updated_ = now;
}

auto CostAdmission::classShare(const Rank& rank, int costClass, TimePoint now) -> double
{
    double refused = 0;
    double own = 0;
    for (const auto& [number, other] : rank) {
        const double work = workOf(other.demand_, now);
        refused += other.share_ * work;
        if (number > costClass) {
            refused -= mostRefused * work;
        } else if (number == costClass) {
            own = work;
        }
    }
    return own > 0 ? std::clamp(refused / own, 0.0, mostRefused) : 0;
}

auto CostAdmission::accountShare(
    const CostClass& costClass, std::string_view account, double share, TimePoint now) -> double
{
    if (share <= 0 || costClass.accounts_.size() < 2) {
        return share;
    }
    std::vector<double> works;
    double all = 0;
    for (const auto& [name, demand] : costClass.accounts_) {
        works.push_back(workOf(demand, now));
        all += works.back();
    }
    std::sort(works.begin(), works.end());
    // The largest work that no account exceeds if all of them together get what is left.
    double left = all * (1 - share);
    double fair = 0;
    for (std::size_t i = 0; i < works.size(); ++i) {
        fair = left / static_cast<double>(works.size() - i);
        if (works[i] >= fair) {
            break;
        }
        left -= works[i];
    }
    const auto found = costClass.accounts_.find(account);
    const double own = found == costClass.accounts_.end() ? 0 : workOf(found->second, now);
    return own > fair ? std::min(1 - fair / own, mostRefused) : 0;
}

auto CostAdmission::shouldRefuse(const AdmissionRequest& request, TimePoint now) -> bool
{
    const double share = refusedShare(request.level_, request.ranksBelow_);
    if (share <= 0) {
        return false;
    }
    const double cost = request.cost_ > 0 ? request.cost_ : assumedCost;
    const int number = static_cast<int>(std::floor(std::log(cost) / std::log(classRatio)));
    auto& rank = ranks_[request.rank_];
    auto& costClass = rank[number];
    costClass.share_ = share;
    add(costClass.demand_, cost, now);
    auto account = costClass.accounts_.find(request.account_);
    if (account == costClass.accounts_.end()) {
        account = costClass.accounts_.emplace(std::string(request.account_), Demand {}).first;
    }
    add(account->second, cost, now);
    forgetIdle(now);
    return decide(random_, accountShare(costClass, request.account_, classShare(rank, number, now), now));
}

auto CostAdmission::forgetIdle(TimePoint now) -> void
{
    if (now < nextSweep_) {
        return;
    }
    nextSweep_ = now + idleTime;
    const auto isIdle = [now](const Demand& demand) {
        return now - demand.updated_ > idleTime;
    };
    for (auto& [number, rank] : ranks_) {
        for (auto& [cost, costClass] : rank) {
            std::erase_if(costClass.accounts_, [&](const auto& item) {
                return isIdle(item.second);
            });
        }
        std::erase_if(rank, [&](const auto& item) {
            return isIdle(item.second.demand_);
        });
    }
}

} // namespace wagtailhead
