#include "cost_model.h"

#include <algorithm>
#include <bit>

namespace wagtailhead {

namespace {

constexpr double meanWeight = 0.05;
constexpr double ratioWeight = 0.05;
/// Step of the quantile, in parts of the mean.
constexpr double quantileStep = 0.1;
constexpr double quantile = 0.9;
/// A factor with fewer answers is not used.
constexpr int enoughAnswers = 20;
constexpr double smallestFactor = 0.25;
constexpr double largestFactor = 4;
constexpr std::size_t mostRoutes = 256;
constexpr std::size_t mostAccounts = 64;

auto asDuration(double secondsCount) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(secondsCount));
}

} // namespace

auto CostModel::sizeClass(std::size_t bytes) -> int
{
    return std::bit_width(bytes);
}

auto CostModel::learnFactor(Factor& factor, double ratio) -> void
{
    factor.ratio_ += (ratio - factor.ratio_) * ratioWeight;
    factor.answers_ = std::min(factor.answers_ + 1, enoughAnswers);
}

auto CostModel::factorOf(const Route& route, std::string_view account, std::size_t bytes) -> double
{
    double factor = 1;
    const auto ofAccount = route.accounts_.find(account);
    if (ofAccount != route.accounts_.end() && ofAccount->second.answers_ >= enoughAnswers) {
        factor *= ofAccount->second.ratio_;
    }
    const auto ofSize = route.sizes_.find(sizeClass(bytes));
    if (ofSize != route.sizes_.end() && ofSize->second.answers_ >= enoughAnswers) {
        factor *= ofSize->second.ratio_;
    }
    return std::clamp(factor, smallestFactor, largestFactor);
}

auto CostModel::learn(const std::string& route, std::string_view account, std::size_t bytes, Duration spent,
    double slowness) -> void
{
    const double cost = std::chrono::duration<double>(spent).count() / std::max(slowness, smallestFactor);
    auto found = routes_.find(route);
    if (found == routes_.end()) {
        if (routes_.size() >= mostRoutes) {
            return;
        }
        found = routes_.emplace(route, Route { cost, cost, {}, {} }).first;
    }
    auto& known = found->second;
    if (known.mean_ > 0 && !account.empty()) {
        const auto ofAccount = known.accounts_.find(account);
        if (ofAccount != known.accounts_.end()) {
            learnFactor(ofAccount->second, cost / known.mean_);
        } else if (known.accounts_.size() < mostAccounts) {
            known.accounts_.emplace(std::string(account), Factor {});
        }
    }
    if (known.mean_ > 0) {
        learnFactor(known.sizes_[sizeClass(bytes)], cost / known.mean_);
    }
    known.mean_ += (cost - known.mean_) * meanWeight;
    known.tenth_ += known.mean_ * quantileStep * (cost > known.tenth_ ? quantile : quantile - 1);
}

auto CostModel::expected(const std::string& route, std::string_view account, std::size_t bytes) const
    -> Duration
{
    const auto found = routes_.find(route);
    return found == routes_.end() ? Duration::zero()
                                  : asDuration(found->second.mean_ * factorOf(found->second, account, bytes));
}

auto CostModel::cautious(const std::string& route, std::string_view account, std::size_t bytes) const
    -> Duration
{
    const auto found = routes_.find(route);
    return found == routes_.end() ? Duration::zero()
                                  : asDuration(std::max(found->second.tenth_, found->second.mean_)
                                      * factorOf(found->second, account, bytes));
}

} // namespace wagtailhead
