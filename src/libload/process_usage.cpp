#include "process_usage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace wagtailhead::load {

auto cpuTicks(std::string_view stat) -> double
{
    // The name of the program, in parentheses, may contain spaces and parentheses itself.
    constexpr int fieldsBeforeTimes = 11;
    const auto nameEnd = stat.rfind(')');
    if (nameEnd == std::string_view::npos) {
        return 0;
    }
    std::istringstream fields { std::string(stat.substr(nameEnd + 1)) };
    std::string skipped;
    for (int i = 0; i < fieldsBeforeTimes; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return fields ? user + system : 0;
}

auto readProcessUsage(int pid) -> std::optional<ProcessUsage>
{
    constexpr double kilobytesPerMegabyte = 1024;
    const auto folder = "/proc/" + std::to_string(pid) + "/";
    std::ifstream statFile(folder + "stat");
    std::string stat;
    if (pid <= 0 || !std::getline(statFile, stat)) {
        return std::nullopt;
    }
    ProcessUsage usage;
    usage.cpuSeconds_ = cpuTicks(stat) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream status(folder + "status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            usage.memoryMb_ = std::stod(line.substr(sizeof("VmHWM:") - 1)) / kilobytesPerMegabyte;
        }
    }
    return usage;
}

auto loadAverage() -> double
{
    double value = 0;
    std::ifstream("/proc/loadavg") >> value;
    return value;
}

} // namespace wagtailhead::load
