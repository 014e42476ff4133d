/// Tests of frames, and of the buffers of a link, over a connection on loopback.
#include "frame_stream.h"

#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

/// Two ends of one connection on loopback. The sender is started.
struct ConnectedStreams {
    ConnectedStreams()
    {
        asio::ip::tcp::acceptor acceptor(context_, { asio::ip::make_address("127.0.0.1"), 0 });
        asio::ip::tcp::socket client(context_);
        client.connect(acceptor.local_endpoint());
        sender_ = std::make_shared<FrameStream>(std::move(client));
        receiver_ = std::make_shared<FrameStream>(acceptor.accept());
        sender_->start({});
    }
    ~ConnectedStreams()
    {
        sender_->close();
        receiver_->close();
        run();
    }
    ConnectedStreams(const ConnectedStreams&) = delete;
    auto operator=(const ConnectedStreams&) -> ConnectedStreams& = delete;

    auto run() -> void
    {
        context_.run_for(milliseconds(5));
        context_.restart();
    }

    /// Runs until the condition holds, for 5 s at most.
    template <typename Condition> auto runUntil(Condition condition) -> void
    {
        const auto end = Clock::now() + seconds(5);
        while (!condition() && Clock::now() < end) {
            run();
        }
    }

    asio::io_context context_;
    std::shared_ptr<FrameStream> sender_;
    std::shared_ptr<FrameStream> receiver_;
};

} // namespace

// Each link kept the memory of its longest frame as long as it was open; uploads of 20 MB to some nodes took
// the process over its memory (review case 6).
Test(frame_stream, gives_back_the_memory_of_a_long_frame)
{
    constexpr std::size_t bodyBytes = 8000000;
    constexpr std::size_t mostKept = 262144;
    ConnectedStreams streams;
    const auto& sender = streams.sender_;
    std::size_t received = 0;
    streams.receiver_->start({ [&](const Frame& frame) {
                                  if (const auto* state = std::get_if<StateFrame>(&frame)) {
                                      received = state->config_.size();
                                  }
                              },
        nullptr });
    for (const std::size_t bytes : { bodyBytes, bodyBytes / 2, std::size_t { 100 } }) {
        StateFrame state;
        state.config_.assign(bytes, 'y');
        sender->send(state);
        streams.runUntil([&] {
            return received == bytes;
        });
        cr_assert(received == bytes);
        streams.run();
        cr_expect(sender->bufferBytes() < mostKept, "sender keeps %zu", sender->bufferBytes());
        cr_expect(streams.receiver_->bufferBytes() < mostKept, "receiver keeps %zu",
            streams.receiver_->bufferBytes());
    }
}

// A link held a second copy of each body that it sent, which no budget counted.
Test(frame_stream, does_not_copy_the_bodies_of_calls)
{
    constexpr std::size_t bodyBytes = 8000000;
    constexpr std::size_t mostHeld = 262144;
    ConnectedStreams streams;
    const auto& sender = streams.sender_;
    std::vector<std::size_t> received;
    streams.receiver_->start({ [&](const Frame& frame) {
                                  if (const auto* call = std::get_if<CallFrame>(&frame)) {
                                      received.push_back(call->call_.body_.size());
                                  }
                              },
        nullptr });
    const std::vector<std::size_t> sent { 100, bodyBytes, 0, bodyBytes / 2, 100 };
    for (const auto bytes : sent) {
        CallFrame call;
        call.call_.body_ = std::string(bytes, 'y');
        sender->send(call);
        cr_expect(sender->bufferBytes() < mostHeld, "the sender holds %zu", sender->bufferBytes());
    }
    cr_assert(sender->unsentBytes() > bodyBytes);
    streams.runUntil([&] {
        return received.size() >= sent.size();
    });
    cr_assert(received == sent);
    cr_assert(sender->unsentBytes() == 0);
}

// Guards against part of a reply that is taken for a whole one: a write that fails takes the error of the
// socket with it, and the read that follows then reports an orderly close.
Test(frame_stream, part_of_a_frame_is_none_however_the_connection_ends)
{
    constexpr std::size_t unreadBytes = 16000000;
    ReplyFrame reply { 7, 3, {} };
    reply.reply_.outcome_ = GateOutcome::Answered;
    reply.reply_.response_.status_ = 200;
    reply.reply_.response_.body_ = "body";
    std::string bytes;
    appendFrame(bytes, reply);
    for (const bool writing : { false, true }) {
        for (const bool reset : { false, true }) {
            for (const auto size : { std::size_t { 3 }, bytes.size() / 2, bytes.size() - 1 }) {
                asio::io_context context;
                asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
                asio::ip::tcp::socket client(context);
                client.connect(acceptor.local_endpoint());
                auto peer = acceptor.accept();
                const auto stream = std::make_shared<FrameStream>(std::move(client));
                int frames = 0;
                int ends = 0;
                stream->start({ [&](const Frame&) {
                                   ++frames;
                               },
                    [&](const std::string&) {
                        ++ends;
                    } });
                StateFrame state;
                state.config_.assign(writing ? unreadBytes : 1, 'y');
                stream->send(state);
                context.run_for(milliseconds(2));
                asio::write(peer, asio::buffer(bytes, size));
                if (reset) {
                    peer.set_option(asio::socket_base::linger(true, 0));
                    peer.close();
                } else {
                    peer.shutdown(asio::ip::tcp::socket::shutdown_send);
                }
                const auto end = Clock::now() + seconds(5);
                while (ends == 0 && Clock::now() < end) {
                    context.restart();
                    context.run_for(milliseconds(2));
                }
                cr_expect(frames == 0 && ends == 1, "%zu bytes, writing %d, reset %d: %d frames, %d ends",
                    size, static_cast<int>(writing), static_cast<int>(reset), frames, ends);
            }
        }
    }
}
