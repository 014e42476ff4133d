/// The configuration in force at this node.
#pragma once

#include "wagtailhead/config_documents.h"
#include "wagtailhead/versioned_items.h"

#include <map>
#include <memory>
#include <mutex>

namespace wagtailhead {

/// An immutable snapshot of all documents in force. A kind that has not been received has no value.
struct ActiveConfig {
    std::optional<ClassesConfig> classes_;
    std::optional<LinksConfig> links_;
    RetriesConfig retries_;
    LimitsConfig limits_;
    LeavingConfig leaving_;
    LostConfig lost_;
    /// Generation in force by kind; absent for kinds that have not been received.
    std::map<ConfigKind, std::uint64_t> generations_;

    /// Returns whether the node knows enough to accept operations that run at most once.
    auto isComplete() const -> bool;

    /// Returns how a request is treated. Without classes everything has the lowest priority and is not
    /// repeated.
    auto classify(std::string_view service, std::string_view method, std::string_view path) const
        -> Classification;
};

/// Holds the current snapshot and follows newer documents. Thread safe.
class ConfigView {
public:
    using Listener = std::function<void(const std::shared_ptr<const ActiveConfig>&)>;

    ConfigView();

    auto current() const -> std::shared_ptr<const ActiveConfig>;

    /// Puts a document in force if it is valid and newer. An invalid document is logged and ignored.
    auto apply(const VersionedItem& item) -> void;

    /// Subscribes to the `config/` items of a table. Call before threads start.
    auto follow(ItemTable& items) -> void;

    /// Calls `listener` after each change, in the thread that applied it. Call before threads start.
    auto onChange(Listener listener) -> void;

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const ActiveConfig> current_;
    std::vector<Listener> listeners_;
};

} // namespace wagtailhead
