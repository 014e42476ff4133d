/// The object API on HTTP: requests, and the meaning of answers.
#pragma once

#include "wagtailhead/store_client.h"

namespace wagtailhead {

/// Returns the HTTP request for a command. Precondition: the key is valid.
auto storeRequest(const StoreCommand& command) -> HttpRequest;

/// Returns what the outcome of that request means.
auto parseStoreAnswer(const StoreCommand& command, const HttpResult& result) -> StoreAnswer;

} // namespace wagtailhead
