/// The interface between the execution of calls and the at-most-once ledger. Internal to the library.
#pragma once

#include "wagtailhead/messages.h"

#include <functional>
#include <optional>

namespace wagtailhead {

/// Decides about operations that run at most once. Implemented by the ledger service. Thread safe.
class OnceGuard {
public:
    virtual ~OnceGuard() = default;

    /// What the executor does for one call. Exactly one of `onAnswer` and `onUnanswered` ends it.
    struct Events {
        /// The answer to this call. For NotRun it may be told to the caller before the time only.
        std::function<void(Answer, TimePoint)> onAnswer_;
        /// The call is recorded and should be admitted now; runs at most once, before `onAnswer_`.
        std::function<void()> onReady_;
        /// The call was ready, but must not be dispatched any more.
        std::function<void()> onWithdrawn_;
    };

    /// Takes a call in. With a refusal the call will not run here; the guard then finds out what may be
    /// answered. Events run at once or later.
    virtual auto begin(const CallRequest& call, std::optional<Answer> refusal, Events events) -> void = 0;

    /// Returns whether a ready call may be dispatched now; if so, `finished` must follow.
    virtual auto mayDispatch(const CallRequest& call) -> bool = 0;

    /// Reports that admission refused a ready call.
    virtual auto refused(const CallRequest& call, const Answer& refusal) -> void = 0;

    /// Reports the end of a dispatched call.
    virtual auto finished(const CallRequest& call, const Answer& answer) -> void = 0;
};

} // namespace wagtailhead
