#include "wagtailhead/compression.h"

#include <array>
#include <zlib.h>

namespace wagtailhead {

namespace {

constexpr std::size_t blockBytes = 65536;

/// Texts of one document compress tenfold with the fastest level already.
constexpr int level = Z_BEST_SPEED;

/// zlib takes a pointer to bytes that it does not change.
auto bytesOf(std::string_view text) -> Bytef*
{
    return reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
}

} // namespace

auto compressText(std::string_view text) -> std::string
{
    auto size = compressBound(text.size());
    std::string bytes(size, '\0');
    // With a buffer of the bound's size only a lack of memory fails.
    if (compress2(bytesOf(bytes), &size, bytesOf(text), text.size(), level) != Z_OK) {
        throw std::bad_alloc();
    }
    bytes.resize(size);
    return bytes;
}

auto decompressText(std::string_view bytes, std::size_t mostBytes) -> Result<std::string>
{
    z_stream stream {};
    if (inflateInit(&stream) != Z_OK) {
        return Error { ErrorCode::Internal, "no memory for decompression" };
    }
    stream.next_in = bytesOf(bytes);
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string text;
    std::array<char, blockBytes> block {};
    int state = Z_OK;
    while (state == Z_OK && text.size() <= mostBytes) {
        stream.next_out = reinterpret_cast<Bytef*>(block.data());
        stream.avail_out = block.size();
        state = inflate(&stream, Z_NO_FLUSH);
        text.append(block.data(), block.size() - stream.avail_out);
    }
    const bool whole = state == Z_STREAM_END && stream.avail_in == 0 && text.size() <= mostBytes;
    inflateEnd(&stream);
    if (!whole) {
        return Error { ErrorCode::InvalidArgument,
            "compressed text cannot be read, or is longer than " + std::to_string(mostBytes) + " bytes" };
    }
    return text;
}

} // namespace wagtailhead
