// SPDX-License-Identifier: MIT
#include "apps/entryd/team_index.hpp"

#include <openssl/crypto.h>

#include <cstring>

#include "config/read_configuration.hpp"

namespace fordwood::apps {

namespace {

std::uint64_t firstBytes(const Sha256 &digest)
{
    std::uint64_t value = 0;
    std::memcpy(&value, digest.data(), sizeof value);
    return value;
}

} // namespace

TeamIndex::TeamIndex(const Configuration &configuration)
{
    for (const auto &[name, team] : configuration.teams) {
        for (const Sha256 &it : team.keyDigests)
            m_entries[firstBytes(it)].push_back({it, &team});
    }
}

const TeamConfig *TeamIndex::find(std::string_view bearerKey) const
{
    const Sha256 digest = config::sha256(bearerKey);
    const auto candidates = m_entries.find(firstBytes(digest));
    if (candidates == m_entries.end())
        return nullptr;
    const TeamConfig *found = nullptr;
    for (const Entry &it : candidates->second) {
        if (CRYPTO_memcmp(it.digest.data(), digest.data(), digest.size()) == 0)
            found = it.team;
    }
    return found;
}

} // namespace fordwood::apps
