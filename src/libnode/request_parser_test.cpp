#include "request_parser.h"

#include "caller_answer.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

auto perluConfig() -> ActiveConfig
{
    ConfigView view;
    view.apply({ "config/classes", 1, R"({"generation":1,"rules":[
        {"service":"pasutijumi","method":"POST","path":"/orders","priority":"critical","once":true}]})" });
    view.apply({ "config/links", 1, R"({"generation":1,"regions":[{"name":"riga","zones":["riga-a"]}]})" });
    view.apply({ "config/limits", 1, R"({"generation":1,"max_body_bytes":100})" });
    return *view.current();
}

struct BadRequest {
    HttpRequest request_;
    int status_;
    const char* reason_;
};

} // namespace

/// Guards against a wrong request being forwarded, or refused without a clear reason.
Test(request_parser, wrong_requests_are_refused_with_status_and_reason)
{
    const auto config = perluConfig();
    const BadRequest cases[] = {
        { { "GET", "/", {}, "" }, 404, "unknown-service" },
        { { "GET", "katalogs/items", {}, "" }, 404, "unknown-service" },
        { { "GET", "//items", {}, "" }, 404, "unknown-service" },
        { { "POST", "/katalogs/items", {}, std::string(101, 'x') }, 413, "body-too-large" },
        { { "GET", "/katalogs/items", { { "Wagtailhead-Deadline-Ms", "0" } }, "" }, 400, "bad-deadline" },
        { { "GET", "/katalogs/items", { { "Wagtailhead-Deadline-Ms", "60001" } }, "" }, 400, "bad-deadline" },
        { { "GET", "/katalogs/items", { { "wagtailhead-deadline-ms", "5s" } }, "" }, 400, "bad-deadline" },
        { { "POST", "/pasutijumi/orders", {}, "" }, 400, "key-required" },
        { { "POST", "/pasutijumi/orders", { { "Idempotency-Key", "" } }, "" }, 400, "bad-key" },
        { { "POST", "/pasutijumi/orders", { { "Idempotency-Key", "two words" } }, "" }, 400, "bad-key" },
        { { "POST", "/pasutijumi/orders", { { "Idempotency-Key", std::string(129, 'k') } }, "" }, 400,
            "bad-key" },
    };
    for (const auto& bad : cases) {
        const auto result = parseRequest(bad.request_, config, true);
        cr_assert(std::holds_alternative<Answer>(result), "%s %s was accepted", bad.request_.method_.c_str(),
            bad.request_.target_.c_str());
        const auto& answer = std::get<Answer>(result);
        cr_assert_eq(answer.status_, bad.status_);
        cr_assert_str_eq(answer.reason_.c_str(), bad.reason_);
        cr_assert(answer.outcome_ == Outcome::NotRun);
    }
}

/// Guards against the query being lost, and against callers setting the headers of the node.
Test(request_parser, target_and_headers_are_passed_on)
{
    HttpRequest request { "GET", "/katalogs?q=1",
        { { "Wagtailhead-Context", "0000000000000001" }, { "Connection", "close" }, { "Accept", "x" } }, "" };
    const auto result = parseRequest(request, perluConfig(), true);
    const auto& parsed = std::get<ParsedRequest>(result);
    cr_assert_str_eq(parsed.service_.c_str(), "katalogs");
    cr_assert_str_eq(parsed.http_.target_.c_str(), "/?q=1");
    cr_assert(parsed.http_.headers_ == (HttpHeaders { { "Accept", "x" } }));
}

/// Guards against an answer without outcome, or a refusal without Retry-After.
Test(caller_answer, every_answer_states_its_outcome)
{
    const auto refused = toHttpResponse(notRun("shed"), "id");
    cr_assert_eq(refused.status_, 503);
    cr_assert_eq(findHeader(refused.headers_, "Wagtailhead-Outcome").value(), "not-run");
    cr_assert(findHeader(refused.headers_, "Retry-After").has_value());
    const auto unknown = toHttpResponse(unknownOutcome("answer-lost"), "id");
    cr_assert_eq(unknown.status_, 504);
    cr_assert_eq(findHeader(unknown.headers_, "Wagtailhead-Outcome").value(), "unknown");
    const auto done = toHttpResponse({ Outcome::Completed, 201, "ok", { { "X", "y" } }, "body" }, "id");
    cr_assert_eq(done.status_, 201);
    cr_assert_eq(done.body_, "body");
    cr_assert_eq(findHeader(done.headers_, "X").value(), "y");
}
