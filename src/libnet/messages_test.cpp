#include "wagtailhead/messages.h"

#include <criterion/criterion.h>
#include <random>

using namespace wagtailhead;

namespace {

auto sampleCall(TimePoint now) -> CallRequest
{
    CallRequest call;
    call.callId_ = 7;
    call.target_ = { "node-b", 11 };
    call.attempt_ = { { "node-a", 10 }, 3 };
    call.context_.rootId_ = 99;
    call.context_.rootHash_ = rootHashOf(99);
    call.context_.priority_ = Priority::Critical;
    call.context_.deadline_ = now + milliseconds(750);
    call.context_.idempotencyKey_ = "riga:1";
    call.once_ = true;
    call.shard_ = { "pasutijumi", "r/riga/5", 4 };
    call.acceptedAt_ = now - milliseconds(20);
    call.service_ = "pasutijumi";
    call.http_
        = { "POST", "/orders", { { "Content-Type", "application/json" } }, std::string("\0binary\xff", 8) };
    return call;
}

} // namespace

/// Guards against a field that is lost or swapped between encoding and decoding.
Test(messages, call_request_survives_a_round_trip)
{
    const TimePoint now(seconds(1000));
    const auto bytes = encodeMessage(sampleCall(now), now);
    const auto decoded = decodeMessage(bytes, now);
    cr_assert(isOk(decoded));
    const auto& call = std::get<CallRequest>(valueOf(decoded));
    cr_assert_eq(call.callId_, 7U);
    cr_assert(call.target_ == (NodeRef { "node-b", 11 }));
    cr_assert(call.attempt_.text() == "node-a/3");
    cr_assert(call.context_.priority_ == Priority::Critical);
    cr_assert(call.shard_ == (ShardRef { "pasutijumi", "r/riga/5", 4 }));
    cr_assert(call.http_.body_ == std::string("\0binary\xff", 8));
    cr_assert(call.http_.headers_ == sampleCall(now).http_.headers_);
}

/// Guards against time points being carried as absolute readings of the sender's clock.
Test(messages, time_points_move_to_the_receivers_clock)
{
    const TimePoint senderNow(seconds(1000));
    const TimePoint sentAt(seconds(5));
    const auto decoded = decodeMessage(encodeMessage(sampleCall(senderNow), senderNow), sentAt);
    const auto& call = std::get<CallRequest>(valueOf(decoded));
    cr_assert(call.context_.deadline_ == sentAt + milliseconds(750));
    cr_assert(call.acceptedAt_ == sentAt - milliseconds(20));
}

/// Guards against a truncated or damaged frame crashing the node or being taken for a message.
Test(messages, damaged_bytes_give_an_error_or_a_message_but_never_a_crash)
{
    const TimePoint now(seconds(1000));
    const auto bytes = encodeMessage(sampleCall(now), now);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        cr_assert(!isOk(decodeMessage(bytes.substr(0, length), now)), "%zu bytes were accepted", length);
    }
    std::mt19937_64 random(1); // NOLINT(bugprone-random-generator-seed): a fixed seed repeats the run
    for (int round = 0; round < 20000; ++round) {
        auto damaged = bytes;
        for (int change = 0; change < 3; ++change) {
            damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        (void)decodeMessage(damaged, now);
    }
}

/// Guards against an alternative of Message that was left out of the decoder.
Test(messages, every_message_type_survives_a_round_trip)
{
    const TimePoint now(seconds(1));
    SealReply seal;
    seal.entries_.push_back({ "key", 5, true, { Outcome::Completed, 200, "ok", {}, "body" }, seconds(3) });
    seal.blocked_.emplace_back("blocked", seconds(9));
    const std::vector<Message> all { Hello {}, Ping {}, Pong {}, sampleCall(now), CallReply {}, CancelCall {},
        Fence {}, FenceReply {}, RecordStart {}, RecordAck {}, RecordOutcome {}, Seal {}, seal, Install {},
        InstallAck {}, Commit {}, CommitAck {}, SummaryRequest {}, SummaryReply {} };
    cr_assert_eq(all.size(), std::variant_size_v<Message>);
    for (std::size_t i = 0; i < all.size(); ++i) {
        const auto decoded = decodeMessage(encodeMessage(all[i], now), now);
        cr_assert(isOk(decoded), "type %zu: %s", i, errorOf(decoded).text_.c_str());
        cr_assert_eq(valueOf(decoded).index(), i);
    }
    const auto decoded = decodeMessage(encodeMessage(seal, now), now);
    const auto& copy = std::get<SealReply>(valueOf(decoded));
    cr_assert_eq(copy.entries_.at(0).answer_.body_, "body");
    cr_assert(copy.blocked_.at(0).second == seconds(9));
}

/// Guards against a field of the ledger's messages that the codec leaves out.
Test(messages, ledger_messages_keep_their_fields)
{
    const TimePoint now(seconds(1));
    Fence fence;
    fence.member_ = { "m", 3 };
    fence.bodyHash_ = 77;
    fence.attempt_ = { { "e", 1 }, 2 };
    const auto fenceCopy = decodeMessage(encodeMessage(fence, now), now);
    cr_assert_eq(std::get<Fence>(valueOf(fenceCopy)).bodyHash_, 77U);
    cr_assert(std::get<Fence>(valueOf(fenceCopy)).member_ == fence.member_);
    RecordStart record;
    record.acceptedAt_ = now - milliseconds(30);
    record.round_ = 9;
    record.block_ = true;
    const auto recordCopy = decodeMessage(encodeMessage(record, now), now + seconds(5));
    cr_assert(std::get<RecordStart>(valueOf(recordCopy)).acceptedAt_ == now + seconds(5) - milliseconds(30));
    cr_assert_eq(std::get<RecordStart>(valueOf(recordCopy)).round_, 9U);
    cr_assert(std::get<RecordStart>(valueOf(recordCopy)).block_);
    Commit commit;
    commit.members_ = { 4, { "o", 1 }, { { "w", 2 } } };
    commit.begun_ = true;
    const auto commitCopy = decodeMessage(encodeMessage(commit, now), now);
    cr_assert(std::get<Commit>(valueOf(commitCopy)).members_ == commit.members_);
    cr_assert(std::get<Commit>(valueOf(commitCopy)).begun_);
}
