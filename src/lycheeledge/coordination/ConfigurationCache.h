// The configuration in force at this process.
#pragma once

#include "../state/Configuration.h"
#include "../state/Time.h"
#include "ConfigurationCodec.h"
#include "Quorum.h"
#include "Store.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lycheeledge {

/**
 * @brief Builds the configuration from entities read from the store.
 *
 * An entity is applied only with a modification revision higher than the one applied before, so the configuration
 * never reverts, whatever the order in which reads complete.
 */
class ConfigurationCache {
public:
    /**
     * @brief Applies the entities of one read. `entries` holds every entity changed since revision(), as of one store
     * revision. @return whether the configuration changed.
     */
    bool apply(const std::vector<StoreEntry>& entries, TimePoint now);
    /**
     * @brief Applies all entities that existed at `snapshot` and forgets the others, which were collected.
     * @return whether the configuration changed.
     */
    bool applyAll(const std::vector<StoreEntry>& entries, Revision snapshot, TimePoint now);

    /** @brief The configuration in force. The reference stays valid; its content changes in apply(). */
    const Configuration& configuration() const { return m_configuration; }
    /** @brief Highest modification revision applied. Every change up to it is in force. */
    Revision revision() const { return m_configuration.revision; }
    /** @brief Version of an entity, by store key; 0 if it was never read. */
    std::uint64_t versionOf(const std::string& storeKey) const;
    /** @brief The quorum in force; none before the first one was set. */
    const std::optional<Quorum>& quorum() const { return m_quorum; }

    /** @brief Store key and modification revision of an entity. */
    using EntityRevision = std::pair<std::string, Revision>;
    /** @brief Tombstones and withdrawn keys that have been known since `before`, oldest first, without the last `keep`.
     */
    std::vector<EntityRevision> retiredBefore(TimePoint before, std::size_t keep) const;
    /** @brief Forgets retired entities that were deleted from the store. */
    void forget(const std::vector<std::string>& keys);

private:
    struct Applied {
        Revision revision = 0; ///< modification revision
        bool retired = false; ///< tombstone or withdrawn key
        TimePoint at;
        std::uint64_t version = 0; ///< of the entity
    };

    bool applyEntry(const StoreEntry& entry, TimePoint now);
    bool applyQuorum(const StoreEntry& entry);
    bool erase(const std::string& key);

    Configuration m_configuration;
    std::optional<Quorum> m_quorum;
    std::map<std::string, Applied> m_applied; ///< by store key, also tombstones
};

} // namespace lycheeledge
