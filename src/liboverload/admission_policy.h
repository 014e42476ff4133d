/// Which requests of callers to refuse, before any work, while a service is short of capacity.
#pragma once

#include "shed_level.h"
#include "wagtailhead/clock.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>

namespace wagtailhead {

/// A request that arrives, as far as its admission depends on it.
struct AdmissionRequest {
    std::string_view route_;
    std::string_view account_; ///< Empty without one.
    int rank_ = 0; ///< 0 is the most important.
    int ranksBelow_ = 0; ///< Less important ranks in use.
    ShedLevel level_ = 0; ///< Of the service that is short of capacity and that the request leads to.
    double cost_ = 0; ///< At that service, in milliseconds of a slot; 0 if not known.
};

/// Decides on requests. Not thread safe.
class AdmissionPolicy {
public:
    virtual ~AdmissionPolicy() = default;

    /// Returns whether to refuse a request that arrives now. Call it for each request, also while nothing is
    /// short, so that the demand is known.
    virtual auto shouldRefuse(const AdmissionRequest& request, TimePoint now) -> bool = 0;
};

/// Refuses the same share of all requests of a rank.
class RankAdmission final : public AdmissionPolicy {
public:
    explicit RankAdmission(std::uint64_t seed)
        : random_(seed)
    {
    }

    auto shouldRefuse(const AdmissionRequest& request, TimePoint now) -> bool override;

private:
    std::mt19937_64 random_;
};

/// Refuses, within a rank, the requests that cost most at the short service, so that its capacity serves most
/// requests, and among requests of about the same cost those of the accounts that ask for more than their
/// fair share. Only requests that lead to a short service count. Costs and demand are those of the node's own
/// callers; the share to refuse is the same on all nodes, so no messages are needed.
class CostAdmission final : public AdmissionPolicy {
public:
    explicit CostAdmission(std::uint64_t seed)
        : random_(seed)
    {
    }

    auto shouldRefuse(const AdmissionRequest& request, TimePoint now) -> bool override;

private:
    /// Expected work of recent requests, fading.
    struct Demand {
        double work_ = 0;
        TimePoint updated_;
    };
    /// Requests of about the same cost.
    struct CostClass {
        Demand demand_;
        double share_ = 0; ///< Of its work to be refused, by the level of the newest request.
        std::map<std::string, Demand, std::less<>> accounts_;
    };
    using Rank = std::map<int, CostClass>; ///< By the logarithm of the cost.

    static auto add(Demand& demand, double work, TimePoint now) -> void;
    static auto workOf(const Demand& demand, TimePoint now) -> double;
    /// Returns the share of a class's work to refuse, after all that can be refused of dearer classes.
    static auto classShare(const Rank& rank, int costClass, TimePoint now) -> double;
    /// Returns the share of an account's requests to refuse if `share` of the work of its class is to be
    /// refused.
    static auto accountShare(
        const CostClass& costClass, std::string_view account, double share, TimePoint now) -> double;
    auto forgetIdle(TimePoint now) -> void;

    std::mt19937_64 random_;
    std::map<int, Rank> ranks_;
    TimePoint nextSweep_;
};

} // namespace wagtailhead
