/// Random changes of byte sequences, for tests that feed decoders with malformed input.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

namespace wagtailhead {

/// Makes malformed inputs from samples of well-formed ones. The same seed makes the same inputs. Not thread
/// safe.
class Mutator {
public:
    /// Precondition: `samples` is not empty.
    Mutator(std::vector<std::string> samples, std::uint64_t seed)
        : samples_(std::move(samples))
        , random_(seed)
    {
    }

    /// Returns a sample with one to six changes.
    auto next() -> std::string
    {
        constexpr std::size_t mostChanges = 6;
        auto text = samples_[below(samples_.size())];
        const auto changes = 1 + below(mostChanges);
        for (std::size_t i = 0; i < changes; ++i) {
            (this->*allChanges[below(allChanges.size())])(text);
        }
        return text;
    }

    /// Returns a number less than `bound`, or 0 if `bound` is 0.
    auto below(std::size_t bound) -> std::size_t
    {
        return bound == 0 ? 0 : std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
    }

private:
    using Change = void (Mutator::*)(std::string& text);

    auto flipBit(std::string& text) -> void
    {
        constexpr int bits = 8;
        if (!text.empty()) {
            auto& byte = text[below(text.size())];
            byte = static_cast<char>(byte ^ (1 << below(bits)));
        }
    }
    auto setByte(std::string& text) -> void
    {
        constexpr std::array<unsigned char, 12> telling { 0x00, 0x7f, 0x80, 0xff, 0xc1, 0xdd, 0xdb, '\r',
            '\n', ':', '[', '"' };
        if (!text.empty()) {
            text[below(text.size())] = static_cast<char>(telling[below(telling.size())]);
        }
    }
    auto insertBytes(std::string& text) -> void
    {
        constexpr std::size_t most = 64;
        constexpr std::size_t values = 256;
        text.insert(below(text.size() + 1), 1 + below(most), static_cast<char>(below(values)));
    }
    auto removeRange(std::string& text) -> void
    {
        const auto start = below(text.size());
        text.erase(start, 1 + below(text.size() - start));
    }
    auto repeatRange(std::string& text) -> void
    {
        const auto start = below(text.size());
        const auto part = text.substr(start, 1 + below(text.size() - start));
        text.insert(below(text.size() + 1), part);
    }
    auto cut(std::string& text) -> void
    {
        text.resize(below(text.size() + 1));
    }
    auto splice(std::string& text) -> void
    {
        const auto& other = samples_[below(samples_.size())];
        text = text.substr(0, below(text.size() + 1)) + other.substr(below(other.size() + 1));
    }

    static constexpr std::array<Change, 7> allChanges { &Mutator::flipBit, &Mutator::setByte,
        &Mutator::insertBytes, &Mutator::removeRange, &Mutator::repeatRange, &Mutator::cut,
        &Mutator::splice };

    std::vector<std::string> samples_;
    std::mt19937_64 random_;
};

/// Returns how many inputs each decoder is fed: the environment's WAGTAILHEAD_FUZZ_INPUTS, or a few for a
/// short run.
inline auto fuzzInputs() -> std::size_t
{
    constexpr std::size_t shortRun = 20000;
    const auto* text = std::getenv("WAGTAILHEAD_FUZZ_INPUTS");
    return text == nullptr ? shortRun : std::strtoull(text, nullptr, 10);
}

/// Returns the seed of the inputs: the environment's WAGTAILHEAD_FUZZ_SEED, or 1.
inline auto fuzzSeed() -> std::uint64_t
{
    const auto* text = std::getenv("WAGTAILHEAD_FUZZ_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

} // namespace wagtailhead
