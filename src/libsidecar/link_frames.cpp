#include "link_frames.h"

#include "wagtailhead/boot_clock.h"
#include "wagtailhead/http_syntax.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <msgpack.hpp>

namespace wagtailhead {

namespace {

constexpr std::size_t lengthBytes = 4;
/// The largest body is bounded by the limits for callers; a longer frame is an error of the stream.
constexpr std::size_t maxFrameBytes = std::size_t { 160 } << 20;

/// Bounds on what a frame announces. Most strings are shorter than the frame; the longest array holds the
/// entries of all nodes of a site.
constexpr std::size_t maxArrayElements = 100000;
constexpr std::size_t maxNesting = 8;
/// A request does not take longer.
constexpr double mostCostMs = 3.6e6;
/// The age of the last read of the store, in microseconds, of a node that has not read it.
constexpr std::int64_t neverRead = -1;

/// Appends to a string as msgpack's stream type.
struct StringStream {
    std::string& text_;
    const char* omitted_ = nullptr; ///< A text that is not appended.
    std::size_t omittedAt_ = 0; ///< Its place.

    auto write(const char* data, std::size_t size) -> void
    {
        if (omitted_ != nullptr && data == omitted_) {
            omittedAt_ = text_.size();
            return;
        }
        text_.append(data, size);
    }
};

template <typename... Values> auto packAll(StringStream& stream, int type, const Values&... values) -> void
{
    msgpack::packer<StringStream> packer(stream);
    packer.pack_array(sizeof...(values) + 1);
    packer.pack(type);
    (packer.pack(values), ...);
}

/// Reads the elements of an array in order. A missing or mistyped element throws msgpack::type_error.
class ArrayReader {
public:
    explicit ArrayReader(const msgpack::object& object)
    {
        if (object.type != msgpack::type::ARRAY) {
            throw msgpack::type_error();
        }
        array_ = object.via.array;
    }

    template <typename T> auto next() -> T
    {
        if (at_ >= array_.size) {
            throw msgpack::type_error();
        }
        return array_.ptr[at_++].as<T>();
    }

    auto nextArray() -> ArrayReader
    {
        if (at_ >= array_.size) {
            throw msgpack::type_error();
        }
        return ArrayReader(array_.ptr[at_++]);
    }

