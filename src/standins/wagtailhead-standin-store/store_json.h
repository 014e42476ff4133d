/// JSON texts of the object API. Values are inserted as they were written, without parsing them again.
#pragma once

#include "object_table.h"

#include <string>

namespace wagtailhead::standin {

/// Returns `{"key","version","value"}`. Keys need no escaping (see isObjectKey).
auto objectText(const StoredObject& object) -> std::string;

/// Returns `{"version","objects":[...],"deleted":[...]}`.
auto listText(const ObjectList& list) -> std::string;

} // namespace wagtailhead::standin
