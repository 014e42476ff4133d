#include "level_control.h"

#include "adaptive_level.h"

namespace wagtailhead {

namespace {

class NoShedding final : public LevelControl {
public:
    auto level() const -> const SheddingLevel& override
    {
        return level_;
    }

    auto onArrival(Priority /*priority*/, std::uint64_t /*rootHash*/, Duration /*work*/) -> void override { }

    auto isDue(TimePoint /*now*/) const -> bool override
    {
        return false;
    }

    auto update(const LevelInput& /*input*/, TimePoint /*now*/) -> bool override
    {
        return false;
    }

private:
    SheddingLevel level_;
};

} // namespace

auto LevelControl::create(Mechanism mechanism) -> std::unique_ptr<LevelControl>
{
    if (mechanism == Mechanism::Adaptive) {
        return std::make_unique<AdaptiveLevel>();
    }
    return std::make_unique<NoShedding>();
}

} // namespace wagtailhead