    auto left() const -> std::size_t
    {
        return array_.size - at_;
    }

private:
    msgpack::object_array array_ {};
    std::uint32_t at_ = 0;
};

/// The place of a type in the variant is its number on the wire.
template <typename T, std::size_t index = 0> constexpr auto typeNumber() -> int
{
    if constexpr (std::is_same_v<T, std::variant_alternative_t<index, Frame>>) {
        return static_cast<int>(index);
    } else {
        return typeNumber<T, index + 1>();
    }
}

auto microsecondsOf(TimePoint time) -> std::int64_t
{
    return std::chrono::duration_cast<microseconds>(time.time_since_epoch()).count();
}

auto microsecondsOf(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<microseconds>(duration).count();
}

auto millisecondsOf(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

template <typename Stream> auto packEntry(msgpack::packer<Stream>& packer, const NodeEntry& entry) -> void
{
    constexpr std::uint32_t fieldCount = 12;
    packer.pack_array(fieldCount);
    packer.pack(entry.node_);
    packer.pack(entry.zone_);
    packer.pack(entry.region_);
    packer.pack(entry.service_);
    packer.pack(entry.link_.ip_);
    packer.pack(entry.link_.port_);
    packer.pack(entry.capacity_);
    packer.pack(entry.backendId_);
    packer.pack(entry.backendBornMs_);
    packer.pack(static_cast<int>(entry.phase_));
    packer.pack(entry.accepting_);
    packer.pack(entry.generation_);
}

auto readPhase(int value) -> BackendPhase
{
    if (value < 0 || value > static_cast<int>(BackendPhase::Gone)) {
        throw msgpack::type_error();
    }
    return static_cast<BackendPhase>(value);
}

auto readEntry(ArrayReader reader) -> NodeEntry
{
    NodeEntry entry;
    entry.node_ = reader.next<std::string>();
    entry.zone_ = reader.next<std::string>();
    entry.region_ = reader.next<std::string>();
    entry.service_ = reader.next<std::string>();
    entry.link_.ip_ = reader.next<std::string>();
    entry.link_.port_ = reader.next<std::uint16_t>();
    entry.capacity_ = reader.next<int>();
    entry.backendId_ = reader.next<std::string>();
    entry.backendBornMs_ = reader.next<std::uint64_t>();
    entry.phase_ = readPhase(reader.next<int>());
    entry.accepting_ = reader.next<bool>();
    entry.generation_ = reader.next<std::uint64_t>();
    return entry;
}

auto pack(StringStream& stream, const HelloFrame& frame) -> void
{
    packAll(stream, typeNumber<HelloFrame>(), frame.node_, frame.incarnation_, frame.configVersion_,
        frame.grantsRoom_);
}

auto pack(StringStream& stream, const CallFrame& frame) -> void
{
    const auto& call = frame.call_;
    packAll(stream, typeNumber<CallFrame>(), frame.id_, frame.sentAtUs_,
        microsecondsOf(call.deadline_) - frame.sentAtUs_, call.attemptId_, call.route_, call.service_,
        call.callerService_, call.method_, call.target_, call.headers_.lines(), call.body_.text(),
        call.idempotent_, call.rank_, microsecondsOf(call.goal_), call.account_);
}

auto pack(StringStream& stream, const ReplyFrame& frame) -> void
{
    const auto& reply = frame.reply_;
    const auto packWith = [&](const auto&... costs) {
        packAll(stream, typeNumber<ReplyFrame>(), frame.id_, frame.configVersion_,
            static_cast<int>(reply.outcome_), static_cast<int>(reply.reason_), reply.arrived_,
            reply.response_.status_, reply.response_.headers_.lines(), reply.response_.body_,
            reply.load_.running_, reply.load_.queued_, reply.load_.limit_,
            microsecondsOf(reply.load_.serviceTime_), reply.load_.level_, reply.load_.called_.level_,
            millisecondsOf(reply.load_.called_.age_), static_cast<int>(reply.load_.calls_),
            reply.fromBackend_, reply.load_.failedShare_, costs...);
    };
    if (reply.spent_ > Duration::zero()) {
        packWith(microsecondsOf(reply.spent_), static_cast<float>(std::min(reply.calledCostMs_, mostCostMs)),
            static_cast<float>(reply.load_.slowdown_));
    } else {
        packWith();
    }
}

auto pack(StringStream& stream, const CancelFrame& frame) -> void
{
    packAll(stream, typeNumber<CancelFrame>(), frame.id_);
}

auto pack(StringStream& stream, const FenceFrame& frame) -> void
{
    packAll(stream, typeNumber<FenceFrame>(), frame.id_, frame.incarnation_, frame.attemptId_);
}

auto pack(StringStream& stream, const FenceReplyFrame& frame) -> void
{
    packAll(stream, typeNumber<FenceReplyFrame>(), frame.id_, frame.neverRuns_);
}

auto pack(StringStream& stream, const PingFrame& /*frame*/) -> void
{
    packAll(stream, typeNumber<PingFrame>());
}

auto pack(StringStream& stream, const PongFrame& /*frame*/) -> void
{
    packAll(stream, typeNumber<PongFrame>());
}

auto pack(StringStream& stream, const StateRequestFrame& frame) -> void
{
    packAll(stream, typeNumber<StateRequestFrame>(), frame.configVersion_, frame.wantsEntries_);
}

auto pack(StringStream& stream, const StateFrame& frame) -> void
{
    msgpack::packer<StringStream> packer(stream);
    constexpr std::uint32_t fieldCount = 3;
    packer.pack_array(fieldCount);
    packer.pack(typeNumber<StateFrame>());
    packer.pack(frame.config_);
    packer.pack_array(static_cast<std::uint32_t>(frame.entries_.size()));
    for (const auto& entry : frame.entries_) {
        packEntry(packer, entry);
    }
}

auto pack(StringStream& stream, const EntryFrame& frame) -> void
{
    msgpack::packer<StringStream> packer(stream);
    packer.pack_array(2);
    packer.pack(typeNumber<EntryFrame>());
    packEntry(packer, frame.entry_);
}

/// Packs a frame that ends with a load; `fields` stand before it.
template <typename... Fields>
auto packWithLoad(StringStream& stream, int type, const GateLoad& load, const Fields&... fields) -> void
{
    packAll(stream, type, fields..., load.running_, load.queued_, load.limit_,
        microsecondsOf(load.serviceTime_), load.level_, load.called_.level_,
        millisecondsOf(load.called_.age_), static_cast<int>(load.calls_), load.failedShare_);
}

auto pack(StringStream& stream, const LoadFrame& frame) -> void
{
    packWithLoad(stream, typeNumber<LoadFrame>(), frame.load_);
}

auto pack(StringStream& stream, const BeatFrame& frame) -> void
{
    packAll(stream, typeNumber<BeatFrame>(), frame.configVersion_, frame.watching_, frame.storeReachable_,
        frame.entriesDigest_, frame.storeReadAge_ ? microsecondsOf(*frame.storeReadAge_) : neverRead,
        frame.sentAtUs_);
}

auto pack(StringStream& stream, const QuotaAskFrame& frame) -> void
{
    packAll(stream, typeNumber<QuotaAskFrame>(), frame.id_, frame.account_, frame.wanted_);
}

auto pack(StringStream& stream, const QuotaGrantFrame& frame) -> void
{
    packAll(
        stream, typeNumber<QuotaGrantFrame>(), frame.id_, frame.tokens_, microsecondsOf(frame.retryAfter_));
}

auto pack(StringStream& stream, const RoomAskFrame& frame) -> void
{
    packAll(stream, typeNumber<RoomAskFrame>(), frame.id_, frame.bytes_);
}

auto pack(StringStream& stream, const RoomReplyFrame& frame) -> void
{
    packWithLoad(stream, typeNumber<RoomReplyFrame>(), frame.load_, frame.id_, frame.granted_);
}

auto readCalls(int value) -> CallsMade
{
    if (value < 0 || value > static_cast<int>(CallsMade::Some)) {
        throw msgpack::type_error();
    }
    return static_cast<CallsMade>(value);
}

/// Reads a number of microseconds, limited to what later sums of times can hold.
auto readMicroseconds(ArrayReader& reader) -> microseconds
{
    constexpr microseconds longest = std::chrono::hours(24 * 365 * 20);
    return std::clamp(microseconds(reader.next<std::int64_t>()), -longest, longest);
}

auto readBeat(ArrayReader& reader) -> BeatFrame
{
    BeatFrame frame;
    frame.configVersion_ = reader.next<std::uint64_t>();
    frame.watching_ = reader.next<bool>();
    frame.storeReachable_ = reader.next<bool>();
    frame.entriesDigest_ = reader.next<std::uint64_t>();
    if (reader.left() >= 2) {
        const auto age = readMicroseconds(reader);
        if (age.count() >= 0) {
            frame.storeReadAge_ = age;
        }
        frame.sentAtUs_ = readMicroseconds(reader).count();
    } else if (frame.storeReachable_) {
        frame.storeReadAge_ = Duration::zero(); // Processes of earlier versions say no more than that.
    }
    return frame;
}

auto readLoad(ArrayReader& reader) -> GateLoad
{
    GateLoad load;
    load.running_ = reader.next<int>();
    load.queued_ = reader.next<int>();
    load.limit_ = reader.next<int>();
    load.serviceTime_ = readMicroseconds(reader);
    load.level_ = reader.next<double>();
    load.called_.level_ = reader.next<double>();
    load.called_.age_ = std::chrono::duration_cast<Duration>(milliseconds(std::clamp<std::int64_t>(
        reader.next<std::int64_t>(), 0, milliseconds(std::chrono::hours(24)).count())));
    load.calls_ = readCalls(reader.next<int>());
    if (!std::isfinite(load.level_) || !std::isfinite(load.called_.level_)) {
        throw msgpack::type_error();
    }
    return load;
}

/// Reads a field that processes of earlier versions do not send. It stands behind all others.
auto readFailedShare(ArrayReader& reader) -> double
{
    const double share = reader.left() > 0 ? reader.next<double>() : 0;
    if (!std::isfinite(share)) {
        throw msgpack::type_error();
    }
    return share;
}

auto readCall(ArrayReader& reader) -> CallFrame
{
    CallFrame frame;
    frame.id_ = reader.next<std::uint64_t>();
    frame.sentAtUs_ = readMicroseconds(reader).count();
    auto& call = frame.call_;
    // The receiver adds its own time: only the time left is known here.
    call.deadline_ = TimePoint(readMicroseconds(reader));
    call.attemptId_ = reader.next<std::string>();
    call.route_ = reader.next<std::string>();
    call.service_ = reader.next<std::string>();
    call.callerService_ = reader.next<std::string>();
    call.method_ = reader.next<std::string>();
    call.target_ = reader.next<std::string>();
    call.headers_ = HeaderBlock(reader.next<std::string>());
    call.body_ = reader.next<std::string>();
    call.idempotent_ = reader.next<bool>();
    call.rank_ = reader.next<int>();
    call.goal_ = readMicroseconds(reader);
    // Processes of earlier versions do not send the account.
    call.account_ = reader.left() > 0 ? reader.next<std::string>() : std::string();
    return frame;
}

auto readReply(ArrayReader& reader) -> ReplyFrame
{
    ReplyFrame frame;
    frame.id_ = reader.next<std::uint64_t>();
    frame.configVersion_ = reader.next<std::uint64_t>();
    auto& reply = frame.reply_;
    const auto outcome = reader.next<int>();
    const auto reason = reader.next<int>();
    if (outcome < 0 || outcome > static_cast<int>(GateOutcome::Unknown) || reason < 0
        || reason > static_cast<int>(GateReason::Stopping)) {
        throw msgpack::type_error();
    }
    reply.outcome_ = static_cast<GateOutcome>(outcome);
    reply.reason_ = static_cast<GateReason>(reason);
    reply.arrived_ = reader.next<bool>();
    reply.response_.status_ = reader.next<int>();
    auto lines = reader.next<std::string>();
    reply.response_.body_ = reader.next<std::string>();
    if (reply.outcome_ == GateOutcome::Answered
        && !(isFinalStatus(reply.response_.status_) && areFieldLines(lines))) {
        // Processes of earlier versions check less of a response.
        reply.outcome_ = GateOutcome::Unknown;
        reply.reason_ = GateReason::Malformed;
        reply.response_ = {};
        lines.clear();
    }
    reply.response_.headers_ = HeaderBlock(std::move(lines));
    reply.load_ = readLoad(reader);
    reply.fromBackend_ = reader.next<bool>();
    reply.load_.failedShare_ = readFailedShare(reader);
    if (reader.left() >= 3) {
        reply.spent_ = std::max<Duration>(readMicroseconds(reader), Duration::zero());
        reply.calledCostMs_ = reader.next<float>();
        reply.load_.slowdown_ = reader.next<float>();
        if (!std::isfinite(reply.calledCostMs_) || reply.calledCostMs_ < 0 || reply.calledCostMs_ > mostCostMs
            || !std::isfinite(reply.load_.slowdown_) || reply.load_.slowdown_ < 0) {
            throw msgpack::type_error();
        }
    }
    return frame;
}

auto readStateRequest(ArrayReader& reader) -> StateRequestFrame
{
    StateRequestFrame frame;
    frame.configVersion_ = reader.next<std::uint64_t>();
    frame.wantsEntries_ = reader.next<bool>();
    return frame;
}

auto readState(ArrayReader& reader) -> StateFrame
{
    StateFrame frame;
    frame.config_ = reader.next<std::string>();
    auto entries = reader.nextArray();
    while (entries.left() > 0) {
        frame.entries_.push_back(readEntry(entries.nextArray()));
    }
    return frame;
}

auto readFrame(ArrayReader reader) -> Frame
{
    const auto type = reader.next<int>();
    switch (type) {
    case typeNumber<HelloFrame>(): {
        HelloFrame frame;
        frame.node_ = reader.next<std::string>();
        frame.incarnation_ = reader.next<std::uint64_t>();
        frame.configVersion_ = reader.next<std::uint64_t>();
        frame.grantsRoom_ = reader.left() > 0 && reader.next<bool>();
        return frame;
    }
    case typeNumber<CallFrame>():
        return readCall(reader);
    case typeNumber<ReplyFrame>():
        return readReply(reader);
    case typeNumber<CancelFrame>():
        return CancelFrame { reader.next<std::uint64_t>() };
    case typeNumber<FenceFrame>(): {
        FenceFrame frame;
        frame.id_ = reader.next<std::uint64_t>();
        frame.incarnation_ = reader.next<std::uint64_t>();
        frame.attemptId_ = reader.next<std::string>();
        return frame;
    }
    case typeNumber<FenceReplyFrame>(): {
        const auto id = reader.next<std::uint64_t>();
        return FenceReplyFrame { id, reader.next<bool>() };
    }
    case typeNumber<PingFrame>():
        return PingFrame {};
    case typeNumber<PongFrame>():
        return PongFrame {};
    case typeNumber<StateRequestFrame>():
        return readStateRequest(reader);
    case typeNumber<StateFrame>():
        return readState(reader);
    case typeNumber<EntryFrame>():
        return EntryFrame { readEntry(reader.nextArray()) };
    case typeNumber<BeatFrame>():
        return readBeat(reader);
    case typeNumber<QuotaAskFrame>(): {
        QuotaAskFrame frame;
        frame.id_ = reader.next<std::uint64_t>();
        frame.account_ = reader.next<std::string>();
        frame.wanted_ = reader.next<int>();
        return frame;
    }
    case typeNumber<QuotaGrantFrame>(): {
        QuotaGrantFrame frame;
        frame.id_ = reader.next<std::uint64_t>();
        frame.tokens_ = reader.next<int>();
        frame.retryAfter_ = std::max<Duration>(readMicroseconds(reader), Duration::zero());
        return frame;
    }
    case typeNumber<RoomAskFrame>(): {
        const auto id = reader.next<std::uint64_t>();
        return RoomAskFrame { id, reader.next<std::uint64_t>() };
    }
    case typeNumber<RoomReplyFrame>(): {
        RoomReplyFrame frame;
        frame.id_ = reader.next<std::uint64_t>();
        frame.granted_ = reader.next<bool>();
        frame.load_ = readLoad(reader);
        frame.load_.failedShare_ = readFailedShare(reader);
        return frame;
    }
    case typeNumber<LoadFrame>(): {
        LoadFrame frame { readLoad(reader) };
        frame.load_.failedShare_ = readFailedShare(reader);
        return frame;
    }
    default:
        throw msgpack::type_error();
    }
}

auto readLength(std::string_view bytes) -> std::size_t
{
    constexpr int byteBits = 8;
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        length = (length << byteBits) | static_cast<unsigned char>(bytes[i]);
    }
    return length;
}

auto writeLength(std::string& out, std::size_t at, std::size_t length) -> void
{
    constexpr int byteBits = 8;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        out[at + lengthBytes - 1 - i] = static_cast<char>(length >> (byteBits * i));
    }
}

} // namespace

