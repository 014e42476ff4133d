/// Frames, and links between a client and a server on loopback.
#include "frame_stream.h"
#include "gate_test_support.h"
#include "link_client.h"
#include "link_server.h"
#include "transit_delay.h"

#include <asio/read.hpp>
#include <asio/write.hpp>
#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

auto freePort(asio::io_context& context) -> std::uint16_t
{
    asio::ip::tcp::acceptor probe(context, { asio::ip::make_address("127.0.0.1"), 0 });
    return probe.local_endpoint().port();
}

constexpr std::size_t longBody = 1000000;

auto uploadCall(const std::string& attempt) -> GateCall
{
    auto call = testCall(attempt, false);
    call.body_ = std::string(longBody, 'y');
    return call;
}

/// One node with a gate, and a client that calls it.
struct World {
    explicit World(std::uint64_t incarnation = 11)
    {
        node_.node_ = "n1";
        node_.link_ = { "127.0.0.1", freePort(context_) };
        gate_.setInstance(readyInstance(1));
        open(incarnation);
    }

    auto open(std::uint64_t incarnation) -> void
    {
        server_.reset();
        auto opened = LinkServer::open(context_, node_.link_,
            { "n1", incarnation, gate_,
                [] {
                    return std::uint64_t { 3 };
                },
                [](const StateRequestFrame&) {
                    return StateFrame { "text", {} };
                },
                [](const NodeEntry&) {},
                [this](const std::string& node, const BeatFrame& heartbeat) {
                    beatFrom_ = node;
                    beat_ = heartbeat;
                },
                [this] {
                    return lacksState_;
                },
                [this](const std::string&, const StateFrame& state) {
                    learned_ = state.config_;
                },
                [] {
                    return std::nullopt;
                },
                [](const QuotaAskFrame& ask) {
                    return QuotaGrantFrame { ask.id_, ask.wanted_ - 1, milliseconds(70) };
                },
                [this](std::size_t bytes) {
                    MemoryCharge charge(bodies_);
                    return charge.tryResize(bytes) ? std::make_optional(std::move(charge)) : std::nullopt;
                } });
        cr_assert(isOk(opened));
        server_ = valueOf(std::move(opened));
    }

    template <typename Done> auto runUntil(Done done) -> bool
    {
        const auto end = Clock::now() + seconds(5);
        while (!done() && Clock::now() < end) {
            context_.run_for(milliseconds(5));
            context_.restart();
            client_.tick(Clock::now());
        }
        return done();
    }

    asio::io_context context_;
    std::shared_ptr<FakePool> pool_ = std::make_shared<FakePool>();
    RequestMetrics metrics_;
    Gate gate_ { { .service_ = "stock", .headers_ = testHeaderNames(), .usedSlotShare_ = 1 }, pool_,
        metrics_ };
    NodeEntry node_;
    std::unique_ptr<LinkServer> server_;
    std::shared_ptr<MemoryBudget> bodies_ = std::make_shared<MemoryBudget>(longBody + longBody / 2);
    std::uint64_t version_ = 0;
    std::string state_;
    bool lacksState_ = false;
    std::string learned_;
    double toldLevel_ = -1;
    std::string beatFrom_;
    BeatFrame beat_;
    std::string owner_;
    int lost_ = 0;
    QuotaGrantFrame grant_;
    Duration toldAge_ {};
    LinkClient client_ { context_,
        { [] {
             return HelloFrame { "caller", 1, 0 };
         },
            [this](const std::string&, std::uint64_t version) {
                version_ = version;
            },
            [this](const std::string&, const StateFrame& state) {
                state_ = state.config_;
            },
            [](const NodeEntry&) {},
            [this](const std::string&, const BeatFrame& heartbeat) {
                beat_ = heartbeat;
            },
            [this](const std::string&, const GateLoad& load) {
                toldLevel_ = load.called_.level_;
                toldAge_ = load.called_.age_;
            },
            [this](const std::string&, const std::string& owner) {
                owner_ = owner;
            },
            [this](const std::string&, bool) {
                ++lost_;
            },
            [](const std::string&) {},
            [](const StateRequestFrame&) {
                return StateFrame { "from the caller", {} };
            },
            [this](const std::string&, const QuotaGrantFrame& grant) {
                grant_ = grant;
            } } };
};

} // namespace

