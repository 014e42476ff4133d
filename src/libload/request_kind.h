/// The kinds of requests that callers of each deployment send.
#pragma once

#include "wagtailhead/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead::load {

struct RequestKind {
    std::string name_;
    std::string method_;
    std::string service_;
    std::string path_; ///< Behind the service name; "{}" stands for the id of an item.
    bool keyed_ = false; ///< The operation runs at most once and needs an idempotency key.
    int weight_ = 0; ///< Share in the mix, relative to the other kinds.
};

using RequestKinds = std::vector<RequestKind>;

/// Returns the kinds of deployment "perlu" or "lindqvist" with the default mix.
auto kindsOf(std::string_view deployment) -> Result<RequestKinds>;

/// Returns the position of the kind with this name, or -1.
auto findKind(const RequestKinds& kinds, std::string_view name) -> int;

} // namespace wagtailhead::load
