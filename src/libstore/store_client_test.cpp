/// Contract of the store client against a tiny store on HttpServer.
#include "wagtailhead/store_client.h"

#include "fake_store.h"
#include "http_test_support.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <condition_variable>
#include <criterion/criterion.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

using namespace wagtailhead;

namespace {

constexpr Duration generousTimeout = seconds(30);
constexpr int statusUnavailable = 503;

/// What the tiny store does with the next calls.
enum class Fault : std::uint8_t {
    None,
    Refuse, ///< Answers 503.
    Error, ///< Answers 500 after the effect.
    Silence, ///< Neither effect nor answer.
    LoseAnswer, ///< Effect without an answer.
    Garble, ///< Effect and an answer that is no JSON.
};

auto textOf(const StoreObject& object) -> std::string
{
    return R"({"key":")" + object.key_ + R"(","version":)" + std::to_string(object.version_) + R"(,"value":)"
        + object.value_ + "}";
}

/// The object API over HTTP in one thread with the client.
class TinyStore {
public:
    TinyStore()
    {
        HttpServerOptions options;
        options.listen_ = { "127.0.0.1", 0 };
        auto opened = HttpServer::open(
            context_, options, [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                answer(request, std::move(responder));
            });
        cr_assert(isOk(opened), "%s", errorOf(opened).text_.c_str());
        server_ = valueOf(std::move(opened));
        http_ = HttpClient::create(context_, {});
        client_
            = std::make_unique<StoreClient>(*http_, StoreClientOptions { server_->address(), seconds(1) });
        thread_ = std::thread([this] {
            context_.run();
        });
    }
    ~TinyStore()
    {
        context_.stop();
        thread_.join();
    }
    TinyStore(const TinyStore&) = delete;
    auto operator=(const TinyStore&) -> TinyStore& = delete;

    /// Makes a call and waits for its answer.
    auto call(const StoreCommand& command) -> StoreAnswer
    {
        std::mutex mutex;
        std::condition_variable ready;
        std::optional<StoreAnswer> answer;
        client_->run(command, [&](StoreAnswer given) {
            const std::lock_guard lock(mutex);
            answer = std::move(given);
            ready.notify_one();
        });
        std::unique_lock lock(mutex);
        cr_assert(ready.wait_for(lock, generousTimeout, [&] {
            return answer.has_value();
        }));
        return *answer;
    }

    auto write(StoreCommand::Verb verb, const std::string& key, StoreVersion version,
        const std::string& value) -> StoreAnswer
    {
        StoreCommand command;
        command.verb_ = verb;
        command.key_ = key;
        command.version_ = version;
        command.value_ = value;
        return call(command);
    }

    std::atomic<Fault> fault_ = Fault::None;
    FakeStore store_; ///< Used in the context's thread while calls are outstanding.
    asio::io_context context_;
    std::unique_ptr<HttpServer> server_;
    std::unique_ptr<HttpClient> http_;
    std::unique_ptr<StoreClient> client_;

private:
    static auto parse(const HttpRequest& request) -> StoreCommand
    {
        using Verb = StoreCommand::Verb;
        const std::string objects = "/v1/objects/";
        StoreCommand command;
        const auto& target = request.target_;
        if (target.starts_with(objects)) {
            command.key_ = target.substr(objects.size());
            command.value_ = request.body_;
            const auto expected = findHeader(request.headers_, "If-Match");
            command.version_ = expected ? std::stoull(*expected) : 0;
            const bool create = findHeader(request.headers_, "If-None-Match") == "*";
            command.verb_ = request.method_ == "GET" ? Verb::Get
                : request.method_ == "DELETE"        ? Verb::Remove
                : create                             ? Verb::Create
                                                     : Verb::Replace;
            return command;
        }
        const auto value = [&](const std::string& name) {
            const auto at = target.find(name + "=");
            const auto begin = at + name.size() + 1;
            return target.substr(begin, target.find('&', begin) - begin);
        };
        command.verb_ = target.starts_with("/v1/watch") ? Verb::Watch : Verb::List;
        command.key_ = value("prefix");
        if (command.verb_ == Verb::Watch) {
            const auto prefixes = command.key_;
            for (std::size_t begin = 0; begin <= prefixes.size();) {
                const auto end = std::min(prefixes.find(',', begin), prefixes.size());
                command.prefixes_.push_back(prefixes.substr(begin, end - begin));
                begin = end + 1;
            }
            command.version_ = std::stoull(value("since"));
        }
        return command;
    }

