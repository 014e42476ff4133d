#include "ctl_commands.h"

#include "admin_client.h"
#include "ctl_text.h"
#include "story_output.h"
#include "wagtailhead/document_record.h"
#include "wagtailhead/intent.h"

#include <fstream>
#include <iterator>
#include <thread>

namespace wagtailhead {

namespace {

using Json = nlohmann::json;

constexpr int exitDone = 0;
constexpr int exitFailed = 1;
constexpr int statusError = 400;
/// A confirm can be repeated safely: it finds its own write.
constexpr int confirmAttempts = 3;
constexpr Duration confirmPause = seconds(1);
/// Nodes share a collected status for a second, so that asking more often shows nothing new.
constexpr Duration followInterval = milliseconds(1000);
constexpr int indent = 2;

/// One run of the program.
class Ctl {
public:
    Ctl(const CtlOptions& options, std::istream& in, std::ostream& out, std::ostream& err)
        : options_(options)
        , in_(in)
        , out_(out)
        , err_(err)
        , client_(options.node_, options.token_)
        , deadline_(Clock::now() + options.timeout_)
    {
    }

    auto createIntent() -> int;
    auto showIntent() -> int;
    auto confirmIntent() -> int;
    auto followIntent() -> int;
    auto checkConfig() -> int;
    auto getConfig() -> int;
    auto traceRequest() -> int;
    /// Gets a path and prints the answer.
    auto show(const std::string& path, void (*print)(std::ostream&, const Json&)) -> int;

private:
    auto call(const std::string& method, const std::string& path, const std::string& body = {})
        -> Result<AdminAnswer>;
    auto timeLeft() const -> Duration;
    auto fail(const std::string& text) -> int;
    /// Prints a failure or a refusal; returns the status of success otherwise.
    auto report(const Result<AdminAnswer>& answer) -> int;
    auto readFile() -> Result<std::string>;
    auto intentBody() -> Result<std::string>;
    auto isAgreed() -> bool;
    auto confirmOnce() -> Result<AdminAnswer>;
    auto printConfirmed(const Json& answer) -> void;
    auto spreadNow(const std::string& kind, std::uint64_t generation) -> Result<Spread>;
    auto printSpread(const Spread& spread) -> void;

