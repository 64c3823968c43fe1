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
 * An entity is applied only if its modification revision is higher than the one applied before. The configuration
 * therefore never reverts, in whatever order reads complete.
 */
class ConfigurationCache {
public:
    /**
     * @brief Applies the entities of one read.
     * @param entries every entity changed since revision(), as of a single store revision.
     * @return whether the configuration changed.
     */
    bool apply(const std::vector<StoreEntry>& entries, TimePoint now);
    /**
     * @brief Applies all entities that existed at `snapshot` and forgets the others: they were retired and have been
     * deleted from the store.
     * @return whether the configuration changed.
     */
    bool applyAll(const std::vector<StoreEntry>& entries, Revision snapshot, TimePoint now);

    /** @brief The configuration in force. The reference stays valid while the cache changes. */
    const Configuration& configuration() const { return m_configuration; }
    /** @brief Highest modification revision applied. All changes up to it are in force. */
    Revision revision() const { return m_configuration.revision; }
    /** @brief Version of an entity; 0 if it was never read. */
    std::uint64_t versionOf(const std::string& storeKey) const;
    /** @brief The quorum in force; nullopt until the first one is set. */
    const std::optional<Quorum>& quorum() const { return m_quorum; }

    /** @brief Store key and modification revision of an entity. */
    using EntityRevision = std::pair<std::string, Revision>;
    /** @brief Retired entities (tombstones and withdrawn keys) applied at or before `before`, oldest first, without the
     * latest `keepLatest` of all retired entities. */
    std::vector<EntityRevision> retiredBefore(TimePoint before, std::size_t keepLatest) const;
    /** @brief Forgets retired entities that were deleted from the store. */
    void removeRetired(const std::vector<std::string>& keys);

private:
    struct AppliedEntity {
        Revision revision = 0; ///< modification revision
        bool retired = false; ///< tombstone or withdrawn key
        TimePoint appliedAt;
        std::uint64_t version = 0; ///< version of the entity
    };

    bool applyEntry(const StoreEntry& entry, TimePoint now);
    bool applyQuorum(const StoreEntry& entry);
    bool eraseEntity(const std::string& key);

    Configuration m_configuration;
    std::optional<Quorum> m_quorum;
    std::map<std::string, AppliedEntity> m_applied; ///< by store key; includes tombstones
};

} // namespace lycheeledge