    static auto format(const StoreCommand& command, const StoreAnswer& answer) -> HttpResponse
    {
        if (const auto* object = std::get_if<StoreObject>(&answer)) {
            return { 200, {}, textOf(*object) };
        }
        if (const auto* version = std::get_if<StoreVersion>(&answer)) {
            return { 200, {}, R"({"version":)" + std::to_string(*version) + "}" };
        }
        if (const auto* listing = std::get_if<StoreListing>(&answer)) {
            std::string objects;
            for (const auto& object : listing->objects_) {
                objects += (objects.empty() ? "" : ",") + textOf(object);
            }
            const nlohmann::json deleted(listing->deleted_);
            return { 200, {},
                R"({"version":)" + std::to_string(listing->version_) + R"(,"objects":[)" + objects
                    + R"(],"deleted":)" + deleted.dump() + "}" };
        }
        const auto& failure = std::get<StoreFailure>(answer);
        if (failure.error_.code_ == ErrorCode::NotFound) {
            return { 404, {}, {} };
        }
        return { 412, {}, textOf(failure.current_.value_or(StoreObject { command.key_, 0, "null" })) };
    }

    auto answer(const HttpRequest& request, std::shared_ptr<HttpResponder> responder) -> void
    {
        const auto fault = fault_.load();
        if (fault == Fault::Refuse) {
            responder->respond({ statusUnavailable, {}, {} });
            return;
        }
        if (fault == Fault::Silence) {
            held_.push_back(std::move(responder));
            return;
        }
        const auto command = parse(request);
        auto response = format(command, store_.run(command));
        if (fault == Fault::LoseAnswer) {
            held_.push_back(std::move(responder));
        } else if (fault == Fault::Error) {
            responder->respond({ 500, {}, {} });
        } else {
            response.body_ = fault == Fault::Garble ? "{" : response.body_;
            responder->respond(std::move(response));
        }
    }

    asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(context_);
    std::vector<std::shared_ptr<HttpResponder>> held_;
    std::thread thread_;
};

auto failureOf(const StoreAnswer& answer) -> const StoreFailure&
{
    cr_assert(std::holds_alternative<StoreFailure>(answer));
    return std::get<StoreFailure>(answer);
}

auto codeOf(const StoreAnswer& answer) -> ErrorCode
{
    return failureOf(answer).error_.code_;
}

using Verb = StoreCommand::Verb;

} // namespace

/// Guards against conditions that are not sent or misread, and conflicts without the current object.
Test(store_client, conditional_writes_tell_conflict_from_success)
{
    TinyStore tiny;
    const auto created = tiny.write(Verb::Create, "config/classes", 0, R"({"b":1,"a":[1.5,"x"]})");
    cr_assert(std::holds_alternative<StoreVersion>(created));
    const auto version = std::get<StoreVersion>(created);
    const auto second = failureOf(tiny.write(Verb::Create, "config/classes", 0, "2"));
    cr_assert_eq(second.error_.code_, ErrorCode::Conflict);
    cr_assert(second.current_ == StoreObject({ "config/classes", version, R"({"b":1,"a":[1.5,"x"]})" }));
    const auto replaced = tiny.write(Verb::Replace, "config/classes", version, "3");
    cr_assert(std::get<StoreVersion>(replaced) > version);
    const auto late = failureOf(tiny.write(Verb::Remove, "config/classes", version, ""));
    cr_assert_eq(late.error_.code_, ErrorCode::Conflict);
    cr_assert_eq(late.current_->value_, "3");
    cr_assert(!failureOf(tiny.write(Verb::Replace, "config/none", 1, "4")).current_);
    cr_assert(std::holds_alternative<StoreVersion>(
        tiny.write(Verb::Remove, "config/classes", std::get<StoreVersion>(replaced), "")));
    StoreCommand get;
    get.key_ = "config/classes";
    cr_assert_eq(codeOf(tiny.call(get)), ErrorCode::NotFound);
}

/// Guards against lost changes and deletions in listings and watches.
Test(store_client, listings_and_watches_give_objects_and_deleted_keys)
{
    TinyStore tiny;
    tiny.write(Verb::Create, "config/a", 0, "1");
    const auto b = std::get<StoreVersion>(tiny.write(Verb::Create, "shards/b", 0, "2"));
    tiny.write(Verb::Create, "leases/c", 0, "3");
    StoreCommand list;
    list.verb_ = Verb::List;
    list.key_ = "config/";
    const auto listing = std::get<StoreListing>(tiny.call(list));
    cr_assert_eq(listing.version_, 3);
    cr_assert_eq(listing.objects_.size(), 1);
    tiny.write(Verb::Remove, "shards/b", b, "");
    StoreCommand watch;
    watch.verb_ = Verb::Watch;
    watch.prefixes_ = { "config/", "shards/" };
    watch.version_ = 1;
    watch.wait_ = milliseconds(50);
    const auto changes = std::get<StoreListing>(tiny.call(watch));
    cr_assert_eq(changes.version_, 4);
    cr_assert(changes.objects_.empty());
    cr_assert(changes.deleted_ == std::vector<std::string> { "shards/b" });
    cr_assert_eq(tiny.client_->counts().watches_, 1);
}

