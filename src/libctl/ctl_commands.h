/// Carries out the commands of wagtailheadctl. Internal to the program.
#pragma once

#include "ctl_options.h"

#include <istream>
#include <ostream>

namespace wagtailhead {

/// Runs one command and returns the exit status: 0 done, 1 refused or failed. Questions are read from
/// `in`; failures are written to `err` as one line.
auto runCtl(const CtlOptions& options, std::istream& in, std::ostream& out, std::ostream& err) -> int;

} // namespace wagtailhead
