/// The body of a request, shared by all who hold the request.
#pragma once

#include "memory_budget.h"

#include <memory>
#include <string>
#include <string_view>

namespace wagtailhead::http1 {

/// An immutable text. Copies share it, so that a large body is held once from its reading to its last byte at
/// the backend server, and its memory stays charged as long. Not thread safe.
class Body {
public:
    Body() = default;
    Body(std::string text) // NOLINT(google-explicit-constructor): a body is a text.
        : Body(std::move(text), MemoryCharge())
    {
    }
    Body(const char* text) // NOLINT(google-explicit-constructor)
        : Body(std::string(text))
    {
    }
    Body(std::string text, MemoryCharge charge)
        : held_(std::make_shared<Held>(Held { std::move(text), std::move(charge) }))
    {
    }

    /// Keeps a charge, in place of the one before, until the last copy has gone. Does nothing for a body that
    /// was never given a text.
    auto hold(MemoryCharge charge) -> void
    {
        if (held_) {
            held_->charge_ = std::move(charge);
        }
    }

    auto text() const -> const std::string&
    {
        static const std::string none;
        return held_ ? held_->text_ : none;
    }
    operator const std::string&() const // NOLINT(google-explicit-constructor)
    {
        return text();
    }
    auto size() const -> std::size_t
    {
        return text().size();
    }
    auto empty() const -> bool
    {
        return text().empty();
    }
    auto operator==(std::string_view other) const -> bool
    {
        return text() == other;
    }
    auto operator==(const Body& other) const -> bool
    {
        return text() == other.text();
    }

private:
    struct Held {
        std::string text_;
        MemoryCharge charge_;
    };
    std::shared_ptr<Held> held_;
};

} // namespace wagtailhead::http1
