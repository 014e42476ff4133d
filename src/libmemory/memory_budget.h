/// Bound on the memory that peers can make a process hold.
///
/// Every buffer that a peer can make grow holds a MemoryCharge of the process's MemoryBudget. What does not
/// fit is for the holder of the buffer to decide: stop reading, refuse what has not run, or close.
#pragma once

#include <cstddef>
#include <limits>
#include <memory>
#include <utility>

namespace wagtailhead {

/// Sum of all charges of one use. Not thread safe.
class MemoryBudget {
public:
    /// `limit` in bytes; 0 if there is no limit.
    explicit MemoryBudget(std::size_t limit)
        : limit_(limit)
    {
    }

    /// Returns whether so many more bytes fit.
    auto hasRoom(std::size_t bytes) const -> bool
    {
        return limit_ == 0 || (used_ <= limit_ && bytes <= limit_ - used_);
    }
    /// Returns how many more bytes fit; the largest number if there is no limit.
    auto room() const -> std::size_t
    {
        if (limit_ == 0) {
            return std::numeric_limits<std::size_t>::max();
        }
        return used_ < limit_ ? limit_ - used_ : 0;
    }
    auto limit() const -> std::size_t
    {
        return limit_;
    }
    auto used() const -> std::size_t
    {
        return used_;
    }

private:
    friend class MemoryCharge;

    std::size_t limit_;
    std::size_t used_ = 0;
};

/// Bytes that are taken from a budget until this object ends. Movable. Not thread safe.
class MemoryCharge {
public:
    /// Takes nothing, from no budget.
    MemoryCharge() = default;
    explicit MemoryCharge(std::shared_ptr<MemoryBudget> budget)
        : budget_(std::move(budget))
    {
    }
    MemoryCharge(MemoryCharge&& other) noexcept
        : budget_(std::move(other.budget_))
        , bytes_(std::exchange(other.bytes_, 0))
    {
    }
    auto operator=(MemoryCharge&& other) noexcept -> MemoryCharge&;
    MemoryCharge(const MemoryCharge&) = delete;
    auto operator=(const MemoryCharge&) -> MemoryCharge& = delete;
    ~MemoryCharge();

    /// Changes what is taken to `bytes`. Returns false, and changes nothing, if more is wanted than fits.
    auto tryResize(std::size_t bytes) -> bool;

    auto bytes() const -> std::size_t
    {
        return bytes_;
    }

private:
    std::shared_ptr<MemoryBudget> budget_;
    std::size_t bytes_ = 0;
};

} // namespace wagtailhead
