#include "call_profile.h"

#include <algorithm>
#include <utility>

namespace wagtailhead {

namespace {

constexpr Duration interval = milliseconds(500);
/// An interval keeps this part of its weight with each further one.
constexpr double kept = 0.95;
/// Added to each sum of squares, so that a route with few requests is taken to make few calls.
constexpr double prior = 1;
constexpr int sweeps = 8;
/// Weight of the newest cost of a call in its moving average.
constexpr double costWeight = 0.05;
/// The fit takes time by the square of the number of routes.
constexpr std::size_t mostRoutes = 32;

} // namespace

auto CallProfile::onRequest(const std::string& route) -> void
{
    const auto found = incoming_.find(route);
    if (found != incoming_.end()) {
        found->second.current_ += 1;
    } else if (incoming_.size() < mostRoutes) {
        incoming_.emplace(route, Incoming { incoming_.size(), 1, 0 });
        for (auto& row : squares_) {
            row.push_back(0);
        }
        squares_.emplace_back(incoming_.size(), 0.0);
    }
}

auto CallProfile::onCall(const std::string& route) -> void
{
    if (called_.size() < mostRoutes || called_.count(route) > 0) {
        called_[route].current_ += 1;
    }
}

auto CallProfile::onCallCost(const std::string& route, double milliseconds) -> void
{
    const auto found = called_.find(route);
    if (found != called_.end()) {
        auto& cost = found->second.cost_;
        cost = cost == 0 ? milliseconds : cost + (milliseconds - cost) * costWeight;
    }
}

auto CallProfile::addInterval() -> void
{
    // The calls follow their request by a part of an interval.
    std::vector<double> seen(incoming_.size());
    for (const auto& [route, incoming] : incoming_) {
        seen[incoming.place_] = (incoming.current_ + incoming.last_) / 2;
    }
    for (std::size_t row = 0; row < seen.size(); ++row) {
        for (std::size_t column = 0; column < seen.size(); ++column) {
            auto& sum = squares_[row][column];
            sum = sum * kept + seen[row] * seen[column];
        }
    }
    for (auto& [name, called] : called_) {
        called.products_.resize(seen.size());
        called.perRequest_.resize(seen.size());
        for (std::size_t place = 0; place < seen.size(); ++place) {
            called.products_[place] = called.products_[place] * kept + called.current_ * seen[place];
        }
        fit(called);
    }
}

auto CallProfile::fit(Called& called) const -> void
{
    auto& found = called.perRequest_;
    for (int sweep = 0; sweep < sweeps; ++sweep) {
        for (std::size_t row = 0; row < found.size(); ++row) {
            double rest = called.products_[row];
            for (std::size_t column = 0; column < found.size(); ++column) {
                rest -= column == row ? 0 : squares_[row][column] * found[column];
            }
            found[row] = std::max(rest / (squares_[row][row] + prior), 0.0);
        }
    }
}

auto CallProfile::update(TimePoint now) -> void
{
    if (now < intervalEnd_) {
        return;
    }
    if (now - intervalEnd_ < interval) {
        addInterval();
    }
    intervalEnd_ = now + interval;
    for (auto& [route, called] : called_) {
        called.current_ = 0;
    }
    for (auto& [route, incoming] : incoming_) {
        incoming.last_ = std::exchange(incoming.current_, 0);
    }
}

auto CallProfile::placeOf(const std::string& route) const -> std::optional<std::size_t>
{
    const auto found = incoming_.find(route);
    return found == incoming_.end() ? std::nullopt : std::optional(found->second.place_);
}

auto CallProfile::callsPerRequest(const std::string& route, const std::string& called) const -> double
{
    const auto found = called_.find(called);
    const auto place = placeOf(route);
    return found == called_.end() || !place || *place >= found->second.perRequest_.size()
        ? 0
        : found->second.perRequest_[*place];
}

auto CallProfile::calledCost(const std::string& route) const -> double
{
    double cost = 0;
    const auto place = placeOf(route);
    for (const auto& [name, called] : called_) {
        if (place && *place < called.perRequest_.size()) {
            cost += called.perRequest_[*place] * called.cost_;
        }
    }
    return cost;
}

} // namespace wagtailhead
