#include "backend_answer.h"

#include "wagtailhead/ids.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace wagtailhead;
using namespace wagtailhead::standin;

namespace {

const CallIdentity identity { "k1", "node-1/7", "critical", "r1", "POST", "/orders" };

} // namespace

/// Guards against an answer from which a caller cannot tell that it belongs to its own request.
Test(backend_answer, echoes_the_request_and_its_sub_calls)
{
    const SubCallOutcome outcome { { "GET", "katalogs", "/items" }, 200, 2, "completed", "" };
    const auto answer = nlohmann::json::parse(backendAnswer("pasutijumi", identity, "body", { outcome }, 0));
    cr_assert_eq(answer.at("service"), "pasutijumi");
    cr_assert_eq(answer.at("key"), "k1");
    cr_assert_eq(answer.at("attempt"), "node-1/7");
    cr_assert_eq(answer.at("class"), "critical");
    cr_assert_eq(answer.at("bodyHash"), formatId(stableHash("body")));
    cr_assert_eq(answer.at("subCalls").at(0).at("call"), "GET katalogs:/items");
    cr_assert_eq(answer.at("subCalls").at(0).at("attempts"), 2);
    cr_assert(!answer.contains("padding"));
}

/// Guards against long answers that are cut, or padded with the bytes of another answer.
Test(backend_answer, padding_reaches_the_size_and_can_be_checked)
{
    const auto text = backendAnswer("faili", identity, "", {}, 200'000);
    cr_assert_geq(text.size(), 200'000U);
    cr_assert_lt(text.size(), 200'100U);
    const auto answer = nlohmann::json::parse(text);
    const auto unit = answer.at("paddingUnit").get<std::string>();
    const auto padding = answer.at("padding").get<std::string>();
    cr_assert_eq(padding.size() % unit.size(), 0U);
    for (std::size_t i = 0; i < padding.size(); i += unit.size()) {
        cr_assert(padding.compare(i, unit.size(), unit) == 0);
    }
    auto other = identity;
    other.attempt_ = "node-1/8";
    cr_assert_neq(
        nlohmann::json::parse(backendAnswer("faili", other, "", {}, 1'000)).at("paddingUnit"), unit);
}

/// Guards against derived keys that change with the attempt of the parent.
Test(backend_answer, sub_call_body_depends_on_the_key_only)
{
    auto repeated = identity;
    repeated.attempt_ = "node-2/1";
    cr_assert_eq(subCallBody("pasutijumi", identity, 0), subCallBody("pasutijumi", repeated, 0));
    cr_assert_neq(subCallBody("pasutijumi", identity, 0), subCallBody("pasutijumi", identity, 1));
    repeated.key_.clear();
    auto other = repeated;
    other.attempt_ = "node-2/2";
    cr_assert_neq(subCallBody("pasutijumi", repeated, 0), subCallBody("pasutijumi", other, 0));
}
