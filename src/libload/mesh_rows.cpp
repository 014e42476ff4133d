#include "mesh_rows.h"

#include <charconv>
#include <map>
#include <sstream>

namespace wagtailhead::load {

namespace {

using Fields = std::map<std::string, std::string>;

auto lineError(const std::string& line, const std::string& text) -> Error
{
    return { ErrorCode::InvalidArgument, "mesh status line '" + line + "': " + text };
}

auto splitLine(const std::string& line) -> Fields
{
    Fields fields;
    std::istringstream words(line);
    for (std::string word; words >> word;) {
        const auto equals = word.find('=');
        if (equals != std::string::npos) {
            fields[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }
    return fields;
}

auto parseProcess(const std::string& line) -> Result<MeshProcess>
{
    auto fields = splitLine(line);
    for (const auto* name : { "role", "pid", "zone", "region", "service", "http", "node" }) {
        if (fields[name].empty()) {
            return lineError(line, "field " + std::string(name) + " is missing");
        }
    }
    MeshProcess process { fields["role"], 0, fields["zone"], fields["region"], fields["service"],
        fields["node"], {}, fields["audit"] == "-" ? "" : fields["audit"] };
    const auto& pid = fields["pid"];
    std::from_chars(pid.data(), pid.data() + pid.size(), process.pid_);
    auto address = parseAddress(fields["http"]);
    if (!isOk(address)) {
        return lineError(line, errorOf(address).text_);
    }
    process.http_ = valueOf(std::move(address));
    if (!isLoopback(process.http_)) {
        return lineError(line, "address " + process.http_.text() + " is not in 127.0.0.0/8");
    }
    return process;
}

} // namespace

auto isLoopback(const Address& address) -> bool
{
    return address.ip_.starts_with("127.");
}

auto parseMeshStatus(std::string_view text) -> Result<MeshProcesses>
{
    MeshProcesses processes;
    std::istringstream lines { std::string(text) };
    for (std::string line; std::getline(lines, line);) {
        if (line.empty()) {
            continue;
        }
        auto parsed = parseProcess(line);
        if (!isOk(parsed)) {
            return errorOf(parsed);
        }
        auto process = valueOf(std::move(parsed));
        if (process.role_ == "node") {
            processes.nodes_.push_back(std::move(process));
        } else if (process.role_ == "backend") {
            processes.backends_.push_back(std::move(process));
        } else if (process.role_ == "store") {
            processes.store_ = std::move(process);
        } else if (process.role_ == "link") {
            processes.link_ = std::move(process);
        } else {
            return lineError(line, "unknown role");
        }
    }
    if (processes.nodes_.empty()) {
        return Error { ErrorCode::InvalidArgument, "the mesh status names no node; is the mesh up?" };
    }
    return processes;
}

} // namespace wagtailhead::load
