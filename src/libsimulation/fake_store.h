/// The object API's objects and versions in memory, without I/O or time.
#pragma once

#include "wagtailhead/store_client.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wagtailhead {

/// Not thread safe.
class FakeStore {
public:
    /// Runs for each write that takes effect; the value is empty for a removal.
    using WriteObserver = std::function<void(const StoreObject&)>;

    /// Makes a call. A watch is answered at once, also without changes.
    auto run(const StoreCommand& command) -> StoreAnswer;

    /// Returns whether a watch has something to report.
    auto hasChanges(const StoreCommand& watch) const -> bool;

    auto find(const std::string& key) const -> const StoreObject*;
    auto version() const -> StoreVersion
    {
        return now_.version_;
    }

    /// Answers reads from the present state until the next call with false.
    auto setStaleReads(bool stale) -> void;
    /// Goes back to the state at `version`.
    auto rollBack(StoreVersion version) -> void;
    auto setWriteObserver(WriteObserver observer) -> void
    {
        observer_ = std::move(observer);
    }

private:
    struct State {
        StoreVersion version_ = 0;
        std::map<std::string, StoreObject> objects_;
        std::map<std::string, StoreVersion> deleted_;
    };

    auto write(const StoreCommand& command) -> StoreAnswer;
    static auto changes(const State& state, const StoreCommand& watch) -> StoreListing;

    State now_;
    std::optional<State> stale_;
    std::map<StoreVersion, State> history_;
    WriteObserver observer_;
};

} // namespace wagtailhead
