/// Contract tests of the administration API against a store in memory.
#include "admin_api.h"
#include "control_test_support.h"

#include <asio/post.hpp>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace wagtailhead;
using namespace wagtailhead::testing;

namespace {

constexpr auto allToken = "token-of-everything";
constexpr auto shopToken = "token-of-the-shop";
constexpr auto leaveK1 = R"({"kind":"leaving","add":["k1"]})";

/// The store in memory behind the asynchronous interface.
class AsyncStore final : public ConfigStore {
public:
    explicit AsyncStore(asio::io_context& context)
        : context_(context)
    {
    }

    auto read(const std::string& key, std::function<void(ConfigReadResult)> callback) -> void override
    {
        asio::post(context_, [this, key, callback = std::move(callback)] {
            callback(memory_.read(key));
        });
    }
    auto write(const std::string& key, const std::string& value, std::optional<std::uint64_t> version,
        std::function<void(ConfigWriteResult)> callback) -> void override
    {
        asio::post(
            context_, [this, request = ConfirmWrite { key, value, version }, callback = std::move(callback)] {
                callback(memory_.write(request));
            });
    }
    auto remove(const std::string& key, std::uint64_t) -> void override
    {
        removed_.push_back(key);
    }
    auto list(const std::string& prefix, std::function<void(ConfigListResult)> callback) -> void override
    {
        asio::post(context_, [this, prefix, callback = std::move(callback)] {
            callback(memory_.down_ ? ConfigListResult(ConfigStoreUnavailable {})
                                   : ConfigListResult(memory_.list(prefix)));
        });
    }

    MemoryStore memory_;
    std::vector<std::string> removed_;

private:
    asio::io_context& context_;
};

class KeptAnswer final : public HttpResponder {
public:
    auto respond(HttpResponse response) -> void override
    {
        response_ = std::move(response);
    }
    auto onCallerGone(std::function<void()>) -> void override { }

    std::optional<HttpResponse> response_;
};

struct ApiAnswer {
    int status_ = 0;
    nlohmann::json body_;
    std::string text_;
};

/// The API of one node of the small mesh.
class Api {
public:
    Api()
        : store_(context_)
        , intents_({ store_, items_, config_, members_,
                       [this] {
                           return world_.shards_;
                       },
                       [this](const StatusCollector::MeshCallback& callback) {
                           asio::post(context_, [callback] {
                               callback({});
                           });
                       } },
              1)
        , api_({ intents_, config_,
                   [](const std::function<void(const nlohmann::json&)>& callback) {
                       callback({ { "zones", nlohmann::json::array() } });
                   } },
              valueOf(
                  parseOperatorTeams(std::string("all=") + allToken + ":*,shop=" + shopToken + ":katalogs")))
    {
        config_.follow(items_);
        members_.replace(smallMesh());
        put(ConfigKind::Leaving, R"({"generation":1,"nodes":[]})");
        put(ConfigKind::Retries, R"({"generation":1})");
    }

    auto put(ConfigKind kind, const std::string& document) -> void
    {
        store_.memory_.put(configKey(kind), document);
        items_.apply({ configKey(kind), valueOf(parseGeneration(document)), document });
    }

    auto send(const std::string& method, const std::string& path, const std::string& body = {},
        const std::string& token = allToken) -> ApiAnswer
    {
        HttpRequest request { method, "/-/admin/" + path, {}, body };
        if (!token.empty()) {
            request.headers_.emplace_back("authorization", "Bearer " + token);
        }
        const auto responder = std::make_shared<KeptAnswer>();
        api_.handle(request, responder);
        context_.restart();
        context_.run();
        cr_assert(responder->response_.has_value(), "%s %s has no answer", method.c_str(), path.c_str());
        const auto& response = *responder->response_;
        return { response.status_, nlohmann::json::parse(response.body_), response.body_ };
    }

    /// Plans an intent and returns its id.
    auto plan(const std::string& intent, const std::string& token = allToken) -> std::string
    {
        const auto answer = send("POST", "intents", intent, token);
        cr_assert_eq(answer.status_, 201, "%s", answer.text_.c_str());
        return answer.body_["id"];
    }

    auto confirm(const std::string& id, const std::string& body = {}, const std::string& token = allToken)
        -> ApiAnswer
    {
        return send("POST", "intents/" + id + "/confirm", body, token);
    }

    asio::io_context context_;
    AsyncStore store_;
    ItemTable items_;
    ConfigView config_;
    MemberTable members_;
    PlanWorld world_;
    IntentService intents_;
    AdminApi api_;
};

struct RefusedRequest {
    const char* method_;
    const char* path_;
    const char* body_;
    const char* token_;
    int status_;
    const char* error_;
};

auto isRefused(const ApiAnswer& answer, int status, const std::string& error) -> bool
{
    return answer.status_ == status && answer.body_["error"] == error && answer.body_["detail"].is_string();
}

} // namespace

