/// Prints the story of a request.
#pragma once

#include "log_story.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace wagtailhead {

auto printStory(std::ostream& out, const Story& story) -> void;

auto storyJson(const Story& story) -> nlohmann::json;

} // namespace wagtailhead
