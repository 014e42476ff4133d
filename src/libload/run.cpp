#include "run.h"

#include "process_usage.h"
#include "sender.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>

namespace wagtailhead::load {

namespace {

/// More than the callers of a surge have open at one node, so that no request waits inside the client.
constexpr int connectionsPerHost = 4'000;

/// Executions of requests that callers have given up may go on for a moment after the load.
constexpr auto settleTime = milliseconds(1500);

/// The load begins this long after it has been announced.
constexpr auto leadTime = milliseconds(100);

constexpr auto progressInterval = milliseconds(500);

/// Each sender uses a few seeds in a row.
constexpr std::uint64_t seedDistance = 100;
constexpr std::uint64_t pairSeedDistance = 50;

auto progressLine(const SenderProgress& progress, Duration elapsed, Duration total) -> std::string
{
    return std::to_string(std::chrono::duration_cast<seconds>(elapsed).count()) + " of "
        + std::to_string(std::chrono::duration_cast<seconds>(total).count()) + " s, "
        + std::to_string(progress.begun_) + " requests, " + std::to_string(progress.good_) + " good, "
        + std::to_string(progress.ended_ - progress.good_) + " ended otherwise, "
        + std::to_string(progress.inFlight_) + " attempts in flight";
}

/// A thread with a context and a client of its own, for one part of the load.
class Worker {
public:
    Worker()
    {
        HttpClientOptions options;
        options.maxConnectionsPerHost_ = connectionsPerHost;
        client_ = HttpClient::create(context_, options);
    }

    /// Starts the part and runs the context until it says that it is done.
    template <typename Part> auto start(Part& part, TimePoint begin) -> void
    {
        thread_ = std::thread([this, &part, begin] {
            bool done = false;
            part.start(begin, [&done] {
                done = true;
            });
            while (!done && context_.run_one() > 0) { }
            finished_ = true;
        });
    }

    auto join() -> void
    {
        thread_.join();
    }

    auto isFinished() const -> bool
    {
        return finished_;
    }

    auto context() -> asio::io_context&
    {
        return context_;
    }

    auto client() -> HttpClient&
    {
        return *client_;
    }

private:
    asio::io_context context_ { 1 };
    std::unique_ptr<HttpClient> client_;
    std::thread thread_;
    std::atomic<bool> finished_ = false;
};

/// The part of one sender. Shares of a Poisson process add up to the whole.
auto shareOf(const RunOptions& options, int index) -> SenderOptions
{
    SenderOptions share { options.plan_, options.mesh_.nodes_, options.runId_ + "-" + std::to_string(index),
        options.seed_ + static_cast<std::uint64_t>(index) * seedDistance };
    for (auto& phase : share.plan_.phases_) {
        phase.perSecond_ /= options.senders_;
    }
    share.maxInFlight_ /= static_cast<std::size_t>(options.senders_);
    return share;
}

/// The sending part of a run.
class LoadRunner {
public:
    explicit LoadRunner(const RunOptions& options)
        : options_(options)
        , pairs_(pairWorker_.context(), pairWorker_.client(), options.plan_, options.mesh_, options.runId_,
              options.seed_ + pairSeedDistance)
        , workers_(static_cast<std::size_t>(options.senders_))
    {
        for (int i = 0; i < options.senders_; ++i) {
            shares_.push_back(shareOf(options, i));
        }
        for (std::size_t i = 0; i < workers_.size(); ++i) {
            senders_.push_back(
                std::make_unique<Sender>(workers_[i].context(), workers_[i].client(), shares_[i]));
        }
    }

    auto run(RunData& data) -> void
    {
        data.begin_ = Clock::now() + leadTime;
        data.clocks_ = ClockPair::now();
        if (options_.onBegin_) {
            options_.onBegin_(data.clocks_.wallOf(data.begin_));
        }
        for (std::size_t i = 0; i < workers_.size(); ++i) {
            workers_[i].start(*senders_[i], data.begin_);
        }
        pairWorker_.start(pairs_, data.begin_);
        showProgress(data.begin_);
        for (auto& worker : workers_) {
            worker.join();
        }
        pairWorker_.join();
        data.loadAverage_ = loadAverage();
        collect(data);
    }

    auto roots() const -> const std::unordered_set<std::uint64_t>&
    {
        return pairs_.roots();
    }

private:
    auto showProgress(TimePoint begin) const -> void
    {
        const auto isFinished = [](const Worker& worker) {
            return worker.isFinished();
        };
        while (!std::all_of(workers_.begin(), workers_.end(), isFinished) || !pairWorker_.isFinished()) {
            std::this_thread::sleep_for(progressInterval);
            SenderProgress progress;
            for (const auto& sender : senders_) {
                progress += sender->progress();
            }
            if (options_.onProgress_) {
                options_.onProgress_(
                    progressLine(progress, Clock::now() - begin, totalLength(options_.plan_.phases_)));
            }
        }
    }

    auto collect(RunData& data) const -> void
    {
        for (const auto& sender : senders_) {
            const auto& records = sender->records();
            data.records_.insert(data.records_.end(), records.begin(), records.end());
        }
        std::sort(data.records_.begin(), data.records_.end(), [](const auto& left, const auto& right) {
            return left.intended_ < right.intended_;
        });
        data.pairs_ = pairs_.results();
    }

    const RunOptions& options_;
    Worker pairWorker_;
    PairRunner pairs_;
    std::vector<Worker> workers_;
    std::vector<SenderOptions> shares_;
    std::vector<std::unique_ptr<Sender>> senders_;
};

} // namespace

auto runLoad(const RunOptions& options) -> RunData
{
    asio::io_context context(1);
    const auto client = HttpClient::create(context, {});
    MeshProbe probe(context, *client, options.mesh_);
    RunData data;
    data.deployment_ = options.deployment_;
    data.seed_ = options.seed_;
    if (options.plan_.idle_ > Duration::zero()) {
        data.idle_ = probe.snapshot();
        std::this_thread::sleep_for(options.plan_.idle_);
    }
    data.before_ = probe.snapshot();
    LoadRunner runner(options);
    runner.run(data);
    data.after_ = probe.snapshot();
    std::this_thread::sleep_for(settleTime);
    data.executions_ = probe.executions(data.missingAudits_);
    const auto begin = data.clocks_.wallOf(data.begin_);
    std::erase_if(data.executions_, [&](const Execution& execution) {
        return execution.start_ < begin || runner.roots().contains(execution.requestId_);
    });
    return data;
}

} // namespace wagtailhead::load