Test(link_frames, survive_the_way)
{
    CallFrame call { 5, 1000, testCall("a", false, 2) };
    call.call_.deadline_ = TimePoint(microseconds(3000));
    call.call_.headers_.add("X", "1");
    call.call_.body_ = std::string("\0\xff", 2);
    std::string bytes;
    appendFrame(bytes, call);
    appendFrame(bytes, FenceReplyFrame { 9, true });
    std::string_view rest = std::string_view(bytes).substr(0, bytes.size() - 1);
    const auto first = takeFrame(rest);
    const auto& got = std::get<CallFrame>(*valueOf(first));
    cr_assert(got.call_.attemptId_ == "a");
    cr_assert(got.call_.body_ == call.call_.body_);
    cr_assert(got.call_.headers_.find("X") == "1");
    cr_assert(!got.call_.idempotent_);
    cr_assert(got.call_.deadline_.time_since_epoch() == microseconds(2000), "the time left is carried");
    cr_assert(!valueOf(takeFrame(rest)), "an incomplete frame was taken");
}

// Nodes are upgraded one after the other, so a node reads frames of the version before.
// The process at the other side may be an earlier version, which takes more bytes for a response.
Test(link_frames, a_reply_without_a_valid_response_is_no_answer)
{
    struct ResponseCase {
        const char* name_;
        int status_;
        const char* lines_;
        bool valid_;
    };
    const ResponseCase cases[] = {
        { "valid", 200, "A: b\r\nC: \r\n", true },
        { "no fields", 599, "", true },
        { "status 0", 0, "", false },
        { "interim status", 100, "", false },
        { "status beyond the classes", 600, "", false },
        { "blank in a name", 200, "A B: c\r\n", false },
        { "blank before the colon", 200, "A : c\r\n", false },
        { "control byte in a name", 200, "A\x01: c\r\n", false },
        { "control byte in a value", 200, "A: \x01\r\n", false },
        { "the end of the head", 200, "A: b\r\n\r\n", false },
        { "no colon", 200, "A\r\n", false },
        { "no end of the line", 200, "A: b", false },
    };
    for (const auto& one : cases) {
        ReplyFrame sent { 7, 3, {} };
        sent.reply_.outcome_ = GateOutcome::Answered;
        sent.reply_.arrived_ = true;
        sent.reply_.response_.status_ = one.status_;
        sent.reply_.response_.headers_ = HeaderBlock(one.lines_);
        sent.reply_.response_.body_ = "body";
        std::string bytes;
        appendFrame(bytes, sent);
        std::string_view rest = bytes;
        const auto frame = takeFrame(rest);
        const auto& reply = std::get<ReplyFrame>(*valueOf(frame)).reply_;
        cr_expect(
            reply.outcome_ == (one.valid_ ? GateOutcome::Answered : GateOutcome::Unknown), "%s", one.name_);
        cr_expect(reply.reason_ == (one.valid_ ? GateReason::None : GateReason::Malformed), "%s", one.name_);
        cr_expect(reply.arrived_, "%s", one.name_);
    }
}

Test(link_frames, the_share_of_failures_may_be_missing)
{
    constexpr std::size_t doubleBytes = 9; // With its type.
    constexpr std::size_t lengthByte = 3;
    constexpr std::size_t countByte = 4;
    LoadFrame load;
    load.load_.limit_ = 7;
    load.load_.failedShare_ = 0.5;
    ReplyFrame reply;
    reply.reply_.fromBackend_ = true;
    reply.reply_.load_.failedShare_ = 0.5;
    for (const Frame& frame : { Frame(load), Frame(reply) }) {
        std::string bytes;
        appendFrame(bytes, frame);
        std::string_view whole = bytes;
        cr_expect(isOk(takeFrame(whole)));
        std::string old = bytes.substr(0, bytes.size() - doubleBytes);
        old[lengthByte] = static_cast<char>(old[lengthByte] - doubleBytes);
        const bool longArray = static_cast<unsigned char>(old[countByte]) == 0xdc;
        auto& count = old[longArray ? countByte + 2 : countByte];
        count = static_cast<char>(count - 1);
        std::string_view rest = old;
        const auto read = takeFrame(rest);
        cr_assert(isOk(read) && valueOf(read), "frame type %zu", frame.index());
        if (const auto* known = std::get_if<LoadFrame>(&*valueOf(read))) {
            cr_expect(known->load_.limit_ == 7 && known->load_.failedShare_ == 0);
        } else {
            const auto& got = std::get<ReplyFrame>(*valueOf(read)).reply_;
            cr_expect(got.fromBackend_ && got.load_.failedShare_ == 0);
        }
    }
}

