/// The configuration documents, one aggregate for each kind, and their parsers.
///
/// A document is a JSON object stored as `config/<kind>`. Every parser checks every field; an error
/// names the field, its value and what is allowed. Unknown fields are errors too, so that a misspelt
/// one does not go unnoticed.
#pragma once

#include "wagtailhead/call_context.h"
#include "wagtailhead/clock.h"
#include "wagtailhead/ids.h"
#include "wagtailhead/result.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead {

enum class ConfigKind : std::uint8_t {
    Classes,
    Retries,
    Limits,
    Links,
    Leaving,
    Lost,
};

constexpr std::array<ConfigKind, 6> allConfigKinds { ConfigKind::Classes, ConfigKind::Retries,
    ConfigKind::Limits, ConfigKind::Links, ConfigKind::Leaving, ConfigKind::Lost };

/// Returns "classes", "retries", "limits", "links", "leaving" or "lost".
auto configKindName(ConfigKind kind) -> const char*;
auto parseConfigKind(std::string_view text) -> Result<ConfigKind>;

/// Returns the key of a kind in the store and in gossip: `config/<kind>`.
auto configKey(ConfigKind kind) -> std::string;

/// One rule of the classes: the first rule that matches a request decides.
struct ClassRule {
    std::string service_;
    std::string method_; ///< Empty matches every method.
    std::string path_; ///< Prefix of the path below the service; empty matches every path.
    Priority priority_ = Priority::Bulk;
    /// The operation runs at most once and needs an idempotency key.
    bool once_ = false;
    /// Overrides the rule by method (GET, HEAD, OPTIONS, PUT, DELETE are idempotent).
    std::optional<bool> idempotent_;
};

/// How a request is treated.
struct Classification {
    Priority priority_ = Priority::Bulk;
    bool once_ = false;
    bool idempotent_ = false;
};

struct ClassesConfig {
    std::vector<ClassRule> rules_;
    Priority default_ = Priority::Interactive;

    auto classify(std::string_view service, std::string_view method, std::string_view path) const
        -> Classification;
    /// Returns whether any rule of the service is marked `once`.
    auto hasOnce(std::string_view service) const -> bool;
    /// Returns the services with a rule marked `once`, without repetition.
    auto onceServices() const -> std::vector<std::string>;
};

struct RetriesConfig {
    int allowance_ = 3; ///< Extra attempts for the whole tree of a root request.
    int budgetPercent_ = 10; ///< Retries of a service per hundred first tries.
};

struct LimitsConfig {
    std::size_t maxBodyBytes_ = std::size_t { 1 } << 20;
    Duration defaultDeadline_ = milliseconds(2000);
    Duration maxDeadline_ = milliseconds(60000);
    int maxQueue_ = 0; ///< Queued calls for each backend server; 0 means twice its slots.
};

struct RegionConfig {
    std::string name_;
    std::vector<std::string> zones_;
};

struct LinksConfig {
    std::vector<RegionConfig> regions_;
    std::int64_t linkBytesPerSecond_ = 1'875'000;

    auto hasRegion(std::string_view name) const -> bool;
    auto hasZone(std::string_view name) const -> bool;
    /// Returns the region of a zone, or nothing.
    auto regionOf(std::string_view zone) const -> std::optional<std::string>;
};

struct LeavingConfig {
    std::vector<std::string> nodes_; ///< Node ids whose backend servers take no new work.
};

/// A process that an operator declared dead for good.
struct LostNode {
    NodeRef ref_;
    WallClock::time_point declaredAt_; ///< When the declaration was confirmed, in whole milliseconds.

    auto operator==(const LostNode&) const -> bool = default;
};

/// Declarations of the design page, section 3.7: shards whose members are all lost may be taken over.
struct LostConfig {
    std::vector<LostNode> nodes_;

    /// Returns the declarations by process, as takeovers look them up.
    auto byNode() const -> std::map<NodeRef, WallClock::time_point>;
};

/// Parsers of the whole documents. `generation` of a document is read with parseGeneration.
auto parseClassesConfig(std::string_view json) -> Result<ClassesConfig>;
auto parseRetriesConfig(std::string_view json) -> Result<RetriesConfig>;
auto parseLimitsConfig(std::string_view json) -> Result<LimitsConfig>;
auto parseLinksConfig(std::string_view json) -> Result<LinksConfig>;
auto parseLeavingConfig(std::string_view json) -> Result<LeavingConfig>;
auto parseLostConfig(std::string_view json) -> Result<LostConfig>;

/// Reads the generation (at least 1) of any document.
auto parseGeneration(std::string_view json) -> Result<std::uint64_t>;

/// Checks a document of the given kind completely.
auto checkConfigDocument(ConfigKind kind, std::string_view json) -> Result<Done>;

} // namespace wagtailhead
