#include "wagtailhead/lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace wagtailhead {

namespace {

using Json = nlohmann::ordered_json;

/// Who holds a lease object, and for how long from each write.
struct LeaseRecord {
    NodeRef holder_; ///< An empty id stands for a free lease.
    Duration life_ {};
};

auto recordText(const NodeRef& holder, Duration life) -> std::string
{
    const auto lifeMs = std::chrono::duration_cast<milliseconds>(life).count();
    return Json {
        { "holder", holder.id_ }, { "incarnation", holder.incarnation_ }, { "lifeMs", lifeMs }
    }.dump();
}

/// An unreadable object counts as held by somebody unknown, for the usual life.
auto parseRecord(const std::string& text, Duration usualLife) -> LeaseRecord
{
    const auto json = Json::parse(text, nullptr, false);
    LeaseRecord record { { "?", 0 }, usualLife };
    if (!json.is_object()) {
        return record;
    }
    if (const auto at = json.find("holder"); at != json.end() && at->is_string()) {
        record.holder_.id_ = at->get<std::string>();
    }
    if (const auto at = json.find("incarnation"); at != json.end() && at->is_number_unsigned()) {
        record.holder_.incarnation_ = at->get<Incarnation>();
    }
    if (const auto at = json.find("lifeMs"); at != json.end() && at->is_number_unsigned()) {
        record.life_ = milliseconds(at->get<std::uint32_t>());
    }
    return record;
}

} // namespace

Lease::Lease(LeaseOptions options, std::uint64_t seed)
    : options_(std::move(options))
    , random_(seed)
    , backoff_(options_.retryMin_)
{
}

auto Lease::setCandidate(TimePoint now, bool candidate, Duration delay) -> void
{
    if (candidate && !candidate_ && state_ != State::Held) {
        // What was seen long ago is still a valid start of the life: the conditional update decides.
        nextCall_ = std::max(nextCall_, now + delay);
    }
    candidate_ = candidate;
}

auto Lease::dueAction(TimePoint now) const -> Action
{
    if (outstanding_ != Action::None || now < nextCall_) {
        return Action::None;
    }
    if (state_ == State::Held) {
        return releasing_ ? Action::Release : Action::Renew;
    }
    if (!candidate_ || releasing_) {
        return Action::None;
    }
    return state_ == State::Unknown ? Action::Read : Action::Acquire;
}

auto Lease::tick(TimePoint now) -> std::optional<StoreCommand>
{
    if (state_ == State::Held && now >= validUntil_) {
        stepDown(now);
    }
    const auto action = dueAction(now);
    if (action == Action::None) {
        return std::nullopt;
    }
    outstanding_ = action;
    sentAt_ = now;
    return command(action);
}

auto Lease::command(Action action) const -> StoreCommand
{
    StoreCommand command;
    command.key_ = options_.key_;
    command.version_ = version_;
    if (action == Action::Read) {
        return command;
    }
    command.verb_ = version_ == 0 ? StoreCommand::Verb::Create : StoreCommand::Verb::Replace;
    command.value_ = recordText(action == Action::Release ? NodeRef {} : options_.holder_, options_.life_);
    return command;
}

auto Lease::nextWake() const -> TimePoint
{
    auto wake = state_ == State::Held ? validUntil_ : TimePoint::max();
    const bool waiting = state_ == State::Held || (candidate_ && !releasing_);
    if (outstanding_ == Action::None && waiting) {
        wake = std::min(wake, nextCall_);
    }
    return wake;
}

auto Lease::onAnswer(TimePoint now, const StoreAnswer& answer) -> void
{
    const auto action = std::exchange(outstanding_, Action::None);
    if (const auto* failure = std::get_if<StoreFailure>(&answer)) {
        onFailure(now, action, *failure);
        return;
    }
    backoff_ = options_.retryMin_;
    if (action == Action::Read) {
        const auto* object = std::get_if<StoreObject>(&answer);
        observe(now, object ? std::optional(*object) : std::nullopt);
        return;
    }
    const auto* version = std::get_if<StoreVersion>(&answer);
    version_ = version ? *version : 0;
    if (action == Action::Release) {
        stepDown(now);
        return;
    }
    if (action == Action::Renew && state_ != State::Held) {
        // The life ended before this answer came, and this node has stepped down; the lease is taken up
        // again by a write of its own.
        nextCall_ = now;
        state_ = State::Observing;
        return;
    }
    if (action == Action::Acquire) {
        fencingVersion_ = version_;
    }
    state_ = State::Held;
    confirmedAt_ = sentAt_;
    validUntil_ = sentAt_ + options_.life_;
    nextCall_ = releasing_ ? now : sentAt_ + options_.renewInterval_;
    if (now >= validUntil_) {
        stepDown(now);
    }
}

