// The configuration in force at this process.

#include "ConfigurationCache.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace lycheeledge {

namespace {

    void store(Configuration& to, const ConfigurationValue& value)
    {
        struct Visitor {
            Configuration& to;
            void operator()(const Team& team) const { to.teams.insert_or_assign(team.id, team); }
            void operator()(const Key& key) const { to.keys.insert_or_assign(key.id, key); }
            void operator()(const Queue& queue) const { to.queues.insert_or_assign(queue.id, queue); }
            void operator()(const KindPolicy& policy) const { to.policies.insert_or_assign(policy.kind, policy); }
            void operator()(const DrainMark& mark) const { to.drained.insert_or_assign(mark.vm, true); }
        };
        std::visit(Visitor { to }, value);
    }

    template <typename Map, typename KeyOf> void eraseNamed(Map& entities, const std::string& key, KeyOf keyOf)
    {
        std::erase_if(entities, [&](const auto& entity) { return keyOf(entity.first) == key; });
    }

} // namespace

bool ConfigurationCache::apply(const std::vector<StoreEntry>& entries)
{
    bool changed = false;
    for (const auto& entry : entries) {
        changed |= applyEntry(entry);
        m_configuration.revision = std::max(m_configuration.revision, entry.modRevision);
    }
    return changed;
}

bool ConfigurationCache::applyEntry(const StoreEntry& entry)
{
    Revision& applied = m_applied[entry.key];
    if (entry.modRevision <= applied)
        return false;
    applied = entry.modRevision;
    if (entry.key == quorumKey)
        return applyQuorum(entry);
    const auto entity = decodeEntity(entry.key, entry.value);
    if (!entity) {
        LOG(ERROR) << "[membership] malformed entity " << entry.key << " at revision " << entry.modRevision
                   << "; the previous value stays in force";
        return false;
    }
    m_versions[entry.key] = entity->version;
    if (entity->value)
        store(m_configuration, *entity->value);
    else
        erase(entry.key);
    return true;
}

std::uint64_t ConfigurationCache::versionOf(const std::string& storeKey) const
{
    const auto it = m_versions.find(storeKey);
    return it == m_versions.end() ? 0 : it->second;
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
    return false; // not visible in configuration()
}

void ConfigurationCache::erase(const std::string& key)
{
    eraseNamed(m_configuration.teams, key, teamKey);
    eraseNamed(m_configuration.keys, key, keyKey);
    eraseNamed(m_configuration.queues, key, queueKey);
    eraseNamed(m_configuration.policies, key, policyKey);
    eraseNamed(m_configuration.drained, key, drainKey);
}

} // namespace lycheeledge
