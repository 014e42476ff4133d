/// The bookkeeping that a configuration document carries beside its content: generation, intent, history.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead {

/// Changes that a document remembers.
constexpr std::size_t historyLength = 50;

/// The store takes values of up to 1 MB.
constexpr std::size_t maxDocumentBytes = 1'000'000;

/// One accepted change of a document.
struct HistoryEntry {
    std::uint64_t generation_ = 0;
    std::string intent_;
    std::string team_; ///< The team that confirmed.
    WallClock::time_point time_; ///< In whole seconds.
    std::string summary_; ///< At most 200 characters.

    auto operator==(const HistoryEntry&) const -> bool = default;
};

/// What a document says about its origin.
struct DocumentRecord {
    std::uint64_t generation_ = 0;
    std::string intent_; ///< Id of the intent that it came from; empty if none.
    std::vector<HistoryEntry> history_; ///< Oldest first, at most `historyLength`.

    /// Returns the entry of an intent, or null.
    auto find(std::string_view intent) const -> const HistoryEntry*;
    /// Returns the entries with a generation above `generation`, oldest first.
    auto after(std::uint64_t generation) const -> std::vector<HistoryEntry>;
};

/// Reads the record of a document of any kind. A malformed history entry is left out, because it must not
/// keep operators from changing the document.
auto parseDocumentRecord(std::string_view document) -> Result<DocumentRecord>;

/// Returns the document with `generation`, but without `intent` and `history`, as people edit it.
auto editableDocument(std::string_view document, std::uint64_t generation) -> Result<std::string>;

/// Returns the next document: the content of `content` under the generation, intent and history that
/// follow from `base` and `entry`. Precondition: `content` is a JSON object.
auto nextDocument(std::string_view content, const DocumentRecord& base, const HistoryEntry& entry)
    -> std::string;

/// Returns the entries as a JSON array, with the time as text in UTC.
auto formatHistory(const std::vector<HistoryEntry>& history) -> std::string;

} // namespace wagtailhead
