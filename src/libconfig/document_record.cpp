#include "wagtailhead/document_record.h"

#include "json_fields.h"
#include "wagtailhead/config_documents.h"
#include "wagtailhead/wall_time.h"

#include <algorithm>

namespace wagtailhead {

namespace {

using Json = nlohmann::json;

auto toJson(const HistoryEntry& entry) -> Json
{
    return { { "generation", entry.generation_ }, { "intent", entry.intent_ }, { "team", entry.team_ },
        { "time", formatWallTime(entry.time_) }, { "summary", entry.summary_ } };
}

auto toJson(const std::vector<HistoryEntry>& history) -> Json
{
    auto list = Json::array();
    for (const auto& entry : history) {
        list.push_back(toJson(entry));
    }
    return list;
}

auto parseEntry(const Json& json) -> Result<HistoryEntry>
{
    JsonFields fields(json, "history");
    HistoryEntry entry;
    entry.generation_ = static_cast<std::uint64_t>(fields.integer("generation", 1, INT64_MAX));
    entry.intent_ = fields.text("intent");
    entry.team_ = fields.text("team");
    const auto time = parseWallTime(fields.text("time"));
    entry.summary_ = fields.text("summary");
    const auto finished = fields.finish();
    if (!isOk(finished)) {
        return errorOf(finished);
    }
    if (!isOk(time)) {
        return errorOf(time);
    }
    entry.time_ = valueOf(time);
    return entry;
}

} // namespace

auto DocumentRecord::find(std::string_view intent) const -> const HistoryEntry*
{
    const auto found = std::find_if(history_.begin(), history_.end(), [&](const HistoryEntry& entry) {
        return entry.intent_ == intent;
    });
    return found == history_.end() ? nullptr : &*found;
}

auto DocumentRecord::after(std::uint64_t generation) const -> std::vector<HistoryEntry>
{
    std::vector<HistoryEntry> later;
    std::copy_if(history_.begin(), history_.end(), std::back_inserter(later), [&](const HistoryEntry& entry) {
        return entry.generation_ > generation;
    });
    return later;
}

auto parseDocumentRecord(std::string_view document) -> Result<DocumentRecord>
{
    const auto generation = parseGeneration(document);
    if (!isOk(generation)) {
        return errorOf(generation);
    }
    DocumentRecord record { valueOf(generation), {}, {} };
    const auto json = Json::parse(document);
    if (const auto intent = json.find("intent"); intent != json.end() && intent->is_string()) {
        record.intent_ = intent->get<std::string>();
    }
    if (const auto history = json.find("history"); history != json.end() && history->is_array()) {
        for (const auto& item : *history) {
            if (auto entry = parseEntry(item); isOk(entry)) {
                record.history_.push_back(valueOf(std::move(entry)));
            }
        }
    }
    return record;
}

auto editableDocument(std::string_view document, std::uint64_t generation) -> Result<std::string>
{
    auto json = parseJsonObject(document, "configuration");
    if (!isOk(json)) {
        return errorOf(json);
    }
    auto& object = valueOf(json);
    object.erase("intent");
    object.erase("history");
    object["generation"] = generation;
    return object.dump();
}

auto nextDocument(std::string_view content, const DocumentRecord& base, const HistoryEntry& entry)
    -> std::string
{
    auto json = Json::parse(content);
    auto history = base.history_;
    history.push_back(entry);
    if (history.size() > historyLength) {
        history.erase(history.begin(), history.end() - static_cast<std::ptrdiff_t>(historyLength));
    }
    json["generation"] = entry.generation_;
    json["intent"] = entry.intent_;
    json["history"] = toJson(history);
    return json.dump();
}

auto formatHistory(const std::vector<HistoryEntry>& history) -> std::string
{
    return toJson(history).dump();
}

} // namespace wagtailhead
