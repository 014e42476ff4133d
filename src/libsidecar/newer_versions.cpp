#include "newer_versions.h"

#include <array>

namespace wagtailhead {

namespace {

/// How long nodes of a zone, of a region and of others are waited for, by Proximity.
constexpr std::array<Duration, 3> patience { milliseconds(0), milliseconds(150), milliseconds(700) };
/// A node that has not answered in this time will not; another one is asked.
constexpr Duration answerTime = milliseconds(800);
/// Holders beyond this many are not remembered: one that answers is enough.
constexpr std::size_t mostHolders = 16;

} // namespace

auto NewerVersions::onVersion(const std::string& node, Proximity proximity, std::uint64_t version,
    std::uint64_t own, TimePoint now) -> void
{
    if (version <= own) {
        return;
    }
    if (holders_.empty()) {
        behindSince_ = now;
    }
    if (holders_.size() < mostHolders || proximity == Proximity::Zone || holders_.count(node) > 0) {
        holders_[node] = { proximity, version };
    }
}

auto NewerVersions::onAdopted(std::uint64_t version) -> void
{
    std::erase_if(holders_, [version](const auto& holder) {
        return holder.second.version_ <= version;
    });
    nextQuestion_ = {};
}

auto NewerVersions::takeNext(TimePoint now) -> std::optional<std::string>
{
    if (holders_.empty() || now < nextQuestion_) {
        return std::nullopt;
    }
    auto nearest = holders_.begin();
    for (auto it = holders_.begin(); it != holders_.end(); ++it) {
        nearest = it->second.proximity_ < nearest->second.proximity_ ? it : nearest;
    }
    if (now - behindSince_ < patience.at(static_cast<std::size_t>(nearest->second.proximity_))) {
        return std::nullopt;
    }
    // It is asked again only if it says once more that it has the version.
    auto node = nearest->first;
    holders_.erase(nearest);
    nextQuestion_ = now + answerTime;
    return node;
}

} // namespace wagtailhead