auto appendFrame(std::string& out, const Frame& frame) -> void
{
    const auto start = out.size();
    out.append(lengthBytes, '\0');
    StringStream stream { out };
    std::visit(
        [&](const auto& known) {
            pack(stream, known);
        },
        frame);
    writeLength(out, start, out.size() - start - lengthBytes);
}

auto encodeCall(const CallFrame& frame) -> EncodedCall
{
    EncodedCall call;
    call.body_ = frame.call_.body_;
    auto& text = call.head_;
    text.append(lengthBytes, '\0');
    StringStream stream { text, call.body_.text().data() };
    pack(stream, frame);
    writeLength(text, 0, text.size() - lengthBytes + call.body_.size());
    call.tail_ = text.substr(stream.omittedAt_);
    text.resize(stream.omittedAt_);
    return call;
}

auto announcedFrameBytes(std::string_view bytes) -> std::size_t
{
    if (bytes.size() < lengthBytes) {
        return 0;
    }
    const auto length = readLength(bytes);
    return length > maxFrameBytes ? 0 : lengthBytes + length;
}

auto takeFrame(std::string_view& bytes) -> Result<std::optional<Frame>>
{
    if (bytes.size() < lengthBytes) {
        return std::optional<Frame>();
    }
    const auto length = readLength(bytes);
    if (length > maxFrameBytes) {
        return Error { ErrorCode::InvalidArgument,
            "frame of " + std::to_string(length) + " bytes is longer than " + std::to_string(maxFrameBytes) };
    }
    if (bytes.size() - lengthBytes < length) {
        return std::optional<Frame>();
    }
    const auto body = bytes.substr(lengthBytes, length);
    bytes.remove_prefix(lengthBytes + length);
    try {
        const msgpack::unpack_limit limit(maxArrayElements, 0, maxFrameBytes, maxFrameBytes, 0, maxNesting);
        // Texts are copied once, out of the bytes of the frame.
        const auto refer = [](msgpack::type::object_type, std::size_t, void*) {
            return true;
        };
        const auto handle = msgpack::unpack(body.data(), body.size(), refer, nullptr, limit);
        return std::optional<Frame>(readFrame(ArrayReader(handle.get())));
    } catch (const std::exception& error) {
        return Error { ErrorCode::InvalidArgument, std::string("frame cannot be read: ") + error.what() };
    }
}

} // namespace wagtailhead