Test(link_frames, refuse_foreign_bytes)
{
    const std::string cases[] = {
        std::string("\x00\x00\x00\x03xyz", 7), std::string("\xff\xff\xff\xff", 4),
        std::string("\x00\x00\x00\x01\x90", 5), // An empty array.
        std::string("\x00\x00\x00\x02\x91\x63", 6), // An unknown type.
        std::string("\x00\x00\x00\x02\x91\x01", 6), // A call without fields.
    };
    for (const auto& bytes : cases) {
        std::string_view rest = bytes;
        cr_expect(!isOk(takeFrame(rest)));
    }
}

Test(link, carries_a_call_and_its_answer)
{
    World world;
    std::optional<LinkResult> result;
    world.client_.call(world.node_, testCall("a"), [&](LinkResult got) {
        result = std::move(got);
    });
    cr_assert(world.runUntil([&] {
        return world.pool_->sent_.size() == 1;
    }));
    world.pool_->answer(sealedAnswer("a"));
    cr_assert(world.runUntil([&] {
        return result.has_value();
    }));
    cr_assert(std::get<GateReply>(result->value_).response_.body_ == "body");
    cr_assert(result->incarnation_ == 11);
    cr_assert(world.version_ == 3);
}

Test(link, a_cancelled_call_stops_at_the_backend_server)
{
    World world;
    const auto id = world.client_.call(world.node_, testCall("a"), [](LinkResult) {
        cr_assert_fail("a cancelled call was answered");
    });
    cr_assert(world.runUntil([&] {
        return world.pool_->sent_.size() == 1;
    }));
    world.client_.cancel(id);
    cr_assert(world.runUntil([&] {
        return world.pool_->cancelled_.size() == 1;
    }));
}

Test(link, no_connection_is_not_sent)
{
    World world;
    world.node_.link_.port_ = freePort(world.context_);
    std::optional<LinkResult> result;
    world.client_.call(world.node_, testCall("a", false), [&](LinkResult got) {
        result = std::move(got);
    });
    cr_assert(world.runUntil([&] {
        return result.has_value();
    }));
    cr_assert(std::get<LinkFailure>(result->value_) == LinkFailure::NotSent);
}

Test(link, a_fence_tells_what_has_not_started)
{
    World world;
    world.client_.call(world.node_, testCall("running", false), [](LinkResult) {});
    cr_assert(world.runUntil([&] {
        return world.pool_->sent_.size() == 1;
    }));
    std::map<std::string, bool> answers;
    const auto fence = [&](const std::string& attempt, std::uint64_t incarnation) {
        const auto name = attempt + "/" + std::to_string(incarnation);
        world.client_.fence(world.node_, incarnation, attempt, seconds(2), [&answers, name](bool neverRuns) {
            answers[name] = neverRuns;
        });
    };
    fence("running", 11);
    fence("never-sent", 11);
    fence("sent-to-the-process-before", 10);
    cr_assert(world.runUntil([&] {
        return answers.size() == 3;
    }));
    cr_assert(!answers["running/11"]);
    cr_assert(answers["never-sent/11"]);
    cr_assert(!answers["sent-to-the-process-before/10"]);
}

Test(link, a_silent_node_loses_its_calls)
{
    World world;
    asio::ip::tcp::acceptor silent(world.context_, { asio::ip::make_address("127.0.0.1"), 0 });
    world.node_.link_.port_ = silent.local_endpoint().port();
    asio::ip::tcp::socket peer(world.context_);
    std::string hello;
    appendFrame(hello, HelloFrame { "n1", 5, 0 });
    silent.async_accept(peer, [&](const asio::error_code&) {
        asio::write(peer, asio::buffer(hello));
    });
    std::optional<LinkResult> result;
    world.client_.call(world.node_, testCall("a", false), [&](LinkResult got) {
        result = std::move(got);
    });
    cr_assert(world.runUntil([&] {
        return result.has_value();
    }));
    cr_assert(std::get<LinkFailure>(result->value_) == LinkFailure::Lost);
    cr_assert(result->incarnation_ == 5);
    cr_assert(world.client_.stats().silent_ == 1);
}

