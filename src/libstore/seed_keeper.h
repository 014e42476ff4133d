/// Maintains `seeds/<zone>` for a lease holder, and collects the seeds of other zones.
#pragma once

#include "retry_pause.h"
#include "wagtailhead/lease.h"
#include "wagtailhead/member.h"
#include "wagtailhead/store_agent.h"

#include <optional>
#include <random>
#include <vector>

namespace wagtailhead {

/// Not thread safe. At most one call is outstanding.
class SeedKeeper {
public:
    SeedKeeper(const StoreAgentOptions& options, const MemberTable& members, std::uint64_t seed);

    /// Returns the write that is due, or nothing. `lease` is the held lease under which this node
    /// maintains the seeds, or null. Writes name the version of the lease; a lease is confirmed anew
    /// before an object that names a higher version is replaced.
    auto tickWrite(TimePoint now, Lease* lease) -> std::optional<StoreCommand>;
    auto onWritten(TimePoint now, const StoreAnswer& answer) -> void;

    /// Returns the list call of a node that knows no other member, or nothing.
    auto tickSearch(TimePoint now) -> std::optional<StoreCommand>;
    auto onFound(TimePoint now, const StoreAnswer& answer) -> void;

    /// Takes in the seeds in a listing.
    auto onListing(TimePoint now, const StoreListing& listing) -> void;
    auto takeSeeds() -> std::vector<SeedAddress>;

    auto written() const -> std::uint64_t
    {
        return written_;
    }

private:
    auto ownKey() const -> std::string;
    auto desired(const MemberList& list) const -> std::vector<Address>;
    auto isOutdated(const MemberList& list) const -> bool;

    const StoreAgentOptions& options_;
    const MemberTable& members_;
    std::mt19937_64 random_;
    RetryPause writePause_;
    RetryPause searchPause_;
    bool writing_ = false;
    bool searching_ = false;
    TimePoint nextCheck_;
    TimePoint nextSearch_;
    /// The own zone's object as last seen or written, and when.
    StoreObject current_;
    TimePoint currentSeenAt_ = TimePoint::min();
    /// The lease version under which this node has written the object; another one has to claim it.
    StoreVersion claimed_ = 0;
    StoreVersion sentClaim_ = 0;
    std::string sentValue_;
    std::vector<SeedAddress> found_;
    std::uint64_t written_ = 0;
};

} // namespace wagtailhead