/// Guards against an unknown effect that is reported as none, which would let a caller write twice, and
/// against the reverse.
Test(store_client, failures_say_whether_a_write_may_have_taken_effect)
{
    struct Row {
        Fault fault_;
        ErrorCode write_;
        ErrorCode read_;
        bool effect_;
    };
    static constexpr std::array rows {
        Row { Fault::Refuse, ErrorCode::Unavailable, ErrorCode::Unavailable, false },
        Row { Fault::Error, ErrorCode::Timeout, ErrorCode::Unavailable, true },
        Row { Fault::Silence, ErrorCode::Timeout, ErrorCode::Timeout, false },
        Row { Fault::LoseAnswer, ErrorCode::Timeout, ErrorCode::Timeout, true },
        Row { Fault::Garble, ErrorCode::Timeout, ErrorCode::Unavailable, true },
    };
    for (const auto& row : rows) {
        TinyStore tiny;
        tiny.fault_ = row.fault_;
        const auto index = static_cast<int>(row.fault_);
        cr_expect_eq(codeOf(tiny.write(Verb::Create, "k", 0, "1")), row.write_, "fault %d", index);
        StoreCommand get;
        get.key_ = "k";
        cr_expect_eq(codeOf(tiny.call(get)), row.read_, "fault %d", index);
        cr_expect_eq(tiny.store_.find("k") != nullptr, row.effect_, "fault %d", index);
    }
}

/// Guards against part of an answer, or one with a broken head, from which a write is said to have taken
/// effect or not.
Test(store_client, a_broken_answer_leaves_the_effect_of_a_write_open)
{
    struct BrokenAnswer {
        const char* name_;
        std::string bytes_;
        bool reset_ = true;
    };
    const BrokenAnswer answers[] = {
        { "success without a length", "HTTP/1.1 200 OK\r\n\r\n{\"version\":7}" },
        { "refusal without a length", "HTTP/1.1 503 Busy\r\n\r\n" },
        { "conflict without a length", "HTTP/1.1 412 Conflict\r\n\r\n{}" },
        { "status 000", "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", false },
        { "blank in a name", "HTTP/1.1 503 Busy\r\nRetry After: 1\r\nContent-Length: 0\r\n\r\n", false },
        { "part of its length", "HTTP/1.1 400 Bad\r\nContent-Length: 5\r\n\r\nbody", false },
    };
    for (const auto& answer : answers) {
        testing::RunningContext running;
        testing::ScriptedServer server([&](testing::RawConnection& peer) {
            peer.receive();
            peer.send(answer.bytes_);
            if (answer.reset_) {
                peer.resetOnClose();
                peer.close();
            }
        });
        const auto http = HttpClient::create(running.context_, {});
        StoreClient client(*http, { server.address(), generousTimeout });
        std::promise<StoreResult<StoreVersion>> promise;
        client.create("k", "1", [&](StoreResult<StoreVersion> result) {
            promise.set_value(std::move(result));
        });
        const auto result = promise.get_future().get();
        const auto* failure = std::get_if<StoreFailure>(&result);
        cr_expect(failure != nullptr && failure->error_.code_ == ErrorCode::Timeout, "%s", answer.name_);
    }
}

/// Guards against a store that is down being taken for one that may have written.
Test(store_client, a_refused_connection_is_unavailable)
{
    TinyStore tiny;
    StoreClient other(*tiny.http_, { { "127.0.0.1", 1 }, seconds(1) });
    std::mutex mutex;
    std::condition_variable ready;
    std::optional<StoreResult<StoreVersion>> result;
    other.create("k", "1", [&](StoreResult<StoreVersion> given) {
        const std::lock_guard lock(mutex);
        result = std::move(given);
        ready.notify_one();
    });
    std::unique_lock lock(mutex);
    cr_assert(ready.wait_for(lock, generousTimeout, [&] {
        return result.has_value();
    }));
    cr_assert_eq(std::get<StoreFailure>(*result).error_.code_, ErrorCode::Unavailable);
}

/// Guards against keys that would change the path of the request, and values the store refuses.
Test(store_client, bad_keys_and_large_values_are_refused_before_a_call)
{
    TinyStore tiny;
    for (const auto* key : { "", "/a", "a/", "a//b", "a b", "a?b", "a/%2e" }) {
        cr_expect_eq(
            codeOf(tiny.write(Verb::Create, key, 0, "1")), ErrorCode::InvalidArgument, "key '%s'", key);
    }
    cr_expect_eq(
        codeOf(tiny.write(Verb::Create, "k", 0, std::string(1'000'001, '1'))), ErrorCode::InvalidArgument);
    cr_expect_eq(tiny.client_->counts().writes_, 0);
}