Test(link, another_node_at_the_address_gets_no_calls)
{
    World world;
    auto other = world.node_;
    other.node_ = "n2";
    std::optional<LinkResult> result;
    world.client_.call(other, testCall("a", false), [&](LinkResult got) {
        result = std::move(got);
    });
    cr_assert(world.runUntil([&] {
        return result.has_value();
    }));
    cr_assert(std::get<LinkFailure>(result->value_) == LinkFailure::NotSent);
    cr_assert(world.pool_->sent_.empty());
}

Test(link, state_comes_on_request)
{
    World world;
    world.client_.requestState(world.node_, { 0, true });
    cr_assert(world.runUntil([&] {
        return world.state_ == "text";
    }));
}

Test(link, a_node_without_state_asks_the_nodes_that_call_it)
{
    World world;
    world.lacksState_ = true;
    world.client_.connect(world.node_);
    cr_assert(world.runUntil([&] {
        return world.learned_ == "from the caller";
    }));
}

Test(link, a_gate_that_refuses_tells_its_load_without_a_call)
{
    World world;
    world.gate_.setCalledLevel({ 1.5, seconds(1) });
    world.client_.connect(world.node_);
    cr_assert(world.runUntil([&] {
        world.server_->tick(Clock::now());
        return world.toldLevel_ == 1.5;
    }));
    cr_assert(world.toldAge_ >= seconds(1));
    world.gate_.setCalledLevel({});
    cr_assert(world.runUntil([&] {
        world.server_->tick(Clock::now());
        return world.toldLevel_ == 0;
    }));
}

Test(link, a_node_tells_what_it_knows_of_the_store)
{
    World world;
    world.client_.sendFrame(world.node_, BeatFrame { 7, true, true });
    cr_assert(world.runUntil([&] {
        return world.beat_.configVersion_ == 7;
    }));
    cr_assert(world.beatFrom_ == "caller" && world.beat_.watching_ && world.beat_.storeReachable_);
    cr_assert(!world.beat_.storeReadAge_, "it has not read the store");
    world.beat_ = {};
    world.server_->broadcast(BeatFrame { 8, false, false, 0, milliseconds(300), 1 });
    cr_assert(world.runUntil([&] {
        return world.beat_.configVersion_ == 8;
    }));
    cr_assert(world.beat_.storeReadAge_ == milliseconds(300));
}

// The heartbeats of a watcher with a slow link, or of one that stood still, arrive late and in a row. Without
// the time in transit each would count as a read of the store just now.
Test(link, the_time_in_transit_counts_for_the_age_of_a_read)
{
    TransitDelay transit;
    const auto ageOf = [&](milliseconds transitTime) {
        constexpr microseconds receivedAt = seconds(1000);
        BeatFrame heartbeat { 1, true, true, 0, milliseconds(100), (receivedAt - transitTime).count() };
        addTransitTime(heartbeat, transit, TimePoint(receivedAt));
        return *heartbeat.storeReadAge_;
    };
    cr_assert(ageOf(milliseconds(40)) == milliseconds(100), "the clocks may differ");
    cr_assert(ageOf(milliseconds(1040)) == milliseconds(1100));
    cr_assert(ageOf(milliseconds(20)) == milliseconds(100));
    cr_assert(ageOf(milliseconds(520)) == milliseconds(600));
}

Test(link_frames, a_heartbeat_of_an_earlier_version_is_read)
{
    for (const bool reachable : { true, false }) {
        // The array of type, version, role, reach and digest, without what was added later.
        std::string text("\0\0\0\6\x95\x0c\x07\xc3", 8);
        text += reachable ? "\xc3" : "\xc2";
        text += '\5';
        std::string_view bytes = text;
        const auto taken = takeFrame(bytes);
        cr_assert(isOk(taken) && valueOf(taken));
        const auto* heartbeat = std::get_if<BeatFrame>(&*valueOf(taken));
        cr_assert(heartbeat != nullptr && heartbeat->configVersion_ == 7 && heartbeat->entriesDigest_ == 5);
        cr_assert(heartbeat->storeReadAge_
            == (reachable ? std::optional(Duration::zero()) : std::optional<Duration>()));
    }
}

Test(link, a_lost_link_is_reported)
{
    World world;
    world.client_.connect(world.node_);
    cr_assert(world.runUntil([&] {
        return world.version_ == 3;
    }));
    world.server_.reset();
    cr_assert(world.runUntil([&] {
        return world.lost_ == 1;
    }));
}