/// Guards against requests that are let through without right, or refused without a reason for programs.
Test(admin_api, refusals_carry_status_code_and_detail)
{
    const auto unknownId = "0123456789abcdef";
    const std::string confirmUnknown = std::string("intents/") + unknownId + "/confirm";
    const std::string showUnknown = std::string("intents/") + unknownId;
    const RefusedRequest cases[] = {
        { "GET", "status", "", "", 401, "unauthorized" },
        { "GET", "status", "", "token-of-everythinG", 401, "unauthorized" },
        { "POST", "intents", leaveK1, "", 401, "unauthorized" },
        { "GET", "nothing", "", "", 401, "unauthorized" },
        { "GET", "nothing", "", allToken, 404, "not-found" },
        { "DELETE", "intents", "", allToken, 404, "not-found" },
        { "GET", "config/unknown", "", allToken, 404, "not-found" },
        { "GET", "history/unknown", "", allToken, 404, "not-found" },
        { "GET", "intents/..%2Fconfig", "", allToken, 404, "not-found" },
        { "GET", "intents/../config/retries", "", allToken, 404, "not-found" },
        { "GET", showUnknown.c_str(), "", allToken, 404, "not-found" },
        { "POST", confirmUnknown.c_str(), "", allToken, 404, "not-found" },
        { "POST", confirmUnknown.c_str(), R"({"force":1})", allToken, 422, "invalid-intent" },
        { "POST", confirmUnknown.c_str(), R"({"Force":true})", allToken, 422, "invalid-intent" },
        { "POST", "intents", "{", allToken, 422, "invalid-intent" },
        { "POST", "intents", R"({"kind":"retries","document":{"allowance":-1}})", allToken, 422,
            "invalid-intent" },
        { "POST", "intents", R"({"kind":"retries","document":{}})", allToken, 422, "no-change" },
        { "POST", "intents", R"({"kind":"leaving","add":["x"]})", allToken, 422, "unknown-node" },
        { "POST", "intents", R"({"kind":"retries","document":{"allowance":1}})", shopToken, 403,
            "forbidden" },
        { "POST", "intents", R"({"kind":"leaving","add":["s1"]})", shopToken, 403, "forbidden" },
        { "POST", "intents", R"({"kind":"retries","document":{"allowance":1,"generation":7}})", allToken, 409,
            "base-changed" },
        { "POST", "intents", R"({"kind":"declare-lost","nodes":["k1"]})", allToken, 409, "node-alive" },
    };
    Api api;
    for (const auto& [method, path, body, token, status, error] : cases) {
        const auto answer = api.send(method, path, body, token);
        cr_assert(isRefused(answer, status, error), "%s %s %s: %d %s", method, path, body, answer.status_,
            answer.text_.c_str());
    }
    cr_assert(api.store_.memory_.list("intents/").empty());
}

/// Guards against a token in any answer.
Test(admin_api, answers_never_contain_tokens)
{
    Api api;
    const auto id = api.plan(leaveK1, shopToken);
    for (const auto& path :
        { std::string("intents"), "intents/" + id, std::string("config"), std::string("config/leaving"),
            std::string("history/leaving"), std::string("status"), std::string("x") }) {
        const auto answer = api.send("GET", path);
        cr_assert(answer.text_.find("token-of") == std::string::npos, "%s", answer.text_.c_str());
    }
    const auto wrong = api.send("GET", "status", "", "token-of-nobody");
    cr_assert(wrong.text_.find("token-of") == std::string::npos);
}

/// Guards against effects before the confirm, and against a confirmed change that does not spread.
Test(admin_api, a_plan_takes_effect_when_it_is_confirmed)
{
    Api api;
    const auto id = api.plan(leaveK1, shopToken);
    const auto shown = api.send("GET", "intents/" + id);
    cr_assert_eq(shown.status_, 200);
    cr_assert(shown.body_["state"] == "open");
    for (const auto* field :
        { "id", "kind", "team", "created", "expires", "summary", "baseGeneration", "generation", "changes",
            "services", "zones", "servers", "capacity", "effects", "warnings", "refusals" }) {
        cr_assert(shown.body_.contains(field), "%s is missing", field);
    }
    cr_assert(api.config_.current()->leaving_.nodes_.empty());
    const auto confirmed = api.confirm(id, "{}", shopToken);
    cr_assert_eq(confirmed.status_, 200, "%s", confirmed.text_.c_str());
    cr_assert_eq(confirmed.body_["generation"], 2);
    cr_assert_eq(confirmed.body_["repeated"], false);
    cr_assert(api.config_.current()->leaving_.nodes_ == std::vector<std::string> { "k1" });
    const auto again = api.confirm(id);
    cr_assert_eq(again.status_, 200);
    cr_assert_eq(again.body_["repeated"], true);
    cr_assert_eq(again.body_["generation"], 2);
    cr_assert(api.send("GET", "intents/" + id).body_["state"] == "confirmed");
    const auto history = api.send("GET", "history/leaving").body_["history"];
    cr_assert_eq(history.size(), 1);
    cr_assert(history[0]["team"] == "shop" && history[0]["intent"] == id && history[0]["generation"] == 2);
    const auto config = api.send("GET", "config/leaving").body_;
    cr_assert(config["generation"] == 2 && config["inForce"] == true);
    cr_assert(config["document"] == nlohmann::json({ { "generation", 2 }, { "nodes", { "k1" } } }));
}

