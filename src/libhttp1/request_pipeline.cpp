#include "request_pipeline.h"

#include <algorithm>
#include <utility>

namespace wagtailhead::http1 {

auto RequestPipeline::sizeOf(const Request& request) -> std::size_t
{
    return request.target_.size() + request.headers_.lines().size() + request.body_.size();
}

auto RequestPipeline::hasRoom() const -> bool
{
    return !closing_ && !complete_
        && (slots_.empty() || (slots_.size() < limits_.requests_ && unstartedBytes_ < limits_.bytes_));
}

auto RequestPipeline::add(Request request, bool overlaps, MemoryCharge charge) -> void
{
    Slot slot;
    slot.charge_ = std::move(charge);
    slot.id_ = ++lastId_;
    slot.overlaps_ = overlaps;
    slot.keepAlive_ = request.keepAlive_;
    slot.toHead_ = request.method_ == "HEAD";
    complete_ = !slot.keepAlive_;
    unstartedBytes_ += sizeOf(request);
    slot.request_ = std::move(request);
    slots_.push_back(std::move(slot));
}

auto RequestPipeline::addFinal(Response response) -> void
{
    Slot slot;
    slot.id_ = ++lastId_;
    slot.state_ = State::Answered;
    slot.keepAlive_ = false;
    answeredBytes_ += response.body_.size();
    slot.response_ = std::move(response);
    complete_ = true;
    slots_.push_back(std::move(slot));
}

auto RequestPipeline::takeStartable() -> std::optional<Started>
{
    bool first = true;
    for (auto& slot : slots_) {
        if (slot.state_ == State::Unstarted) {
            if (!first && !slot.overlaps_) {
                return std::nullopt;
            }
            slot.state_ = State::Running;
            unstartedBytes_ -= sizeOf(slot.request_);
            return Started { slot.id_, std::move(slot.request_) };
        }
        if (!slot.overlaps_) {
            return std::nullopt;
        }
        first = false;
    }
    return std::nullopt;
}

auto RequestPipeline::find(Id id) -> Slot*
{
    const auto found = std::find_if(slots_.begin(), slots_.end(), [id](const Slot& slot) {
        return slot.id_ == id && slot.state_ == State::Running;
    });
    return found == slots_.end() ? nullptr : &*found;
}

auto RequestPipeline::onGone(Id id, std::function<void()> handler) -> void
{
    if (auto* slot = find(id)) {
        slot->gone_ = std::move(handler);
    }
}

auto RequestPipeline::answer(Id id, Response response) -> void
{
    auto* slot = find(id);
    if (slot == nullptr) {
        return;
    }
    slot->state_ = State::Answered;
    slot->gone_ = nullptr;
    answeredBytes_ += response.body_.size();
    const bool closes = !response.keepAlive_;
    slot->response_ = std::move(response);
    if (closes) {
        startClosing();
    }
}

auto RequestPipeline::takeTurn() -> std::optional<Turn>
{
    if (slots_.empty() || slots_.front().state_ != State::Answered) {
        return std::nullopt;
    }
    auto slot = std::move(slots_.front());
    slots_.pop_front();
    answeredBytes_ -= slot.response_.body_.size();
    Turn turn;
    turn.closes_ = !slot.keepAlive_ || (closing_ && slots_.empty());
    turn.toHead_ = slot.toHead_;
    turn.response_ = std::move(slot.response_);
    return turn;
}

auto RequestPipeline::startClosing() -> void
{
    closing_ = true;
    // What stands behind the first unstarted request has not started either, or answers a later one.
    const auto first = std::find_if(slots_.begin(), slots_.end(), [](const Slot& slot) {
        return slot.state_ == State::Unstarted;
    });
    for (auto slot = first; slot != slots_.end(); ++slot) {
        answeredBytes_ -= slot->state_ == State::Answered ? slot->response_.body_.size() : 0;
    }
    slots_.erase(first, slots_.end());
    unstartedBytes_ = 0;
}

auto RequestPipeline::clear() -> std::vector<std::function<void()>>
{
    std::vector<std::function<void()>> handlers;
    for (auto& slot : slots_) {
        if (slot.gone_) {
            handlers.push_back(std::move(slot.gone_));
        }
    }
    slots_.clear();
    unstartedBytes_ = answeredBytes_ = 0;
    closing_ = true;
    return handlers;
}

} // namespace wagtailhead::http1
