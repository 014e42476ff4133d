/// The shedding levels of services further down the call graph, as stored at the nodes of callers.
///
/// Every reply lists the strictest level in the subtree of its call. The table keeps these levels by
/// service and path group of the call, so that a root request that such a service would drop is refused
/// before any work is done for it:
///
///     table.learn(service, pathGroup, reply.subtreeLevel_, reply.subtreeService_, now);
///     ...
///     const auto answer = table.check(service, pathGroup, priority, rootHash, now);
///     if (answer.verdict_ == LevelVerdict::Refuse) { ... }
#pragma once

#include "wagtailhead/call_context.h"
#include "wagtailhead/clock.h"
#include "wagtailhead/mechanism.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <utility>

namespace wagtailhead {

struct LevelTableOptions {
    /// A level without a new report expires after this time.
    Duration expiry_ = seconds(2);
    /// The strictest of the reports of this time, or up to twice this time, counts. Backend servers of one
    /// service report slightly different levels, and without this time the level would change with every
    /// reply.
    Duration hold_ = milliseconds(100);
    /// Share of the roots to be refused that pass as probes, so that recovery is detected.
    double probeShare_ = 0.02;
    /// Maximum pairs of service and path group; levels of further ones are not stored.
    std::size_t maxEntries_ = 10'000;
    Mechanism mechanism_ = Mechanism::Adaptive; ///< Naive: everything passes.
};

enum class LevelVerdict : std::uint8_t {
    Pass,
    Probe, ///< Passes, although a service in the subtree would probably refuse it.
    Refuse,
};

struct LevelAnswer {
    LevelVerdict verdict_ = LevelVerdict::Pass;
    /// The strictest stored level and the service that computed it. Empty if none is stored.
    SheddingLevel level_;
    std::string service_;
};

/// Levels by service and path group of a call. Thread safe: one mutex, held briefly.
class LevelTable {
public:
    /// `seed` decides which refused roots pass as probes.
    LevelTable(const LevelTableOptions& options, std::uint64_t seed);

    /// Stores the strictest level in the subtree of a call, as its reply lists it. `reporter` is the
    /// service that computed the level; it may be the called service itself.
    auto learn(const std::string& service, const std::string& pathGroup, const SheddingLevel& level,
        const std::string& reporter, TimePoint now) -> void;

    /// Returns whether a service in the subtree of this call would refuse its root.
    auto check(const std::string& service, const std::string& pathGroup, Priority priority,
        std::uint64_t rootHash, TimePoint now) -> LevelAnswer;

    /// Returns the number of pairs of service and path group with a stored level.
    auto size() const -> std::size_t;

private:
    /// The strictest level of the current and of the previous hold period.
    struct Report {
        SheddingLevel present_;
        SheddingLevel previous_;
        TimePoint periodStart_;
        TimePoint reportedAt_;

        auto strictest() const -> const SheddingLevel&;
    };

    using Key = std::pair<std::string, std::string>;
    /// Reports by the service that computed the level.
    using Reports = std::map<std::string, Report>;

    auto expire(Reports& reports, TimePoint now) const -> void;
    auto expireAll(TimePoint now) -> void;

    mutable std::mutex mutex_;
    const LevelTableOptions options_;
    std::mt19937_64 random_;
    std::map<Key, Reports> entries_;
};

} // namespace wagtailhead
