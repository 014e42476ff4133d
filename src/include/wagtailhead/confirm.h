/// One confirm of a plan, as a state machine without I/O.
///
///     ConfirmProcess process(id, team, force);
///     auto step = process.start();
///     while (the step is a ConfirmRead or ConfirmWrite) {
///         ... make the call of the store ...
///         step = process.onRead(...) or process.onWrite(...);
///     }
///
/// The document is replaced by one conditional write, which names the version that the decision was made
/// on, and which carries the id of the intent. After a lost answer the process reads the document again:
/// with its own id in the history the write has taken effect; under a higher generation without it, it
/// never will; with the same version the same write is made again.
#pragma once

#include "wagtailhead/config_store.h"
#include "wagtailhead/document_record.h"
#include "wagtailhead/operator_error.h"
#include "wagtailhead/operator_teams.h"
#include "wagtailhead/plan.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace wagtailhead {

/// Read this object and report it with onRead().
struct ConfirmRead {
    std::string key_;
};

/// Write this object under the condition and report it with onWrite().
struct ConfirmWrite {
    std::string key_;
    std::string value_;
    std::optional<std::uint64_t> version_; ///< Nothing: only if the object does not exist.
};

/// The change has been accepted. `document_` is in the store and has to be spread.
struct ConfirmDone {
    ConfigKind kind_ = ConfigKind::Classes;
    std::uint64_t generation_ = 0;
    bool repeated_ = false; ///< An earlier confirm of the same intent had written it.
    std::vector<std::string> notes_; ///< What differs from the plan.
    std::string document_; ///< The present document of the kind.
    std::uint64_t documentGeneration_ = 0; ///< Its generation; higher if other changes followed.
    /// If set, this write of the plan notes that it was confirmed. Its outcome does not matter.
    std::optional<ConfirmWrite> mark_;
};

using ConfirmStep = std::variant<ConfirmRead, ConfirmWrite, ConfirmDone, OperatorError>;

/// What the node knows at the time of a decision.
struct ConfirmSurroundings {
    PlanWorld world_;
    /// The document of the kind that is in force at this node, if any. It counts as the base if its
    /// generation is higher than the stored one's, which happens after the store was rolled back.
    std::optional<std::string> inForce_;
    WallClock::time_point now_;
};

/// Not thread safe. Times out by itself after `maxAttempts` reads and writes with lost answers.
class ConfirmProcess {
public:
    /// Write attempts with lost answers before the outcome is reported as unknown.
    static constexpr int maxAttempts = 3;

    /// `team` confirms; it needs the same permissions as the author.
    ConfirmProcess(std::string id, OperatorTeam team, bool force);

    auto start() -> ConfirmStep;
    auto onRead(const ConfigReadResult& result, const ConfirmSurroundings& surroundings) -> ConfirmStep;
    auto onWrite(const ConfigWriteResult& result) -> ConfirmStep;

    /// Returns the kind of the plan. Valid after the plan was read.
    auto kind() const -> ConfigKind;

private:
    auto onPlan(const ConfigReadResult& result) -> ConfirmStep;
    auto onDocument(const std::optional<StoredValue>& stored, const ConfirmSurroundings& surroundings)
        -> ConfirmStep;
    auto decide(const PlanBase& base, const std::optional<StoredValue>& stored,
        const ConfirmSurroundings& surroundings) -> ConfirmStep;
    auto resolve(const std::optional<StoredValue>& stored) -> ConfirmStep;
    auto done(const std::string& document, bool repeated) -> ConfirmStep;
    auto readDocument() const -> ConfirmStep;
    auto unknownOutcome() const -> ConfirmStep;

    const std::string id_;
    const OperatorTeam team_;
    const bool force_;
    StoredPlan plan_;
    std::uint64_t planVersion_ = 0;
    bool planRead_ = false;
    std::vector<std::string> notes_;
    std::optional<ConfirmWrite> write_; ///< Made at least once.
    int attempts_ = 0;
    bool uncertain_ = false; ///< An answer to `write_` was lost.
};

/// Returns the key of a plan in the store.
auto intentKey(const std::string& id) -> std::string;

/// Returns the document that counts: the stored one, or the one in force if its generation is higher.
auto planBase(const std::optional<std::string>& stored, const std::optional<std::string>& inForce)
    -> PlanBase;

} // namespace wagtailhead
