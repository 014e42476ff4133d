/// The command line of wagtailheadctl. Internal to the program.
#pragma once

#include "wagtailhead/clock.h"
#include "wagtailhead/result.h"
#include "wagtailhead/settings.h"

#include <string>
#include <vector>

namespace wagtailhead {

constexpr auto ctlProgram = "wagtailheadctl";
extern const char* const ctlUsage;

enum class CtlCommand : std::uint8_t {
    IntentCreate,
    IntentShow,
    IntentList,
    IntentConfirm,
    IntentFollow,
    ConfigCheck,
    ConfigGet,
    History,
    Status,
    Dump,
    Trace,
};

struct CtlOptions {
    CtlCommand command_ = CtlCommand::Status;
    Address node_;
    std::string token_;
    bool json_ = false;
    Duration timeout_ = seconds(30);
    std::string kind_;
    std::string file_; ///< "-" for standard input.
    std::string id_;
    std::vector<std::string> files_; ///< Logs to read; none for standard input.
    std::vector<std::string> addNodes_;
    std::vector<std::string> removeNodes_;
    std::vector<std::string> lostNodes_;
    std::string lostZone_;
    std::vector<std::string> withdrawNodes_;
    std::string note_;
    bool force_ = false;
    bool yes_ = false;
};

/// Reads and checks the command line. The error is one line.
auto parseCtlOptions(const Settings& settings) -> Result<CtlOptions>;

} // namespace wagtailhead
