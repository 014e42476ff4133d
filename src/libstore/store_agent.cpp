#include "wagtailhead/store_agent.h"

#include <asio/bind_executor.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <mutex>
#include <utility>

namespace wagtailhead {

namespace {

/// How often the logic looks at the membership and at its own times. No call goes out for that.
constexpr Duration tickInterval = milliseconds(250);

/// The logic on one strand. Lives as long as any handler that refers to it.
class AgentEngine : public std::enable_shared_from_this<AgentEngine> {
public:
    AgentEngine(asio::io_context& context, StoreClient& store, StoreAgentOptions options,
        const MemberTable& members, ItemTable& items, StoreAgent::SeedListener onSeeds)
        : strand_(asio::make_strand(context))
        , store_(store)
        , logic_(std::move(options), members, items)
        , onSeeds_(std::move(onSeeds))
        , timer_(context)
    {
    }

    auto start() -> void
    {
        asio::post(strand_, [self = shared_from_this()] {
            self->onTimer();
        });
    }

    auto release(std::function<void()> done) -> void
    {
        asio::post(strand_, [self = shared_from_this(), done = std::move(done)]() mutable {
            self->released_ = std::move(done);
            self->logic_.release(Clock::now());
            self->advance();
        });
    }

    auto close() -> void
    {
        asio::post(strand_, [self = shared_from_this()] {
            self->closed_ = true;
            self->onSeeds_ = nullptr;
            self->timer_.cancel();
        });
    }

    auto stats() const -> StoreAgentStats
    {
        const std::lock_guard lock(mutex_);
        return stats_;
    }

private:
    auto onTimer() -> void
    {
        if (closed_) {
            return;
        }
        advance();
        timer_.expires_after(tickInterval);
        timer_.async_wait(asio::bind_executor(strand_, [self = shared_from_this()](const auto& error) {
            if (!error) {
                self->onTimer();
            }
        }));
    }

    auto advance() -> void
    {
        if (closed_) {
            return;
        }
        for (const auto& call : logic_.tick(Clock::now())) {
            store_.run(call.command_, [self = shared_from_this(), id = call.id_](StoreAnswer answer) {
                asio::post(self->strand_, [self, id, answer = std::move(answer)] {
                    self->logic_.onAnswer(Clock::now(), id, answer);
                    self->advance();
                });
            });
        }
        if (auto seeds = logic_.takeSeeds(); !seeds.empty() && onSeeds_) {
            onSeeds_(std::move(seeds));
        }
        if (released_ && logic_.isIdle()) {
            std::exchange(released_, nullptr)();
        }
        auto stats = logic_.stats();
        stats.heldLease_ = logic_.heldLease(Clock::now());
        const std::lock_guard lock(mutex_);
        stats_ = stats;
    }

    asio::strand<asio::io_context::executor_type> strand_;
    StoreClient& store_;
    StoreAgentLogic logic_; ///< Used on the strand only.
    StoreAgent::SeedListener onSeeds_;
    asio::steady_timer timer_;
    std::function<void()> released_;
    bool closed_ = false;
    mutable std::mutex mutex_; ///< Guards `stats_`.
    StoreAgentStats stats_;
};

class AsioStoreAgent : public StoreAgent {
public:
    explicit AsioStoreAgent(std::shared_ptr<AgentEngine> engine)
        : engine_(std::move(engine))
    {
        engine_->start();
    }
    ~AsioStoreAgent() override
    {
        engine_->close();
    }
    AsioStoreAgent(const AsioStoreAgent&) = delete;
    auto operator=(const AsioStoreAgent&) -> AsioStoreAgent& = delete;

    auto release(std::function<void()> done) -> void override
    {
        engine_->release(std::move(done));
    }
    auto stats() const -> StoreAgentStats override
    {
        return engine_->stats();
    }

private:
    std::shared_ptr<AgentEngine> engine_;
};

} // namespace

auto StoreAgent::create(asio::io_context& context, StoreClient& store, StoreAgentOptions options,
    const MemberTable& members, ItemTable& items, SeedListener onSeeds) -> std::unique_ptr<StoreAgent>
{
    return std::make_unique<AsioStoreAgent>(std::make_shared<AgentEngine>(
        context, store, std::move(options), members, items, std::move(onSeeds)));
}

} // namespace wagtailhead
