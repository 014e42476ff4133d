#include "wagtailhead/call_table.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

const TimePoint start { seconds(1000) };

auto makeContext(int allowance = 3, int depth = 0) -> CallContext
{
    CallContext context;
    context.rootId_ = 7;
    context.rootHash_ = rootHashOf(7);
    context.priority_ = Priority::Critical;
    context.deadline_ = start + seconds(2);
    context.retryAllowance_ = allowance;
    context.idempotencyKey_ = "key";
    context.depth_ = depth;
    return context;
}

auto refusalOf(const SubCallResult& result) -> std::optional<SubCallRefusal>
{
    const auto* refusal = std::get_if<SubCallRefusal>(&result);
    return refusal ? std::optional(*refusal) : std::nullopt;
}

} // namespace

/// Guards against a sub-call that loses its root's identity or inherits what it must not have.
Test(call_table, sub_call_inherits_the_context)
{
    CallTable table(1);
    const auto token = table.open(makeContext());
    const auto grant = std::get<SubCallGrant>(table.beginSubCall(token, { "GET", "/stock/1", 0 }, start));
    cr_assert_eq(grant.context_.rootHash_, rootHashOf(7));
    cr_assert_eq(grant.context_.priority_, Priority::Critical);
    cr_assert(grant.context_.deadline_ == start + seconds(2));
    cr_assert_eq(grant.context_.depth_, 1);
    cr_assert_eq(grant.context_.invested_, 1);
    cr_assert_eq(grant.context_.retryAllowance_, 0);
    cr_assert(grant.context_.idempotencyKey_.empty());
    table.endSubCall(token, grant.id_, {}, start);
    const auto next = std::get<SubCallGrant>(table.beginSubCall(token, { "GET", "/stock/2", 0 }, start));
    cr_assert_eq(next.context_.invested_, 2);
}

/// Guards against repeats of a backend server that are not counted, and against false repeats.
Test(call_table, repeats_are_charged)
{
    CallTable table(1);
    const auto token = table.open(makeContext(1));
    const auto other = table.open(makeContext(1));
    const SubCallKey key { "POST", "/stock/1", 5 };
    cr_assert(!std::get<SubCallGrant>(table.beginSubCall(token, key, start)).repeat_);
    for (const auto& different : { SubCallKey { "PUT", "/stock/1", 5 }, SubCallKey { "POST", "/stock/2", 5 },
             SubCallKey { "POST", "/stock/1", 6 } }) {
        cr_assert(!std::get<SubCallGrant>(table.beginSubCall(token, different, start)).repeat_);
    }
    cr_assert(!std::get<SubCallGrant>(table.beginSubCall(other, key, start)).repeat_);
    cr_assert(std::get<SubCallGrant>(table.beginSubCall(token, key, start)).repeat_);
    cr_assert(refusalOf(table.beginSubCall(token, key, start)) == SubCallRefusal::NoAllowance);
}

/// Guards against sub-calls for calls that have ended, and beyond the bounds of depth and time.
Test(call_table, refusals)
{
    CallTable table(1);
    const SubCallKey key { "GET", "/stock/1", 0 };
    cr_assert(refusalOf(table.beginSubCall(1, key, start)) == SubCallRefusal::UnknownToken);
    const auto deep = table.open(makeContext(3, maxCallDepth));
    cr_assert(refusalOf(table.beginSubCall(deep, key, start)) == SubCallRefusal::TooDeep);
    const auto deepest = table.open(makeContext(3, maxCallDepth - 1));
    cr_assert(!refusalOf(table.beginSubCall(deepest, key, start)));
    cr_assert(
        refusalOf(table.beginSubCall(deepest, key, start + seconds(2))) == SubCallRefusal::DeadlinePassed);
    table.cancel(deepest);
    cr_assert(refusalOf(table.beginSubCall(deepest, key, start)) == SubCallRefusal::Cancelled);
    table.close(deepest, start);
    cr_assert(refusalOf(table.beginSubCall(deepest, key, start)) == SubCallRefusal::UnknownToken);
}

/// Guards against work that goes on below a cancelled call.
Test(call_table, cancel_names_the_running_sub_calls)
{
    CallTable table(1);
    const auto token = table.open(makeContext());
    std::vector<SubCallId> ids;
    for (const auto* path : { "/a", "/b", "/c" }) {
        ids.push_back(std::get<SubCallGrant>(table.beginSubCall(token, { "GET", path, 0 }, start)).id_);
    }
    table.endSubCall(token, ids.at(1), {}, start);
    const std::vector<SubCallId> running { ids.at(0), ids.at(2) };
    cr_assert(table.cancel(token) == running);
    cr_assert(table.close(token, start).running_ == running);
    cr_assert_eq(table.size(), 0);
}

/// Guards against time of sub-calls counted twice or as this backend server's own.
Test(call_table, sub_call_time_is_the_union_of_the_intervals)
{
    CallTable table(1);
    const auto token = table.open(makeContext());
    const auto at = [](int offset) {
        return start + milliseconds(offset);
    };
    const auto begin = [&](const char* path, int offset) {
        return std::get<SubCallGrant>(table.beginSubCall(token, { "GET", path, 0 }, at(offset))).id_;
    };
    const auto first = begin("/a", 10);
    const auto second = begin("/b", 20);
    table.endSubCall(token, first, {}, at(30));
    table.endSubCall(token, second, {}, at(40));
    begin("/c", 100);
    cr_assert(table.close(token, at(105)).subCallTime_ == milliseconds(35));
}

/// Guards against a deep service's level lost on its way to the root.
Test(call_table, strictest_level_of_the_sub_calls_is_kept)
{
    CallTable table(1);
    const auto token = table.open(makeContext());
    const std::vector<SubtreeLevel> levels { { { Priority::Internal, 5 }, "a" },
        { { Priority::Interactive, 5 }, "b" }, { {}, "c" } };
    for (const auto& level : levels) {
        const auto grant
            = std::get<SubCallGrant>(table.beginSubCall(token, { "GET", "/" + level.service_, 0 }, start));
        table.endSubCall(token, grant.id_, level, start);
    }
    const auto summary = table.close(token, start);
    cr_assert_eq(summary.strictest_.service_, "b");
    cr_assert(summary.strictest_.level_ == levels.at(1).level_);
}

/// Guards against allowance spent by a sub-call that outlives its parent after it was handed back.
Test(call_table, closed_call_has_no_allowance)
{
    CallTable table(1);
    const auto token = table.open(makeContext(3));
    const auto grant = std::get<SubCallGrant>(table.beginSubCall(token, { "GET", "/a", 0 }, start));
    const int lent = grant.allowance_->lend();
    const int unused = table.close(token, start).unusedRetries_;
    cr_assert(!grant.allowance_->charge());
    cr_assert_eq(lent + unused, 3);
}

/// Guards against tokens that are accepted in another form than they are written.
Test(call_table, tokens_are_sixteen_hexadecimal_digits)
{
    CallTable table(1);
    const auto token = table.open(makeContext());
    cr_assert(parseContextToken(formatId(token)) == token);
    for (const auto* text :
        { "", "12", "0x00000000000001", "000000000000000g", "00000000000000001", "-000000000000001" }) {
        cr_assert(!parseContextToken(text), "%s", text);
    }
}
