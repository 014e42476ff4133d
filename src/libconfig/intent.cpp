#include "wagtailhead/intent.h"

#include "json_fields.h"
#include "wagtailhead/document_record.h"

#include <algorithm>
#include <set>

namespace wagtailhead {

namespace {

using Json = nlohmann::json;

constexpr auto declareLost = "declare-lost";
/// Bounds the work of one plan; a whole zone of the design target has fewer nodes.
constexpr std::size_t maxNodes = 5000;

auto failure(const std::string& text) -> Error
{
    return { ErrorCode::InvalidArgument, text };
}

/// Reads a list of node ids that may be absent, without repetitions.
auto readIds(JsonFields& fields, const char* name) -> std::vector<NodeId>
{
    if (!fields.has(name)) {
        return {};
    }
    auto ids = fields.texts(name);
    std::set<NodeId> seen;
    for (const auto& id : ids) {
        if (!seen.insert(id).second) {
            fields.fail(name, "\"" + id + "\" twice", "a list of different node ids");
        }
    }
    if (ids.empty() || ids.size() > maxNodes) {
        fields.fail(name, std::to_string(ids.size()) + " node ids", "1 to 5000 node ids");
    }
    return ids;
}

/// Takes the document out of the intent, checks it and notes which generation was edited.
auto readDocument(const Json& json, Intent& intent) -> Result<Done>
{
    const auto kind = configKindName(intent.kind_);
    const auto found = json.find("document");
    if (found == json.end() || !found->is_object()) {
        return failure(std::string("field intent.document is missing or not an object with the ") + kind
            + " configuration");
    }
    auto document = *found;
    if (const auto edited = document.find("generation"); edited != document.end()) {
        const auto generation = parseGeneration(document.dump());
        if (!isOk(generation)) {
            return failure("field " + std::string(kind) + ".generation has value " + edited->dump()
                + ", allowed is an integer of at least 1, or no such field");
        }
        intent.editedGeneration_ = valueOf(generation);
    }
    const auto text = editableDocument(document.dump(), 1);
    if (!isOk(text)) {
        return errorOf(text);
    }
    intent.document_ = valueOf(text);
    return checkConfigDocument(intent.kind_, intent.document_);
}

auto readLeaving(JsonFields& fields, Intent& intent) -> void
{
    intent.add_ = readIds(fields, "add");
    intent.remove_ = readIds(fields, "remove");
    for (const auto& id : intent.add_) {
        if (std::find(intent.remove_.begin(), intent.remove_.end(), id) != intent.remove_.end()) {
            fields.fail("remove", "\"" + id + "\"", "a node id that is not added by the same intent");
        }
    }
    if (intent.add_.empty() && intent.remove_.empty()) {
        fields.fail("add", "(none)", "node ids in add, remove or both, or a document");
    }
}

auto readLost(JsonFields& fields, Intent& intent) -> void
{
    intent.lostNodes_ = readIds(fields, "nodes");
    intent.withdraw_ = readIds(fields, "withdraw");
    if (fields.has("zone")) {
        intent.lostZone_ = fields.text("zone");
    }
    const int forms = static_cast<int>(!intent.lostNodes_.empty())
        + static_cast<int>(!intent.lostZone_.empty()) + static_cast<int>(!intent.withdraw_.empty());
    if (forms != 1) {
        fields.fail(
            "nodes", "with " + std::to_string(forms) + " of nodes, zone and withdraw", "exactly one of them");
    }
}

auto readKind(JsonFields& fields) -> Result<ConfigKind>
{
    const auto name = fields.text("kind");
    if (name == declareLost) {
        return ConfigKind::Lost;
    }
    auto kind = parseConfigKind(name);
    if (!isOk(kind) || valueOf(kind) == ConfigKind::Lost) {
        return failure("field intent.kind has value \"" + name
            + "\", allowed is classes, retries, limits, links, leaving or declare-lost");
    }
    return kind;
}

auto documentOf(const std::optional<std::string>& base, ConfigKind kind) -> Json
{
    // A base that is no valid document is not in force anywhere, and the change starts from nothing.
    if (!base || !isOk(checkConfigDocument(kind, *base))) {
        return { { "nodes", Json::array() } };
    }
    return Json::parse(*base);
}

auto changeLeaving(const Intent& intent, Json& document) -> Result<Done>
{
    auto nodes = document["nodes"].get<std::vector<NodeId>>();
    for (const auto& id : intent.remove_) {
        if (std::erase(nodes, id) == 0) {
            return failure("node '" + id + "' is not in the list of leaving nodes");
        }
    }
    for (const auto& id : intent.add_) {
        if (std::find(nodes.begin(), nodes.end(), id) != nodes.end()) {
            return failure("node '" + id + "' is in the list of leaving nodes already");
        }
        nodes.push_back(id);
    }
    document["nodes"] = nodes;
    return Done {};
}

auto changeLost(const Intent& intent, const std::vector<NodeRef>& lost, WallClock::time_point now,
    Json& document) -> Result<Done>
{
    auto& nodes = document["nodes"];
    const auto isDeclared = [&](const NodeRef& ref) {
        return std::any_of(nodes.begin(), nodes.end(), [&](const Json& node) {
            return node["id"] == ref.id_ && node["incarnation"] == ref.incarnation_;
        });
    };
    const auto declaredMs = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
    for (const auto& ref : lost) {
        // An earlier declaration keeps its time: a later one would only refuse more keys.
        if (!isDeclared(ref)) {
            nodes.push_back(
                { { "id", ref.id_ }, { "incarnation", ref.incarnation_ }, { "declaredMs", declaredMs } });
        }
    }
    for (const auto& id : intent.withdraw_) {
        auto kept = Json::array();
        for (const auto& node : nodes) {
            if (node["id"] != id) {
                kept.push_back(node);
            }
        }
        if (kept.size() == nodes.size()) {
            return failure("node '" + id + "' has not been declared lost");
        }
        nodes = kept;
    }
    return Done {};
}

} // namespace

auto parseIntent(std::string_view json) -> Result<Intent>
{
    auto parsed = parseJsonObject(json, "intent");
    if (!isOk(parsed)) {
        return errorOf(parsed);
    }
    JsonFields fields(valueOf(parsed), "intent");
    Intent intent;
    const auto kind = readKind(fields);
    if (!isOk(kind)) {
        return errorOf(kind);
    }
    intent.kind_ = valueOf(kind);
    intent.note_ = fields.text("note", "");
    const bool replaces = fields.has("document");
    fields.ignore("document");
    if (intent.kind_ == ConfigKind::Lost) {
        readLost(fields, intent);
    } else if (intent.kind_ == ConfigKind::Leaving && !replaces) {
        readLeaving(fields, intent);
    } else {
        const auto read = readDocument(valueOf(parsed), intent);
        if (!isOk(read)) {
            return errorOf(read);
        }
    }
    if (intent.kind_ == ConfigKind::Lost && replaces) {
        fields.fail("document", "(an object)", "no such field; declare nodes or a zone");
    }
    const auto finished = fields.finish();
    if (!isOk(finished)) {
        return errorOf(finished);
    }
    return intent;
}

auto formatIntent(const Intent& intent) -> std::string
{
    Json json { { "kind", intent.kind_ == ConfigKind::Lost ? declareLost : configKindName(intent.kind_) } };
    const auto put = [&](const char* name, const std::vector<NodeId>& ids) {
        if (!ids.empty()) {
            json[name] = ids;
        }
    };
    put("add", intent.add_);
    put("remove", intent.remove_);
    put("nodes", intent.lostNodes_);
    put("withdraw", intent.withdraw_);
    if (!intent.lostZone_.empty()) {
        json["zone"] = intent.lostZone_;
    }
    if (!intent.note_.empty()) {
        json["note"] = intent.note_;
    }
    if (!intent.document_.empty()) {
        auto document = Json::parse(intent.document_);
        document.erase("generation");
        if (intent.editedGeneration_) {
            document["generation"] = *intent.editedGeneration_;
        }
        json["document"] = std::move(document);
    }
    return json.dump();
}

auto proposeDocument(const Intent& intent, const std::optional<std::string>& base,
    const std::vector<NodeRef>& lost, WallClock::time_point now) -> Result<std::string>
{
    std::uint64_t generation = 1;
    if (base) {
        if (const auto present = parseGeneration(*base); isOk(present)) {
            generation = valueOf(present) + 1;
        }
    }
    Json document = intent.document_.empty() ? documentOf(base, intent.kind_) : Json::parse(intent.document_);
    if (intent.document_.empty()) {
        const auto changed = intent.kind_ == ConfigKind::Lost ? changeLost(intent, lost, now, document)
                                                              : changeLeaving(intent, document);
        if (!isOk(changed)) {
            return errorOf(changed);
        }
    }
    auto text = editableDocument(document.dump(), generation);
    if (!isOk(text)) {
        return text;
    }
    const auto checked = checkConfigDocument(intent.kind_, valueOf(text));
    if (!isOk(checked)) {
        return errorOf(checked);
    }
    return text;
}

} // namespace wagtailhead
