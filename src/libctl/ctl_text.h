/// Answers of the administration API as text for people. Internal to the program.
///
/// All functions tolerate absent fields, because the node may be of another version.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>

namespace wagtailhead {

auto printPlan(std::ostream& out, const nlohmann::json& plan) -> void;
auto printIntents(std::ostream& out, const nlohmann::json& list) -> void;
auto printHistory(std::ostream& out, const nlohmann::json& history) -> void;
auto printStatus(std::ostream& out, const nlohmann::json& status) -> void;

/// Returns how a generation of a kind spreads, for instance "1 of 17 nodes lag: riga-b 1 (katalogs-2)".
struct Spread {
    std::int64_t nodes_ = 0; ///< Nodes that answered.
    std::int64_t lagging_ = 0; ///< Those among them with a lower generation.
    std::string where_; ///< Zones with lagging nodes; empty if there are none.
    std::string unreachable_; ///< Zones without an answer; empty if there are none.
    std::int64_t missing_ = 0; ///< Nodes of the other zones that gave no answer.
};

auto spreadOf(const nlohmann::json& status, const std::string& kind, std::uint64_t generation) -> Spread;

/// Returns a refusal as one line: "code: detail".
auto refusalText(const nlohmann::json& answer) -> std::string;

} // namespace wagtailhead
