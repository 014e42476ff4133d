/// Keeps this node's entry in the store as it should be.
#pragma once

#include "wagtailhead/directory.h"
#include "wagtailhead/object_store.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace wagtailhead {

/// The kind under which nodes keep their entries.
constexpr auto nodeKind = "wagtailhead-nodes";

/// Encodes an entry as the value of its object.
auto entryText(const NodeEntry& entry) -> std::string;

/// Decodes the value of an object of kind nodeKind. The error names what is missing or mistyped.
auto parseEntry(const std::string& name, const std::string& text) -> Result<NodeEntry>;

/// Writes the entry whenever it changes; each write depends on the revision that was seen last, so that a
/// write that the store does late never replaces a newer one. All members run in the context's single
/// thread.
class EntryPublisher : public std::enable_shared_from_this<EntryPublisher> {
public:
    EntryPublisher(asio::io_context& context, ObjectStore& store);

    /// Writes `entry` until the store has it. `onWritten` runs when the store has confirmed this entry or a
    /// later one.
    auto publish(const NodeEntry& entry, std::function<void()> onWritten) -> void;

    /// Reads the object and writes it again if it is gone or says something else.
    auto check() -> void;

    /// Tells the revision of this node's object as a list or watch has shown it.
    auto onSeen(const StoredObject& object) -> void;
    /// The object does not exist.
    auto onMissing() -> void;

private:
    auto write() -> void;
    auto onResult(const std::string& text, std::variant<StoredObject, StoreError> result) -> void;
    auto read() -> void;
    auto pauseThen(void (EntryPublisher::*next)()) -> void;
    auto confirm() -> void;

    ObjectStore& store_;
    asio::steady_timer timer_;
    std::optional<NodeEntry> wanted_;
    std::string writtenText_; ///< What the store is known to hold.
    std::uint64_t revision_ = 0; ///< 0 if there is no object.
    std::vector<std::function<void()>> waiting_;
    bool busy_ = false;
};

} // namespace wagtailhead
