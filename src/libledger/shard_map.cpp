#include "wagtailhead/shard_map.h"

namespace wagtailhead {

auto ShardMap::apply(const ShardRecord& record) -> bool
{
    const std::lock_guard lock(mutex_);
    auto& known = records_[{ record.service_, record.shard_ }];
    if (record.epoch_ <= known.epoch_) {
        return false;
    }
    known = record;
    return true;
}

auto ShardMap::applyItem(const VersionedItem& item) -> Result<bool>
{
    const auto record = parseShardRecord(item.value_);
    if (!isOk(record)) {
        return errorOf(record);
    }
    const auto& read = valueOf(record);
    if (item.key_ != shardObjectKey(read.service_, read.shard_) || item.generation_ != read.epoch_) {
        return Error { ErrorCode::InvalidArgument,
            "item '" + item.key_ + "' of generation " + std::to_string(item.generation_)
                + " holds the record of shard '" + read.shard_ + "' of service '" + read.service_
                + "', epoch " + std::to_string(read.epoch_) };
    }
    return apply(read);
}

auto ShardMap::find(const std::string& service, const std::string& shard) const -> std::optional<ShardRecord>
{
    const std::lock_guard lock(mutex_);
    const auto found = records_.find({ service, shard });
    return found == records_.end() ? std::nullopt : std::optional(found->second);
}

auto ShardMap::list(const std::string& service) const -> std::vector<ShardRecord>
{
    const std::lock_guard lock(mutex_);
    std::vector<ShardRecord> matching;
    for (const auto& [name, record] : records_) {
        if (service.empty() || name.first == service) {
            matching.push_back(record);
        }
    }
    return matching;
}

} // namespace wagtailhead
