#include "wagtailhead/messages.h"

#define MSGPACK_NO_BOOST
#include <limits>
#include <msgpack.hpp>

namespace wagtailhead {

namespace {

using Packer = msgpack::packer<msgpack::sbuffer>;

/// Upper bounds for decoding, so that a malformed length cannot cause a huge allocation.
constexpr std::size_t maxElements = 1 << 20;
constexpr std::size_t maxTextBytes = std::size_t { 64 } << 20;
constexpr std::size_t maxDepth = 16;

auto toMicroseconds(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<microseconds>(duration).count();
}

/// Writes the fields of an aggregate as one MessagePack array.
class Writer {
public:
    Writer(Packer& packer, TimePoint now)
        : packer_(packer)
        , now_(now)
    {
    }

    template <typename... Fields> auto operator()(const Fields&... fields) -> void
    {
        packer_.pack_array(sizeof...(Fields));
        (write(fields), ...);
    }

private:
    template <typename T> auto write(const T& value) -> void
    {
        if constexpr (std::is_enum_v<T>) {
            packer_.pack(static_cast<int>(value));
        } else if constexpr (std::is_arithmetic_v<T>) {
            packer_.pack(value);
        } else {
            describe(*this, const_cast<T&>(value));
        }
    }

    auto write(const std::string& value) -> void
    {
        packer_.pack_bin(static_cast<std::uint32_t>(value.size()));
        packer_.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
    }

    auto write(TimePoint value) -> void
    {
        packer_.pack(toMicroseconds(value - now_));
    }

    auto write(Duration value) -> void
    {
        packer_.pack(toMicroseconds(value));
    }

    template <typename T> auto write(const std::vector<T>& values) -> void
    {
        packer_.pack_array(static_cast<std::uint32_t>(values.size()));
        for (const auto& value : values) {
            write(value);
        }
    }

    template <typename First, typename Second> auto write(const std::pair<First, Second>& value) -> void
    {
        (*this)(value.first, value.second);
    }

    Packer& packer_;
    TimePoint now_;
};

/// Reads the fields of an aggregate from one MessagePack array. Throws msgpack::type_error on a mismatch.
class Reader {
public:
    Reader(const msgpack::object& object, TimePoint sentAt)
        : object_(object)
        , sentAt_(sentAt)
    {
    }

    template <typename... Fields> auto operator()(Fields&... fields) -> void
    {
        const auto array = arrayOf(object_);
        if (array.size != sizeof...(Fields)) {
            throw msgpack::type_error();
        }
        std::size_t index = 0;
        (read(array.ptr[index++], fields), ...);
    }

private:
    static auto arrayOf(const msgpack::object& object) -> msgpack::object_array
    {
        if (object.type != msgpack::type::ARRAY) {
            throw msgpack::type_error();
        }
        return object.via.array;
    }

    template <typename T> auto read(const msgpack::object& object, T& value) -> void
    {
        if constexpr (std::is_same_v<T, Outcome>) {
            value = readEnum(object, Outcome::Unknown);
        } else if constexpr (std::is_same_v<T, Priority>) {
            value = readEnum(object, Priority::Bulk);
        } else if constexpr (std::is_same_v<T, FenceState>) {
            value = readEnum(object, FenceState::NotMine);
        } else if constexpr (std::is_arithmetic_v<T>) {
            value = object.as<T>();
        } else {
            Reader nested(object, sentAt_);
            describe(nested, value);
        }
    }

    template <typename Enum> auto readEnum(const msgpack::object& object, Enum last) -> Enum
    {
        const int number = object.as<int>();
        if (number < 0 || number > static_cast<int>(last)) {
            throw msgpack::type_error();
        }
        return static_cast<Enum>(number);
    }

    auto read(const msgpack::object& object, std::string& value) -> void
    {
        if (object.type != msgpack::type::BIN) {
            throw msgpack::type_error();
        }
        value.assign(object.via.bin.ptr, object.via.bin.size);
    }

