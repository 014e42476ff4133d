#include "wagtailhead/lease.h"

#include <asio/bind_executor.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <mutex>
#include <utility>

namespace wagtailhead {

namespace {

/// The lease on one strand. Lives as long as any handler that refers to it.
class LeaseEngine : public std::enable_shared_from_this<LeaseEngine> {
public:
    LeaseEngine(asio::io_context& context, StoreClient& store, LeaseOptions options, std::uint64_t seed,
        LeaseDriver::Listener listener)
        : strand_(asio::make_strand(context))
        , store_(store)
        , lease_(std::move(options), seed)
        , listener_(std::move(listener))
        , timer_(context)
    {
    }

    using Step = std::function<void(Lease&)>;

    auto run(Step step) -> void
    {
        asio::post(strand_, [self = shared_from_this(), step = std::move(step)] {
            self->apply(step);
        });
    }

    auto release(std::function<void()> done) -> void
    {
        run([this, done = std::move(done)](Lease& lease) mutable {
            released_ = std::move(done);
            lease.release(Clock::now());
        });
    }

    auto close() -> void
    {
        run([this](Lease&) {
            closed_ = true;
            listener_ = nullptr;
            timer_.cancel();
        });
    }

    auto isHeld() const -> bool
    {
        const std::lock_guard lock(mutex_);
        return lease_.isHeld(Clock::now());
    }

    auto fencingVersion() const -> StoreVersion
    {
        const std::lock_guard lock(mutex_);
        return lease_.isHeld(Clock::now()) ? lease_.fencingVersion() : 0;
    }

private:
    auto apply(const Step& step) -> void
    {
        std::optional<StoreCommand> command;
        bool held = false;
        StoreVersion version = 0;
        bool idle = false;
        {
            const std::lock_guard lock(mutex_);
            step(lease_);
            if (closed_) {
                return;
            }
            const auto now = Clock::now();
            command = lease_.tick(now);
            held = lease_.isHeld(now);
            version = held ? lease_.fencingVersion() : 0;
            idle = lease_.isIdle();
            schedule();
        }
        if (command) {
            store_.run(*command, [self = shared_from_this()](const StoreAnswer& answer) {
                self->run([answer](Lease& lease) {
                    lease.onAnswer(Clock::now(), answer);
                });
            });
        }
        if (version != std::exchange(reported_, version) && listener_) {
            listener_(held, version);
        }
        if (idle && released_) {
            std::exchange(released_, nullptr)();
        }
    }

    auto schedule() -> void
    {
        const auto wake = lease_.nextWake();
        if (wake == TimePoint::max()) {
            timer_.cancel();
            return;
        }
        timer_.expires_at(wake);
        timer_.async_wait(asio::bind_executor(strand_, [self = shared_from_this()](const auto& error) {
            if (!error) {
                self->apply([](Lease&) {});
            }
        }));
    }

    asio::strand<asio::io_context::executor_type> strand_;
    StoreClient& store_;
    mutable std::mutex mutex_; ///< Guards `lease_` against readers in other threads.
    Lease lease_;
    LeaseDriver::Listener listener_;
    asio::steady_timer timer_;
    StoreVersion reported_ = 0;
    std::function<void()> released_;
    bool closed_ = false;
};

class AsioLeaseDriver : public LeaseDriver {
public:
    explicit AsioLeaseDriver(std::shared_ptr<LeaseEngine> engine)
        : engine_(std::move(engine))
    {
    }
    ~AsioLeaseDriver() override
    {
        engine_->close();
    }
    AsioLeaseDriver(const AsioLeaseDriver&) = delete;
    auto operator=(const AsioLeaseDriver&) -> AsioLeaseDriver& = delete;

    auto setCandidate(bool candidate) -> void override
    {
        engine_->run([candidate](Lease& lease) {
            lease.setCandidate(Clock::now(), candidate);
        });
    }
    auto isHeld() const -> bool override
    {
        return engine_->isHeld();
    }
    auto fencingVersion() const -> StoreVersion override
    {
        return engine_->fencingVersion();
    }
    auto release(std::function<void()> done) -> void override
    {
        engine_->release(std::move(done));
    }

private:
    std::shared_ptr<LeaseEngine> engine_;
};

} // namespace

auto LeaseDriver::create(asio::io_context& context, StoreClient& store, LeaseOptions options,
    std::uint64_t seed, Listener listener) -> std::unique_ptr<LeaseDriver>
{
    return std::make_unique<AsioLeaseDriver>(
        std::make_shared<LeaseEngine>(context, store, std::move(options), seed, std::move(listener)));
}

} // namespace wagtailhead
