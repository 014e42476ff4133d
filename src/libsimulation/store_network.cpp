#include "store_network.h"

#include <algorithm>
#include <utility>

namespace wagtailhead {

namespace {

constexpr Duration callTimeout = seconds(2);
constexpr Duration usualDelay = milliseconds(5);

auto failure(ErrorCode code) -> StoreFailure
{
    return { { code, "simulated" }, std::nullopt };
}

auto isRead(const StoreCommand& command) -> bool
{
    return command.verb_ == StoreCommand::Verb::Get || command.verb_ == StoreCommand::Verb::List;
}

} // namespace

auto StoreNetwork::run(std::size_t caller, const StoreCommand& command, Callback callback) -> void
{
    Call call { caller, command, std::move(callback), now_ + usualDelay + faults_.delay_,
        now_ + callTimeout + command.wait_, false, false };
    const bool reached = !reachability_ || reachability_(caller);
    if (!reached || faults_.silent_) {
        call.effectAt_ = TimePoint::max();
    } else {
        count(command);
        const bool watch = command.verb_ == StoreCommand::Verb::Watch;
        call.loseAnswer_ = !isRead(command) && !watch
            && std::uniform_real_distribution<double>(0, 1)(random_) < faults_.loseAnswers_;
    }
    outstanding_.push_back(std::move(call));
}

auto StoreNetwork::count(const StoreCommand& command) -> void
{
    auto& counter = isRead(command)                  ? calls_.reads_
        : command.verb_ == StoreCommand::Verb::Watch ? calls_.watches_
                                                     : calls_.writes_;
    ++counter;
}

auto StoreNetwork::advance(TimePoint now) -> void
{
    now_ = now;
    // Callbacks add calls, so the list is taken out first.
    auto calls = std::exchange(outstanding_, {});
    std::vector<Call> waiting;
    for (auto& call : calls) {
        const bool done = takeEffect(call, now);
        if (!done && now >= call.timeoutAt_ && !call.answered_) {
            call.answered_ = true;
            call.callback_(failure(ErrorCode::Timeout));
        }
        // A call that has timed out still has its effect later.
        if (!done && (!call.answered_ || call.effectAt_ != TimePoint::max())) {
            waiting.push_back(std::move(call));
        }
    }
    outstanding_.insert(
        outstanding_.end(), std::make_move_iterator(waiting.begin()), std::make_move_iterator(waiting.end()));
}

/// Returns whether the call is over.
auto StoreNetwork::takeEffect(Call& call, TimePoint now) -> bool
{
    if (now < call.effectAt_) {
        return false;
    }
    const bool watch = call.command_.verb_ == StoreCommand::Verb::Watch;
    const bool due = now >= call.timeoutAt_ - callTimeout;
    if (faults_.outage_) {
        call.effectAt_ = TimePoint::max();
        if (!call.answered_) {
            call.callback_(failure(ErrorCode::Unavailable));
        }
        return true;
    }
    if (watch && !due && !store_.hasChanges(call.command_)) {
        return false;
    }
    auto answer = store_.run(call.command_);
    const bool cut = reachability_ && !reachability_(call.caller_);
    if (call.loseAnswer_ || cut) {
        call.effectAt_ = TimePoint::max();
        return false;
    }
    if (!call.answered_) {
        call.callback_(std::move(answer));
    }
    return true;
}

} // namespace wagtailhead