    auto read(const msgpack::object& object, TimePoint& value) -> void
    {
        value = sentAt_ + readDuration(object);
    }

    auto read(const msgpack::object& object, Duration& value) -> void
    {
        value = readDuration(object);
    }

    /// Limits durations to a day either way, so that sums with time points cannot overflow.
    auto readDuration(const msgpack::object& object) -> Duration
    {
        constexpr auto limit = microseconds(std::chrono::hours(24)).count();
        const auto number = object.as<std::int64_t>();
        return microseconds(std::min(std::max(number, -limit), limit));
    }

    template <typename T> auto read(const msgpack::object& object, std::vector<T>& values) -> void
    {
        const auto array = arrayOf(object);
        values.clear();
        values.reserve(array.size);
        for (std::uint32_t i = 0; i < array.size; ++i) {
            read(array.ptr[i], values.emplace_back());
        }
    }

    template <typename First, typename Second>
    auto read(const msgpack::object& object, std::pair<First, Second>& value) -> void
    {
        Reader nested(object, sentAt_);
        nested(value.first, value.second);
    }

    const msgpack::object& object_;
    TimePoint sentAt_;
};

// One description of the fields of each type serves both directions.

template <typename A> auto describe(A& a, NodeRef& v) -> void
{
    a(v.id_, v.incarnation_);
}

template <typename A> auto describe(A& a, AttemptId& v) -> void
{
    a(v.entry_, v.number_);
}

template <typename A> auto describe(A& a, ShardRef& v) -> void
{
    a(v.service_, v.shard_, v.epoch_);
}

template <typename A> auto describe(A& a, SheddingLevel& v) -> void
{
    a(v.priority_, v.keepBelow_);
}

template <typename A> auto describe(A& a, LoadReport& v) -> void
{
    a(v.inFlight_, v.queued_, v.limit_, v.level_);
}

template <typename A> auto describe(A& a, HttpRequest& v) -> void
{
    a(v.method_, v.target_, v.headers_, v.body_);
}

template <typename A> auto describe(A& a, Answer& v) -> void
{
    a(v.outcome_, v.status_, v.reason_, v.headers_, v.body_);
}

template <typename A> auto describe(A& a, CallContext& v) -> void
{
    a(v.rootId_, v.rootHash_, v.priority_, v.deadline_, v.retryAllowance_, v.idempotencyKey_, v.depth_,
        v.invested_);
}

template <typename A> auto describe(A& a, ShardEntry& v) -> void
{
    a(v.key_, v.bodyHash_, v.finished_, v.answer_, v.age_);
}

template <typename A> auto describe(A& a, Hello& v) -> void
{
    a(v.version_, v.sender_, v.zone_);
}

template <typename A> auto describe(A& a, Ping& v) -> void
{
    a(v.number_);
}

template <typename A> auto describe(A& a, Pong& v) -> void
{
    a(v.number_);
}

template <typename A> auto describe(A& a, CallRequest& v) -> void
{
    a(v.callId_, v.target_, v.attempt_, v.context_, v.once_, v.idempotent_, v.shard_, v.acceptedAt_,
        v.service_, v.http_);
}

template <typename A> auto describe(A& a, CallReply& v) -> void
{
    a(v.callId_, v.answer_, v.load_, v.subtreeLevel_, v.subtreeService_, v.unusedRetries_, v.localRefusal_,
        v.notRunUntil_);
}

template <typename A> auto describe(A& a, CancelCall& v) -> void
{
    a(v.callId_);
}

template <typename A> auto describe(A& a, Fence& v) -> void
{
    a(v.requestId_, v.shard_, v.owner_, v.member_, v.key_, v.bodyHash_, v.attempt_);
}

template <typename A> auto describe(A& a, FenceReply& v) -> void
{
    a(v.requestId_, v.state_, v.answer_, v.validUntil_);
}

template <typename A> auto describe(A& a, RecordStart& v) -> void
{
    a(v.requestId_, v.shard_, v.owner_, v.witness_, v.key_, v.bodyHash_, v.attempt_, v.acceptedAt_, v.round_,
        v.block_);
}

template <typename A> auto describe(A& a, RecordAck& v) -> void
{
    a(v.requestId_, v.accepted_, v.highestEpoch_, v.reason_);
}

template <typename A> auto describe(A& a, RecordOutcome& v) -> void
{
    a(v.shard_, v.key_, v.attempt_, v.answer_);
}

template <typename A> auto describe(A& a, Seal& v) -> void
{
    a(v.requestId_, v.shard_, v.owner_, v.witness_, v.candidate_, v.newEpoch_, v.after_);
}

template <typename A> auto describe(A& a, SealReply& v) -> void
{
    a(v.requestId_, v.sealed_, v.highestEpoch_, v.entries_, v.blocked_, v.more_, v.active_, v.bases_,
        v.known_);
}

template <typename A> auto describe(A& a, Install& v) -> void
{
    a(v.requestId_, v.shard_, v.owner_, v.witness_, v.entries_, v.first_, v.last_, v.members_, v.copy_,
        v.part_, v.blocked_, v.bases_);
}

template <typename A> auto describe(A& a, InstallAck& v) -> void
{
    a(v.requestId_, v.accepted_, v.highestEpoch_);
}

template <typename A> auto describe(A& a, EpochMembers& v) -> void
{
    a(v.epoch_, v.owner_, v.witnesses_);
}

template <typename A> auto describe(A& a, Commit& v) -> void
{
    a(v.requestId_, v.shard_, v.member_, v.members_, v.bases_, v.begun_);
}

template <typename A> auto describe(A& a, CommitAck& v) -> void
{
    a(v.requestId_, v.accepted_, v.known_);
}

template <typename A> auto describe(A& a, SummaryRequest& v) -> void
{
    a(v.requestId_, v.wholeZone_);
}

template <typename A> auto describe(A& a, SummaryReply& v) -> void
{
    a(v.requestId_, v.text_);
}

/// Decodes the message type with this index, trying the alternatives of Message in order.
template <std::size_t Index = 0> auto readAlternative(std::size_t index, Reader& reader) -> Message
{
    if constexpr (Index == std::variant_size_v<Message>) {
        throw msgpack::type_error();
    } else {
        if (index != Index) {
            return readAlternative<Index + 1>(index, reader);
        }
        std::variant_alternative_t<Index, Message> value;
        describe(reader, value);
        return value;
    }
}

} // namespace

auto AttemptId::text() const -> std::string
{
    return entry_.id_ + "/" + std::to_string(number_);
}

auto encodeMessage(const Message& message, TimePoint now) -> std::string
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    packer.pack_array(2);
    packer.pack(message.index());
    std::visit(
        [&](const auto& value) {
            Writer writer(packer, now);
            describe(writer, const_cast<std::remove_cvref_t<decltype(value)>&>(value));
        },
        message);
    return { buffer.data(), buffer.size() };
}

auto decodeMessage(std::string_view bytes, TimePoint sentAt) -> Result<Message>
{
    try {
        const msgpack::unpack_limit limits(
            maxElements, maxElements, maxTextBytes, maxTextBytes, maxTextBytes, maxDepth);
        bool referenced = false;
        const auto handle = msgpack::unpack(
            bytes.data(), bytes.size(), referenced,
            [](msgpack::type::object_type, std::size_t, void*) {
                return true;
            },
            nullptr, limits);
        const auto& object = handle.get();
        if (object.type != msgpack::type::ARRAY || object.via.array.size != 2) {
            return Error { ErrorCode::InvalidArgument, "a peer message is not an array of type and fields" };
        }
        Reader reader(object.via.array.ptr[1], sentAt);
        return readAlternative(object.via.array.ptr[0].as<std::size_t>(), reader);
    } catch (const std::exception& error) {
        return Error { ErrorCode::InvalidArgument,
            std::string("a peer message is malformed: ") + error.what() };
    }
}

} // namespace wagtailhead