/// Guards against a second winner, and a loser who is not told by whom the document was changed.
Test(admin_api, the_second_of_two_operators_is_told_what_changed)
{
    Api api;
    const auto first = api.plan(leaveK1, shopToken);
    const auto second = api.plan(R"({"kind":"leaving","add":["k2"]})");
    cr_assert_eq(api.confirm(first, "", shopToken).status_, 200);
    const auto refused = api.confirm(second);
    cr_assert(isRefused(refused, 409, "base-changed"), "%s", refused.text_.c_str());
    cr_assert_eq(refused.body_["generation"], 2);
    cr_assert(refused.body_["changedSince"][0]["team"] == "shop");
    cr_assert(refused.body_["changedSince"][0]["intent"] == first);
    cr_assert(api.send("GET", "intents/" + second).body_["state"] == "outdated");
    cr_assert(api.config_.current()->leaving_.nodes_ == std::vector<std::string> { "k1" });
}

/// Guards against an emptied service without force, and force that does more than that.
Test(admin_api, emptying_a_service_needs_force)
{
    Api api;
    const auto planned = api.send("POST", "intents", R"({"kind":"leaving","add":["s1"]})");
    cr_assert(planned.body_["refusals"][0]["service"] == "krajums");
    const auto id = planned.body_["id"].get<std::string>();
    const auto refused = api.confirm(id);
    cr_assert(isRefused(refused, 409, "service-empty"), "%s", refused.text_.c_str());
    cr_assert(refused.body_["services"] == nlohmann::json({ "krajums" }));
    cr_assert(isRefused(api.confirm(id, R"({"force":false})"), 409, "service-empty"));
    cr_assert(isRefused(api.confirm(id, R"({"force":true})", shopToken), 403, "forbidden"));
    cr_assert(api.config_.current()->leaving_.nodes_.empty());
    cr_assert_eq(api.confirm(id, R"({"force":true})").status_, 200);
    cr_assert(api.config_.current()->leaving_.nodes_ == std::vector<std::string> { "s1" });
}

/// Guards against wrong reports about writes whose answer the store lost, and about an absent store.
Test(admin_api, store_faults)
{
    Api api;
    const auto id = api.plan(leaveK1);
    api.store_.memory_.down_ = true;
    cr_assert(isRefused(api.confirm(id), 503, "store-unavailable"));
    cr_assert(isRefused(api.send("POST", "intents", leaveK1), 503, "store-unavailable"));
    cr_assert(isRefused(api.send("GET", "intents"), 503, "store-unavailable"));
    cr_assert(isRefused(api.send("GET", "intents/" + id), 503, "store-unavailable"));
    // What is in force is known without the store.
    cr_assert_eq(api.send("GET", "config/leaving").status_, 200);
    cr_assert_eq(api.send("GET", "history/leaving").status_, 200);
    cr_assert_eq(api.send("GET", "status").status_, 200);
    api.store_.memory_.down_ = false;
    api.store_.memory_.loseAnswers_ = 1;
    const auto confirmed = api.confirm(id);
    cr_assert_eq(confirmed.status_, 200, "%s", confirmed.text_.c_str());
    cr_assert_eq(confirmed.body_["repeated"], true);
    api.store_.memory_.loseAnswers_ = 1;
    const auto kept = api.plan(R"({"kind":"leaving","add":["k2"]})");
    cr_assert_eq(api.send("GET", "intents/" + kept).status_, 200);
}

/// Guards against plans piling up in the store, and against the removal of plans that can be confirmed.
Test(admin_api, listing_removes_plans_of_the_past)
{
    Api api;
    const auto id = api.plan(leaveK1);
    keepPlan(api.store_.memory_, R"({"kind":"retries","document":{"allowance":1}})", "00000000000000aa",
        worldOf(smallMesh()), WallClock::now() - planLife - seconds(1));
    const auto list = api.send("GET", "intents").body_["intents"];
    cr_assert_eq(list.size(), 1);
    cr_assert(list[0]["id"] == id);
    cr_assert(api.store_.removed_ == std::vector<std::string> { "intents/00000000000000aa" });
}
