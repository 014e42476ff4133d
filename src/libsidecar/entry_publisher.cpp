#include "entry_publisher.h"

#include "wagtailhead/log.h"

#include <nlohmann/json.hpp>

namespace wagtailhead {

namespace {

/// The pause after a failed write; bounds the rate of paid calls during an outage of the store.
constexpr Duration retryPause = milliseconds(500);

auto readEntry(const nlohmann::json& json) -> Result<NodeEntry>
{
    NodeEntry entry;
    entry.node_ = json.at("node").get<std::string>();
    entry.zone_ = json.at("zone").get<std::string>();
    entry.region_ = json.at("region").get<std::string>();
    entry.service_ = json.at("service").get<std::string>();
    entry.capacity_ = json.at("capacity").get<int>();
    entry.backendId_ = json.at("backend").get<std::string>();
    entry.backendBornMs_ = json.at("born").get<std::uint64_t>();
    entry.accepting_ = json.at("accepting").get<bool>();
    entry.generation_ = json.at("generation").get<std::uint64_t>();
    const auto phase = parseBackendPhase(json.at("phase").get<std::string>());
    const auto link = parseAddress(json.at("link").get<std::string>());
    if (!phase || !isOk(link)) {
        return Error { ErrorCode::InvalidArgument, "node entry has no known phase or no valid link address" };
    }
    entry.phase_ = *phase;
    entry.link_ = valueOf(link);
    return entry;
}

/// Returns whether readers of the stored text would treat the node as the entry says. The generation only
/// orders entries, and each write is paid for.
auto saysTheSame(const NodeEntry& entry, const std::string& storedText) -> bool
{
    const auto stored = parseEntry(entry.node_, storedText);
    if (!isOk(stored)) {
        return false;
    }
    auto same = valueOf(stored);
    same.generation_ = entry.generation_;
    if (isLeaving(same.phase_) && isLeaving(entry.phase_)) {
        same.phase_ = entry.phase_;
    }
    return same == entry;
}

} // namespace

auto entryText(const NodeEntry& entry) -> std::string
{
    return nlohmann::json {
        { "node", entry.node_ }, { "zone", entry.zone_ }, { "region", entry.region_ },
        { "service", entry.service_ }, { "link", entry.link_.text() }, { "capacity", entry.capacity_ },
        { "backend", entry.backendId_ }, { "born", entry.backendBornMs_ },
        { "phase", backendPhaseName(entry.phase_) }, { "accepting", entry.accepting_ },
        { "generation", entry.generation_ }
    }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto parseEntry(const std::string& name, const std::string& text) -> Result<NodeEntry>
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return Error { ErrorCode::InvalidArgument, "node entry " + name + " is no JSON object" };
    }
    try {
        auto entry = readEntry(json);
        if (isOk(entry) && valueOf(entry).node_ != name) {
            return Error { ErrorCode::InvalidArgument, "node entry " + name + " names another node" };
        }
        return entry;
    } catch (const nlohmann::json::exception& error) {
        return Error { ErrorCode::InvalidArgument, "node entry " + name + ": " + error.what() };
    }
}

EntryPublisher::EntryPublisher(asio::io_context& context, ObjectStore& store)
    : store_(store)
    , timer_(context)
{
}

auto EntryPublisher::publish(const NodeEntry& entry, std::function<void()> onWritten) -> void
{
    wanted_ = entry;
    if (onWritten) {
        waiting_.push_back(std::move(onWritten));
    }
    if (!busy_) {
        write();
    }
}

auto EntryPublisher::check() -> void
{
    if (!busy_ && wanted_) {
        busy_ = true;
        read();
    }
}

auto EntryPublisher::onSeen(const StoredObject& object) -> void
{
    if (!busy_ && object.revision_ > revision_) {
        revision_ = object.revision_;
        writtenText_ = object.value_;
    }
}

auto EntryPublisher::onMissing() -> void
{
    if (!busy_) {
        revision_ = 0;
        writtenText_.clear();
    }
}

auto EntryPublisher::confirm() -> void
{
    for (const auto& callback : std::exchange(waiting_, {})) {
        callback();
    }
}

auto EntryPublisher::write() -> void
{
    busy_ = false;
    if (!wanted_) {
        return;
    }
    auto text = entryText(*wanted_);
    if (revision_ != 0 && saysTheSame(*wanted_, writtenText_)) {
        confirm();
        return;
    }
    busy_ = true;
    auto onDone = [self = shared_from_this(), text](std::variant<StoredObject, StoreError> result) {
        self->onResult(text, std::move(result));
    };
    if (revision_ == 0) {
        store_.create(nodeKind, wanted_->node_, text, onDone);
    } else {
        store_.replace(nodeKind, { wanted_->node_, revision_, text }, onDone);
    }
}

auto EntryPublisher::onResult(const std::string& text, std::variant<StoredObject, StoreError> result) -> void
{
    if (const auto* object = std::get_if<StoredObject>(&result)) {
        revision_ = object->revision_;
        writtenText_ = text;
        write(); // The entry may have changed meanwhile.
        return;
    }
    const auto error = std::get<StoreError>(result);
    logEvent(LogLevel::Warning, "entry_write_failed", { { "error", storeErrorName(error) } });
    if (error == StoreError::Conflict || error == StoreError::NotFound) {
        read();
    } else {
        pauseThen(error == StoreError::NoAnswer ? &EntryPublisher::read : &EntryPublisher::write);
    }
}

auto EntryPublisher::read() -> void
{
    store_.get(
        nodeKind, wanted_->node_, [self = shared_from_this()](std::variant<StoredObject, StoreError> result) {
            if (const auto* object = std::get_if<StoredObject>(&result)) {
                self->revision_ = object->revision_;
                self->writtenText_ = object->value_;
                self->write();
            } else if (std::get<StoreError>(result) == StoreError::NotFound) {
                self->revision_ = 0;
                self->writtenText_.clear();
                self->write();
            } else {
                self->pauseThen(&EntryPublisher::read);
            }
        });
}

auto EntryPublisher::pauseThen(void (EntryPublisher::*next)()) -> void
{
    timer_.expires_after(retryPause);
    timer_.async_wait([self = shared_from_this(), next](const asio::error_code& error) {
        if (!error) {
            (self.get()->*next)();
        }
    });
}

} // namespace wagtailhead
