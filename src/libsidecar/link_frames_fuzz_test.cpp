/// Malformed frames and entries of other nodes. One of them must not end the process.
#include "entry_publisher.h"
#include "link_frames.h"
#include "mutator_test.h"
#include "wagtailhead/compression.h"

#include <criterion/criterion.h>

using namespace wagtailhead;

namespace {

auto sampleEntry() -> NodeEntry
{
    NodeEntry entry;
    entry.node_ = "n1";
    entry.zone_ = "a";
    entry.region_ = "r";
    entry.service_ = "stock";
    entry.link_ = { "127.0.0.1", 8300 };
    entry.backendId_ = "i-1";
    entry.generation_ = 7;
    return entry;
}

auto sampleFrames() -> std::vector<std::string>
{
    GateCall call;
    call.attemptId_ = "a1";
    call.route_ = "r";
    call.headers_.add("Host", "h");
    call.body_ = "body";
    GateReply reply;
    reply.response_.status_ = 200;
    reply.response_.headers_.add("X", "y");
    const std::vector<Frame> frames { HelloFrame { "n1", 1, 2 }, CallFrame { 1, 2, call },
        ReplyFrame { 1, 2, reply }, CancelFrame { 1 }, FenceFrame { 1, 2, "a1" }, FenceReplyFrame { 1, true },
        PingFrame {}, PongFrame {}, StateRequestFrame { 1, true },
        StateFrame { compressText("text"), { sampleEntry(), sampleEntry() } }, EntryFrame { sampleEntry() },
        LoadFrame {}, BeatFrame { 1, true, true, 5, seconds(1), 2 }, QuotaAskFrame { 1, "a", 2 },
        QuotaGrantFrame { 1, 2, seconds(1) }, RoomAskFrame { 1, 2 }, RoomReplyFrame { 1, true, {} } };
    std::vector<std::string> texts;
    for (const auto& frame : frames) {
        appendFrame(texts.emplace_back(), frame);
    }
    return texts;
}

/// Makes the length in front of the frame fit, so that its content is decoded.
auto fixLength(std::string& text) -> void
{
    constexpr std::size_t lengthBytes = 4;
    constexpr int byteBits = 8;
    text.resize(std::max(text.size(), lengthBytes));
    const auto length = text.size() - lengthBytes;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        text[lengthBytes - 1 - i] = static_cast<char>(length >> (byteBits * i));
    }
}

} // namespace

Test(link_frames_fuzz, malformed_frames)
{
    Mutator mutator(sampleFrames(), fuzzSeed());
    for (std::size_t i = 0; i < fuzzInputs(); ++i) {
        auto text = mutator.next();
        if (mutator.below(4) != 0) {
            fixLength(text);
        }
        std::string_view rest = text;
        for (auto frame = takeFrame(rest); isOk(frame) && valueOf(frame); frame = takeFrame(rest)) {
            std::string again;
            appendFrame(again, *valueOf(frame));
        }
    }
}

// The number of elements is only announced; memory must not be taken for them.
Test(link_frames_fuzz, an_announced_length_takes_no_memory)
{
    const char* bodies[] = { "\xdd\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff", "\xdb\xff\xff\xff\xff",
        "\x92\x09\xdd\x7f\xff\xff\xff" };
    for (const auto* body : bodies) {
        std::string text = std::string("    ") + body;
        fixLength(text);
        std::string_view rest = text;
        cr_expect(!isOk(takeFrame(rest)));
    }
    std::string nested = "    " + std::string(1000000, '\x91');
    fixLength(nested);
    std::string_view rest = nested;
    cr_expect(!isOk(takeFrame(rest)), "nested without end");
}

Test(link_frames_fuzz, malformed_entries_and_compressed_texts)
{
    Mutator entries({ entryText(sampleEntry()) }, fuzzSeed());
    Mutator texts({ compressText("text"), compressText(std::string(5000, 't')) }, fuzzSeed());
    constexpr std::size_t most = 10000;
    for (std::size_t i = 0; i < fuzzInputs(); ++i) {
        const auto entry = parseEntry("n1", entries.next());
        if (isOk(entry)) {
            cr_assert(isOk(parseEntry("n1", entryText(valueOf(entry)))));
        }
        const auto text = decompressText(texts.next(), most);
        cr_assert(!isOk(text) || valueOf(text).size() <= most);
    }
}
