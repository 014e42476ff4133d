#include "wagtailhead/store_client.h"

#include "store_wire.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace wagtailhead {

namespace {

constexpr std::size_t maxValueBytes = 1'000'000;

auto isKeyCharacter(char c) -> bool
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' || c == '_' || c == '-';
}

auto invalid(std::string text) -> StoreFailure
{
    return { { ErrorCode::InvalidArgument, std::move(text) }, std::nullopt };
}

auto isWrite(StoreCommand::Verb verb) -> bool
{
    using Verb = StoreCommand::Verb;
    return verb == Verb::Create || verb == Verb::Replace || verb == Verb::Remove;
}

/// Returns what is wrong with a command, or nothing.
auto check(const StoreCommand& command) -> std::optional<StoreFailure>
{
    using Verb = StoreCommand::Verb;
    const bool named = command.verb_ != Verb::List && command.verb_ != Verb::Watch;
    if (named && !isStoreKey(command.key_)) {
        return invalid("store key '" + command.key_
            + "' is not made of '/'-separated parts of letters, digits, '.', '_' and '-'");
    }
    if (command.value_.size() > maxValueBytes) {
        return invalid("value of store key '" + command.key_ + "' has "
            + std::to_string(command.value_.size()) + " bytes, allowed are " + std::to_string(maxValueBytes));
    }
    return std::nullopt;
}

/// Turns the answer to a command into the result of one of the typed calls.
template <typename T> auto toResult(StoreAnswer answer) -> StoreResult<T>
{
    if (auto* value = std::get_if<T>(&answer)) {
        return std::move(*value);
    }
    return std::get<StoreFailure>(std::move(answer));
}

} // namespace

auto isStoreKey(std::string_view key) -> bool
{
    bool partOpen = false;
    for (const char c : key) {
        if (c == '/' ? !partOpen : !isKeyCharacter(c)) {
            return false;
        }
        partOpen = c != '/';
    }
    return partOpen;
}

class StoreClient::State {
public:
    State(HttpClient& http, StoreClientOptions options)
        : http_(http)
        , options_(std::move(options))
    {
    }

    auto count(const StoreCommand& command) -> void
    {
        auto& counter = isWrite(command.verb_)           ? writes_
            : command.verb_ == StoreCommand::Verb::Watch ? watches_
                                                         : reads_;
        ++counter;
    }

    auto count(const StoreAnswer& answer) -> void
    {
        const auto* failure = std::get_if<StoreFailure>(&answer);
        if (!failure) {
            return;
        }
        unavailable_ += failure->error_.code_ == ErrorCode::Unavailable ? 1 : 0;
        timeouts_ += failure->error_.code_ == ErrorCode::Timeout ? 1 : 0;
        conflicts_ += failure->error_.code_ == ErrorCode::Conflict ? 1 : 0;
    }

    HttpClient& http_;
    StoreClientOptions options_;
    std::atomic<std::uint64_t> reads_ = 0;
    std::atomic<std::uint64_t> writes_ = 0;
    std::atomic<std::uint64_t> watches_ = 0;
    std::atomic<std::uint64_t> unavailable_ = 0;
    std::atomic<std::uint64_t> timeouts_ = 0;
    std::atomic<std::uint64_t> conflicts_ = 0;
};

StoreClient::StoreClient(HttpClient& http, StoreClientOptions options)
    : state_(std::make_shared<State>(http, std::move(options)))
{
}

StoreClient::~StoreClient() = default;

auto StoreClient::run(const StoreCommand& command, std::function<void(StoreAnswer)> callback) -> void
{
    if (auto failure = check(command)) {
        callback(std::move(*failure));
        return;
    }
    state_->count(command);
    const auto timeout = state_->options_.timeout_ + command.wait_;
    state_->http_.send(state_->options_.address_, storeRequest(command), timeout,
        [state = state_, command, callback = std::move(callback)](const HttpResult& result) {
            auto answer = parseStoreAnswer(command, result);
            state->count(answer);
            callback(std::move(answer));
        });
}

auto StoreClient::get(const std::string& key, Callback<StoreObject> callback) -> void
{
    StoreCommand command;
    command.key_ = key;
    run(command, [callback = std::move(callback)](StoreAnswer answer) {
        callback(toResult<StoreObject>(std::move(answer)));
    });
}

auto StoreClient::list(const std::string& prefix, Callback<StoreListing> callback) -> void
{
    StoreCommand command;
    command.verb_ = StoreCommand::Verb::List;
    command.key_ = prefix;
    run(command, [callback = std::move(callback)](StoreAnswer answer) {
        callback(toResult<StoreListing>(std::move(answer)));
    });
}

auto StoreClient::create(const std::string& key, std::string value, Callback<StoreVersion> callback) -> void
{
    StoreCommand command;
    command.verb_ = StoreCommand::Verb::Create;
    command.key_ = key;
    command.value_ = std::move(value);
    run(command, [callback = std::move(callback)](StoreAnswer answer) {
        callback(toResult<StoreVersion>(std::move(answer)));
    });
}

auto StoreClient::replace(
    const std::string& key, StoreVersion expected, std::string value, Callback<StoreVersion> callback) -> void
{
    StoreCommand command;
    command.verb_ = StoreCommand::Verb::Replace;
    command.key_ = key;
    command.version_ = expected;
    command.value_ = std::move(value);
    run(command, [callback = std::move(callback)](StoreAnswer answer) {
        callback(toResult<StoreVersion>(std::move(answer)));
    });
}

auto StoreClient::remove(const std::string& key, StoreVersion expected, Callback<Done> callback) -> void
{
    StoreCommand command;
    command.verb_ = StoreCommand::Verb::Remove;
    command.key_ = key;
    command.version_ = expected;
    run(command, [callback = std::move(callback)](StoreAnswer answer) {
        if (auto* failure = std::get_if<StoreFailure>(&answer)) {
            callback(std::move(*failure));
        } else {
            callback(Done {});
        }
    });
}

auto StoreClient::watch(const std::vector<std::string>& prefixes, StoreVersion since, Duration wait,
    Callback<StoreListing> callback) -> void
{
    StoreCommand command;
    command.verb_ = StoreCommand::Verb::Watch;
    command.prefixes_ = prefixes;
    command.version_ = since;
    command.wait_ = wait;
    run(command, [callback = std::move(callback)](StoreAnswer answer) {
        callback(toResult<StoreListing>(std::move(answer)));
    });
}

auto StoreClient::counts() const -> StoreCallCounts
{
    return { state_->reads_, state_->writes_, state_->watches_, state_->unavailable_, state_->timeouts_,
        state_->conflicts_ };
}

} // namespace wagtailhead
