#include "seed_keeper.h"
#include "store_watch.h"
#include "wagtailhead/store_agent.h"
#include "zone_leases.h"

#include <map>
#include <utility>

namespace wagtailhead {

class StoreAgentLogic::Core {
public:
    Core(StoreAgentOptions options, const MemberTable& members, ItemTable& items)
        : options_(std::move(options))
        , leases_(options_, members, items)
        , watch_(options_, items, options_.seed_ + 1)
        , seeds_(options_, members, options_.seed_ + 2)
    {
    }

    auto tick(TimePoint now) -> std::vector<Call>
    {
        std::vector<Call> calls;
        for (auto& call : leases_.tick(now)) {
            calls.push_back(track(Part::Lease, call.lease_, std::move(call.command_)));
        }
        const auto held = leases_.held(now);
        if (auto command = watch_.tick(now, held.has_value())) {
            calls.push_back(track(Part::Watch, 0, std::move(*command)));
        }
        auto* lease = held && !leases_.hasLowerHolder(*held) ? &leases_.lease(*held) : nullptr;
        if (auto command = seeds_.tickWrite(now, lease)) {
            calls.push_back(track(Part::SeedWrite, 0, std::move(*command)));
        }
        if (held) {
            return calls;
        }
        if (auto command = seeds_.tickSearch(now)) {
            calls.push_back(track(Part::SeedSearch, 0, std::move(*command)));
        }
        return calls;
    }

    auto onAnswer(TimePoint now, std::uint64_t id, const StoreAnswer& answer) -> void
    {
        const auto taken = outstanding_.extract(id);
        if (taken.empty()) {
            return;
        }
        const auto [part, number] = taken.mapped();
        switch (part) {
        case Part::Lease:
            leases_.onAnswer(now, number, answer);
            break;
        case Part::Watch:
            if (const auto* listing = watch_.onAnswer(now, answer)) {
                seeds_.onListing(now, *listing);
            }
            break;
        case Part::SeedWrite:
            seeds_.onWritten(now, answer);
            break;
        case Part::SeedSearch:
            seeds_.onFound(now, answer);
            break;
        }
    }

    auto stats() const -> StoreAgentStats
    {
        StoreAgentStats stats;
        stats.lastVersion_ = watch_.lastVersion();
        stats.leasesAcquired_ = leases_.acquired();
        stats.leasesLost_ = leases_.lost();
        stats.itemsApplied_ = watch_.applied();
        stats.itemsRefused_ = watch_.refused();
        stats.rollbacksSeen_ = watch_.rollbacks();
        stats.seedsWritten_ = seeds_.written();
        return stats;
    }

    enum class Part : std::uint8_t {
        Lease,
        Watch,
        SeedWrite,
        SeedSearch,
    };

    auto track(Part part, std::size_t number, StoreCommand command) -> Call
    {
        const auto id = nextId_++;
        outstanding_[id] = { part, number };
        return { id, std::move(command) };
    }

    StoreAgentOptions options_;
    ZoneLeases leases_;
    StoreWatch watch_;
    SeedKeeper seeds_;
    std::map<std::uint64_t, std::pair<Part, std::size_t>> outstanding_;
    std::uint64_t nextId_ = 1;
};

StoreAgentLogic::StoreAgentLogic(StoreAgentOptions options, const MemberTable& members, ItemTable& items)
    : core_(std::make_unique<Core>(std::move(options), members, items))
{
}

StoreAgentLogic::~StoreAgentLogic() = default;
StoreAgentLogic::StoreAgentLogic(StoreAgentLogic&&) noexcept = default;
auto StoreAgentLogic::operator=(StoreAgentLogic&&) noexcept -> StoreAgentLogic& = default;

auto StoreAgentLogic::tick(TimePoint now) -> std::vector<Call>
{
    return core_->tick(now);
}

auto StoreAgentLogic::onAnswer(TimePoint now, std::uint64_t id, const StoreAnswer& answer) -> void
{
    core_->onAnswer(now, id, answer);
}

auto StoreAgentLogic::release(TimePoint now) -> void
{
    core_->leases_.release(now);
}

auto StoreAgentLogic::isIdle() const -> bool
{
    return core_->leases_.isIdle();
}

auto StoreAgentLogic::heldLease(TimePoint now) const -> std::optional<int>
{
    const auto held = core_->leases_.held(now);
    return held ? std::optional(static_cast<int>(*held)) : std::nullopt;
}

auto StoreAgentLogic::takeSeeds() -> std::vector<SeedAddress>
{
    return core_->seeds_.takeSeeds();
}

auto StoreAgentLogic::stats() const -> StoreAgentStats
{
    return core_->stats();
}

} // namespace wagtailhead
