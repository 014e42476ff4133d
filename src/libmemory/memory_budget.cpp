#include "memory_budget.h"

namespace wagtailhead {

auto MemoryCharge::operator=(MemoryCharge&& other) noexcept -> MemoryCharge&
{
    if (this != &other) {
        if (budget_) {
            budget_->used_ -= bytes_;
        }
        budget_ = std::move(other.budget_);
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

MemoryCharge::~MemoryCharge()
{
    if (budget_) {
        budget_->used_ -= bytes_;
    }
}

auto MemoryCharge::tryResize(std::size_t bytes) -> bool
{
    if (!budget_) {
        return true;
    }
    if (bytes > bytes_ && !budget_->hasRoom(bytes - bytes_)) {
        return false;
    }
    budget_->used_ += bytes;
    budget_->used_ -= bytes_;
    bytes_ = bytes;
    return true;
}

} // namespace wagtailhead
