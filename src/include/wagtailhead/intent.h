/// What an operator asks for: a change of one kind of configuration.
///
/// As JSON it has one of these forms, each with an optional text `note`:
///
///     {"kind":"retries","document":{...}}                       replaces a document
///     {"kind":"leaving","add":["node"],"remove":["node"]}       changes the list of leaving nodes
///     {"kind":"declare-lost","nodes":["node"]}                  declares dead nodes lost for good
///     {"kind":"declare-lost","zone":"zone"}                     the same for all nodes of a zone
///     {"kind":"declare-lost","withdraw":["node"]}               takes declarations back
///
/// A `generation` in a replaced document tells which generation the operator has edited; `intent` and
/// `history` in it are ignored, so that a document that was read can be sent back.
#pragma once

#include "wagtailhead/config_documents.h"
#include "wagtailhead/ids.h"
#include "wagtailhead/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailhead {

struct Intent {
    ConfigKind kind_ = ConfigKind::Classes;
    /// The whole new document as JSON text, with a generation of 1; empty unless the intent replaces it.
    std::string document_;
    /// The generation that the operator has edited, if the document names one.
    std::optional<std::uint64_t> editedGeneration_;
    std::vector<NodeId> add_; ///< Node ids that shall leave.
    std::vector<NodeId> remove_; ///< Node ids that shall no longer leave.
    std::vector<NodeId> lostNodes_;
    std::string lostZone_;
    std::vector<NodeId> withdraw_; ///< Node ids whose declarations are taken back.
    std::string note_;
};

/// Parses and checks an intent. The error names the field, its value and what is allowed.
auto parseIntent(std::string_view json) -> Result<Intent>;

/// Returns the JSON form, which parseIntent reads back.
auto formatIntent(const Intent& intent) -> std::string;

/// Returns the document that the intent makes of `base` (the present document, or nothing), with the next
/// generation, without intent and history. `lost` are the processes that the plan names and `now` is the
/// time of their declaration. Fails with InvalidArgument if the base does not fit, for instance if a node
/// to be removed is not listed, or if the result is invalid.
auto proposeDocument(const Intent& intent, const std::optional<std::string>& base,
    const std::vector<NodeRef>& lost, WallClock::time_point now) -> Result<std::string>;

} // namespace wagtailhead
