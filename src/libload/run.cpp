#include "run.h"

#include "process_usage.h"
#include "sender.h"

#include <algorithm>
#include <thread>

namespace wagtailhead::load {

namespace {

/// More than the callers of a surge have open at one node, so that no request waits inside the client.
constexpr int connectionsPerHost = 4'000;

/// Executions of requests that callers have given up may go on for a moment after the load.
constexpr auto settleTime = milliseconds(1500);

/// The load begins this long after it has been announced.
constexpr auto leadTime = milliseconds(100);

constexpr auto progressInterval = seconds(1);

auto progressLine(const SenderProgress& progress, Duration elapsed, Duration total) -> std::string
{
    return std::to_string(std::chrono::duration_cast<seconds>(elapsed).count()) + " of "
        + std::to_string(std::chrono::duration_cast<seconds>(total).count()) + " s, "
        + std::to_string(progress.begun_) + " requests, " + std::to_string(progress.good_) + " good, "
        + std::to_string(progress.ended_ - progress.good_) + " ended otherwise, "
        + std::to_string(progress.inFlight_) + " attempts in flight";
}

/// The sending part of a run, with its own end.
class LoadRunner {
public:
    LoadRunner(asio::io_context& context, HttpClient& client, const RunOptions& options)
        : context_(context)
        , options_(options)
        , senderOptions_ { options.plan_, options.mesh_.nodes_, options.runId_, options.seed_ }
        , sender_(context, client, senderOptions_)
        , pairs_(context, client, options.plan_, options.mesh_, options.runId_, options.seed_ + 3)
        , ticker_(context)
    {
    }

    auto run(RunData& data) -> void
    {
        data.begin_ = Clock::now() + leadTime;
        data.clocks_ = ClockPair::now();
        if (options_.onBegin_) {
            options_.onBegin_(data.clocks_.wallOf(data.begin_));
        }
        const auto done = [this] {
            if (--open_ == 0) {
                ticker_.cancel();
            }
        };
        context_.restart();
        sender_.start(data.begin_, done);
        pairs_.start(data.begin_, done);
        tick(data.begin_);
        while (open_ > 0 && context_.run_one() > 0) { }
        data.loadAverage_ = loadAverage();
        data.records_ = sender_.records();
        data.pairs_ = pairs_.results();
    }

    auto roots() const -> const std::unordered_set<std::uint64_t>&
    {
        return pairs_.roots();
    }

private:
    auto tick(TimePoint begin) -> void
    {
        ticker_.expires_after(progressInterval);
        ticker_.async_wait([this, begin](const std::error_code& error) {
            if (!error && open_ > 0) {
                if (options_.onProgress_) {
                    options_.onProgress_(progressLine(
                        sender_.progress(), Clock::now() - begin, totalLength(options_.plan_.phases_)));
                }
                tick(begin);
            }
        });
    }

    asio::io_context& context_;
    const RunOptions& options_;
    const SenderOptions senderOptions_;
    Sender sender_;
    PairRunner pairs_;
    asio::steady_timer ticker_;
    int open_ = 2;
};

} // namespace

auto runLoad(const RunOptions& options) -> RunData
{
    asio::io_context context(1);
    HttpClientOptions clientOptions;
    clientOptions.maxConnectionsPerHost_ = connectionsPerHost;
    const auto client = HttpClient::create(context, clientOptions);
    MeshProbe probe(context, *client, options.mesh_);
    RunData data;
    data.deployment_ = options.deployment_;
    data.seed_ = options.seed_;
    if (options.plan_.idle_ > Duration::zero()) {
        data.idle_ = probe.snapshot();
        std::this_thread::sleep_for(options.plan_.idle_);
    }
    data.before_ = probe.snapshot();
    LoadRunner runner(context, *client, options);
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
