#include "object_table.h"

#include <criterion/criterion.h>

using namespace wagtailhead;
using namespace wagtailhead::standin;

namespace {

auto written(const Result<WriteOutcome>& result) -> Version
{
    cr_assert(isOk(result) && std::holds_alternative<Version>(valueOf(result)));
    return std::get<Version>(valueOf(result));
}

auto conflict(const Result<WriteOutcome>& result) -> WriteConflict
{
    cr_assert(isOk(result) && std::holds_alternative<WriteConflict>(valueOf(result)));
    return std::get<WriteConflict>(valueOf(result));
}

} // namespace

/// Guards against an update that overwrites a concurrent one.
Test(object_table, replace_needs_the_current_version)
{
    ObjectTable table;
    const auto first = written(table.create("a/x", "1"));
    const auto second = written(table.replace("a/x", "2", first));
    cr_assert_gt(second, first);
    const auto lost = conflict(table.replace("a/x", "3", first));
    cr_assert_eq(lost.current_.value().version_, second);
    cr_assert_eq(lost.current_.value().value_, "2");
}

/// Guards against a create that replaces, and against updates of objects that do not exist.
Test(object_table, existence_conditions)
{
    ObjectTable table;
    written(table.create("k", "1"));
    cr_assert(conflict(table.create("k", "2")).current_.has_value());
    cr_assert(!conflict(table.replace("absent", "1", 1)).current_.has_value());
    cr_assert(!conflict(table.replace("absent", "1", 0)).current_.has_value());
    cr_assert(std::holds_alternative<WriteConflict>(table.remove("absent", 0)));
}

/// Guards against a deleted object that blocks or resurrects its key.
Test(object_table, key_can_be_created_again_after_removal)
{
    ObjectTable table;
    const auto version = written(table.create("k", "1"));
    cr_assert(std::holds_alternative<WriteConflict>(table.remove("k", version + 1)));
    cr_assert(std::holds_alternative<Version>(table.remove("k", version)));
    cr_assert(!table.find("k").has_value());
    cr_assert_eq(table.size(), 0U);
    cr_assert_gt(written(table.create("k", "2")), version);
}

/// Guards against malformed keys, values that are no JSON, and values over the limit.
Test(object_table, bad_writes_are_refused)
{
    ObjectTable table;
    for (const auto* key : { "", "a b", "a?b", "\xc3\xa4" }) {
        cr_assert(!isOk(table.create(key, "1")), "key '%s' was accepted", key);
    }
    cr_assert(!isOk(table.create("k", "{")));
    cr_assert(isOk(table.create("k", '"' + std::string(maxValueBytes - 2, 'x') + '"')));
    cr_assert(!isOk(table.create("large", '"' + std::string(maxValueBytes - 1, 'x') + '"')));
    cr_assert_eq(table.version(), 1U);
}

/// Guards against neighbours of a prefix appearing in its list.
Test(object_table, list_holds_exactly_the_prefix)
{
    ObjectTable table;
    for (const auto* key : { "b/1", "a/2", "a/1", "a0", "a" }) {
        written(table.create(key, "1"));
    }
    const auto found = table.list("a/");
    cr_assert_eq(found.version_, 5U);
    cr_assert_eq(found.objects_.size(), 2U);
    cr_assert_eq(found.objects_.front().key_, "a/1");
    cr_assert_eq(table.list("").objects_.size(), 5U);
}

/// Guards against watches that miss a change or a deletion, or report one outside their prefixes.
Test(object_table, changes_since_a_version)
{
    ObjectTable table;
    const auto old = written(table.create("a/1", "1"));
    const auto since = written(table.create("a/2", "1"));
    written(table.create("b/1", "1"));
    written(table.create("c/1", "1"));
    written(table.replace("a/2", "2", since));
    table.remove("a/1", old);
    const auto changes = table.changesSince({ "a/", "b/" }, since);
    cr_assert_eq(changes.version_, 6U);
    cr_assert_eq(changes.objects_.size(), 2U);
    cr_assert_eq(changes.objects_.at(1).value_, "2");
    cr_assert_eq(changes.deleted_.size(), 1U);
    cr_assert_eq(changes.deleted_.front(), "a/1");
    cr_assert(table.changesSince({ "" }, table.version()).objects_.empty());
}

/// Guards against a rollback that leaves later writes, deletions or versions behind.
Test(object_table, rollback_restores_values_and_versions)
{
    ObjectTable table;
    const auto first = written(table.create("a", "1"));
    const auto target = written(table.create("b", "1"));
    written(table.replace("a", "2", first));
    table.remove("b", target);
    written(table.create("c", "1"));
    cr_assert(isOk(table.rollBack(target)));
    cr_assert_eq(table.version(), target);
    cr_assert_eq(table.find("a").value().value_, "1");
    cr_assert_eq(table.find("a").value().version_, first);
    cr_assert_eq(table.find("b").value().version_, target);
    cr_assert(!table.find("c").has_value());
    cr_assert_eq(table.changesSince({ "" }, 0).objects_.size(), 2U);
    cr_assert(!isOk(table.rollBack(target + 1)));
    cr_assert(isOk(table.rollBack(0)));
    cr_assert_eq(table.size(), 0U);
}