auto Lease::onFailure(TimePoint now, Action action, const StoreFailure& failure) -> void
{
    if (failure.error_.code_ == ErrorCode::Conflict) {
        onConflict(now, failure);
    } else if (failure.error_.code_ == ErrorCode::NotFound) {
        observe(now, std::nullopt);
    } else {
        backOff(now);
        if (action == Action::Acquire && failure.error_.code_ != ErrorCode::Unavailable) {
            // The write may have taken effect, or take effect later.
            state_ = State::Unknown;
        } else if (action == Action::Release) {
            // The lease runs out by itself.
            stepDown(now);
        }
    }
    releasing_ = releasing_ && state_ == State::Held;
}

auto Lease::onConflict(TimePoint now, const StoreFailure& failure) -> void
{
    backoff_ = options_.retryMin_;
    const auto& current = failure.current_;
    const bool own = current && parseRecord(current->value_, options_.life_).holder_ == options_.holder_;
    if (state_ == State::Held && own) {
        // An earlier renewal took effect and its answer was lost, or the store was rolled back. The life
        // is not extended until a write on top of this version succeeds.
        version_ = current->version_;
        nextCall_ = now;
        return;
    }
    if (state_ == State::Held) {
        stepDown(now);
    }
    observe(now, current);
}

auto Lease::observe(TimePoint now, const std::optional<StoreObject>& object) -> void
{
    state_ = State::Observing;
    if (!object) {
        version_ = 0;
        nextCall_ = now;
        return;
    }
    version_ = object->version_;
    const auto record = parseRecord(object->value_, options_.life_);
    if (record.holder_.id_.empty() || record.holder_ == options_.holder_) {
        nextCall_ = now;
        return;
    }
    // Spreads the attempts of several candidates that wait for the same life to end.
    const auto jitter = std::uniform_int_distribution<Duration::rep>(0, options_.margin_.count())(random_);
    nextCall_ = now + record.life_ + options_.margin_ + Duration(jitter);
}

auto Lease::stepDown(TimePoint now) -> void
{
    state_ = State::Unknown;
    fencingVersion_ = 0;
    validUntil_ = TimePoint::min();
    releasing_ = false;
    nextCall_ = std::max(nextCall_, now);
}

auto Lease::backOff(TimePoint now) -> void
{
    // Full jitter, with a floor of half the bound so that calls stay apart.
    const auto pause
        = std::uniform_int_distribution<Duration::rep>(backoff_.count() / 2, backoff_.count())(random_);
    nextCall_ = now + Duration(pause);
    if (state_ == State::Held) {
        // A holder tries often enough to renew several times within the life.
        nextCall_ = std::min(nextCall_, now + options_.renewInterval_ / 3);
    }
    backoff_ = std::min(backoff_ * 2, options_.retryMax_);
}

auto Lease::isHeld(TimePoint now) const -> bool
{
    return state_ == State::Held && now < validUntil_;
}

auto Lease::fencingVersion() const -> StoreVersion
{
    return fencingVersion_;
}

auto Lease::confirmedAt() const -> TimePoint
{
    return confirmedAt_;
}

auto Lease::verify(TimePoint now) -> void
{
    if (state_ == State::Held) {
        nextCall_ = now;
    }
}

auto Lease::release(TimePoint now) -> void
{
    candidate_ = false;
    if (state_ == State::Held || outstanding_ == Action::Acquire) {
        releasing_ = true;
        nextCall_ = now;
    }
}

auto Lease::isIdle() const -> bool
{
    return state_ != State::Held && outstanding_ == Action::None;
}

} // namespace wagtailhead
