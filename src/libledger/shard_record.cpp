#include "wagtailhead/shard_map.h"

#include <nlohmann/json.hpp>

namespace wagtailhead {

namespace {

using Json = nlohmann::json;

constexpr const char* keyPrefix = "shards/";

auto fieldError(const std::string& field, const Json& value, const std::string& allowed) -> Error
{
    return { ErrorCode::InvalidArgument,
        "shard record: field '" + field + "' is " + value.dump(-1, ' ', false, Json::error_handler_t::replace)
            + ", allowed is " + allowed };
}

auto member(const Json& document, const std::string& field) -> const Json&
{
    static const Json missing;
    const auto found = document.find(field);
    return found == document.end() ? missing : *found;
}

auto readText(const Json& document, const std::string& field) -> Result<std::string>
{
    const auto& value = member(document, field);
    if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
        return fieldError(field, value, "a text that is not empty");
    }
    return value.get<std::string>();
}

auto readNumber(const Json& document, const std::string& field, std::uint64_t lowest) -> Result<std::uint64_t>
{
    const auto& value = member(document, field);
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() < lowest) {
        return fieldError(field, value, "an integer of at least " + std::to_string(lowest));
    }
    return value.get<std::uint64_t>();
}

auto readNode(const Json& value, const std::string& field) -> Result<NodeRef>
{
    if (!value.is_object() || value.size() != 2) {
        return fieldError(field, value, "an object {node, incarnation}");
    }
    auto id = readText(value, "node");
    if (!isOk(id)) {
        return errorOf(id);
    }
    const auto incarnation = readNumber(value, "incarnation", 1);
    if (!isOk(incarnation)) {
        return errorOf(incarnation);
    }
    return NodeRef { valueOf(id), valueOf(incarnation) };
}

auto readWitnesses(const Json& document, const NodeRef& owner) -> Result<std::vector<NodeRef>>
{
    const auto& list = member(document, "witnesses");
    const auto allowed
        = "a list of at most " + std::to_string(witnessCount) + " different nodes without the owner";
    if (!list.is_array() || list.size() > witnessCount) {
        return fieldError("witnesses", list, allowed);
    }
    std::vector<NodeRef> witnesses;
    std::set<NodeId> seen { owner.id_ };
    for (const auto& value : list) {
        const auto node = readNode(value, "witnesses");
        if (!isOk(node)) {
            return errorOf(node);
        }
        if (!seen.insert(valueOf(node).id_).second) {
            return fieldError("witnesses", list, allowed);
        }
        witnesses.push_back(valueOf(node));
    }
    return witnesses;
}

auto checkFields(const Json& document) -> std::optional<Error>
{
    static const std::set<std::string> allowed { "service", "shard", "epoch", "owner", "witnesses",
        "issuedAfterMs" };
    for (const auto& [name, value] : document.items()) {
        if (!allowed.contains(name)) {
            return fieldError(name, value, "no such field");
        }
    }
    return std::nullopt;
}

auto readFields(const Json& document) -> Result<ShardRecord>
{
    if (auto error = checkFields(document)) {
        return *error;
    }
    const auto service = readText(document, "service");
    const auto shard = readText(document, "shard");
    const auto epoch = readNumber(document, "epoch", 1);
    const auto owner = readNode(member(document, "owner"), "owner");
    const auto issuedAfter = document.contains("issuedAfterMs") ? readNumber(document, "issuedAfterMs", 1)
                                                                : Result<std::uint64_t>(std::uint64_t { 0 });
    for (const auto* error : { std::get_if<Error>(&service), std::get_if<Error>(&shard),
             std::get_if<Error>(&epoch), std::get_if<Error>(&owner), std::get_if<Error>(&issuedAfter) }) {
        if (error) {
            return *error;
        }
    }
    const auto name = parseShardName(valueOf(shard));
    if (!isOk(name)) {
        return errorOf(name);
    }
    const auto witnesses = readWitnesses(document, valueOf(owner));
    if (!isOk(witnesses)) {
        return errorOf(witnesses);
    }
    return ShardRecord { valueOf(service), valueOf(shard), valueOf(epoch), valueOf(owner), valueOf(witnesses),
        valueOf(issuedAfter) };
}

auto nodeJson(const NodeRef& node) -> Json
{
    return { { "node", node.id_ }, { "incarnation", node.incarnation_ } };
}

} // namespace

auto ShardRecord::members() const -> EpochMembers
{
    return { epoch_, owner_, witnesses_, issuedAfterMs_ };
}

auto ShardRecord::ref() const -> ShardRef
{
    return { service_, shard_, epoch_ };
}

auto parseShardRecord(std::string_view json) -> Result<ShardRecord>
{
    const auto document = Json::parse(json, nullptr, false);
    if (!document.is_object()) {
        return Error { ErrorCode::InvalidArgument, "shard record: the document is no JSON object" };
    }
    return readFields(document);
}

auto formatShardRecord(const ShardRecord& record) -> std::string
{
    Json document { { "service", record.service_ }, { "shard", record.shard_ }, { "epoch", record.epoch_ },
        { "owner", nodeJson(record.owner_) }, { "witnesses", Json::array() } };
    for (const auto& witness : record.witnesses_) {
        document["witnesses"].push_back(nodeJson(witness));
    }
    if (record.issuedAfterMs_ != 0) {
        document["issuedAfterMs"] = record.issuedAfterMs_;
    }
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto shardObjectKey(const std::string& service, const std::string& shard) -> std::string
{
    return keyPrefix + service + "/" + shard;
}

auto shardItem(const ShardRecord& record) -> VersionedItem
{
    return { shardObjectKey(record.service_, record.shard_), record.epoch_, formatShardRecord(record) };
}

} // namespace wagtailhead
