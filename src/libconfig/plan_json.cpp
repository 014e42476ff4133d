#include "json_fields.h"
#include "wagtailhead/plan.h"
#include "wagtailhead/wall_time.h"

namespace wagtailhead {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t maxCount = 1'000'000'000;

/// Values of changes are JSON texts; an absent one is left out.
auto changeJson(const PlanChange& change) -> Json
{
    Json json { { "field", change.field_ } };
    if (!change.oldValue_.empty()) {
        json["old"] = Json::parse(change.oldValue_);
    }
    if (!change.newValue_.empty()) {
        json["new"] = Json::parse(change.newValue_);
    }
    if (!change.service_.empty()) {
        json["service"] = change.service_;
    }
    return json;
}

auto refJson(const NodeRef& ref) -> Json
{
    return { { "id", ref.id_ }, { "incarnation", ref.incarnation_ } };
}

auto serverJson(const PlanServer& server) -> Json
{
    auto json = refJson(server.ref_);
    json["service"] = server.service_;
    json["zone"] = server.zone_;
    json["state"] = memberStateName(server.state_);
    json["backendUp"] = server.backendUp_;
    json["slots"] = server.slots_;
    return json;
}

auto capacityJson(const PlanCapacity& row) -> Json
{
    Json json { { "service", row.service_ }, { "zone", row.zone_ }, { "serversBefore", row.serversBefore_ },
        { "serversAfter", row.serversAfter_ }, { "slotsBefore", row.slotsBefore_ },
        { "slotsAfter", row.slotsAfter_ } };
    if (row.load_) {
        json["inFlight"] = row.load_->inFlight_;
        json["limit"] = row.load_->limit_;
        json["queued"] = row.load_->queued_;
        json["loadAgeMs"] = std::chrono::duration_cast<milliseconds>(row.load_->age_).count();
    }
    return json;
}

template <typename Items, typename Function> auto listJson(const Items& items, Function toJson) -> Json
{
    auto list = Json::array();
    for (const auto& item : items) {
        list.push_back(toJson(item));
    }
    return list;
}

auto parseMemberState(const std::string& text) -> MemberState
{
    for (const auto state :
        { MemberState::Alive, MemberState::Suspect, MemberState::Leaving, MemberState::Dead }) {
        if (text == memberStateName(state)) {
            return state;
        }
    }
    return MemberState::Dead;
}

/// Reads an aggregate from the fields of one object of a list.
template <typename Item>
auto readList(JsonFields& fields, const char* name, std::vector<Item>& items,
    const std::function<Item(JsonFields&, const Json&)>& read) -> void
{
    fields.each(name, [&](const Json& json, const std::string& path) -> Result<Done> {
        JsonFields inner(json, path);
        auto item = read(inner, json);
        auto finished = inner.finish();
        if (isOk(finished)) {
            items.push_back(std::move(item));
        }
        return finished;
    });
}

auto readRef(JsonFields& fields) -> NodeRef
{
    return { fields.text("id"), static_cast<Incarnation>(fields.integer("incarnation", 0, INT64_MAX)) };
}

auto readChange(JsonFields& fields, const Json& json) -> PlanChange
{
    PlanChange change;
    // Unlike other texts a field may be long: it can contain the path of a rule.
    fields.ignore("field");
    if (const auto field = json.find("field"); field != json.end() && field->is_string()) {
        change.field_ = field->get<std::string>();
    } else {
        fields.fail("field", "(none)", "a text");
    }
    if (fields.has("old")) {
        change.oldValue_ = json["old"].dump();
    }
    if (fields.has("new")) {
        change.newValue_ = json["new"].dump();
    }
    change.service_ = fields.text("service", "");
    return change;
}

auto readServer(JsonFields& fields) -> PlanServer
{
    PlanServer server;
    server.ref_ = readRef(fields);
    server.service_ = fields.text("service");
    server.zone_ = fields.text("zone");
    server.state_ = parseMemberState(fields.text("state"));
    server.backendUp_ = fields.boolean("backendUp", false);
    server.slots_ = static_cast<int>(fields.integer("slots", 0, maxCount));
    return server;
}

auto readCount(JsonFields& fields, const char* name) -> int
{
    return static_cast<int>(fields.integer(name, 0, maxCount));
}

auto readCapacity(JsonFields& fields) -> PlanCapacity
{
    PlanCapacity row { fields.text("service"), fields.text("zone"), readCount(fields, "serversBefore"),
        readCount(fields, "serversAfter"), readCount(fields, "slotsBefore"), readCount(fields, "slotsAfter"),
        {} };
    if (fields.has("inFlight")) {
        row.load_ = ServiceLoad { readCount(fields, "inFlight"), readCount(fields, "limit"),
            readCount(fields, "queued"), milliseconds(fields.integer("loadAgeMs", 0, maxCount)) };
    }
    return row;
}

/// Reads a list of sentences, which may be longer than other texts.
auto readSentences(JsonFields& fields, const char* name) -> std::vector<std::string>
{
    std::vector<std::string> sentences;
    fields.each(name, [&](const Json& json, const std::string& path) -> Result<Done> {
        if (!json.is_string()) {
            return Error { ErrorCode::InvalidArgument, "field " + path + " is no text" };
        }
        sentences.push_back(json.get<std::string>());
        return Done {};
    });
    return sentences;
}

auto readTime(JsonFields& fields, const char* name) -> WallClock::time_point
{
    const auto text = fields.text(name);
    const auto time = parseWallTime(text);
    if (!isOk(time)) {
        fields.fail(name, text, "a time of the form 2025-12-04T07:22:45Z");
        return {};
    }
    return valueOf(time);
}

auto readPlan(JsonFields& fields, Plan& plan) -> void
{
    plan.id_ = fields.text("id");
    plan.team_ = fields.text("team");
    plan.created_ = readTime(fields, "created");
    plan.expires_ = readTime(fields, "expires");
    plan.summary_ = fields.text("summary");
    plan.baseGeneration_ = static_cast<std::uint64_t>(fields.integer("baseGeneration", 0, INT64_MAX));
    plan.baseIntent_ = fields.text("baseIntent", "");
    plan.changeCount_ = static_cast<std::size_t>(fields.integer("changeCount", 0, maxCount));
    plan.services_ = fields.texts("services");
    plan.needsAllServices_ = fields.boolean("allServices", false);
    plan.zones_ = fields.texts("zones");
    plan.serverCount_ = static_cast<std::size_t>(fields.integer("serverCount", 0, maxCount));
    plan.effects_ = readSentences(fields, "effects");
    plan.warnings_ = readSentences(fields, "warnings");
    plan.emptied_ = fields.texts("emptied");
    readList<PlanChange>(fields, "changes", plan.changes_, readChange);
    readList<PlanServer>(fields, "servers", plan.servers_, [](JsonFields& inner, const Json&) {
        return readServer(inner);
    });
    readList<PlanCapacity>(fields, "capacity", plan.capacity_, [](JsonFields& inner, const Json&) {
        return readCapacity(inner);
    });
    readList<NodeRef>(fields, "lost", plan.lost_, [](JsonFields& inner, const Json&) {
        return readRef(inner);
    });
}

} // namespace

