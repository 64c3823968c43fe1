// The configuration in force at this process.

#include "ConfigurationCache.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>
#include <variant>

namespace lycheeledge {

namespace {

    void assign(Configuration& to, const ConfigurationValue& value)
    {
        struct Visitor {
            Configuration& to;
            void operator()(const Team& team) const { to.teams.insert_or_assign(team.id, team); }
            void operator()(const Key& key) const { to.keys.insert_or_assign(key.id, key); }
            void operator()(const Queue& queue) const { to.queues.insert_or_assign(queue.id, queue); }
            void operator()(const KindPolicy& policy) const { to.policies.insert_or_assign(policy.kind, policy); }
            void operator()(const VmDrain& drain) const { to.drained.insert_or_assign(drain.vm, true); }
        };
        std::visit(Visitor { to }, value);
    }

    template <typename Map, typename KeyOf> bool eraseByStoreKey(Map& entities, const std::string& key, KeyOf keyOf)
    {
        return std::erase_if(entities, [&](const auto& entity) { return keyOf(entity.first) == key; }) > 0;
    }

    // Withdrawn and unknown keys are rejected alike, so a withdrawn key need not be kept forever.
    bool isRetired(const ConfigurationEntity& entity)
    {
        const auto* key = entity.value ? std::get_if<Key>(&*entity.value) : nullptr;
        return !entity.value || (key && key->withdrawn);
    }

} // namespace

bool ConfigurationCache::apply(const std::vector<StoreEntry>& entries, TimePoint now)
{
    bool changed = false;
    for (const auto& entry : entries) {
        changed |= applyEntry(entry, now);
        m_configuration.revision = std::max(m_configuration.revision, entry.modRevision);
    }
    return changed;
}

bool ConfigurationCache::applyAll(const std::vector<StoreEntry>& entries, Revision snapshot, TimePoint now)
{
    bool changed = apply(entries, now);
    std::set<std::string_view> present;
    for (const auto& entry : entries)
        present.insert(entry.key);
    for (auto it = m_applied.begin(); it != m_applied.end();) {
        if (it->second.revision > snapshot || present.contains(it->first)) {
            ++it;
            continue;
        }
        changed |= eraseEntity(it->first);
        it = m_applied.erase(it);
    }
    return changed;
}

std::vector<ConfigurationCache::EntityRevision> ConfigurationCache::retiredBefore(
    TimePoint before, std::size_t keepLatest) const
{
    std::vector<EntityRevision> retired;
    for (const auto& [key, applied] : m_applied) {
        if (applied.retired)
            retired.emplace_back(key, applied.revision);
    }
    std::sort(retired.begin(), retired.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    retired.resize(retired.size() - std::min(keepLatest, retired.size()));
    std::erase_if(retired, [&](const auto& entity) { return m_applied.at(entity.first).appliedAt > before; });
    return retired;
}

void ConfigurationCache::removeRetired(const std::vector<std::string>& keys)
{
    for (const auto& key : keys) {
        eraseEntity(key);
        m_applied.erase(key);
    }
}

bool ConfigurationCache::applyEntry(const StoreEntry& entry, TimePoint now)
{
    AppliedEntity& applied = m_applied[entry.key];
    if (entry.modRevision <= applied.revision)
        return false;
    applied = { entry.modRevision, false, now };
    if (entry.key == quorumKey)
        return applyQuorum(entry);
    const auto entity = decodeEntity(entry.key, entry.value);
    if (!entity) {
        LOG(ERROR) << "[membership] malformed entity " << entry.key << " at revision " << entry.modRevision
                   << "; the previous value stays in force";
        return false;
    }
    applied.version = entity->version;
    applied.retired = isRetired(*entity);
    if (entity->value)
        assign(m_configuration, *entity->value);
    else
        eraseEntity(entry.key);
    return true;
}

std::uint64_t ConfigurationCache::versionOf(const std::string& storeKey) const
{
    const auto it = m_applied.find(storeKey);
    return it == m_applied.end() ? 0 : it->second.version;
}

bool ConfigurationCache::applyQuorum(const StoreEntry& entry)
{
    auto quorum = decodeQuorum(entry.value);
    if (!quorum) {
        LOG(ERROR) << "[membership] malformed quorum at revision " << entry.modRevision;
        return false;
    }
    m_quorum = std::move(*quorum);
    m_quorum->revision = entry.modRevision;
    return false; // the quorum is not part of configuration()
}

bool ConfigurationCache::eraseEntity(const std::string& key)
{
    return eraseByStoreKey(m_configuration.teams, key, teamKey) || eraseByStoreKey(m_configuration.keys, key, keyKey)
        || eraseByStoreKey(m_configuration.queues, key, queueKey)
        || eraseByStoreKey(m_configuration.policies, key, policyKey)
        || eraseByStoreKey(m_configuration.drained, key, vmDrainKey);
}

} // namespace lycheeledge
