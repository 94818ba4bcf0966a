// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_ENTRYD_TEAM_INDEX_HPP_INCLUDED
#define FORDWOOD_APPS_ENTRYD_TEAM_INDEX_HPP_INCLUDED

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fordwood/configuration.hpp"

namespace fordwood::apps {

// Finds the team of a bearer key. Compares digests in constant time.
class TeamIndex
{
public:
    explicit TeamIndex(const Configuration &configuration);

    // Returns null if the key belongs to no team.
    const TeamConfig *find(std::string_view bearerKey) const;

private:
    struct Entry
    {
        Sha256 digest;
        const TeamConfig *team;
    };
    // Indexed by the first bytes of the digest. They reveal nothing about the key: even if timing
    // disclosed them, an attacker would still have to find a text with that digest.
    std::unordered_map<std::uint64_t, std::vector<Entry>> m_entries;
};

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_ENTRYD_TEAM_INDEX_HPP_INCLUDED