    const CtlOptions& options_;
    std::istream& in_;
    std::ostream& out_;
    std::ostream& err_;
    AdminClient client_;
    TimePoint deadline_;
    std::string lastLine_;
};

auto Ctl::timeLeft() const -> Duration
{
    return std::max<Duration>(deadline_ - Clock::now(), milliseconds(1));
}

auto Ctl::call(const std::string& method, const std::string& path, const std::string& body)
    -> Result<AdminAnswer>
{
    return client_.call(method, path, body, timeLeft());
}

auto Ctl::fail(const std::string& text) -> int
{
    err_ << ctlProgram << ": " << text << '\n';
    return exitFailed;
}

auto Ctl::report(const Result<AdminAnswer>& answer) -> int
{
    if (!isOk(answer)) {
        return fail(errorOf(answer).text_);
    }
    const auto& [status, body] = valueOf(answer);
    if (status < statusError) {
        return exitDone;
    }
    if (options_.json_) {
        out_ << body.dump(indent) << '\n';
    }
    return fail(refusalText(body));
}

auto Ctl::show(const std::string& path, void (*print)(std::ostream&, const Json&)) -> int
{
    const auto answer = call("GET", path);
    const int status = report(answer);
    if (status != exitDone) {
        return status;
    }
    if (options_.json_ || !print) {
        out_ << valueOf(answer).body_.dump(indent) << '\n';
    } else {
        print(out_, valueOf(answer).body_);
    }
    return exitDone;
}

auto Ctl::readFile() -> Result<std::string>
{
    if (options_.file_ == "-") {
        return std::string(std::istreambuf_iterator<char>(in_), {});
    }
    std::ifstream file(options_.file_, std::ios::binary);
    if (!file) {
        return Error { ErrorCode::NotFound, "file '" + options_.file_ + "' cannot be read" };
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

auto Ctl::intentBody() -> Result<std::string>
{
    Json json { { "kind", options_.kind_ } };
    const auto put = [&](const char* field, const std::vector<std::string>& ids) {
        if (!ids.empty()) {
            json[field] = ids;
        }
    };
    put("add", options_.addNodes_);
    put("remove", options_.removeNodes_);
    put("nodes", options_.lostNodes_);
    put("withdraw", options_.withdrawNodes_);
    if (!options_.lostZone_.empty()) {
        json["zone"] = options_.lostZone_;
    }
    if (!options_.note_.empty()) {
        json["note"] = options_.note_;
    }
    if (!options_.file_.empty()) {
        const auto text = readFile();
        if (!isOk(text)) {
            return errorOf(text);
        }
        json["document"] = Json::parse(valueOf(text), nullptr, false);
        if (json["document"].is_discarded()) {
            return Error { ErrorCode::InvalidArgument, "file '" + options_.file_ + "' is not valid JSON" };
        }
    }
    auto body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    const auto checked = parseIntent(body);
    if (!isOk(checked)) {
        return errorOf(checked);
    }
    return body;
}

auto Ctl::createIntent() -> int
{
    const auto body = intentBody();
    if (!isOk(body)) {
        return fail(errorOf(body).text_);
    }
    const auto answer = call("POST", "/-/admin/intents", valueOf(body));
    const int status = report(answer);
    if (status != exitDone) {
        return status;
    }
    if (options_.json_) {
        out_ << valueOf(answer).body_.dump(indent) << '\n';
        return exitDone;
    }
    printPlan(out_, valueOf(answer).body_);
    out_ << "\nnothing has changed yet; to put it in force: " << ctlProgram << " intent confirm "
         << valueOf(answer).body_.value("id", "") << '\n';
    return exitDone;
}

auto Ctl::showIntent() -> int
{
    return show("/-/admin/intents/" + options_.id_, printPlan);
}

auto Ctl::isAgreed() -> bool
{
    out_ << "\nput this in force? type yes: " << std::flush;
    std::string line;
    return std::getline(in_, line) && line == "yes";
}

auto Ctl::confirmOnce() -> Result<AdminAnswer>
{
    const auto* body = options_.force_ ? R"({"force":true})" : R"({"force":false})";
    return call("POST", "/-/admin/intents/" + options_.id_ + "/confirm", body);
}

auto Ctl::printConfirmed(const Json& answer) -> void
{
    out_ << "accepted: " << answer.value("kind", "") << " generation "
         << answer.value("generation", std::uint64_t { 0 })
         << (answer.value("repeated", false) ? ", written by an earlier attempt of this confirm" : "")
         << '\n';
    for (const auto& note : answer.value("notes", Json::array())) {
        out_ << "note: " << note.get<std::string>() << '\n';
    }
    out_ << "to see it spread: " << ctlProgram << " intent follow " << options_.id_ << '\n';
}

auto Ctl::confirmIntent() -> int
{
    if (!options_.yes_) {
        const int shown = showIntent();
        if (shown != exitDone) {
            return shown;
        }
        if (!isAgreed()) {
            return fail("not confirmed; nothing has changed");
        }
        deadline_ = Clock::now() + options_.timeout_;
    }
    auto answer = confirmOnce();
    const auto isUnknown = [&] {
        return isOk(answer) ? valueOf(answer).body_.value("error", "") == "outcome-unknown"
                            : errorOf(answer).code_ == ErrorCode::Timeout;
    };
    for (int attempt = 1; attempt < confirmAttempts && isUnknown() && timeLeft() > confirmPause; ++attempt) {
        std::this_thread::sleep_for(confirmPause);
        answer = confirmOnce();
    }
    const int status = report(answer);
    if (status != exitDone) {
        if (isUnknown()) {
            err_ << ctlProgram << ": repeat the command to learn whether the change has been accepted\n";
        }
        return status;
    }
    if (options_.json_) {
        out_ << valueOf(answer).body_.dump(indent) << '\n';
    } else {
        printConfirmed(valueOf(answer).body_);
    }
    return exitDone;
}

auto Ctl::spreadNow(const std::string& kind, std::uint64_t generation) -> Result<Spread>
{
    const auto answer = call("GET", "/-/admin/status");
    if (!isOk(answer)) {
        return errorOf(answer);
    }
    if (valueOf(answer).status_ >= statusError) {
        return Error { ErrorCode::Unavailable, refusalText(valueOf(answer).body_) };
    }
    return spreadOf(valueOf(answer).body_, kind, generation);
}

auto Ctl::printSpread(const Spread& spread) -> void
{
    std::string line = std::to_string(spread.nodes_ - spread.lagging_) + " of "
        + std::to_string(spread.nodes_) + " nodes have it in force";
    if (!spread.where_.empty()) {
        line += "; it lags at " + spread.where_;
    }
    if (spread.missing_ > 0) {
        line += "; " + std::to_string(spread.missing_) + " nodes gave no answer";
    }
    if (!spread.unreachable_.empty()) {
        line += "; unreachable zones: " + spread.unreachable_;
    }
    if (!options_.json_ && line != lastLine_) {
        out_ << line << std::endl;
        lastLine_ = line;
    }
}

auto Ctl::followIntent() -> int
{
    const auto shown = call("GET", "/-/admin/intents/" + options_.id_);
    if (const int status = report(shown); status != exitDone) {
        return status;
    }
    const auto& plan = valueOf(shown).body_;
    if (!plan.contains("confirmed")) {
        return fail("intent " + options_.id_ + " has not been confirmed; its state is "
            + plan.value("state", "not known"));
    }
    const auto kind = plan.value("kind", "");
    const auto generation = plan["confirmed"].value("generation", std::uint64_t { 0 });
    while (true) {
        const auto spread = spreadNow(kind, generation);
        if (!isOk(spread)) {
            return fail(errorOf(spread).text_);
        }
        printSpread(valueOf(spread));
        const bool done = valueOf(spread).lagging_ == 0;
        if (done || timeLeft() <= followInterval) {
            const auto& end = valueOf(spread);
            if (options_.json_) {
                out_ << Json({ { "id", options_.id_ }, { "kind", kind }, { "generation", generation },
                                 { "inForce", done }, { "nodes", end.nodes_ }, { "lagging", end.lagging_ },
                                 { "where", end.where_ }, { "unreachableZones", end.unreachable_ } })
                            .dump(indent)
                     << '\n';
            }
            return done ? exitDone : fail("generation " + std::to_string(generation) + " still lags");
        }
        std::this_thread::sleep_for(followInterval);
    }
}

auto Ctl::checkConfig() -> int
{
    const auto text = readFile();
    if (!isOk(text)) {
        return fail(errorOf(text).text_);
    }
    // A document that is being edited needs no generation yet; a given one is checked.
    auto json = Json::parse(valueOf(text), nullptr, false);
    if (json.is_object() && !json.contains("generation")) {
        json["generation"] = 1;
    }
    const auto document
        = json.is_object() ? json.dump(-1, ' ', false, Json::error_handler_t::replace) : valueOf(text);
    const auto checked = checkConfigDocument(valueOf(parseConfigKind(options_.kind_)), document);
    if (!isOk(checked)) {
        return fail(errorOf(checked).text_);
    }
    out_ << (options_.json_ ? "{\"valid\": true}" : "valid") << '\n';
    return exitDone;
}

auto Ctl::getConfig() -> int
{
    const auto answer = call("GET", "/-/admin/config/" + options_.kind_);
    const int status = report(answer);
    if (status != exitDone) {
        return status;
    }
    const auto& body = valueOf(answer).body_;
    const auto document = body.value("document", Json());
    if (options_.json_) {
        out_ << body.dump(indent) << '\n';
    } else if (document.is_null()) {
        return fail("no " + options_.kind_ + " document is known at the node");
    } else {
        // As a file that can be edited and sent back.
        out_ << document.dump(indent) << '\n';
    }
    if (!body.value("inForce", true)) {
        err_ << ctlProgram << ": this document is not in force at the node, which holds generation "
             << body.value("generation", std::uint64_t { 0 }) << '\n';
    }
    return exitDone;
}

auto Ctl::traceRequest() -> int
{
    StoryReader reader(options_.id_);
    if (options_.files_.empty()) {
        reader.read(in_);
    }
    for (const auto& name : options_.files_) {
        std::ifstream file(name);
        if (!file) {
            return fail("cannot read " + name);
        }
        reader.read(file);
    }
    const auto story = reader.tell();
    if (options_.json_) {
        out_ << storyJson(story).dump(indent) << '\n';
    } else {
        printStory(out_, story);
    }
    return story.found_ ? exitDone : exitFailed;
}

} // namespace

auto runCtl(const CtlOptions& options, std::istream& in, std::ostream& out, std::ostream& err) -> int
{
    Ctl ctl(options, in, out, err);
    switch (options.command_) {
    case CtlCommand::IntentCreate:
        return ctl.createIntent();
    case CtlCommand::IntentShow:
        return ctl.showIntent();
    case CtlCommand::IntentList:
        return ctl.show("/-/admin/intents", printIntents);
    case CtlCommand::IntentConfirm:
        return ctl.confirmIntent();
    case CtlCommand::IntentFollow:
        return ctl.followIntent();
    case CtlCommand::ConfigCheck:
        return ctl.checkConfig();
    case CtlCommand::ConfigGet:
        return ctl.getConfig();
    case CtlCommand::History:
        return ctl.show("/-/admin/history/" + options.kind_, printHistory);
    case CtlCommand::Status:
        return ctl.show("/-/admin/status", printStatus);
    case CtlCommand::Dump:
        return ctl.show("/-/dump", nullptr);
    case CtlCommand::Trace:
        return ctl.traceRequest();
    }
    return exitFailed;
}

} // namespace wagtailhead