// An operator's report: a second copy of an answer reached the next caller. Here a node sends a reply twice
// on a link.
Test(link, a_reply_that_comes_twice_answers_one_call)
{
    World world;
    world.server_.reset();
    asio::ip::tcp::acceptor acceptor(
        world.context_, { asio::ip::make_address("127.0.0.1"), world.node_.link_.port_ });
    std::shared_ptr<FrameStream> peer;
    std::vector<std::uint64_t> calls;
    const auto reply = [&](std::uint64_t id, const std::string& body) {
        ReplyFrame frame { id, 0, {} };
        frame.reply_.outcome_ = GateOutcome::Answered;
        frame.reply_.response_.status_ = 200;
        frame.reply_.response_.body_ = body;
        peer->send(frame);
    };
    acceptor.async_accept([&](const asio::error_code& error, asio::ip::tcp::socket socket) {
        cr_assert(!error);
        peer = std::make_shared<FrameStream>(std::move(socket));
        peer->start({ [&](Frame frame) {
                         if (const auto* call = std::get_if<CallFrame>(&frame)) {
                             calls.push_back(call->id_);
                         }
                     },
            [](const std::string&) {} });
        peer->send(HelloFrame { "n1", 11, 0 });
    });
    std::vector<std::string> answers(2);
    int answered = 0;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        world.client_.call(world.node_, testCall("a" + std::to_string(i)), [&, i](LinkResult got) {
            ++answered;
            answers[i] = std::get<GateReply>(got.value_).response_.body_;
        });
        cr_assert(world.runUntil([&] {
            return calls.size() == i + 1;
        }));
        if (i == 0) {
            reply(calls[0], "first");
            reply(calls[0], "copy");
        } else {
            reply(calls[0], "late copy");
            reply(calls[1], "second");
        }
        cr_assert(world.runUntil([&] {
            return answered == static_cast<int>(i) + 1;
        }));
    }
    cr_assert(answers == (std::vector<std::string> { "first", "second" }));
    peer->close();
}

// The calls of a link were dropped when its node had another address, and their callers waited for the end of
// their time.
Test(link, calls_to_the_earlier_address_of_a_node_are_lost)
{
    World world;
    std::optional<LinkResult> first;
    world.client_.call(world.node_, testCall("a"), [&](LinkResult result) {
        first = std::move(result);
    });
    cr_assert(world.runUntil([&] {
        return world.pool_->sent_.size() == 1;
    }));
    auto moved = world.node_;
    moved.link_ = { "127.0.0.1", freePort(world.context_) };
    world.client_.connect(moved);
    cr_assert(world.runUntil([&] {
        return first.has_value();
    }));
    cr_assert(std::get<LinkFailure>(first->value_) == LinkFailure::Lost && first->incarnation_ == 11);
}

Test(link, tells_when_a_node_has_handled_a_frame)
{
    World world;
    std::string handled;
    world.client_.sendFrame(world.node_, BeatFrame { 3, true, true, 5 });
    world.client_.afterHandled(world.node_, [&] {
        handled = world.beatFrom_;
    });
    cr_assert(world.runUntil([&] {
        return !handled.empty();
    }));
    cr_assert(handled == "caller");
    world.server_.reset();
    bool late = false;
    world.client_.afterHandled(world.node_, [&] {
        late = true;
    });
    cr_assert(world.runUntil([&] {
        return world.lost_ > 0;
    }));
    cr_assert(!late);
}

// A link that had gone silent without calls under way stayed open, and what was asked for over it never came.
Test(link, a_silent_node_that_was_asked_for_its_state_is_lost)
{
    World world;
    asio::ip::tcp::acceptor silent(world.context_, { asio::ip::make_address("127.0.0.1"), 0 });
    world.node_.link_.port_ = silent.local_endpoint().port();
    asio::ip::tcp::socket peer(world.context_);
    std::string hello;
    appendFrame(hello, HelloFrame { "n1", 5, 0 });
    silent.async_accept(peer, [&](const asio::error_code&) {
        asio::write(peer, asio::buffer(hello));
    });
    world.client_.requestState(world.node_, { 0, true });
    cr_assert(world.runUntil([&] {
        return world.lost_ > 0;
    }));
    cr_assert(world.client_.stats().silent_ == 1);
}

