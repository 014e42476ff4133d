#include "ctl_commands.h"
#include "ctl_options.h"
#include "wagtailhead/log.h"

#include <iostream>

auto main(int argc, char** argv) -> int
{
    using namespace wagtailhead;
    const auto settings = Settings::fromCommandLine(ctlUsage, argc, argv);
    const auto options = require(ctlProgram, parseCtlOptions(settings));
    initLog(ctlProgram, LogLevel::Error);
    return runCtl(options, std::cin, std::cout, std::cerr);
}
