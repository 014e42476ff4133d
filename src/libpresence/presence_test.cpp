#include "wagtailhead/presence.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <criterion/criterion.h>
#include <thread>

using namespace wagtailhead;

namespace {

constexpr Duration generousTimeout = seconds(60);

/// One node with its tables, in a context of its own with two threads.
class TestNode {
public:
    TestNode(const std::string& id, Incarnation incarnation, std::vector<SeedAddress> peers)
    {
        PresenceOptions options;
        options.self_.ref_ = { id, incarnation };
        options.self_.zone_ = "riga-a";
        options.self_.region_ = "riga";
        options.self_.service_ = "katalogs";
        options.self_.gossip_ = { "127.0.0.1", 0 };
        options.transport_.listen_ = { "127.0.0.1", 0 };
        options.peers_ = std::move(peers);
        options.seed_ = incarnation;
        auto opened = PresenceService::open(context_, std::move(options), members_, items_);
        cr_assert(isOk(opened), "%s", errorOf(opened).text_.c_str());
        service_ = valueOf(std::move(opened));
        service_->onReplaced([this](Incarnation by) {
            replacedBy_ = by;
        });
        for (auto& thread : threads_) {
            thread = std::thread([this] {
                context_.run();
            });
        }
    }
    ~TestNode()
    {
        service_.reset();
        context_.stop();
        for (auto& thread : threads_) {
            thread.join();
        }
    }
    TestNode(const TestNode&) = delete;
    auto operator=(const TestNode&) -> TestNode& = delete;

    auto sees(const std::string& id, MemberState state) const -> bool
    {
        const auto list = members_.snapshot();
        const auto* member = list->find(id);
        return member && member->state_ == state;
    }

    auto seed() const -> SeedAddress
    {
        return { service_->address(), {} };
    }

    asio::io_context context_;
    MemberTable members_;
    ItemTable items_;
    std::unique_ptr<PresenceService> service_;
    std::atomic<Incarnation> replacedBy_ = 0;

private:
    asio::executor_work_guard<asio::io_context::executor_type> work_ = asio::make_work_guard(context_);
    std::array<std::thread, 2> threads_;
};

auto eventually(const std::function<bool()>& condition) -> bool
{
    const auto end = Clock::now() + generousTimeout;
    while (Clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
}

} // namespace

/// Guards against parts that work alone and not together: joining, items, leaving, departure over nng.
Test(presence, nodes_join_share_items_leave_and_depart, .timeout = 300)
{
    TestNode first("a", 1, {});
    TestNode second("b", 2, { first.seed() });
    auto third = std::make_unique<TestNode>("c", 3, std::vector { first.seed() });
    cr_assert(eventually([&] {
        return first.sees("c", MemberState::Alive) && second.sees("c", MemberState::Alive)
            && third->sees("b", MemberState::Alive);
    }));
    second.items_.apply({ "config/classes", 7, std::string(20000, 'x') });
    cr_assert(eventually([&] {
        return third->items_.find("config/classes") && first.items_.find("config/classes");
    }));
    cr_assert_eq(first.items_.find("config/classes")->value_.size(), 20000);
    third->service_->leave();
    cr_assert(eventually([&] {
        return first.sees("c", MemberState::Leaving) && second.sees("c", MemberState::Leaving);
    }));
    std::atomic<bool> departed = false;
    third->service_->depart([&] {
        departed = true;
    });
    cr_assert(eventually([&] {
        return departed.load();
    }));
    third.reset();
    cr_assert(eventually([&] {
        return first.sees("c", MemberState::Dead) && second.sees("c", MemberState::Dead);
    }));
}

/// Guards against a vanished node that stays in the table, and a replaced one that does not notice.
Test(presence, a_vanished_node_dies_and_a_replaced_one_is_told, .timeout = 300)
{
    TestNode first("a", 1, {});
    TestNode old("b", 2, { first.seed() });
    cr_assert(eventually([&] {
        return first.sees("b", MemberState::Alive) && old.sees("a", MemberState::Alive);
    }));
    {
        TestNode successor("b", 9, { first.seed() });
        cr_assert(eventually([&] {
            return first.members_.snapshot()->isPresent({ "b", 9 }) && old.replacedBy_ == 9;
        }));
    }
    cr_assert(eventually([&] {
        return first.sees("b", MemberState::Dead);
    }));
}
