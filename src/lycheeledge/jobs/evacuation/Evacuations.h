// The data centres that operators have asked to evacuate.
//
// Events and lists of the requests may arrive late, twice or out of order. For each data centre, what has the highest
// store revision counts.
#pragma once

#include "../../coordination/Store.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace lycheeledge::jobs {

/** @brief An operator's request, as listed by the store. */
struct EvacuationRequest {
    std::string dataCentre;
    Revision revision = 0; ///< of the last write of the request

    bool operator==(const EvacuationRequest&) const = default;
};

/** @brief A request was written or removed. */
struct EvacuationChange {
    std::string dataCentre;
    Revision revision = 0; ///< of the write or removal; for a removal found in a list, of the list
    bool requested = false;

    bool operator==(const EvacuationChange&) const = default;
};

/** @brief Set of data centres in which no task starts, each with the store revision of its request. No I/O. */
class Evacuations {
public:
    /** @param dataCentres valid names; if empty, every name except the empty one is valid. */
    explicit Evacuations(std::vector<std::string> dataCentres = {});

    bool isValid(const std::string& dataCentre) const;
    /**
     * @brief Applies a change, unless a later one is known or the name is not valid.
     * @return whether an evacuation began or ended.
     */
    bool apply(const EvacuationChange& change);
    /**
     * @brief Replaces the set, except for changes later than the list.
     * @param requests all requests in the store; those with names that are not valid are ignored.
     * @param asOf store revision as of which a data centre missing from the list had no request.
     * @return the evacuations that began or ended.
     */
    std::vector<EvacuationChange> replace(const std::vector<EvacuationRequest>& requests, Revision asOf);
    /** @brief Whether no task may start in the data centre. */
    bool contains(const std::string& dataCentre) const;
    /** @brief Number of data centres under evacuation. */
    std::size_t size() const { return m_requested; }
    void clear();

    bool operator==(const Evacuations&) const = default;

private:
    struct State {
        Revision revision = 0; ///< of the last known write or removal
        bool requested = false;

        bool operator==(const State&) const = default;
    };

    bool set(const EvacuationChange& change);

    std::vector<std::string> m_dataCentres; ///< valid names; empty: any
    /// Removals are kept until a list of a higher revision, so that an earlier list does not restore the request.
    std::map<std::string, State> m_states;
    Revision m_listedAt = 0; ///< of the last list; what is not in `m_states` had no request then
    std::size_t m_requested = 0; ///< number of requested entries in `m_states`
};

} // namespace lycheeledge::jobs
