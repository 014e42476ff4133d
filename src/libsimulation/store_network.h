/// Store calls on a virtual clock with the faults of the store.
#pragma once

#include "fake_store.h"
#include "wagtailhead/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace wagtailhead {

/// How the store behaves at the moment.
struct StoreFaults {
    bool outage_ = false; ///< Calls are refused without effect.
    bool silent_ = false; ///< Calls have neither effect nor answer.
    double loseAnswers_ = 0; ///< Part of the writes whose answer is lost after the effect.
    Duration delay_ {}; ///< Added before the effect; a call that takes too long fails, and has its effect.
};

struct StoreCallRates {
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t watches_ = 0;

    auto total() const -> std::uint64_t
    {
        return reads_ + writes_ + watches_;
    }
};

/// Connects callers to one FakeStore. Not thread safe.
class StoreNetwork {
public:
    using Callback = std::function<void(StoreAnswer)>;
    /// Returns whether a caller reaches the store now.
    using Reachability = std::function<bool(std::size_t caller)>;

    explicit StoreNetwork(std::uint64_t seed)
        : random_(seed)
    {
    }

    /// Makes a call; the callback runs in a later advance().
    auto run(std::size_t caller, const StoreCommand& command, Callback callback) -> void;
    /// Lets effects and answers up to `now` take place.
    auto advance(TimePoint now) -> void;

    auto setReachability(Reachability reachability) -> void
    {
        reachability_ = std::move(reachability);
    }

    FakeStore store_;
    StoreFaults faults_;
    StoreCallRates calls_;

private:
    struct Call {
        std::size_t caller_ = 0;
        StoreCommand command_;
        Callback callback_;
        TimePoint effectAt_;
        TimePoint timeoutAt_;
        bool answered_ = false;
        bool loseAnswer_ = false;
    };

    auto count(const StoreCommand& command) -> void;
    auto takeEffect(Call& call, TimePoint now) -> bool;

    std::mt19937_64 random_;
    TimePoint now_;
    std::vector<Call> outstanding_;
    Reachability reachability_;
};

} // namespace wagtailhead
