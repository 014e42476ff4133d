#include "store_json.h"

namespace wagtailhead::standin {

auto objectText(const StoredObject& object) -> std::string
{
    return R"({"key":")" + object.key_ + R"(","version":)" + std::to_string(object.version_) + R"(,"value":)"
        + object.value_ + '}';
}

auto listText(const ObjectList& list) -> std::string
{
    std::string text = R"({"version":)" + std::to_string(list.version_) + R"(,"objects":[)";
    for (const auto& object : list.objects_) {
        text += (text.back() == '[' ? "" : ",") + objectText(object);
    }
    text += R"(],"deleted":[)";
    for (const auto& key : list.deleted_) {
        text += (text.back() == '[' ? "\"" : ",\"") + key + '"';
    }
    return text + "]}";
}

} // namespace wagtailhead::standin