/// Guards against an answer of a custodian that is lost between the nodes.
Test(link, a_custodian_answers_over_the_link)
{
    World world;
    world.client_.sendFrame(world.node_, QuotaAskFrame { 7, "retail", 3 });
    cr_assert(world.runUntil([&] {
        return world.grant_.id_ == 7;
    }));
    cr_assert(world.grant_.tokens_ == 2 && world.grant_.retryAfter_ == milliseconds(70));
}

Test(link_frames, a_call_in_pieces_is_the_same_text)
{
    const CallFrame call { 5, 1000, uploadCall("a") };
    std::string whole;
    appendFrame(whole, call);
    const auto pieces = encodeCall(call);
    cr_assert(pieces.head_ + pieces.body_.text() + pieces.tail_ == whole);
    cr_assert(announcedFrameBytes(pieces.head_) == whole.size());
    cr_assert(announcedFrameBytes(whole.substr(0, 3)) == 0, "the length has not come whole");
    cr_assert(announcedFrameBytes("\xff\xff\xff\xff") == 0, "longer than any frame");
}

// Bodies from other nodes were held without a bound while the backend server read them slowly; the processes
// beside it were killed for their memory (review case 9).
Test(link, a_long_body_is_sent_only_if_the_other_node_has_memory_for_it)
{
    World world;
    std::optional<LinkResult> refused;
    std::optional<LinkResult> answered;
    world.client_.call(world.node_, uploadCall("a"), [&](LinkResult got) {
        answered = std::move(got);
    });
    cr_assert(world.runUntil([&] {
        return world.pool_->sent_.size() == 1;
    }));
    cr_assert(world.bodies_->used() == longBody);
    world.client_.call(world.node_, uploadCall("b"), [&](LinkResult got) {
        refused = std::move(got);
    });
    cr_assert(world.runUntil([&] {
        return refused.has_value();
    }));
    const auto& reply = std::get<GateReply>(refused->value_);
    cr_assert(reply.outcome_ == GateOutcome::NotRun && reply.reason_ == GateReason::Busy && !reply.arrived_);
    cr_assert(reply.load_.limit_ == 1 && reply.load_.running_ == 1, "the node would count as idle");
    cr_assert(world.pool_->sent_.size() == 1 && world.gate_.stats().admitted_ == 1);
    world.pool_->answer(sealedAnswer("a"));
    cr_assert(world.runUntil([&] {
        return answered.has_value();
    }));
    cr_assert(world.bodies_->used() == 0, "%zu bytes are still charged", world.bodies_->used());
}

Test(link, memory_for_a_body_is_given_back_with_a_cancelled_call_or_a_lost_link)
{
    World world;
    world.client_.connect(world.node_);
    cr_assert(world.runUntil([&] {
        return world.version_ == 3;
    }));
    // Cancelled before the reply about its memory can have come.
    const auto id = world.client_.call(world.node_, uploadCall("a"), [](LinkResult) {
        cr_assert_fail("a cancelled call was answered");
    });
    world.client_.cancel(id);
    bool handled = false;
    world.client_.afterHandled(world.node_, [&] {
        handled = true;
    });
    cr_assert(world.runUntil([&] {
        return handled;
    }));
    cr_assert(world.pool_->sent_.empty() && world.bodies_->used() == 0);

    world.client_.sendFrame(world.node_, RoomAskFrame { 99, longBody });
    cr_assert(world.runUntil([&] {
        return world.bodies_->used() == longBody;
    }));
    world.open(12);
    cr_assert(world.runUntil([&] {
        return world.bodies_->used() == 0;
    }));
}

// Nodes are upgraded one after the other: an earlier version neither asks for memory nor answers.
Test(link, a_long_body_without_a_question_is_charged_or_refused)
{
    World world;
    asio::ip::tcp::socket earlier(world.context_);
    earlier.connect(http1::endpointOf(world.node_.link_));
    std::string frames;
    appendFrame(frames, HelloFrame { "n0", 1, 0 });
    appendFrame(frames, CallFrame { 1, 0, uploadCall("a") });
    appendFrame(frames, CallFrame { 2, 0, uploadCall("b") });
    asio::async_write(earlier, asio::buffer(frames), [](const asio::error_code&, std::size_t) {});
    cr_assert(world.runUntil([&] {
        return world.pool_->sent_.size() == 1 && earlier.available() > 0;
    }));
    cr_assert(world.bodies_->used() == longBody && world.gate_.stats().admitted_ == 1);
}