auto formatPlan(const StoredPlan& stored) -> std::string
{
    const auto& plan = stored.plan_;
    Json json { { "id", plan.id_ }, { "kind", configKindName(plan.intent_.kind_) }, { "team", plan.team_ },
        { "created", formatWallTime(plan.created_) }, { "expires", formatWallTime(plan.expires_) },
        { "summary", plan.summary_ }, { "baseGeneration", plan.baseGeneration_ },
        { "baseIntent", plan.baseIntent_ }, { "generation", plan.baseGeneration_ + 1 },
        { "intent", Json::parse(formatIntent(plan.intent_)) },
        { "changes", listJson(plan.changes_, changeJson) }, { "changeCount", plan.changeCount_ },
        { "services", plan.services_ }, { "allServices", plan.needsAllServices_ }, { "zones", plan.zones_ },
        { "servers", listJson(plan.servers_, serverJson) }, { "serverCount", plan.serverCount_ },
        { "capacity", listJson(plan.capacity_, capacityJson) }, { "effects", plan.effects_ },
        { "warnings", plan.warnings_ }, { "emptied", plan.emptied_ },
        { "lost", listJson(plan.lost_, refJson) } };
    if (plan.baseIntent_.empty()) {
        json.erase("baseIntent");
    }
    if (stored.confirmedGeneration_ != 0) {
        json["confirmed"]
            = { { "generation", stored.confirmedGeneration_ }, { "team", stored.confirmedBy_ } };
    }
    return json.dump();
}

auto parsePlan(std::string_view json) -> Result<StoredPlan>
{
    auto parsed = parseJsonObject(json, "plan");
    if (!isOk(parsed)) {
        return errorOf(parsed);
    }
    const auto& object = valueOf(parsed);
    StoredPlan stored;
    JsonFields fields(object, "plan");
    readPlan(fields, stored.plan_);
    fields.ignore("kind");
    fields.ignore("generation");
    fields.ignore("intent");
    if (fields.has("confirmed")) {
        JsonFields confirmed(object["confirmed"], "plan.confirmed");
        stored.confirmedGeneration_
            = static_cast<std::uint64_t>(confirmed.integer("generation", 1, INT64_MAX));
        stored.confirmedBy_ = confirmed.text("team");
        if (const auto finished = confirmed.finish(); !isOk(finished)) {
            return errorOf(finished);
        }
    }
    if (const auto finished = fields.finish(); !isOk(finished)) {
        return errorOf(finished);
    }
    auto intent = parseIntent(object.contains("intent") ? object["intent"].dump() : "");
    if (!isOk(intent)) {
        return errorOf(intent);
    }
    stored.plan_.intent_ = valueOf(std::move(intent));
    return stored;
}

} // namespace wagtailhead
